//! The attempts of messages: started as the scheduler decides, stopped or withdrawn, and their results recorded.
//!
//! An attempt is in the journal before its call starts, so that the next process knows of it. The send guard checks
//! each one first; what it forbids is not sent.

use delivery_gateway::{
    Action, AttemptOutcome, EndpointId, Event, FinishedAttempt, Idempotency, MessageId, SentAttempt, Time,
    ZoneId,
};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, error, info};

use super::in_flight::{CallHandle, InFlightAttempt};
use super::EventLoop;
use crate::events::{AttemptResult, CallResult, GatewayEvent};
use crate::http_client::{Call, OutgoingMessage};
use crate::journal::{PendingMessage, SentRecord};
use crate::send_guard::{Attempt, Breach, Receiver};

/// Longest body of a call, in bytes.
const MAX_BATCH_BODY_BYTES: usize = 64 << 10;

/// An attempt that was not made, as its time to leave had passed or a rule forbids it.
const NOT_SENT: AttemptResult = not_made(AttemptOutcome::NotSent);
/// An attempt that was not made, as it could not be recorded.
const NOT_RECORDED: AttemptResult = not_made(AttemptOutcome::LocalFailure);

const fn not_made(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult { outcome, latency: Duration::ZERO, completes_message: false, load_report: None }
}

/// Messages that are to share one call.
#[derive(Default)]
struct Batch {
    messages: Vec<OutgoingMessage>,
    body_bytes: usize,
    /// One call waits as long as any of its messages may.
    attempt_timeout: Duration,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    fn has_room_for(&self, message: &OutgoingMessage) -> bool {
        self.is_empty() || self.body_bytes + message.batched_size() <= MAX_BATCH_BODY_BYTES
    }

    fn push(&mut self, message: OutgoingMessage, attempt_timeout: Duration) {
        self.body_bytes += message.batched_size();
        self.attempt_timeout = self.attempt_timeout.max(attempt_timeout);
        self.messages.push(message);
    }
}

impl EventLoop {
    /// Sends messages to an endpoint in one call; in more where their bodies are too long for one.
    pub(super) fn start_attempts(&mut self, now: Time, endpoint: EndpointId, attempts: &[Action]) {
        let address = self.directory.address(endpoint);
        let mut batch = Batch::default();
        for attempt in attempts {
            let Action::StartAttempt { message, attempt_timeout, send_within, .. } = *attempt else {
                continue;
            };
            let outgoing = self.outgoing_message(now, message, send_within);
            if let Err(breach) = self.check_rules(now, message, endpoint) {
                self.forbid(message, endpoint, breach);
                continue;
            }
            if !self.record_attempt(now, message, endpoint) {
                self.report_not_made(message, endpoint, NOT_RECORDED);
                continue;
            }
            let Some((outgoing, address)) = outgoing.zip(address) else {
                self.report_not_made(message, endpoint, NOT_SENT);
                continue;
            };
            if !batch.has_room_for(&outgoing) {
                self.start_call(endpoint, address, std::mem::take(&mut batch));
            }
            batch.push(outgoing, attempt_timeout);
        }
        if let Some(address) = address.filter(|_| !batch.is_empty()) {
            self.start_call(endpoint, address, batch);
        }
    }

    /// A pending message as its call needs it. The scheduler's times count from its decision, not from when the
    /// call's task gets its turn.
    fn outgoing_message(
        &self,
        decided: Time,
        message: MessageId,
        send_within: Duration,
    ) -> Option<OutgoingMessage> {
        let pending = self.journal.state.pending.get(&message.0)?;
        Some(OutgoingMessage {
            message,
            send_by: self.clock.instant(decided) + send_within,
            expires_at: self.clock.instant(self.clock.scheduler_time(pending.message.deadline_ms)),
            id: pending.message.id.clone(),
            idempotency_key: pending.message.idempotency_key.clone(),
            body: pending.message.body.clone(),
        })
    }

