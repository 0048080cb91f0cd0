//! Retry-After: stops all calls of a route until the time that its destination has requested, and suggests to
//! clients when to enqueue a rejected message again. It owns the latest end of the requested delays.

use super::retry;
use crate::model::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The Retry-After of a route.
#[derive(Default, Serialize, Deserialize)]
pub struct RetryAfter {
    until: Time,
}

impl RetryAfter {
    /// Blocks the route until `until`. A delay that ends earlier than a previous one has no effect.
    pub fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Returns the latest end of the delays requested so far; possibly in the past.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Returns whether the route may not be called now.
    pub fn is_pending(&self, now: Time) -> bool {
        self.until > now
    }

    /// Returns the remaining delay; zero if none is pending.
    pub fn remaining(&self, now: Time) -> Duration {
        self.until - now
    }
}

/// Returns the delay that a client should wait after a rejection: the destination's remaining Retry-After, or
/// the time in which this gateway can send the queue, whichever is longer; within the bounds of a backoff.
/// `waiting_messages` is the number of messages in the queue, including those in flight.
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
