//! The ratio of a route's recent calls that were lost: they may have run, but did not deliver. This module
//! owns the rates of delivered and of lost calls.
//!
//! A non-idempotent message is lost with its only attempt, so it is delayed while the ratio is high.
//! Resendable messages are still sent, and show when the ratio has fallen.

use super::state::decaying_rate::DecayingRate;
use crate::model::{AttemptOutcome, Class, Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The maximum ratio of lost calls, above the baseline of all routes, at which non-idempotent messages are
/// still sent.
const MAX_RATIO_ABOVE_BASELINE: f64 = 0.15;
/// Added to the number of calls, so that a single loss among few calls is not a high ratio.
const PRIOR_CALLS: f64 = 2.0;
/// The time constant for averaging calls, in overload windows.
const SPAN_IN_OVERLOAD_WINDOWS: f64 = 2.0;
/// How long before its deadline a message is sent whatever the ratio, in latency objectives.
const LAST_ATTEMPT_OBJECTIVES_BEFORE_DEADLINE: f64 = 1.0;

/// Decaying rates of a route's calls that succeeded, and of those that were lost.
#[derive(Default, Serialize, Deserialize)]
pub struct LossRatio {
    delivered: DecayingRate,
    lost: DecayingRate,
}

impl LossRatio {
    /// Records the outcome of a call. A call that was certainly not processed does not count.
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

    /// Returns whether calls are lost too often for non-idempotent messages. `baseline` is the ratio of lost
    /// calls over all routes, apart from losses on idle connections.
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

/// Returns the delay until a high ratio is checked again: about the time that it takes to fall.
pub fn recheck_delay(settings: &Settings) -> Duration {
    settings.limits.overload_window.mul_f64(SPAN_IN_OVERLOAD_WINDOWS * MAX_RATIO_ABOVE_BASELINE)
}

/// Returns the time from which a message of this class is sent whatever the ratio, as it cannot wait any
/// longer.
pub fn last_attempt_at(class: &Class, deadline: Time) -> Time {
    deadline - class.latency_objective.mul_f64(LAST_ATTEMPT_OBJECTIVES_BEFORE_DEADLINE)
}
