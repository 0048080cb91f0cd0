//! The id of a route.

use crate::model::{DestinationId, EndpointId};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// A destination, or one endpoint of it where its endpoints have limits of their own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where its endpoints are separate routes.
    pub endpoint: Option<EndpointId>,
}

impl RouteId {
    /// The ids that the routes of a destination can have.
    pub fn all_of(destination: DestinationId) -> RangeInclusive<RouteId> {
        let first = RouteId { destination, endpoint: None };
        let last = RouteId { destination, endpoint: Some(EndpointId(u32::MAX)) };
        first..=last
    }
}
