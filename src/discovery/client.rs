//! Connects to discovery's agent, for the endpoint watch and for outcome notifications.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::time::Duration;
use tokio::net::{lookup_host, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::error::DiscoveryError;
use crate::socket::{self, RequestStream};

/// The time limit for connecting to the agent, and for its response to a short request. The agent runs on this machine.
pub const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The current address of discovery's agent, as `host:port`. Tasks that wait for a change switch to the new address at
/// once.
pub type AgentAddress = watch::Receiver<String>;

/// A connection to the agent, which carries one request at a time.
pub type Connection = SendRequest<Full<Bytes>>;

/// Connects to the agent at `agent`, given as `host:port`. Spawns a task that drives the connection until it ends, and
/// so must be called inside a runtime.
///
/// # Errors
/// [`DiscoveryError::TimedOut`] after [`AGENT_RESPONSE_TIMEOUT`]; [`DiscoveryError::Io`] or [`DiscoveryError::Http`] if
/// the connection or its HTTP handshake fails before that.
pub async fn connect(agent: &str) -> Result<Connection, DiscoveryError> {
    let stream = timeout(AGENT_RESPONSE_TIMEOUT, connect_by_name(agent)).await??;
    let (sender, connection) = http1::handshake(TokioIo::new(RequestStream::new(stream))).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Connects to the first address of the name that accepts.
async fn connect_by_name(agent: &str) -> io::Result<TcpStream> {
    let mut last_error = io::Error::new(io::ErrorKind::NotFound, "the agent's name resolves to no address");
    for address in lookup_host(agent).await? {
        match socket::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
