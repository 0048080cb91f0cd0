//! The backoff of the watch on the endpoint list: delays the first watch, and each new one after a failure or
//! a rejection. It owns the number of rejections and the time of the next request.
//!
//! All gateways may lose the watch at the same moment, and together they must not send requests faster than
//! discovery can answer them. So delays grow with the size of the fleet and are random.

use super::backoff;
use super::derived_settings::fleet_size;
use crate::model::{Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long discovery may take to answer a watch request. A shorter timeout would make it answer twice.
pub const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The delay after the watch broke or could not be started, other than by a rejection.
const DELAY_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// The upper end of the first random delay after a rejection, per gateway of the fleet.
const FIRST_REJECTION_DELAY_PER_GATEWAY: Duration = Duration::from_millis(200);
/// The maximum upper end of later random delays after a rejection, per gateway of the fleet.
const MAX_REJECTION_DELAY_PER_GATEWAY: Duration = Duration::from_secs(1);
/// The maximum delay after a rejection, whatever the size of the fleet. Without a watch a gateway does not
/// notice that an endpoint starts to drain, which it should within the drain grace period, and the answer
/// itself may take [`WATCH_RESPONSE_TIMEOUT`].
const MAX_REJECTION_DELAY: Duration = Duration::from_secs(5);
/// The time per gateway of the fleet over which the first watch is spread, limited by
/// [`MAX_START_SPREAD_DRAIN_GRACE_RATIO`].
const START_SPREAD_PER_GATEWAY: Duration = Duration::from_millis(100);
/// The maximum spread of the first watch, as a ratio of the drain grace period, which keeps running while a
/// gateway is down.
const MAX_START_SPREAD_DRAIN_GRACE_RATIO: f64 = 0.5;

/// Returns the delay before the first watch request. `random_fraction` is a random number in `0.0..1.0`.
pub fn initial_delay(settings: &Settings, random_fraction: f64) -> Duration {
    let max_delay = settings.limits.drain_grace.mul_f64(MAX_START_SPREAD_DRAIN_GRACE_RATIO);
    START_SPREAD_PER_GATEWAY.mul_f64(fleet_size(settings)).min(max_delay).mul_f64(random_fraction)
}

/// The backoff state of the watch on the endpoint list.
#[derive(Default, Serialize, Deserialize)]
pub struct WatchBackoff {
    /// Number of rejections since the watch was last established.
    rejections: u32,
    /// When the next request is due; none if no request is due.
    retry_at: Option<Time>,
}

impl WatchBackoff {
    /// Resets the backoff after the watch was established.
    pub fn on_established(&mut self) {
        self.rejections = 0;
        self.retry_at = None;
    }

    /// Schedules a request after the watch broke or could not be started. The number of rejections stays.
    pub fn on_failed(&mut self, now: Time) {
        self.retry_at = Some(now + DELAY_AFTER_FAILURE);
    }

    /// Schedules a request after discovery rejected one because it is overloaded. `random_fraction` is a
    /// random number in `0.0..1.0`.
    pub fn on_rejected(&mut self, now: Time, settings: &Settings, random_fraction: f64) {
        let max_delay = backoff::exponential(FIRST_REJECTION_DELAY_PER_GATEWAY, 1.0, self.rejections)
            .min(MAX_REJECTION_DELAY_PER_GATEWAY)
            .mul_f64(fleet_size(settings));
        let delay = if max_delay > MAX_REJECTION_DELAY {
            // All gateways reach this maximum together, so they spread over its second half.
            MAX_REJECTION_DELAY.mul_f64(0.5 + 0.5 * random_fraction)
        } else {
            max_delay.mul_f64(random_fraction)
        };
        self.retry_at = Some(now + delay);
        self.rejections += 1;
    }

    /// Returns whether a request is due now. If so, it counts as sent.
    pub fn take_due(&mut self, now: Time) -> bool {
        self.retry_at.take_if(|at| *at <= now).is_some()
    }

    /// Returns when the next request is due; none if no request is due.
    pub fn retry_at(&self) -> Option<Time> {
        self.retry_at
    }
}
