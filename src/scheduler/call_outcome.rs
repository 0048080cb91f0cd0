//! Applies the outcome of an attempt to its message, and the outcome of a call to connection reuse, endpoint
//! and route.
//!
//! The messages of a call may end with different outcomes. The rules of the route record each call once, with
//! the outcome of its last message to end, in the order of [`Scheduler::update_route`].

use super::circuit_breaker::{max_transient_outage, Failure, Severity};
use super::idempotency;
use super::rate_limit::Rejection;
use super::retry;
use super::route::Route;
use super::state::queue::Queue;
use super::state::{Call, CallId, UncertainAttempt};
use super::{Deadline, Scheduler};
use crate::model::*;
use std::time::Duration;

impl Scheduler {
    /// Blocks the route of an endpoint that has sent a Retry-After, for `delay` from now.
    pub(super) fn on_retry_after(&mut self, now: Time, endpoint: EndpointId, delay: Duration) {
        let Some(endpoint) = self.endpoints.get(&endpoint) else { return };
        let id = self.route_of(&endpoint.entry);
        self.mark_destination_changed(id.destination);
        if let Some(route) = self.routes.get_mut(&id) {
            route.retry_after.extend(now + delay);
        }
    }

    /// Handles the end of an attempt. The last attempt of a call to end completes the call.
    pub(super) fn on_attempt_finished(&mut self, now: Time, finished: FinishedAttempt) {
        // A Retry-After applies from the first message of the call that reports it, whatever the state of
        // that message.
        if let AttemptOutcome::Rejected(Some(delay)) = finished.outcome {
            self.on_retry_after(now, finished.endpoint, delay);
        }
        let id = finished.message;
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(call_id) = message.call.take() else { return };
        let destination = message.accepted.destination;
        self.mark_destination_changed(destination);
        self.record_attempt(now, call_id, &finished);
        // The call is complete with the last of its messages to end, and takes the outcome of that one.
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.unfinished_attempts -= 1;
        if call.unfinished_attempts == 0 {
            if let Some(call) = self.calls.remove(&call_id) {
                self.complete_call(now, call_id, call, &finished);
            }
        }
        self.update_queue_state(id);
        if finished.completes_message {
            self.complete_message(id);
        } else {
            self.set_last_send_deadline(now, id);
        }
        self.delete_if_settled(id);
    }

    /// Updates a message after an attempt: its number of attempts, its first uncertain attempt, its backoff
    /// and the hold on its ordering key.
    fn record_attempt(&mut self, now: Time, call_id: CallId, finished: &FinishedAttempt) {
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call) = self.calls.get(&call_id) else { return };
        let outcome = finished.outcome;
        match outcome {
            AttemptOutcome::LocalFailure => message.attempts = message.attempts.saturating_sub(1),
            AttemptOutcome::AttemptsExhausted => message.attempts = self.settings.max_attempts,
            _ => {}
        }
        let may_have_run = !outcome.was_not_processed();
        if may_have_run {
            let attempt = UncertainAttempt { sent_at: call.sent_at, zone: Some(call.zone) };
            message.first_uncertain_attempt.get_or_insert(attempt);
        }
        let objective = message.class(&self.settings).latency_objective;
        message.not_before = now + retry::backoff_delay(objective, message.attempts, self.rng.f64());
        let may_still_run =
            may_have_run && !matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::ErrorResponse);
        if let Some(key) = message.ordering_key(&self.settings).filter(|_| may_still_run) {
            self.ordering.hold(now, key, now + self.settings.limits.ordering_key_hold);
        }
    }

    /// Schedules the final outcome of a message for the time from which it can never be sent again. After
    /// that time it would only use up capacity and block the messages behind it in the order of its key.
    pub(super) fn set_last_send_deadline(&mut self, now: Time, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if let Some(last_send_at) = idempotency::last_send_at(&self.settings, message) {
            self.deadlines.insert(Deadline { at: last_send_at.max(now), message: id });
        }
    }

    /// Frees the slot of a call, and updates connection reuse, endpoint and route with its outcome.
    fn complete_call(&mut self, now: Time, id: CallId, call: Call, finished: &FinishedAttempt) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.calls.remove(&id);
        }
        self.ready_index.unresponsive_calls.remove(&id);
        let is_idle_connection_loss = self.update_connection_reuse(now, finished.outcome, &call);
        self.update_endpoint(now, finished.outcome, &call, is_idle_connection_loss);
        let had_record = self.has_circuit_record(call.route);
        if !is_idle_connection_loss {
            self.update_route(now, finished, &call);
        }
        if had_record || self.has_circuit_record(call.route) {
            self.ready_index.changed_circuits.insert(call.route);
        }
        self.schedule_response_check(call.route);
    }

    /// Updates the risk of idle connections. Returns whether an idle connection most likely caused the loss
    /// of the call; such a loss is no evidence about endpoint and route.
    fn update_connection_reuse(&mut self, now: Time, outcome: AttemptOutcome, call: &Call) -> bool {
        let is_lost =
            matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled);
        let is_idle_connection_loss =
            is_lost && self.connection_reuse.likely_caused_loss(&self.settings, call.connection_idle_time);
        // An unresponsive call was already counted when it became unresponsive.
        if is_lost && !call.is_unresponsive {
            self.connection_reuse.record_loss(now, &self.settings, call.connection_idle_time);
        }
        if outcome == AttemptOutcome::Delivered {
            self.connection_reuse.record_success(now, &self.settings, call.connection_idle_time);
        }
        if outcome == AttemptOutcome::TooManyConnections {
            self.connection_reuse.on_too_many_connections(now, &self.settings);
        }
        is_idle_connection_loss
    }

    fn update_endpoint(
        &mut self,
        now: Time,
        outcome: AttemptOutcome,
        call: &Call,
        is_idle_connection_loss: bool,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return };
        endpoint.calls_in_flight = endpoint.calls_in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Delivered => endpoint.on_delivered(now),
            AttemptOutcome::Rejected(_) => endpoint.connection_used_at = Some(now),
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::Timeout
            | AttemptOutcome::Reset
            | AttemptOutcome::ErrorResponse => {
                if !is_idle_connection_loss {
                    endpoint.on_failure(now, &self.settings, self.rng.f64());
                }
            }
            AttemptOutcome::MalformedResponse
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::AttemptsExhausted
            | AttemptOutcome::TooManyConnections
            | AttemptOutcome::LocalFailure => {}
        }
        if self.connection_reuse.is_paused(now) {
            endpoint.connection_used_at = None;
            self.actions.push(Action::CloseIdleConnections { endpoint: call.endpoint });
        }
        if endpoint.calls_in_flight == 0 && endpoint.is_removed() {
            self.delete_endpoint(call.endpoint);
        }
    }

    /// Updates the rules of a route with the outcome of one of its calls: reported limit, latency and loss
    /// ratio; then, by the kind of outcome, traffic, slow start, rate limit and circuit breaker.
    fn update_route(&mut self, now: Time, finished: &FinishedAttempt, call: &Call) {
        let random_fraction = self.rng.f64();
        let waiting_messages = self.queues.get(&call.route.destination).map_or(0, Queue::len) as f64;
        let has_healthy_endpoint = self.has_healthy_endpoint(call.route);
        let settings = &self.settings;
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        let outcome = finished.outcome;
        let report = finished.load_report;

        route.rate_limit.adopt_reported_limit(report);
        // A timeout is a sample too: the latency is at least as long. Without it, attempt timeouts would stay
        // too short while the destination is slow, and each retry would arrive while the previous attempt is
        // still running.
        if let AttemptOutcome::Delivered | AttemptOutcome::Timeout | AttemptOutcome::Cancelled = outcome {
            route.latency.record_starting_from(&self.latency, finished.latency);
        }
        if outcome == AttemptOutcome::Delivered {
            self.latency.record(finished.latency);
        }
        route.losses.record(now, settings, outcome);
        match outcome {
            AttemptOutcome::Delivered => route.on_success(now, settings, report),
            AttemptOutcome::Rejected(Some(wait)) if wait > max_transient_outage(settings) => {
                route.on_announced_return(random_fraction);
            }
            AttemptOutcome::Rejected(_) => {
                route.on_rejection(now, settings, waiting_messages, random_fraction);
                let failure = Failure::Rejected(Severity::of_rejection(report));
                route.on_failure(now, settings, failure, random_fraction);
            }
            _ => {
                let no_success_since = route.circuit.no_success_since(call.sent_at);
                let severity = if no_success_since {
                    severity_of_failure(outcome, has_healthy_endpoint)
                } else {
                    Severity::None
                };
                route.on_failure(now, settings, Failure::Lost(severity), random_fraction);
            }
        }
    }
}

