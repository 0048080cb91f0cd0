//! Exponential backoff, before a rule applies its own limits and jitter.

use std::time::Duration;

/// From this attempt on the delay no longer doubles: every rule caps it far below.
const MAX_DOUBLINGS: u32 = 16;

/// A delay of `base_ratio` times `unit`, doubled with each attempt (counted from 0).
pub fn exponential(unit: Duration, base_ratio: f64, attempts: u32) -> Duration {
    unit.mul_f64(base_ratio * f64::from(attempts.min(MAX_DOUBLINGS)).exp2())
}
