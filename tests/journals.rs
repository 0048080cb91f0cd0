//! Journals that other builds have written, and what is in them that once did not fit.

#[path = "../src/bin/delivery-gateway/journal/mod.rs"]
#[allow(dead_code)]
mod journal;
mod world;

use bytes::Bytes;
use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate};
use journal::{
    AcceptedRecord, CircuitKey, Journal, PendingMessage, PersistedCircuit, PersistedCircuitChange, SentRecord,
};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use world::*;

/// A journal as it was written while destinations had 16 bits: compacted once, and gone on with. Of destinations 1, 300
/// and 65535 some messages are held, whose deadlines are decades away; the first of 1 and of 300 were out, the second
/// ones waited behind them for their turn. 65535 is held to be out, 40000 is not listed any more, and all else drains.
const OF_16_BITS: &[&[u8]] = &[
    // Targets
    b"\xa3\x00\x00\x00\x9d\xb3\xdd\xc3\x06\x02\x01\x03\x03s-0\x0f127.0.0.1:39731\x08kingston\x05banks\
      \x01\x07SERVING\x00\x00\x00\x00\x00@\x8f@\x03s-1\x0f127.0.0.1:41093\x08kingston\x05banks\xac\x02\
      \x07SERVING\x00\x00\x00\x00\x00@\x8f@\x03s-2\x0f127.0.0.1:50553\x08kingston\x05banks\xff\xff\x03\
      \x07SERVING\x00\x00\x00\x00\x00@\x8f@",
    // Destinations
    b"\x0b\x00\x00\x00\xb5\x0aJ\x8a\x08\x04\x01\xac\x02\xc0\xb8\x02\xff\xff\x03",
    // Outages
    b"\x18\x00\x00\x00\xd7&\x94\xb8\x07\x01\xff\xff\x03\x00\xe3\xaa\xa7\xa7\xa34\x0c\x01\x01\x00\x00\
      \x00\x00\x00\x00\x00\x00\x00",
    // Whole
    b"(\x00\x00\x00\x0f3J\xd9\x05\x01\x05out-1\x00\x06notice\xff\xff\x03\x01\x02o1\xb8\x9b\xa5\x84\xfd\
      J\x00\x05out 1\x01\x00\x00\x00",
    b"(\x00\x00\x00\x10\xf2F{\x05\x02\x05out-2\x00\x06notice\xff\xff\x03\x01\x02o2\xb9\x9b\xa5\x84\xfd\
      J\x00\x05out 2\x01\x00\x00\x00",
    b"-\x00\x00\x00 \xa8\x7f\xe5\x05\x03\x05low-1\x05\x06notice\x01\x01\x02l1\xb9\x9b\xa5\x84\xfdJ\x00\
      \x05low 1\x01\x00\x01\xb9\xab\xa7\xa7\xa34\x00\x00",
    // Tenant
    b"\x08\x00\x00\x00\x05\xcd\x7f\x9c\x09\x03\x05south",
    // Whole
    b"&\x00\x00\x00\xc6cg\xa5\x05\x04\x05low-2\x05\x06notice\x01\x01\x02l2\xbe\x9b\xa5\x84\xfdJ\x00\
      \x05low 2\x00\x00\x00\x00",
    // Tenant
    b"\x08\x00\x00\x00\x8b\xf3\xd8Y\x09\x04\x05south",
    // Take
    b"K\x01\x00\x00\xf6\xbb\xca>\x00\x0c\x06fill-7\x00\x06notice\xac\x02\x01\x01f\xaa\x9e\xa5\x84\xfdJ\
      \x00\xac\x02xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
      xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
      xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
      xxxxxxxxxxxxxxxxxxxxxxxx",
    // Start
    b"\x09\x00\x00\x00\xe8\x9b\xbf\x14\x01\x0c\xaa\xae\xa7\xa7\xa34\x00",
    // Over
    b"\x02\x00\x00\x00\xd0\x9b\x03,\x04\x0c",
    // Take
    b"#\x00\x00\x00.\xe6N\xd1\x00\x0d\x05mid-1\x06\x06notice\xac\x02\x01\x02m1\xde\x9e\xa5\x84\xfdJ\
      \x00\x05mid 1",
    // Tenant
    b"\x08\x00\x00\x00\xee\xf3\x7fQ\x09\x0d\x05north",
    // Start
    b"\x09\x00\x00\x00No2\xc0\x01\x0d\xde\xae\xa7\xa7\xa34\x00",
    // Take
    b"#\x00\x00\x00\xad\x87\xe1\xa6\x00\x0e\x05mid-2\x06\x06notice\xac\x02\x01\x02m2\xe0\x9e\xa5\x84\
      \xfdJ\x00\x05mid 2",
    // Tenant
    b"\x08\x00\x00\x00s\xe9\x97`\x09\x0e\x05north",
    // Targets
    b"9\x00\x00\x00\xd4\x8e\x0d\x97\x06\x02\x00\x01\x03s-0\x0f127.0.0.1:39731\x08kingston\x05banks\x01\
      \x08DRAINING\x00\x00\x00\x00\x00@\x8f@",
    b":\x00\x00\x00\xb4a\x0f2\x06\x02\x00\x01\x03s-1\x0f127.0.0.1:41093\x08kingston\x05banks\xac\x02\
      \x08DRAINING\x00\x00\x00\x00\x00@\x8f@",
    b";\x00\x00\x00\xf8 \x1c5\x06\x02\x00\x01\x03s-2\x0f127.0.0.1:50553\x08kingston\x05banks\xff\xff\
      \x03\x08DRAINING\x00\x00\x00\x00\x00@\x8f@",
];

