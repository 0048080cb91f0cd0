//! Rates of events that fade with time.

use crate::model::Time;
use serde::{Deserialize, Serialize};

/// A count of events that fades exponentially: a rate over about the time span that it is read with.
#[derive(Default, Serialize, Deserialize)]
pub struct DecayingRate {
    count: f64,
    at: Time,
}

impl DecayingRate {
    /// Adds one event.
    pub fn record(&mut self, now: Time, span_secs: f64) {
        self.count = self.faded(now, span_secs) + 1.0;
        self.at = now;
    }

    /// Events a second over about this time span.
    pub fn per_sec(&mut self, now: Time, span_secs: f64) -> f64 {
        self.count = self.faded(now, span_secs);
        self.at = now;
        self.count / span_secs
    }

    fn faded(&self, now: Time, span_secs: f64) -> f64 {
        self.count * (-(now - self.at).as_secs_f64() / span_secs).exp()
    }
}
