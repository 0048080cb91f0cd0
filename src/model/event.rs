//! The scheduler's input: events from clients, endpoints, discovery, operators and the timer.

use std::time::Duration;

use super::attempt::FinishedAttempt;
use super::circuit::CircuitRecord;
use super::endpoint::EndpointUpdate;
use super::ids::{EndpointId, MessageId};
use super::message::{AcceptedMessage, RestoredMessage};
use super::time::Time;

/// An event that the scheduler has to take into account.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list was read or has changed, or the watch on it failed or was rejected.
    EndpointsUpdated(EndpointUpdate),
    /// The watch on the endpoint list is established.
    WatchEstablished,
    /// A client's message was accepted.
    MessageAccepted(AcceptedMessage),
    /// A pending message from before a restart. These events come in the order of acceptance, before any
    /// [`Event::MessageAccepted`].
    MessageRestored(RestoredMessage),
    /// The state of a circuit from before a restart. These events come after the endpoint list.
    CircuitRestored(CircuitRecord),
    /// The final outcome of a message was acknowledged; see
    /// [`Settings::outcomes_need_acknowledgement`](super::Settings::outcomes_need_acknowledgement).
    OutcomeAcknowledged(MessageId),
    /// The gateway shuts down at this time: no call is started that would most likely still be in flight
    /// then. The largest [`Time`] cancels the shutdown.
    ShutdownScheduled(Time),
    /// Operators disabled an endpoint, whether it is listed or not. The event may be repeated.
    EndpointDisabled(EndpointId),
    /// Operators enabled an endpoint again. Its route gets a slow start, as the endpoint may have been
    /// restarted meanwhile.
    EndpointEnabled(EndpointId),
    /// Operators switched lame duck mode on or off. In this mode the gateway finishes its pending messages
    /// and, after a grace period, accepts no new ones.
    LameDuck(bool),
    /// A response had a Retry-After although it did not reject the whole call. For rejections see
    /// [`AttemptOutcome::Rejected`](super::AttemptOutcome::Rejected).
    RetryAfter {
        /// The endpoint that sent the response.
        endpoint: EndpointId,
        /// Time from the event during which the endpoint's route may not be called.
        delay: Duration,
    },
    /// An attempt ended, whatever its outcome.
    AttemptFinished(FinishedAttempt),
    /// No client waits for this message any more: it needs no final outcome.
    MessageAbandoned(MessageId),
    /// The timer requested with [`Action::SetTimer`](super::Action::SetTimer) fired; holds its token.
    TimerFired(u64),
}
