//! Applies changes of the endpoint list, and of the endpoints that operators disable, to the directory, the scheduler,
//! the journal, the connection pool, and the calls that are still connecting.

use delivery_gateway::discovery::{DiscoveryUpdate, WatchEvent};
use delivery_gateway::{Event, Time};
use tracing::info;

use super::EventLoop;

impl EventLoop {
    pub(super) fn handle_watch_event(&mut self, now: Time, event: WatchEvent) {
        match event {
            WatchEvent::Updated(update) => self.apply_discovery_update(now, update),
            WatchEvent::Established => self.scheduler.handle(now, Event::WatchEstablished),
            WatchEvent::Broken(failure) => self.scheduler.handle(now, Event::EndpointsUpdated(failure)),
        }
    }

    fn apply_discovery_update(&mut self, now: Time, update: DiscoveryUpdate) {
        // A watch that is established again often reports an empty delta.
        if update.endpoints.is_empty() && !update.is_snapshot {
            return;
        }
        let endpoints = self.directory.apply(&update);
        self.scheduler.handle(now, Event::EndpointsUpdated(endpoints));
        let revision = update.revision;
        let changed = update.endpoints.len();
        let recorded = self.journal.record_endpoints(update);
        self.journal_errors.log_failure(recorded);
        info!(revision, changed, "endpoint list updated");
        self.pool.retain_endpoints(|endpoint| self.directory.accepts_calls(endpoint));
        self.in_flight.withdraw(|endpoint| !self.directory.accepts_calls(endpoint));
        self.forget_removed_endpoints();
    }

    /// Starts no more calls to an endpoint, whatever its state in the list, and withdraws those that are still
    /// connecting.
    pub(super) fn disable_endpoint(&mut self, now: Time, uid: &str) {
        let endpoint = self.directory.set_disabled(uid, true);
        self.scheduler.handle(now, Event::EndpointDisabled(endpoint));
        self.in_flight.withdraw(|other| other == endpoint);
        self.forget_removed_endpoints();
    }

    /// Allows calls to a disabled endpoint again, unless its state in the list forbids them.
    pub(super) fn enable_endpoint(&mut self, now: Time, uid: &str) {
        let endpoint = self.directory.set_disabled(uid, false);
        self.scheduler.handle(now, Event::EndpointEnabled(endpoint));
        self.forget_removed_endpoints();
    }

    /// Removes endpoints that are no longer listed from the directory, except those with calls in flight.
    pub(super) fn forget_removed_endpoints(&mut self) {
        if self.directory.has_unlisted_endpoints() {
            let called = self.in_flight.endpoints();
            self.directory.remove_unlisted_endpoints(|endpoint| called.contains(&endpoint));
        }
    }
}
