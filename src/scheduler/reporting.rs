//! Reports the scheduler's state: for the gateway's next process, for the log and for measurements.

use super::state::ready_index::WorkCounters;
use super::state::RouteId;
use super::Scheduler;
use crate::model::*;
use std::time::Duration;

impl Scheduler {
    /// Returns the remaining time of each Retry-After, with one endpoint of its route.
    pub fn retry_after_delays(&self, now: Time) -> impl Iterator<Item = (EndpointId, Duration)> + '_ {
        let waiting = self.routes.values().filter(move |route| route.retry_after.is_pending(now));
        waiting.filter_map(move |route| Some((*route.endpoints.first()?, route.retry_after.remaining(now))))
    }

    /// Returns whether operators have switched this gateway to lame duck mode.
    pub fn is_lame_duck(&self) -> bool {
        self.lame_duck.is_active()
    }

    /// Returns the circuit records of all routes that have one, to be kept across a restart.
    pub fn circuit_records(&self) -> impl Iterator<Item = CircuitRecord> + '_ {
        self.routes.keys().filter_map(|id| self.circuit_record(*id))
    }

    /// Returns the circuit records that have changed since the last call. Routes where nothing has changed
    /// may be among them.
    pub fn take_circuit_changes(&mut self) -> Vec<CircuitChange> {
        let changed = std::mem::take(&mut self.ready_index.changed_circuits);
        self.ready_index.work_counters.circuits_compared += changed.len() as u64;
        let to_change = |id: RouteId| CircuitChange {
            destination: id.destination,
            endpoint: id.endpoint,
            record: self.circuit_record(id),
        };
        changed.into_iter().map(to_change).collect()
    }

    fn circuit_record(&self, id: RouteId) -> Option<CircuitRecord> {
        let route = self.routes.get(&id).filter(|route| route.has_circuit_record())?;
        Some(CircuitRecord {
            destination: id.destination,
            endpoint: id.endpoint,
            last_success_at: route.circuit.last_success_at(),
            failure_score: route.circuit.failure_score(),
            has_lost_calls: route.circuit.has_lost_calls(),
            slow_start_since: route.slow_start.since(),
            baseline_per_sec: route.traffic.baseline_per_sec(),
        })
    }

    /// Returns the destination with the longest queue, the number of messages in it (including those in
    /// flight) and the status of the destination's routes; none if all queues are empty.
    pub fn longest_queue(&mut self, now: Time) -> Option<(DestinationId, usize, Vec<RouteStatus>)> {
        let (destination, queue) = self.queues.iter().max_by_key(|(_, queue)| queue.len())?;
        let (destination, queue_length) = (*destination, queue.len());
        let routes: Vec<RouteId> =
            self.routes.range(RouteId::all_of(destination)).map(|(id, _)| *id).collect();
        let statuses = routes.into_iter().map(|id| self.route_status(now, id)).collect();
        Some((destination, queue_length, statuses))
    }

    fn route_status(&mut self, now: Time, id: RouteId) -> RouteStatus {
        let rate_limit_per_sec = self.rate_per_sec(now, id);
        let route = &self.routes[&id];
        RouteStatus {
            endpoint: id.endpoint,
            in_flight: route.calls.len(),
            rate_limit_per_sec,
            retry_after: route.retry_after.remaining(now),
            circuit_open: route.circuit.is_open(),
        }
    }

    /// Returns how much work all steps so far have done.
    pub fn work_counters(&self) -> WorkCounters {
        self.ready_index.work_counters
    }
}
