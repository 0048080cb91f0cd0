//! The connection slots: limits the number of client connections, tracks the state of each, and selects the one to
//! evict when another connection needs a slot or too many are idle.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify, Semaphore};
use tokio::time::{timeout, Instant};

/// While no slot is free, a connection that has waited this long for its first request is evicted before idle ones.
const FIRST_REQUEST_UNDER_PRESSURE: Duration = Duration::from_millis(250);
/// While no slot is free, a connection may be evicted within a request that has been incomplete for this long. Clients
/// wait 400 ms for a reply.
const PARTIAL_REQUEST_UNDER_PRESSURE: Duration = Duration::from_millis(400);

/// The limits for client connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum number of connections between two requests. Clients limit their own number of connections: idle ones
    /// that stayed open would leave them none to send on.
    pub idle: usize,
    /// The maximum number of requests longer than 4 KiB that are read at the same time.
    pub long_requests: usize,
}

/// The state of a connection, which determines whether it may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing has been read yet.
    AwaitingFirstRequest,
    /// Between two requests.
    Idle,
    /// A part of a request has been read.
    PartialRequest,
    /// A request is being served.
    Serving,
    /// The request has been refused, and its rest is skipped, or nothing more is served after malformed bytes.
    Refused,
    /// The connection is asked to close, which it does unless more of a request has arrived.
    Evicted,
}

impl ConnectionState {
    /// Returns whether a request is open: a part of it has been read, and it has no reply. An evicted connection may
    /// have one.
    fn has_open_request(self) -> bool {
        matches!(self, ConnectionState::PartialRequest | ConnectionState::Serving | ConnectionState::Evicted)
    }
}

/// The order in which connections are evicted, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No further request is served on it.
    Refused,
    /// Its first request is unlikely to follow: [`FIRST_REQUEST_UNDER_PRESSURE`] has passed.
    OverdueFirstRequest,
    /// The client has stopped waiting for a reply: [`PARTIAL_REQUEST_UNDER_PRESSURE`] has passed.
    OverduePartialRequest,
    Idle,
    AwaitingFirstRequest,
}

struct Slot {
    state: ConnectionState,
    since: Instant,
    evict: Rc<Notify>,
}

impl Slot {
    /// Returns the sort key for eviction, the least first; None if the connection must not be evicted.
    fn eviction_order(&self, now: Instant) -> Option<(EvictionRank, Instant)> {
        let age = now - self.since;
        let rank = match self.state {
            ConnectionState::Refused => EvictionRank::Refused,
            ConnectionState::AwaitingFirstRequest if age >= FIRST_REQUEST_UNDER_PRESSURE => {
                EvictionRank::OverdueFirstRequest
            }
            ConnectionState::PartialRequest if age >= PARTIAL_REQUEST_UNDER_PRESSURE => {
                EvictionRank::OverduePartialRequest
            }
            ConnectionState::Idle => EvictionRank::Idle,
            ConnectionState::AwaitingFirstRequest => EvictionRank::AwaitingFirstRequest,
            ConnectionState::PartialRequest | ConnectionState::Serving | ConnectionState::Evicted => {
                return None
            }
        };
        Some((rank, self.since))
    }

    fn evict(&mut self, open_requests: &watch::Sender<usize>) {
        self.enter(ConnectionState::Evicted, open_requests);
        self.evict.notify_one();
    }

    fn enter(&mut self, state: ConnectionState, open_requests: &watch::Sender<usize>) {
        count_transition(open_requests, self.state.has_open_request(), state.has_open_request());
        self.state = state;
    }
}

/// Counts that a connection had an open request before a transition, and has one after it.
fn count_transition(open_requests: &watch::Sender<usize>, before: bool, after: bool) {
    match (before, after) {
        (false, true) => open_requests.send_modify(|count| *count += 1),
        (true, false) => open_requests.send_modify(|count| *count -= 1),
        _ => {}
    }
}

#[derive(Default)]
struct SlotTable {
    last_number: u64,
    occupied: BTreeMap<u64, Slot>,
}

/// The slots of all connections.
pub struct ConnectionSlots {
    max_connections: usize,
    max_idle: usize,
    table: RefCell<SlotTable>,
    /// The number of connections with an open request.
    open_requests: watch::Sender<usize>,
    /// Notified when a slot has been freed, an evicted connection stays open, or a connection has been refused.
    changed: Notify,
    /// One permit for each long request that may be read at the same time.
    pub long_requests: Semaphore,
}

