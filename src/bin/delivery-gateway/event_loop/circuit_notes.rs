//! What the journal remembers of open circuits and recovering destinations, so that the next process goes on
//! with it.

use delivery_gateway::discovery::EndpointDirectory;
use delivery_gateway::{CircuitChange, CircuitRecord, DestinationId, EndpointId};
use std::collections::{BTreeMap, HashMap};
use tracing::info;

use super::reporting::JournalErrorLog;
use super::EventLoop;
use crate::clock::Clock;
use crate::journal::{CircuitKey, Journal, PersistedCircuit, PersistedCircuitChange};
use crate::rate_limited_log::RateLimitedLog;

/// The notes that are yet to be written to the journal.
#[derive(Default)]
pub(super) struct CircuitNoteWriter {
    /// What has changed and is not in the journal yet; none where nothing is to be remembered any more.
    unwritten: BTreeMap<CircuitKey, Option<PersistedCircuit>>,
    /// Uids of endpoints with notes: the end of a note can come after the directory has forgotten its endpoint.
    uids: HashMap<EndpointId, String>,
    lines: RateLimitedLog,
}

impl CircuitNoteWriter {
    /// Forgets what was noted before the start, save what is noted again before the next write.
    fn supersede<'a>(&mut self, noted: impl Iterator<Item = &'a CircuitKey>) {
        self.unwritten = noted.map(|key| (key.clone(), None)).collect();
    }

    fn change(&mut self, change: &CircuitChange, directory: &EndpointDirectory, clock: &Clock) {
        let CircuitChange { destination, endpoint, record } = change;
        // An endpoint that has no uid any more had nothing noted.
        let Some(key) = self.key(*destination, *endpoint, directory) else { return };
        if let Some((id, uid)) = endpoint.zip(key.uid.as_ref()) {
            match record {
                Some(_) => drop(self.uids.insert(id, uid.clone())),
                None => drop(self.uids.remove(&id)),
            }
        }
        let note = record
            .as_ref()
            .map(|record| PersistedCircuit::new(record, key.uid.clone(), |at| clock.journal_ms(at)));
        self.unwritten.insert(key, note);
    }

    /// Names a route in the journal's terms; none if it is an endpoint whose uid is unknown.
    fn key(
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

    /// Writes the changes. Those that cannot be written stay until the next call.
    fn write(&mut self, journal: &mut Journal, errors: &mut JournalErrorLog) {
        let noted = &journal.state.circuits;
        self.unwritten.retain(|key, note| noted.get(key) != note.as_ref());
        if self.unwritten.is_empty() {
            return;
        }
        let changes = self.unwritten.iter().map(|(key, note)| match note {
            Some(note) => PersistedCircuitChange::Updated(note.clone()),
            None => PersistedCircuitChange::Removed(key.clone()),
        });
        let before = noted.open_count();
        let written = journal.record_circuits(&changes.collect::<Vec<_>>());
        if written.is_ok() {
            self.unwritten.clear();
        }
        errors.log_failure(written);
        let after = journal.state.circuits.open_count();
        if before != after {
            if let Some(more) = self.lines.due() {
                info!(before, after, more, "destinations held to be out");
            }
        }
    }
}

impl EventLoop {
    /// Notes all circuits anew, in place of what was noted before the start.
    pub(super) fn note_all_circuits(&mut self) {
        self.circuit_notes.supersede(self.journal.state.circuits.keys());
        let records: Vec<CircuitRecord> = self.scheduler.circuit_records().collect();
        for record in records {
            let change = CircuitChange {
                destination: record.destination,
                endpoint: record.endpoint,
                record: Some(record),
            };
            self.circuit_notes.change(&change, &self.directory, &self.clock);
        }
        self.circuit_notes.write(&mut self.journal, &mut self.journal_errors);
    }

    /// Notes the circuits that have changed since the last call.
    pub(super) fn note_circuit_changes(&mut self) {
        for change in self.scheduler.take_circuit_changes() {
            self.circuit_notes.change(&change, &self.directory, &self.clock);
        }
        self.circuit_notes.write(&mut self.journal, &mut self.journal_errors);
    }
}
