//! Final outcomes: each is recorded, then notified to the platform, and its message forgotten once the notification
//! is acknowledged.
//!
//! An outcome is in the journal before it is notified: a client that was notified of a returned message may
//! enqueue it again, and nothing may be sent for the first one after that. While the journal cannot be written,
//! notifications wait.

use delivery_gateway::{Event, MessageId, Time};
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

use super::{EventLoop, SWEEP};
use crate::events::OutcomeNotification;
use crate::journal::FinalOutcome;

/// Between tries to write records that could not be written.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(50);

struct DeferredOutcome {
    notification: OutcomeNotification,
    /// The end of the message's time: from then on no process sends it, whatever the journal says.
    notify_at: Instant,
}

/// Notifications of outcomes that are not in the journal yet.
#[derive(Default)]
pub(super) struct DeferredOutcomes {
    waiting: Vec<DeferredOutcome>,
}

impl DeferredOutcomes {
    fn push(&mut self, notification: OutcomeNotification, notify_at: Instant) {
        self.waiting.push(DeferredOutcome { notification, notify_at });
    }

    /// Takes out what may be sent: all once everything is recorded, else what has reached its deadline.
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
    /// Gives a message its final outcome: records it, then notifies the platform.
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

    /// The platform has the notifications of these messages.
    pub(super) fn outcomes_acknowledged(&mut self, now: Time, messages: Vec<MessageId>) {
        for message in messages {
            let id = self.journal.state.pending.get(&message.0).map_or("", |pending| &pending.message.id);
            debug!(id, "notification acknowledged");
            self.complete_message(message);
            self.scheduler.handle(now, Event::OutcomeAcknowledged(message));
        }
    }

    /// Retries to write what could not be written, and sends the notifications that waited for that.
    pub(super) fn retry_unwritten_records(&mut self) {
        let now = Instant::now();
        if self.journal.is_flushed() {
            self.flush_retry_at = None;
        } else if self.flush_retry_at.is_none_or(|at| at <= now) {
            let flushed = self.journal.flush();
            self.journal_errors.log_failure(flushed);
            // Nothing waits for the endpoint list, and a long one takes its time to write.
            let interval = if self.journal.has_all_records() { SWEEP } else { FLUSH_RETRY_INTERVAL };
            self.flush_retry_at = (!self.journal.is_flushed()).then_some(now + interval);
        }
        let all_recorded = self.journal.has_all_records();
        for notification in self.deferred_outcomes.take_due(now, all_recorded) {
            let _ = self.channels.notifications.send(notification);
        }
    }

    /// Forgets a message that is done, except for its id, which no other message may take.
    pub(super) fn complete_message(&mut self, message: MessageId) {
        if let Some(pending) = self.journal.state.pending.get(&message.0) {
            self.completed.insert(&pending.message);
        }
        self.forget_message(message);
    }

    /// Forgets a message as if it had never been accepted.
    pub(super) fn forget_message(&mut self, message: MessageId) {
        if let Some(pending) = self.journal.state.pending.get(&message.0) {
            self.pending.remove(&pending.message.id);
            let removed = self.journal.complete(message.0);
            self.journal_errors.log_failure(removed);
        }
    }
}
