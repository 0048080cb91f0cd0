//! Checks each attempt against the delivery rules of the protocol, right before the attempt is recorded and sent.
//!
//! The scheduler follows the same rules. The guard is a second, independent check: it uses the journal and the endpoint
//! directory instead of the scheduler's state. An attempt that would break a rule is not sent; it is counted and
//! logged. The guard doesn't check rate limits, priorities or the health of endpoints.

use delivery_gateway::{
    Class, DeduplicationScope, DestinationId, EndpointId, Idempotency, SentAttempt, Settings, Time, ZoneId,
};
use std::collections::HashMap;
use std::time::Duration;
use thiserror::Error;

/// A delivery rule that an attempt would break.
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

/// An attempt to be checked, with the state of its message.
pub struct Attempt<'a> {
    pub class: &'a Class,
    /// Whether another attempt of the message is in flight.
    pub is_in_flight: bool,
    /// Whether the final outcome is recorded. The message must not be sent after that.
    pub has_final_outcome: bool,
    /// The message must not be sent at or after this time.
    pub deadline: Time,
    /// The number of attempts started before this one.
    pub attempts: u32,
    /// The first attempt that an endpoint may have processed. None if no attempt may have been.
    pub first_uncertain: Option<SentAttempt>,
    pub receiver: Receiver,
}

/// The endpoint of an attempt, as the endpoint directory lists it.
#[derive(Clone, Copy, Debug)]
pub struct Receiver {
    pub endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// The zone of the endpoint.
    pub zone: ZoneId,
    /// Whether the endpoint accepts new calls: it is not draining, removed or disabled.
    pub is_open: bool,
    /// Whether a `Retry-After` applies to this endpoint alone. Otherwise it applies to the whole destination.
    pub has_own_limits: bool,
}

/// The scope of a `Retry-After`: a whole destination (None), or one endpoint of it.
type RetryAfterScope = (DestinationId, Option<EndpointId>);

impl Receiver {
    fn retry_after_scope(&self) -> RetryAfterScope {
        (self.destination, self.has_own_limits.then_some(self.endpoint))
    }
}

/// Checks attempts, and holds the `Retry-After` delays in force.
pub struct SendGuard {
    max_attempts: u32,
    /// The end of each delay.
    retry_after: HashMap<RetryAfterScope, Time>,
    /// The number of blocked attempts since [`take_breaches`](Self::take_breaches) was last called.
    breaches: u32,
}

impl SendGuard {
    /// Creates a guard with no delay in force.
    pub fn new(settings: &Settings) -> Self {
        SendGuard { max_attempts: settings.max_attempts, retry_after: HashMap::new(), breaches: 0 }
    }

    /// Applies a `Retry-After` from now on. A delay in force that ends later is kept.
    pub fn apply_retry_after(&mut self, now: Time, receiver: &Receiver, delay: Duration) {
        self.retry_after.retain(|_, until| *until > now);
        let until = self.retry_after.entry(receiver.retry_after_scope()).or_insert(now);
        *until = (*until).max(now + delay);
    }

    /// Returns and resets the number of blocked attempts.
    pub fn take_breaches(&mut self) -> u32 {
        std::mem::take(&mut self.breaches)
    }

    /// Checks whether an attempt may be made now.
    ///
    /// # Errors
    /// Returns the first rule that the attempt would break, and counts the attempt as blocked.
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

/// Checks whether a message may be sent to a zone although its attempt `first` may have been processed.
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
