//! The end of this process: no call is started that would most likely still be in flight then.

use crate::model::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When this process ends, if that is known.
#[derive(Default, Serialize, Deserialize)]
pub struct Shutdown {
    at: Option<Time>,
}

impl Shutdown {
    /// It ends at this time; the end of the clock stands for no end.
    pub fn schedule(&mut self, at: Time) {
        self.at = (at < Time(u64::MAX)).then_some(at);
    }

    /// Whether an end is known.
    pub fn is_scheduled(&self) -> bool {
        self.at.is_some()
    }

    /// Whether a call that takes so long would be over by then.
    pub fn has_time_for(&self, now: Time, call_duration: Duration) -> bool {
        self.at.is_none_or(|end| now + call_duration <= end)
    }
}
