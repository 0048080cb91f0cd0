//! The messages of a simulation: how they are accepted, sent and completed. Compares what both schedulers return about
//! admission, Retry-After and queues.

use super::comparison::{near_durations, same_queues};
use super::endpoint_behavior::{respond, Response};
use super::history::{ms, AcceptStep, Behavior};
use super::reference::reached;
use super::simulation::{InFlight, PendingMessage, Simulation};
use delivery_gateway::*;
use proptest::test_runner::TestCaseError;
use std::time::Duration;

/// The scheduler keeps an index over a queue of more messages than this instead of scanning it.
const LONG_QUEUE: usize = 64;
/// A Retry-After of more than this ratio of the overload window counts as long: it announces the destination's return.
const LONG_RETRY_AFTER_RATIO: f64 = 0.6;

impl Simulation {
    /// Accepts a message if there is room and the schedulers admit it; otherwise compares their suggested Retry-Afters
    /// and longest queues.
    pub fn accept(&mut self, step: &AcceptStep) -> Result<(), TestCaseError> {
        let destination = step.destination % self.scenario.destinations;
        let open = self.pending.values().filter(|pending| !pending.is_closed).count();
        if open >= self.settings.max_pending_messages {
            return self.query(destination);
        }
        self.last_message += 1;
        let class = &self.settings.classes[step.class];
        let message = AcceptedMessage {
            id: MessageId(self.last_message),
            class: ClassId(step.class as u8),
            destination: DestinationId(destination.into()),
            key: (step.key > 0).then_some(OrderingKey(step.key)),
            deadline: self.now + class.deadline.mul_f64(step.time_left_ratio),
            is_redelivered: step.is_redelivered,
            tenant: TenantId(step.tenant),
        };
        let tested = self.schedulers.tested.admits(self.now, &message);
        let reference = self.schedulers.reference.admits(self.now, &message);
        if tested != reference {
            return Err(self.difference("admissions", &(&message, tested), &reference));
        }
        if !reference {
            return self.query(destination);
        }
        let pending = PendingMessage {
            accepted: message.clone(),
            attempts: 0,
            first_uncertain_attempt: None,
            is_closed: false,
            acknowledged_at: None,
        };
        self.pending.insert(message.id.0, pending);
        self.handle(Event::MessageAccepted(message));
        Ok(())
    }

    /// Compares the suggested Retry-After of a destination, and the longest queue.
    pub fn query(&mut self, destination: u8) -> Result<(), TestCaseError> {
        let now = self.now;
        let destination = DestinationId(destination.into());
        let tested = self.schedulers.tested.suggested_retry_after(now, destination);
        let reference = self.schedulers.reference.suggested_retry_after(now, destination);
        if !near_durations(tested, reference) {
            return Err(self.difference("suggested Retry-Afters", &(destination, tested), &reference));
        }
        let tested = self.schedulers.tested.longest_queue(now);
        let reference = self.schedulers.reference.longest_queue(now);
        if reference.as_ref().is_some_and(|(_, length, _)| *length > LONG_QUEUE) {
            reached("long queue");
        }
        if !same_queues(tested.as_ref(), reference.as_ref()) {
            return Err(self.difference("longest queues", &tested, &reference));
        }
        Ok(())
    }

    /// Returns a random number that follows from the message and the number of its attempts so far.
    pub fn draw(&self, message: u32) -> u64 {
        let attempts = self.pending.get(&message).map_or(0, |pending| pending.attempts);
        let seed = self.scenario.seed ^ u64::from(message) << 32 ^ u64::from(attempts);
        fastrand::Rng::with_seed(seed).u64(..)
    }

    /// Sends an attempt, and decides its outcome.
    pub fn send(&mut self, message: MessageId, endpoint: EndpointId, attempt_timeout: Duration) {
        let behavior = self.behaviors.get(&endpoint.0).copied().unwrap_or(Behavior::Healthy);
        let response = self.response(behavior, message.0, endpoint, attempt_timeout);
        if let Some(pending) = self.pending.get_mut(&message.0) {
            pending.attempts += 1;
        }
        let attempt = InFlight {
            endpoint,
            sent_at: self.now,
            finishes_at: self.now + response.duration,
            outcome: response.outcome,
            load_report: response.load_report,
        };
        self.in_flight.insert(message.0, attempt);
    }

    /// Returns the response of an endpoint with this behavior to the next attempt of a message.
    pub fn response(
        &self,
        behavior: Behavior,
        message: u32,
        endpoint: EndpointId,
        attempt_timeout: Duration,
    ) -> Response {
        let capacity_hint = self.endpoints.get(&endpoint.0).map_or(0.0, |endpoint| endpoint.capacity_hint);
        respond(behavior, self.draw(message), capacity_hint, attempt_timeout)
    }

