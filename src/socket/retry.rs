//! Makes system calls again for as long as their errors are ones that pass.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::thread;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tracing::warn;

use super::errors::{is_transient, AsIoError};
use super::AGAIN;

/// How long a start, or what only the courier's own machine is needed for, is tried again.
const PATIENCE: Duration = Duration::from_secs(20);

/// Makes a call again for as long as signals interrupt it.
///
/// # Errors
/// Whatever else the call ends with.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Tries of one thing, for as long as its errors are [transient](is_transient) ones.
struct TransientRetries<'a> {
    what: &'a str,
    end: Instant,
    told: bool,
}

impl<'a> TransientRetries<'a> {
    fn new(what: &'a str) -> Self {
        TransientRetries { what, end: Instant::now() + PATIENCE, told: false }
    }

    /// Whether to try again after this error, which is told of once.
    fn should_retry(&mut self, error: &io::Error) -> bool {
        let goes_on = is_transient(error) && Instant::now() < self.end;
        if goes_on && !self.told {
            warn!(%error, what = self.what, "it fails for now, and is tried again");
            self.told = true;
        }
        goes_on
    }
}

/// Makes a call again for as long as its errors are [transient](is_transient) ones, up to 20 s.
///
/// # Errors
/// The first one that will not pass by itself, or the last one.
pub async fn retry_transient<T, E, F>(what: &str, mut call: impl FnMut() -> F) -> Result<T, E>
where
    E: AsIoError,
    F: Future<Output = Result<T, E>>,
{
    let mut tries = TransientRetries::new(what);
    loop {
        match call().await {
            Err(error) if error.as_io_error().is_some_and(|error| tries.should_retry(error)) => {
                sleep(AGAIN).await
            }
            result => return result,
        }
    }
}

/// The same where no event loop runs: this thread waits.
///
/// # Errors
/// The first one that will not pass by itself, or the last one.
pub fn retry_transient_blocking<T, E: AsIoError>(
    what: &str,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut tries = TransientRetries::new(what);
    loop {
        match call() {
            Err(error) if error.as_io_error().is_some_and(|error| tries.should_retry(error)) => {
                thread::sleep(AGAIN)
            }
            result => return result,
        }
    }
}
