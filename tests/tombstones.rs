//! Tombstones in the journal: they outlast kills and compactions, are forgotten by age, and take bounded room.

#[path = "../src/bin/delivery-gateway/journal/mod.rs"]
#[allow(dead_code, unused_imports)]
mod journal;

use bytes::Bytes;
use journal::{AcceptedRecord, CompletedMatch, Journal, JournalError, SentRecord};
use std::path::PathBuf;

const DISK_BYTES: u64 = 3_000_000;
/// The disk space of journals that are filled up.
const SMALL_DISK_BYTES: u64 = 40_000;

/// A state folder that holds only a journal. It is removed when dropped.
struct StateFolder(PathBuf);

impl StateFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("tombstones-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        StateFolder(path)
    }

    fn journal(&self, disk_bytes: u64) -> Journal {
        Journal::open(&self.0, disk_bytes).unwrap()
    }

    fn bytes(&self) -> u64 {
        std::fs::read_dir(&self.0).unwrap().map(|file| file.unwrap().metadata().unwrap().len()).sum()
    }
}

impl Drop for StateFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn message(id: &str) -> AcceptedRecord {
    AcceptedRecord {
        id: id.to_owned(),
        ordering_key: 0,
        class: "salary".to_owned(),
        destination: 1,
        idempotency_key: None,
        deadline_ms: 28_000,
        is_redelivered: false,
        body: Bytes::from_static(b"x"),
        tenant: String::new(),
    }
}

/// Accepts a message and records an attempt, which is in flight when it returns.
fn attempt(journal: &mut Journal, id: &str) -> Result<u32, JournalError> {
    let number = journal.accept(message(id))?;
    journal.record_attempt_started(number, SentRecord { sent_ms: 1, zone: 0 })?;
    Ok(number)
}

/// Records a message that was delivered at `ended_ms`.
fn deliver(journal: &mut Journal, id: &str, ended_ms: u64) -> Result<u32, JournalError> {
    let number = attempt(journal, id)?;
    journal.complete(number, ended_ms, false)?;
    Ok(number)
}

fn find(journal: &Journal, id: &str) -> Option<CompletedMatch> {
    journal.state.tombstones.find(id, &message(id).content())
}

/// Delivers long messages until the journal has been compacted once.
fn compact(folder: &StateFolder, journal: &mut Journal, ended_ms: u64) {
    let mut before = 0;
    for filler in 0.. {
        if folder.bytes() < before {
            return;
        }
        before = folder.bytes();
        let body = Bytes::from(vec![b'x'; 1000]);
        let number = journal.accept(AcceptedRecord { body, ..message(&format!("filler-{filler}")) }).unwrap();
        journal.record_attempt_started(number, SentRecord { sent_ms: 1, zone: 0 }).unwrap();
        journal.complete(number, ended_ms, false).unwrap();
    }
}

/// A build that encodes or hashes in another way would forget the tombstones that another one has written.
#[test]
fn the_format_of_tombstones_on_disk_is_fixed() {
    let folder = StateFolder::new("format");
    let mut journal = folder.journal(DISK_BYTES);
    let number = attempt(&mut journal, "p1").unwrap();
    let accepted = folder.bytes() as usize;
    journal.complete(number, 1_796_000_000_001, false).unwrap();
    let bytes = std::fs::read(folder.0.join("journal")).unwrap();
    // Completed: the length, the checksum, the kind, the number, and one tombstone
    let expected = b"\x16\0\0\0\x2c\xd6\xbc\x31\x04\x01\x01\x01\
        \x81\x92\xb3\xd8\x06\0\xed\x41\xd2\x0e\x8b\xe7\x1d\xb1\x1a\xd1\x90\x93";
    assert_eq!(bytes[accepted..], *expected);
}

/// A compaction wrote the pending messages alone, so that all ids of delivered ones were forgotten with it. The number
/// of the last message must not be given again either.
#[test]
fn tombstones_and_numbers_outlast_compactions_and_kills() {
    let folder = StateFolder::new("compaction");
    let mut journal = folder.journal(DISK_BYTES);
    deliver(&mut journal, "first", 1_000).unwrap();
    compact(&folder, &mut journal, 1_000);
    let last = deliver(&mut journal, "last", 1_000).unwrap();
    let count = journal.state.tombstones.len();
    let mut journal = folder.journal(DISK_BYTES);
    assert_eq!(journal.state.tombstones.len(), count);
    assert_eq!(find(&journal, "first"), Some(CompletedMatch::SameMessage));
    assert_eq!(find(&journal, "other"), None);
    assert_eq!(journal.accept(message("next")).unwrap(), last + 1);
    let next = message("next");
    assert_eq!(journal.state.tombstones.find("last", &next.content()), Some(CompletedMatch::SameMessage));
    let other = AcceptedRecord { body: Bytes::from_static(b"other"), ..next };
    assert_eq!(journal.state.tombstones.find("last", &other.content()), Some(CompletedMatch::OtherMessage));
}

/// The number of a message that is over and has no tombstone must not be given again after a compaction: the end of an
/// old call could be taken for that of the new message.
#[test]
fn the_number_of_a_withdrawn_message_outlasts_a_compaction() {
    let folder = StateFolder::new("numbers");
    let mut journal = folder.journal(SMALL_DISK_BYTES);
    let mut number = 0;
    let mut before = 0;
    while folder.bytes() >= before {
        before = folder.bytes();
        number = journal.accept(message("withdrawn")).unwrap();
        journal.withdraw(number).unwrap();
    }
    let mut journal = folder.journal(SMALL_DISK_BYTES);
    assert_eq!((journal.state.tombstones.len(), find(&journal, "withdrawn")), (0, None));
    assert_eq!(journal.accept(message("next")).unwrap(), number + 1);
}

