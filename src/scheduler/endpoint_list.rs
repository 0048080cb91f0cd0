//! Applies changes of the endpoint list to endpoints and routes, and restarts the watch on the list.

use super::circuit_breaker::CircuitBreaker;
use super::rate_limit::RateLimit;
use super::route::Route;
use super::state::ready_index::keep_earliest;
use super::state::TrackedEndpoint;
use super::Scheduler;
use crate::model::*;

impl Scheduler {
    /// Applies a result of the watch on the list.
    pub(super) fn on_endpoints_updated(&mut self, now: Time, update: EndpointUpdate) {
        match update {
            EndpointUpdate::WatchFailed => self.watch_backoff.on_failed(now),
            EndpointUpdate::WatchRejected => {
                self.watch_backoff.on_rejected(now, &self.settings, self.rng.f64());
            }
            EndpointUpdate::Delta(entries) => self.apply_entries(now, entries),
            EndpointUpdate::Snapshot(entries) => {
                // An endpoint that is not in the snapshot gets no new calls from now on.
                for endpoint in self.endpoints.values_mut() {
                    endpoint.entry.availability = Availability::Removed;
                }
                self.ready_index.removed_endpoints = self.endpoints.keys().copied().collect();
                self.ready_index.must_visit_all = true;
                self.apply_entries(now, entries);
            }
        }
    }

    fn apply_entries(&mut self, now: Time, entries: Vec<Endpoint>) {
        self.ready_index.work_counters.endpoints_visited += entries.len() as u64;
        for entry in entries {
            self.apply_entry(now, entry);
        }
        self.ready_index.work_counters.endpoints_visited += self.ready_index.removed_endpoints.len() as u64;
        let has_no_calls =
            |id: &&EndpointId| self.endpoints.get(id).is_none_or(|endpoint| endpoint.calls_in_flight == 0);
        for id in self.ready_index.removed_endpoints.iter().filter(has_no_calls).copied().collect::<Vec<_>>()
        {
            self.delete_endpoint(id);
        }
    }

    fn apply_entry(&mut self, now: Time, entry: Endpoint) {
        let previous_destination = self.endpoints.get(&entry.id).map(|endpoint| endpoint.entry.destination);
        if entry.availability == Availability::Removed && previous_destination.is_none() {
            return;
        }
        previous_destination
            .into_iter()
            .chain([entry.destination])
            .for_each(|destination| self.mark_destination_changed(destination));
        if entry.availability == Availability::Removed {
            self.ready_index.removed_endpoints.insert(entry.id);
        } else {
            self.ready_index.removed_endpoints.remove(&entry.id);
        }
        let kind = self.settings.destination_kinds.get(usize::from(entry.kind.0));
        let batch_size = kind.map_or(1, |kind| kind.max_batch_size.max(1));
        let random_fraction = self.rng.f64();
        let route = self.routes.entry(self.route_of(&entry)).or_insert_with(|| Route {
            rate_limit: RateLimit::new(now, &self.settings, &entry, random_fraction),
            latency: self.latency,
            circuit: CircuitBreaker::new(now),
            ..Route::default()
        });
        route.rate_limit.adopt_listed_limit(&self.settings, &entry);
        route.batch_size = batch_size;
        if let Some(endpoint) = self.endpoints.get_mut(&entry.id) {
            endpoint.entry = entry;
            return;
        }
        route.endpoints.push(entry.id);
        let tie_breaker = self.rng.u32(..);
        self.endpoints.insert(entry.id, TrackedEndpoint::new(entry, tie_breaker));
    }

    /// Deletes a removed endpoint that has no call in flight. The state of its route stays, except if the
    /// endpoint was a route of its own.
    pub(super) fn delete_endpoint(&mut self, id: EndpointId) {
        self.ready_index.removed_endpoints.remove(&id);
        let Some(endpoint) = self.endpoints.remove(&id) else { return };
        self.mark_destination_changed(endpoint.entry.destination);
        let route_id = self.route_of(&endpoint.entry);
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        route.endpoints.retain(|endpoint| *endpoint != id);
        if route_id.endpoint.is_some() {
            self.routes.remove(&route_id);
            self.schedule_response_check(route_id);
            self.ready_index.changed_circuits.insert(route_id);
        }
    }

    /// Restarts the watch on the list once its backoff has elapsed.
    pub(super) fn restart_watch(&mut self, now: Time, next: &mut Option<Time>) {
        if self.watch_backoff.take_due(now) {
            self.actions.push(Action::WatchEndpoints { is_active: true });
        }
        keep_earliest(next, self.watch_backoff.retry_at());
    }
}
