//! Retries system calls while their errors are transient.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::thread;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tracing::warn;

use super::errors::{is_transient, AsIoError};
use super::RETRY_DELAY;

/// The time limit for retries of transient errors, after which the operation fails.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Retries a system call while signals interrupt it.
///
/// # Errors
/// Any error of the call but an interruption.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// The state of the retries of one operation.
struct TransientRetries<'a> {
    operation: &'a str,
    deadline: Instant,
    is_logged: bool,
}

impl<'a> TransientRetries<'a> {
    fn new(operation: &'a str) -> Self {
        TransientRetries { operation, deadline: Instant::now() + RETRY_TIMEOUT, is_logged: false }
    }

    /// Returns whether to retry after this error, and logs the first error that is retried.
    fn should_retry(&mut self, error: &io::Error) -> bool {
        let is_retried = is_transient(error) && Instant::now() < self.deadline;
        if is_retried && !self.is_logged {
            warn!(%error, operation = self.operation, "transient system error; retrying");
            self.is_logged = true;
        }
        is_retried
    }
}

/// Retries an operation every 20 ms while its errors are [transient](is_transient), for at most 20 s. `operation` names
/// it in the log.
///
/// # Errors
/// The first error that is not transient, or the last one after 20 s.
pub async fn retry_transient<T, E, F>(operation: &str, mut call: impl FnMut() -> F) -> Result<T, E>
where
    E: AsIoError,
    F: Future<Output = Result<T, E>>,
{
    let mut retries = TransientRetries::new(operation);
    loop {
        match call().await {
            Err(error) if error.as_io_error().is_some_and(|error| retries.should_retry(error)) => {
                sleep(RETRY_DELAY).await
            }
            result => return result,
        }
    }
}

/// Does the same as [`retry_transient`] outside of an async runtime, and blocks the thread meanwhile.
///
/// # Errors
/// The first error that is not transient, or the last one after 20 s.
pub fn retry_transient_blocking<T, E: AsIoError>(
    operation: &str,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut retries = TransientRetries::new(operation);
    loop {
        match call() {
            Err(error) if error.as_io_error().is_some_and(|error| retries.should_retry(error)) => {
                thread::sleep(RETRY_DELAY)
            }
            result => return result,
        }
    }
}
