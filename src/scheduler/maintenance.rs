//! Keeps the state and its indexes consistent: marks what a change affects, and deletes what is no longer
//! needed.

use super::route::Route;
use super::state::queue::{MessageGroup, QueueState};
use super::state::ready_index::ReadyIndex;
use super::state::{Message, RouteId};
use super::{Deadline, Scheduler};
use crate::model::*;

impl Scheduler {
    /// Marks a destination as changed, so that the next step with a free slot visits it. Refills the token
    /// buckets of its routes as visits up to the last step would have done.
    pub(super) fn mark_destination_changed(&mut self, destination: DestinationId) {
        self.ready_index.mark_changed(destination);
        for (_, route) in self.routes.range_mut(RouteId::all_of(destination)) {
            route.rate_limit.refill_until(self.slots_filled_at);
        }
    }

    /// Returns the queue state of a message. Unordered messages of a class for which no attempt may have run,
    /// and which have attempts left, differ only in their age and in whether they are over quota.
    pub(super) fn queue_state(&self, message: &Message) -> QueueState {
        if message.call.is_some() {
            return QueueState::InFlight;
        }
        if message.ordering_key(&self.settings).is_some()
            || message.first_uncertain_attempt.is_some()
            || message.attempts >= self.settings.max_attempts
        {
            return QueueState::Individual;
        }
        QueueState::Grouped {
            group: MessageGroup { class: message.accepted.class, is_over_quota: message.is_over_quota },
            enqueued_at: message.enqueued_at,
            not_before: message.not_before,
        }
    }

    /// Updates the queue state of a message. Must be called whenever that state may have changed.
    pub(super) fn update_queue_state(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let queue_state = self.queue_state(message);
        if let Some(queue) = self.queues.get_mut(&message.accepted.destination) {
            queue.set_queue_state(message.seq, queue_state);
        }
    }

    /// Records a message as demand for each route of its destination.
    pub(super) fn record_demand(&mut self, now: Time, destination: DestinationId) {
        for (_, route) in self.routes.range_mut(RouteId::all_of(destination)) {
            route.traffic.record_demand(now, &self.settings);
        }
    }

    /// Returns whether a route has state that must be kept across a restart.
    pub(super) fn has_circuit_record(&self, id: RouteId) -> bool {
        self.routes.get(&id).is_some_and(Route::has_circuit_record)
    }

    /// Marks a message as completed and removes it from its queue: it has its final outcome, or its client
    /// has abandoned it.
    pub(super) fn complete_message(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|message| !message.is_completed) {
            message.is_completed = true;
            self.open_messages -= 1;
            self.deadlines.remove(&Deadline { at: message.accepted.deadline, message: id });
            let destination = message.accepted.destination;
            if let Some(queue) = self.queues.get_mut(&destination) {
                queue.remove(message.seq);
                if queue.is_empty() {
                    self.queues.remove(&destination);
                }
            }
            self.mark_destination_changed(destination);
        }
        self.delete_if_settled(id);
    }

    /// Records that the client has acknowledged the final outcome of a message.
    pub(super) fn on_outcome_acknowledged(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.awaits_acknowledgement = false;
        }
        self.delete_if_settled(id);
    }

    /// Deletes a message once it is completed, no acknowledgement of its final outcome is awaited and no
    /// attempt is in flight. Until then it keeps its ordering key.
    pub(super) fn delete_if_settled(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if !message.is_completed || message.awaits_acknowledgement || message.call.is_some() {
            return;
        }
        let key = message.accepted.key;
        self.messages.remove(&id);
        // The next message of the key may be sent now, possibly to another destination.
        let next = key.and_then(|key| self.ordering.remove(key, id));
        if let Some(next) = next.and_then(|next| self.messages.get(&next)) {
            self.mark_destination_changed(next.accepted.destination);
        }
    }

    /// Rebuilds the indexes from the state. The next step with a free slot visits all destinations.
    pub(super) fn rebuild_ready_index(&mut self) {
        for route in self.routes.values_mut() {
            route.rate_limit.refill_until(self.slots_filled_at);
        }
        self.ready_index = ReadyIndex::default();
        self.ready_index.must_visit_all = true;
        let unresponsive = self.calls.iter().filter(|(_, call)| call.is_unresponsive && !call.is_cancelled);
        self.ready_index.unresponsive_calls = unresponsive.map(|(id, _)| *id).collect();
        let removed = self.endpoints.values().filter(|endpoint| endpoint.is_removed());
        self.ready_index.removed_endpoints = removed.map(|endpoint| endpoint.entry.id).collect();
        let with_record = self.routes.iter().filter(|(_, route)| route.has_circuit_record());
        self.ready_index.changed_circuits = with_record.map(|(id, _)| *id).collect();
        let with_calls = self.routes.iter().filter(|(_, route)| !route.calls.is_empty());
        for id in with_calls.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.schedule_response_check(id);
        }
    }
}