    /// Records an attempt before it is made; false if that failed. One that the next process would not know of is
    /// not made.
    fn record_attempt(&mut self, now: Time, message: MessageId, endpoint: EndpointId) -> bool {
        let zone = self.directory.zone(endpoint).0;
        let sent = SentRecord { sent_ms: self.clock.journal_ms(now), zone };
        let recorded = self.journal.record_attempt_started(message.0, sent);
        self.journal_errors.log_failure(recorded)
    }

    /// Whether an attempt may be made, by the rules of the protocol alone.
    fn check_rules(&mut self, now: Time, message: MessageId, endpoint: EndpointId) -> Result<(), Breach> {
        // What the journal or the directory does not hold is not sent anyway.
        let Some(pending) = self.journal.state.pending.get(&message.0) else { return Ok(()) };
        let class = self.catalog.class_id(&pending.message.class);
        let Some((class, receiver)) = class.zip(self.receiver(endpoint)) else { return Ok(()) };
        let class = self.catalog.class(class);
        let deadline = self.clock.scheduler_time(pending.message.deadline_ms);
        // A redelivered message may have run at another gateway at any time since it was first enqueued there.
        let is_repeat = pending.message.is_redelivered && class.idempotency == Idempotency::IdempotentWithKey;
        let elsewhere =
            is_repeat.then(|| SentAttempt { sent_at: deadline - class.deadline, zone: receiver.zone });
        let attempt = Attempt {
            class,
            is_in_flight: self.in_flight.contains(message),
            has_final_outcome: pending.final_outcome.is_some(),
            deadline,
            attempts: pending.attempts,
            first_uncertain: elsewhere.or(self.first_uncertain_attempt(pending)),
            receiver,
        };
        self.guard.check(now, &attempt)
    }

    /// The first attempt that may have run, the one in flight included.
    pub(super) fn first_uncertain_attempt(&self, pending: &PendingMessage) -> Option<SentAttempt> {
        let first = pending.first_uncertain_attempt.or(pending.in_flight)?;
        Some(SentAttempt { sent_at: self.clock.scheduler_time(first.sent_ms), zone: ZoneId(first.zone) })
    }

    fn receiver(&self, endpoint: EndpointId) -> Option<Receiver> {
        Some(Receiver {
            endpoint,
            destination: self.directory.destination(endpoint)?,
            zone: self.directory.zone(endpoint),
            is_open: self.directory.accepts_calls(endpoint),
            has_own_limits: self.directory.has_own_limits(endpoint),
        })
    }

    /// Does not make an attempt that would break a rule.
    fn forbid(&mut self, message: MessageId, endpoint: EndpointId, breach: Breach) {
        if let Some(suppressed) = self.lines.breach.due() {
            let id = self.journal.state.pending.get(&message.0).map_or("", |pending| &pending.message.id);
            error!(id, endpoint = endpoint.0, %breach, suppressed, "attempt not sent: it would break a delivery rule");
        }
        // The attempt that is in flight already will report its own result.
        if breach != Breach::AlreadyInFlight {
            self.report_not_made(message, endpoint, NOT_SENT);
        }
    }

    /// Reports the result of an attempt that was not made, as if its call had ended.
    fn report_not_made(&mut self, message: MessageId, endpoint: EndpointId, result: AttemptResult) {
        self.track_attempt(message, endpoint, &CallHandle::not_started());
        let result = CallResult { attempts: vec![result], retry_after: None };
        let _ =
            self.channels.events.send(GatewayEvent::CallEnded { endpoint, messages: vec![message], result });
    }

    /// Notes that a message is in flight.
    pub(super) fn track_attempt(&mut self, message: MessageId, endpoint: EndpointId, call: &Rc<CallHandle>) {
        let attempts = self.journal.state.pending.get(&message.0).map_or(0, |pending| pending.attempts);
        let attempt = attempts.saturating_sub(1) as u16;
        self.in_flight.insert(message, InFlightAttempt { endpoint, attempt, call: call.clone() });
    }

