//! Assigns free call slots: chooses the destination that gets a slot, and the message, route and endpoint of
//! its call.
//!
//! A free slot goes to the waiting destination with the fewest calls in flight; of several, to the one whose
//! best message has the highest value per second for which it occupies the slot. A destination is visited
//! only when something has changed there, or when its last visit requested it ([`Revisit`]).

use super::derived_settings::warm_up_secs;
use super::state::queue::Queue;
use super::state::ready_index::{keep_earliest, Revisit};
use super::state::RouteId;
use super::Scheduler;
use crate::model::*;
use std::cmp::Ordering;
use std::time::Duration;

/// The maximum age of a message that waits for a cheaper route, as a ratio of its latency objective. The rest
/// of the objective is needed for the call.
const MAX_COST_WAIT_OBJECTIVE_RATIO: f64 = 0.25;

/// A call that may be started now.
struct Candidate {
    route: RouteId,
    endpoint: EndpointId,
    message: MessageId,
    /// Value of the message per second for which the call occupies its slot.
    value_per_sec: f64,
}

/// A destination to which a call may be started now.
struct ReadyDestination {
    destination: DestinationId,
    value_per_sec: f64,
}

/// The cheapest healthy route that can take a call later, but not now.
#[derive(Clone, Copy)]
struct CheaperRoute {
    cost: f64,
    free_at: Time,
    messages_per_sec: f64,
}

impl Scheduler {
    /// Returns the number of free call slots.
    pub(super) fn free_slots(&self) -> usize {
        self.settings.max_in_flight_calls.saturating_sub(self.calls.len())
    }

    /// Starts calls until no slot is free or nothing may be sent. Lowers `next` to the time of the next visit
    /// if that is earlier.
    pub(super) fn fill_free_slots(&mut self, now: Time, next: &mut Option<Time>) {
        if self.free_slots() == 0 {
            return;
        }
        let mut to_visit = self.ready_index.take_destinations_to_visit(now, self.free_slots());
        if self.shutdown.is_scheduled() || std::mem::take(&mut self.ready_index.must_visit_all) {
            to_visit.extend(self.queues.keys());
        }
        let mut ready: Vec<ReadyDestination> = Vec::new();
        for destination in to_visit {
            ready.extend(self.ready_destination(now, destination, next));
        }
        keep_earliest(next, self.ready_index.next_send_at());
        while self.free_slots() > 0 {
            let best = (0..ready.len()).min_by(|a, b| self.compare_for_slot(&ready[*a], &ready[*b]));
            let Some(best) = best else { break };
            let destination = ready.swap_remove(best).destination;
            // Other calls may have started since the destination was found ready, so it may have to wait now.
            let Some(candidate) = self.find_candidate_or_defer(now, destination, next) else { continue };
            self.start_call(now, candidate.route, candidate.endpoint, candidate.message);
            ready.extend(self.ready_destination(now, destination, next));
        }
        self.slots_filled_at = now;
    }

    /// Orders destinations by calls in flight, the fewest first, then by the value per second of their
    /// candidate, the highest first.
    fn compare_for_slot(&self, a: &ReadyDestination, b: &ReadyDestination) -> Ordering {
        let by_calls = self.calls_in_flight_to(a.destination).cmp(&self.calls_in_flight_to(b.destination));
        by_calls.then(b.value_per_sec.total_cmp(&a.value_per_sec))
    }

    fn calls_in_flight_to(&self, destination: DestinationId) -> usize {
        self.routes.range(RouteId::all_of(destination)).map(|(_, route)| route.calls.len()).sum()
    }

    fn ready_destination(
        &mut self,
        now: Time,
        destination: DestinationId,
        next: &mut Option<Time>,
    ) -> Option<ReadyDestination> {
        let value_per_sec = self.find_candidate_or_defer(now, destination, next)?.value_per_sec;
        Some(ReadyDestination { destination, value_per_sec })
    }

