//! Tombstones of messages that are over. A tombstone keeps a hash of the message's id, and one of its content, while a
//! client may still repeat the request. It is part of the journal's state: recorded with the end of its message, written
//! again by compaction, and forgotten by age.
//!
//! Without the tombstone, a repeated request would be accepted as a new message and might run a second time. No other
//! message may take the id either: an endpoint that deduplicates by it would treat the new message as a repeat of the
//! old one, and answer without processing it.
//!
//! The number of tombstones is limited. At the limit, the oldest [expendable](Tombstone::is_expendable) one is
//! forgotten for a new one. The others are never forgotten before their time: the journal accepts no message whose end
//! might find no room.

use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{HashMap, VecDeque};

use super::message_content::{hash_of_id, MessageContent};

/// The maximum size of a tombstone in a record, in bytes.
pub const TOMBSTONE_BYTES: u64 = 18;
/// The fraction of the disk space that tombstones may take in a compacted file, as a divisor.
const DISK_SHARE: u64 = 6;

/// What is kept of a message that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// The end of the message, in seconds of journal time, rounded up.
    ended_s: u32,
    /// Whether a repeated request would do no harm: no endpoint may have processed the message, or its class is
    /// idempotent without a key.
    is_expendable: bool,
    id_hash: [u8; 8],
    content_hash: [u8; 4],
}

impl Tombstone {
    /// Creates the tombstone of a message that ended at `ended_ms`, in journal time.
    pub fn new(id: &str, content: &MessageContent<'_>, ended_ms: u64, is_expendable: bool) -> Self {
        Tombstone {
            ended_s: seconds_rounded_up(ended_ms),
            is_expendable,
            id_hash: hash_of_id(id).to_le_bytes(),
            content_hash: content.hash().to_le_bytes(),
        }
    }
}

/// Reads the tombstones of a record. None if the record ends before them, as those of older builds do.
pub fn none_if_missing<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Vec<Tombstone>>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}

/// How a request relates to the message with the same id that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletedMatch {
    /// The request repeats the message: the content is the same.
    SameMessage,
    /// The request is for another message, which can't use this id.
    OtherMessage,
}

/// An entry of a queue of tombstones.
#[derive(Clone, Copy)]
struct Entry {
    ended_s: u32,
    id_hash: u64,
}

/// The tombstones of a journal.
pub struct Tombstones {
    max_count: usize,
    /// The hash of each message's content, by the hash of its id.
    content_hashes: HashMap<u64, u32>,
    /// Tombstones that may be forgotten for new ones, the oldest first.
    expendable: VecDeque<Entry>,
    /// All other tombstones, the oldest first.
    required: VecDeque<Entry>,
}

impl Tombstones {
    /// Creates an empty set for a journal with this disk space. Tombstones take at most a sixth of it on disk, and
    /// about four times as much memory.
    pub fn new(disk_bytes: u64) -> Self {
        Tombstones {
            max_count: (disk_bytes / DISK_SHARE / TOMBSTONE_BYTES) as usize,
            content_hashes: HashMap::new(),
            expendable: VecDeque::new(),
            required: VecDeque::new(),
        }
    }

    /// Returns the number of tombstones.
    pub fn len(&self) -> usize {
        self.content_hashes.len()
    }

    /// Returns the maximum number of tombstones.
    pub fn max_count(&self) -> usize {
        self.max_count
    }

    /// Returns whether `messages` further messages can end without the loss of a tombstone that is not expendable.
    pub fn has_room_for(&self, messages: usize) -> bool {
        self.required.len() + messages <= self.max_count
    }

    /// Returns whether more than half of the maximum number of tombstones are kept.
    pub fn is_half_full(&self) -> bool {
        self.len() > self.max_count / 2
    }

    /// Adds a tombstone, in place of an earlier one with the same id. At the limit, forgets the oldest expendable one, or
    /// else the oldest one.
    pub fn insert(&mut self, tombstone: Tombstone) {
        let id_hash = u64::from_le_bytes(tombstone.id_hash);
        let content_hash = u32::from_le_bytes(tombstone.content_hash);
        if self.content_hashes.insert(id_hash, content_hash).is_some() {
            // Only in a replay: while a tombstone is kept, its id is not used again.
            self.expendable.retain(|entry| entry.id_hash != id_hash);
            self.required.retain(|entry| entry.id_hash != id_hash);
        }
        let queue = if tombstone.is_expendable { &mut self.expendable } else { &mut self.required };
        queue.push_back(Entry { ended_s: tombstone.ended_s, id_hash });
        if self.len() > self.max_count {
            let forgotten = self.expendable.pop_front().or_else(|| self.required.pop_front());
            if let Some(entry) = forgotten {
                self.content_hashes.remove(&entry.id_hash);
            }
        }
    }

    /// Forgets the tombstones of messages that ended at `ended_ms` or before, in journal time.
    pub fn forget_until(&mut self, ended_ms: u64) {
        let Tombstones { content_hashes, expendable, required, .. } = self;
        let ended_s = (ended_ms / 1000) as u32;
        for queue in [expendable, required] {
            while let Some(entry) = queue.pop_front_if(|entry| entry.ended_s <= ended_s) {
                content_hashes.remove(&entry.id_hash);
            }
        }
    }

    /// Sets the end of messages that seem to have ended after `now_ms` to `now_ms`, in journal time. A journal has such
    /// times if the clock has gone back since, or for ends that older builds recorded without a time.
    pub fn limit_ends(&mut self, now_ms: u64) {
        let now_s = seconds_rounded_up(now_ms);
        for entry in self.expendable.iter_mut().chain(&mut self.required) {
            entry.ended_s = entry.ended_s.min(now_s);
        }
    }

    /// Compares a request with the message that is over and has the same id. None if there is no such message.
    pub fn find(&self, id: &str, content: &MessageContent<'_>) -> Option<CompletedMatch> {
        let recorded = self.content_hashes.get(&hash_of_id(id))?;
        Some(if *recorded == content.hash() {
            CompletedMatch::SameMessage
        } else {
            CompletedMatch::OtherMessage
        })
    }

    /// Returns all tombstones; those that share [`Tombstone::is_expendable`] are in the order of their ends.
    pub fn iter(&self) -> impl Iterator<Item = Tombstone> + '_ {
        let expendable = self.expendable.iter().map(|entry| (entry, true));
        let all = expendable.chain(self.required.iter().map(|entry| (entry, false)));
        all.filter_map(|(entry, is_expendable)| {
            Some(Tombstone {
                ended_s: entry.ended_s,
                is_expendable,
                id_hash: entry.id_hash.to_le_bytes(),
                content_hash: self.content_hashes.get(&entry.id_hash)?.to_le_bytes(),
            })
        })
    }

    /// Returns the maximum size of the tombstones in records, in bytes.
    pub fn bytes(&self) -> u64 {
        self.len() as u64 * TOMBSTONE_BYTES
    }
}

fn seconds_rounded_up(ms: u64) -> u32 {
    ms.div_ceil(1000).min(u64::from(u32::MAX)) as u32
}
