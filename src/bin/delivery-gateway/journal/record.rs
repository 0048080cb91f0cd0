//! What the journal's records say, and the image that they add up to. It reads and writes no file.

use bytes::Bytes;
use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate};
use delivery_gateway::CircuitRecord;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A message as it was taken on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedRecord {
    pub id: String,
    /// Zero in classes without order.
    pub ordering_key: u64,
    /// By name: its place in the settings may differ after a restart.
    pub class: String,
    pub destination: u32,
    pub idempotency_key: Option<String>,
    /// Journal time in milliseconds, as are all times here; see [`ClockReading`].
    pub deadline_ms: u64,
    pub redelivered: bool,
    pub body: Bytes,
    /// By name; empty where none was told. In a record of its own, as older journals have none.
    #[serde(skip)]
    pub tenant: String,
}

/// How a message ends that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalOutcome {
    Failed,
    Returned { after_ms: u64 },
}

/// When an attempt was sent, in journal time, and to which zone. Encoded as its fields, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRecord {
    /// Journal time, in milliseconds.
    pub sent_ms: u64,
    /// The place of the zone in the settings.
    pub zone: u8,
}

/// A message that the courier still owes its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PendingMessage {
    pub message: AcceptedRecord,
    pub attempts: u32,
    /// The first attempt that may have run.
    pub first_uncertain_attempt: Option<SentRecord>,
    /// The attempt that has no outcome yet: after a restart it may have run.
    pub in_flight: Option<SentRecord>,
    pub final_outcome: Option<FinalOutcome>,
}

/// Journal time at a moment, and what the machine's monotonic clock said then: the next process goes on from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Names the start of the machine since which the monotonic clock runs.
    pub boot: String,
    pub monotonic: Duration,
    /// In Unix milliseconds.
    pub journal_ms: u64,
}

/// An [`CircuitRecord`] in terms that mean the same to the next process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedCircuit {
    pub destination: u32,
    pub uid: Option<String>,
    pub last_success_ms: u64,
    pub failure_score: u32,
    pub calls_lost: Option<bool>,
    pub slow_start_ms: Option<u64>,
    pub baseline_rate: f64,
}

/// What a circuit breaker stands in front of: a destination, or one endpoint where endpoints have their own limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CircuitKey {
    /// The destination's number.
    pub destination: u32,
    /// The endpoint's uid; none where the circuit is the whole destination's.
    pub uid: Option<String>,
}

/// What has changed of the outages that are remembered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PersistedCircuitChange {
    /// In the place of what was noted of it before.
    Updated(PersistedCircuit),
    Removed(CircuitKey),
}

impl PersistedCircuit {
    pub fn key(&self) -> CircuitKey {
        CircuitKey { destination: self.destination, uid: self.uid.clone() }
    }

    /// From the module's figures; `wall` turns its times into journal time, `uid` names its endpoint.
    pub fn new(
        outage: &CircuitRecord,
        uid: Option<String>,
        wall: impl Fn(delivery_gateway::Time) -> u64,
    ) -> Self {
        PersistedCircuit {
            destination: outage.destination.0,
            uid,
            last_success_ms: wall(outage.last_success_at),
            failure_score: outage.failure_score,
            calls_lost: outage.calls_lost,
            slow_start_ms: outage.slow_start_since.map(wall),
            baseline_rate: outage.baseline_rate,
        }
    }
}

/// One change of the journal's state. The order of variants and of their fields is the format on disk.
#[derive(Clone, Serialize, Deserialize)]
pub enum Record {
    /// A message was accepted under this number.
    Accepted { number: u32, message: AcceptedRecord },
    /// An attempt is about to be made.
    AttemptStarted { number: u32, attempt: SentRecord },
    /// The attempt in flight has finished; whether the endpoint may have processed it.
    AttemptFinished { number: u32, may_have_run: bool },
    /// The message has its final outcome, of which its client is still to be notified.
    OutcomeDecided { number: u32, final_outcome: FinalOutcome },
    /// Tombstone: nothing more happens to the message.
    Completed { number: u32 },
    /// A message with all that is recorded of it; written by compaction.
    Pending { number: u32, message: PendingMessage },
    /// The endpoint list, or what has changed in it.
    Endpoints(DiscoveryUpdate),
    /// All circuits that are not in their initial state. Older builds wrote them whole at each change.
    AllCircuits(Vec<PersistedCircuit>),
    /// Destinations that have been listed at some time.
    Destinations(Vec<u32>),
    /// The tenant of a message, where it has one.
    Tenant { number: u32, tenant: String },
    /// Operators disable an endpoint, or enable it again.
    EndpointDisabled { uid: String, disabled: bool },
    /// What has changed of the circuits.
    CircuitChanges(Vec<PersistedCircuitChange>),
    /// One part of an endpoint update too long for one record: its index from 0, and how many there are. No part
    /// counts until the last one has been read.
    EndpointsPart { index: u32, count: u32, update: DiscoveryUpdate },
    /// The attempt that was started last was not sent, for a reason on this machine.
    AttemptNotSent { number: u32 },
}

/// The outages that are remembered.
#[derive(Default)]
pub struct PersistedCircuits {
    notes: BTreeMap<CircuitKey, PersistedCircuit>,
    /// Notes of what is held to be out.
    out: usize,
}

