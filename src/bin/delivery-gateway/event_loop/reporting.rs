//! Logs the load every [`REPORT_SWEEPS`] sweeps, and logs late timers, long steps and journal errors at a limited rate.

use std::time::Duration;
use tracing::{error, info, warn};

use super::EventLoop;
use crate::journal::JournalError;
use crate::rate_limited_log::RateLimitedLog;

/// The number of sweeps between two `load` lines.
pub(super) const REPORT_SWEEPS: u32 = 10;
/// A timer or step that is later or longer than this is logged.
const LATENESS_LOG_THRESHOLD: Duration = Duration::from_millis(25);

/// Counters since the last `load` line.
#[derive(Default)]
pub(super) struct LoadCounters {
    pub(super) accepted: u32,
    /// Requests rejected with a `Retry-After`.
    pub(super) rejected: u32,
    pub(super) delivered: u32,
    pub(super) failed: u32,
    pub(super) returned: u32,
    pub(super) calls: u32,
    /// The longest delay of a timer or duration of a step.
    max_lateness: Duration,
}

/// The rate limits of the event loop's log lines.
#[derive(Default)]
pub(super) struct RateLimitedLines {
    pub(super) lateness: RateLimitedLog,
    pub(super) retry_after: RateLimitedLog,
    /// For attempts that the send guard blocks.
    pub(super) breach: RateLimitedLog,
}

/// Logs journal errors at a limited rate.
#[derive(Default)]
pub(super) struct JournalErrorLog {
    error_log: RateLimitedLog,
}

impl JournalErrorLog {
    /// Logs the error of a failed write, and returns whether the write succeeded. A failed write is retried later, or
    /// the step that depends on it is not taken.
    pub(super) fn log_failure(&mut self, written: Result<(), JournalError>) -> bool {
        let Err(error) = written else { return true };
        if let Some(suppressed) = self.error_log.due() {
            error!(%error, suppressed, "the journal cannot be written");
        }
        false
    }
}

impl EventLoop {
    /// Records how late a timer fired or how long a step took, and logs it above [`LATENESS_LOG_THRESHOLD`].
    pub(super) fn record_lateness(&mut self, late: Duration, log_text: &str) {
        self.counters.max_lateness = self.counters.max_lateness.max(late);
        if late > LATENESS_LOG_THRESHOLD {
            if let Some(suppressed) = self.lines.lateness.due() {
                warn!(?late, suppressed, "{log_text}");
            }
        }
    }

    /// Logs the load since the last report, and the destination with the longest queue.
    pub(super) fn report(&mut self) {
        let counters = std::mem::take(&mut self.counters);
        let pending = self.journal.state.pending.len();
        let in_flight = self.in_flight.len();
        let connections = self.pool.take_counters();
        let blocked = self.guard.take_breaches();
        info!(
            accepted = counters.accepted,
            rejected = counters.rejected,
            delivered = counters.delivered,
            failed = counters.failed,
            returned = counters.returned,
            calls = counters.calls,
            pending,
            in_flight,
            max_lateness = ?counters.max_lateness,
            ?connections,
            blocked,
            "load"
        );
        if let Some((destination, waiting, routes)) = self.scheduler.longest_queue(self.clock.now()) {
            info!(destination = destination.0, waiting, ?routes, "longest queue");
        }
    }
}
