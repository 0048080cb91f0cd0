//! Ordering keys: messages of one key go one at a time, in the order in which they were accepted.
//!
//! After an attempt that may still be running, its key is held for a while before the next message of the key
//! may go. The same message may be retried meanwhile.

use crate::model::{MessageId, OrderingKey, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The order of messages by key, and holds on keys.
#[derive(Default, Serialize, Deserialize)]
pub struct OrderingKeys {
    /// Pending messages of each key, the oldest first; no empty lists.
    pending: BTreeMap<OrderingKey, Vec<MessageId>>,
    holds: BTreeMap<OrderingKey, Time>,
    /// After a restart any key may have had a call in flight.
    all_held_until: Time,
}

impl OrderingKeys {
    /// Appends a message to those of its key.
    pub fn push(&mut self, key: OrderingKey, message: MessageId) {
        self.pending.entry(key).or_default().push(message);
    }

    /// Removes a message from those of its key; returns the one whose turn it is then.
    pub fn remove(&mut self, key: OrderingKey, message: MessageId) -> Option<MessageId> {
        let pending = self.pending.get_mut(&key)?;
        pending.retain(|other| *other != message);
        let next = pending.first().copied();
        if next.is_none() {
            self.pending.remove(&key);
        }
        next
    }

    /// Holds a key back from its next message.
    pub fn hold(&mut self, now: Time, key: OrderingKey, until: Time) {
        self.holds.retain(|_, held_until| *held_until > now);
        self.holds.insert(key, until);
    }

    /// Holds all keys back.
    pub fn hold_all(&mut self, until: Time) {
        self.all_held_until = until;
    }

    /// The earliest time at which a message may be sent; none before its turn. A hold binds only a message
    /// that was not attempted yet.
    pub fn earliest_send_at(
        &self,
        key: OrderingKey,
        message: MessageId,
        was_attempted: bool,
    ) -> Option<Time> {
        if self.pending.get(&key)?.first() != Some(&message) {
            return None;
        }
        let hold = if was_attempted { None } else { self.holds.get(&key).copied() };
        Some(self.all_held_until.max(hold.unwrap_or(Time::ZERO)))
    }
}
