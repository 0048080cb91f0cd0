//! The endpoint list and its changes, as they stand on discovery's wire and in the journal. The wire's names are
//! mapped to the code's terms here.
//!
//! On the wire these are JSON objects with the names given by `serde(rename)`. The journal encodes them by postcard,
//! where the order and the types of the fields are the format.

use serde::{Deserialize, Serialize, Serializer};

/// What the endpoint list says of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum EndpointState {
    /// `SERVING`: it may be sent new calls.
    Serving,
    /// `DRAINING`: it may be sent no new calls.
    Draining,
    /// `DELETED`: the list holds it no more.
    Deleted,
    /// Any other state; it counts as draining.
    Other(String),
}

impl EndpointState {
    /// The state's name on the wire.
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
    /// The endpoint's name. An endpoint that replaces it has another.
    pub uid: String,
    /// Its address, as `IP:port`.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The name of its zone.
    #[serde(rename = "az")]
    pub zone: String,
    /// The name of its kind of destination.
    #[serde(rename = "model")]
    pub kind: String,
    /// The number of its destination.
    #[serde(rename = "pod_group")]
    pub destination: u32,
    /// Whether it may be sent new calls.
    pub state: EndpointState,
    /// Its weight; see [`CapacityHints`](crate::WeightSource).
    pub capacity_hint: f64,
}

impl DiscoveredEndpoint {
    /// Whether the endpoint list holds the endpoint no more.
    pub fn is_removed(&self) -> bool {
        self.state == EndpointState::Deleted
    }
}

/// The complete endpoint list, or what has changed in it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryUpdate {
    /// The revision of the list once this is applied.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether this is the complete list: an endpoint that it does not name is removed.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// All entries of the list, or those that have changed.
    #[serde(rename = "targets")]
    pub endpoints: Vec<DiscoveredEndpoint>,
}
