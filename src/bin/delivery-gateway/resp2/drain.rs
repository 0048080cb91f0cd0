//! Reads and discards what a refused client still sends. Closing a connection with unread bytes would reset it, and the
//! client would lose the error reply.

use delivery_gateway::socket::{memory_backoff, try_transfer, Transfer};
use std::cell::RefCell;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_DRAINED_BYTES: usize = 80 << 20;
const DISCARD_BUFFER_BYTES: usize = 64 << 10;

/// Discards what arrives until the client closes its side, for at most [`DRAIN_TIMEOUT`] and [`MAX_DRAINED_BYTES`].
///
/// # Errors
/// The connection is broken.
pub async fn drain(stream: &TcpStream) -> io::Result<()> {
    let drained = timeout(DRAIN_TIMEOUT, discard_until_closed(stream)).await;
    drained.unwrap_or(Ok(()))
}

async fn discard_until_closed(stream: &TcpStream) -> io::Result<()> {
    let mut bytes_left = MAX_DRAINED_BYTES;
    while bytes_left > 0 {
        stream.readable().await?;
        match discard(stream)? {
            Transfer::Bytes(0) => break,
            Transfer::Bytes(count) => bytes_left = bytes_left.saturating_sub(count),
            Transfer::WouldBlock => {}
            Transfer::OutOfMemory => memory_backoff().await,
        }
        yield_now().await;
    }
    Ok(())
}

/// Reads once into a buffer that all connections of this thread share.
fn discard(stream: &TcpStream) -> io::Result<Transfer> {
    thread_local! {
        static DISCARDED: RefCell<Box<[u8]>> = RefCell::new(vec![0; DISCARD_BUFFER_BYTES].into());
    }
    DISCARDED.with_borrow_mut(|buffer| try_transfer(|| stream.try_read(buffer)))
}
