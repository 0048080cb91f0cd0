//! The log: lines on standard error. Their reader may fail, exit or stop reading: a line is lost then, and the gateway
//! goes on serving.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::retry_on_intr;
use std::io::{self, Write};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// The lowest level that is logged: `error`, `warn`, `info` (if absent), or `debug`, which adds a line for each step of
/// each message and the reason of each close.
const LEVEL_VARIABLE: &str = "DELIVERY_GATEWAY_LOG";
/// The variable's former name, read where the other one is absent.
const FORMER_LEVEL_VARIABLE: &str = "GULLCART_LOG";
/// What a pipe that is ready takes at once (`PIPE_BUF` on Linux); a longer line is cut.
const MAX_LINE_BYTES: usize = 4096;

/// Starts the log. To be called once, before the first line.
pub fn start() {
    let variable = std::env::var(LEVEL_VARIABLE).or_else(|_| std::env::var(FORMER_LEVEL_VARIABLE)).ok();
    let level = variable.and_then(|level| level.parse().ok()).unwrap_or(Level::INFO);
    let lines = tracing_subscriber::fmt().with_writer(StandardError).with_ansi(false).with_target(false);
    // The library would report what it cannot write to standard error, and panic where that fails.
    lines.with_max_level(level).log_internal_errors(false).init();
}

/// Standard error, whose failures are ignored.
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

/// Whether a line can be written now, without waiting for its reader.
fn is_ready() -> bool {
    let stderr = io::stderr();
    let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    // Where polling fails, the line may be written all the same.
    retry_on_intr(|| poll(&mut polled, Some(&at_once))).map_or(true, |ready| ready > 0)
}