/// Each message goes where it was to go, to a destination that is known as it was.
#[test]
fn a_journal_of_16_bit_destinations_is_read() {
    let mut world = World::patient(3, 3.0);
    world.destinations = vec![1, 300, 65535];
    world.known.set(0);
    world.append_to_journal(&OF_16_BITS.concat());
    let courier = world.start();
    courier.log_until("the journal was replayed held=6 rev=2");
    let mut client = courier.client();
    assert_eq!(client.enqueue("unlisted", "0", "salary", 40000, b"x"), "+OK");
    assert!(client.enqueue("unknown", "0", "salary", 40001, b"x").starts_with("-ERR "));
    world.tell_all(3);
    // A line for the outage would come before this one, had it been forgotten.
    courier.log_until("the list has changed rev=3");
    assert!(!courier.has_logged("destinations held to be out"));
    // What was out may have run: it is tried again inside its window alone.
    let was_out = BTreeMap::from([("low-1", 0), ("mid-1", 1)]);
    let waited = BTreeMap::from([("low-2", 0), ("mid-2", 1), ("out-1", 2), ("out-2", 2)]);
    let mut left: BTreeSet<&str> = waited.keys().copied().collect();
    while !left.is_empty() {
        let call = world.call_among_notices();
        let to = waited.get(call.id.as_str()).or(was_out.get(call.id.as_str()));
        assert_eq!(to, Some(&call.endpoint), "{}", call.id);
        assert_eq!(call.body, call.id.replace('-', " ").as_bytes());
        left.remove(call.id.as_str());
        call.answer("200 OK", "");
    }
    courier.log_until("destinations held to be out before=1 after=0");
}

