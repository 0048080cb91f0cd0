//! The list of endpoints as discovery tells it: the reader, which turns its names into the module's numbers, and the
//! watch on it. Both are the real courier's, and serve whoever else hosts the decisions on a real list. They decide
//! nothing, keep nothing on disk, and no file of the decisions depends on them.

mod agent;
mod directory;
mod watch;

pub use agent::{connect, AgentAddress, Connection, DiscoveryError, ANSWER};
pub use directory::{DiscoveredEndpoint, DiscoveryUpdate, EndpointDirectory, EndpointIdTable};
pub use watch::{EndpointWatch, WatchEvent};
