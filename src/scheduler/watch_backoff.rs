//! When the watch on the endpoint list is started, and when it is started again after it broke or was
//! rejected.
//!
//! All gateways lose the watch at the same moment, and together they must ask less often than discovery can
//! answer. So delays grow with the size of the fleet, and are drawn at random.

use super::backoff;
use super::derived_settings::fleet_size;
use crate::model::{Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long discovery may take to answer a watch request. Giving up earlier would make it answer twice.
pub const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after the watch broke without a response from discovery.
const DELAY_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// Upper end of the first random delay after a rejection, for each gateway of the fleet.
const FIRST_REJECTION_DELAY_PER_GATEWAY: Duration = Duration::from_millis(200);
/// Upper end of every later random delay after a rejection, for each gateway of the fleet.
const MAX_REJECTION_DELAY_PER_GATEWAY: Duration = Duration::from_secs(1);
/// Longest delay after a rejection, whatever the size of the fleet: an instance that starts to drain must be
/// noticed within the drain's grace time, and the answer itself may take [`WATCH_RESPONSE_TIMEOUT`].
const MAX_REJECTION_DELAY: Duration = Duration::from_secs(5);
/// The first watch is spread over this time for each gateway of the fleet, up to
/// [`START_SPREAD_OF_DRAIN_GRACE`].
const START_SPREAD_PER_GATEWAY: Duration = Duration::from_millis(100);
/// The first watch is spread at most over this ratio of the drain's grace time, which runs on while a gateway
/// is down.
const MAX_START_SPREAD_DRAIN_GRACE_RATIO: f64 = 0.5;

/// The delay before the first watch request; `chance` is a random number in `0.0..1.0`.
pub fn initial_delay(settings: &Settings, random_fraction: f64) -> Duration {
    let max_delay = settings.limits.drain_grace.mul_f64(MAX_START_SPREAD_DRAIN_GRACE_RATIO);
    START_SPREAD_PER_GATEWAY.mul_f64(fleet_size(settings)).min(max_delay).mul_f64(random_fraction)
}

/// Backoff of the watch on the endpoint list.
#[derive(Default, Serialize, Deserialize)]
pub struct WatchBackoff {
    /// Rejections since the watch was last established.
    rejections: u32,
    /// When the next request is due, if one is.
    retry_at: Option<Time>,
}

impl WatchBackoff {
    /// The watch is up: no request is due.
    pub fn on_established(&mut self) {
        self.rejections = 0;
        self.retry_at = None;
    }

    /// The watch broke, or could not be started.
    pub fn on_failed(&mut self, now: Time) {
        self.retry_at = Some(now + DELAY_AFTER_FAILURE);
    }

    /// Discovery rejected the request as it is overloaded; `chance` is a random number in `0.0..1.0`.
    pub fn on_rejected(&mut self, now: Time, settings: &Settings, random_fraction: f64) {
        let max_delay = backoff::exponential(FIRST_REJECTION_DELAY_PER_GATEWAY, 1.0, self.rejections)
            .min(MAX_REJECTION_DELAY_PER_GATEWAY)
            .mul_f64(fleet_size(settings));
        let delay = if max_delay > MAX_REJECTION_DELAY {
            // All gateways reach this bound together: they spread over its second half.
            MAX_REJECTION_DELAY.mul_f64(0.5 + 0.5 * random_fraction)
        } else {
            max_delay.mul_f64(random_fraction)
        };
        self.retry_at = Some(now + delay);
        self.rejections += 1;
    }

    /// Whether a request is due now; it then counts as made.
    pub fn take_due(&mut self, now: Time) -> bool {
        self.retry_at.take_if(|at| *at <= now).is_some()
    }

    /// When the next request is due, if one is.
    pub fn retry_at(&self) -> Option<Time> {
        self.retry_at
    }
}
