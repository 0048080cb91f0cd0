//! Reads the head of an admin request, and writes its response.

use delivery_gateway::socket::RetryingStream;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use super::response::AdminResponse;

/// Bytes of the head of a request, and the headers in it.
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_HEADERS: usize = 64;
/// How long a response may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// What the operator still sends is read for so long: closing before would destroy the response on its way.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The head of a request, as far as it is looked at.
pub struct AdminRequest {
    pub method: String,
    /// Path and query.
    pub target: String,
}

/// Why there is no request to serve.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection is broken: there is no way to respond.
    #[error("the connection broke before the request was complete: {0}")]
    Connection(#[from] io::Error),
    #[error("the request is malformed or ends early")]
    Malformed,
    #[error("the head of the request is too long")]
    TooLong,
    #[error("the request did not become complete in time")]
    TimedOut,
    /// Another connection was accepted in its stead.
    #[error("the connection was evicted before its request was complete")]
    Evicted,
}

/// Reads the head of a request. A body is not looked at.
///
/// # Errors
/// Any but [`RequestError::TimedOut`] and [`RequestError::Evicted`], which the caller sees to.
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

/// Parses the head of a request; none while it is incomplete.
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

/// Writes a response and ends the sending side.
///
/// # Errors
/// The connection is broken, or the operator did not read in time.
pub async fn write_response(stream: &mut RetryingStream, response: AdminResponse) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, stream.write_all(response.encode().as_bytes())).await??;
    stream.shutdown().await
}

/// Reads what the operator still sends, until it closes too.
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
