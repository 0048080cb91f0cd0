//! What is known of the health of a route: a destination or, where these have limits of their own, one
//! endpoint of it.

use std::time::Duration;

use super::ids::{DestinationId, EndpointId};
use super::time::Time;

/// State of a circuit breaker that outlasts a restart, as the slow start after an outage must.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitRecord {
    /// The destination.
    pub destination: DestinationId,
    /// One endpoint of it, where endpoints have limits of their own.
    pub endpoint: Option<EndpointId>,
    /// When a call last succeeded.
    pub last_success_at: Time,
    /// Weight of the failures since then.
    pub failure_score: u32,
    /// Whether calls were lost, and not just rejected, while the circuit is open; none while it is closed.
    pub has_lost_calls: Option<bool>,
    /// When the slow start began, if one is under way.
    pub slow_start_since: Option<Time>,
    /// Calls a second that were served before the outage.
    pub baseline_per_sec: f64,
}

/// A change of what has to outlast a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct CircuitChange {
    /// The destination.
    pub destination: DestinationId,
    /// One endpoint of it, where endpoints have limits of their own.
    pub endpoint: Option<EndpointId>,
    /// What has to be remembered now; none where the circuit is as if it had never opened.
    pub record: Option<CircuitRecord>,
}

/// What limits a route just now, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteStatus {
    /// The endpoint, where endpoints have limits of their own.
    pub endpoint: Option<EndpointId>,
    /// Calls in flight.
    pub in_flight: usize,
    /// Calls a second that this gateway may send.
    pub rate_limit_per_sec: f64,
    /// What is left of a Retry-After.
    pub retry_after: Duration,
    /// Whether its circuit is open.
    pub circuit_open: bool,
}
