//! The state that results from the journal's records. This module reads and writes no files.

use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

use super::chunks::encoded_bytes;
use super::frame::HEADER_BYTES;
use super::record::{
    CircuitKey, PendingMessage, PersistedCircuit, PersistedCircuitChange, Record, SentRecord,
};
use super::tombstones::{Tombstone, Tombstones};

/// The maximum size of a destination in a record, in bytes.
const DESTINATION_BYTES: u64 = 5;
/// The maximum size of a record's header and of its fields besides an entry, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = HEADER_BYTES as u64 + 24;
/// The size of the tag of a [`PersistedCircuitChange`], in bytes.
const CHANGE_TAG_BYTES: u64 = 1;
/// The maximum number of list records in a compacted file of the usual size: one each for endpoints, destinations,
/// circuits and tombstones, and as many again.
const LIST_RECORDS: u64 = 8;

/// The state that results from applying the journal's records in order.
pub struct JournalState {
    /// Pending messages by their numbers. Messages are numbered in the order of acceptance.
    pub pending: BTreeMap<u32, PendingMessage>,
    /// Tombstones of messages that are over.
    pub tombstones: Tombstones,
    /// The highest number of a message in the records; 0 if there is none. The next message gets the next number.
    pub last_number: u32,
    /// The revision of the endpoint list. 0 if no list was recorded.
    pub endpoints_revision: u64,
    /// The endpoint list, by uid.
    pub endpoints: BTreeMap<String, DiscoveredEndpoint>,
    /// The size of the entries of the endpoint list in its records, in bytes.
    endpoints_bytes: u64,
    /// Destinations that are or were listed. A destination without endpoints stays, because it may get new ones.
    pub destinations: BTreeSet<u32>,
    /// Circuits that are not in their initial state.
    pub circuits: PersistedCircuits,
    /// The uids of the endpoints that operators have disabled, whether or not they are listed.
    pub disabled_endpoints: BTreeSet<String>,
    /// The parts of an incomplete endpoint update.
    endpoint_parts: Vec<DiscoveryUpdate>,
}

impl JournalState {
    /// Creates the state of an empty journal with this disk space.
    pub fn new(disk_bytes: u64) -> Self {
        JournalState {
            pending: BTreeMap::new(),
            tombstones: Tombstones::new(disk_bytes),
            last_number: 0,
            endpoints_revision: 0,
            endpoints: BTreeMap::new(),
            endpoints_bytes: 0,
            destinations: BTreeSet::new(),
            circuits: PersistedCircuits::default(),
            disabled_endpoints: BTreeSet::new(),
            endpoint_parts: Vec::new(),
        }
    }

