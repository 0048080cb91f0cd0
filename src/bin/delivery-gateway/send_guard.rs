//! The one place that says whether a message may be sent to an endpoint now, by the rules of the protocol alone.
//!
//! The decision module keeps to them by itself. This looks again, from the journal's facts and the directory rather
//! than from the module's memory, right before an attempt is written down; what it forbids is not sent, counted, and
//! told in the log. It knows no pace, worth or health.

use delivery_gateway::{
    Class, DeduplicationScope, DestinationId, EndpointId, Idempotency, SentAttempt, Settings, Time, ZoneId,
};
use std::collections::HashMap;
use std::time::Duration;
use thiserror::Error;

/// The rule that an attempt would break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Breach {
    #[error("an attempt of it is out already")]
    AlreadyOut,
    #[error("it has its final outcome")]
    AttemptResult,
    #[error("its time is over")]
    DeadlinePassed,
    #[error("it has had all its attempts")]
    AttemptsExhausted,
    #[error("it may have run, and may not be repeated")]
    MayHaveRun,
    #[error("the window for its repeats is over")]
    WindowOver,
    #[error("it may be repeated in another zone alone")]
    OtherZone,
    #[error("the endpoint drains, is gone or is left out")]
    EndpointClosed,
    #[error("the destination has told to wait")]
    ToldToWait,
}

/// What is known of a message that is about to be sent.
pub struct Attempt<'a> {
    pub class: &'a Class,
    pub already_out: bool,
    pub ended: bool,
    pub deadline: Time,
    /// Attempts made so far.
    pub attempts: u32,
    /// When and where it was first sent, of the attempts that may have run.
    pub may_have_run: Option<SentAttempt>,
    pub to: Receiver,
}

/// Where it is to go.
#[derive(Clone, Copy, Debug)]
pub struct Receiver {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    pub zone: ZoneId,
    /// It may be given new work.
    pub is_open: bool,
    /// Its waits are its own, and not those of its whole destination.
    pub is_apart: bool,
}

impl Receiver {
    /// Whom a told wait binds.
    fn bound(&self) -> (DestinationId, Option<EndpointId>) {
        (self.destination, self.is_apart.then_some(self.endpoint))
    }
}

/// The rules, and the waits that are in force.
pub struct SendGuard {
    max_attempts: u32,
    retry_after_delays: HashMap<(DestinationId, Option<EndpointId>), Time>,
    breaches: u32,
}

impl SendGuard {
    pub fn new(settings: &Settings) -> Self {
        SendGuard { max_attempts: settings.max_attempts, retry_after_delays: HashMap::new(), breaches: 0 }
    }

    /// An endpoint has told to wait.
    pub fn told_to_wait(&mut self, now: Time, to: &Receiver, wait: Duration) {
        self.retry_after_delays.retain(|_, until| *until > now);
        let until = self.retry_after_delays.entry(to.bound()).or_insert(now);
        *until = (*until).max(now + wait);
    }

    /// Attempts that were forbidden since the last look.
    pub fn take_breaches(&mut self) -> u32 {
        std::mem::take(&mut self.breaches)
    }

    /// Whether an attempt may be made now.
    ///
    /// # Errors
    /// The first rule that it would break.
    pub fn check(&mut self, now: Time, attempt: &Attempt) -> Result<(), Breach> {
        let checked =
            self.message_may_go(now, attempt).and_then(|()| self.endpoint_may_be_called(now, &attempt.to));
        self.breaches += u32::from(checked.is_err());
        checked
    }

    fn message_may_go(&self, now: Time, attempt: &Attempt) -> Result<(), Breach> {
        let Attempt { class, may_have_run, .. } = attempt;
        if attempt.already_out {
            return Err(Breach::AlreadyOut);
        }
        if attempt.ended {
            return Err(Breach::AttemptResult);
        }
        if now >= attempt.deadline {
            return Err(Breach::DeadlinePassed);
        }
        if attempt.attempts >= self.max_attempts {
            return Err(Breach::AttemptsExhausted);
        }
        match (class.idempotency, may_have_run) {
            (Idempotency::NonIdempotent, Some(_)) => Err(Breach::MayHaveRun),
            (Idempotency::IdempotentWithKey, Some(first))
                if now > first.sent_at + class.idempotency_window =>
            {
                Err(Breach::WindowOver)
            }
            (Idempotency::IdempotentWithKey, Some(first))
                if class.deduplication_scope == DeduplicationScope::Zone && first.zone != attempt.to.zone =>
            {
                Err(Breach::OtherZone)
            }
            _ => Ok(()),
        }
    }

    fn endpoint_may_be_called(&self, now: Time, to: &Receiver) -> Result<(), Breach> {
        if !to.is_open {
            return Err(Breach::EndpointClosed);
        }
        match self.retry_after_delays.get(&to.bound()) {
            Some(until) if now < *until => Err(Breach::ToldToWait),
            _ => Ok(()),
        }
    }
}
