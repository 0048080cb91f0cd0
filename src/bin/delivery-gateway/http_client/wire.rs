//! Observes a connection's bytes between the socket and the HTTP library: whether any byte of a call was written, which
//! status its response has, and whether bytes have arrived that belong to no call.

use delivery_gateway::socket::{self, Transfer};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

use super::descriptors::Descriptor;
use super::status_line::StatusLineReader;
use super::surplus::SurplusBytes;

/// A connection's socket and what was observed on it. It is shared by the owner of the connection and, as a
/// [`WireStream`], by the HTTP library.
pub struct Wire {
    stream: TcpStream,
    /// Bytes written since the current call began.
    written_bytes: Cell<u64>,
    /// Bytes read since the current call began.
    read_bytes: Cell<u64>,
    status_line: RefCell<StatusLineReader>,
    /// When the status of the response was read.
    status_read_at: Cell<Option<Instant>>,
    response_begun: Notify,
    /// Whether the last response has been read completely, and no call has begun since.
    is_idle: Cell<bool>,
    surplus: Rc<SurplusBytes>,
    /// Declared after the stream, so that the file descriptor is closed before it counts as free.
    _descriptor: Descriptor,
}

impl Wire {
    /// Wraps a connection on which no call has begun.
    pub fn new(stream: TcpStream, descriptor: Descriptor, surplus: Rc<SurplusBytes>) -> Self {
        Wire {
            stream,
            written_bytes: Cell::default(),
            read_bytes: Cell::default(),
            status_line: RefCell::default(),
            status_read_at: Cell::default(),
            response_begun: Notify::new(),
            is_idle: Cell::default(),
            surplus,
            _descriptor: descriptor,
        }
    }

    /// Resets the counters and the status for a call that is about to be written.
    pub fn begin_call(&self) {
        self.written_bytes.set(0);
        self.read_bytes.set(0);
        self.status_line.take();
        self.status_read_at.take();
        self.is_idle.set(false);
    }

    /// Records that the last response has been read completely.
    pub fn end_call(&self) {
        self.is_idle.set(true);
    }

    /// Acknowledges the response now, so that the endpoint's system sends what it has held back until then.
    pub fn acknowledge(&self) {
        socket::acknowledge(&self.stream);
    }

    /// Records that the endpoint has sent bytes that belong to no call.
    pub fn record_surplus(&self) {
        self.surplus.record();
    }

    /// Returns whether no byte of the current call was written.
    pub fn is_call_unwritten(&self) -> bool {
        self.written_bytes.get() == 0
    }

    /// Returns whether at least one byte of the response has been read.
    pub fn has_response_begun(&self) -> bool {
        self.read_bytes.get() > 0
    }

    /// Returns whether the status line of the response was read before `deadline` and has the status 200.
    pub fn was_served_before(&self, deadline: Instant) -> bool {
        self.status_line.borrow().status() == Some(200)
            && self.status_read_at.get().is_some_and(|read_at| read_at < deadline)
    }

    /// Returns whether the connection is open and holds no unread bytes, between two calls.
    pub fn is_open_without_unread_bytes(&self) -> bool {
        match socket::peek(&self.stream) {
            Ok(Transfer::WouldBlock) => true,
            Ok(Transfer::Bytes(1..)) => {
                self.surplus.record();
                false
            }
            Ok(Transfer::Bytes(0) | Transfer::OutOfMemory) | Err(_) => false,
        }
    }

    /// Waits for the first byte of the response, and then for `limit`.
    pub async fn head_timeout(&self, limit: Duration) {
        while !self.has_response_begun() {
            self.response_begun.notified().await;
        }
        sleep(limit).await;
    }

    /// Shuts down the sending side, and discards what arrives until the endpoint has closed the connection too.
    async fn close(&self) -> io::Result<()> {
        SockRef::from(&self.stream).shutdown(Shutdown::Write)?;
        let mut discarded = [0; 1024];
        loop {
            self.stream.readable().await?;
            match socket::try_transfer(|| self.stream.try_read(&mut discarded))? {
                Transfer::Bytes(0) => return Ok(()),
                Transfer::Bytes(_) | Transfer::WouldBlock => {}
                Transfer::OutOfMemory => socket::memory_backoff().await,
            }
        }
    }

    /// Records bytes that have been read. Fails on too many interim responses.
    fn record_read(&self, bytes: &[u8]) -> io::Result<()> {
        if self.is_idle.get() && !bytes.is_empty() {
            self.surplus.record();
        }
        let mut status_line = self.status_line.borrow_mut();
        let was_unknown = status_line.status().is_none();
        status_line.feed(bytes)?;
        if was_unknown && status_line.status().is_some() {
            self.status_read_at.set(Some(Instant::now()));
        }
        let read_before = self.read_bytes.replace(self.read_bytes.get() + bytes.len() as u64);
        if read_before == 0 && !bytes.is_empty() {
            self.response_begun.notify_one();
        }
        Ok(())
    }
}

/// The connection as the HTTP library reads and writes it.
pub struct WireStream(pub Rc<Wire>);

impl WireStream {
    /// Shuts down the sending side, and discards what arrives until the endpoint has closed the connection too.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn close(self) -> io::Result<()> {
        self.0.close().await
    }

    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let wire = &self.0;
        // Bytes that arrived before the call is written are not its response, and must not be mistaken for it.
        if wire.is_call_unwritten() && !wire.is_open_without_unread_bytes() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the endpoint closed the connection or sent bytes between calls",
            )));
        }
        let count = ready!(socket::poll_write(&wire.stream, cx, write))?;
        wire.written_bytes.set(wire.written_bytes.get() + count as u64);
        Poll::Ready(Ok(count))
    }
}

impl AsyncRead for WireStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let wire = &self.0;
        let count = ready!(socket::poll_read(&wire.stream, cx, buf.initialize_unfilled()))?;
        wire.record_read(&buf.initialize_unfilled()[..count])?;
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WireStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
