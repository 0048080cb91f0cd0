//! The last check before an attempt: whether the message may be sent to the endpoint now, by the rules of the protocol
//! alone.
//!
//! The scheduler keeps to the rules by itself. The guard checks again, from the journal's facts and the directory
//! rather than from the scheduler's state, right before an attempt is recorded; what it forbids is not sent, counted,
//! and logged. It knows no rate limit, priority or health.

use delivery_gateway::{
    Class, DeduplicationScope, DestinationId, EndpointId, Idempotency, SentAttempt, Settings, Time, ZoneId,
};
use std::collections::HashMap;
use std::time::Duration;
use thiserror::Error;

/// The rule that an attempt would break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Breach {
    #[error("another attempt of the message is in flight")]
    AlreadyInFlight,
    #[error("the message has its final outcome")]
    OutcomeRecorded,
    #[error("the message's deadline has passed")]
    DeadlinePassed,
    #[error("the message has had all its attempts")]
    AttemptsExhausted,
    #[error("an attempt may have been processed, and the message is not idempotent")]
    MayHaveBeenProcessed,
    #[error("an attempt may have been processed, and the idempotency window is over")]
    IdempotencyWindowOver,
    #[error("an attempt may have been processed in another zone, which alone would recognize a retry")]
    OtherZone,
    #[error("the endpoint is draining, removed or disabled")]
    EndpointUnavailable,
    #[error("a Retry-After of the endpoint or its destination has not passed")]
    RetryAfterPending,
}

/// What is known of a message that is about to be sent.
pub struct Attempt<'a> {
    /// The class of the message.
    pub class: &'a Class,
    /// Another attempt of it is in flight.
    pub is_in_flight: bool,
    /// It must not be sent any more.
    pub has_final_outcome: bool,
    /// The message must not be sent from then on.
    pub deadline: Time,
    /// Attempts started so far.
    pub attempts: u32,
    /// The first of the attempts that may have been processed.
    pub first_uncertain: Option<SentAttempt>,
    /// Where it is to go.
    pub receiver: Receiver,
}

/// Where a message is to go.
#[derive(Clone, Copy, Debug)]
pub struct Receiver {
    /// The endpoint itself.
    pub endpoint: EndpointId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// It may be given new work.
    pub is_open: bool,
    /// Its `Retry-After` binds itself alone, and not its whole destination.
    pub has_own_limits: bool,
}

/// What a `Retry-After` binds: a destination, or one endpoint of it.
type RetryAfterScope = (DestinationId, Option<EndpointId>);

impl Receiver {
    fn retry_after_scope(&self) -> RetryAfterScope {
        (self.destination, self.has_own_limits.then_some(self.endpoint))
    }
}

/// The rules, and the `Retry-After` delays in force.
pub struct SendGuard {
    max_attempts: u32,
    /// When each delay is over.
    retry_after: HashMap<RetryAfterScope, Time>,
    breaches: u32,
}

impl SendGuard {
    /// A guard under these settings, with no delay in force.
    pub fn new(settings: &Settings) -> Self {
        SendGuard { max_attempts: settings.max_attempts, retry_after: HashMap::new(), breaches: 0 }
    }

    /// An endpoint has asked for a delay from now on. A longer one in force stays.
    pub fn note_retry_after(&mut self, now: Time, receiver: &Receiver, delay: Duration) {
        self.retry_after.retain(|_, until| *until > now);
        let until = self.retry_after.entry(receiver.retry_after_scope()).or_insert(now);
        *until = (*until).max(now + delay);
    }

    /// Attempts that were forbidden since the last call.
    pub fn take_breaches(&mut self) -> u32 {
        std::mem::take(&mut self.breaches)
    }

    /// Whether an attempt may be made now.
    ///
    /// # Errors
    /// The first rule that it would break.
    pub fn check(&mut self, now: Time, attempt: &Attempt) -> Result<(), Breach> {
        let checked =
            self.check_message(now, attempt).and_then(|()| self.check_receiver(now, &attempt.receiver));
        self.breaches += u32::from(checked.is_err());
        checked
    }

    fn check_message(&self, now: Time, attempt: &Attempt) -> Result<(), Breach> {
        if attempt.is_in_flight {
            return Err(Breach::AlreadyInFlight);
        }
        if attempt.has_final_outcome {
            return Err(Breach::OutcomeRecorded);
        }
        if now >= attempt.deadline {
            return Err(Breach::DeadlinePassed);
        }
        if attempt.attempts >= self.max_attempts {
            return Err(Breach::AttemptsExhausted);
        }
        match attempt.first_uncertain {
            Some(first) => check_retry(now, attempt.class, first, attempt.receiver.zone),
            None => Ok(()),
        }
    }

    fn check_receiver(&self, now: Time, receiver: &Receiver) -> Result<(), Breach> {
        if !receiver.is_open {
            return Err(Breach::EndpointUnavailable);
        }
        match self.retry_after.get(&receiver.retry_after_scope()) {
            Some(until) if now < *until => Err(Breach::RetryAfterPending),
            _ => Ok(()),
        }
    }
}

/// Whether a message may be sent to a zone though its attempt `first` may have been processed.
fn check_retry(now: Time, class: &Class, first: SentAttempt, zone: ZoneId) -> Result<(), Breach> {
    match class.idempotency {
        Idempotency::Idempotent => Ok(()),
        Idempotency::NonIdempotent => Err(Breach::MayHaveBeenProcessed),
        Idempotency::IdempotentWithKey => {
            if now > first.sent_at + class.idempotency_window {
                return Err(Breach::IdempotencyWindowOver);
            }
            if class.deduplication_scope == DeduplicationScope::Zone && first.zone != zone {
                return Err(Breach::OtherZone);
            }
            Ok(())
        }
    }
}
