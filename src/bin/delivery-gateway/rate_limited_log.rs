//! Limits the rate of log lines for events that clients, endpoints or the system can cause at any rate.

use std::time::{Duration, Instant};

/// The minimum time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Limits the log lines for one kind of event, and counts the suppressed ones.
#[derive(Default)]
pub struct RateLimitedLog {
    last_line: Option<Instant>,
    suppressed: u32,
}

impl RateLimitedLog {
    /// Returns the number of events suppressed since the last line if this event may be logged. Otherwise counts the
    /// event as suppressed, and returns None.
    pub fn due(&mut self) -> Option<u32> {
        if self.last_line.is_some_and(|last| last.elapsed() < MIN_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_line = Some(Instant::now());
        Some(std::mem::take(&mut self.suppressed))
    }
}
