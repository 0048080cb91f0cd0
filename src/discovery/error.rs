//! Why discovery's agent was of no use. Whoever gets one of these keeps what it knew before, and tries again later.

use hyper::StatusCode;
use thiserror::Error;

/// Why an exchange with discovery's agent failed.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The agent cannot be connected to.
    #[error("cannot connect to the agent: {0}")]
    Io(#[from] std::io::Error),
    /// The response is not HTTP, or the connection broke.
    #[error("the HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The request cannot be formed.
    #[error("the request cannot be formed: {0}")]
    Request(#[from] hyper::http::Error),
    /// No response in time, or nothing on an open watch for too long.
    #[error("no response in time")]
    TimedOut(#[from] tokio::time::error::Elapsed),
    /// A response with another status than the expected one.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// A watch was accepted and broke before its first line: the agent is overloaded.
    #[error("the watch broke before its first line")]
    WatchNotServed,
    /// The agent ended a watch.
    #[error("the agent ended the watch")]
    WatchEnded,
    /// An update that cannot be decoded.
    #[error("an update cannot be decoded: {0}")]
    InvalidUpdate(#[from] serde_json::Error),
    /// An update breaks off, or is longer than any endpoint list.
    #[error("an update breaks off or is too long")]
    UnterminatedUpdate,
}
