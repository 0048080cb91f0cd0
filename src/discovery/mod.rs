//! Service discovery: a client of discovery's agent, and the endpoint list that it delivers.
//!
//! - `client` connects to the agent.
//! - `error` defines why a connection or an exchange with the agent failed.
//! - `watch` follows the endpoint list: it connects, requests a snapshot where needed, and reads the open watch.
//! - `update_decoder` splits the bytes of a watch into updates.
//! - `update` defines the form of the endpoint list on the wire and in the journal.
//! - `directory` maps the list's names to the numbers that the scheduler uses, and to addresses.
//!
//! This module stores nothing on disk, and no file of the scheduler depends on it. The scheduler decides when a failed
//! watch is started again, unless the agent's address changes first.

mod client;
mod directory;
mod error;
mod update;
mod update_decoder;
mod watch;

pub use client::{connect, AgentAddress, Connection, AGENT_RESPONSE_TIMEOUT};
pub use directory::{EndpointDirectory, EndpointIdTable};
pub use error::DiscoveryError;
pub use update::{DiscoveredEndpoint, DiscoveryUpdate, EndpointState};
pub use watch::{EndpointWatch, WatchEvent};
