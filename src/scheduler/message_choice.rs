//! Chooses the waiting message of a destination that is sent next, and decides when a message may be sent at
//! all.

use super::idempotency;
use super::loss_ratio;
use super::message_value;
use super::state::queue::{MessageGroup, Queue, QueueState};
use super::state::ready_index::{keep_earliest, Revisit};
use super::state::{Message, RemainingValue, RouteId};
use super::Scheduler;
use crate::model::*;
use std::time::Duration;

/// A message that may be sent now, with its value.
#[derive(Clone, Copy)]
pub struct ChosenMessage {
    /// Id of the message.
    pub id: MessageId,
    /// Current value; see `message_value`.
    pub value: f64,
}

impl Scheduler {
    /// Returns the message of highest value that may be sent by a route to one of `zones` now. If there is
    /// none, sets in `revisit` when to try again. A half-open probe prefers a resendable message.
    pub(super) fn choose_message(
        &mut self,
        now: Time,
        route_id: RouteId,
        zones: &[ZoneId],
        revisit: &mut Revisit,
    ) -> Option<ChosenMessage> {
        // Losses that all routes have in common are no reason to wait.
        let baseline = self.connection_reuse.baseline_risk();
        let route = self.routes.get_mut(&route_id);
        let is_probe = route.as_ref().is_some_and(|route| route.circuit.is_open());
        let has_high_loss = route.is_some_and(|route| route.losses.is_high(now, &self.settings, baseline));
        let candidates = self.candidates_of_long_queue(now, route_id.destination, has_high_loss);
        let queue = if candidates.is_some() { None } else { self.queues.get(&route_id.destination) };
        let ids = candidates.into_iter().flatten().chain(queue.into_iter().flat_map(Queue::ids));
        let may_send_there = |message: &&Message| {
            zones.iter().any(|zone| idempotency::may_send_to_zone(&self.settings, message, *zone))
        };
        let mut best: Option<(bool, ChosenMessage)> = None;
        for message in ids.filter_map(|id| self.messages.get(&id)).filter(may_send_there) {
            let send_at = self.earliest_send_at(now, message);
            if send_at.is_none_or(|at| at > now) {
                keep_earliest(&mut revisit.send_at, send_at);
                // If its idempotency window ends before `send_at`, the message can never be sent.
                let expires_at = idempotency::last_send_at(&self.settings, message)
                    .map(|last_send_at| last_send_at + Duration::from_nanos(1));
                keep_earliest(&mut revisit.recheck_at, expires_at.filter(|_| send_at.is_some()));
                continue;
            }
            let class = message.class(&self.settings);
            let is_resendable = idempotency::is_resendable(class);
            let last_attempt_at = loss_ratio::last_attempt_at(class, message.accepted.deadline);
            if has_high_loss && !is_resendable && now < last_attempt_at {
                let recheck_at = now + loss_ratio::recheck_delay(&self.settings);
                revisit.at_every_step = true;
                keep_earliest(&mut revisit.send_at, Some(recheck_at.min(last_attempt_at)));
                continue;
            }
            let is_preferred = !is_probe || is_resendable;
            let value = message_value::current(&self.settings, now, message);
            if best.is_none_or(|(preferred, best)| (is_preferred, value) > (preferred, best.value)) {
                best = Some((is_preferred, ChosenMessage { id: message.accepted.id, value }));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Returns when a message may be sent: the condition that every attempt has to meet. None if that depends
    /// on some event, or if the message may never be sent again.
    fn earliest_send_at(&self, now: Time, message: &Message) -> Option<Time> {
        let last_send_at = idempotency::last_send_at(&self.settings, message);
        if message.is_completed || message.call.is_some() || last_send_at.is_some_and(|last| now > last) {
            return None;
        }
        let Some(key) = message.ordering_key(&self.settings) else { return Some(message.not_before) };
        let was_attempted = message.attempts > 0;
        let turn_at = self.ordering.earliest_send_at(key, message.accepted.id, was_attempted)?;
        Some(message.not_before.max(turn_at))
    }

    /// Returns candidates from a long queue, its best message among them; none if the queue is short. With
    /// `include_all_non_idempotent` they contain all non-idempotent messages.
    fn candidates_of_long_queue(
        &mut self,
        now: Time,
        destination: DestinationId,
        include_all_non_idempotent: bool,
    ) -> Option<Vec<MessageId>> {
        let mut queue = std::mem::take(self.queues.get_mut(&destination)?);
        let queue_state =
            |id| self.messages.get(&id).map_or(QueueState::InFlight, |message| self.queue_state(message));
        let index = queue.take_index(queue_state);
        let candidates = index.map(|mut index| {
            let class = |group: MessageGroup| &self.settings.classes[usize::from(group.class.0)];
            let stage = |group: MessageGroup, enqueued_at: Time| {
                let age_secs = (now - enqueued_at).as_secs_f64();
                let objective_secs = class(group).latency_objective.as_secs_f64();
                let stage_at =
                    |age_secs: f64| RemainingValue::at_age(class(group), self.settings.decay, age_secs).stage;
                stage_at(age_secs) + stage_at(age_secs + objective_secs)
            };
            index.advance(now, stage);
            let include_all_of =
                |group| include_all_non_idempotent && !idempotency::is_resendable(class(group));
            let candidates = index.candidates(include_all_of);
            queue.restore_index(index);
            candidates
        });
        self.ready_index.work_counters.messages_compared +=
            candidates.as_ref().map_or(queue.len(), Vec::len) as u64;
        self.queues.insert(destination, queue);
        candidates
    }
}