/// Destinations beyond 16 bits keep theirs apart from those that are the same but for the bits above, over compaction
/// and a kill.
#[test]
fn destinations_have_32_bits() {
    const WIDE: u32 = 70_000;
    let mut world = World::patient(3, 0.006);
    world.destinations = vec![WIDE, WIDE % 65_536, u32::MAX];
    let courier = world.start();
    let mut client = courier.client();
    assert!(client.enqueue("unknown", "0", "salary", u32::MAX % 65_536, b"x").starts_with("-ERR "));
    let enqueue = |client: &mut Client, id: &str, key: &str, destination| {
        assert_eq!(client.enqueue(id, key, &format!("notice,k={id}"), destination, id.as_bytes()), "+OK");
    };
    enqueue(&mut client, "wide-1", "1", WIDE);
    enqueue(&mut client, "most-1", "2", u32::MAX);
    let out = [world.call(), world.call()];
    enqueue(&mut client, "wide-2", "1", WIDE);
    enqueue(&mut client, "most-2", "2", u32::MAX);
    let mut size = 0;
    for round in 0.. {
        assert!(round < 100, "the journal is never compacted");
        let before = std::mem::replace(&mut size, world.journal().len());
        if size < before {
            break;
        }
        assert_eq!(
            client.enqueue(&format!("fill-{round}"), "0", "salary", WIDE % 65_536, &[b'x'; 300]),
            "+OK"
        );
        let call = world.call();
        assert_eq!(call.endpoint, 1);
        call.answer("200 OK", "");
    }
    let courier = courier.kill_and_restart();
    drop(out);
    let to = BTreeMap::from([("wide-1", 0), ("wide-2", 0), ("most-1", 2), ("most-2", 2)]);
    let mut seen = BTreeSet::new();
    while seen.len() < to.len() {
        let call = world.call_among_notices();
        // The last one of those that filled the journal may have been out.
        if !call.id.starts_with("fill-") {
            assert_eq!(to.get(call.id.as_str()), Some(&call.endpoint), "{}", call.id);
            seen.insert(call.id.clone());
        }
        call.answer("200 OK", "");
    }
    assert_eq!(courier.client().enqueue("after", "0", "salary", u32::MAX, b"x"), "+OK");
    assert_eq!(world.call_among_notices().endpoint, 2);
}

/// A folder for a journal alone; it is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("delivery-gateway-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn journal(&self, disk: u64) -> Journal {
        Journal::open(&self.0, disk).unwrap()
    }

    fn bytes(&self) -> Vec<u8> {
        std::fs::read(self.0.join("journal")).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn outage(rng: &mut fastrand::Rng, CircuitKey { destination, uid }: CircuitKey) -> PersistedCircuit {
    PersistedCircuit {
        destination,
        uid,
        last_success_ms: rng.u64(..),
        failure_score: rng.u32(..),
        calls_lost: [None, Some(false), Some(true)][rng.usize(..3)],
        slow_start_ms: rng.bool().then(|| rng.u64(..)),
        baseline_rate: rng.f64(),
    }
}

fn assert_noted(journal: &Journal, known: &BTreeMap<CircuitKey, PersistedCircuit>) {
    let circuit_records = &journal.state.circuits;
    assert_eq!(circuit_records.iter().collect::<Vec<_>>(), known.values().collect::<Vec<_>>());
    assert_eq!(circuit_records.open_count(), known.values().filter(|note| note.calls_lost.is_some()).count());
}

/// Outages that are noted one by one come back as they are, over kills and compactions, and a tail that is torn
/// anywhere takes back no more than the last change.
#[test]
fn outages_are_noted_as_they_change() {
    let folder = Folder::new("outages");
    const DISK: u64 = 20_000;
    let mut compacted = 0;
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut journal = folder.journal(DISK);
        let mut known: BTreeMap<CircuitKey, PersistedCircuit> =
            journal.state.circuits.iter().map(|note| (note.key(), note.clone())).collect();
        for _ in 0..200 {
            let before = (folder.bytes(), known.clone());
            let uid = rng.bool().then(|| format!("s-{}", rng.u32(..4)));
            let key = CircuitKey { destination: 70_000 * rng.u32(..8), uid };
            let change = if rng.u32(..3) > 0 {
                let note = outage(&mut rng, key);
                known.insert(note.key(), note.clone());
                PersistedCircuitChange::Updated(note)
            } else {
                known.remove(&key);
                PersistedCircuitChange::Removed(key)
            };
            journal.record_circuits(&[change]).unwrap();
            assert_noted(&journal, &known);
            let now = folder.bytes();
            let grown = now.starts_with(&before.0);
            compacted += u32::from(!grown);
            if rng.u32(..20) == 0 {
                drop(journal);
                if grown && rng.bool() {
                    let torn = rng.usize(before.0.len()..now.len());
                    std::fs::write(folder.0.join("journal"), &now[..torn]).unwrap();
                    known = before.1;
                }
                journal = folder.journal(DISK);
                assert_noted(&journal, &known);
            }
        }
    }
    assert!(compacted > 0);
}