impl ConnectionSlots {
    /// Creates slots that are all free. Publishes the number of connections with an open request through
    /// `open_requests`.
    pub fn new(limits: ClientLimits, open_requests: watch::Sender<usize>) -> Self {
        ConnectionSlots {
            max_connections: limits.connections,
            max_idle: limits.idle,
            table: RefCell::default(),
            open_requests,
            changed: Notify::new(),
            long_requests: Semaphore::new(limits.long_requests),
        }
    }

    /// Occupies a slot for a connection that has sent nothing yet. Does not check the limit: before accepting a
    /// connection, the caller has to wait for [a free slot](Self::free_slot).
    pub fn occupy(self: Rc<Self>) -> ConnectionSlot {
        let evict = Rc::new(Notify::new());
        let slot = Slot {
            state: ConnectionState::AwaitingFirstRequest,
            since: Instant::now(),
            evict: evict.clone(),
        };
        let number = {
            let mut table = self.table.borrow_mut();
            table.last_number += 1;
            let number = table.last_number;
            table.occupied.insert(number, slot);
            number
        };
        ConnectionSlot { number, evict, slots: self }
    }

    /// Waits until a slot is free, and evicts connections as needed.
    pub async fn free_slot(&self) {
        while self.table.borrow().occupied.len() >= self.max_connections {
            self.evict_one();
            // Retries after a while: a connection that must not be evicted now may become evictable with its age.
            let _ = timeout(FIRST_REQUEST_UNDER_PRESSURE, self.changed.notified()).await;
        }
    }

    /// Waits until only refused connections are left.
    pub async fn all_closed_but_refused(&self) {
        while self.has_unrefused() {
            self.changed.notified().await;
        }
    }

    fn has_unrefused(&self) -> bool {
        self.table.borrow().occupied.values().any(|slot| slot.state != ConnectionState::Refused)
    }

    /// Evicts the connection that is first in the order of eviction, unless one is being evicted already.
    fn evict_one(&self) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        if table.occupied.values().any(|slot| slot.state == ConnectionState::Evicted) {
            return;
        }
        let candidates =
            table.occupied.values_mut().filter_map(|slot| Some((slot.eviction_order(now)?, slot)));
        if let Some((_, slot)) = candidates.min_by_key(|(order, _)| *order) {
            slot.evict(&self.open_requests);
        }
    }

    /// Evicts the connection that has been idle for longest if there are too many idle ones.
    fn limit_idle(&self) {
        let mut table = self.table.borrow_mut();
        let is_idle = |slot: &&mut Slot| slot.state == ConnectionState::Idle;
        let mut idle: Vec<_> = table.occupied.values_mut().filter(is_idle).collect();
        if idle.len() <= self.max_idle {
            return;
        }
        if let Some(oldest) = idle.iter_mut().min_by_key(|slot| slot.since) {
            oldest.evict(&self.open_requests);
        }
    }
}

/// The slot of one connection. Dropping it frees the slot.
pub struct ConnectionSlot {
    /// The number of the connection, counted from 1 in the order in which connections were accepted or adopted.
    pub number: u64,
    evict: Rc<Notify>,
    slots: Rc<ConnectionSlots>,
}

impl ConnectionSlot {
    /// Returns the slots that this one belongs to.
    pub fn slots(&self) -> &Rc<ConnectionSlots> {
        &self.slots
    }

    /// Waits until the connection is to be evicted. An eviction lapses when the connection enters another state.
    pub async fn evicted(&self) {
        while !self.is_evicted() {
            self.evict.notified().await;
        }
    }

    fn is_evicted(&self) -> bool {
        let table = self.slots.table.borrow();
        table.occupied.get(&self.number).is_some_and(|slot| slot.state == ConnectionState::Evicted)
    }

    /// Records the new state of the connection, and since when it has it.
    pub fn set_state(&self, state: ConnectionState) {
        if let Some(slot) = self.slots.table.borrow_mut().occupied.get_mut(&self.number) {
            if slot.state == ConnectionState::Evicted {
                // The evicted connection stays open, so another one has to be evicted.
                self.slots.changed.notify_one();
            }
            slot.enter(state, &self.slots.open_requests);
            slot.since = Instant::now();
        }
        if state == ConnectionState::Refused {
            self.slots.changed.notify_one();
        }
        if state == ConnectionState::Idle {
            self.slots.limit_idle();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(slot) = self.slots.table.borrow_mut().occupied.remove(&self.number) {
            count_transition(&self.slots.open_requests, slot.state.has_open_request(), false);
        }
        self.slots.changed.notify_one();
    }
}
