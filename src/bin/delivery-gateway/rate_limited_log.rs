//! Bounds the rate of a log line that the outside can cause at any rate.

use std::time::{Duration, Instant};

/// The shortest time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Lets one of many similar events be logged at a time, with the number of those that were suppressed.
#[derive(Default)]
pub struct RateLimitedLog {
    last_line: Option<Instant>,
    suppressed: u32,
}

impl RateLimitedLog {
    /// The number of events suppressed since the last line, if a line is due; else this event is suppressed.
    pub fn due(&mut self) -> Option<u32> {
        if self.last_line.is_some_and(|last| last.elapsed() < MIN_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_line = Some(Instant::now());
        Some(std::mem::take(&mut self.suppressed))
    }
}
