//! A route: what has one rate limit, one circuit breaker and one slow start. It only holds the state of the
//! rules.

use super::circuit_breaker::{CircuitBreaker, ProbeBudget};
use super::loss_ratio::LossRatio;
use super::rate_limit::RateLimit;
use super::retry_after::RetryAfter;
use super::slow_start::{overload_budget_per_sec, SlowStart};
use super::state::{CallId, LatencyEstimate};
use super::traffic::Traffic;
use crate::model::{EndpointId, Settings, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What is known of a route.
#[derive(Default, Serialize, Deserialize)]
pub struct Route {
    /// Endpoints that its calls may go to.
    pub endpoints: Vec<EndpointId>,
    /// Messages that one call may carry.
    pub batch_size: usize,
    /// Calls in flight, the oldest first.
    pub calls: BTreeSet<CallId>,
    /// Demand, and calls served.
    pub traffic: Traffic,
    /// Latency of its calls.
    pub latency: LatencyEstimate,
    /// Calls that may have run without success.
    pub losses: LossRatio,
    /// The rate at which it may be called.
    pub rate_limit: RateLimit,
    /// Whether only half-open probes may be sent.
    pub circuit: CircuitBreaker,
    /// The recovery after an outage.
    pub slow_start: SlowStart,
    /// Until when it may not be called at all.
    pub retry_after: RetryAfter,
}

impl Route {
    /// Whether its circuit is open or its slow start runs.
    pub fn is_recovering(&self) -> bool {
        self.circuit.is_open() || self.slow_start.is_active()
    }

    /// Whether there is something to be remembered over a restart.
    pub fn has_circuit_record(&self) -> bool {
        self.circuit.has_history() || self.slow_start.is_active()
    }

    /// Calls a second that this gateway may send now.
    pub fn rate_per_sec(&mut self, now: Time, settings: &Settings) -> f64 {
        match self.slow_start.warm_up_progress(now, settings) {
            Some(progress) => {
                self.overload_budget_per_sec(now, settings, progress).min(self.rate_limit.rate_per_sec())
            }
            None => self.rate_limit.rate_per_sec(),
        }
    }

    /// This gateway's share of what the destination may get at some point of its recovery, in calls a second.
    pub fn overload_budget_per_sec(&mut self, now: Time, settings: &Settings, warm_up_progress: f64) -> f64 {
        let limit_per_sec = self.rate_limit.limit_per_sec();
        overload_budget_per_sec(settings, now, &mut self.traffic, limit_per_sec, warm_up_progress)
    }

    /// Sets when the next half-open probe may be sent, if the circuit is open; `chance` is a random number in
    /// `0.0..1.0`.
    pub fn schedule_probe(&mut self, now: Time, settings: &Settings, random_fraction: f64) {
        let calls_per_sec = self.overload_budget_per_sec(now, settings, 0.0);
        let budget = ProbeBudget { calls_per_sec, not_before: self.retry_after.until(), random_fraction };
        self.circuit.schedule_probe(now, settings, &budget);
    }
}
