//! Writes the circuit records of routes to the journal. A route is a destination, or one endpoint of it that has its
//! own limits. Routes have a record while their circuit is open, after failures since the last success, and during slow
//! start. The next process restores them, so that it doesn't send at the full rate during an outage or a slow start.

use delivery_gateway::discovery::EndpointDirectory;
use delivery_gateway::{CircuitChange, CircuitRecord, DestinationId, EndpointId};
use std::collections::{BTreeMap, HashMap};
use tracing::info;

use super::reporting::JournalErrorLog;
use super::EventLoop;
use crate::clock::Clock;
use crate::journal::{CircuitKey, Journal, PersistedCircuit, PersistedCircuitChange};
use crate::rate_limited_log::RateLimitedLog;

/// Collects the changes of circuits, and writes them to the journal.
#[derive(Default)]
pub(super) struct PersistedCircuitWriter {
    /// The changes that are not yet in the journal: the circuit to be written for each key, or None where the written
    /// one is to be removed.
    unwritten: BTreeMap<CircuitKey, Option<PersistedCircuit>>,
    /// Uids of the endpoints with a persisted circuit. A circuit can end after the directory has removed its endpoint.
    uids: HashMap<EndpointId, String>,
    /// Limits the log lines about the number of open circuits.
    open_count_log: RateLimitedLog,
}

impl PersistedCircuitWriter {
    /// Marks all persisted circuits for removal. A circuit that is changed before the next write is updated instead.
    fn mark_all_removed<'a>(&mut self, persisted: impl Iterator<Item = &'a CircuitKey>) {
        self.unwritten = persisted.map(|key| (key.clone(), None)).collect();
    }

    fn add_change(&mut self, change: &CircuitChange, directory: &EndpointDirectory, clock: &Clock) {
        let CircuitChange { destination, endpoint, record } = change;
        // An endpoint without a known uid has no persisted circuit.
        let Some(key) = self.journal_key(*destination, *endpoint, directory) else { return };
        if let Some((id, uid)) = endpoint.zip(key.uid.as_ref()) {
            match record {
                Some(_) => drop(self.uids.insert(id, uid.clone())),
                None => drop(self.uids.remove(&id)),
            }
        }
        let circuit = record
            .as_ref()
            .map(|record| PersistedCircuit::new(record, key.uid.clone(), |at| clock.journal_ms(at)));
        self.unwritten.insert(key, circuit);
    }

    /// Returns the key of a route in the journal, which has the endpoint's uid in place of its id. None if the uid is
    /// unknown.
    fn journal_key(
        &self,
        destination: DestinationId,
        endpoint: Option<EndpointId>,
        directory: &EndpointDirectory,
    ) -> Option<CircuitKey> {
        let uid = match endpoint {
            Some(id) => {
                let listed = directory.uid(id).map(str::to_owned);
                Some(listed.or_else(|| self.uids.get(&id).cloned())?)
            }
            None => None,
        };
        Some(CircuitKey { destination: destination.0, uid })
    }

    /// Writes the changes. Changes that cannot be written are kept until the next call.
    fn write(&mut self, journal: &mut Journal, errors: &mut JournalErrorLog) {
        let persisted = &journal.state.circuits;
        self.unwritten.retain(|key, circuit| persisted.get(key) != circuit.as_ref());
        if self.unwritten.is_empty() {
            return;
        }
        let changes = self.unwritten.iter().map(|(key, circuit)| match circuit {
            Some(circuit) => PersistedCircuitChange::Updated(circuit.clone()),
            None => PersistedCircuitChange::Removed(key.clone()),
        });
        let before = persisted.open_count();
        let written = journal.record_circuits(&changes.collect::<Vec<_>>());
        if written.is_ok() {
            self.unwritten.clear();
        }
        errors.log_failure(written);
        let after = journal.state.circuits.open_count();
        if before != after {
            if let Some(suppressed) = self.open_count_log.due() {
                info!(before, after, suppressed, "open circuits changed");
            }
        }
    }
}

impl EventLoop {
    /// Persists all circuit records of the scheduler, in place of those that the journal has.
    pub(super) fn persist_all_circuits(&mut self) {
        self.persisted_circuits.mark_all_removed(self.journal.state.circuits.keys());
        let records: Vec<CircuitRecord> = self.scheduler.circuit_records().collect();
        for record in records {
            let change = CircuitChange {
                destination: record.destination,
                endpoint: record.endpoint,
                record: Some(record),
            };
            self.persisted_circuits.add_change(&change, &self.directory, &self.clock);
        }
        self.persisted_circuits.write(&mut self.journal, &mut self.journal_errors);
    }

    /// Persists the circuits that have changed since the last call.
    pub(super) fn persist_circuit_changes(&mut self) {
        for change in self.scheduler.take_circuit_changes() {
            self.persisted_circuits.add_change(&change, &self.directory, &self.clock);
        }
        self.persisted_circuits.write(&mut self.journal, &mut self.journal_errors);
    }
}
