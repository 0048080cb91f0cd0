//! Answers enqueue requests. A message is written to the journal before its client gets the reply that it was accepted.

use delivery_gateway::{DestinationId, Event, Idempotency, MessageId, Time};
use tokio::sync::oneshot;
use tracing::debug;

use super::EventLoop;
use crate::events::{EnqueueReply, EnqueueRequest, StopReason};
use crate::journal::{AcceptedRecord, CompletedMatch, JournalError};

impl EventLoop {
    /// Replies to a request. A message that it accepts is withdrawn if its client's connection has ended meanwhile.
    pub(super) fn answer_enqueue(
        &mut self,
        now: Time,
        request: EnqueueRequest,
        reply: oneshot::Sender<EnqueueReply>,
    ) {
        let id = request.id.clone();
        let answer = self.enqueue(now, request);
        debug!(id, ?answer, "enqueue request answered");
        if let Err(EnqueueReply::Accepted(message)) = reply.send(answer) {
            self.withdraw_unacknowledged(now, message);
        }
    }

    fn enqueue(&mut self, now: Time, request: EnqueueRequest) -> EnqueueReply {
        let Some(class) = self.catalog.class_id(&request.class) else {
            return EnqueueReply::Error("unknown class");
        };
        if let Some(reply) = self.reply_to_duplicate(&request) {
            return reply;
        }
        let destination = DestinationId(request.destination);
        if !self.journal.state.destinations.contains(&request.destination) {
            return EnqueueReply::Error("unknown destination");
        }
        let class = self.catalog.class(class);
        if class.idempotency == Idempotency::IdempotentWithKey && request.idempotency_key.is_none() {
            return EnqueueReply::Error("k is missing");
        }
        let deadline = now + request.time_left.min(class.deadline);
        let record = AcceptedRecord {
            id: request.id,
            ordering_key: request.ordering_key,
            class: request.class,
            tenant: request.tenant,
            destination: request.destination,
            idempotency_key: request.idempotency_key,
            deadline_ms: self.clock.journal_ms(deadline),
            is_redelivered: request.is_redelivered,
            body: request.body,
        };
        if !self.admits(now, &record) {
            return self.reject(now, destination);
        }
        self.accept(now, destination, record)
    }

    /// Returns the reply to a request whose id belongs to a pending or completed message; None if the id is new.
    fn reply_to_duplicate(&mut self, request: &EnqueueRequest) -> Option<EnqueueReply> {
        if let Some(number) = self.pending.message_number(&request.id) {
            // Either the client repeats its request on a new connection, or another client uses the same id.
            let pending = self.journal.state.pending.get(&number);
            if !pending.is_some_and(|pending| request.content() == pending.message.content()) {
                return Some(EnqueueReply::Error("the id is in use for another message"));
            }
            self.pending.mark_shared(&request.id);
            return Some(EnqueueReply::AlreadyAccepted);
        }
        let completed = self.journal.state.tombstones.find(&request.id, &request.content());
        completed.map(|completed| match completed {
            CompletedMatch::SameMessage => EnqueueReply::AlreadyAccepted,
            CompletedMatch::OtherMessage => EnqueueReply::Error("the id was that of another message"),
        })
    }

    fn admits(&mut self, now: Time, record: &AcceptedRecord) -> bool {
        if self.journal.state.pending.len() >= self.max_pending_messages {
            return false;
        }
        let message = self.catalog.accepted_message(&self.clock, 0, record);
        message.is_some_and(|message| self.scheduler.admits(now, &message))
    }

    fn reject(&mut self, now: Time, destination: DestinationId) -> EnqueueReply {
        self.counters.rejected += 1;
        EnqueueReply::Rejected(Some(self.scheduler.suggested_retry_after(now, destination)))
    }

    fn accept(&mut self, now: Time, destination: DestinationId, record: AcceptedRecord) -> EnqueueReply {
        let id = record.id.clone();
        match self.journal.accept(record) {
            Ok(number) => {
                self.counters.accepted += 1;
                self.pending.insert(id, number);
                let record = self.journal.state.pending.get(&number).map(|pending| &pending.message);
                let accepted =
                    record.and_then(|record| self.catalog.accepted_message(&self.clock, number, record));
                if let Some(accepted) = accepted {
                    self.scheduler.handle(now, Event::MessageAccepted(accepted));
                }
                EnqueueReply::Accepted(MessageId(number))
            }
            Err(error) => {
                let may_be_written = !matches!(error, JournalError::TornTail) && self.journal.has_torn_tail();
                self.journal_errors.log_failure(Err(error));
                if may_be_written {
                    // The record may be whole on the disk, and the next process would deliver the message. A reply that
                    // invites a retry could therefore lead to a second delivery.
                    return EnqueueReply::Error("the disk fails");
                }
                self.reject(now, destination)
            }
        }
    }

    /// Withdraws a message whose client disconnected before the reply that it was accepted.
    pub(super) fn withdraw_unacknowledged(&mut self, now: Time, message: MessageId) {
        let Some(pending) = self.journal.state.pending.get(&message.0) else { return };
        self.pending.mark_abandoned(&pending.message.id);
        if self.pending.is_abandoned(&pending.message.id) {
            // A call that has been sent goes on: its outcome decides whether the message is withdrawn.
            self.in_flight.stop(message, StopReason::Withdrawn);
            self.withdraw_if_abandoned(now, message);
        }
    }

    /// Drops a message whose client disconnected before the reply, if it certainly has not run and has no final outcome.
    /// Its id is free again then. Otherwise the message stays and ends like any other, because its id must not be
    /// forgotten: the client may repeat its request, which would run the message again. A message that a later request
    /// was acknowledged for stays as well, because that client expects its outcome.
    pub(super) fn withdraw_if_abandoned(&mut self, now: Time, message: MessageId) {
        let Some(pending) = self.journal.state.pending.get(&message.0) else { return };
        let id = &pending.message.id;
        let must_be_known = pending.may_have_run() || pending.final_outcome.is_some();
        if must_be_known || !self.pending.is_abandoned(id) {
            return;
        }
        self.pending.remove(id);
        let withdrawn = self.journal.withdraw(message.0);
        self.journal_errors.log_failure(withdrawn);
        self.scheduler.handle(now, Event::MessageAbandoned(message));
    }
}
