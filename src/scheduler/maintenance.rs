//! Keeps the books and the agenda in step: what a change touches, what is over and can be forgotten. It decides
//! nothing.

use super::state::queue::{Lane, Standing};
use super::*;

impl Scheduler {
    /// Which calls would be over in time goes by the moment: until the end all is looked at in each step.
    pub(super) fn on_closing(&mut self, at: Time) {
        (self.closing, self.agenda.all) = ((at < Time(u64::MAX)).then_some(at), true);
    }

    /// What may be sent to a destination now. If nothing may, it is not looked at again before that changes.
    pub(super) fn look_at(
        &mut self,
        now: Time,
        to: DestinationId,
        next: &mut Option<Time>,
    ) -> Option<Candidate> {
        if !self.queues.contains_key(&to) {
            self.agenda.forget(to);
            return None;
        }
        let mut look = Look::default();
        let found = self.candidate(now, to, &mut look);
        earliest(next, look.wake);
        self.agenda.work.destinations += 1;
        if found.is_none() && !look.always {
            self.agenda.park(to, &look);
        } else {
            self.touch(to);
        }
        found
    }

    /// Something has changed at a destination. Until the last look its routes were as they had been parked.
    pub(super) fn touch(&mut self, to: DestinationId) {
        self.agenda.touch(to);
        for (_, route) in self.routes.range_mut(RouteId::all_of(to)) {
            route.rate_limit.settle(self.last_round);
        }
    }

    /// How a message stands in its queue: one that was never tried differs from its like in its age alone.
    pub(super) fn standing(&self, message: &Message) -> Standing {
        let turns = message.ordering_key(&self.settings).is_some();
        if message.call.is_some() {
            Standing::Out
        } else if turns
            || message.first_uncertain_attempt.is_some()
            || message.attempts >= self.settings.max_attempts
        {
            Standing::Apart
        } else {
            let lane = (message.accepted.class, message.over_quota);
            Standing::Among { lane, born: message.enqueued_at, not_before: message.not_before }
        }
    }

    /// To be told whenever what `standing` goes by has changed.
    pub(super) fn restand(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let (seq, to, standing) = (message.seq, message.accepted.destination, self.standing(message));
        if let Some(queue) = self.queues.get_mut(&to) {
            queue.stands(seq, standing);
        }
    }

    /// Of a long queue, some messages of which one is the best. With `unsafe_apart`, all that may not be repeated.
    pub(super) fn best_of_many(
        &mut self,
        now: Time,
        to: DestinationId,
        unsafe_apart: bool,
    ) -> Option<Vec<MessageId>> {
        let mut queue = std::mem::take(self.queues.get_mut(&to)?);
        let standing = |id| self.messages.get(&id).map_or(Standing::Out, |message| self.standing(message));
        let index = queue.take_index(standing);
        let best = index.map(|mut index| {
            let class = |lane: Lane| &self.settings.classes[usize::from(lane.0 .0)];
            let stage = |lane: Lane, born: Time| {
                let (age, latency_objective) =
                    ((now - born).as_secs_f64(), class(lane).latency_objective.as_secs_f64());
                let value = |age: f64| RemainingValue::at_age(class(lane), self.settings.decay, age).stage;
                value(age) + value(age + latency_objective)
            };
            index.advance(now, stage);
            let best = index
                .candidates(|lane| unsafe_apart && class(lane).idempotency == Idempotency::NonIdempotent);
            queue.give_back(index);
            best
        });
        self.agenda.work.messages += best.as_ref().map_or(queue.len(), Vec::len) as u64;
        self.queues.insert(to, queue);
        best
    }

    /// The calls of a route stall in the order in which they were sent.
    pub(super) fn oldest_not_stalled(&mut self, id: RouteId) -> Option<u64> {
        let calls = self.routes.get(&id)?.calls.iter();
        let waiting = |call: &&u64| self.calls.get(call).is_some_and(|call| !call.stalled);
        let (skipped, found) = calls.enumerate().find(|(_, call)| waiting(call))?;
        self.agenda.work.calls += 1 + skipped as u64;
        Some(*found)
    }

