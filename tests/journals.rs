//! The journal's records: those of other builds, lists that are longer than one record, torn tails and compaction.

mod environment;
#[path = "../src/bin/delivery-gateway/journal/mod.rs"]
#[allow(dead_code, unused_imports)]
mod journal;

use bytes::Bytes;
use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate, EndpointState};
use environment::*;
use journal::{
    AcceptedRecord, CircuitKey, Journal, PendingMessage, PersistedCircuit, PersistedCircuitChange, SentRecord,
};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// A journal of a build in which destinations had 16 bits, compacted once and then appended to. Two messages are
/// pending for each of the destinations 1, 300 and 65535, with deadlines decades away. The first ones of 1 and of 300
/// were in flight, and the second ones waited behind them under the same ordering key. The circuit of 65535 is open,
/// destination 40000 is no longer listed, and all endpoints are draining.
const JOURNAL_WITH_16_BIT_DESTINATIONS: &[&[u8]] = &[
    // Endpoints
    b"\xa3\x00\x00\x00\x9d\xb3\xdd\xc3\x06\x02\x01\x03\x03s-0\x0f127.0.0.1:39731\x08kingston\x05banks\
      \x01\x07SERVING\x00\x00\x00\x00\x00@\x8f@\x03s-1\x0f127.0.0.1:41093\x08kingston\x05banks\xac\x02\
      \x07SERVING\x00\x00\x00\x00\x00@\x8f@\x03s-2\x0f127.0.0.1:50553\x08kingston\x05banks\xff\xff\x03\
      \x07SERVING\x00\x00\x00\x00\x00@\x8f@",
    // Destinations
    b"\x0b\x00\x00\x00\xb5\x0aJ\x8a\x08\x04\x01\xac\x02\xc0\xb8\x02\xff\xff\x03",
    // AllCircuits
    b"\x18\x00\x00\x00\xd7&\x94\xb8\x07\x01\xff\xff\x03\x00\xe3\xaa\xa7\xa7\xa34\x0c\x01\x01\x00\x00\
      \x00\x00\x00\x00\x00\x00\x00",
    // Pending
    b"(\x00\x00\x00\x0f3J\xd9\x05\x01\x05out-1\x00\x06notice\xff\xff\x03\x01\x02o1\xb8\x9b\xa5\x84\xfd\
      J\x00\x05out 1\x01\x00\x00\x00",
    b"(\x00\x00\x00\x10\xf2F{\x05\x02\x05out-2\x00\x06notice\xff\xff\x03\x01\x02o2\xb9\x9b\xa5\x84\xfd\
      J\x00\x05out 2\x01\x00\x00\x00",
    b"-\x00\x00\x00 \xa8\x7f\xe5\x05\x03\x05low-1\x05\x06notice\x01\x01\x02l1\xb9\x9b\xa5\x84\xfdJ\x00\
      \x05low 1\x01\x00\x01\xb9\xab\xa7\xa7\xa34\x00\x00",
    // Tenant
    b"\x08\x00\x00\x00\x05\xcd\x7f\x9c\x09\x03\x05south",
    // Pending
    b"&\x00\x00\x00\xc6cg\xa5\x05\x04\x05low-2\x05\x06notice\x01\x01\x02l2\xbe\x9b\xa5\x84\xfdJ\x00\
      \x05low 2\x00\x00\x00\x00",
    // Tenant
    b"\x08\x00\x00\x00\x8b\xf3\xd8Y\x09\x04\x05south",
    // Accepted
    b"K\x01\x00\x00\xf6\xbb\xca>\x00\x0c\x06fill-7\x00\x06notice\xac\x02\x01\x01f\xaa\x9e\xa5\x84\xfdJ\
      \x00\xac\x02xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
      xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
      xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
      xxxxxxxxxxxxxxxxxxxxxxxx",
    // AttemptStarted
    b"\x09\x00\x00\x00\xe8\x9b\xbf\x14\x01\x0c\xaa\xae\xa7\xa7\xa34\x00",
    // Completed
    b"\x02\x00\x00\x00\xd0\x9b\x03,\x04\x0c",
    // Accepted
    b"#\x00\x00\x00.\xe6N\xd1\x00\x0d\x05mid-1\x06\x06notice\xac\x02\x01\x02m1\xde\x9e\xa5\x84\xfdJ\
      \x00\x05mid 1",
    // Tenant
    b"\x08\x00\x00\x00\xee\xf3\x7fQ\x09\x0d\x05north",
    // AttemptStarted
    b"\x09\x00\x00\x00No2\xc0\x01\x0d\xde\xae\xa7\xa7\xa34\x00",
    // Accepted
    b"#\x00\x00\x00\xad\x87\xe1\xa6\x00\x0e\x05mid-2\x06\x06notice\xac\x02\x01\x02m2\xe0\x9e\xa5\x84\
      \xfdJ\x00\x05mid 2",
    // Tenant
    b"\x08\x00\x00\x00s\xe9\x97`\x09\x0e\x05north",
    // Endpoints
    b"9\x00\x00\x00\xd4\x8e\x0d\x97\x06\x02\x00\x01\x03s-0\x0f127.0.0.1:39731\x08kingston\x05banks\x01\
      \x08DRAINING\x00\x00\x00\x00\x00@\x8f@",
    b":\x00\x00\x00\xb4a\x0f2\x06\x02\x00\x01\x03s-1\x0f127.0.0.1:41093\x08kingston\x05banks\xac\x02\
      \x08DRAINING\x00\x00\x00\x00\x00@\x8f@",
    b";\x00\x00\x00\xf8 \x1c5\x06\x02\x00\x01\x03s-2\x0f127.0.0.1:50553\x08kingston\x05banks\xff\xff\
      \x03\x08DRAINING\x00\x00\x00\x00\x00@\x8f@",
];

