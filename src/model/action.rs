//! What a scheduler asks for.

use std::time::Duration;

use super::ids::{EndpointId, MessageId};

/// Something to do. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to an endpoint. Attempts of one step to one endpoint share a call, as far as
    /// [`DestinationKind::max_batch_size`](super::DestinationKind::max_batch_size) allows.
    StartAttempt {
        /// The message.
        message: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// How long to wait for the response.
        attempt_timeout: Duration,
        /// Its first byte has to leave within this time. If the connection takes longer, the attempt is not
        /// made ([`AttemptOutcome::NotSent`](super::AttemptOutcome::NotSent)).
        send_within: Duration,
    },
    /// Final outcome: rejected without effect; the client may safely enqueue the message again.
    Reject {
        /// The message.
        message: MessageId,
        /// How long the client should wait before that.
        retry_after: Duration,
    },
    /// Final outcome: failed; whether it took effect is not known.
    ReportFailure {
        /// The message.
        message: MessageId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The message.
        message: MessageId,
        /// Number of the attempt among those of the message, from 0.
        attempt: u16,
    },
    /// Send an [`Event::TimerFired`](super::Event::TimerFired) after some time. There is one timer: a new one
    /// replaces the one before.
    SetTimer {
        /// How long from now.
        after: Duration,
        /// Returned with the event.
        token: u64,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Begin, or end, a watch on the endpoint list.
    WatchEndpoints {
        /// Whether it begins.
        is_active: bool,
    },
}
