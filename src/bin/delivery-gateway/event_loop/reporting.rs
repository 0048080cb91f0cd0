//! What the log says of the event loop: a line of the load every [`REPORT_SWEEPS`] sweeps, late steps, and journal
//! errors.

use std::time::Duration;
use tracing::{error, info, warn};

use super::EventLoop;
use crate::journal::JournalError;
use crate::rate_limited_log::RateLimitedLog;

/// Sweeps between two lines of the load.
pub(super) const REPORT_SWEEPS: u32 = 10;
/// Lateness above this is logged.
const LATENESS_LIMIT: Duration = Duration::from_millis(25);

/// What has happened since the last line of the load.
#[derive(Default)]
pub(super) struct LoadCounters {
    pub(super) accepted: u32,
    /// Requests rejected with a `Retry-After`.
    pub(super) rejected: u32,
    pub(super) delivered: u32,
    pub(super) failed: u32,
    pub(super) returned: u32,
    pub(super) calls: u32,
    max_lateness: Duration,
}

/// Logs journal errors at a bounded rate.
#[derive(Default)]
pub(super) struct JournalErrorLog {
    lines: RateLimitedLog,
}

impl JournalErrorLog {
    /// Logs the error, if there is one; true if there is none. What could not be written is retried later.
    pub(super) fn log_failure(&mut self, written: Result<(), JournalError>) -> bool {
        let Err(error) = written else { return true };
        if let Some(suppressed) = self.lines.due() {
            error!(%error, suppressed, "the journal cannot be written");
        }
        false
    }
}

impl EventLoop {
    /// Notes by how much a step was late, or how long it took.
    pub(super) fn note_lateness(&mut self, late: Duration, what: &str) {
        self.counters.max_lateness = self.counters.max_lateness.max(late);
        if late > LATENESS_LIMIT {
            if let Some(suppressed) = self.lateness_lines.due() {
                warn!(?late, suppressed, "{what}");
            }
        }
    }

    /// Logs the load since the last report, and the longest queue.
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