/// A build with wider destinations could misread the records of an older one. Each message has to go to its
/// destination, and destinations, endpoints and the open circuit have to be as they were.
#[test]
fn a_journal_of_16_bit_destinations_is_read() {
    let mut environment = TestEnvironment::with_long_deadlines(3, 3.0);
    environment.destinations = vec![1, 300, 65535];
    environment.listed_endpoints.set(0);
    environment.append_to_journal(&JOURNAL_WITH_16_BIT_DESTINATIONS.concat());
    let gateway = environment.start();
    gateway.wait_for_log_line("journal replayed pending=6 revision=2");
    let mut client = gateway.client();
    assert_eq!(client.enqueue("unlisted", "0", "salary", 40000, b"x"), "+OK");
    assert!(client.enqueue("unknown", "0", "salary", 40001, b"x").starts_with("-ERR "));
    environment.announce_all(3);
    // If the circuit had been closed, its log line would precede this one.
    gateway.wait_for_log_line("endpoint list updated revision=3");
    assert!(!gateway.has_logged("open circuits changed"));
    // An attempt that was in flight may have run. Its message is retried only within its idempotency window.
    let in_flight_messages = BTreeMap::from([("low-1", 0), ("mid-1", 1)]);
    let unattempted_messages = BTreeMap::from([("low-2", 0), ("mid-2", 1), ("out-1", 2), ("out-2", 2)]);
    let mut undelivered: BTreeSet<&str> = unattempted_messages.keys().copied().collect();
    while !undelivered.is_empty() {
        let call = environment.call_among_notifications();
        let expected_endpoint =
            unattempted_messages.get(call.id.as_str()).or(in_flight_messages.get(call.id.as_str()));
        assert_eq!(expected_endpoint, Some(&call.endpoint), "{}", call.id);
        assert_eq!(call.body, call.id.replace('-', " ").as_bytes());
        undelivered.remove(call.id.as_str());
        call.answer("200 OK", "");
    }
    gateway.wait_for_log_line("open circuits changed before=1 after=0");
}

