//! Maps the wire's records to the scheduler's events, and its actions to the wire's replies. It holds no state.

use delivery_gateway::*;
use std::time::Duration;
use thiserror::Error;

use crate::wire::{AcceptedRecord, ListEntry, Reply};

/// A field of a decoded record has an unknown value. The adapter exits with this error.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{field} has the unknown value {value}")]
pub struct UnknownValue {
    /// The name of the field on the wire.
    pub field: &'static str,
    pub value: u32,
}

/// The bit of [`AcceptedRecord::options`] which is set if a scheduler that has ended had accepted the message before.
const REDELIVERED: u8 = 1 << 4;

/// What a list update passes to a scheduler.
pub enum ListUpdateKind {
    /// The list has only the entries that have changed.
    Delta,
    /// The list is complete.
    Snapshot,
    /// Discovery has failed, and the list is not used.
    Failed,
}

impl TryFrom<u8> for ListUpdateKind {
    type Error = UnknownValue;

    fn try_from(kind: u8) -> Result<Self, UnknownValue> {
        match kind {
            0 => Ok(ListUpdateKind::Delta),
            1 | 2 => Ok(ListUpdateKind::Snapshot),
            3 => Ok(ListUpdateKind::Failed),
            other => Err(UnknownValue { field: "Kind", value: other.into() }),
        }
    }
}

impl TryFrom<&ListEntry> for Endpoint {
    type Error = UnknownValue;

    fn try_from(entry: &ListEntry) -> Result<Self, UnknownValue> {
        Ok(Endpoint {
            id: EndpointId(entry.endpoint),
            zone: ZoneId(entry.zone),
            kind: DestinationKindId(entry.kind),
            destination: DestinationId(entry.destination.into()),
            availability: availability(entry.state)?,
            capacity_hint: f64::from(entry.capacity_hint),
        })
    }
}

fn availability(state: u8) -> Result<Availability, UnknownValue> {
    match state {
        1 => Ok(Availability::Draining),
        2 => Ok(Availability::Removed),
        3 => Ok(Availability::Ready),
        other => Err(UnknownValue { field: "Mode", value: other.into() }),
    }
}

impl From<AcceptedRecord> for AcceptedMessage {
    fn from(record: AcceptedRecord) -> Self {
        AcceptedMessage {
            id: MessageId(record.message),
            class: ClassId(record.class),
            // The wire encodes the destination as a float, which is a whole number below 65,536.
            destination: DestinationId(u32::from(record.destination as u16)),
            key: (record.key != 0).then_some(OrderingKey(record.key)),
            deadline: Time(record.deadline),
            is_redelivered: record.options & REDELIVERED != 0,
            tenant: TenantId(record.tenant),
        }
    }
}

/// Maps the outcome code of an attempt or a probe to its outcome. `retry_after_ms` is the Retry-After of a rejection,
/// or 0 for none.
///
/// # Errors
/// [`UnknownValue`] for a code that the wire does not define.
pub fn attempt_outcome(outcome_code: u16, retry_after_ms: u32) -> Result<AttemptOutcome, UnknownValue> {
    match outcome_code {
        100 => Ok(AttemptOutcome::Delivered),
        301 => Ok(AttemptOutcome::ErrorResponse),
        302 => {
            let retry_after = (retry_after_ms > 0).then(|| Duration::from_millis(u64::from(retry_after_ms)));
            Ok(AttemptOutcome::Rejected(retry_after))
        }
        303 => Ok(AttemptOutcome::Timeout),
        304 => Ok(AttemptOutcome::ConnectFailed),
        305 => Ok(AttemptOutcome::Reset),
        306 => Ok(AttemptOutcome::Cancelled),
        307 => Ok(AttemptOutcome::NotSent),
        other => Err(UnknownValue { field: "Code", value: other.into() }),
    }
}

/// Converts an action of an instance to a reply.
pub fn to_reply(instance: u16, action: Action) -> Reply {
    match action {
        Action::StartAttempt { message, endpoint, attempt_timeout, .. } => Reply::StartAttempt {
            instance,
            message: message.0,
            endpoint: endpoint.0,
            // 0 would mean no timeout.
            attempt_timeout: nanoseconds(attempt_timeout).max(1),
        },
        Action::Reject { message, retry_after } => {
            Reply::Reject { instance, message: message.0, retry_after: nanoseconds(retry_after) }
        }
        Action::ReportFailure { message } => Reply::ReportFailure { instance, message: message.0 },
        Action::CancelAttempt { message, attempt } => {
            Reply::CancelAttempt { instance, message: message.0, attempt }
        }
        Action::SetTimer { after, token } => Reply::SetTimer { instance, after: nanoseconds(after), token },
        Action::CloseIdleConnections { endpoint } => {
            Reply::CloseIdleConnections { instance, endpoint: endpoint.0 }
        }
        Action::WatchEndpoints { is_active } => Reply::WatchEndpoints { instance, active: is_active },
    }
}

/// Converts a duration to nanoseconds, saturating at about 584 years.
fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
