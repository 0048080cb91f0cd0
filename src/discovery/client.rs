//! The connection to discovery's agent.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{lookup_host, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::socket::{self, SteadyStream};

/// The agent is on this machine: what it does not answer in this time it does not answer now.
pub const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Where discovery's agent is now; a new address is gone over to at once.
pub type AgentAddress = watch::Receiver<String>;

/// Why the agent was of no use.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The socket.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The answer is no HTTP, or the connection broke.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request cannot be formed.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// No answer in time.
    #[error("silent")]
    TimedOut(#[from] tokio::time::error::Elapsed),
    /// Another status than the one that is due.
    #[error("answered {0}")]
    Status(StatusCode),
    /// A watch was begun and not served: the agent has more to do than it can.
    #[error("taken on and broken off before its first line")]
    WatchNotServed,
    /// A line, or the list, is not what it should be.
    #[error("a line cannot be read: {0}")]
    InvalidLine(#[from] serde_json::Error),
    /// The end of the list, or of a line, does not come.
    #[error("broken off or without end")]
    TooLong,
}

/// A connection to the agent.
pub type Connection = SendRequest<Full<Bytes>>;

/// Connects to the agent at an address. The connection is driven by a task of its own until it ends, so that this
/// must be called inside a runtime.
///
/// # Errors
/// Whatever keeps the connection from coming up within [`AGENT_RESPONSE_TIMEOUT`].
pub async fn connect(agent: &str) -> Result<Connection, DiscoveryError> {
    let stream = timeout(AGENT_RESPONSE_TIMEOUT, connect_by_name(agent)).await??;
    let (sender, connection) = http1::handshake(TokioIo::new(SteadyStream(stream))).await?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn connect_by_name(agent: &str) -> io::Result<TcpStream> {
    let mut failed = io::Error::new(io::ErrorKind::NotFound, "the address has no number");
    for address in lookup_host(agent).await? {
        match socket::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => failed = error,
        }
    }
    Err(failed)
}
