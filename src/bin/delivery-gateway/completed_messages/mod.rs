//! Tombstones of completed messages: their ids, for as long as a client may still repeat a request for one.
//!
//! No other message may take such an id: an endpoint that deduplicates by it would take the new message for a repeat
//! of the old one, and answer without processing it.

#[cfg(test)]
mod tests;

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

use crate::events::EnqueueRequest;
use crate::journal::AcceptedRecord;

/// Most tombstones, of some 50 bytes each. Beyond, the oldest go first.
const MAX_TOMBSTONES: usize = 8192;

/// What the id of a request means, if a message of this id was completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletedId {
    /// The request repeats that message.
    SameMessage,
    /// The request is for another message, which cannot have this id.
    OtherMessage,
}

struct Tombstone {
    completed_at: Instant,
    id_hash: u64,
}

/// Tombstones of completed messages.
pub struct CompletedMessages {
    /// How long a tombstone is kept.
    retention: Duration,
    hasher: RandomState,
    /// The oldest first.
    tombstones: VecDeque<Tombstone>,
    /// What each message was, as a hash, by the hash of its id.
    fingerprints: HashMap<u64, u64>,
}

impl CompletedMessages {
    /// Keeps each tombstone for this long, which should be the longest time that a message may live.
    pub fn new(retention: Duration) -> Self {
        CompletedMessages {
            retention,
            hasher: RandomState::new(),
            tombstones: VecDeque::new(),
            fingerprints: HashMap::new(),
        }
    }

    /// Adds the tombstone of a message that was completed now.
    pub fn insert(&mut self, message: &AcceptedRecord) {
        self.remove_expired();
        let AcceptedRecord { id, ordering_key, class, destination, idempotency_key, body, .. } = message;
        let fingerprint = self.hasher.hash_one((ordering_key, class, destination, idempotency_key, body));
        let id_hash = self.hasher.hash_one(id);
        if self.fingerprints.insert(id_hash, fingerprint).is_none() {
            self.tombstones.push_back(Tombstone { completed_at: Instant::now(), id_hash });
        }
    }

    /// Removes what is too old, and makes room for one more.
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

    /// Whether the request's id is that of a completed message, and of which.
    pub fn find(&self, request: &EnqueueRequest) -> Option<CompletedId> {
        let EnqueueRequest { id, ordering_key, class, destination, idempotency_key, body, .. } = request;
        let completed = self.fingerprints.get(&self.hasher.hash_one(id))?;
        let fingerprint = self.hasher.hash_one((ordering_key, class, destination, idempotency_key, body));
        Some(if *completed == fingerprint { CompletedId::SameMessage } else { CompletedId::OtherMessage })
    }
}
