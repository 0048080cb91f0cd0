//! The scheduler's output: the actions that the gateway carries out.

use std::time::Duration;

use super::ids::{EndpointId, MessageId};

/// An instruction of the scheduler. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an endpoint. Consecutive attempts of one decision to the same endpoint share a
    /// call, up to [`DestinationKind::max_batch_size`](super::DestinationKind::max_batch_size) messages. The
    /// gateway splits a call whose message bodies are too large together.
    StartAttempt {
        /// The message to send.
        message: MessageId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The attempt times out if there is no response within this time from the start of the call, which
        /// includes opening a connection.
        attempt_timeout: Duration,
        /// The first byte has to be sent within this time from the decision. If the connection takes longer
        /// to open, the attempt is not made
        /// ([`AttemptOutcome::NotSent`](super::AttemptOutcome::NotSent)).
        send_within: Duration,
    },
    /// Reports the final outcome "returned": the message was not processed, or is idempotent, so the client
    /// may safely enqueue it again.
    Reject {
        /// The message that is returned to its client.
        message: MessageId,
        /// How long the client should wait before it enqueues the message again.
        retry_after: Duration,
    },
    /// Reports the final outcome "failed": the message may have been processed.
    ReportFailure {
        /// The failed message.
        message: MessageId,
    },
    /// Cancels an attempt in flight. The endpoint may still process the message, or may have done so.
    CancelAttempt {
        /// The message of the attempt.
        message: MessageId,
        /// Index of the attempt among those of the message, from 0.
        attempt: u16,
    },
    /// Requests an [`Event::TimerFired`](super::Event::TimerFired) after some time. There is a single timer:
    /// a new request replaces the previous one.
    SetTimer {
        /// Delay from the decision.
        after: Duration,
        /// Identifies the request; returned unchanged with the event.
        token: u64,
    },
    /// Closes the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint at the other end of the connections.
        endpoint: EndpointId,
    },
    /// Starts or ends the watch on the endpoint list. The scheduler only starts it, and never ends it.
    WatchEndpoints {
        /// True to start the watch, false to end it.
        is_active: bool,
    },
}
