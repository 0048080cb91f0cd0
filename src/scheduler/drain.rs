//! Handles what operators take out of service: single endpoints, which get no new calls, or this gateway as a
//! whole (lame duck), which rejects new messages after a grace period. It owns the lame duck state; the
//! scheduler holds the disabled endpoints.

use super::Scheduler;
use crate::model::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a gateway still accepts messages after it became a lame duck, from clients that have not noticed
/// its state yet.
const LAME_DUCK_GRACE: Duration = Duration::from_secs(3);

/// The lame duck state of this gateway.
#[derive(Default, Serialize, Deserialize)]
pub struct LameDuck {
    since: Option<Time>,
}

impl LameDuck {
    /// Starts or stops lame duck mode. Starting it again changes nothing.
    pub fn set(&mut self, now: Time, is_draining: bool) {
        self.since = is_draining.then(|| self.since.unwrap_or(now));
    }

    /// Returns whether lame duck mode is on.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Returns whether the gateway no longer accepts messages.
    pub fn rejects_messages(&self, now: Time) -> bool {
        self.since.is_some_and(|since| now - since >= LAME_DUCK_GRACE)
    }
}

impl Scheduler {
    /// Stops new calls to an endpoint, whether it is listed or not.
    pub(super) fn on_endpoint_disabled(&mut self, id: EndpointId) {
        if !self.disabled_endpoints.insert(id) {
            return;
        }
        if let Some(endpoint) = self.endpoints.get(&id) {
            self.mark_destination_changed(endpoint.entry.destination);
        }
        self.actions.push(Action::CloseIdleConnections { endpoint: id });
    }

    /// Permits calls to an endpoint again, with a slow start of its route: the endpoint may have been
    /// restarted at any time since it was disabled.
    pub(super) fn on_endpoint_enabled(&mut self, now: Time, id: EndpointId) {
        if !self.disabled_endpoints.remove(&id) {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.reset(now);
        let Some(route_id) = self.endpoints.get(&id).map(|endpoint| self.route_of(&endpoint.entry)) else {
            return;
        };
        self.mark_destination_changed(route_id.destination);
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        self.ready_index.changed_circuits.insert(route_id);
        route.circuit.reset();
        route.slow_start.begin(now);
        route.rate_limit.restart(now, 0.0);
    }
}
