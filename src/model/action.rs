//! The scheduler's output: the actions that the gateway carries out.

use std::time::Duration;

use super::ids::{EndpointId, MessageId};

/// An instruction of the scheduler. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an endpoint. Attempts of one step to the same endpoint share a call, up to
    /// [`DestinationKind::max_batch_size`](super::DestinationKind::max_batch_size) messages.
    StartAttempt {
        /// The message to send.
        message: MessageId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The attempt times out if there is no response within this time.
        attempt_timeout: Duration,
        /// The first byte has to be sent within this time. If the connection takes longer to open, the
        /// attempt is not made ([`AttemptOutcome::NotSent`](super::AttemptOutcome::NotSent)).
        send_within: Duration,
    },
    /// Reports the final outcome "rejected": the message was not processed, or is idempotent, so that the
    /// client may safely enqueue it again.
    Reject {
        /// The rejected message.
        message: MessageId,
        /// How long the client should wait before it enqueues the message again.
        retry_after: Duration,
    },
    /// Reports the final outcome "failed": the message may have been processed.
    ReportFailure {
        /// The failed message.
        message: MessageId,
    },
    /// Cancels an attempt in flight. The endpoint may have processed the message all the same.
    CancelAttempt {
        /// The message of the attempt.
        message: MessageId,
        /// Index of the attempt among those of the message, from 0.
        attempt: u16,
    },
    /// Requests an [`Event::TimerFired`](super::Event::TimerFired) after some time. There is a single timer:
    /// a new request replaces the previous one.
    SetTimer {
        /// Delay from now.
        after: Duration,
        /// Returned unchanged with the event.
        token: u64,
    },
    /// Closes the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint at the other end of the connections.
        endpoint: EndpointId,
    },
    /// Starts or ends the watch on the endpoint list.
    WatchEndpoints {
        /// True to start the watch, false to end it.
        is_active: bool,
    },
}