    /// Cancels an attempt, as the schedulers require: it ends within 2 ms, if it does not end earlier by itself.
    pub fn cancel(&mut self, message: MessageId) {
        let ends_at = self.now + ms(self.draw(message.0) % 3);
        let attempt = self.in_flight.get_mut(&message.0);
        if let Some(attempt) = attempt.filter(|attempt| attempt.finishes_at > ends_at) {
            attempt.finishes_at = ends_at;
            attempt.outcome = AttemptOutcome::Cancelled;
            attempt.load_report = None;
        }
    }

    /// Gives a message its final outcome, which its client may have to acknowledge.
    pub fn give_outcome(&mut self, message: MessageId) {
        let acknowledged_at = self.acknowledgement_time(message.0);
        if let Some(pending) = self.pending.get_mut(&message.0) {
            pending.is_closed = true;
            pending.acknowledged_at = self.settings.outcomes_need_acknowledgement.then_some(acknowledged_at);
        }
        self.forget_if_completed(message.0);
    }

    pub fn deliver_outcomes(&mut self) {
        let now = self.now;
        let finished = self.in_flight.iter().filter(|(_, attempt)| attempt.finishes_at <= now);
        let messages: Vec<u32> = finished.map(|(id, _)| *id).collect();
        messages.into_iter().for_each(|message| self.finish(message));
    }

    /// Reports the outcome of a message's attempt to both schedulers.
    pub fn finish(&mut self, message: u32) {
        let Some(attempt) = self.in_flight.remove(&message) else { return };
        self.count_outcome(&attempt);
        if let AttemptOutcome::Rejected(Some(retry_after)) = attempt.outcome {
            self.retry_after_ends.insert(self.now + retry_after);
        }
        let attempts = self.pending.get(&message).map_or(1, |pending| pending.attempts);
        let completes_message = attempt.outcome == AttemptOutcome::Delivered;
        let sent = self.sent_attempt(&attempt);
        if let Some(pending) = self.pending.get_mut(&message) {
            pending.is_closed |= completes_message;
            if !attempt.outcome.was_not_processed() {
                pending.first_uncertain_attempt.get_or_insert(sent);
            }
            if attempt.outcome == AttemptOutcome::AttemptsExhausted {
                pending.attempts = self.settings.max_attempts;
            }
        }
        self.handle(Event::AttemptFinished(FinishedAttempt {
            message: MessageId(message),
            endpoint: attempt.endpoint,
            attempt: attempts.saturating_sub(1) as u16,
            outcome: attempt.outcome,
            latency: self.now - attempt.sent_at,
            completes_message,
            load_report: attempt.load_report,
        }));
        self.forget_if_completed(message);
    }

    /// Returns the journal's record of an attempt that may have run.
    pub fn sent_attempt(&self, attempt: &InFlight) -> SentAttempt {
        let zone = self.endpoints.get(&attempt.endpoint.0).map_or(ZoneId(0), |endpoint| endpoint.zone);
        SentAttempt { sent_at: attempt.sent_at, zone }
    }

    fn count_outcome(&self, attempt: &InFlight) {
        let long_retry_after = self.settings.limits.overload_window.mul_f64(LONG_RETRY_AFTER_RATIO);
        reached(match attempt.outcome {
            AttemptOutcome::Delivered => "outcome Delivered",
            AttemptOutcome::ErrorResponse => "outcome ErrorResponse",
            AttemptOutcome::Rejected(None) => "outcome Rejected",
            AttemptOutcome::Rejected(Some(delay)) if delay > long_retry_after => "long Retry-After",
            AttemptOutcome::Rejected(Some(_)) => "short Retry-After",
            AttemptOutcome::Timeout => "outcome Timeout",
            AttemptOutcome::ConnectFailed => "outcome ConnectFailed",
            AttemptOutcome::Reset => "outcome Reset",
            AttemptOutcome::MalformedResponse => "outcome MalformedResponse",
            AttemptOutcome::Cancelled => "outcome Cancelled",
            AttemptOutcome::NotSent => "outcome NotSent",
            AttemptOutcome::AttemptsExhausted => "outcome AttemptsExhausted",
            AttemptOutcome::TooManyConnections => "outcome TooManyConnections",
            AttemptOutcome::LocalFailure => "outcome LocalFailure",
        });
        if attempt.load_report.is_some() {
            reached("load report");
        }
    }

    /// Deletes a message that has its final outcome, awaits no acknowledgement and has no attempt in flight.
    pub fn forget_if_completed(&mut self, message: u32) {
        let is_acknowledged =
            |pending: &PendingMessage| pending.is_closed && pending.acknowledged_at.is_none();
        if self.pending.get(&message).is_some_and(is_acknowledged) && !self.in_flight.contains_key(&message) {
            self.pending.remove(&message);
        }
    }
}
