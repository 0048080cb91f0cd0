//! Looks up pending messages by the ids that their clients chose, and tracks which may still be withdrawn.

use delivery_gateway::MessageId;
use std::collections::HashMap;

struct PendingEntry {
    number: u32,
    /// Whether a later request for the same message was acknowledged. The first request can't withdraw the message
    /// then.
    is_shared: bool,
}

/// The numbers of pending messages by their ids. The messages themselves are in the journal's state.
#[derive(Default)]
pub(super) struct PendingIndex {
    entries: HashMap<String, PendingEntry>,
}

impl PendingIndex {
    /// Adds a message that only one request was acknowledged for.
    pub(super) fn insert(&mut self, id: String, number: u32) {
        self.entries.insert(id, PendingEntry { number, is_shared: false });
    }

    /// Records that a later request for a message was acknowledged.
    pub(super) fn mark_shared(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.is_shared = true;
        }
    }

    pub(super) fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Returns the number of the pending message with this id.
    pub(super) fn number(&self, id: &str) -> Option<u32> {
        self.entries.get(id).map(|entry| entry.number)
    }

    /// Returns whether the first request for a message may still withdraw it.
    pub(super) fn can_withdraw(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| !entry.is_shared)
    }

    /// Returns the messages that more than one request was acknowledged for.
    pub(super) fn shared_messages(&self) -> Vec<MessageId> {
        let shared = self.entries.values().filter(|entry| entry.is_shared);
        shared.map(|entry| MessageId(entry.number)).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
