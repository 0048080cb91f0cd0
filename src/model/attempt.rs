//! How attempts end.

use serde::{Deserialize, Serialize};
use std::time::Duration;

use super::ids::{EndpointId, MessageId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; may have run.
    ErrorResponse,
    /// Rejected unprocessed: over the limit, queue full, closed or draining. With the Retry-After, if there
    /// was one.
    Rejected(Option<Duration>),
    /// No response in time; may have run, or may still run.
    Timeout,
    /// No connection; did not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Answered with what cannot be read; may have run.
    MalformedResponse,
    /// Cancelled by the scheduler; may have run.
    Cancelled,
    /// Certainly not processed: not sent (no time left, or withdrawn), or refused by the endpoint before it
    /// ran. It says nothing of the endpoint's health.
    NotSent,
    /// The endpoint says that the message has had all its attempts; this one did not run.
    AttemptsExhausted,
    /// Rejected for the connection that it came on: the endpoint has too many. No rate limit was met.
    TooManyConnections,
    /// The gateway's own machine could not make the attempt (disk, descriptors, memory or ports). It does not
    /// count as one of the message's attempts, and says nothing of the endpoint.
    LocalFailure,
}

impl AttemptOutcome {
    /// Whether the message has certainly not been processed.
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

/// What a destination reports of its own limit with a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Ratio of the limit that is unused just now: 0 is used up, 1 is all of it; up to 2 is accepted.
    pub headroom: f64,
    /// The limit, in calls a second over the whole fleet; zero where there is none.
    pub limit_per_sec: f64,
}

/// The end of one attempt. Each attempt that was started has exactly one.
#[derive(Clone, Debug)]
pub struct FinishedAttempt {
    /// The message.
    pub message: MessageId,
    /// The endpoint that the attempt went to.
    pub endpoint: EndpointId,
    /// Number of the attempt among those of the message, from 0.
    pub attempt: u16,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The message is completed; if not, its final outcome is still owed.
    pub completes_message: bool,
    /// What was reported of the limit.
    pub load_report: Option<LoadReport>,
}