    /// Applies one record. A record of a message that is not pending changes nothing.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted { number, message } => self.insert(number, message.into()),
            Record::Pending { number, message } => self.insert(number, message),
            Record::AttemptStarted { number, attempt } => self.start_attempt(number, attempt),
            Record::AttemptFinished { number, may_have_run } => self.finish_attempt(number, may_have_run),
            Record::AttemptUndone { number } => self.undo_attempt(number),
            Record::OutcomeDecided { number, final_outcome } => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.final_outcome = Some(final_outcome);
                }
            }
            Record::Completed { number, tombstones } => self.complete(number, tombstones),
            Record::Tenant { number, tenant } => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.message.tenant = tenant;
                }
            }
            Record::Endpoints(update) => {
                self.endpoint_parts.clear();
                self.apply_endpoints(update);
            }
            Record::EndpointsPart { index, count, update } => self.apply_endpoints_part(index, count, update),
            Record::Destinations(destinations) => self.destinations.extend(destinations),
            Record::EndpointDisabled { uid, is_disabled: true } => {
                self.disabled_endpoints.insert(uid);
            }
            Record::EndpointDisabled { uid, is_disabled: false } => {
                self.disabled_endpoints.remove(&uid);
            }
            Record::AllCircuits(circuits) => {
                self.circuits = PersistedCircuits::default();
                for circuit in circuits {
                    self.circuits.apply(PersistedCircuitChange::Updated(circuit));
                }
            }
            Record::CircuitChanges(changes) => {
                for change in changes {
                    self.circuits.apply(change);
                }
            }
        }
    }

    /// Returns the maximum number of bytes that all state but the pending messages takes in a compacted file.
    pub fn base_bytes(&self) -> u64 {
        let disabled = self.disabled_endpoints.iter();
        let disabled_bytes: u64 = disabled.map(|uid| RECORD_OVERHEAD_BYTES + uid.len() as u64).sum();
        LIST_RECORDS * RECORD_OVERHEAD_BYTES
            + self.endpoints_bytes
            + self.destinations.len() as u64 * DESTINATION_BYTES
            + self.circuits.bytes
            + self.tombstones.bytes()
            + disabled_bytes
    }

    /// Returns whether a message has an attempt in flight.
    pub fn has_attempt_in_flight(&self, number: u32) -> bool {
        self.pending.get(&number).is_some_and(|pending| pending.in_flight.is_some())
    }

    /// Applies an update of the endpoint list.
    pub fn apply_endpoints(&mut self, update: DiscoveryUpdate) {
        self.endpoints_revision = update.revision;
        if update.is_snapshot {
            self.endpoints.clear();
            self.endpoints_bytes = 0;
        }
        for endpoint in update.endpoints {
            self.destinations.insert(endpoint.destination);
            let replaced = if endpoint.is_removed() {
                self.endpoints.remove(&endpoint.uid)
            } else {
                self.endpoints_bytes += entry_bytes(&endpoint);
                self.endpoints.insert(endpoint.uid.clone(), endpoint)
            };
            self.endpoints_bytes -= replaced.map_or(0, |replaced| entry_bytes(&replaced));
        }
    }

    fn insert(&mut self, number: u32, message: PendingMessage) {
        self.last_number = self.last_number.max(number);
        self.pending.insert(number, message);
    }

    /// Removes a message and adds tombstones. A record without that field is of an older build, so that the message's
    /// own tombstone is derived from its recorded state.
    fn complete(&mut self, number: u32, tombstones: Option<Vec<Tombstone>>) {
        self.last_number = self.last_number.max(number);
        let completed = self.pending.remove(&number);
        let derived = || completed.as_ref().and_then(derived_tombstone).into_iter().collect();
        for tombstone in tombstones.unwrap_or_else(derived) {
            self.tombstones.insert(tombstone);
        }
    }

    fn start_attempt(&mut self, number: u32, attempt: SentRecord) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        pending.attempts += 1;
        // A previous attempt without a recorded end may have been processed.
        let unfinished = pending.in_flight.replace(attempt);
        pending.first_uncertain_attempt = pending.first_uncertain_attempt.or(unfinished);
    }

    fn finish_attempt(&mut self, number: u32, may_have_run: bool) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        let uncertain = pending.in_flight.take().filter(|_| may_have_run);
        pending.first_uncertain_attempt = pending.first_uncertain_attempt.or(uncertain);
    }

    fn undo_attempt(&mut self, number: u32) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        if pending.in_flight.take().is_some() {
            pending.attempts = pending.attempts.saturating_sub(1);
        }
    }

    fn apply_endpoints_part(&mut self, index: u32, count: u32, update: DiscoveryUpdate) {
        // A first part discards an update that its writer could not complete.
        if index == 0 {
            self.endpoint_parts.clear();
        }
        if index as usize == self.endpoint_parts.len() {
            self.endpoint_parts.push(update);
        }
        if self.endpoint_parts.len() == count as usize {
            for part in std::mem::take(&mut self.endpoint_parts) {
                self.apply_endpoints(part);
            }
        }
    }
}

/// Returns the tombstone of a message whose end an older build recorded without one. The time of the end is unknown, so
/// that the deadline stands for it. None if the message was withdrawn, and certainly did not run.
fn derived_tombstone(completed: &PendingMessage) -> Option<Tombstone> {
    let PendingMessage { message, attempts, final_outcome, .. } = completed;
    let is_known = *attempts > 0 || final_outcome.is_some();
    is_known.then(|| Tombstone::new(&message.id, &message.content(), message.deadline_ms, false))
}

/// Returns the size of an entry in a record, in bytes; 0 if it cannot be encoded, so that it is in no record either.
fn entry_bytes(entry: &impl Serialize) -> u64 {
    encoded_bytes(entry).map_or(0, |bytes| bytes as u64)
}

/// The circuits that are not in their initial state.
#[derive(Default)]
pub struct PersistedCircuits {
    circuits: BTreeMap<CircuitKey, PersistedCircuit>,
    /// The size of the circuits in records, in bytes.
    bytes: u64,
    open_count: usize,
}

impl PersistedCircuits {
    /// Returns the circuit of a route; None if it is in its initial state.
    pub fn get(&self, key: &CircuitKey) -> Option<&PersistedCircuit> {
        self.circuits.get(key)
    }

    /// Returns all keys, in order.
    pub fn keys(&self) -> impl Iterator<Item = &CircuitKey> {
        self.circuits.keys()
    }

    /// Returns all circuits, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &PersistedCircuit> {
        self.circuits.values()
    }

    /// Returns the number of open circuits.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Applies one change.
    pub fn apply(&mut self, change: PersistedCircuitChange) {
        let replaced = match change {
            PersistedCircuitChange::Updated(circuit) => {
                self.open_count += usize::from(circuit.is_open());
                self.bytes += circuit_bytes(&circuit);
                self.circuits.insert(circuit.key(), circuit)
            }
            PersistedCircuitChange::Removed(key) => self.circuits.remove(&key),
        };
        if let Some(replaced) = replaced {
            self.open_count -= usize::from(replaced.is_open());
            self.bytes -= circuit_bytes(&replaced);
        }
    }
}

/// Returns the size of a circuit in a record of changes, in bytes.
fn circuit_bytes(circuit: &PersistedCircuit) -> u64 {
    CHANGE_TAG_BYTES + entry_bytes(circuit)
}
