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
    /// When a call last succeeded. While the circuit is open, the start of the outage: the last success
    /// before it, or an earlier time at which an unanswered call was sent.
    pub last_success_at: Time,
    /// Sum of the weights of the failures since the last success.
    pub failure_score: u32,
    /// While the circuit is open: whether calls were lost or have no response, rather than just rejected.
    /// None while it is closed.
    pub has_lost_calls: Option<bool>,
    /// Start of the active slow start; none if there is none. May lie in the future, if the destination has
    /// announced when it is back.
    pub slow_start_since: Option<Time>,
    /// Calls per second of this gateway that the route served before the outage.
    pub baseline_per_sec: f64,
}

/// A change of the state of a route that is kept across a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct CircuitChange {
    /// The destination of the route.
    pub destination: DestinationId,
    /// The endpoint, if the route is a single endpoint with its own limits.
    pub endpoint: Option<EndpointId>,
    /// The state to store; none if the circuit is as if it had never opened, so that the stored record can be
    /// deleted.
    pub record: Option<CircuitRecord>,
}

/// The present limits of a route, for the log.
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