/// Destinations that differ only above their lowest 16 bits would be mixed up if a record or a compaction truncated
/// them.
#[test]
fn destinations_have_32_bits() {
    const WIDE: u32 = 70_000;
    let mut environment = TestEnvironment::with_long_deadlines(3, 0.006);
    environment.destinations = vec![WIDE, WIDE % 65_536, u32::MAX];
    let gateway = environment.start();
    let mut client = gateway.client();
    assert!(client.enqueue("unknown", "0", "salary", u32::MAX % 65_536, b"x").starts_with("-ERR "));
    let enqueue = |client: &mut Client, id: &str, key: &str, destination| {
        assert_eq!(client.enqueue(id, key, &format!("notice,k={id}"), destination, id.as_bytes()), "+OK");
    };
    enqueue(&mut client, "wide-1", "1", WIDE);
    enqueue(&mut client, "most-1", "2", u32::MAX);
    let in_flight = [environment.call(), environment.call()];
    enqueue(&mut client, "wide-2", "1", WIDE);
    enqueue(&mut client, "most-2", "2", u32::MAX);
    let mut size = 0;
    for round in 0.. {
        assert!(round < 100, "the journal was not compacted");
        let before = std::mem::replace(&mut size, environment.journal().len());
        if size < before {
            break;
        }
        assert_eq!(
            client.enqueue(&format!("fill-{round}"), "0", "salary", WIDE % 65_536, &[b'x'; 300]),
            "+OK"
        );
        let call = environment.call();
        assert_eq!(call.endpoint, 1);
        call.answer("200 OK", "");
    }
    let gateway = gateway.kill_and_restart();
    drop(in_flight);
    let endpoints = BTreeMap::from([("wide-1", 0), ("wide-2", 0), ("most-1", 2), ("most-2", 2)]);
    let mut sent = BTreeSet::new();
    while sent.len() < endpoints.len() {
        let call = environment.call_among_notifications();
        // The last message that filled the journal may have been in flight at the kill.
        if !call.id.starts_with("fill-") {
            assert_eq!(endpoints.get(call.id.as_str()), Some(&call.endpoint), "{}", call.id);
            sent.insert(call.id.clone());
        }
        call.answer("200 OK", "");
    }
    assert_eq!(gateway.client().enqueue("after", "0", "salary", u32::MAX, b"x"), "+OK");
    assert_eq!(environment.call_among_notifications().endpoint, 2);
}

/// A state folder that holds only a journal. It is removed when dropped.
struct StateFolder(PathBuf);

impl StateFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("delivery-gateway-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        StateFolder(path)
    }

    fn journal(&self, disk_bytes: u64) -> Journal {
        Journal::open(&self.0, disk_bytes).unwrap()
    }

    fn bytes(&self) -> Vec<u8> {
        std::fs::read(self.0.join("journal")).unwrap()
    }
}

impl Drop for StateFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn random_circuit(rng: &mut fastrand::Rng, CircuitKey { destination, uid }: CircuitKey) -> PersistedCircuit {
    PersistedCircuit {
        destination,
        uid,
        last_success_ms: rng.u64(..),
        failure_score: rng.u32(..),
        has_lost_calls: [None, Some(false), Some(true)][rng.usize(..3)],
        slow_start_ms: rng.bool().then(|| rng.u64(..)),
        baseline_per_sec: rng.f64(),
    }
}

fn assert_circuits(journal: &Journal, expected: &BTreeMap<CircuitKey, PersistedCircuit>) {
    let circuit_records = &journal.state.circuits;
    assert_eq!(circuit_records.iter().collect::<Vec<_>>(), expected.values().collect::<Vec<_>>());
    assert_eq!(
        circuit_records.open_count(),
        expected.values().filter(|circuit| circuit.has_lost_calls.is_some()).count()
    );
}

/// A circuit record could be lost or revert to an earlier one in a kill, a compaction or a torn write. A tail that is
/// torn at any byte loses only the last change.
#[test]
fn circuit_changes_survive_kills_compactions_and_torn_tails() {
    let folder = StateFolder::new("circuits");
    const DISK_BYTES: u64 = 20_000;
    let mut compactions = 0;
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut journal = folder.journal(DISK_BYTES);
        let mut expected: BTreeMap<CircuitKey, PersistedCircuit> =
            journal.state.circuits.iter().map(|circuit| (circuit.key(), circuit.clone())).collect();
        for _ in 0..200 {
            let before = (folder.bytes(), expected.clone());
            let uid = rng.bool().then(|| format!("s-{}", rng.u32(..4)));
            let key = CircuitKey { destination: 70_000 * rng.u32(..8), uid };
            let change = if rng.u32(..3) > 0 {
                let circuit = random_circuit(&mut rng, key);
                expected.insert(circuit.key(), circuit.clone());
                PersistedCircuitChange::Updated(circuit)
            } else {
                expected.remove(&key);
                PersistedCircuitChange::Removed(key)
            };
            journal.record_circuits(&[change]).unwrap();
            assert_circuits(&journal, &expected);
            let now = folder.bytes();
            let is_appended = now.starts_with(&before.0);
            compactions += u32::from(!is_appended);
            if rng.u32(..20) == 0 {
                drop(journal);
                if is_appended && rng.bool() {
                    let torn = rng.usize(before.0.len()..now.len());
                    std::fs::write(folder.0.join("journal"), &now[..torn]).unwrap();
                    expected = before.1;
                }
                journal = folder.journal(DISK_BYTES);
                assert_circuits(&journal, &expected);
            }
        }
    }
    assert!(compactions > 0);
}

