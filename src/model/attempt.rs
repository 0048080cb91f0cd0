//! The outcomes of attempts, and load reports.

use serde::{Deserialize, Serialize};
use std::time::Duration;

use super::ids::{EndpointId, MessageId};

/// The outcome of an attempt. "May have run" means that the endpoint may have processed the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The endpoint accepted the message.
    Delivered,
    /// The response was an error; the message may have run.
    ErrorResponse,
    /// Rejected without being processed: over the rate limit, queue full, destination closed or draining.
    /// Holds the Retry-After, if the response had one.
    Rejected(Option<Duration>),
    /// No response within the attempt timeout or before the deadline of a message of the call; the message
    /// may have run, or may still be running.
    Timeout,
    /// No byte was sent because the connection could not be opened, broke or timed out, or because the
    /// attempt was cancelled before; the message did not run.
    ConnectFailed,
    /// The connection broke before any part of the response arrived; the message may have run.
    Reset,
    /// The response was incomplete or could not be parsed; the message may have run.
    MalformedResponse,
    /// Stopped after bytes of it were sent, usually by
    /// [`Action::CancelAttempt`](super::Action::CancelAttempt); the message may have run.
    Cancelled,
    /// Not processed: the attempt was not sent (for example, no time was left, or a Retry-After arrived while
    /// the connection was being opened), or the endpoint refused the message before running it. This outcome
    /// is not evidence about the endpoint's health.
    NotSent,
    /// The endpoint reports that the message has had all its attempts; this one did not run.
    AttemptsExhausted,
    /// Rejected because the endpoint has too many connections. This is not a rejection by its rate limit.
    TooManyConnections,
    /// The gateway's own machine could not make the attempt (disk, descriptors, memory or ports). It does not
    /// count as one of the message's attempts, and is not evidence about the endpoint.
    LocalFailure,
}

impl AttemptOutcome {
    /// Returns whether the endpoint has certainly not processed the message in this attempt.
    pub fn was_not_processed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected(_)
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::NotSent
                | AttemptOutcome::AttemptsExhausted
                | AttemptOutcome::TooManyConnections
                | AttemptOutcome::LocalFailure
        )
    }
}

/// A destination's report on its rate limit, sent with a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Unused ratio of the limit: 0 if the limit is used up, 1 if all of it is free. Values up to 2 are
    /// accepted.
    pub headroom: f64,
    /// The limit, in calls per second over the whole fleet; zero if the destination has none.
    pub limit_per_sec: f64,
}

/// The end of one attempt. Each started attempt ends exactly once.
#[derive(Clone, Debug)]
pub struct FinishedAttempt {
    /// The message that the attempt carried.
    pub message: MessageId,
    /// The endpoint that the attempt went to.
    pub endpoint: EndpointId,
    /// Index of the attempt among those of the message, from 0.
    pub attempt: u16,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from the start of the call, which includes opening a connection, to the end of the attempt. Zero
    /// if no call was started.
    pub latency: Duration,
    /// True if the message has its final outcome with this attempt; false if the scheduler still has to retry
    /// it or to give it a final outcome.
    pub completes_message: bool,
    /// The load report of the response; None if there was no response or it had none.
    pub load_report: Option<LoadReport>,
}
