//! The scheduled end of this process. No call is started that would most likely still be in flight then. This
//! module owns the time of the end.

use crate::model::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The time at which this process ends, if it is scheduled.
#[derive(Default, Serialize, Deserialize)]
pub struct Shutdown {
    at: Option<Time>,
}

impl Shutdown {
    /// Schedules the end of the process; the largest [`Time`] cancels it.
    pub fn schedule(&mut self, at: Time) {
        self.at = (at < Time(u64::MAX)).then_some(at);
    }

    /// Returns whether the end of the process is scheduled.
    pub fn is_scheduled(&self) -> bool {
        self.at.is_some()
    }

    /// Returns whether a call of this duration that is started now would be over before the process ends.
    /// Always true if no end is scheduled.
    pub fn has_time_for(&self, now: Time, call_duration: Duration) -> bool {
        self.at.is_none_or(|end| now + call_duration <= end)
    }
}
