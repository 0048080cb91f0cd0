//! Admission and load shedding: decides which messages are accepted, and which accepted ones get their final
//! outcome without delivery, because they have expired or because the gateway is nearly full.

use super::derived_settings::shortest_objective_secs;
use super::idempotency;
use super::message_value;
use super::retry_after;
use super::state::queue::Queue;
use super::state::{Message, RouteId};
use super::{Deadline, Scheduler};
use crate::model::*;
use std::time::Duration;

/// The ratio of the maximum number of pending messages above which messages of least value are shed.
const SHED_ABOVE_RATIO: f64 = 0.93;
/// The time after a message was enqueued in which shedding it has a cost, as a ratio of its class's deadline.
/// Its client has waited in vain, while the client of a message rejected on arrival can go elsewhere at once.
/// A message with an attempt that may have run has no such cost.
const EARLY_SHED_DEADLINE_RATIO: f64 = 0.7;
/// The cost of shedding a message early, as a ratio of its full value.
const EARLY_SHED_COST_VALUE_RATIO: f64 = 0.3;

/// The message of least value, which is the next to be shed.
struct LeastValuable<'a> {
    value: f64,
    message: &'a Message,
}

impl Scheduler {
    /// Returns whether to accept a new message rather than reject it. A lame duck accepts none after its
    /// grace period. If the gateway is nearly full, a message is accepted only if its value is higher than
    /// that of the message to be shed for it plus the cost of shedding that one, or if none of the others can
    /// be shed.
    pub fn admits(&mut self, now: Time, accepted: &AcceptedMessage) -> bool {
        if self.lame_duck.rejects_messages(now) {
            return false;
        }
        if self.open_messages < self.max_open_messages() {
            return true;
        }
        let is_over_quota = self.quotas.is_exhausted(&self.settings, now, accepted.tenant);
        let value = Message::new(&self.settings, now, accepted.clone(), is_over_quota)
            .map(|message| message_value::current(&self.settings, now, &message));
        let is_accepted = self.least_valuable(now).is_none_or(|least| {
            let cost = self.shed_cost(now, least.message);
            value.is_some_and(|value| value > least.value + cost)
        });
        if !is_accepted {
            self.record_demand(now, accepted.destination);
        }
        is_accepted
    }

    /// Returns the cost of shedding a message, beyond its current value.
    fn shed_cost(&self, now: Time, message: &Message) -> f64 {
        let early_until =
            message.enqueued_at + message.class(&self.settings).deadline.mul_f64(EARLY_SHED_DEADLINE_RATIO);
        let is_early = message.first_uncertain_attempt.is_none() && now < early_until;
        let ratio = if is_early { EARLY_SHED_COST_VALUE_RATIO } else { 0.0 };
        ratio * message_value::full(&self.settings, message)
    }

    /// Adds an accepted message to the queue of its destination.
    pub(super) fn on_message_accepted(&mut self, now: Time, accepted: AcceptedMessage) {
        let is_over_quota = self.quotas.charge(&self.settings, now, accepted.tenant);
        let Some(mut message) = Message::new(&self.settings, now, accepted, is_over_quota) else { return };
        self.last_seq += 1;
        message.seq = self.last_seq;
        let AcceptedMessage { id, destination, deadline, .. } = message.accepted;
        if let Some(key) = message.ordering_key(&self.settings) {
            self.ordering.push(key, id);
        }
        self.deadlines.insert(Deadline { at: deadline, message: id });
        let queue_state = self.queue_state(&message);
        self.queues.entry(destination).or_default().push(message.seq, id, queue_state);
        self.open_messages += 1;
        self.mark_destination_changed(destination);
        self.record_demand(now, destination);
        self.messages.insert(id, message);
    }

    /// Returns how long a client should wait before it enqueues a rejected message for this destination
    /// again.
    pub fn suggested_retry_after(&mut self, now: Time, destination: DestinationId) -> Duration {
        let waiting_messages = self.queues.get(&destination).map_or(0, Queue::len) as f64;
        let routes: Vec<RouteId> =
            self.routes.range(RouteId::all_of(destination)).map(|(id, _)| *id).collect();
        let rate_per_sec: f64 = routes.iter().map(|id| self.rate_per_sec(now, *id)).sum();
        let waits = routes.iter().map(|id| self.routes[id].retry_after.remaining(now));
        let shortest_wait = waits.min().unwrap_or_default();
        let objective_secs = shortest_objective_secs(&self.settings);
        retry_after::suggested_delay(objective_secs, waiting_messages, rate_per_sec, shortest_wait)
    }

    /// Returns the final outcome that a message may get now; none if it has one already.
    fn final_outcome(&mut self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|message| !message.is_completed)?;
        let destination = message.accepted.destination;
        if idempotency::is_safe_to_reject(&self.settings, message) {
            let retry_after = self.suggested_retry_after(now, destination);
            Some(Action::Reject { message: id, retry_after })
        } else {
            Some(Action::ReportFailure { message: id })
        }
    }

    /// Gives up a message and reports its final outcome.
    fn give_up(&mut self, now: Time, id: MessageId) {
        let outcome = self.final_outcome(now, id);
        if let Some(message) = self.messages.get_mut(&id).filter(|_| outcome.is_some()) {
            message.awaits_acknowledgement = self.settings.outcomes_need_acknowledgement;
        }
        self.actions.extend(outcome);
        self.complete_message(id);
    }

    /// Gives up the messages whose deadline, or last time for sending, has passed. A message in flight may
    /// still be delivered during the first half of the grace period for final outcomes.
    pub(super) fn give_up_expired(&mut self, now: Time) {
        while let Some(deadline) = self.deadlines.first().copied().filter(|deadline| deadline.at <= now) {
            self.deadlines.remove(&deadline);
            let id = deadline.message;
            let Some(message) = self.messages.get(&id).filter(|message| !message.is_completed) else {
                continue;
            };
            let give_up_at = message.accepted.deadline + self.settings.limits.final_outcome_grace / 2;
            if message.call.is_some() && now < give_up_at {
                self.deadlines.insert(Deadline { at: give_up_at, message: id });
            } else {
                self.give_up(now, id);
            }
        }
    }

    /// Gives up the messages of least value while the gateway is nearly full, before new messages have to be
    /// rejected whatever their value.
    pub(super) fn shed_load(&mut self, now: Time) {
        while self.open_messages > self.max_open_messages() {
            let Some(id) = self.least_valuable(now).map(|least| least.message.accepted.id) else { return };
            self.give_up(now, id);
        }
    }

    fn max_open_messages(&self) -> usize {
        (self.settings.max_pending_messages as f64 * SHED_ABOVE_RATIO) as usize
    }

    /// Returns the message of least value that is not in flight and may be shed; of several the youngest.
    fn least_valuable(&self, now: Time) -> Option<LeastValuable<'_>> {
        self.messages
            .values()
            .filter(|message| !message.is_completed && message.call.is_none() && !message.is_protected())
            .map(|message| {
                let value = message_value::current(&self.settings, now, message);
                LeastValuable { value, message }
            })
            .min_by(|a, b| {
                let by_age = b.message.accepted.id.cmp(&a.message.accepted.id);
                a.value.total_cmp(&b.value).then(by_age)
            })
    }
}
