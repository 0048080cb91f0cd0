//! Tombstones of completed messages. A tombstone keeps a hash of the message's id, and one of its content, while a
//! client may still repeat a request for the message. At most [`MAX_TOMBSTONES`] are kept, in memory only.
//!
//! No other message may take the id of a completed one: an endpoint that deduplicates by it would treat the new message
//! as a repeat of the old one, and answer without processing it.

#[cfg(test)]
mod tests;

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

use crate::events::EnqueueRequest;
use crate::journal::AcceptedRecord;

/// The maximum number of tombstones, of about 50 bytes each. The oldest ones are removed first.
const MAX_TOMBSTONES: usize = 8192;

/// How a request relates to the completed message with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletedMatch {
    /// The request repeats the completed message: the content is the same.
    SameMessage,
    /// The request is for another message, which can't use this id.
    OtherMessage,
}

struct Tombstone {
    completed_at: Instant,
    id_hash: u64,
}

/// The tombstones of completed messages.
pub struct CompletedMessages {
    /// The time from a message's completion for which its tombstone is kept. It is removed at the first insertion after
    /// that, or earlier if the set is full.
    retention: Duration,
    hasher: RandomState,
    /// The oldest first.
    tombstones: VecDeque<Tombstone>,
    /// The hash of each message's content, by the hash of its id. The content is what a repeated request must have in
    /// common with the message: ordering key, class, destination, idempotency key and body. The deadline and the tenant
    /// may differ, and so may the mark of a redelivered message.
    fingerprints: HashMap<u64, u64>,
}

impl CompletedMessages {
    /// Creates an empty set of tombstones. `retention` should be the longest deadline of any class.
    pub fn new(retention: Duration) -> Self {
        CompletedMessages {
            retention,
            hasher: RandomState::new(),
            tombstones: VecDeque::new(),
            fingerprints: HashMap::new(),
        }
    }

    /// Adds a tombstone for a message that has just been completed.
    pub fn insert(&mut self, message: &AcceptedRecord) {
        self.remove_expired();
        let AcceptedRecord { id, ordering_key, class, destination, idempotency_key, body, .. } = message;
        let fingerprint = self.hasher.hash_one((ordering_key, class, destination, idempotency_key, body));
        let id_hash = self.hasher.hash_one(id);
        if self.fingerprints.insert(id_hash, fingerprint).is_none() {
            self.tombstones.push_back(Tombstone { completed_at: Instant::now(), id_hash });
        }
    }

    /// Removes expired tombstones and, if the maximum is reached, the oldest one.
    fn remove_expired(&mut self) {
        while let Some(oldest) = self.tombstones.front() {
            let is_full = self.tombstones.len() >= MAX_TOMBSTONES;
            if !is_full && oldest.completed_at.elapsed() <= self.retention {
                return;
            }
            self.fingerprints.remove(&oldest.id_hash);
            self.tombstones.pop_front();
        }
    }

    /// Compares a request with the completed message that has the same id. None if there is no tombstone of such a
    /// message.
    pub fn find(&self, request: &EnqueueRequest) -> Option<CompletedMatch> {
        let EnqueueRequest { id, ordering_key, class, destination, idempotency_key, body, .. } = request;
        let completed = self.fingerprints.get(&self.hasher.hash_one(id))?;
        let fingerprint = self.hasher.hash_one((ordering_key, class, destination, idempotency_key, body));
        Some(if *completed == fingerprint {
            CompletedMatch::SameMessage
        } else {
            CompletedMatch::OtherMessage
        })
    }
}
