//! TCP connections: opening one, and one for libraries that read and write by themselves.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use super::errors::is_transient;
use super::transfer::{poll_read, poll_write};
use super::AGAIN;

/// How long this machine may be unable to make a connection before that is an error.
const LOCAL_PATIENCE: Duration = Duration::from_millis(250);

/// Connects without delay of small writes. What this machine cannot do just now is tried again for a moment.
///
/// # Errors
/// What the other side, or the way to it, answers; or what this machine could not do for a quarter of a second.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let end = Instant::now() + LOCAL_PATIENCE;
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => {
                disable_nagle(&stream);
                return Ok(stream);
            }
            Err(error) if is_transient(&error) && Instant::now() + AGAIN < end => sleep(AGAIN).await,
            Err(error) => return Err(error),
        }
    }
}

/// Has small writes sent at once. A connection on which that cannot be set serves all the same.
pub fn disable_nagle(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "small writes may wait");
    }
}

/// A connection for libraries that read and write by themselves.
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
