//! Endpoints, as the endpoint list announces them.

use serde::{Deserialize, Serialize};

use super::ids::{DestinationId, DestinationKindId, EndpointId, ZoneId};

/// Whether an endpoint may be given new work. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// It may.
    Ready,
    /// It finishes what it has, and is given nothing new.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// The zone that it stands in.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: DestinationKindId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Whether it may be given new work.
    pub availability: Availability,
    /// See [`CapacityHints`](super::WeightSource).
    pub capacity_hint: f64,
}

/// What the watch on the endpoint list brings.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The entries that have changed.
    Delta(Vec<Endpoint>),
    /// All entries: an endpoint that is not among them is removed.
    Snapshot(Vec<Endpoint>),
    /// The list could not be read, or the watch on it broke; what was known remains valid.
    WatchFailed,
    /// The same, as discovery is overloaded and sheds watches.
    WatchRejected,
}
