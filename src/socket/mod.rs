//! Socket calls that survive what Linux documents: transfers that a signal interrupts or cuts short, and errors of
//! this machine that pass by themselves. It knows no protocol, and decides nothing.
//!
//! `errors` tells which errors those are, `retry` retries system calls for them, `transfer` reads and writes
//! without waiting, and `stream` opens connections.
//!
//! The runtime treats a short read or write as a sign of an empty or full socket, as `epoll(7)` allows, and waits for
//! the next edge; `read(2)` and `write(2)` allow short transfers for other reasons, after which there is no edge.
//! Here only `EAGAIN` means that there is something to wait for.

mod errors;
mod retry;
mod stream;
mod transfer;

pub use errors::{is_local_failure, is_transient, AsIoError};
pub use retry::{retry_interrupted, retry_transient, retry_transient_blocking};
pub use stream::{connect, disable_nagle, RetryingStream};
pub use transfer::{memory_backoff, poll_read, poll_write, try_transfer, write_all, Transfer};

use std::time::Duration;

/// Pause before a system call is retried that failed with a transient error.
const RETRY_DELAY: Duration = Duration::from_millis(20);
