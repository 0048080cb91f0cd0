//! What is learnt of a route from the outcome of a call: each rule learns in a step of its own, in the order below.

use super::circuit_breaker::{longest_transient, Severity};
use super::rate_limit::Rejection;
use super::state::queue::Queue;
use super::state::{Call, Route, RouteId};
use super::Scheduler;
use crate::model::*;

impl Scheduler {
    /// Lets the rules of a route learn from one of its calls.
    pub(super) fn learn(&mut self, now: Time, finished: &FinishedAttempt, call: &Call) {
        let chance = self.rng.f64();
        let waiting_messages = self.queues.get(&call.route.destination).map_or(0, Queue::len) as f64;
        let has_healthy_endpoint = self.has_healthy_endpoint(call.route);
        let settings = &self.settings;
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        let outcome = finished.outcome;
        let report = finished.load_report;

        route.rate_limit.adopt_reported_limit(report);
        // A time-out is a sample too, of at least its length: else time-outs would stay too short all through a slow
        // phase, and each retry would meet the attempt before it still running.
        if let AttemptOutcome::Delivered | AttemptOutcome::Timeout | AttemptOutcome::Cancelled = outcome {
            route.latency.record_starting_from(&self.latency, finished.latency);
        }
        if outcome == AttemptOutcome::Delivered {
            self.latency.record(finished.latency);
        }
        route.losses.record(now, settings, outcome);
        match outcome {
            AttemptOutcome::Delivered => route.learn_success(now, settings, report),
            AttemptOutcome::Rejected(Some(wait)) if wait > longest_transient(settings) => {
                route.learn_announced_return(chance);
            }
            AttemptOutcome::Rejected(_) => {
                route.learn_rejection(now, settings, waiting_messages, chance);
                route.learn_failure(now, settings, Severity::of_rejection(report), outcome, chance);
            }
            _ => {
                let no_success_since = route.circuit.no_success_since(call.sent);
                let severity = severity_of_failure(outcome, no_success_since, has_healthy_endpoint);
                route.learn_failure(now, settings, severity, outcome, chance);
            }
        }
    }

    /// Whether an endpoint of a route may be used and has not failed since it last delivered.
    fn has_healthy_endpoint(&self, id: RouteId) -> bool {
        let endpoints = self.routes.get(&id).into_iter().flat_map(|route| &route.endpoints);
        endpoints.filter_map(|id| self.addresses.get(id)).any(|a| self.is_open(a) && a.failures == 0)
    }
}

/// What a call that wasn't rejected says of an outage. With a success since it was sent it says nothing. Nor do errors
/// and resets while an endpoint is left that did not fail; silence does, as all endpoints mostly hang together.
fn severity_of_failure(
    outcome: AttemptOutcome,
    no_success_since: bool,
    has_healthy_endpoint: bool,
) -> Severity {
    match outcome {
        _ if !no_success_since => Severity::None,
        AttemptOutcome::ConnectFailed => Severity::Certain,
        AttemptOutcome::Timeout | AttemptOutcome::Cancelled => Severity::Major,
        AttemptOutcome::ErrorResponse | AttemptOutcome::Reset if !has_healthy_endpoint => Severity::Major,
        // It is up, and may yet be failing most calls.
        AttemptOutcome::MalformedResponse => Severity::Minor,
        AttemptOutcome::ErrorResponse
        | AttemptOutcome::Reset
        | AttemptOutcome::Delivered
        | AttemptOutcome::Rejected(_)
        | AttemptOutcome::NotSent
        | AttemptOutcome::AttemptsExhausted
        | AttemptOutcome::TooManyConnections
        | AttemptOutcome::LocalFailure => Severity::None,
    }
}

impl Route {
    fn learn_success(&mut self, now: Time, settings: &Settings, report: Option<LoadReport>) {
        let recovering = self.is_recovering();
        self.traffic.record_served(now, settings, recovering);
        if self.circuit.success_ends_outage(now, settings) {
            self.slow_start.begin(now);
            self.rate_limit.drain();
        }
        self.rate_limit.on_success(settings, report);
        self.circuit.on_success(now);
    }

    /// The destination is shut, and said until when. All that it rejected come back at that moment: the slow start
    /// begins there, each gateway somewhere inside the interval between two of its calls, with nothing saved up.
    fn learn_announced_return(&mut self, chance: f64) {
        let back_at = self.retry_after.until();
        self.slow_start.begin(back_at);
        self.rate_limit.restart(back_at, chance);
        self.circuit.on_announced_return();
    }

    fn learn_rejection(&mut self, now: Time, settings: &Settings, waiting_messages: f64, chance: f64) {
        let rejection = Rejection {
            waiting_messages,
            batch_size: self.batch_size,
            demand_per_sec: self.traffic.demand_per_sec(now, settings),
            floor_per_sec: self.overload_budget_per_sec(now, settings, 0.0),
            low_traffic: self.traffic.is_low(now, settings),
            chance,
        };
        self.rate_limit.on_rejection(now, settings, &rejection);
    }

    /// A destination whose circuit opens has no slow start any more.
    fn learn_failure(
        &mut self,
        now: Time,
        settings: &Settings,
        severity: Severity,
        outcome: AttemptOutcome,
        chance: f64,
    ) {
        let is_rejection = matches!(outcome, AttemptOutcome::Rejected(_));
        if self.circuit.on_failure(severity, is_rejection) {
            self.schedule_probe(now, settings, chance);
            self.slow_start.cancel();
        }
    }
}
