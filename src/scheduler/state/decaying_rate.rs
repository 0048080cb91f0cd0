//! Event rates with exponential decay.

use crate::model::Time;
use serde::{Deserialize, Serialize};

/// An event count that decays exponentially: read as a rate, it is an average over about the given time span.
#[derive(Default, Serialize, Deserialize)]
pub struct DecayingRate {
    count: f64,
    updated_at: Time,
}

impl DecayingRate {
    /// Counts one event.
    pub fn record(&mut self, now: Time, span_secs: f64) {
        self.count = self.decayed_count(now, span_secs) + 1.0;
        self.updated_at = now;
    }

    /// Returns the events per second over about this time span.
    pub fn per_sec(&mut self, now: Time, span_secs: f64) -> f64 {
        self.count = self.decayed_count(now, span_secs);
        self.updated_at = now;
        self.count / span_secs
    }

    fn decayed_count(&self, now: Time, span_secs: f64) -> f64 {
        self.count * (-(now - self.updated_at).as_secs_f64() / span_secs).exp()
    }
}
