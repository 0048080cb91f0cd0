//! Exponential backoff, before a rule applies its own maximum and jitter.

use std::time::Duration;

/// The maximum number of doublings. Every rule reaches its maximum delay far earlier.
const MAX_DOUBLINGS: u32 = 16;

/// Returns `base_ratio` times `unit`, doubled `attempts` times.
pub fn exponential(unit: Duration, base_ratio: f64, attempts: u32) -> Duration {
    unit.mul_f64(base_ratio * f64::from(attempts.min(MAX_DOUBLINGS)).exp2())
}