/// A compaction writes all circuits anew. More of them than fit one record have to be split, or they would be lost.
#[test]
fn any_number_of_circuits_is_compacted() {
    const CIRCUITS: u32 = 70_000;
    const DISK_BYTES: u64 = 40_000_000;
    let folder = StateFolder::new("many-circuits");
    let mut rng = fastrand::Rng::with_seed(7);
    let name = "a-name-that-is-as-long-as-those-that-are-in-use-in-the-field";
    let expected: BTreeMap<CircuitKey, PersistedCircuit> = (0..CIRCUITS)
        .map(|to| random_circuit(&mut rng, CircuitKey { destination: to, uid: Some(format!("{name}-{to}")) }))
        .map(|circuit| (circuit.key(), circuit))
        .collect();
    let mut journal = folder.journal(DISK_BYTES);
    let all: Vec<PersistedCircuitChange> =
        expected.values().cloned().map(PersistedCircuitChange::Updated).collect();
    journal.record_circuits(&all).unwrap();
    let whole = folder.bytes().len();
    assert!(whole > 4 << 20, "{whole} bytes would fit one record");
    let mut size = whole;
    while folder.bytes().len() >= size {
        size = folder.bytes().len();
        journal.record_circuits(&all).unwrap();
    }
    drop(journal);
    assert_circuits(&folder.journal(DISK_BYTES), &expected);
}

/// A circuit that opened after the start is still open in the next process, which sends one probe at a time instead of
/// all messages to a failing destination.
#[test]
fn an_open_circuit_outlasts_a_kill() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    for id in ["a", "b", "c", "d"] {
        assert_eq!(client.enqueue(id, "0", &format!("notice,k={id}"), 1, b"x"), "+OK");
    }
    (0..4).for_each(|_| environment.call().reset());
    gateway.wait_for_log_line("open circuits changed before=0 after=1");
    let gateway = gateway.kill_and_restart();
    // If the circuit had been closed, its log line would precede the one of the lame duck mode.
    assert_eq!(gateway.admin_request("POST /_lameduck/on"), 200);
    gateway.wait_for_log_line("lame duck mode switched");
    assert!(!gateway.has_logged("open circuits changed"));
    assert_eq!(gateway.admin_request("POST /_lameduck/off"), 200);
    let mut undelivered = BTreeSet::from(["a", "b", "c", "d"]);
    while !undelivered.is_empty() {
        let call = environment.call();
        undelivered.remove(call.id.as_str());
        call.answer("200 OK", "");
    }
    gateway.wait_for_log_line("open circuits changed before=1 after=0");
}

/// Returns endpoints with long uids. An update with 50 000 of them is too long for one record.
fn many_endpoints(revision: u64, count: u32) -> Vec<DiscoveredEndpoint> {
    let endpoint = |number| DiscoveredEndpoint {
        uid: format!("a-name-that-is-as-long-as-those-that-are-in-use-in-the-field-{revision}-{number}"),
        address: "127.0.0.1:9".to_owned(),
        zone: "kingston".to_owned(),
        kind: "banks".to_owned(),
        destination: number,
        state: EndpointState::Serving,
        capacity_hint: 1.0,
    };
    (0..count).map(endpoint).collect()
}

fn long_snapshot(revision: u64, count: u32) -> DiscoveryUpdate {
    DiscoveryUpdate { revision, is_snapshot: true, endpoints: many_endpoints(revision, count) }
}

fn long_delta(revision: u64, count: u32) -> DiscoveryUpdate {
    DiscoveryUpdate { revision, is_snapshot: false, endpoints: many_endpoints(revision, count) }
}

/// A summary of the endpoint list in a journal, for comparisons.
#[derive(Clone, Debug, PartialEq)]
struct EndpointList {
    revision: u64,
    count: usize,
    first_uid: Option<String>,
}

fn endpoint_list(journal: &Journal) -> EndpointList {
    let state = &journal.state;
    EndpointList {
        revision: state.endpoints_revision,
        count: state.endpoints.len(),
        first_uid: state.endpoints.keys().next().cloned(),
    }
}

