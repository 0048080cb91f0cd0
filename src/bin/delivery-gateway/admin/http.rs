//! Reads the head of an admin request and writes its response.

use delivery_gateway::socket::RetryingStream;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use super::response::AdminResponse;

/// The maximum length of a request's head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// The maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// The time limit for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for reading what the operator still sends after the response. Closing a connection with unread bytes
/// would reset it, and the response would be lost.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The parts of a request's head that are used. Headers are ignored.
pub struct AdminRequest {
    pub method: String,
    /// The path and the query.
    pub target: String,
}

/// Why a connection has no request to serve.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection is broken, so no response can be sent.
    #[error("the connection broke before the request was complete: {0}")]
    Connection(#[from] io::Error),
    #[error("the request is malformed or ends early")]
    Malformed,
    #[error("the head of the request is too long")]
    TooLong,
    #[error("the request was not complete in time")]
    TimedOut,
    /// The connection was evicted for a new one.
    #[error("the connection was evicted before its request was complete")]
    Evicted,
}

/// Reads the head of a request. A body is ignored.
///
/// # Errors
/// Any but [`RequestError::TimedOut`] and [`RequestError::Evicted`], which the caller produces.
pub async fn read_request(stream: &mut RetryingStream) -> Result<AdminRequest, RequestError> {
    let mut head = Vec::with_capacity(512);
    loop {
        if stream.read_buf(&mut head).await? == 0 {
            return Err(RequestError::Malformed);
        }
        if let Some(request) = parse_head(&head)? {
            return Ok(request);
        }
    }
}

/// Parses the head of a request; None while it is incomplete.
fn parse_head(head: &[u8]) -> Result<Option<AdminRequest>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(_)) => Ok(Some(AdminRequest {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
        })),
        Ok(httparse::Status::Partial) if head.len() < MAX_HEAD_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => Err(RequestError::TooLong),
        Err(_) => Err(RequestError::Malformed),
    }
}

/// Writes a response and shuts down the sending side.
///
/// # Errors
/// The connection is broken, or the operator did not read the response within [`WRITE_TIMEOUT`].
pub async fn write_response(stream: &mut RetryingStream, response: AdminResponse) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, stream.write_all(response.encode().as_bytes())).await??;
    stream.shutdown().await
}

/// Discards what the operator still sends until it closes the connection, for at most [`DRAIN_TIMEOUT`].
///
/// # Errors
/// The connection is broken.
pub async fn drain(stream: &mut RetryingStream) -> io::Result<()> {
    let read_to_end = async {
        let mut discarded = [0; 1024];
        while stream.read(&mut discarded).await? > 0 {}
        Ok(())
    };
    timeout(DRAIN_TIMEOUT, read_to_end).await.unwrap_or(Ok(()))
}