/// Tombstones that are never forgotten would fill the disk. One that is young must not go with the old ones.
#[test]
fn tombstones_are_forgotten_by_age() {
    let folder = StateFolder::new("age");
    let mut journal = folder.journal(DISK_BYTES);
    deliver(&mut journal, "old", 1_000).unwrap();
    deliver(&mut journal, "young", 2_001).unwrap();
    journal.state.tombstones.forget_until(2_999);
    assert_eq!((find(&journal, "old"), find(&journal, "young")), (None, Some(CompletedMatch::SameMessage)));
    journal.state.tombstones.forget_until(3_000);
    assert_eq!((journal.state.tombstones.len(), journal.state.tombstones.iter().count()), (0, 0));
    // The end of a message may lie ahead of a clock that was set back.
    deliver(&mut journal, "ahead", 3_600_000).unwrap();
    journal.state.tombstones.limit_ends(5_000);
    journal.state.tombstones.forget_until(5_000);
    assert_eq!(find(&journal, "ahead"), None);
}

/// Without room for the tombstone of a further message, the message is not accepted: the id of a payment must not be
/// forgotten early. Room comes with age. The journal stays within its disk space all the time.
#[test]
fn a_journal_full_of_tombstones_accepts_no_message_until_they_are_old() {
    let folder = StateFolder::new("full");
    let mut journal = folder.journal(SMALL_DISK_BYTES);
    let limit = journal.state.tombstones.max_count();
    for number in 0..limit {
        deliver(&mut journal, &format!("m{number}"), 1_000).unwrap();
        assert!(folder.bytes() <= SMALL_DISK_BYTES);
    }
    assert!(matches!(
        journal.accept(message("refused")),
        Err(JournalError::TombstonesFull { tombstones, .. }) if tombstones == limit
    ));
    let journal = folder.journal(SMALL_DISK_BYTES);
    assert!((0..limit).all(|number| find(&journal, &format!("m{number}")).is_some()));
    let mut journal = folder.journal(SMALL_DISK_BYTES);
    journal.state.tombstones.forget_until(1_000);
    deliver(&mut journal, "accepted", 2_000).unwrap();
}

/// An id whose tombstone was forgotten may be used again. A replay meets both ends, and kept the age of the first, so that
/// the second was forgotten at once.
#[test]
fn a_replay_keeps_the_last_end_of_an_id() {
    let folder = StateFolder::new("again");
    let mut journal = folder.journal(DISK_BYTES);
    let number = journal.accept(message("again")).unwrap();
    journal.complete(number, 1_000, false).unwrap();
    journal.state.tombstones.forget_until(1_000);
    deliver(&mut journal, "again", 100_000).unwrap();
    let mut journal = folder.journal(DISK_BYTES);
    journal.state.tombstones.forget_until(99_000);
    assert_eq!(find(&journal, "again"), Some(CompletedMatch::SameMessage));
    assert_eq!((journal.state.tombstones.len(), journal.state.tombstones.iter().count()), (1, 1));
    journal.state.tombstones.forget_until(100_000);
    assert_eq!((find(&journal, "again"), journal.state.tombstones.len()), (None, 0));
}

/// Pending messages need room for their tombstones, or the last ones to end would push out others.
#[test]
fn pending_messages_reserve_room_for_their_tombstones() {
    let folder = StateFolder::new("pending");
    let mut journal = folder.journal(SMALL_DISK_BYTES);
    let limit = journal.state.tombstones.max_count();
    let pending: Vec<u32> =
        (0..10).map(|number| attempt(&mut journal, &format!("p{number}")).unwrap()).collect();
    for number in 0..limit - pending.len() {
        deliver(&mut journal, &format!("m{number}"), 1_000).unwrap();
    }
    assert!(journal.accept(message("refused")).is_err());
    pending.into_iter().for_each(|number| journal.complete(number, 1_000, false).unwrap());
    assert_eq!(journal.state.tombstones.len(), limit);
    assert!((0..10).all(|number| find(&journal, &format!("p{number}")).is_some()));
    assert!(find(&journal, "m0").is_some());
}

/// Tombstones of messages whose repetition does no harm are forgotten for others, the oldest first, so that they keep
/// no message from being accepted.
#[test]
fn expendable_tombstones_make_room_for_others() {
    let folder = StateFolder::new("expendable");
    let mut journal = folder.journal(SMALL_DISK_BYTES);
    let limit = journal.state.tombstones.max_count();
    deliver(&mut journal, "payment", 1_000).unwrap();
    for number in 0..limit {
        // Every second message has not run, and the others are of an idempotent class.
        let id = format!("e{number}");
        if number % 2 == 0 {
            let number = journal.accept(message(&id)).unwrap();
            journal.complete(number, 1_000, false).unwrap();
        } else {
            let number = attempt(&mut journal, &id).unwrap();
            journal.complete(number, 1_000, true).unwrap();
        }
    }
    assert_eq!(journal.state.tombstones.len(), limit);
    assert_eq!((find(&journal, "e0"), find(&journal, "e1").is_some()), (None, true));
    assert!(find(&journal, "payment").is_some());
    let journal = folder.journal(SMALL_DISK_BYTES);
    assert_eq!(journal.state.tombstones.len(), limit);
    assert!(find(&journal, "payment").is_some());
}
