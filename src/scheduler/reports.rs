//! What a courier tells of itself: to its next process, to the log, to measurements. It decides nothing.

use super::*;

impl Courier {
    /// The waits that were told and are not over, by one endpoint of each route.
    pub fn waits(&self, now: Time) -> impl Iterator<Item = (EndpointId, Duration)> + '_ {
        let waiting = self.routes.values().filter(move |route| route.told_wait > now);
        waiting.filter_map(move |route| Some((*route.endpoints.first()?, route.told_wait - now)))
    }

    /// Whether operators are emptying it.
    pub fn is_lame(&self) -> bool {
        self.lame_since.is_some()
    }

    /// All that is to be remembered of outages over a restart.
    pub fn outages(&self) -> impl Iterator<Item = Outage> + '_ {
        self.routes.keys().filter_map(|id| self.outage(*id))
    }

    /// What is to be remembered of the routes where that has changed since this was asked last. One that has not
    /// may be among them.
    pub fn changed_outages(&mut self) -> Vec<ChangedOutage> {
        let changed = std::mem::take(&mut self.agenda.outages);
        self.agenda.work.routes += changed.len() as u64;
        let told = |id: RouteId| ChangedOutage { destination: id.0, endpoint: id.1, outage: self.outage(id) };
        changed.into_iter().map(told).collect()
    }

    fn outage(&self, id: RouteId) -> Option<Outage> {
        let route = self.routes.get(&id).filter(|_| self.is_noted(id))?;
        Some(Outage {
            destination: id.0,
            endpoint: id.1,
            since: route.spell.as_ref().map_or(route.last_answer, |spell| spell.began),
            evidence: route.evidence,
            lost: route.spell.as_ref().map(|spell| spell.lost),
            returned: route.returned,
            share: route.share,
        })
    }

    /// The destination with the longest queue, how many wait there, and what holds them up.
    pub fn longest_queue(&mut self, now: Time) -> Option<(DestinationId, usize, Vec<RouteState>)> {
        let (to, queue) = self.queues.iter().max_by_key(|(_, queue)| queue.len())?;
        let (to, waiting) = (*to, queue.len());
        let routes: Vec<RouteId> = self.routes.range(routes_of(to)).map(|(id, _)| *id).collect();
        let state = |id: RouteId| {
            let pace = self.pace(now, id);
            let route = &self.routes[&id];
            let (wait, sick) = (route.told_wait - now, route.spell.is_some());
            RouteState { endpoint: id.1, out: route.out.len(), pace, wait, sick }
        };
        Some((to, waiting, routes.into_iter().map(state).collect()))
    }

    /// How much was looked at so far.
    pub fn work(&self) -> Work {
        self.agenda.work
    }
}
