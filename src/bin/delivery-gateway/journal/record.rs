//! The journal's records. The order of variants and of fields is the format on disk.

use bytes::Bytes;
use delivery_gateway::discovery::DiscoveryUpdate;
use delivery_gateway::{CircuitRecord, Time};
use serde::{Deserialize, Serialize};

use super::message_content::MessageContent;
use super::tombstones::{none_if_missing, Tombstone};

/// One change of the journal's state.
#[derive(Clone, Serialize, Deserialize)]
pub enum Record {
    /// A message was accepted under this number.
    Accepted { number: u32, message: AcceptedRecord },
    /// An attempt is about to be sent.
    AttemptStarted { number: u32, attempt: SentRecord },
    /// The attempt in flight has ended. `may_have_run`: the endpoint may have processed it.
    AttemptFinished { number: u32, may_have_run: bool },
    /// The message has its final outcome, and its client has not been notified yet.
    OutcomeDecided { number: u32, final_outcome: FinalOutcome },
    /// The message is completed and removed from the state. Compaction writes tombstones with a number that is not
    /// pending at that point.
    Completed {
        number: u32,
        /// The tombstone of the message, or in a compacted file tombstones of any messages. None in records of older
        /// builds, which end before this field; they ignore it.
        #[serde(deserialize_with = "none_if_missing")]
        tombstones: Option<Vec<Tombstone>>,
    },
    /// A message with its whole recorded state; written by compaction.
    Pending { number: u32, message: PendingMessage },
    /// A snapshot or a delta of the endpoint list.
    Endpoints(DiscoveryUpdate),
    /// All persisted circuits. Older builds wrote this record at each change; it is still read.
    AllCircuits(Vec<PersistedCircuit>),
    /// Destinations that are or were listed.
    Destinations(Vec<u32>),
    /// The tenant of a message. Written only for messages that have one.
    Tenant { number: u32, tenant: String },
    /// Operators have disabled an endpoint, or enabled it again.
    EndpointDisabled { uid: String, is_disabled: bool },
    /// Changes of the persisted circuits.
    CircuitChanges(Vec<PersistedCircuitChange>),
    /// One part of an endpoint update that is too long for one record. `index` counts from 0, `count` is the number of
    /// parts. No part is applied until the last one has been read.
    EndpointsPart { index: u32, count: u32, update: DiscoveryUpdate },
    /// The attempt in flight was not sent because of a local failure, and doesn't count as an attempt.
    AttemptUndone { number: u32 },
}

/// A message as it was accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedRecord {
    /// The id that the client chose.
    pub id: String,
    /// 0 in classes without ordering.
    pub ordering_key: u64,
    /// The name of the class. Its index in the settings may differ after a restart.
    pub class: String,
    /// The destination's number.
    pub destination: u32,
    /// The key by which an endpoint recognizes a repeated attempt.
    pub idempotency_key: Option<String>,
    /// The deadline, in journal time.
    pub deadline_ms: u64,
    /// Whether the client may have enqueued the message at another gateway before.
    pub is_redelivered: bool,
    /// The body that is delivered to the endpoint.
    pub body: Bytes,
    /// The name of the tenant; empty if the message has none. It has its [own record](Record::Tenant), because older
    /// journals have no tenants.
    #[serde(skip)]
    pub tenant: String,
}

impl AcceptedRecord {
    /// Returns the content that identifies the message besides its id.
    pub fn content(&self) -> MessageContent<'_> {
        MessageContent {
            ordering_key: self.ordering_key,
            class: &self.class,
            destination: self.destination,
            idempotency_key: self.idempotency_key.as_deref(),
            body: &self.body,
        }
    }

    /// Returns the size of the texts and the body, in bytes.
    pub fn content_bytes(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        self.body.len() + self.id.len() + self.class.len() + self.tenant.len() + key
    }
}

