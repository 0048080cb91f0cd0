//! Starts the attempts that the scheduler has decided on, and records their results. Withdraws calls that are still
//! connecting when their destination sends a `Retry-After`.
//!
//! The send guard checks each attempt first. An attempt that it blocks is not sent. Each attempt is recorded in the
//! journal before its call starts, because the next process must treat it as possibly processed.

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

/// The maximum size of the body of a call that several messages share.
const MAX_BATCH_BODY_BYTES: usize = 64 << 10;

/// The result of an attempt that was not sent: the latest time to send it had passed, a delivery rule blocked it, or
/// its message or its endpoint's address is not known any more.
const NOT_SENT: AttemptResult = unsent_result(AttemptOutcome::NotSent);
/// The result of an attempt that was not sent because the journal could not record it.
const NOT_RECORDED: AttemptResult = unsent_result(AttemptOutcome::LocalFailure);

const fn unsent_result(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult { outcome, latency: Duration::ZERO, completes_message: false, load_report: None }
}

/// Messages that share one call.
#[derive(Default)]
struct Batch {
    messages: Vec<OutgoingMessage>,
    body_bytes: usize,
    /// The timeout of the call: the longest attempt timeout of its messages.
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
    /// Sends messages to an endpoint in one call, or in several if their bodies exceed [`MAX_BATCH_BODY_BYTES`].
    pub(super) fn start_attempts(&mut self, now: Time, endpoint: EndpointId, attempts: &[Action]) {
        let address = self.directory.address(endpoint);
        let mut batch = Batch::default();
        for attempt in attempts {
            let Action::StartAttempt { message, attempt_timeout, send_within, .. } = *attempt else {
                continue;
            };
            let outgoing = self.outgoing_message(now, message, send_within);
            if let Err(breach) = self.check_rules(now, message, endpoint) {
                self.block_attempt(message, endpoint, breach);
                continue;
            }
            if !self.record_attempt(now, message, endpoint) {
                self.report_unsent(message, endpoint, NOT_RECORDED);
                continue;
            }
            let Some((outgoing, address)) = outgoing.zip(address) else {
                self.report_unsent(message, endpoint, NOT_SENT);
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

    /// Returns a pending message as its call needs it; None if it is not pending. `send_within` counts from the
    /// scheduler's decision, not from the first poll of the call's task.
    fn outgoing_message(
        &self,
        decided_at: Time,
        message: MessageId,
        send_within: Duration,
    ) -> Option<OutgoingMessage> {
        let pending = self.journal.state.pending.get(&message.0)?;
        Some(OutgoingMessage {
            message,
            send_by: self.clock.instant(decided_at) + send_within,
            expires_at: self.clock.instant(self.clock.scheduler_time(pending.message.deadline_ms)),
            id: pending.message.id.clone(),
            idempotency_key: pending.message.idempotency_key.clone(),
            body: pending.message.body.clone(),
        })
    }

    /// Records an attempt before it is sent. Returns false if that failed. The attempt must not be sent then, because
    /// the next process would not find it in the journal.
    fn record_attempt(&mut self, now: Time, message: MessageId, endpoint: EndpointId) -> bool {
        let zone = self.directory.zone(endpoint).0;
        let sent = SentRecord { sent_ms: self.clock.journal_ms(now), zone };
        let recorded = self.journal.record_attempt_started(message.0, sent);
        self.journal_errors.log_failure(recorded)
    }

    /// Checks an attempt with the send guard. An error is the delivery rule that the attempt would break.
    fn check_rules(&mut self, now: Time, message: MessageId, endpoint: EndpointId) -> Result<(), Breach> {
        // A message that is not in the journal, or an endpoint that is not in the directory, gets no call anyway.
        let Some(pending) = self.journal.state.pending.get(&message.0) else { return Ok(()) };
        let class = self.catalog.class_id(&pending.message.class);
        let Some((class, receiver)) = class.zip(self.receiver(endpoint)) else { return Ok(()) };
        let class = self.catalog.class(class);
        let deadline = self.clock.scheduler_time(pending.message.deadline_ms);
        // Another gateway may have sent a redelivered message at any time since its client first enqueued it there.
        let may_have_run_elsewhere =
            pending.message.is_redelivered && class.idempotency == Idempotency::IdempotentWithKey;
        let attempt_elsewhere = may_have_run_elsewhere
            .then(|| SentAttempt { sent_at: deadline - class.deadline, zone: receiver.zone });
        let attempt = Attempt {
            class,
            is_in_flight: self.in_flight.contains(message),
            has_final_outcome: pending.final_outcome.is_some(),
            deadline,
            attempts: pending.attempts,
            first_uncertain: attempt_elsewhere.or(self.first_uncertain_attempt(pending)),
            receiver,
        };
        self.guard.check(now, &attempt)
    }

    /// Returns the first attempt that an endpoint may have processed, including the attempt in flight.
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

    /// Logs an attempt that would break a delivery rule, and reports it as not sent.
    fn block_attempt(&mut self, message: MessageId, endpoint: EndpointId, breach: Breach) {
        if let Some(suppressed) = self.lines.breach.due() {
            let id = self.journal.state.pending.get(&message.0).map_or("", |pending| &pending.message.id);
            error!(id, endpoint = endpoint.0, %breach, suppressed, "attempt not sent: it would break a delivery rule");
        }
        // The message's attempt in flight reports its own result.
        if breach != Breach::AlreadyInFlight {
            self.report_unsent(message, endpoint, NOT_SENT);
        }
    }

    /// Reports the result of an attempt that was not sent, as if its call had ended.
    fn report_unsent(&mut self, message: MessageId, endpoint: EndpointId, result: AttemptResult) {
        self.track_attempt(message, endpoint, &CallHandle::not_started());
        let result = CallResult { attempts: vec![result], retry_after: None };
        let _ =
            self.channels.events.send(GatewayEvent::CallEnded { endpoint, messages: vec![message], result });
    }

    /// Adds a message to the attempts in flight.
    pub(super) fn track_attempt(&mut self, message: MessageId, endpoint: EndpointId, call: &Rc<CallHandle>) {
        let attempts = self.journal.state.pending.get(&message.0).map_or(0, |pending| pending.attempts);
        let attempt = attempts.saturating_sub(1) as u16;
        self.in_flight.insert(message, InFlightAttempt { endpoint, attempt, call: call.clone() });
    }

    fn start_call(&mut self, endpoint: EndpointId, address: SocketAddr, batch: Batch) {
        let Batch { messages, attempt_timeout, .. } = batch;
        let is_sent = Rc::new(Cell::new(false));
        let (handle, stopped) = CallHandle::new(is_sent.clone());
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
            let report_expired = |messages: Vec<MessageId>| {
                let result = CallResult { attempts: vec![NOT_SENT; messages.len()], retry_after: None };
                let _ = events.send(GatewayEvent::CallEnded { endpoint, messages, result });
            };
            let result = pool.call(&mut call, stopped, is_sent, report_expired).await;
            let messages = call.messages.iter().map(|outgoing| outgoing.message).collect();
            let _ = events.send(GatewayEvent::CallEnded { endpoint, messages, result });
        });
    }

    /// Records the results of a call, and passes them to the scheduler.
    pub(super) fn handle_call_ended(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        messages: &[MessageId],
        result: &CallResult,
    ) {
        if let Some(delay) = result.retry_after {
            self.apply_retry_after(now, endpoint, delay);
            self.scheduler.handle(now, Event::RetryAfter { endpoint, delay });
        }
        // The scheduler rates an endpoint by the last outcome of a call. NotSent and AttemptsExhausted have no
        // information about the endpoint, so they are passed first.
        let mut results: Vec<(MessageId, AttemptResult)> =
            messages.iter().copied().zip(result.attempts.iter().copied()).collect();
        results.sort_by_key(|(_, result)| {
            !matches!(result.outcome, AttemptOutcome::NotSent | AttemptOutcome::AttemptsExhausted)
        });
        for (message, result) in results {
            self.handle_attempt_ended(now, message, endpoint, result);
        }
    }

    /// Passes a `Retry-After` to the send guard, and withdraws the calls to the destination that are still connecting.
    /// `now` is the time that the scheduler gets with it: by another one, the guard would block the first attempt after it.
    fn apply_retry_after(&mut self, now: Time, endpoint: EndpointId, delay: Duration) {
        let destination = self.directory.destination(endpoint);
        if let Some(receiver) = self.receiver(endpoint) {
            self.guard.apply_retry_after(now, &receiver, delay);
        }
        if let Some(suppressed) = self.lines.retry_after.due() {
            let destination = destination.map(|destination| destination.0);
            info!(destination, ?delay, suppressed, "Retry-After received");
        }
        self.in_flight.withdraw(|other| self.directory.destination(other) == destination);
    }

    fn handle_attempt_ended(
        &mut self,
        now: Time,
        message: MessageId,
        endpoint: EndpointId,
        result: AttemptResult,
    ) {
        let Some(InFlightAttempt { attempt, .. }) = self.in_flight.remove(message) else { return };
        let AttemptResult { outcome, latency, completes_message, load_report } = result;
        if let Some(pending) = self.journal.state.pending.get(&message.0) {
            let id = &pending.message.id;
            debug!(id, attempt, endpoint = endpoint.0, ?outcome, ?latency, "attempt finished");
        }
        if let AttemptOutcome::Rejected(Some(delay)) = outcome {
            self.apply_retry_after(now, endpoint, delay);
        }
        if completes_message {
            self.counters.delivered += u32::from(outcome == AttemptOutcome::Delivered);
            self.complete_message(now, message);
        } else {
            self.record_attempt_outcome(message, outcome);
        }
        let finished =
            FinishedAttempt { message, endpoint, attempt, outcome, latency, completes_message, load_report };
        self.scheduler.handle(now, Event::AttemptFinished(finished));
        self.withdraw_if_abandoned(now, message);
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
