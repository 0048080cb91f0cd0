//! Restores the state of a gateway after a restart: pending messages, circuit breakers and slow starts.

use super::state::{RouteId, UncertainAttempt};
use super::Scheduler;
use crate::model::*;

impl Scheduler {
    /// Accepts a message again that was pending before the restart. The old process may have had calls in
    /// flight until its end, so all ordering keys are held for a while from now on.
    pub(super) fn on_message_restored(&mut self, now: Time, restored: RestoredMessage) {
        let id = restored.message.id;
        self.ordering.hold_all(now + self.settings.limits.ordering_key_hold);
        self.ready_index.must_visit_all = true;
        self.on_message_accepted(now, restored.message);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.attempts = restored.attempts;
        let time_left = message.accepted.deadline - now;
        message.was_restored_in_time = time_left >= message.class(&self.settings).deadline / 2;
        if let Some(SentAttempt { sent_at, zone }) = restored.first_uncertain_attempt {
            let attempt = UncertainAttempt { sent_at, zone: Some(zone) };
            message.first_uncertain_attempt.get_or_insert(attempt);
        }
        message.awaits_acknowledgement |= restored.has_final_outcome;
        self.update_queue_state(id);
        if restored.has_final_outcome {
            self.complete_message(id);
        } else {
            self.set_last_send_deadline(now, id);
        }
    }

    /// Restores the circuit breaker, slow start and baseline of a route.
    pub(super) fn on_circuit_restored(&mut self, now: Time, record: CircuitRecord) {
        self.mark_destination_changed(record.destination);
        let random_fraction = self.rng.f64();
        let id = RouteId { destination: record.destination, endpoint: record.endpoint };
        let Some(route) = self.routes.get_mut(&id) else { return };
        self.ready_index.changed_circuits.insert(id);
        route.circuit.restore(&record);
        route.traffic.restore_baseline(record.baseline_per_sec);
        route.slow_start.restore(record.slow_start_since);
        if route.slow_start.is_active() {
            route.rate_limit.clear_tokens();
        }
        if record.has_lost_calls.is_some() {
            route.schedule_probe(now, &self.settings, random_fraction);
        }
    }
}
