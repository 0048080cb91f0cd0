//! What a courier tells of itself: to its next process, to the log, to measurements. It decides nothing.

use super::*;

impl Scheduler {
    /// The waits that were told and are not over, by one endpoint of each route.
    pub fn retry_after_delays(&self, now: Time) -> impl Iterator<Item = (EndpointId, Duration)> + '_ {
        let waiting = self.routes.values().filter(move |route| route.told_wait > now);
        waiting.filter_map(move |route| Some((*route.endpoints.first()?, route.told_wait - now)))
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
        let told = |id: RouteId| CircuitChange { destination: id.0, endpoint: id.1, record: self.outage(id) };
        changed.into_iter().map(told).collect()
    }

    fn outage(&self, id: RouteId) -> Option<CircuitRecord> {
        let route = self.routes.get(&id).filter(|_| self.is_noted(id))?;
        Some(CircuitRecord {
            destination: id.0,
            endpoint: id.1,
            last_success_at: route.spell.as_ref().map_or(route.last_answer, |spell| spell.began),
            failure_score: route.failure_score,
            calls_lost: route.spell.as_ref().map(|spell| spell.lost),
            slow_start_since: route.returned,
            baseline_rate: route.share,
        })
    }

    /// The destination with the longest queue, how many wait there, and what holds them up.
    pub fn longest_queue(&mut self, now: Time) -> Option<(DestinationId, usize, Vec<RouteStatus>)> {
        let (to, queue) = self.queues.iter().max_by_key(|(_, queue)| queue.len())?;
        let (to, waiting) = (*to, queue.len());
        let routes: Vec<RouteId> = self.routes.range(routes_of(to)).map(|(id, _)| *id).collect();
        let state = |id: RouteId| {
            let pace = self.pace(now, id);
            let route = &self.routes[&id];
            let (wait, sick) = (route.told_wait - now, route.spell.is_some());
            RouteStatus {
                endpoint: id.1,
                in_flight: route.out.len(),
                rate_limit_per_sec: pace,
                retry_after: wait,
                circuit_open: sick,
            }
        };
        Some((to, waiting, routes.into_iter().map(state).collect()))
    }

    /// How much was looked at so far.
    pub fn work(&self) -> WorkCounters {
        self.agenda.work
    }
}
