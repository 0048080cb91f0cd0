//! The endpoint list and its changes, in the form that they have on the wire and in the journal.
//!
//! On the wire they are JSON objects whose field names are given by `serde(rename)`. The journal encodes them by
//! postcard, where the order and the types of the fields are the format.

use serde::{Deserialize, Serialize, Serializer};

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum EndpointState {
    /// `SERVING`: the endpoint accepts new calls.
    Serving,
    /// `DRAINING`: no new calls may be sent to the endpoint.
    Draining,
    /// `DELETED`: the endpoint was removed from the list.
    Deleted,
    /// Any other state, with its name on the wire. It is treated as `DRAINING`.
    Other(String),
}

impl EndpointState {
    /// Returns the state's name on the wire.
    pub fn as_str(&self) -> &str {
        match self {
            EndpointState::Serving => "SERVING",
            EndpointState::Draining => "DRAINING",
            EndpointState::Deleted => "DELETED",
            EndpointState::Other(name) => name,
        }
    }
}

impl From<String> for EndpointState {
    fn from(name: String) -> Self {
        match name.as_str() {
            "SERVING" => EndpointState::Serving,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Deleted,
            _ => EndpointState::Other(name),
        }
    }
}

impl From<&str> for EndpointState {
    fn from(name: &str) -> Self {
        EndpointState::from(name.to_owned())
    }
}

impl Serialize for EndpointState {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// The endpoint's name. An endpoint that replaces this one has another name.
    pub uid: String,
    /// The endpoint's address, as `IP:port`.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The name of the endpoint's zone.
    #[serde(rename = "az")]
    pub zone: String,
    /// The name of the kind of destination.
    #[serde(rename = "model")]
    pub kind: String,
    /// The number of the destination that the endpoint belongs to.
    #[serde(rename = "pod_group")]
    pub destination: u32,
    /// Whether the endpoint accepts new calls.
    pub state: EndpointState,
    /// The listed rate limit in calls per second, for the whole fleet: that of the endpoint if it has limits of its
    /// own, otherwise that of its destination. 0 or less if none is listed. [`CapacityHints`](crate::CapacityHints)
    /// says whether it is used.
    pub capacity_hint: f64,
}

impl DiscoveredEndpoint {
    /// Returns whether the endpoint was removed from the endpoint list.
    pub fn is_removed(&self) -> bool {
        self.state == EndpointState::Deleted
    }
}

/// The complete endpoint list, or what has changed in it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryUpdate {
    /// The revision of the endpoint list after this update.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether this is the complete list. If so, an endpoint that is not in it has been removed.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// All entries of the list for a snapshot, otherwise those that have changed.
    #[serde(rename = "targets")]
    pub endpoints: Vec<DiscoveredEndpoint>,
}
