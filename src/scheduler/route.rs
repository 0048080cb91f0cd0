//! A route: a destination, or one endpoint of it, that has its own rate limit, circuit breaker and slow
//! start. This module only holds the state of the rules of a route.

use super::circuit_breaker::{CircuitBreaker, ProbeTiming};
use super::loss_ratio::LossRatio;
use super::rate_limit::RateLimit;
use super::retry_after::RetryAfter;
use super::slow_start::{overload_budget_per_sec, SlowStart};
use super::state::{CallId, LatencyEstimate};
use super::traffic::Traffic;
use crate::model::{EndpointId, Settings, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The state of a route.
#[derive(Default, Serialize, Deserialize)]
pub struct Route {
    /// Endpoints to which calls of the route may be sent, eligible or not.
    pub endpoints: Vec<EndpointId>,
    /// The maximum number of messages in one call.
    pub batch_size: usize,
    /// Calls in flight, the oldest first.
    pub calls: BTreeSet<CallId>,
    /// Demand, and calls served.
    pub traffic: Traffic,
    /// Latency of calls by this route.
    pub latency: LatencyEstimate,
    /// Ratio of calls that may have run without success.
    pub losses: LossRatio,
    /// The rate at which the route may be called.
    pub rate_limit: RateLimit,
    /// Permits only half-open probes while it is open.
    pub circuit: CircuitBreaker,
    /// Limits the rate while the destination recovers from an outage.
    pub slow_start: SlowStart,
    /// Blocks the route until a time requested by the destination.
    pub retry_after: RetryAfter,
}

impl Route {
    /// Returns whether the circuit is open or the slow start is active.
    pub fn is_recovering(&self) -> bool {
        self.circuit.is_open() || self.slow_start.is_active()
    }

    /// Returns whether the route has state that must be kept across a restart.
    pub fn has_circuit_record(&self) -> bool {
        self.circuit.has_history() || self.slow_start.is_active()
    }

    /// Returns the calls per second that this gateway may send now.
    pub fn rate_per_sec(&mut self, now: Time, settings: &Settings) -> f64 {
        match self.slow_start.warm_up_progress(now, settings) {
            Some(progress) => {
                self.overload_budget_per_sec(now, settings, progress).min(self.rate_limit.rate_per_sec())
            }
            None => self.rate_limit.rate_per_sec(),
        }
    }

    /// Returns this gateway's share of the calls that the destination may get, in calls per second, at a
    /// progress of its slow start from 0 to 1.
    pub fn overload_budget_per_sec(&mut self, now: Time, settings: &Settings, warm_up_progress: f64) -> f64 {
        let limit_per_sec = self.rate_limit.limit_per_sec();
        overload_budget_per_sec(settings, now, &mut self.traffic, limit_per_sec, warm_up_progress)
    }

    /// Schedules the next half-open probe, if the circuit is open. `random_fraction` is a random number in
    /// `0.0..1.0`.
    pub fn schedule_probe(&mut self, now: Time, settings: &Settings, random_fraction: f64) {
        let calls_per_sec = self.overload_budget_per_sec(now, settings, 0.0);
        let timing = ProbeTiming { calls_per_sec, not_before: self.retry_after.until(), random_fraction };
        self.circuit.schedule_probe(now, settings, &timing);
    }
}
