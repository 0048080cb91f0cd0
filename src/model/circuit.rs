//! Circuit breaker records, which are kept across a restart, and the status of routes for the log. A route is
//! a destination, or one endpoint of it if its endpoints have their own limits.

use std::time::Duration;

use super::ids::{DestinationId, EndpointId};
use super::time::Time;

/// State of a route's circuit breaker and slow start that is kept across a restart: a gateway that restarts
/// during an outage or a slow start must not send at its full rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitRecord {
    /// The destination of the route.
    pub destination: DestinationId,
    /// The endpoint, if the route is a single endpoint with its own limits.
    pub endpoint: Option<EndpointId>,
    /// When a call last succeeded, or the creation of the route if none has. While the circuit is open, the
    /// start of the outage: that time, or an earlier one at which a call without a response was started.
    pub last_success_at: Time,
    /// Sum of the severity scores of the failures since the last success.
    pub failure_score: u32,
    /// While the circuit is open: whether it opened because of a missing response, or a call that opened it
    /// or ended while it was open failed in another way than by a rejection. A loss that an idle connection
    /// most likely caused does not count. None while the circuit is closed.
    pub has_lost_calls: Option<bool>,
    /// Start of the slow start; None if no slow start is active. May lie in the future, if the destination
    /// has announced when it is back.
    pub slow_start_since: Option<Time>,
    /// Calls of this gateway that the route served per second, as an average before the last success. It does
    /// not fall while the circuit is open or a slow start is active.
    pub baseline_per_sec: f64,
}

/// A change of the state of a route that is kept across a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct CircuitChange {
    /// The destination of the route.
    pub destination: DestinationId,
    /// The endpoint, if the route is a single endpoint with its own limits.
    pub endpoint: Option<EndpointId>,
    /// The state to store. None if the route has no failures since the last success, no open circuit and no
    /// slow start, or no longer exists: the stored record can be deleted.
    pub record: Option<CircuitRecord>,
}

/// The present status of a route, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteStatus {
    /// The endpoint, if the route is a single endpoint with its own limits.
    pub endpoint: Option<EndpointId>,
    /// Number of calls in flight.
    pub in_flight: usize,
    /// Calls per second that this gateway may send.
    pub rate_limit_per_sec: f64,
    /// Remaining time of a Retry-After; zero if none is pending.
    pub retry_after: Duration,
    /// Whether the route's circuit is open.
    pub circuit_open: bool,
}