impl PersistedCircuits {
    pub fn get(&self, key: &CircuitKey) -> Option<&PersistedCircuit> {
        self.notes.get(key)
    }

    pub fn keys(&self) -> impl Iterator<Item = &CircuitKey> {
        self.notes.keys()
    }

    pub fn iter(&self) -> impl Iterator<Item = &PersistedCircuit> {
        self.notes.values()
    }

    /// Destinations, and endpoints that are separate routes, that are held to be out.
    pub fn open_count(&self) -> usize {
        self.out
    }

    pub fn change(&mut self, change: PersistedCircuitChange) {
        let out = |note: &PersistedCircuit| usize::from(note.calls_lost.is_some());
        let before = match change {
            PersistedCircuitChange::Updated(note) => {
                self.out += out(&note);
                self.notes.insert(note.key(), note)
            }
            PersistedCircuitChange::Removed(key) => self.notes.remove(&key),
        };
        self.out -= before.as_ref().map_or(0, out);
    }
}

/// What the records add up to.
#[derive(Default)]
pub struct JournalState {
    /// Messages by the number that they were given when taken on, so in that order.
    pub pending: BTreeMap<u32, PendingMessage>,
    pub last_number: u32,
    pub endpoints_revision: u64,
    pub endpoints: BTreeMap<String, DiscoveredEndpoint>,
    /// One that has no endpoints just now may get others.
    pub destinations: BTreeSet<u32>,
    pub circuits: PersistedCircuits,
    /// Endpoints that operators leave out, by their uids, listed or not.
    pub disabled_endpoints: BTreeSet<String>,
    /// The parts so far of a list that is not whole yet.
    parts: Vec<DiscoveryUpdate>,
}

impl JournalState {
    /// Takes one record in.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted { number, message } => {
                self.last_number = self.last_number.max(number);
                let held = PendingMessage {
                    message,
                    attempts: 0,
                    first_uncertain_attempt: None,
                    in_flight: None,
                    final_outcome: None,
                };
                self.pending.insert(number, held);
            }
            Record::Pending { number, message: held } => {
                self.last_number = self.last_number.max(number);
                self.pending.insert(number, held);
            }
            Record::AttemptStarted { number, attempt: sent } => {
                if let Some(held) = self.pending.get_mut(&number) {
                    held.attempts += 1;
                    // One that has no outcome may have run, also if another was begun after it.
                    held.first_uncertain_attempt = held.first_uncertain_attempt.or(held.in_flight.take());
                    held.in_flight = Some(sent);
                }
            }
            Record::AttemptFinished { number, may_have_run } => {
                if let Some(held) = self.pending.get_mut(&number) {
                    let sent = held.in_flight.take().filter(|_| may_have_run);
                    held.first_uncertain_attempt = held.first_uncertain_attempt.or(sent);
                }
            }
            Record::AttemptNotSent { number } => {
                if let Some(held) = self.pending.get_mut(&number).filter(|held| held.in_flight.is_some()) {
                    held.attempts = held.attempts.saturating_sub(1);
                    held.in_flight = None;
                }
            }
            Record::OutcomeDecided { number, final_outcome } => {
                if let Some(held) = self.pending.get_mut(&number) {
                    held.final_outcome = Some(final_outcome);
                }
            }
            Record::Completed { number } => {
                self.pending.remove(&number);
            }
            Record::Endpoints(update) => {
                self.parts.clear();
                self.list(update);
            }
            Record::EndpointsPart { index: place, count: of, update } => {
                // What a process did not come to the end of is over when the next one begins.
                if place == 0 {
                    self.parts.clear();
                }
                if place as usize == self.parts.len() {
                    self.parts.push(update);
                }
                if self.parts.len() == of as usize {
                    std::mem::take(&mut self.parts).into_iter().for_each(|part| self.list(part));
                }
            }
            Record::AllCircuits(notes) => {
                self.circuits = PersistedCircuits::default();
                notes
                    .into_iter()
                    .for_each(|note| self.circuits.change(PersistedCircuitChange::Updated(note)));
            }
            Record::CircuitChanges(changes) => {
                changes.into_iter().for_each(|change| self.circuits.change(change));
            }
            Record::Tenant { number, tenant } => {
                if let Some(held) = self.pending.get_mut(&number) {
                    held.message.tenant = tenant;
                }
            }
            Record::Destinations(destinations) => self.destinations.extend(destinations),
            Record::EndpointDisabled { uid, disabled: true } => drop(self.disabled_endpoints.insert(uid)),
            Record::EndpointDisabled { uid, disabled: false } => drop(self.disabled_endpoints.remove(&uid)),
        }
    }

    /// Takes an update of the list in.
    pub fn list(&mut self, update: DiscoveryUpdate) {
        self.endpoints_revision = update.revision;
        if update.is_snapshot {
            self.endpoints.clear();
        }
        for target in update.endpoints {
            self.destinations.insert(target.destination);
            if target.is_removed() {
                self.endpoints.remove(&target.uid);
            } else {
                self.endpoints.insert(target.uid.clone(), target);
            }
        }
    }
}
