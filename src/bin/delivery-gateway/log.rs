//! The log: lines on standard error. Whoever takes them may fail, go away or stop reading: a line is lost then, and
//! the courier goes on.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::retry_on_intr;
use std::io::{self, Write};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// Names the least level of the lines: `error`, `warn`, `info` (if absent), `debug`, which adds a line for each step of
/// each message and the reason of each close.
const LEVEL_VARIABLE: &str = "DELIVERY_GATEWAY_LOG";
/// The name that the variable had before; it is read where the other one is absent.
const FORMER_LEVEL_VARIABLE: &str = "GULLCART_LOG";
/// What a pipe that can be written at all takes at once, by POSIX's least `PIPE_BUF` on Linux; a longer line is cut.
const LONGEST_LINE: usize = 4096;

/// Begins the log.
pub fn begin() {
    let told = std::env::var(LEVEL_VARIABLE).or_else(|_| std::env::var(FORMER_LEVEL_VARIABLE)).ok();
    let level = told.and_then(|level| level.parse().ok()).unwrap_or(Level::INFO);
    let lines = tracing_subscriber::fmt().with_writer(StandardError).with_ansi(false).with_target(false);
    // The library would report what it cannot write to standard error, and panic where that fails.
    lines.with_max_level(level).log_internal_errors(false).init();
}

/// Standard error, of which no failure is seen.
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
        if takes_a_line() {
            let cut = &line[..line.len().min(LONGEST_LINE)];
            let _ = retry_on_intr(|| rustix::io::write(io::stderr(), cut));
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether a line can be written now, without waiting for whoever reads.
fn takes_a_line() -> bool {
    let stderr = io::stderr();
    let mut asked = [PollFd::new(&stderr, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    // What cannot be asked may be written all the same.
    retry_on_intr(|| poll(&mut asked, Some(&at_once))).map_or(true, |ready| ready > 0)
}
