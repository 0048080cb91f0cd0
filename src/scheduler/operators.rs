//! Endpoints that operators leave out, and use again.

use super::state::Address;
use super::Scheduler;
use crate::model::*;

impl Scheduler {
    /// Gives an endpoint nothing new from now on.
    pub(super) fn on_detach(&mut self, endpoint: EndpointId) {
        if self.detached.insert(endpoint) {
            let to = self.addresses.get(&endpoint).map(|address| address.entry.destination);
            to.into_iter().for_each(|to| self.touch(to));
            self.actions.push(Action::CloseIdleConnections { endpoint });
        }
    }

    /// What comes back from the operators counts as cold: it may have been restarted at any time since. What
    /// its calls met meanwhile says nothing of it now.
    pub(super) fn on_attach(&mut self, now: Time, endpoint: EndpointId) {
        if !self.detached.remove(&endpoint) {
            return;
        }
        let Some(address) = self.addresses.get_mut(&endpoint) else { return };
        (address.failures, address.avoid_until, address.used) = (0, now, None);
        let Some(id) = self.addresses.get(&endpoint).map(|address| self.route_of(&address.entry)) else {
            return;
        };
        self.touch(id.destination);
        if let Some(route) = self.routes.get_mut(&id) {
            self.agenda.circuit_records.insert(id);
            route.circuit.reset();
            route.slow_start.begin(now);
            route.rate_limit.restart(now, 0.0);
        }
    }

    /// Whether an endpoint may be given new work.
    pub(super) fn is_open(&self, address: &Address) -> bool {
        address.entry.mode == Availability::Ready && !self.detached.contains(&address.entry.id)
    }
}
