//! Ids of messages that are over. No other message may come under one: what endpoints get under it they take for a
//! call that nobody made, and with it all that shares the call.

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

use crate::events::EnqueueRequest;
use crate::journal::AcceptedRecord;

/// Ids that are remembered at most, each in some 50 bytes.
const MOST: usize = 8192;

/// What is remembered of messages that are over, for as long as one lives at most.
pub struct CompletedMessages {
    keep: Duration,
    hashes: RandomState,
    /// The oldest first, by the hashes of their ids.
    order: VecDeque<(Instant, u64)>,
    /// What each was, as a hash.
    prints: HashMap<u64, u64>,
}

impl CompletedMessages {
    pub fn new(keep: Duration) -> Self {
        CompletedMessages { keep, hashes: RandomState::new(), order: VecDeque::new(), prints: HashMap::new() }
    }

    /// A message is over.
    pub fn insert(&mut self, taken: &AcceptedRecord) {
        while self.order.len() >= MOST || self.order.front().is_some_and(|(at, _)| at.elapsed() > self.keep) {
            if let Some((_, id)) = self.order.pop_front() {
                self.prints.remove(&id);
            }
        }
        let AcceptedRecord { id, ordering_key: key, class, destination, idempotency_key, body, .. } = taken;
        let print = self.hashes.hash_one((key, class, destination, idempotency_key, body));
        let id = self.hashes.hash_one(id);
        if self.prints.insert(id, print).is_none() {
            self.order.push_back((Instant::now(), id));
        }
    }

    /// Whether the message of this id that is over was this one; none if none is.
    pub fn matches(&self, enqueue: &EnqueueRequest) -> Option<bool> {
        let EnqueueRequest { id, ordering_key: key, class, destination, idempotency_key, body, .. } = enqueue;
        let print = self.prints.get(&self.hashes.hash_one(id))?;
        Some(*print == self.hashes.hash_one((key, class, destination, idempotency_key, body)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;

    fn taken(number: usize) -> AcceptedRecord {
        AcceptedRecord {
            id: format!("m{number}"),
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

    #[test]
    fn what_is_remembered_is_bounded_in_number_and_time() {
        let mut past = CompletedMessages::new(Duration::from_secs(3600));
        (0..3 * MOST).for_each(|number| past.insert(&taken(number)));
        assert_eq!((past.order.len(), past.prints.len()), (MOST, MOST));
        let mut past = CompletedMessages::new(Duration::ZERO);
        (0..10).for_each(|number| past.insert(&taken(number)));
        assert!(past.order.len() < 10 && past.order.len() == past.prints.len(), "{}", past.order.len());
    }
}
