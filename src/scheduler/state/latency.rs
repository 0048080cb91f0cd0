//! A running estimate of latency.

use crate::model::Settings;
use crate::scheduler::derived_settings::shortest_objective_secs;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The latency assumed before the first sample, as a ratio of the shortest latency objective.
const INITIAL_LATENCY_OBJECTIVE_RATIO: f64 = 0.1;
/// The minimum weight of the newest sample. The first few samples have a higher weight.
const MIN_GAIN: f64 = 0.15;

/// Exponential moving averages of latency and of its absolute deviation from the mean.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct LatencyEstimate {
    mean_secs: f64,
    deviation_secs: f64,
    samples: u32,
}

impl LatencyEstimate {
    /// Returns the estimate before the first sample.
    pub fn initial(settings: &Settings) -> LatencyEstimate {
        let initial_secs = shortest_objective_secs(settings) * INITIAL_LATENCY_OBJECTIVE_RATIO;
        LatencyEstimate { mean_secs: initial_secs, deviation_secs: initial_secs, samples: 0 }
    }

    /// Updates the estimate with a sample.
    pub fn record(&mut self, sample: Duration) {
        let sample_secs = sample.as_secs_f64();
        let gain = MIN_GAIN.max(1.0 / f64::from(self.samples + 2));
        self.deviation_secs += gain * ((sample_secs - self.mean_secs).abs() - self.deviation_secs);
        self.mean_secs += gain * (sample_secs - self.mean_secs);
        self.samples += 1;
    }

    /// Updates the estimate with a sample. If it is the first, the estimate starts from `estimate`, and the
    /// sample has the weight of a first one.
    pub fn record_starting_from(&mut self, estimate: &LatencyEstimate, sample: Duration) {
        if self.samples == 0 {
            *self = LatencyEstimate { samples: 0, ..*estimate };
        }
        self.record(sample);
    }

    /// Returns the mean, in seconds.
    pub fn mean_secs(&self) -> f64 {
        self.mean_secs
    }

    /// Returns a multiple of mean plus deviation, in seconds.
    pub fn multiple_secs(&self, multiple: f64) -> f64 {
        (self.mean_secs + self.deviation_secs) * multiple
    }
}
