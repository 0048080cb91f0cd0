//! Rates of events that fade with time.

use crate::model::Time;
use serde::{Deserialize, Serialize};

/// A count of events that fades exponentially: a rate over about the time span that it is read with.
#[derive(Default, Serialize, Deserialize)]
pub struct DecayingRate {
    count: f64,
    updated_at: Time,
}

impl DecayingRate {
    /// Adds one event.
    pub fn record(&mut self, now: Time, span_secs: f64) {
        self.count = self.decayed_count(now, span_secs) + 1.0;
        self.updated_at = now;
    }

    /// Events a second over about this time span.
    pub fn per_sec(&mut self, now: Time, span_secs: f64) -> f64 {
        self.count = self.decayed_count(now, span_secs);
        self.updated_at = now;
        self.count / span_secs
    }

    fn decayed_count(&self, now: Time, span_secs: f64) -> f64 {
        self.count * (-(now - self.updated_at).as_secs_f64() / span_secs).exp()
    }
}
