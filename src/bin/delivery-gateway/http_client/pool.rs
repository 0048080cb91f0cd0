//! The connections to endpoints between calls: which ones stay open, for how long, and on how many descriptors.

use delivery_gateway::{socket, AttemptOutcome, EndpointId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};
use tracing::info;

use super::connection::{Connection, ConnectionOrigin};
use super::descriptors::{Descriptor, Descriptors};
use crate::rate_limited_log::RateLimitedLog;

/// Part of an endpoint's own idle limit after which idle connections are closed, so that no call meets its closing.
const IDLE_LIMIT_RATIO: f64 = 0.7;
/// How long a connection rests before it is used again, so that bytes right behind a response are seen before they
/// could be taken for the next one. Opening a new connection would take longer.
const REST_BEFORE_REUSE: Duration = Duration::from_millis(5);

/// What happened on connections since the last report.
#[derive(Debug, Default)]
pub struct ConnectionCounters {
    /// Calls on connections opened for them.
    pub opened: u32,
    /// Calls on reused connections.
    pub reused: u32,
    /// Calls reset on connections opened for them.
    pub resets_on_new: u32,
    /// Calls reset on reused connections.
    pub resets_on_reused: u32,
}

/// A connection that a call may use.
pub struct AcquiredConnection {
    /// Open, with no call on it.
    pub connection: Connection,
    /// Where it is from.
    pub origin: ConnectionOrigin,
}

/// The connections to endpoints. Idle ones are grouped by endpoint, the newest last: an address may belong to another
/// endpoint by now, which must not be given what is left of the one before.
pub struct Pool {
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    /// When the idle connections of an endpoint were closed last: one with a call then is closed after it.
    idle_closed_at: RefCell<HashMap<EndpointId, Instant>>,
    /// Of connections that are idle, with a call, ending a response, or being aborted.
    descriptors: Descriptors,
    connect_timeout: Duration,
    max_idle_time: Duration,
    /// None while another process makes the calls.
    max_idle: Cell<usize>,
    counters: RefCell<ConnectionCounters>,
    reset_log: RefCell<RateLimitedLog>,
    too_late_log: RefCell<RateLimitedLog>,
}

impl Pool {
    /// At most `max_connections` are open at a time, and `max_idle` of them idle. Connecting takes `connect_timeout` at
    /// most; endpoints close connections that have been idle for `connection_idle_timeout`.
    pub fn new(
        connect_timeout: Duration,
        connection_idle_timeout: Duration,
        max_connections: usize,
        max_idle: usize,
    ) -> Self {
        Pool {
            idle: RefCell::default(),
            idle_closed_at: RefCell::default(),
            descriptors: Descriptors::new(max_connections),
            connect_timeout,
            max_idle_time: connection_idle_timeout.mul_f64(IDLE_LIMIT_RATIO),
            max_idle: Cell::new(max_idle),
            counters: RefCell::default(),
            reset_log: RefCell::default(),
            too_late_log: RefCell::default(),
        }
    }

    /// What happened since this was called last.
    pub fn take_counters(&self) -> ConnectionCounters {
        self.counters.take()
    }

