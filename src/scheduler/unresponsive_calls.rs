//! Detects unresponsive calls, which have had no response for too long. Each counts as a loss for the reuse
//! of connections. If messages wait and no slot is free, the oldest unresponsive call that may be cancelled
//! is cancelled. The calls and `ready_index` hold the state of this rule.

use super::derived_settings::shortest_objective_secs;
use super::idempotency;
use super::state::{Call, CallId, RouteId};
use super::Scheduler;
use crate::model::*;
use std::time::Duration;

/// A call becomes unresponsive this many latencies (mean plus deviation) of its route after its start.
const UNRESPONSIVE_AFTER_LATENCIES: f64 = 3.0;
/// The minimum time from its start after which a call becomes unresponsive, as a ratio of the shortest
/// latency objective: short pauses of an endpoint are normal.
const MIN_UNRESPONSIVE_AFTER_OBJECTIVE_RATIO: f64 = 0.25;
/// A call with a non-idempotent message is cancelled no earlier than after this multiple of
/// [`Scheduler::unresponsive_after`], as the message is lost with it.
const NON_IDEMPOTENT_CANCEL_MULTIPLE: u32 = 2;

impl Scheduler {
    /// Returns how long after its start a call of a route is unresponsive if it has no response.
    pub(super) fn unresponsive_after(&self, id: RouteId) -> Duration {
        let typical_secs = self
            .routes
            .get(&id)
            .map_or(0.0, |route| route.latency.multiple_secs(UNRESPONSIVE_AFTER_LATENCIES));
        let min_secs = shortest_objective_secs(&self.settings) * MIN_UNRESPONSIVE_AFTER_OBJECTIVE_RATIO;
        Duration::from_secs_f64(typical_secs.max(min_secs))
    }

    /// Marks the calls that have become unresponsive. Returns when the next one becomes unresponsive, if any.
    pub(super) fn mark_unresponsive_calls(&mut self, now: Time) -> Option<Time> {
        while let Some(route_id) = self.ready_index.response_checks.first_due(now) {
            let oldest = self.oldest_responsive_call(route_id);
            if let Some((id, call)) = oldest.and_then(|id| Some((id, self.calls.get_mut(&id)?))) {
                call.is_unresponsive = true;
                let connection_idle_time = call.connection_idle_time;
                self.ready_index.unresponsive_calls.insert(id);
                self.connection_reuse.record_loss(now, &self.settings, connection_idle_time);
            }
            self.schedule_response_check(route_id);
        }
        self.ready_index.response_checks.first_at()
    }

    /// Schedules the check of a route for the time at which its oldest responsive call becomes unresponsive.
    /// Calls of a route become unresponsive in the order in which they were started.
    pub(super) fn schedule_response_check(&mut self, id: RouteId) {
        let sent_at = self.oldest_responsive_call(id).map(|call| self.calls[&call].sent_at);
        let at = sent_at.map(|sent_at| sent_at + self.unresponsive_after(id));
        self.ready_index.response_checks.set(id, at);
    }

    fn oldest_responsive_call(&mut self, id: RouteId) -> Option<CallId> {
        let calls = self.routes.get(&id)?.calls.iter();
        let is_responsive = |call: &&CallId| self.calls.get(call).is_some_and(|call| !call.is_unresponsive);
        let (skipped, oldest) = calls.enumerate().find(|(_, call)| is_responsive(call))?;
        self.ready_index.work_counters.calls_checked += 1 + skipped as u64;
        Some(*oldest)
    }

    /// Cancels the oldest unresponsive call that may be cancelled, if no slot is free and there are more
    /// messages without a final outcome than calls in flight.
    pub(super) fn cancel_unresponsive_call(&mut self, now: Time) {
        let has_waiting_messages = self.open_messages > self.calls.len();
        if !self.settings.allow_cancel || self.free_slots() > 0 || !has_waiting_messages {
            return;
        }
        let unresponsive =
            self.ready_index.unresponsive_calls.iter().filter_map(|id| Some((*id, self.calls.get(id)?)));
        let mut cancellable = unresponsive.filter(|(_, call)| self.is_cancellable(now, call));
        let Some((id, _)) = cancellable.next() else { return };
        self.ready_index.unresponsive_calls.remove(&id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.is_cancelled = true;
        for message_id in &call.messages {
            let message = self.messages.get(message_id).filter(|message| message.call == Some(id));
            if let Some(message) = message {
                let attempt = (message.attempts - 1) as u16;
                self.actions.push(Action::CancelAttempt { message: *message_id, attempt });
            }
        }
    }

    fn is_cancellable(&self, now: Time, call: &Call) -> bool {
        let mut messages = call.messages.iter().filter_map(|id| self.messages.get(id));
        let all_resendable =
            messages.all(|message| idempotency::is_resendable(message.class(&self.settings)));
        let multiple = if all_resendable { 1 } else { NON_IDEMPOTENT_CANCEL_MULTIPLE };
        now - call.sent_at > self.unresponsive_after(call.route) * multiple
    }
}
