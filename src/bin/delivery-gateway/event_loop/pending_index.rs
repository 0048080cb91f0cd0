//! Looks up pending messages by the ids that their clients chose, and tracks which may still be withdrawn.
//!
//! A message is withdrawn (dropped without a final outcome) if the client of its first request disconnected before its
//! reply. Once a later request for the message was acknowledged, the message is shared by both requests. It then stays,
//! because the other client expects its outcome.

use delivery_gateway::MessageId;
use std::collections::HashMap;

struct PendingEntry {
    message_number: u32,
    /// Whether a later request for the same message was acknowledged.
    is_shared: bool,
}

/// The numbers of pending messages by their ids. The messages themselves are in the journal's state.
#[derive(Default)]
pub(super) struct PendingIndex {
    entries: HashMap<String, PendingEntry>,
}

impl PendingIndex {
    /// Adds a message. It counts as not shared until [`mark_shared`](Self::mark_shared) is called.
    pub(super) fn insert(&mut self, id: String, message_number: u32) {
        self.entries.insert(id, PendingEntry { message_number, is_shared: false });
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

    /// Returns the number of the pending message with this id. None if there is no such message.
    pub(super) fn message_number(&self, id: &str) -> Option<u32> {
        self.entries.get(id).map(|entry| entry.message_number)
    }

    /// Returns whether a message is pending and not shared, so that it may be withdrawn.
    pub(super) fn can_withdraw(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| !entry.is_shared)
    }

    /// Returns the shared messages.
    pub(super) fn shared_messages(&self) -> Vec<MessageId> {
        let shared = self.entries.values().filter(|entry| entry.is_shared);
        shared.map(|entry| MessageId(entry.message_number)).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
