//! Looks up pending messages by the ids that their clients chose, and tracks which may still be withdrawn.
//!
//! A message is abandoned if the client of its first request disconnected before its reply. It is withdrawn (dropped
//! without a final outcome) if it certainly has not run. Once a later request for the message was acknowledged, the
//! message is shared by both requests. It then stays, because the other client expects its outcome.

use delivery_gateway::MessageId;
use std::collections::HashMap;

/// The clients that expect the outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// The client of the first request, which may still abandon the message.
    FirstClient,
    /// No client: the one of the first request disconnected before its reply.
    Abandoned,
    /// At least the client of a later request, which was acknowledged.
    Shared,
}

struct PendingEntry {
    message_number: u32,
    audience: Audience,
}

/// The numbers of pending messages by their ids. The messages themselves are in the journal's state.
#[derive(Default)]
pub(super) struct PendingIndex {
    entries: HashMap<String, PendingEntry>,
}

impl PendingIndex {
    /// Adds a message. It belongs to the client of its first request until it is marked otherwise.
    pub(super) fn insert(&mut self, id: String, message_number: u32) {
        self.entries.insert(id, PendingEntry { message_number, audience: Audience::FirstClient });
    }

    /// Records that a later request for a message was acknowledged.
    pub(super) fn mark_shared(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.audience = Audience::Shared;
        }
    }

    /// Records that the client of a message's first request disconnected before its reply. A shared message stays shared.
    pub(super) fn mark_abandoned(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id).filter(|entry| entry.audience != Audience::Shared) {
            entry.audience = Audience::Abandoned;
        }
    }

    pub(super) fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Returns the number of the pending message with this id. None if there is no such message.
    pub(super) fn message_number(&self, id: &str) -> Option<u32> {
        self.entries.get(id).map(|entry| entry.message_number)
    }

    /// Returns whether a message is pending and abandoned.
    pub(super) fn is_abandoned(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.audience == Audience::Abandoned)
    }

    /// Returns the shared messages.
    pub(super) fn shared_messages(&self) -> Vec<MessageId> {
        let shared = self.entries.values().filter(|entry| entry.audience == Audience::Shared);
        shared.map(|entry| MessageId(entry.message_number)).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
