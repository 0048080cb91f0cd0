//! Messages as clients enqueue them, and as they are restored after a restart.

use serde::{Deserialize, Serialize};

use super::ids::{ClassId, DestinationId, MessageId, OrderingKey, TenantId, ZoneId};
use super::time::Time;

/// A message that was accepted. It gets exactly one final outcome, unless it is abandoned.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// Id of the message; never reused.
    pub id: MessageId,
    /// Class of the message.
    pub class: ClassId,
    /// Destination to which the message is delivered.
    pub destination: DestinationId,
    /// Ordering key, if the message has one; ignored unless its class is ordered.
    pub key: Option<OrderingKey>,
    /// End of the time for delivery, on the scheduler's clock. A message that is not delivered by then gets
    /// the final outcome "returned" or "failed".
    pub deadline: Time,
    /// True if another gateway that crashed had accepted the message before. If it is idempotent with a key,
    /// it may have run there.
    pub is_redelivered: bool,
    /// Tenant whose quota the message counts against.
    pub tenant: TenantId,
}

/// Start and zone of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// Start of the attempt, before which no byte of it was sent.
    pub sent_at: Time,
    /// Zone of the endpoint that the attempt went to.
    pub zone: ZoneId,
}

/// A message that was accepted before a restart and is still pending.
#[derive(Clone, Debug)]
pub struct RestoredMessage {
    /// The message as originally accepted.
    pub message: AcceptedMessage,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// The first attempt that may have run; none if no attempt may have run.
    pub first_uncertain_attempt: Option<SentAttempt>,
    /// True if the message has its final outcome but the outcome was not acknowledged yet. It keeps its
    /// ordering key until then.
    pub has_final_outcome: bool,
}
