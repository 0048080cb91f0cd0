//! Opens TCP connections, and wraps them for libraries that do their own reading and writing.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};
use tracing::debug;

use super::errors::is_transient;
use super::transfer::{peek, poll_read, poll_write, Transfer};
use super::RETRY_DELAY;

/// The time limit for retries of transient errors of a connect, after which it fails.
const CONNECT_RETRY_TIMEOUT: Duration = Duration::from_millis(250);

/// Opens a connection, and disables Nagle's algorithm on it. Transient errors are retried for 250 ms.
///
/// # Errors
/// The first error that is not transient, such as a refusal by the peer, or the last one after 250 ms.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let retry_until = Instant::now() + CONNECT_RETRY_TIMEOUT;
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => {
                disable_nagle(&stream);
                return Ok(stream);
            }
            Err(error) if is_transient(&error) && Instant::now() + RETRY_DELAY < retry_until => {
                sleep(RETRY_DELAY).await
            }
            Err(error) => return Err(error),
        }
    }
}

/// Disables Nagle's algorithm, so that small writes are sent at once. A failure is only logged, since the connection
/// works without it.
pub fn disable_nagle(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "cannot disable Nagle's algorithm; small writes may be delayed");
    }
}

/// Acknowledges what has been read now rather than with the next bytes that are sent. A peer whose system holds small
/// writes back until then (Nagle's algorithm) would otherwise seem to send them in response to those bytes. A failure is
/// ignored, since the connection works without it.
pub fn acknowledge(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_tcp_quickack(stream, true);
}

/// A connection for libraries that do their own reading and writing. It hides interruptions and short transfers from
/// them.
#[derive(Debug)]
pub struct RetryingStream(pub TcpStream);

impl AsyncRead for RetryingStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let count = ready!(poll_read(&self.0, cx, buf.initialize_unfilled()))?;
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// A connection on which requests are sent one at a time, each after the response to the one before it. A request is not
/// sent behind unread bytes: they belong to no request, and would be taken for its response.
#[derive(Debug)]
pub struct RequestStream {
    stream: RetryingStream,
    /// Whether the next write begins a request.
    is_between_requests: bool,
}

impl RequestStream {
    /// Wraps a connection on which nothing has been sent.
    pub fn new(stream: TcpStream) -> Self {
        RequestStream { stream: RetryingStream(stream), is_between_requests: true }
    }

    fn check_unread_bytes(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.is_between_requests, false)
            && matches!(peek(&self.stream.0), Ok(Transfer::Bytes(_)))
        {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the peer closed the connection or sent bytes between requests",
            ));
        }
        Ok(())
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        acknowledge(&self.stream.0);
        self.is_between_requests = true;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_unread_bytes()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_unread_bytes()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
