//! The slow start of a route after an outage, and the overload budget, which keeps a recovering destination
//! from being overloaded.
//!
//! A recovering destination has only a part of its capacity, and fails again if it gets more than a multiple
//! of that during the overload window. Three rules use the same overload budget: it is the maximum rate
//! during a slow start and the minimum rate after a cut by `rate_limit`, and it delays the probes of
//! `circuit_breaker`. This module owns the start time of the slow start.

use super::derived_settings::{fleet_size, shortest_deadline_secs, warm_up_secs};
use super::traffic::Traffic;
use crate::model::{Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The ratio of the budget that is used. The rest is a margin for rejected calls, batches and random
/// variation.
const USED_BUDGET_RATIO: f64 = 0.8;

/// The slow start of a route, if one is active.
#[derive(Default, Serialize, Deserialize)]
pub struct SlowStart {
    /// May lie in the future, if the destination has announced when it is back.
    since: Option<Time>,
}

impl SlowStart {
    /// Begins a slow start at time `at`, possibly in the future.
    pub fn begin(&mut self, at: Time) {
        self.since = Some(at);
    }

    /// Cancels the slow start because the destination is unavailable again.
    pub fn cancel(&mut self) {
        self.since = None;
    }

    /// Restores the start of the slow start from before a restart; none if there was none.
    pub fn restore(&mut self, since: Option<Time>) {
        self.since = since;
    }

    /// Returns when the active slow start began or will begin; none if none is active.
    pub fn since(&self) -> Option<Time> {
        self.since
    }

    /// Returns whether a slow start is active, even if it begins in the future.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Returns when the active slow start ends; none if none is active.
    pub fn ends_at(&self, settings: &Settings) -> Option<Time> {
        let duration = Duration::from_secs_f64(warm_up_secs(settings));
        self.since.map(|since| since + duration)
    }

    /// Returns the progress of the slow start, from 0 to below 1; 0 before its start. None if none is active
    /// or its time has elapsed.
    pub fn warm_up_progress(&self, now: Time, settings: &Settings) -> Option<f64> {
        let progress = (now - self.since?).as_secs_f64() / warm_up_secs(settings);
        (progress < 1.0).then_some(progress)
    }

    /// Ends the slow start if its time has elapsed. Returns whether it did.
    pub fn finish_if_elapsed(&mut self, now: Time, settings: &Settings) -> bool {
        let is_over = self.since.is_some() && self.warm_up_progress(now, settings).is_none();
        if is_over {
            self.since = None;
        }
        is_over
    }
}

/// Returns this gateway's share of the calls that a recovering destination may get, in calls per second.
///
/// `limit_per_sec` is the limit of the healthy destination over all gateways; `warm_up_progress` runs from 0
/// to 1 over a slow start. The share follows what this gateway ordinarily sends to the destination, and is at
/// least an even share.
pub fn overload_budget_per_sec(
    settings: &Settings,
    now: Time,
    traffic: &mut Traffic,
    limit_per_sec: f64,
    warm_up_progress: f64,
) -> f64 {
    // A gateway with low traffic may send one call per deadline, as its messages would expire unsent
    // otherwise. Of the gateways with low traffic, only a few have messages for the same destination at the
    // same time.
    let min_per_sec =
        if traffic.is_low(now, settings) { shortest_deadline_secs(settings).recip() } else { 0.0 };
    let share_per_sec = traffic.expected_per_sec(now, settings).max(limit_per_sec / fleet_size(settings));
    let limits = &settings.limits;
    let capacity_ratio = limits.cold_capacity_ratio + (1.0 - limits.cold_capacity_ratio) * warm_up_progress;
    (share_per_sec * capacity_ratio * limits.overload_multiple * USED_BUDGET_RATIO).max(min_per_sec)
}
