//! A pending message: from its acceptance until its final outcome is acknowledged and no attempt is in
//! flight.

use super::call::CallId;
use super::queue::Seq;
use crate::model::*;
use serde::{Deserialize, Serialize};

/// A pending message.
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// The message as it was accepted.
    pub accepted: AcceptedMessage,
    /// Its position in the queue of its destination.
    pub seq: Seq,
    /// When its client handed it over, by its deadline and class.
    pub enqueued_at: Time,
    /// Attempts made so far, one in flight included.
    pub attempts: u32,
    /// The call in flight that carries it.
    pub call: Option<CallId>,
    /// The first attempt that may have been processed. It fixes the idempotency window and the deduplication
    /// scope.
    pub first_uncertain_attempt: Option<UncertainAttempt>,
    /// Its backoff: no attempt before this.
    pub not_before: Time,
    /// It has its final outcome.
    pub is_completed: bool,
    /// Its final outcome was reported and not yet acknowledged; until then it keeps its ordering key.
    pub awaits_acknowledgement: bool,
    /// Over its tenant's quota, and so worth less.
    pub is_over_quota: bool,
}

/// An attempt that may have been processed, though no success came back.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct UncertainAttempt {
    /// When its first byte may have left.
    pub sent_at: Time,
    /// Where it went; none where another gateway made it.
    pub zone: Option<ZoneId>,
}

impl Message {
    /// A message that was just accepted and not yet queued; none where its class is unknown.
    pub fn new(
        settings: &Settings,
        now: Time,
        accepted: AcceptedMessage,
        is_over_quota: bool,
    ) -> Option<Message> {
        let class = settings.classes.get(usize::from(accepted.class.0))?;
        let enqueued_at = accepted.deadline - class.deadline;
        // Another gateway may have sent it at any time since.
        let may_have_run = accepted.is_redelivered && class.idempotency == Idempotency::IdempotentWithKey;
        let attempt_elsewhere = UncertainAttempt { sent_at: enqueued_at, zone: None };
        Some(Message {
            accepted,
            seq: 0,
            enqueued_at,
            attempts: 0,
            call: None,
            first_uncertain_attempt: may_have_run.then_some(attempt_elsewhere),
            not_before: now,
            is_completed: false,
            awaits_acknowledgement: false,
            is_over_quota,
        })
    }

    /// Its class.
    pub fn class<'s>(&self, settings: &'s Settings) -> &'s Class {
        &settings.classes[usize::from(self.accepted.class.0)]
    }

    /// The key whose messages go one at a time, where its class is ordered.
    pub fn ordering_key(&self, settings: &Settings) -> Option<OrderingKey> {
        self.accepted.key.filter(|_| self.class(settings).is_ordered)
    }
}