    /// Closes the idle connections to an endpoint, and those with a call as soon as it ends.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
        self.idle_closed_at.borrow_mut().insert(endpoint, Instant::now());
    }

    /// Closes the idle connections to endpoints that `retained` does not name.
    pub fn retain_endpoints(&self, retained: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|endpoint, _| retained(*endpoint));
    }

    /// Closes connections that have been idle for too long or were closed by the endpoint.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| self.is_usable(connection));
        }
        idle.retain(|_, connections| !connections.is_empty());
        let mut idle_closed_at = self.idle_closed_at.borrow_mut();
        idle_closed_at.retain(|_, closed_at| closed_at.elapsed() < self.max_idle_time);
    }

    /// Keeps at most so many idle connections from now on; none closes those that are idle.
    pub fn set_max_idle(&self, max_idle: usize) {
        if max_idle == 0 {
            self.retain_endpoints(|_| false);
        }
        self.max_idle.set(max_idle);
    }

    /// Stands for a descriptor that another process holds for a call of this gateway.
    pub fn reserve_descriptor(&self) -> Descriptor {
        self.descriptors.take()
    }

    /// How long connecting may take.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// A connection for a call: an idle one if there is one, else a new one.
    ///
    /// # Errors
    /// `LocalFailure` where this machine could not connect, which says nothing of the endpoint; `ConnectFailed` where
    /// the endpoint refused or did not accept in time. Nothing was sent.
    pub(super) async fn acquire(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        connect_by: Instant,
    ) -> Result<AcquiredConnection, AttemptOutcome> {
        if let Some(connection) = self.take_idle(endpoint, address).await {
            return Ok(AcquiredConnection { connection, origin: ConnectionOrigin::Reused });
        }
        let connection = self.open(address, connect_by).await?;
        Ok(AcquiredConnection { connection, origin: ConnectionOrigin::New })
    }

    /// An idle connection, once one has rested; none if there is none.
    async fn take_idle(&self, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        loop {
            let rested_at = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&endpoint)?;
                connections.retain(|connection| connection.address == address && self.is_usable(connection));
                let oldest_idle_since = connections.first()?.idle_since;
                let has_rested =
                    |connection: &Connection| connection.idle_since.elapsed() >= REST_BEFORE_REUSE;
                if let Some(newest_rested) = connections.iter().rposition(has_rested) {
                    return Some(connections.remove(newest_rested));
                }
                oldest_idle_since + REST_BEFORE_REUSE
            };
            sleep_until(rested_at).await;
        }
    }

    async fn open(&self, address: SocketAddr, connect_by: Instant) -> Result<Connection, AttemptOutcome> {
        let descriptor =
            timeout_at(connect_by, self.descriptor()).await.map_err(|_| AttemptOutcome::LocalFailure)?;
        match timeout_at(connect_by, Connection::open(address, descriptor)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) if socket::is_local_failure(&error) => Err(AttemptOutcome::LocalFailure),
            // Refused or timed out: nothing was sent.
            Ok(Err(_)) | Err(_) => Err(AttemptOutcome::ConnectFailed),
        }
    }

    /// A descriptor for one more connection; idle ones are closed for it.
    async fn descriptor(&self) -> Descriptor {
        while self.descriptors.are_exhausted() {
            self.close_oldest_idle();
            self.descriptors.released().await;
        }
        self.descriptors.take()
    }

    /// Takes back a connection whose call has ended, or closes it where it is not to be reused.
    pub(super) fn put_back(&self, endpoint: EndpointId, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let closed_at = self.idle_closed_at.borrow().get(&endpoint).copied();
        if closed_at.is_some_and(|closed_at| closed_at >= connection.call_began) || self.max_idle.get() == 0 {
            return;
        }
        if self.idle.borrow().values().map(Vec::len).sum::<usize>() >= self.max_idle.get() {
            self.close_oldest_idle();
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
    }

    /// Closes the connection that has been idle for longest; each endpoint's are ordered, the oldest first.
    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest_of_each = idle.iter().filter_map(|(endpoint, connections)| {
            connections.first().map(|connection| (connection.idle_since, *endpoint))
        });
        let oldest = oldest_of_each.min();
        if let Some(connections) = oldest.and_then(|(_, endpoint)| idle.get_mut(&endpoint)) {
            connections.remove(0);
        }
    }

    fn is_usable(&self, connection: &Connection) -> bool {
        connection.idle_since.elapsed() < self.max_idle_time && !connection.is_closed()
    }

    /// Counts a call on a connection.
    pub(super) fn count_call(&self, origin: ConnectionOrigin) {
        let mut counters = self.counters.borrow_mut();
        match origin {
            ConnectionOrigin::New => counters.opened += 1,
            ConnectionOrigin::Reused => counters.reused += 1,
        }
    }

    /// Counts and logs a call that was reset, on a connection that had been idle for so long, or on a new one.
    pub(super) fn count_reset(&self, endpoint: EndpointId, idle_time: Option<Duration>, latency: Duration) {
        let mut counters = self.counters.borrow_mut();
        match idle_time {
            Some(_) => counters.resets_on_reused += 1,
            None => counters.resets_on_new += 1,
        }
        if let Some(suppressed) = self.reset_log.borrow_mut().due() {
            info!(endpoint = endpoint.0, ?idle_time, ?latency, suppressed, "a call was reset");
        }
    }

    /// Logs messages that could not be sent in time for want of a connection.
    pub(super) fn log_too_late(&self, endpoint: EndpointId, messages: usize, waited: Duration) {
        if let Some(suppressed) = self.too_late_log.borrow_mut().due() {
            let endpoint = endpoint.0;
            info!(endpoint, messages, ?waited, suppressed, "messages waited too long for a connection");
        }
    }
}
