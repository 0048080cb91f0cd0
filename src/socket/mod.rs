//! Socket calls that handle the failures that Linux documents: transfers that a signal interrupts or shortens, and
//! transient errors of this machine. They are independent of any protocol.
//!
//! - `errors` classifies system errors.
//! - `retry` retries system calls that fail with transient errors.
//! - `transfer` reads and writes without waiting.
//! - `stream` opens connections.
//!
//! The runtime treats a short read or write as a sign of an empty or full socket, as `epoll(7)` allows, and waits for
//! the next edge. `read(2)` and `write(2)` allow short transfers for other reasons too, after which there is no edge.
//! Here only `EAGAIN` means that the caller has to wait.

mod errors;
mod retry;
mod stream;
mod transfer;

pub use errors::{is_local_failure, is_transient, AsIoError};
pub use retry::{retry_interrupted, retry_transient, retry_transient_blocking};
pub use stream::{acknowledge, connect, disable_nagle, RequestStream, RetryingStream};
pub use transfer::{memory_backoff, peek, poll_read, poll_write, try_transfer, write_all, Transfer};

use std::time::Duration;

/// The pause before a system call that failed with a transient error is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