    fn start_call(&mut self, endpoint: EndpointId, address: SocketAddr, batch: Batch) {
        let Batch { messages, attempt_timeout, .. } = batch;
        let sent = Rc::new(Cell::new(false));
        let (handle, stopped) = CallHandle::new(sent.clone());
        messages.iter().for_each(|outgoing| self.track_attempt(outgoing.message, endpoint, &handle));
        self.counters.calls += 1;
        for outgoing in &messages {
            debug!(
                id = outgoing.id,
                endpoint = endpoint.0,
                ?attempt_timeout,
                messages = messages.len(),
                "attempt started"
            );
        }
        let mut call = Call { endpoint, address, messages, attempt_timeout };
        let pool = self.pool.clone();
        let events = self.channels.events.clone();
        tokio::task::spawn_local(async move {
            let too_late = |messages: Vec<MessageId>| {
                let result = CallResult { attempts: vec![NOT_SENT; messages.len()], retry_after: None };
                let _ = events.send(GatewayEvent::CallEnded { endpoint, messages, result });
            };
            let result = pool.call(&mut call, stopped, sent, too_late).await;
            let messages = call.messages.iter().map(|outgoing| outgoing.message).collect();
            let _ = events.send(GatewayEvent::CallEnded { endpoint, messages, result });
        });
    }

    /// Records the results of a call, and lets the scheduler learn from them.
    pub(super) fn call_ended(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        messages: &[MessageId],
        result: &CallResult,
    ) {
        if let Some(delay) = result.retry_after {
            self.note_retry_after(endpoint, delay);
            self.scheduler.handle(now, Event::RetryAfter { endpoint, delay });
        }
        // The scheduler judges an endpoint by the last outcome of a call: those that say nothing of it go first.
        let mut results: Vec<(MessageId, AttemptResult)> =
            messages.iter().copied().zip(result.attempts.iter().copied()).collect();
        results.sort_by_key(|(_, result)| {
            !matches!(result.outcome, AttemptOutcome::NotSent | AttemptOutcome::AttemptsExhausted)
        });
        for (message, result) in results {
            self.attempt_ended(now, message, endpoint, result);
        }
    }

    /// Heeds a `Retry-After` at once: it binds the guard, and the calls that are still connecting.
    fn note_retry_after(&mut self, endpoint: EndpointId, delay: Duration) {
        let destination = self.directory.destination(endpoint);
        if let Some(receiver) = self.receiver(endpoint) {
            self.guard.note_retry_after(self.clock.now(), &receiver, delay);
        }
        if let Some(suppressed) = self.lines.retry_after.due() {
            let destination = destination.map(|destination| destination.0);
            info!(destination, ?delay, suppressed, "Retry-After received");
        }
        self.in_flight.withdraw(|other| self.directory.destination(other) == destination);
    }

    fn attempt_ended(&mut self, now: Time, message: MessageId, endpoint: EndpointId, result: AttemptResult) {
        let Some(InFlightAttempt { attempt, .. }) = self.in_flight.remove(message) else { return };
        let AttemptResult { outcome, latency, completes_message, load_report } = result;
        if let Some(pending) = self.journal.state.pending.get(&message.0) {
            let id = &pending.message.id;
            debug!(id, attempt, endpoint = endpoint.0, ?outcome, ?latency, "attempt finished");
        }
        if let AttemptOutcome::Rejected(Some(delay)) = outcome {
            self.note_retry_after(endpoint, delay);
        }
        if completes_message {
            self.counters.delivered += u32::from(outcome == AttemptOutcome::Delivered);
            self.complete_message(message);
        } else {
            self.record_attempt_outcome(message, outcome);
        }
        let finished =
            FinishedAttempt { message, endpoint, attempt, outcome, latency, completes_message, load_report };
        self.scheduler.handle(now, Event::AttemptFinished(finished));
        if self.directory.is_removed(endpoint) {
            self.forget_removed_endpoints();
        }
    }

    fn record_attempt_outcome(&mut self, message: MessageId, outcome: AttemptOutcome) {
        let recorded = match outcome {
            AttemptOutcome::LocalFailure => self.journal.record_attempt_undone(message.0),
            outcome => self.journal.record_attempt_outcome(message.0, !outcome.was_not_processed()),
        };
        self.journal_errors.log_failure(recorded);
    }
}
