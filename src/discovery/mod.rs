//! Service discovery: a client of discovery's agent and what it learns from it.
//!
//! - `client` connects to the agent, `error` says why that, or an exchange, failed.
//! - `watch` follows the endpoint list: it connects, requests a snapshot where needed, and reads the open watch, whose
//!   bytes `update_decoder` splits into updates.
//! - `update` is the wire's and the journal's form of the endpoint list.
//! - `directory` maps the list's names to the numbers that the scheduler knows, and to addresses.
//!
//! It decides nothing and stores nothing on disk, and no file of the scheduler depends on it.

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
