//! What the journal's records say. The order of variants and of fields is the format on disk.

use bytes::Bytes;
use delivery_gateway::discovery::DiscoveryUpdate;
use delivery_gateway::{CircuitRecord, Time};
use serde::{Deserialize, Serialize};

/// One change of the journal's state.
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
    /// All circuits that are remembered. Older builds wrote them whole at each change.
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
    AttemptUndone { number: u32 },
}

/// A message as it was accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedRecord {
    /// The client's id of the message.
    pub id: String,
    /// Zero in classes without order.
    pub ordering_key: u64,
    /// By name: its index in the settings may differ after a restart.
    pub class: String,
    /// The destination's number.
    pub destination: u32,
    /// What an endpoint recognizes a repeated attempt by.
    pub idempotency_key: Option<String>,
    /// Journal time in milliseconds.
    pub deadline_ms: u64,
    /// The client may have given the message to another gateway before.
    pub is_redelivered: bool,
    /// What is delivered.
    pub body: Bytes,
    /// By name; empty where there is none. In a [record of its own](Record::Tenant), as older journals have none.
    #[serde(skip)]
    pub tenant: String,
}

impl AcceptedRecord {
    /// Bytes of its texts and its body.
    pub fn content_bytes(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        self.body.len() + self.id.len() + self.class.len() + self.tenant.len() + key
    }
}

/// The final outcome of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalOutcome {
    /// It may have been delivered, or can not be any more.
    Failed,
    /// It was not delivered: the client may enqueue it again after this many milliseconds.
    Returned { after_ms: u64 },
}

/// When an attempt was sent, and to which zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRecord {
    /// Journal time in milliseconds.
    pub sent_ms: u64,
    /// The number of the zone in the endpoint directory; it means the same after a restart as long as the zones of the
    /// settings do not change.
    pub zone: u8,
}

/// An accepted message that is not completed, and what is recorded of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PendingMessage {
    /// The message as it was accepted.
    pub message: AcceptedRecord,
    /// Attempts that were started, but for those that were not sent.
    pub attempts: u32,
    /// The first attempt that an endpoint may have processed.
    pub first_uncertain_attempt: Option<SentRecord>,
    /// The attempt that has not finished: after a restart an endpoint may have processed it.
    pub in_flight: Option<SentRecord>,
    /// The final outcome, of which the client is still to be notified.
    pub final_outcome: Option<FinalOutcome>,
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

/// Whose calls a circuit breaker stops: a destination's, or one endpoint's where endpoints have their own limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CircuitKey {
    /// The destination's number.
    pub destination: u32,
    /// The endpoint's uid; none where the circuit is the whole destination's.
    pub uid: Option<String>,
}

/// A [`CircuitRecord`] in terms that mean the same to the next process: uids in the place of ids, and journal time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedCircuit {
    /// The destination's number.
    pub destination: u32,
    /// The endpoint's uid; none where the circuit is the whole destination's.
    pub uid: Option<String>,
    /// Journal time in milliseconds.
    pub last_success_ms: u64,
    /// See [`CircuitRecord::failure_score`].
    pub failure_score: u32,
    /// None while the circuit is closed; see [`CircuitRecord::has_lost_calls`].
    pub has_lost_calls: Option<bool>,
    /// Since when slow start limits calls, in journal time in milliseconds.
    pub slow_start_ms: Option<u64>,
    /// See [`CircuitRecord::baseline_per_sec`].
    pub baseline_per_sec: f64,
}

impl PersistedCircuit {
    /// Translates a record of the scheduler; `journal_ms` turns scheduler time into journal time.
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

    /// Whose circuit it is.
    pub fn key(&self) -> CircuitKey {
        CircuitKey { destination: self.destination, uid: self.uid.clone() }
    }

    /// Whether calls are stopped, but for probes.
    pub fn is_open(&self) -> bool {
        self.has_lost_calls.is_some()
    }
}

/// A change of the circuits that are remembered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PersistedCircuitChange {
    /// In the place of what was recorded for the same key.
    Updated(PersistedCircuit),
    /// The circuit is in its initial state again.
    Removed(CircuitKey),
}
