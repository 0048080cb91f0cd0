//! Socket calls that survive what Linux documents: transfers that a signal interrupts or cuts short, and errors of this
//! machine that pass. It knows no protocol, and decides nothing.
//!
//! The runtime takes a short read or write for an empty or full socket, as `epoll(7)` allows, and waits for the next
//! edge; `read(2)` and `write(2)` allow short transfers for other reasons, after which no edge comes. Here only
//! `EAGAIN` says that there is something to wait for.

use rustix::io::Errno;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};
use tracing::warn;

/// How long this machine may be unable to make a connection before that is an error.
const LOCAL_PATIENCE: Duration = Duration::from_millis(250);
/// How long a start, or what only the courier's own machine is needed for, is tried again.
const PATIENCE: Duration = Duration::from_secs(20);
/// Between two tries of what fails for a moment.
const AGAIN: Duration = Duration::from_millis(20);

/// Errors that pass without anybody's doing: short resources, interruptions, and a disk that fails for a while.
const MOMENTARY: [Errno; 16] = [
    Errno::AGAIN,
    Errno::INTR,
    Errno::NFILE,
    Errno::MFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::CONNABORTED,
    Errno::NOLCK,
    Errno::NOSPC,
    Errno::DQUOT,
    Errno::IO,
    Errno::BUSY,
];

/// Whether an error says that something could not be done just now, and may be possible a moment later.
pub fn is_momentary(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|raw| MOMENTARY.iter().any(|errno| errno.raw_os_error() == raw))
}

/// Errors of a connect that this machine alone is to blame for.
const OF_THIS_MACHINE: [Errno; 7] =
    [Errno::AGAIN, Errno::INTR, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];

/// Whether a connect failed for want of something on this machine, and so says nothing of the other side.
pub fn is_of_this_machine(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|raw| OF_THIS_MACHINE.iter().any(|errno| errno.raw_os_error() == raw))
}

/// Makes a call again for as long as signals interrupt it.
///
/// # Errors
/// Whatever else the call ends with.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Tries of one thing, for as long as its errors are [momentary](is_momentary) ones.
struct Tries<'a> {
    what: &'a str,
    end: Instant,
    told: bool,
}

impl<'a> Tries<'a> {
    fn new(what: &'a str) -> Self {
        Tries { what, end: Instant::now() + PATIENCE, told: false }
    }

    /// Whether to try again after this error, which is told of once.
    fn go_on(&mut self, error: &io::Error) -> bool {
        let goes_on = is_momentary(error) && Instant::now() < self.end;
        if goes_on && !self.told {
            warn!(%error, what = self.what, "it fails for now, and is tried again");
            self.told = true;
        }
        goes_on
    }
}

/// Makes a call again for as long as its errors are [momentary](is_momentary) ones, up to 20 s.
///
/// # Errors
/// The first one that will not pass by itself, or the last one.
pub async fn persistently<T, E, F>(what: &str, mut call: impl FnMut() -> F) -> Result<T, E>
where
    E: AsIoError,
    F: Future<Output = Result<T, E>>,
{
    let mut tries = Tries::new(what);
    loop {
        match call().await {
            Err(error) if error.as_io_error().is_some_and(|error| tries.go_on(error)) => sleep(AGAIN).await,
            result => return result,
        }
    }
}

/// The same where no event loop runs: this thread waits.
///
/// # Errors
/// The first one that will not pass by itself, or the last one.
pub fn persistently_blocking<T, E: AsIoError>(
    what: &str,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut tries = Tries::new(what);
    loop {
        match call() {
            Err(error) if error.as_io_error().is_some_and(|error| tries.go_on(error)) => thread::sleep(AGAIN),
            result => return result,
        }
    }
}

/// An error that may be one of the system's.
pub trait AsIoError {
    /// The system's error, if it is one.
    fn as_io_error(&self) -> Option<&io::Error>;
}

impl AsIoError for io::Error {
    fn as_io_error(&self) -> Option<&io::Error> {
        Some(self)
    }
}

/// Connects without delay of small writes. What this machine cannot do just now is tried again for a moment.
///
/// # Errors
/// What the other side, or the way to it, answers; or what this machine could not do for a quarter of a second.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let end = Instant::now() + LOCAL_PATIENCE;
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => {
                send_at_once(&stream);
                return Ok(stream);
            }
            Err(error) if is_momentary(&error) && Instant::now() + AGAIN < end => sleep(AGAIN).await,
            Err(error) => return Err(error),
        }
    }
}

/// Has small writes sent at once. A connection on which that cannot be set serves all the same.
pub fn send_at_once(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "small writes may wait");
    }
}

/// What came of a read or write that does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// So many bytes; none at the end of what is read.
    Bytes(usize),
    /// There is nothing to read, or no room: the runtime tells when there is.
    Nothing,
    /// The system is short of memory. The connection is whole, and nobody tells when to try again.
    NotNow,
}

/// Makes one read or write that does not wait.
///
/// # Errors
/// The connection is broken.
pub fn try_transfer(mut transfer: impl FnMut() -> io::Result<usize>) -> io::Result<Transfer> {
    match uninterrupted(&mut transfer) {
        Ok(count) => Ok(Transfer::Bytes(count)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(Transfer::Nothing),
        Err(error) if is_want_of_memory(&error) => Ok(Transfer::NotNow),
        Err(error) => Err(error),
    }
}

fn is_want_of_memory(error: &io::Error) -> bool {
    let raw = error.raw_os_error();
    raw == Some(Errno::NOMEM.raw_os_error()) || raw == Some(Errno::NOBUFS.raw_os_error())
}

/// Waits until a read or write may be tried again for which there was [no memory](Transfer::NotNow).
pub async fn not_now() {
    sleep(AGAIN).await;
}

/// Writes all of it.
///
/// # Errors
/// The connection is broken, or takes no more.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match try_transfer(|| stream.try_write(bytes))? {
            Transfer::Bytes(0) => return Err(ErrorKind::WriteZero.into()),
            Transfer::Bytes(count) => bytes = &bytes[count..],
            Transfer::Nothing => {}
            Transfer::NotNow => not_now().await,
        }
    }
    Ok(())
}

/// Reads as soon as there is something, for a task.
///
/// # Errors
/// The connection is broken.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match try_transfer(|| stream.try_read(bytes))? {
            Transfer::Bytes(count) => return Poll::Ready(Ok(count)),
            Transfer::Nothing => {}
            Transfer::NotNow => return next_turn(cx),
        }
    }
}

/// Writes as soon as there is room, for a task.
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
            Transfer::Nothing => {}
            Transfer::NotNow => return next_turn(cx),
        }
    }
}

/// Has a task look again once all others have had their turn.
fn next_turn<T>(cx: &mut Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// A connection for libraries that read and write by themselves.
#[derive(Debug)]
pub struct SteadyStream(pub TcpStream);

impl AsyncRead for SteadyStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let count = ready!(poll_read(&self.0, cx, buf.initialize_unfilled()))?;
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SteadyStream {
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