/// An endpoint list that is too long for one record is written as several. If the tail is torn at any byte, the list is
/// not applied, and what is left of its records affects nothing that is written later.
#[test]
fn an_endpoint_list_of_many_records_is_applied_completely_or_not_at_all() {
    const MANY: u32 = 50_000;
    const DISK_BYTES: u64 = 100_000_000;
    let folder = StateFolder::new("long-list");
    let mut journal = folder.journal(DISK_BYTES);
    journal.record_endpoints(long_snapshot(1, 3)).unwrap();
    let small = folder.bytes();
    let before = endpoint_list(&journal);
    assert_eq!((before.revision, before.count), (1, 3));
    let mut whole = folder.journal(DISK_BYTES);
    whole.record_endpoints(long_snapshot(2, MANY)).unwrap();
    let bytes = folder.bytes();
    assert!(bytes.len() > small.len() + (4 << 20), "{} bytes would fit one record", bytes.len());
    drop(whole);
    let whole = folder.journal(DISK_BYTES);
    let after = endpoint_list(&whole);
    assert_eq!((after.revision, after.count), (2, MANY as usize));
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..12 {
        let torn = rng.usize(small.len()..bytes.len());
        std::fs::write(folder.0.join("journal"), &bytes[..torn]).unwrap();
        assert_eq!(endpoint_list(&folder.journal(DISK_BYTES)), before, "torn at {torn}");
        // Either the same list is written again, or a change of the list before it.
        let is_same_list = rng.bool();
        if is_same_list {
            folder.journal(DISK_BYTES).record_endpoints(long_snapshot(2, MANY)).unwrap();
            assert_eq!(endpoint_list(&folder.journal(DISK_BYTES)), after, "torn at {torn}");
        } else {
            folder.journal(DISK_BYTES).record_endpoints(long_delta(3, 2)).unwrap();
            let changed = endpoint_list(&folder.journal(DISK_BYTES));
            assert_eq!((changed.revision, changed.count), (3, 5), "torn at {torn}");
        }
    }
}

/// A compaction writes the endpoint list and the destinations anew. A long snapshot, a long delta and the destinations
/// are too long for one record here and have to be split, or they would be lost.
#[test]
fn a_long_endpoint_list_is_compacted() {
    const MANY: u32 = 50_000;
    const DISK_BYTES: u64 = 50_000_000;
    /// The smallest destination that takes four bytes in a record.
    const FIRST_FOUR_BYTE_DESTINATION: u32 = 1 << 21;
    let folder = StateFolder::new("compacted-list");
    let mut journal = folder.journal(DISK_BYTES);
    journal.state.destinations.extend(FIRST_FOUR_BYTE_DESTINATION..FIRST_FOUR_BYTE_DESTINATION + (11 << 17));
    let mut size = 0;
    let mut revision = 0;
    while folder.bytes().len() >= size {
        size = folder.bytes().len();
        revision += 2;
        journal.record_endpoints(long_snapshot(revision, MANY)).unwrap();
        journal.record_endpoints(long_delta(revision + 1, MANY)).unwrap();
    }
    let expected = endpoint_list(&journal);
    assert_eq!((expected.revision, expected.count), (revision + 1, 2 * MANY as usize));
    let reopened = folder.journal(DISK_BYTES);
    assert_eq!(endpoint_list(&reopened), expected);
    assert!(reopened.state.endpoints.keys().eq(journal.state.endpoints.keys()));
    assert_eq!(reopened.state.destinations, journal.state.destinations);
}

/// An endpoint list that is too long for one record survives a kill, first when it comes from the configuration and
/// then when it comes from the watch.
#[test]
fn an_endpoint_list_beyond_one_record_outlasts_a_kill() {
    const MANY: u32 = 80_000;
    let mut environment = TestEnvironment::with_long_deadlines(1, 60.0);
    environment.grow_to(MANY as usize);
    environment.destination_per_endpoint = true;
    // A message whose call stays in flight is pending when the process is killed.
    let send = |gateway: &RunningGateway, id: &str, destination| {
        assert_eq!(gateway.client().enqueue(id, "0", "salary", destination, b"x"), "+OK");
        let call = environment.call_among_notifications();
        assert_eq!(call.id, id);
        call
    };
    let gateway = environment.start();
    let _in_flight = send(&gateway, "known", MANY);
    assert!(environment.journal().len() > 4 << 20);
    environment.listed_endpoints.set(1);
    let gateway = gateway.kill_and_restart();
    gateway.wait_for_log_line("journal replayed pending=1 revision=1");
    send(&gateway, "replayed", MANY - 1).answer("200 OK", "");
    environment.announce_all(2);
    gateway.wait_for_log_line("endpoint list updated revision=2 changed=80000");
    let _in_flight = send(&gateway, "watched", MANY - 2);
    let gateway = gateway.kill_and_restart();
    let replayed = gateway.wait_for_log_line("journal replayed");
    assert!(replayed.ends_with("revision=2"), "{replayed}");
    send(&gateway, "again", MANY - 3).answer("200 OK", "");
    assert!(!gateway.has_logged("cannot be written"));
}