    /// Returns the candidate of a destination. If it has none, the destination is not visited again until
    /// that can have changed.
    fn find_candidate_or_defer(
        &mut self,
        now: Time,
        destination: DestinationId,
        next: &mut Option<Time>,
    ) -> Option<Candidate> {
        if !self.queues.contains_key(&destination) {
            self.ready_index.remove(destination);
            return None;
        }
        let mut revisit = Revisit::default();
        let candidate = self.find_candidate(now, destination, &mut revisit);
        keep_earliest(next, revisit.send_at);
        self.ready_index.work_counters.destinations_visited += 1;
        if candidate.is_none() && !revisit.at_every_step {
            self.ready_index.schedule_revisit(destination, &revisit);
        } else {
            self.mark_destination_changed(destination);
        }
        candidate
    }

    /// Returns the best message of a destination that may be sent now, by the cheapest route that can take
    /// it. If there is none, sets in `revisit` when to try again.
    fn find_candidate(
        &mut self,
        now: Time,
        destination: DestinationId,
        revisit: &mut Revisit,
    ) -> Option<Candidate> {
        let mut cheaper_route: Option<CheaperRoute> = None;
        for (cost, route) in self.routes_by_cost(destination) {
            let free_at = self.route_free_at(now, route, revisit);
            if free_at.is_none_or(|at| at > now) {
                keep_earliest(&mut revisit.send_at, free_at);
                let messages_per_sec = self.messages_per_sec_if_healthy(now, route);
                if let (None, Some(free_at), Some(messages_per_sec)) =
                    (cheaper_route, free_at, messages_per_sec)
                {
                    cheaper_route = Some(CheaperRoute { cost, free_at, messages_per_sec });
                }
                continue;
            }
            let zones: Vec<ZoneId> =
                self.eligible_endpoints(route).map(|endpoint| endpoint.entry.zone).collect();
            let Some(chosen) = self.choose_message(now, route, &zones, revisit) else { continue };
            if let Some(cheaper_route) = cheaper_route.filter(|cheaper_route| cheaper_route.cost < cost) {
                if self.can_wait_for(&cheaper_route, destination, chosen.id) {
                    // The best message, and with it how long it can wait, changes all the time.
                    revisit.at_every_step = true;
                    keep_earliest(&mut revisit.send_at, Some(cheaper_route.free_at));
                    continue;
                }
            }
            let Some(endpoint) = self.select_endpoint(now, route, chosen.id) else { continue };
            let call_secs = self.routes[&route].latency.mean_secs().max(0.001);
            let value_per_sec = chosen.value / call_secs;
            return Some(Candidate { route, endpoint, message: chosen.id, value_per_sec });
        }
        None
    }

    fn routes_by_cost(&self, destination: DestinationId) -> Vec<(f64, RouteId)> {
        let routes = self.routes.range(RouteId::all_of(destination));
        let mut routes: Vec<(f64, RouteId)> = routes.map(|(id, _)| (self.cost(*id), *id)).collect();
        routes.sort_by(|a, b| a.0.total_cmp(&b.0));
        routes
    }

    /// Returns the messages per second that a route can take; none if it is recovering or has no eligible
    /// endpoint.
    fn messages_per_sec_if_healthy(&mut self, now: Time, id: RouteId) -> Option<f64> {
        let calls_per_sec = self.rate_per_sec(now, id);
        let route = self.routes.get(&id)?;
        let is_healthy = !route.is_recovering() && self.eligible_endpoints(id).next().is_some();
        is_healthy.then_some(calls_per_sec * route.batch_size as f64)
    }

    /// Returns whether a message can wait for a cheaper route. It can only if that route can take the whole
    /// queue, including the messages in flight, in time: otherwise the capacity of the more expensive route
    /// would be wasted.
    fn can_wait_for(
        &self,
        cheaper_route: &CheaperRoute,
        destination: DestinationId,
        message: MessageId,
    ) -> bool {
        let waiting_messages = self.queues.get(&destination).map_or(0, Queue::len) as f64;
        let queue_secs = waiting_messages / cheaper_route.messages_per_sec.max(0.001);
        let served_at =
            cheaper_route.free_at + Duration::from_secs_f64(queue_secs.min(warm_up_secs(&self.settings)));
        self.messages.get(&message).is_some_and(|message| {
            let objective = message.class(&self.settings).latency_objective;
            served_at < message.enqueued_at + objective.mul_f64(MAX_COST_WAIT_OBJECTIVE_RATIO)
        })
    }
}