/// Returns the severity of a failed call if no call has succeeded since it was started. Errors and resets do
/// not count while the route has a healthy endpoint. Missing responses do, as usually all endpoints of a
/// route stall at once.
fn severity_of_failure(outcome: AttemptOutcome, has_healthy_endpoint: bool) -> Severity {
    match outcome {
        AttemptOutcome::ConnectFailed => Severity::Certain,
        AttemptOutcome::Timeout | AttemptOutcome::Cancelled => Severity::Major,
        AttemptOutcome::ErrorResponse | AttemptOutcome::Reset if !has_healthy_endpoint => Severity::Major,
        // The destination is up, but may be failing most calls.
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
    fn on_success(&mut self, now: Time, settings: &Settings, report: Option<LoadReport>) {
        let is_recovering = self.is_recovering();
        self.traffic.record_served(now, settings, is_recovering);
        if self.circuit.success_ends_outage(now, settings) {
            self.slow_start.begin(now);
            self.rate_limit.clear_tokens();
        }
        self.rate_limit.on_success(settings, report);
        self.circuit.on_success(now);
    }

    /// The destination is closed and has announced when it is back. All rejected messages wait for that
    /// moment, so the slow start begins there without saved tokens, and the first call of each gateway is at
    /// a random point within the interval between two of its calls.
    fn on_announced_return(&mut self, random_fraction: f64) {
        let back_at = self.retry_after.until();
        self.slow_start.begin(back_at);
        self.rate_limit.restart(back_at, random_fraction);
        self.circuit.on_announced_return();
    }

    fn on_rejection(&mut self, now: Time, settings: &Settings, waiting_messages: f64, random_fraction: f64) {
        let rejection = Rejection {
            waiting_messages,
            batch_size: self.batch_size,
            demand_per_sec: self.traffic.demand_per_sec(now, settings),
            floor_per_sec: self.overload_budget_per_sec(now, settings, 0.0),
            has_low_traffic: self.traffic.is_low(now, settings),
            random_fraction,
        };
        self.rate_limit.on_rejection(now, settings, &rejection);
    }

    /// Records a failure in the circuit breaker. If the circuit is open then, and its failure score is high
    /// enough, schedules the next probe and cancels a slow start.
    fn on_failure(&mut self, now: Time, settings: &Settings, failure: Failure, random_fraction: f64) {
        if self.circuit.on_failure(failure) {
            self.schedule_probe(now, settings, random_fraction);
            self.slow_start.cancel();
        }
    }
}