/// An attempt without an outcome in the journal may have run, also if a later attempt has an outcome. The idempotency
/// window begins with the first uncertain attempt.
#[test]
fn an_attempt_without_an_outcome_counts_as_uncertain() {
    const DISK_BYTES: u64 = 1 << 20;
    let folder = StateFolder::new("journal");
    let (first, second) = (SentRecord { sent_ms: 1_000, zone: 1 }, SentRecord { sent_ms: 2_000, zone: 2 });
    let mut journal = folder.journal(DISK_BYTES);
    let number = journal.accept(accepted_record("m1")).unwrap();
    journal.record_attempt_started(number, first).unwrap();
    journal.record_attempt_started(number, second).unwrap();
    journal.record_attempt_outcome(number, false).unwrap();
    let journal = folder.journal(DISK_BYTES);
    let pending: &PendingMessage = &journal.state.pending[&number];
    assert_eq!(
        (pending.attempts, pending.first_uncertain_attempt, pending.in_flight),
        (2, Some(first), None)
    );
}

fn accepted_record(id: &str) -> AcceptedRecord {
    AcceptedRecord {
        id: id.to_owned(),
        ordering_key: 0,
        class: "notice".to_owned(),
        destination: 1,
        idempotency_key: None,
        deadline_ms: 0,
        is_redelivered: false,
        body: Bytes::new(),
        tenant: String::new(),
    }
}

/// A gateway that has met no fault writes only record kinds that the previous build can read. Journal time would need
/// another kind, so that it is kept in a separate file beside the journal.
#[test]
fn a_journal_without_faults_has_only_record_kinds_of_the_previous_build() {
    const LAST_KNOWN_KIND: u8 = 12;
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("r1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("200 OK", "");
    assert_eq!(client.enqueue("r2", "0", "salary", 1, b"x"), "+OK");
    environment.call().reset();
    assert!(environment.notification().contains("failed"));
    drop(gateway.kill_and_restart());
    let journal = environment.journal();
    let (mut at, mut records) = (0, 0);
    while let Some(head) = journal[at..].first_chunk::<4>() {
        assert!(journal[at + 8] <= LAST_KNOWN_KIND, "record {records} is of kind {}", journal[at + 8]);
        at += 8 + u32::from_le_bytes(*head) as usize;
        records += 1;
    }
    assert!(records > 5 && at == journal.len(), "{records} records, {at} of {} bytes", journal.len());
}

/// An endpoint list that the disk has no room for must not prevent messages from being accepted, attempted and
/// completed.
#[test]
fn an_endpoint_list_beyond_the_disk_blocks_no_message() {
    const DISK_BYTES: u64 = 20_000;
    let folder = StateFolder::new("full-disk");
    let mut journal = folder.journal(DISK_BYTES);
    let endpoint = |number: u32| DiscoveredEndpoint {
        uid: format!("s-{number}"),
        address: "127.0.0.1:1".to_owned(),
        zone: "kingston".to_owned(),
        kind: "banks".to_owned(),
        destination: 1,
        state: EndpointState::Serving,
        capacity_hint: 1.0,
    };
    let endpoints = (0..1000).map(endpoint).collect();
    assert!(journal.record_endpoints(DiscoveryUpdate { revision: 2, is_snapshot: true, endpoints }).is_err());
    let number = journal.accept(accepted_record("m1")).unwrap();
    journal.record_attempt_started(number, SentRecord { sent_ms: 1_000, zone: 1 }).unwrap();
    journal.record_attempt_outcome(number, true).unwrap();
    let journal = folder.journal(DISK_BYTES);
    assert_eq!(
        journal.state.pending[&number].first_uncertain_attempt,
        Some(SentRecord { sent_ms: 1_000, zone: 1 })
    );
}
