//! Reads and writes that handle interruptions, short transfers and a shortage of memory.

use rustix::io::Errno;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::retry::retry_interrupted;
use super::RETRY_DELAY;

/// The result of a read or write that does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// The number of bytes that were transferred. 0 from a read means that the peer has closed its side.
    Bytes(usize),
    /// There is nothing to read, or no room to write. The runtime notifies when there is.
    WouldBlock,
    /// The system is short of memory. The connection is intact, but there is no notification of when to retry: async
    /// callers wait with [`memory_backoff`], and poll functions are pending and have their task polled again soon.
    OutOfMemory,
}

/// Makes one read or write that does not wait.
///
/// # Errors
/// The connection is broken.
pub fn try_transfer(mut transfer: impl FnMut() -> io::Result<usize>) -> io::Result<Transfer> {
    match retry_interrupted(&mut transfer) {
        Ok(count) => Ok(Transfer::Bytes(count)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(Transfer::WouldBlock),
        Err(error) if is_out_of_memory(&error) => Ok(Transfer::OutOfMemory),
        Err(error) => Err(error),
    }
}

fn is_out_of_memory(error: &io::Error) -> bool {
    let raw = error.raw_os_error();
    raw == Some(Errno::NOMEM.raw_os_error()) || raw == Some(Errno::NOBUFS.raw_os_error())
}

/// Looks for an unread byte without waiting for one, and leaves it there.
///
/// # Errors
/// The connection is broken.
pub fn peek(stream: &TcpStream) -> io::Result<Transfer> {
    let mut byte = [MaybeUninit::uninit()];
    try_transfer(|| SockRef::from(stream).peek(&mut byte))
}

/// Waits until a read or write that was [out of memory](Transfer::OutOfMemory) may be retried.
pub async fn memory_backoff() {
    sleep(RETRY_DELAY).await;
}

/// Writes all bytes, and waits until there is room as needed.
///
/// # Errors
/// The connection is broken, or a write transfers no bytes.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match try_transfer(|| stream.try_write(bytes))? {
            Transfer::Bytes(0) => return Err(ErrorKind::WriteZero.into()),
            Transfer::Bytes(count) => bytes = &bytes[count..],
            Transfer::WouldBlock => {}
            Transfer::OutOfMemory => memory_backoff().await,
        }
    }
    Ok(())
}

/// Polls for a read. It is pending until there is something to read. Without memory it is pending too, and the task is
/// polled again soon.
///
/// # Errors
/// The connection is broken.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match try_transfer(|| stream.try_read(bytes))? {
            Transfer::Bytes(count) => return Poll::Ready(Ok(count)),
            Transfer::WouldBlock => {}
            Transfer::OutOfMemory => return yield_turn(cx),
        }
    }
}

/// Polls for a write. It is pending until there is room. Without memory it is pending too, and the task is polled again
/// soon.
///
/// # Errors
/// The connection is broken.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match try_transfer(|| write(stream))? {
            Transfer::Bytes(count) => return Poll::Ready(Ok(count)),
            Transfer::WouldBlock => {}
            Transfer::OutOfMemory => return yield_turn(cx),
        }
    }
}

/// Returns pending, and has the task polled again once other tasks have had their turn.
fn yield_turn<T>(cx: &mut Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}
