//! Messages, as they are accepted and as they are recovered after a restart.

use serde::{Deserialize, Serialize};

use super::ids::{ClassId, DestinationId, MessageId, OrderingKey, TenantId, ZoneId};
use super::time::Time;

/// A message that has been accepted: it is owed one final outcome.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// Its id, which is never used again.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Where it goes.
    pub destination: DestinationId,
    /// Its ordering key, if it has one.
    pub key: Option<OrderingKey>,
    /// When it is given up, on the scheduler's clock.
    pub deadline: Time,
    /// Another gateway that crashed had accepted it before; where it is idempotent with a key it may have run
    /// there.
    pub is_redelivered: bool,
    /// The tenant that it belongs to.
    pub tenant: TenantId,
}

/// When and where an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// When its first byte may have left.
    pub sent_at: Time,
    /// The zone of the endpoint that it went to.
    pub zone: ZoneId,
}

/// A message that was accepted before a restart.
#[derive(Clone, Debug)]
pub struct RestoredMessage {
    /// The message as it was accepted.
    pub message: AcceptedMessage,
    /// Attempts made for it.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub first_uncertain_attempt: Option<SentAttempt>,
    /// It has its final outcome, which nobody has acknowledged yet: its ordering key is taken until then.
    pub has_final_outcome: bool,
}
