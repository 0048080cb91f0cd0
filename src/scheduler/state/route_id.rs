//! The ids of routes.

use crate::model::{DestinationId, EndpointId};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Identifies a route: a destination, or one endpoint of it if its endpoints have their own limits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId {
    /// The destination of the route.
    pub destination: DestinationId,
    /// The endpoint, if each endpoint of the destination is a route of its own.
    pub endpoint: Option<EndpointId>,
}

impl RouteId {
    /// Returns the range of ids that the routes of a destination can have.
    pub fn all_of(destination: DestinationId) -> RangeInclusive<RouteId> {
        let first = RouteId { destination, endpoint: None };
        let last = RouteId { destination, endpoint: Some(EndpointId(u32::MAX)) };
        first..=last
    }
}
