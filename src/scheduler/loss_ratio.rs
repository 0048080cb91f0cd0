//! How many of a route's recent calls may have run without success.
//!
//! A message that isn't idempotent is lost with its only attempt. It waits while the ratio is high; messages
//! that can be resent show when it has fallen.

use super::state::decaying_rate::DecayingRate;
use crate::model::{AttemptOutcome, Class, Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Ratio of lost calls, above the baseline of all routes, from which on messages that aren't idempotent wait.
const MAX_RATIO_ABOVE_BASELINE: f64 = 0.15;
/// Added to the number of calls, so that a single loss among few calls isn't a high ratio.
const PRIOR_CALLS: f64 = 2.0;
/// Calls fade over this many overload windows.
const SPAN_IN_OVERLOAD_WINDOWS: f64 = 2.0;
/// A message waits at most until so many latency objectives before its deadline.
const LAST_ATTEMPT_OBJECTIVES_BEFORE_DEADLINE: f64 = 1.0;

/// Recent calls of a route that succeeded, and that were lost.
#[derive(Default, Serialize, Deserialize)]
pub struct LossRatio {
    delivered: DecayingRate,
    lost: DecayingRate,
}

impl LossRatio {
    /// Adds a call; one that surely wasn't processed doesn't count.
    pub fn record(&mut self, now: Time, settings: &Settings, outcome: AttemptOutcome) {
        if outcome.was_not_processed() {
            return;
        }
        let calls = match outcome {
            AttemptOutcome::Delivered => &mut self.delivered,
            _ => &mut self.lost,
        };
        calls.record(now, span_secs(settings));
    }

    /// Whether calls are lost too often for messages that aren't idempotent; `baseline` is the ratio of all
    /// routes.
    pub fn is_high(&mut self, now: Time, settings: &Settings, baseline: f64) -> bool {
        let span_secs = span_secs(settings);
        let delivered = self.delivered.per_sec(now, span_secs) * span_secs;
        let lost = self.lost.per_sec(now, span_secs) * span_secs;
        lost / (lost + delivered + PRIOR_CALLS) > MAX_RATIO_ABOVE_BASELINE + baseline
    }
}

fn span_secs(settings: &Settings) -> f64 {
    settings.limits.overload_window.as_secs_f64() * SPAN_IN_OVERLOAD_WINDOWS
}

/// When to check a high ratio again: after about the time that it takes to fall.
pub fn recheck_delay(settings: &Settings) -> Duration {
    settings.limits.overload_window.mul_f64(SPAN_IN_OVERLOAD_WINDOWS * MAX_RATIO_ABOVE_BASELINE)
}

/// The time from which on a message of this class is sent whatever the ratio, as it cannot wait any longer.
pub fn last_attempt_at(class: &Class, deadline: Time) -> Time {
    deadline - class.latency_objective.mul_f64(LAST_ATTEMPT_OBJECTIVES_BEFORE_DEADLINE)
}
