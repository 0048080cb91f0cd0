//! How much this gateway sends a route in ordinary times.
//!
//! The calls that were served there before an outage add up, over all gateways, to what the destination can
//! do, whatever the number of waiting messages. Both rates are taken over the length of a slow start.

use super::derived_settings::warm_up_secs;
use super::state::decaying_rate::DecayingRate;
use crate::model::{Settings, Time};
use serde::{Deserialize, Serialize};

/// Fewer messages than this over the length of a slow start are low traffic: too few to learn a rate from.
const LOW_TRAFFIC_MESSAGES: f64 = 2.0;
/// Demand counts up to this multiple of what was served before: during an outage clients send everything
/// again.
const MAX_DEMAND_BASELINE_MULTIPLE: f64 = 1.5;

/// Demand for a route, and calls served there.
#[derive(Default, Serialize, Deserialize)]
pub struct Traffic {
    demand: DecayingRate,
    served: DecayingRate,
    /// Calls served a second before the last success. Does not fall while the route recovers.
    baseline_per_sec: f64,
}

impl Traffic {
    /// A message for the route was accepted, or was rejected because this gateway was nearly full.
    pub fn record_demand(&mut self, now: Time, settings: &Settings) {
        self.demand.record(now, warm_up_secs(settings));
    }

    /// A call was served; `recovering` while its circuit is open or its slow start runs.
    pub fn record_served(&mut self, now: Time, settings: &Settings, is_recovering: bool) {
        let served_per_sec = self.served.per_sec(now, warm_up_secs(settings));
        self.baseline_per_sec =
            if is_recovering { served_per_sec.max(self.baseline_per_sec) } else { served_per_sec };
        self.served.record(now, warm_up_secs(settings));
    }

    /// Messages a second for this route.
    pub fn demand_per_sec(&mut self, now: Time, settings: &Settings) -> f64 {
        self.demand.per_sec(now, warm_up_secs(settings))
    }

    /// What this gateway would send now to the healthy destination, in calls a second.
    pub fn expected_per_sec(&mut self, now: Time, settings: &Settings) -> f64 {
        let max_per_sec = self.baseline_per_sec * MAX_DEMAND_BASELINE_MULTIPLE;
        self.demand_per_sec(now, settings).clamp(self.baseline_per_sec, max_per_sec)
    }

    /// Whether this gateway has too few messages here for a rate of its own.
    pub fn is_low(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand_per_sec(now, settings) * warm_up_secs(settings) < LOW_TRAFFIC_MESSAGES
    }

    /// Calls a second that were served in ordinary times.
    pub fn baseline_per_sec(&self) -> f64 {
        self.baseline_per_sec
    }

    /// Restores the baseline after a restart.
    pub fn restore_baseline(&mut self, baseline_per_sec: f64) {
        self.baseline_per_sec = baseline_per_sec;
    }
}
