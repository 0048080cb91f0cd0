//! Ordering keys: messages of one key are sent one at a time, in the order in which they were accepted. This
//! module owns the pending messages of each key and the holds on keys.
//!
//! After an attempt that may still be running, its key is held: the next message of the key is delayed for a
//! while. The same message may be retried meanwhile.

use crate::model::{MessageId, OrderingKey, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The order of messages of each key, and holds on keys.
#[derive(Default, Serialize, Deserialize)]
pub struct OrderingKeys {
    /// Pending messages of each key, the oldest first. Empty lists are removed.
    pending: BTreeMap<OrderingKey, Vec<MessageId>>,
    holds: BTreeMap<OrderingKey, Time>,
    /// End of the hold on all keys after a restart. Any key may have had a call in flight then.
    all_held_until: Time,
}

impl OrderingKeys {
    /// Appends a message to the pending messages of its key.
    pub fn push(&mut self, key: OrderingKey, message: MessageId) {
        self.pending.entry(key).or_default().push(message);
    }

    /// Removes a message from the pending messages of its key. Returns the first of the remaining ones, if
    /// any.
    pub fn remove(&mut self, key: OrderingKey, message: MessageId) -> Option<MessageId> {
        let pending = self.pending.get_mut(&key)?;
        pending.retain(|other| *other != message);
        let next = pending.first().copied();
        if next.is_none() {
            self.pending.remove(&key);
        }
        next
    }

    /// Delays the next message of a key until `until`.
    pub fn hold(&mut self, now: Time, key: OrderingKey, until: Time) {
        self.holds.retain(|_, held_until| *held_until > now);
        self.holds.insert(key, until);
    }

    /// Delays all messages with an ordering key until `until`.
    pub fn hold_all(&mut self, until: Time) {
        self.all_held_until = until;
    }

    /// Returns the earliest time at which a message may be sent; none if it is not the first of its key. The
    /// hold on a single key applies only to a message that was not attempted yet.
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
