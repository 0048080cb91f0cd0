//! Records final outcomes, sends their notifications to the platform, and removes each message once its notification is
//! acknowledged.
//!
//! An outcome is written to the journal before its notification is sent: the client of a returned message may enqueue
//! it again after the notification, and no attempt of the first message may follow. While the journal cannot be
//! written, notifications are deferred, at most until the message's deadline.

use delivery_gateway::{Event, Idempotency, MessageId, Time};
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

use super::{EventLoop, SWEEP_INTERVAL};
use crate::events::OutcomeNotification;
use crate::journal::FinalOutcome;

/// The interval between attempts to write records whose write has failed.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(50);

struct DeferredOutcome {
    notification: OutcomeNotification,
    /// The deadline of the message. No process sends the message after that, whether or not the outcome is recorded, so
    /// the notification need not wait longer.
    notify_at: Instant,
}

/// Notifications of outcomes that are not yet in the journal.
#[derive(Default)]
pub(super) struct DeferredOutcomes {
    waiting: Vec<DeferredOutcome>,
}

impl DeferredOutcomes {
    fn push(&mut self, notification: OutcomeNotification, notify_at: Instant) {
        self.waiting.push(DeferredOutcome { notification, notify_at });
    }

    /// Removes and returns the notifications that may be sent: all of them if the journal has all records, otherwise
    /// those whose message has reached its deadline.
    fn take_due(
        &mut self,
        now: Instant,
        all_recorded: bool,
    ) -> impl Iterator<Item = OutcomeNotification> + '_ {
        let due = move |deferred: &mut DeferredOutcome| all_recorded || deferred.notify_at <= now;
        self.waiting.extract_if(.., due).map(|deferred| deferred.notification)
    }
}

impl EventLoop {
    /// Records the final outcome of a message, and sends its notification. If it cannot be recorded, the notification
    /// is deferred.
    pub(super) fn record_final_outcome(&mut self, message: MessageId, final_outcome: FinalOutcome) {
        let recorded = self.journal.record_final_outcome(message.0, final_outcome);
        let is_recorded = self.journal_errors.log_failure(recorded);
        let Some(pending) = self.journal.state.pending.get(&message.0) else { return };
        debug!(id = pending.message.id, ?final_outcome, is_recorded, "final outcome recorded or deferred");
        let notification = OutcomeNotification { message, id: pending.message.id.clone(), final_outcome };
        if is_recorded {
            let _ = self.channels.notifications.send(notification);
        } else {
            let deadline = self.clock.scheduler_time(pending.message.deadline_ms);
            self.deferred_outcomes.push(notification, self.clock.instant(deadline));
        }
    }

    /// Completes messages whose notifications the platform has acknowledged.
    pub(super) fn complete_acknowledged(&mut self, now: Time, messages: Vec<MessageId>) {
        for message in messages {
            let id = self.journal.state.pending.get(&message.0).map_or("", |pending| &pending.message.id);
            debug!(id, "notification acknowledged");
            self.complete_message(now, message);
            self.scheduler.handle(now, Event::OutcomeAcknowledged(message));
        }
    }

    /// Retries the writes that failed, and sends the notifications that no longer have to wait for them.
    pub(super) fn retry_unwritten_records(&mut self) {
        let now = Instant::now();
        if self.journal.is_flushed() {
            self.flush_retry_at = None;
        } else if self.flush_retry_at.is_none_or(|at| at <= now) {
            let flushed = self.journal.flush();
            self.journal_errors.log_failure(flushed);
            // No notification waits for the endpoint list or the clock, and a long list is slow to write: retry less
            // often.
            let interval = if self.journal.has_all_records() { SWEEP_INTERVAL } else { FLUSH_RETRY_INTERVAL };
            self.flush_retry_at = (!self.journal.is_flushed()).then_some(now + interval);
        }
        let all_recorded = self.journal.has_all_records();
        for notification in self.deferred_outcomes.take_due(now, all_recorded) {
            let _ = self.channels.notifications.send(notification);
        }
    }

    /// Removes a completed message. The journal keeps a tombstone, so that the message doesn't run again if its request
    /// is repeated, and no other message takes its id.
    pub(super) fn complete_message(&mut self, now: Time, message: MessageId) {
        let Some(pending) = self.journal.state.pending.get(&message.0) else { return };
        self.pending.remove(&pending.message.id);
        let class = self.catalog.class_id(&pending.message.class);
        let is_idempotent =
            class.is_some_and(|class| self.catalog.class(class).idempotency == Idempotency::Idempotent);
        let completed = self.journal.complete(message.0, self.clock.journal_ms(now), is_idempotent);
        self.journal_errors.log_failure(completed);
    }
}
