//! A listed endpoint.

use crate::model::{Availability, Endpoint, Time};
use serde::{Deserialize, Serialize};

/// An endpoint of the list, and what this gateway knows of it.
#[derive(Serialize, Deserialize)]
pub struct TrackedEndpoint {
    /// Its entry of the list.
    pub entry: Endpoint,
    /// Calls in flight.
    pub calls_in_flight: usize,
    /// Drawn once: orders endpoints that are alike otherwise, at this gateway only.
    pub tie_breaker: u32,
    /// Calls that failed since one was delivered last.
    pub failures: u32,
    /// Until when other endpoints are preferred.
    pub avoid_until: Time,
    /// When a call last ended with its connection left open.
    pub connection_used_at: Option<Time>,
}

impl TrackedEndpoint {
    /// An endpoint that is new on the list.
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

    /// Whether the list has removed it and it may be forgotten once no call is in flight.
    pub fn is_removed(&self) -> bool {
        self.entry.availability == Availability::Removed
    }
}
