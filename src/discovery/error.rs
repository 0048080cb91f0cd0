//! Why an exchange with discovery's agent failed. A caller that gets one of these errors keeps its present state, and
//! tries again later. The one exception is a notification that the platform rejects with 400.

use hyper::StatusCode;
use thiserror::Error;

/// Why an exchange with discovery's agent failed.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection to the agent cannot be opened.
    #[error("cannot connect to the agent: {0}")]
    Io(#[from] std::io::Error),
    /// The response is not valid HTTP, or the connection broke.
    #[error("the HTTP exchange with the agent failed: {0}")]
    Http(#[from] hyper::Error),
    /// The request cannot be built, for example because the agent's address is not a valid `Host` header.
    #[error("cannot build the request to the agent: {0}")]
    Request(#[from] hyper::http::Error),
    /// No connection or response in time, or no byte on an open watch for too long.
    #[error("the agent did not respond in time")]
    TimedOut(#[from] tokio::time::error::Elapsed),
    /// The response has another status than the expected one.
    #[error("the agent responded with the unexpected status {0}")]
    Status(StatusCode),
    /// A watch was accepted and broke before its first line, as an overloaded agent ends it.
    #[error("the watch broke before its first line")]
    WatchNotServed,
    /// The agent ended a watch.
    #[error("the agent ended the watch")]
    WatchEnded,
    /// An update is not valid JSON of the expected form.
    #[error("cannot decode an update of the endpoint list: {0}")]
    InvalidUpdate(#[from] serde_json::Error),
    /// An update is incomplete, or longer than any endpoint list.
    #[error("an update of the endpoint list is incomplete or too long")]
    UnterminatedUpdate,
}
