//! The state of an endpoint.

use crate::model::{Availability, Endpoint, Time};
use serde::{Deserialize, Serialize};

/// An endpoint of the list, or a removed one with calls in flight, with this gateway's state for it.
#[derive(Serialize, Deserialize)]
pub struct TrackedEndpoint {
    /// The latest entry of the endpoint list.
    pub entry: Endpoint,
    /// Number of calls in flight to the endpoint.
    pub calls_in_flight: usize,
    /// Random number that orders otherwise equal endpoints. Drawn once, and different at each gateway.
    pub tie_breaker: u32,
    /// Number of calls that failed since the last delivery, or since operators last enabled the endpoint.
    pub failures: u32,
    /// Until this time other endpoints are preferred.
    pub avoid_until: Time,
    /// When a call last delivered or was rejected, which leaves its connection open; None if no connection is
    /// known to be open.
    pub connection_used_at: Option<Time>,
}

impl TrackedEndpoint {
    /// Creates the state of an endpoint that is new on the list.
    pub fn new(entry: Endpoint, tie_breaker: u32) -> TrackedEndpoint {
        TrackedEndpoint {
            entry,
            calls_in_flight: 0,
            tie_breaker,
            failures: 0,
            avoid_until: Time::ZERO,
            connection_used_at: None,
        }
    }

    /// Returns whether the list has removed the endpoint, so that it is deleted once no call is in flight.
    pub fn is_removed(&self) -> bool {
        self.entry.availability == Availability::Removed
    }
}
