//! The list of endpoints as discovery tells it: the reader, which turns its names into the module's numbers, and the
//! watch on it. Both are the real courier's, and serve whoever else hosts the decisions on a real list. They decide
//! nothing, keep nothing on disk, and no file of the decisions depends on them.

mod client;
mod directory;
mod watch;

pub use client::{connect, AgentAddress, Connection, DiscoveryError, AGENT_RESPONSE_TIMEOUT};
pub use directory::{DiscoveredEndpoint, DiscoveryUpdate, EndpointDirectory, EndpointIdTable};
pub use watch::{EndpointWatch, WatchEvent};
