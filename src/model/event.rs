//! What a scheduler receives.

use std::time::Duration;

use super::attempt::FinishedAttempt;
use super::circuit::CircuitRecord;
use super::endpoint::EndpointUpdate;
use super::ids::{EndpointId, MessageId};
use super::message::{AcceptedMessage, RestoredMessage};
use super::time::Time;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list was read or has changed, or the watch on it failed.
    EndpointsUpdated(EndpointUpdate),
    /// The watch on the endpoint list is up.
    WatchEstablished,
    /// A message was accepted.
    MessageAccepted(AcceptedMessage),
    /// A message that was accepted before a restart. They come in the order of acceptance, before any
    /// [`Event::MessageAccepted`].
    MessageRestored(RestoredMessage),
    /// A circuit's state from before a restart; comes after the endpoint list.
    CircuitRestored(CircuitRecord),
    /// The final outcome of a message was acknowledged; see
    /// [`Settings::outcomes_need_acknowledgement`](super::Settings::outcomes_need_acknowledgement).
    OutcomeAcknowledged(MessageId),
    /// The gateway shuts down at this time: no call is started that would not be over by then. The largest
    /// time cancels the shutdown.
    ShutdownScheduled(Time),
    /// Operators disable an endpoint, listed or not. It may come twice.
    EndpointDisabled(EndpointId),
    /// They enable it again. It may have been restarted meanwhile, and so gets a slow start.
    EndpointEnabled(EndpointId),
    /// Whether operators want the gateway to drain: it finishes what it has and accepts nothing new.
    LameDuck(bool),
    /// A response that accepted messages asked for a pause all the same. Rejections bring their own; see
    /// [`AttemptOutcome::Rejected`](super::AttemptOutcome::Rejected).
    RetryAfter {
        /// The endpoint that asked for it.
        endpoint: EndpointId,
        /// How long, from now.
        delay: Duration,
    },
    /// An attempt ended.
    AttemptFinished(FinishedAttempt),
    /// Nobody waits for this message any more: no final outcome is owed.
    MessageAbandoned(MessageId),
    /// A timer asked for by [`Action::SetTimer`](super::Action::SetTimer) has fired; with its token.
    TimerFired(u64),
}
