//! The pool of connections to endpoints. It decides which idle connections stay open and for how long, and limits the
//! descriptors of all connections.

use delivery_gateway::{socket, AttemptOutcome, EndpointId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};
use tracing::info;

use super::connection::{Connection, ConnectionOrigin};
use super::descriptors::{Descriptor, Descriptors};
use super::surplus::{SurplusBytes, MAX_REST_WAIT};
use crate::rate_limited_log::RateLimitedLog;

/// The ratio of an endpoint's own idle timeout after which an idle connection is closed here, so that no call is sent
/// on a connection that the endpoint is closing.
const IDLE_LIMIT_RATIO: f64 = 0.7;

/// Counts calls by their connections since the last report. A call that is sent again because its connection was stale
/// counts once for each connection.
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
    /// The open connection, with no call on it.
    pub connection: Connection,
    /// Whether the connection was opened for the call or reused.
    pub origin: ConnectionOrigin,
}

/// The pool of connections to endpoints.
pub struct Pool {
    /// The idle connections, by endpoint, the newest last. They are not grouped by address: an address may now belong
    /// to another endpoint, which must not get a connection to the previous one.
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    /// When the idle connections of an endpoint were last closed. A connection with a call in flight at that time is
    /// closed after the call.
    idle_closed_at: RefCell<HashMap<EndpointId, Instant>>,
    /// The descriptors of all connections: idle, with a call, ending a response, or being aborted.
    descriptors: Descriptors,
    connect_timeout: Duration,
    max_idle_time: Duration,
    /// The maximum number of idle connections. 0 while another process makes the calls.
    max_idle: Cell<usize>,
    surplus: Rc<SurplusBytes>,
    counters: RefCell<ConnectionCounters>,
    reset_log: RefCell<RateLimitedLog>,
    too_late_log: RefCell<RateLimitedLog>,
}

impl Pool {
    /// Creates an empty pool with at most `max_connections` open connections, of which at most `max_idle` are idle.
    /// Connecting fails after `connect_timeout`. Endpoints close connections that have been idle for
    /// `connection_idle_timeout`; the pool closes them earlier.
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
            surplus: Rc::default(),
            counters: RefCell::default(),
            reset_log: RefCell::default(),
            too_late_log: RefCell::default(),
        }
    }

    /// Returns the counters since the last call of this function, and resets them.
    pub fn take_counters(&self) -> ConnectionCounters {
        self.counters.take()
    }

    /// Closes the idle connections to an endpoint now, and those with a call in flight as soon as it ends.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
        self.idle_closed_at.borrow_mut().insert(endpoint, Instant::now());
    }

    /// Closes the idle connections to endpoints for which `retained` is false.
    pub fn retain_endpoints(&self, retained: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|endpoint, _| retained(*endpoint));
    }

    /// Closes connections that have been idle for too long, and drops those that the endpoint has closed.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| self.is_usable(connection));
        }
        idle.retain(|_, connections| !connections.is_empty());
        let mut idle_closed_at = self.idle_closed_at.borrow_mut();
        idle_closed_at.retain(|_, closed_at| closed_at.elapsed() < self.max_idle_time);
    }

    /// Sets the maximum number of idle connections. 0 closes those that are idle now; another number closes none of
    /// them.
    pub fn set_max_idle(&self, max_idle: usize) {
        if max_idle == 0 {
            self.retain_endpoints(|_| false);
        }
        self.max_idle.set(max_idle);
    }

    /// Counts a descriptor that another process holds for a call of this gateway, until the returned value is dropped.
    pub fn reserve_descriptor(&self) -> Descriptor {
        self.descriptors.take()
    }

    /// Returns the time limit for opening a connection.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Acquires a connection for a call: an idle one if there is one, otherwise a new one.
    ///
    /// # Errors
    /// `LocalFailure` if the cause lies on this machine and not with the endpoint; `ConnectFailed` if the endpoint
    /// refused, could not be reached or did not accept in time. Nothing was sent.
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

    /// Takes the idle connection that was used last among those that have [rested](SurplusBytes::rest), and waits for up to
    /// [`MAX_REST_WAIT`] until there is one. Returns None if there is no usable idle connection to this address by then.
    async fn take_idle(&self, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        loop {
            let rested_at = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&endpoint)?;
                connections.retain(|connection| connection.address == address && self.is_usable(connection));
                let rested_at = |connection: &Connection| {
                    connection.idle_since + self.surplus.rest(connection.connect_time)
                };
                let now = Instant::now();
                if let Some(newest_rested) = connections.iter().rposition(|each| rested_at(each) <= now) {
                    return Some(connections.remove(newest_rested));
                }
                connections.iter().map(rested_at).min().filter(|at| *at <= now + MAX_REST_WAIT)?
            };
            sleep_until(rested_at).await;
        }
    }

    async fn open(&self, address: SocketAddr, connect_by: Instant) -> Result<Connection, AttemptOutcome> {
        let descriptor =
            timeout_at(connect_by, self.descriptor()).await.map_err(|_| AttemptOutcome::LocalFailure)?;
        match timeout_at(connect_by, Connection::open(address, descriptor, self.surplus.clone())).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) if socket::is_local_failure(&error) => Err(AttemptOutcome::LocalFailure),
            // Refused, unreachable or timed out: nothing was sent.
            Ok(Err(_)) | Err(_) => Err(AttemptOutcome::ConnectFailed),
        }
    }

    /// Waits for a descriptor for one more connection, and closes idle connections for it.
    async fn descriptor(&self) -> Descriptor {
        while self.descriptors.are_exhausted() {
            self.close_oldest_idle();
            self.descriptors.released().await;
        }
        self.descriptors.take()
    }

    /// Returns a connection whose call has ended to the pool, or closes it if it must not be reused.
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

    /// Closes the connection that has been idle for longest. The connections of each endpoint are ordered, the oldest
    /// first.
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

    /// Counts a call by the origin of its connection.
    pub(super) fn count_call(&self, origin: ConnectionOrigin) {
        let mut counters = self.counters.borrow_mut();
        match origin {
            ConnectionOrigin::New => counters.opened += 1,
            ConnectionOrigin::Reused => counters.reused += 1,
        }
    }

    /// Counts and logs a call that was reset after `latency`. `idle_time` is how long its connection had been idle
    /// before; None for a new connection.
    pub(super) fn count_reset(&self, endpoint: EndpointId, idle_time: Option<Duration>, latency: Duration) {
        let mut counters = self.counters.borrow_mut();
        match idle_time {
            Some(_) => counters.resets_on_reused += 1,
            None => counters.resets_on_new += 1,
        }
        if let Some(suppressed) = self.reset_log.borrow_mut().due() {
            info!(
                endpoint = endpoint.0,
                ?idle_time,
                ?latency,
                suppressed,
                "call reset before its response; it may have run"
            );
        }
    }

    /// Logs messages that could not be sent in time because no connection was available.
    pub(super) fn log_too_late(&self, endpoint: EndpointId, messages: usize, waited: Duration) {
        if let Some(suppressed) = self.too_late_log.borrow_mut().due() {
            let endpoint = endpoint.0;
            info!(endpoint, messages, ?waited, suppressed, "messages waited too long for a connection");
        }
    }
}
