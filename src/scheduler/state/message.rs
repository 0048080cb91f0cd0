//! The state of a pending message. It exists from the acceptance of the message until the message is
//! completed, no acknowledgement of its final outcome is awaited and no attempt is in flight.

use super::call::CallId;
use super::queue::Seq;
use crate::model::*;
use serde::{Deserialize, Serialize};

/// A pending message and its progress.
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// The message as originally accepted.
    pub accepted: AcceptedMessage,
    /// Number in the order of acceptance, which is the order of the queue of its destination.
    pub seq: Seq,
    /// When its client enqueued it, calculated from its deadline and its class.
    pub enqueued_at: Time,
    /// Number of attempts made so far, including one in flight.
    pub attempts: u32,
    /// The call in flight that carries the message; none if no attempt is in flight.
    pub call: Option<CallId>,
    /// The first attempt that may have been processed. It determines the idempotency window and the
    /// deduplication scope.
    pub first_uncertain_attempt: Option<UncertainAttempt>,
    /// End of the backoff, or the acceptance if no attempt has ended: no attempt is made before this time.
    pub not_before: Time,
    /// Whether the message has its final outcome or was abandoned.
    pub is_completed: bool,
    /// Whether its final outcome was reported and not yet acknowledged. Until then it keeps its ordering key.
    pub awaits_acknowledgement: bool,
    /// Whether it was over its tenant's quota when accepted, and so has a lower value.
    pub is_over_quota: bool,
    /// Whether a restart has found it unattempted with at least half of its time left.
    pub was_restored_in_time: bool,
}

/// An attempt that may have been processed, though no success came back.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct UncertainAttempt {
    /// Start of the attempt, before which no byte of it was sent. If another gateway made the attempt, the
    /// time at which the client enqueued the message.
    pub sent_at: Time,
    /// Zone of the endpoint; none if another gateway made the attempt.
    pub zone: Option<ZoneId>,
}

impl Message {
    /// Creates the state of a message that was just accepted and is not queued yet; none if its class is
    /// unknown.
    pub fn new(
        settings: &Settings,
        now: Time,
        accepted: AcceptedMessage,
        is_over_quota: bool,
    ) -> Option<Message> {
        let class = settings.classes.get(usize::from(accepted.class.0))?;
        let enqueued_at = accepted.deadline - class.deadline;
        // Another gateway may have sent a redelivered message at any time since it was enqueued.
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
            was_restored_in_time: false,
        })
    }

    /// Returns whether the message must not be shed for others: its client was told before a restart that it
    /// was accepted, and it has not been attempted since.
    pub fn is_protected(&self) -> bool {
        self.was_restored_in_time && self.attempts == 0
    }

    /// Returns the class of the message.
    pub fn class<'s>(&self, settings: &'s Settings) -> &'s Class {
        &settings.classes[usize::from(self.accepted.class.0)]
    }

    /// Returns the ordering key if the class is ordered.
    pub fn ordering_key(&self, settings: &Settings) -> Option<OrderingKey> {
        self.accepted.key.filter(|_| self.class(settings).is_ordered)
    }
}