    pub(super) fn plan_stall(&mut self, id: RouteId) {
        let sent = self.oldest_not_stalled(id).map(|call| self.calls[&call].sent);
        let at = sent.map(|sent| sent + self.stall_patience(id));
        self.agenda.stalls.set(id, at);
    }

    /// Makes the agenda anew from the books: all is to be looked at.
    pub(super) fn rebuild_agenda(&mut self) {
        self.routes.values_mut().for_each(|route| route.rate_limit.settle(self.last_round));
        self.agenda = Agenda::default();
        self.agenda.all = true;
        let hanging = self.calls.iter().filter(|(_, call)| call.stalled && !call.called_off);
        self.agenda.hanging = hanging.map(|(id, _)| *id).collect();
        let gone = self.addresses.values().filter(|address| address.entry.mode == Availability::Removed);
        self.agenda.gone = gone.map(|address| address.entry.id).collect();
        self.agenda.circuit_records = self.routes.keys().copied().filter(|id| self.is_noted(*id)).collect();
        let calling = self.routes.iter().filter(|(_, route)| !route.calls.is_empty());
        calling.map(|(id, _)| *id).collect::<Vec<_>>().into_iter().for_each(|id| self.plan_stall(id));
    }

    /// Whether something of a route is to be remembered over a restart.
    pub(super) fn is_noted(&self, id: RouteId) -> bool {
        self.routes.get(&id).is_some_and(Route::has_circuit_record)
    }

    /// Forgets an endpoint that is gone and has no call out. What was learnt of its destination stays, except
    /// where it was a route of its own.
    pub(super) fn forget_address(&mut self, id: EndpointId) {
        self.agenda.gone.remove(&id);
        let Some(address) = self.addresses.remove(&id) else { return };
        self.touch(address.entry.destination);
        let route_id = self.route_of(&address.entry);
        if let Some(route) = self.routes.get_mut(&route_id) {
            route.endpoints.retain(|endpoint| *endpoint != id);
            if route_id.endpoint.is_some() {
                self.routes.remove(&route_id);
                self.plan_stall(route_id);
                self.agenda.circuit_records.insert(route_id);
            }
        }
    }

    pub(super) fn close(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|m| !m.completed) {
            message.completed = true;
            self.open -= 1;
            self.deadlines.remove(&(message.accepted.deadline, id));
            let to = message.accepted.destination;
            if let Some(queue) = self.queues.get_mut(&to) {
                queue.remove(message.seq);
                if queue.is_empty() {
                    self.queues.remove(&to);
                }
            }
            self.touch(to);
        }
        self.forget_if_over(id);
    }

    /// A message is forgotten once it is answered and has nothing out; until then its key stays taken.
    pub(super) fn forget_if_over(&mut self, id: MessageId) {
        if self.messages.get(&id).is_none_or(|m| !m.completed || m.awaits_acknowledgement || m.call.is_some())
        {
            return;
        }
        if let Some(key) = self.messages.remove(&id).and_then(|m| m.accepted.key) {
            // The next of its key has its turn now, wherever it goes.
            let next = self.ordering.remove(key, id).and_then(|next| self.messages.get(&next));
            let to = next.map(|message| message.accepted.destination);
            to.into_iter().for_each(|to| self.touch(to));
        }
    }

    pub(super) fn note_demand(&mut self, now: Time, to: DestinationId) {
        for (_, route) in self.routes.range_mut(RouteId::all_of(to)) {
            route.traffic.record_demand(now, &self.settings);
        }
    }

    pub(super) fn calls_to(&self, destination: DestinationId) -> usize {
        self.routes.range(RouteId::all_of(destination)).map(|(_, route)| route.calls.len()).sum()
    }
}
