//! Retry-After: how long a destination does not want to be called, and what clients are told with a
//! rejection.

use super::retry;
use crate::model::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Until when a route may not be called.
#[derive(Default, Serialize, Deserialize)]
pub struct RetryAfter {
    until: Time,
}

impl RetryAfter {
    /// The destination does not want to be called before this time. A shorter wait does not end a longer one.
    pub fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// When the longest wait so far ends; may lie in the past.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Whether the route may not be called now.
    pub fn is_pending(&self, now: Time) -> bool {
        self.until > now
    }

    /// What is left of the wait.
    pub fn remaining(&self, now: Time) -> Duration {
        self.until - now
    }
}

/// What a client is told with a rejection: the destination's own wait, or the time in which this gateway can
/// send the waiting messages, whichever is longer; within the bounds of a backoff.
pub fn suggested_delay(
    objective_secs: f64,
    waiting_messages: f64,
    rate_per_sec: f64,
    destination_wait: Duration,
) -> Duration {
    let objective = Duration::from_secs_f64(objective_secs);
    let backlog_secs = waiting_messages / rate_per_sec.max(0.001);
    let backlog = Duration::from_secs_f64(backlog_secs.min(objective.as_secs_f64()));
    destination_wait.max(backlog).clamp(retry::base_backoff(objective), retry::max_backoff(objective))
}
