//! Restores the state from the journal: passes its endpoints, circuits and pending messages to the scheduler, in this
//! order.

use delivery_gateway::discovery::DiscoveryUpdate;
use delivery_gateway::{CircuitRecord, DestinationId, Event, MessageId, RestoredMessage, Time};
use tracing::{info, warn};

use super::EventLoop;
use crate::events::OutcomeNotification;
use crate::journal::{FinalOutcome, PersistedCircuit};

impl EventLoop {
    /// Restores the state from the journal. `configured` is the endpoint list of the configuration.
    pub fn recover(&mut self, configured: &DiscoveryUpdate) {
        let now = self.clock.now();
        self.restore_endpoints(now, configured);
        for uid in self.journal.state.disabled_endpoints.clone() {
            self.disable_endpoint(now, &uid);
        }
        self.restore_circuits(now);
        let numbers: Vec<u32> = self.journal.state.pending.keys().copied().collect();
        for number in &numbers {
            self.restore_message(now, *number);
        }
        info!(pending = numbers.len(), revision = self.endpoints_revision(), "journal replayed");
    }

    /// Applies the journal's endpoint list, or the configured one if the journal has none or an older revision.
    fn restore_endpoints(&mut self, now: Time, configured: &DiscoveryUpdate) {
        let destinations = configured.endpoints.iter().map(|endpoint| endpoint.destination);
        self.journal.state.destinations.extend(destinations);
        let state = &self.journal.state;
        if state.endpoints_revision == 0 || state.endpoints_revision < configured.revision {
            let endpoints = self.directory.apply_snapshot(&configured.endpoints);
            self.scheduler.handle(now, Event::EndpointsUpdated(endpoints));
            let snapshot = DiscoveryUpdate { is_snapshot: true, ..configured.clone() };
            let recorded = self.journal.record_endpoints(snapshot);
            self.journal_errors.log_failure(recorded);
        } else {
            let endpoints = self.directory.apply_snapshot(state.endpoints.values());
            self.scheduler.handle(now, Event::EndpointsUpdated(endpoints));
        }
    }

    fn restore_circuits(&mut self, now: Time) {
        for circuit in self.journal.state.circuits.iter() {
            if let Some(record) = self.circuit_record(circuit) {
                self.scheduler.handle(now, Event::CircuitRestored(record));
            }
        }
        self.persist_all_circuits();
    }

    /// Translates a persisted circuit for the scheduler. None if its endpoint is no longer listed.
    fn circuit_record(&self, circuit: &PersistedCircuit) -> Option<CircuitRecord> {
        let endpoint = match &circuit.uid {
            Some(uid) => Some(self.directory.endpoint_id(uid)?),
            None => None,
        };
        Some(CircuitRecord {
            destination: DestinationId(circuit.destination),
            endpoint,
            last_success_at: self.clock.scheduler_time(circuit.last_success_ms),
            failure_score: circuit.failure_score,
            has_lost_calls: circuit.has_lost_calls,
            slow_start_since: circuit.slow_start_ms.map(|ms| self.clock.scheduler_time(ms)),
            baseline_per_sec: circuit.baseline_per_sec,
        })
    }

    fn restore_message(&mut self, now: Time, number: u32) {
        let Some(pending) = self.journal.state.pending.get(&number) else { return };
        let message = MessageId(number);
        let id = pending.message.id.clone();
        self.pending.insert(id.clone(), number);
        let Some(accepted) = self.catalog.accepted_message(&self.clock, number, &pending.message) else {
            let class = &pending.message.class;
            warn!(id, class, "message failed: its class is missing from the settings");
            self.record_final_outcome(message, FinalOutcome::Failed);
            return;
        };
        let final_outcome = pending.final_outcome;
        let restored = RestoredMessage {
            message: accepted,
            attempts: pending.attempts,
            first_uncertain_attempt: self.first_uncertain_attempt(pending),
            has_final_outcome: final_outcome.is_some(),
        };
        // An endpoint may have processed an attempt without a recorded outcome. The journal doesn't show whether its
        // first byte was sent before the process ended.
        if pending.in_flight.is_some() {
            let recorded = self.journal.record_attempt_outcome(number, true);
            self.journal_errors.log_failure(recorded);
        }
        self.scheduler.handle(now, Event::MessageRestored(restored));
        if let Some(final_outcome) = final_outcome {
            let _ = self.channels.notifications.send(OutcomeNotification { message, id, final_outcome });
        }
    }
}