/// The final outcome of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalOutcome {
    /// The message may have been delivered, or can no longer be delivered.
    Failed,
    /// The message was not delivered. The client may enqueue it again after `after_ms` milliseconds.
    Returned { after_ms: u64 },
}

/// The time and the zone of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRecord {
    /// The time at which the scheduler decided on the attempt, in journal time. The attempt is sent after it.
    pub sent_ms: u64,
    /// The number of the endpoint's zone in the endpoint directory. It stays valid after a restart if the zones of the
    /// settings are unchanged.
    pub zone: u8,
}

/// An accepted message that is not completed, with its recorded state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PendingMessage {
    pub message: AcceptedRecord,
    /// The number of attempts started, except those that were not sent because of a local failure.
    pub attempts: u32,
    /// The first attempt that an endpoint may have processed. None if there is none.
    pub first_uncertain_attempt: Option<SentRecord>,
    /// The attempt in flight. After a restart, it counts as possibly processed.
    pub in_flight: Option<SentRecord>,
    /// The final outcome, whose notification has not been acknowledged yet. None if the message has no final outcome.
    pub final_outcome: Option<FinalOutcome>,
}

impl PendingMessage {
    /// Returns whether an endpoint may have processed the message, or may still process it.
    pub fn may_have_run(&self) -> bool {
        self.first_uncertain_attempt.is_some() || self.in_flight.is_some()
    }
}

impl From<AcceptedRecord> for PendingMessage {
    fn from(message: AcceptedRecord) -> Self {
        PendingMessage {
            message,
            attempts: 0,
            first_uncertain_attempt: None,
            in_flight: None,
            final_outcome: None,
        }
    }
}

/// The route of a circuit breaker: a destination, or one endpoint if its endpoints have their own limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CircuitKey {
    /// The destination's number.
    pub destination: u32,
    /// The endpoint's uid. None if the circuit belongs to the whole destination.
    pub uid: Option<String>,
}

/// A [`CircuitRecord`] that the next process can read: it has uids instead of ids, and journal time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedCircuit {
    /// The destination's number.
    pub destination: u32,
    /// The endpoint's uid. None if the circuit belongs to the whole destination.
    pub uid: Option<String>,
    /// The time of the last success, in journal time.
    pub last_success_ms: u64,
    /// See [`CircuitRecord::failure_score`].
    pub failure_score: u32,
    /// None while the circuit is closed; see [`CircuitRecord::has_lost_calls`].
    pub has_lost_calls: Option<bool>,
    /// The start of slow start, in journal time. None if slow start doesn't limit calls.
    pub slow_start_ms: Option<u64>,
    /// See [`CircuitRecord::baseline_per_sec`].
    pub baseline_per_sec: f64,
}

impl PersistedCircuit {
    /// Translates a record of the scheduler. `journal_ms` converts scheduler time to journal time.
    pub fn new(circuit: &CircuitRecord, uid: Option<String>, journal_ms: impl Fn(Time) -> u64) -> Self {
        PersistedCircuit {
            destination: circuit.destination.0,
            uid,
            last_success_ms: journal_ms(circuit.last_success_at),
            failure_score: circuit.failure_score,
            has_lost_calls: circuit.has_lost_calls,
            slow_start_ms: circuit.slow_start_since.map(journal_ms),
            baseline_per_sec: circuit.baseline_per_sec,
        }
    }

    /// Returns the route of the circuit.
    pub fn key(&self) -> CircuitKey {
        CircuitKey { destination: self.destination, uid: self.uid.clone() }
    }

    /// Returns whether the circuit stops all calls except probes.
    pub fn is_open(&self) -> bool {
        self.has_lost_calls.is_some()
    }
}

/// A change of the persisted circuits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PersistedCircuitChange {
    /// Replaces the circuit with the same key.
    Updated(PersistedCircuit),
    /// The circuit is in its initial state again, and is no longer persisted.
    Removed(CircuitKey),
}
