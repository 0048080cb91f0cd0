//! The ordinary traffic of this gateway on a route: demand, and calls served. It stops no call; `rate_limit`
//! and `slow_start` derive rates from it.
//!
//! The calls that all gateways had served on a route before an outage add up to the capacity of the
//! destination, whatever the number of waiting messages. Both rates are averaged over the length of a slow
//! start.

use super::derived_settings::warm_up_secs;
use super::state::decaying_rate::DecayingRate;
use crate::model::{Settings, Time};
use serde::{Deserialize, Serialize};

/// The number of messages over the length of a slow start below which traffic is low: too few to estimate a
/// rate.
const LOW_TRAFFIC_MESSAGES: f64 = 2.0;
/// The maximum expected demand, as a multiple of the calls served before. During an outage clients send
/// everything again, which inflates demand.
const MAX_DEMAND_BASELINE_MULTIPLE: f64 = 1.5;

/// Demand for a route, and calls served on it.
#[derive(Default, Serialize, Deserialize)]
pub struct Traffic {
    demand: DecayingRate,
    served: DecayingRate,
    /// Calls served per second before the last success. Does not fall while the route recovers.
    baseline_per_sec: f64,
}

impl Traffic {
    /// Records that a message for the route was accepted, or was rejected because this gateway was nearly
    /// full.
    pub fn record_demand(&mut self, now: Time, settings: &Settings) {
        self.demand.record(now, warm_up_secs(settings));
    }

    /// Records a served call. `is_recovering` is true while the route's circuit is open or its slow start is
    /// active.
    pub fn record_served(&mut self, now: Time, settings: &Settings, is_recovering: bool) {
        let served_per_sec = self.served.per_sec(now, warm_up_secs(settings));
        self.baseline_per_sec =
            if is_recovering { served_per_sec.max(self.baseline_per_sec) } else { served_per_sec };
        self.served.record(now, warm_up_secs(settings));
    }

    /// Returns the demand, in messages per second.
    pub fn demand_per_sec(&mut self, now: Time, settings: &Settings) -> f64 {
        self.demand.per_sec(now, warm_up_secs(settings))
    }

    /// Returns the calls per second that this gateway would send now if the destination were healthy.
    pub fn expected_per_sec(&mut self, now: Time, settings: &Settings) -> f64 {
        let max_per_sec = self.baseline_per_sec * MAX_DEMAND_BASELINE_MULTIPLE;
        self.demand_per_sec(now, settings).clamp(self.baseline_per_sec, max_per_sec)
    }

    /// Returns whether this gateway has too few messages for the route to estimate a rate of its own.
    pub fn is_low(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand_per_sec(now, settings) * warm_up_secs(settings) < LOW_TRAFFIC_MESSAGES
    }

    /// Returns the calls per second that were served in ordinary times.
    pub fn baseline_per_sec(&self) -> f64 {
        self.baseline_per_sec
    }

    /// Restores the baseline after a restart.
    pub fn restore_baseline(&mut self, baseline_per_sec: f64) {
        self.baseline_per_sec = baseline_per_sec;
    }
}
