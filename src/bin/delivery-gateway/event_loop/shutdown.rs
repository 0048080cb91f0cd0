//! The shutdown after SIGTERM: decides when the process may exit, and ends the service.
//!
//! The process owes a reply to each request of which it has read a part, in whatever state the request's connection is:
//! waiting for more bytes, for a permit for long requests, for the event loop, or behind another request. It goes on
//! until no message is pending, no call is in flight, all records are written and no request is open, but not beyond
//! [`MAX_SHUTDOWN_TIME`]. A request has time limits of its own, which end a bad client's before that as a rule. Then the
//! phase becomes [`ServicePhase::Closing`]: requests that have arrived completely are answered, others are refused, and
//! after [`CLOSE_TIMEOUT`] the process exits in any case.

use delivery_gateway::{Event, Time};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};
use tracing::info;

use super::EventLoop;
use crate::events::{GatewayEvent, ServicePhase};

/// The maximum time from SIGTERM to [`ServicePhase::Closing`]. The platform sends SIGKILL after 3.7 s.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(3200);
/// The minimum time from SIGTERM to [`ServicePhase::Closing`]. New connections continue to arrive for 0.4 s.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(600);
/// The maximum time for which clients' connections are closed before the process exits.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The time window in which the process ends after a shutdown request.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    /// From this time on, the process ends as soon as nothing is left to do.
    earliest: Instant,
    /// The process ends at this time even if that is not the case, [`CLOSE_TIMEOUT`] later at most. A predecessor that
    /// still relays events to its successor has about as long.
    latest: Instant,
}

impl EventLoop {
    pub(super) fn request_shutdown(&mut self, now: Time) {
        if self.shutdown.is_some() {
            return;
        }
        let requested_at = Instant::now();
        info!(
            pending = self.journal.state.pending.len(),
            in_flight = self.in_flight.len(),
            "shutdown requested"
        );
        self.shutdown = Some(Shutdown {
            earliest: requested_at + MIN_SHUTDOWN_TIME,
            latest: requested_at + MAX_SHUTDOWN_TIME,
        });
        self.scheduler.handle(now, Event::ShutdownScheduled(now + MAX_SHUTDOWN_TIME));
        // During a handover, the connections move to the successor, which continues to serve them.
        if *self.channels.phase.borrow() != ServicePhase::HandingOver {
            self.channels.phase.send_replace(ServicePhase::ShuttingDown);
        }
    }

    /// Continues the shutdown after a handover that has failed. Returns false if no shutdown was requested.
    pub(super) fn resume_shutdown(&mut self) -> bool {
        let Some(Shutdown { latest, .. }) = self.shutdown else { return false };
        let now = self.clock.now();
        let time_left = latest.saturating_duration_since(Instant::now());
        self.scheduler.handle(now, Event::ShutdownScheduled(now + time_left));
        self.channels.phase.send_replace(ServicePhase::ShuttingDown);
        true
    }

    /// Returns the time at which the process ends even if messages are pending, calls are in flight or requests are
    /// open. None if no shutdown was requested.
    pub fn exit_deadline(&self) -> Option<Instant> {
        self.shutdown.map(|shutdown| shutdown.latest)
    }

    /// Returns the next time at which [`can_exit`](Self::can_exit) may change without an event. None if there is none.
    pub(super) fn next_exit_check(&self) -> Option<Instant> {
        let Shutdown { earliest, latest } = self.shutdown?;
        let now = Instant::now();
        [earliest, latest].into_iter().find(|at| *at > now)
    }

    /// Returns whether the end of clients' open requests may be what the exit waits for.
    pub(super) fn awaits_clients(&self) -> bool {
        self.shutdown.is_some() && self.has_open_requests()
    }

    /// Returns whether a client's request is open: see [`Channels`](crate::events::Channels).
    pub fn has_open_requests(&self) -> bool {
        *self.channels.open_requests.borrow() > 0
    }

    /// Returns the number of open requests, to wait for a change of it.
    pub fn open_requests(&self) -> watch::Receiver<usize> {
        self.channels.open_requests.clone()
    }

    pub(super) fn can_exit(&self) -> bool {
        let Some(Shutdown { earliest, latest }) = self.shutdown else { return false };
        let now = Instant::now();
        now >= latest || (now >= earliest && self.is_idle())
    }

    /// Returns whether nothing is left to do. The next process needs all records in the journal.
    fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
            && self.journal.state.pending.is_empty()
            && self.journal.is_flushed()
            && !self.has_open_requests()
    }

    /// Closes clients' connections as soon as what has arrived on them is answered.
    pub fn close_clients(&self) {
        self.channels.phase.send_replace(ServicePhase::Closing);
    }

    /// Ends the service: closes clients' connections, and answers their requests meanwhile. `closed` completes when all
    /// connections are closed, and is waited for for at most [`CLOSE_TIMEOUT`]. The next process finds the accepted
    /// messages in the journal.
    pub async fn end_service(
        &mut self,
        events: &mut UnboundedReceiver<GatewayEvent>,
        closed: impl Future<Output = ()>,
    ) {
        self.close_clients();
        let mut closed = pin!(timeout(CLOSE_TIMEOUT, closed));
        let are_closed = loop {
            tokio::select! {
                biased;
                Some(event) = events.recv() => self.handle(event),
                closed = &mut closed => break closed.is_ok(),
            }
        };
        let flushed = self.journal.flush();
        self.journal_errors.log_failure(flushed);
        info!(
            pending = self.journal.state.pending.len(),
            in_flight = self.in_flight.len(),
            open_requests = *self.channels.open_requests.borrow(),
            are_closed,
            "shutdown completed"
        );
    }
}
