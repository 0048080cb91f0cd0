//! What a courier tells of itself: to its next process, to the log, to measurements. It decides nothing.

use super::*;

impl Scheduler {
    /// The waits that were told and are not over, by one endpoint of each route.
    pub fn retry_after_delays(&self, now: Time) -> impl Iterator<Item = (EndpointId, Duration)> + '_ {
        let waiting = self.routes.values().filter(move |route| route.retry_after.is_pending(now));
        waiting.filter_map(move |route| Some((*route.endpoints.first()?, route.retry_after.remaining(now))))
    }

    /// Whether operators are emptying it.
    pub fn is_lame_duck(&self) -> bool {
        self.lame_since.is_some()
    }

    /// All that is to be remembered of outages over a restart.
    pub fn circuit_records(&self) -> impl Iterator<Item = CircuitRecord> + '_ {
        self.routes.keys().filter_map(|id| self.outage(*id))
    }

    /// What is to be remembered of the routes where that has changed since this was asked last. One that has not
    /// may be among them.
    pub fn take_circuit_changes(&mut self) -> Vec<CircuitChange> {
        let changed = std::mem::take(&mut self.agenda.circuit_records);
        self.agenda.work.routes += changed.len() as u64;
        let change = |id: RouteId| CircuitChange {
            destination: id.destination,
            endpoint: id.endpoint,
            record: self.outage(id),
        };
        changed.into_iter().map(change).collect()
    }

    fn outage(&self, id: RouteId) -> Option<CircuitRecord> {
        let route = self.routes.get(&id).filter(|route| route.has_circuit_record())?;
        Some(CircuitRecord {
            destination: id.destination,
            endpoint: id.endpoint,
            last_success_at: route.circuit.last_success_at(),
            failure_score: route.circuit.failure_score(),
            calls_lost: route.circuit.calls_lost(),
            slow_start_since: route.slow_start.since(),
            baseline_rate: route.traffic.baseline_per_sec(),
        })
    }

    /// The destination with the longest queue, how many wait there, and what holds them up.
    pub fn longest_queue(&mut self, now: Time) -> Option<(DestinationId, usize, Vec<RouteStatus>)> {
        let (to, queue) = self.queues.iter().max_by_key(|(_, queue)| queue.len())?;
        let (to, waiting) = (*to, queue.len());
        let routes: Vec<RouteId> = self.routes.range(RouteId::all_of(to)).map(|(id, _)| *id).collect();
        let state = |id: RouteId| {
            let pace = self.pace(now, id);
            let route = &self.routes[&id];
            RouteStatus {
                endpoint: id.endpoint,
                in_flight: route.calls.len(),
                rate_limit_per_sec: pace,
                retry_after: route.retry_after.remaining(now),
                circuit_open: route.circuit.is_open(),
            }
        };
        Some((to, waiting, routes.into_iter().map(state).collect()))
    }

    /// How much was looked at so far.
    pub fn work(&self) -> WorkCounters {
        self.agenda.work
    }
}