/// Outages of more destinations than one record can hold outlast a compaction.
#[test]
fn any_number_of_outages_is_compacted() {
    const COUNT: u32 = 70_000;
    const DISK: u64 = 40_000_000;
    let folder = Folder::new("many-outages");
    let mut rng = fastrand::Rng::with_seed(7);
    let name = "a-name-that-is-as-long-as-those-that-are-in-use-in-the-field";
    let known: BTreeMap<CircuitKey, PersistedCircuit> = (0..COUNT)
        .map(|to| outage(&mut rng, CircuitKey { destination: to, uid: Some(format!("{name}-{to}")) }))
        .map(|note| (note.key(), note))
        .collect();
    let mut journal = folder.journal(DISK);
    let all: Vec<PersistedCircuitChange> =
        known.values().cloned().map(PersistedCircuitChange::Updated).collect();
    journal.record_circuits(&all).unwrap();
    let whole = folder.bytes().len();
    assert!(whole > 4 << 20, "{whole} bytes would fit one record");
    let mut size = whole;
    while folder.bytes().len() >= size {
        size = folder.bytes().len();
        journal.record_circuits(&all).unwrap();
    }
    drop(journal);
    assert_noted(&folder.journal(DISK), &known);
}

/// What was noted of an outage since the start binds the next process: one call is on trial.
#[test]
fn an_outage_outlasts_a_kill() {
    let world = World::patient(1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    for id in ["a", "b", "c", "d"] {
        assert_eq!(client.enqueue(id, "0", &format!("notice,k={id}"), 1, b"x"), "+OK");
    }
    (0..4).for_each(|_| world.call().reset());
    courier.log_until("destinations held to be out before=0 after=1");
    let courier = courier.kill_and_restart();
    // A line for the outage would come before the one for the operators, had it been forgotten.
    assert_eq!(courier.operate("POST /_lameduck/on"), 200);
    courier.log_until("operators have told to empty");
    assert!(!courier.has_logged("destinations held to be out"));
    assert_eq!(courier.operate("POST /_lameduck/off"), 200);
    let mut left = BTreeSet::from(["a", "b", "c", "d"]);
    while !left.is_empty() {
        let call = world.call();
        left.remove(call.id.as_str());
        call.answer("200 OK", "");
    }
    courier.log_until("destinations held to be out before=1 after=0");
}

/// An update whose record would be too long.
fn long_update(rev: u64, all: bool, count: u32) -> DiscoveryUpdate {
    let target = |number| DiscoveredEndpoint {
        uid: format!("a-name-that-is-as-long-as-those-that-are-in-use-in-the-field-{rev}-{number}"),
        address: "127.0.0.1:9".to_owned(),
        zone: "kingston".to_owned(),
        kind: "banks".to_owned(),
        destination: number,
        state: "SERVING".to_owned(),
        capacity_hint: 1.0,
    };
    DiscoveryUpdate { revision: rev, is_snapshot: all, endpoints: (0..count).map(target).collect() }
}

/// What a journal holds of the list: its version, how many endpoints, and their least uid.
fn listed(journal: &Journal) -> (u64, usize, Option<&str>) {
    let state = &journal.state;
    (state.endpoints_revision, state.endpoints.len(), state.endpoints.keys().next().map(String::as_str))
}

/// A list that no record can hold is there whole or not at all, wherever its tail is torn; what was left of it spoils
/// nothing that comes after it.
#[test]
fn a_list_of_many_records_counts_whole_or_not_at_all() {
    const MANY: u32 = 50_000;
    const DISK: u64 = 100_000_000;
    let folder = Folder::new("long-list");
    let mut journal = folder.journal(DISK);
    journal.record_endpoints(long_update(1, true, 3)).unwrap();
    let small = folder.bytes();
    let before = listed(&journal);
    assert_eq!((before.0, before.1), (1, 3));
    let mut whole = folder.journal(DISK);
    whole.record_endpoints(long_update(2, true, MANY)).unwrap();
    let bytes = folder.bytes();
    assert!(bytes.len() > small.len() + (4 << 20), "{} bytes would fit one record", bytes.len());
    drop(whole);
    let whole = folder.journal(DISK);
    let after = listed(&whole);
    assert_eq!((after.0, after.1), (2, MANY as usize));
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..12 {
        let torn = rng.usize(small.len()..bytes.len());
        std::fs::write(folder.0.join("journal"), &bytes[..torn]).unwrap();
        assert_eq!(listed(&folder.journal(DISK)), before, "torn at {torn}");
        // A change of what was known, and the same list once more.
        let again = rng.bool();
        if again {
            folder.journal(DISK).record_endpoints(long_update(2, true, MANY)).unwrap();
            assert_eq!(listed(&folder.journal(DISK)), after, "torn at {torn}");
        } else {
            folder.journal(DISK).record_endpoints(long_update(3, false, 2)).unwrap();
            let (rev, count, _) = listed(&folder.journal(DISK));
            assert_eq!((rev, count), (3, 5), "torn at {torn}");
        }
    }
}

/// A long list, a long change and more destinations than a record holds outlast a compaction.
#[test]
fn a_long_list_is_compacted() {
    const MANY: u32 = 50_000;
    const DISK: u64 = 50_000_000;
    /// From here on, each takes four bytes.
    const FAR: u32 = 1 << 21;
    let folder = Folder::new("compacted-list");
    let mut journal = folder.journal(DISK);
    journal.state.destinations.extend(FAR..FAR + (11 << 17));
    let mut size = 0;
    let mut rev = 0;
    while folder.bytes().len() >= size {
        size = folder.bytes().len();
        rev += 2;
        journal.record_endpoints(long_update(rev, true, MANY)).unwrap();
        journal.record_endpoints(long_update(rev + 1, false, MANY)).unwrap();
    }
    let known = listed(&journal);
    assert_eq!((known.0, known.1), (rev + 1, 2 * MANY as usize));
    let again = folder.journal(DISK);
    assert_eq!(listed(&again), known);
    assert!(again.state.endpoints.keys().eq(journal.state.endpoints.keys()));
    assert_eq!(again.state.destinations, journal.state.destinations);
}

/// So many endpoints that their list fits no record, first as the start knows them and then as the watch tells them: a
/// process that was killed knows them all.
#[test]
fn a_list_beyond_one_record_outlasts_a_kill() {
    const MANY: u32 = 80_000;
    let mut world = World::patient(1, 60.0);
    world.enlarge(MANY as usize);
    world.apart = true;
    // One that stays out is held when the process is killed.
    let send = |courier: &Scheduler, id: &str, destination| {
        assert_eq!(courier.client().enqueue(id, "0", "salary", destination, b"x"), "+OK");
        let call = world.call_among_notices();
        assert_eq!(call.id, id);
        call
    };
    let courier = world.start();
    let _out = send(&courier, "known", MANY);
    assert!(world.journal().len() > 4 << 20);
    world.known.set(1);
    let courier = courier.kill_and_restart();
    courier.log_until("the journal was replayed held=1 rev=1");
    send(&courier, "replayed", MANY - 1).answer("200 OK", "");
    world.tell_all(2);
    courier.log_until("the list has changed rev=2 changed=80000");
    let _out = send(&courier, "watched", MANY - 2);
    let courier = courier.kill_and_restart();
    let replayed = courier.log_until("the journal was replayed");
    assert!(replayed.ends_with("rev=2"), "{replayed}");
    send(&courier, "again", MANY - 3).answer("200 OK", "");
    assert!(!courier.has_logged("cannot be written"));
}

/// An attempt without an outcome in the journal may have run, also if another one was begun after it: the window for
/// repeats counts from the first.
#[test]
fn an_attempt_whose_outcome_is_missing_may_have_run() {
    let folder = std::env::temp_dir().join(format!("delivery-gateway-journal-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (first, second) = (SentRecord { sent_ms: 1_000, zone: 1 }, SentRecord { sent_ms: 2_000, zone: 2 });
    let mut journal = Journal::open(&folder, 1 << 20).unwrap();
    let number = journal.accept(taken("m1")).unwrap();
    journal.record_attempt(number, first).unwrap();
    journal.record_attempt(number, second).unwrap();
    journal.record_attempt_outcome(number, false).unwrap();
    let journal = Journal::open(&folder, 1 << 20).unwrap();
    let pending: &PendingMessage = &journal.state.pending[&number];
    assert_eq!(
        (pending.attempts, pending.first_uncertain_attempt, pending.in_flight),
        (2, Some(first), None)
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

fn taken(id: &str) -> AcceptedRecord {
    AcceptedRecord {
        id: id.to_owned(),
        ordering_key: 0,
        class: "notice".to_owned(),
        destination: 1,
        idempotency_key: None,
        deadline_ms: 0,
        redelivered: false,
        body: Bytes::new(),
        tenant: String::new(),
    }
}

/// A courier that has lived without trouble leaves a journal in which the build before finds only records that it
/// knows: journal time is kept beside it.
#[test]
fn an_untroubled_journal_has_only_records_of_the_build_before() {
    const LAST_KNOWN_KIND: u8 = 12;
    let world = World::patient(1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("r1", "0", "salary", 1, b"x"), "+OK");
    world.call().answer("200 OK", "");
    assert_eq!(client.enqueue("r2", "0", "salary", 1, b"x"), "+OK");
    world.call().reset();
    assert!(world.notice().contains("failed"));
    drop(courier.kill_and_restart());
    let journal = world.journal();
    let (mut at, mut records) = (0, 0);
    while let Some(head) = journal[at..].first_chunk::<4>() {
        assert!(journal[at + 8] <= LAST_KNOWN_KIND, "record {records} is of kind {}", journal[at + 8]);
        at += 8 + u32::from_le_bytes(*head) as usize;
        records += 1;
    }
    assert!(records > 5 && at == journal.len(), "{records} records, {at} of {} bytes", journal.len());
}

/// A list that the disk has no room for keeps no message from being accepted, tried and ended.
#[test]
fn a_list_beyond_the_disk_holds_up_no_message() {
    let folder = std::env::temp_dir().join(format!("delivery-gateway-full-disk-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut journal = Journal::open(&folder, 20_000).unwrap();
    let target = |number: u32| DiscoveredEndpoint {
        uid: format!("s-{number}"),
        address: "127.0.0.1:1".to_owned(),
        zone: "kingston".to_owned(),
        kind: "banks".to_owned(),
        destination: 1,
        state: "SERVING".to_owned(),
        capacity_hint: 1.0,
    };
    let targets = (0..1000).map(target).collect();
    assert!(journal
        .record_endpoints(DiscoveryUpdate { revision: 2, is_snapshot: true, endpoints: targets })
        .is_err());
    let number = journal.accept(taken("m1")).unwrap();
    journal.record_attempt(number, SentRecord { sent_ms: 1_000, zone: 1 }).unwrap();
    journal.record_attempt_outcome(number, true).unwrap();
    let journal = Journal::open(&folder, 20_000).unwrap();
    assert_eq!(
        journal.state.pending[&number].first_uncertain_attempt,
        Some(SentRecord { sent_ms: 1_000, zone: 1 })
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
