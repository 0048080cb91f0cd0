//! Writes the log to standard error. If its reader fails, exits or stops reading, lines are lost, and the gateway
//! continues to serve.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::retry_on_intr;
use std::io::{self, Write};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// The variable with the lowest level that is logged: `error`, `warn`, `info` (the default) or `debug`. Level `debug`
/// adds lines for the steps of each message (its reply, attempts, final outcome and acknowledged notification), and the
/// reason for each client connection that the gateway closes.
const LEVEL_VARIABLE: &str = "DELIVERY_GATEWAY_LOG";
/// The former name of the variable. It is read if [`LEVEL_VARIABLE`] is not set.
const FORMER_LEVEL_VARIABLE: &str = "GULLCART_LOG";
/// The maximum length of a line; a longer line is cut. A pipe that is ready takes this many bytes without blocking
/// (`PIPE_BUF` on Linux).
const MAX_LINE_BYTES: usize = 4096;

/// Starts the log. Must be called once, before the first line.
pub fn start() {
    let level_name = std::env::var(LEVEL_VARIABLE).or_else(|_| std::env::var(FORMER_LEVEL_VARIABLE)).ok();
    let level = level_name.and_then(|level| level.parse().ok()).unwrap_or(Level::INFO);
    let lines = tracing_subscriber::fmt().with_writer(StandardError).with_ansi(false).with_target(false);
    // The library would report a failed write to standard error, and panic if that fails as well.
    lines.with_max_level(level).log_internal_errors(false).init();
}

/// A writer to standard error that ignores failures.
#[derive(Clone, Copy)]
struct StandardError;

impl<'a> MakeWriter<'a> for StandardError {
    type Writer = StandardError;

    fn make_writer(&'a self) -> StandardError {
        StandardError
    }
}

impl Write for StandardError {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if is_ready() {
            let cut = &line[..line.len().min(MAX_LINE_BYTES)];
            let _ = retry_on_intr(|| rustix::io::write(io::stderr(), cut));
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns whether a line can be written now, without waiting for its reader.
fn is_ready() -> bool {
    let stderr = io::stderr();
    let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    // If polling fails, the line is written anyway.
    retry_on_intr(|| poll(&mut polled, Some(&no_wait))).map_or(true, |ready| ready > 0)
}
