//! Pending messages by the ids that clients gave them, and whether their first request may still withdraw them.

use delivery_gateway::MessageId;
use std::collections::HashMap;

struct PendingEntry {
    number: u32,
    /// A later request for the same message was acknowledged: the first one can no longer withdraw it.
    shared: bool,
}

/// The numbers of pending messages, by their ids. The messages themselves are in the journal's state.
#[derive(Default)]
pub(super) struct PendingIndex {
    entries: HashMap<String, PendingEntry>,
}

impl PendingIndex {
    /// Adds a message that one request alone was acknowledged for.
    pub(super) fn insert(&mut self, id: String, number: u32) {
        self.entries.insert(id, PendingEntry { number, shared: false });
    }

    /// A later request for this message is acknowledged.
    pub(super) fn mark_shared(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.shared = true;
        }
    }

    pub(super) fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// The number of the pending message of this id.
    pub(super) fn number(&self, id: &str) -> Option<u32> {
        self.entries.get(id).map(|entry| entry.number)
    }

    /// Whether the first request for this message may still withdraw it.
    pub(super) fn can_withdraw(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| !entry.shared)
    }

    /// Messages that more than one request was acknowledged for.
    pub(super) fn shared_messages(&self) -> Vec<MessageId> {
        let shared = self.entries.values().filter(|entry| entry.shared);
        shared.map(|entry| MessageId(entry.number)).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
