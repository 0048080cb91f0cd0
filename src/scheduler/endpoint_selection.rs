//! Selects the endpoint that gets a call, and decides which endpoints may get calls at all.

use super::backoff;
use super::idempotency;
use super::state::{RouteId, TrackedEndpoint};
use super::Scheduler;
use crate::model::*;

/// The base of the avoidance time, as a ratio of the overload window: after a failure an endpoint is the last
/// choice for a random time. The upper end of that time is twice this after the first failure and doubles
/// with each further one, up to the length of a slow start.
const BASE_AVOIDANCE_WINDOW_RATIO: f64 = 0.1;

impl Scheduler {
    /// Returns whether an endpoint may get new calls: it is listed as ready, and operators have not disabled
    /// it.
    pub(super) fn is_eligible(&self, endpoint: &TrackedEndpoint) -> bool {
        endpoint.entry.availability == Availability::Ready
            && !self.disabled_endpoints.contains(&endpoint.entry.id)
    }

    /// Returns the endpoints of a route that may get new calls.
    pub(super) fn eligible_endpoints(&self, id: RouteId) -> impl Iterator<Item = &TrackedEndpoint> + '_ {
        let endpoints = self.routes.get(&id).into_iter().flat_map(|route| &route.endpoints);
        endpoints.filter_map(|id| self.endpoints.get(id)).filter(|endpoint| self.is_eligible(endpoint))
    }

    /// Returns whether a route has an endpoint that may get new calls and has not failed since it last
    /// delivered.
    pub(super) fn has_healthy_endpoint(&self, id: RouteId) -> bool {
        self.eligible_endpoints(id).any(|endpoint| endpoint.failures == 0)
    }

    /// Returns the endpoint of a route for a message: inside the deduplication scope of a retry, the one with
    /// the fewest calls in flight; endpoints to be avoided come last. Ties go by each gateway's own random
    /// order, as otherwise all gateways with few calls would choose the same endpoint.
    pub(super) fn select_endpoint(&self, now: Time, id: RouteId, message: MessageId) -> Option<EndpointId> {
        let message = self.messages.get(&message)?;
        self.eligible_endpoints(id)
            .filter(|endpoint| idempotency::may_send_to_zone(&self.settings, message, endpoint.entry.zone))
            .min_by_key(|endpoint| {
                let is_avoided = endpoint.avoid_until > now;
                (is_avoided, endpoint.calls_in_flight, endpoint.failures, endpoint.tie_breaker)
            })
            .map(|endpoint| endpoint.entry.id)
    }

    /// Returns the cost of a message by a route. Only an endpoint that is a route of its own has a cost.
    pub(super) fn cost(&self, id: RouteId) -> f64 {
        let endpoint = id.endpoint.and_then(|endpoint| self.endpoints.get(&endpoint));
        let zone = endpoint.map(|endpoint| usize::from(endpoint.entry.zone.0));
        zone.and_then(|zone| self.settings.zone_costs.get(zone)).copied().unwrap_or(0.0)
    }

    /// Returns the id of the route to which an endpoint belongs.
    pub(super) fn route_of(&self, entry: &Endpoint) -> RouteId {
        let kind = self.settings.destination_kinds.get(usize::from(entry.kind.0));
        let has_own_limits = kind.is_some_and(|kind| kind.has_per_endpoint_limits);
        RouteId { destination: entry.destination, endpoint: has_own_limits.then_some(entry.id) }
    }
}

impl TrackedEndpoint {
    /// Records that a call delivered.
    pub fn on_delivered(&mut self, now: Time) {
        self.connection_used_at = Some(now);
        self.failures = 0;
    }

    /// Records that a call failed: other endpoints are preferred for a while. `random_fraction` is a random
    /// number in `0.0..1.0`.
    pub fn on_failure(&mut self, now: Time, settings: &Settings, random_fraction: f64) {
        self.failures += 1;
        let limits = &settings.limits;
        let avoidance =
            backoff::exponential(limits.overload_window, BASE_AVOIDANCE_WINDOW_RATIO, self.failures)
                .min(limits.warm_up);
        self.avoid_until = now + avoidance.mul_f64(random_fraction);
    }

    /// Resets the failures because operators have enabled the endpoint again: it may have been restarted, so
    /// that earlier failures are no evidence of its present state.
    pub fn reset(&mut self, now: Time) {
        self.failures = 0;
        self.avoid_until = now;
        self.connection_used_at = None;
    }
}
