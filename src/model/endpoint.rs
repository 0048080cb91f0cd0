//! Entries and updates of the endpoint list.

use serde::{Deserialize, Serialize};

use super::ids::{DestinationId, DestinationKindId, EndpointId, ZoneId};

/// Whether an endpoint may get new calls. Availability is independent of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// The endpoint may get new calls.
    Ready,
    /// The endpoint finishes its calls in flight and gets no new ones.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique id of the endpoint.
    pub id: EndpointId,
    /// The availability zone of the endpoint.
    pub zone: ZoneId,
    /// The kind of the endpoint's destination.
    pub kind: DestinationKindId,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// Whether the endpoint may get new calls.
    pub availability: Availability,
    /// The listed limit; [`CapacityHints`](super::CapacityHints) says how it is used. Zero or less: no limit
    /// is listed.
    pub capacity_hint: f64,
}

/// A result of the watch on the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The entries that have changed since the last update.
    Delta(Vec<Endpoint>),
    /// All entries of the list: an endpoint that is not among them is removed.
    Snapshot(Vec<Endpoint>),
    /// The list could not be read, or the watch on it broke. The last received list remains valid.
    WatchFailed,
    /// Discovery is overloaded and rejected the watch. The last received list remains valid.
    WatchRejected,
}
