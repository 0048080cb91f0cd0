//! The slots that clients' connections occupy: how many there are, what each connection is doing, and which one is
//! evicted where another one needs its slot.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{timeout, Instant};

/// While slots are short, a connection without its first request goes before the idle ones from this age on.
const FIRST_REQUEST_UNDER_PRESSURE: Duration = Duration::from_millis(250);
/// While slots are short, a partial request is given up from this age on: clients wait 400 ms for a reply.
const PARTIAL_REQUEST_UNDER_PRESSURE: Duration = Duration::from_millis(400);

/// What clients may occupy.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Open connections.
    pub connections: usize,
    /// Connections between two requests. Clients bound their own number of connections: those that stay idle would
    /// leave them none to send on.
    pub idle: usize,
    /// Requests longer than a few KiB that are read at a time.
    pub long_requests: usize,
}

/// What a connection is doing, which decides whether it may be evicted.
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
    /// Its client gets an error; what the client still sends is discarded.
    Refused,
    /// It has been asked to close.
    Evicted,
}

/// The order in which connections are evicted, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Nobody waits for it.
    Refused,
    /// Its first request is not to be expected any more.
    OverdueFirstRequest,
    /// Its client has stopped waiting.
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
    /// Where it stands in the order of eviction, the least first; none where it may not be evicted.
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

    fn evict(&mut self) {
        self.state = ConnectionState::Evicted;
        self.evict.notify_one();
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
    /// A connection has closed or changed its state.
    changed: Notify,
    /// One permit for each long request that may be read at a time.
    pub long_requests: Semaphore,
}

impl ConnectionSlots {
    /// Slots that are all free.
    pub fn new(limits: ClientLimits) -> Self {
        ConnectionSlots {
            max_connections: limits.connections,
            max_idle: limits.idle,
            table: RefCell::default(),
            changed: Notify::new(),
            long_requests: Semaphore::new(limits.long_requests),
        }
    }

    /// Occupies a slot for a connection that has sent nothing yet. It is not refused where there are too many: who
    /// accepts a connection has waited for [a free slot](Self::free_slot) before.
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

    /// Waits until a slot is free, and evicts connections for it.
    pub async fn free_slot(&self) {
        while self.table.borrow().occupied.len() >= self.max_connections {
            self.evict_one();
            // Connections that may not be evicted now may be so later.
            let _ = timeout(FIRST_REQUEST_UNDER_PRESSURE, self.changed.notified()).await;
        }
    }

    /// Waits until no connection is left but refused ones.
    pub async fn all_closed_but_refused(&self) {
        while self.has_unrefused() {
            self.changed.notified().await;
        }
    }

    fn has_unrefused(&self) -> bool {
        self.table.borrow().occupied.values().any(|slot| slot.state != ConnectionState::Refused)
    }

    /// Evicts the connection that can best be spared, unless one is closing already.
    fn evict_one(&self) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        if table.occupied.values().any(|slot| slot.state == ConnectionState::Evicted) {
            return;
        }
        let candidates =
            table.occupied.values_mut().filter_map(|slot| Some((slot.eviction_order(now)?, slot)));
        if let Some((_, slot)) = candidates.min_by_key(|(order, _)| *order) {
            slot.evict();
        }
    }

    /// Evicts the connection that has been idle for longest, where there are too many.
    fn bound_idle(&self) {
        let mut table = self.table.borrow_mut();
        let is_idle = |slot: &&mut Slot| slot.state == ConnectionState::Idle;
        let mut idle: Vec<_> = table.occupied.values_mut().filter(is_idle).collect();
        if idle.len() <= self.max_idle {
            return;
        }
        if let Some(oldest) = idle.iter_mut().min_by_key(|slot| slot.since) {
            oldest.evict();
        }
    }
}

/// The slot of one connection, free again when dropped.
pub struct ConnectionSlot {
    /// Numbers connections in the order in which they were accepted or adopted, from 1 on.
    pub number: u64,
    evict: Rc<Notify>,
    slots: Rc<ConnectionSlots>,
}

impl ConnectionSlot {
    /// All slots, of which this is one.
    pub fn slots(&self) -> &Rc<ConnectionSlots> {
        &self.slots
    }

    /// Notified when the connection is to close for another one.
    pub fn eviction(&self) -> Rc<Notify> {
        self.evict.clone()
    }

    /// Says what the connection is doing from now on.
    pub fn set_state(&self, state: ConnectionState) {
        if let Some(slot) = self.slots.table.borrow_mut().occupied.get_mut(&self.number) {
            if slot.state == ConnectionState::Evicted {
                // It stays after all: another one has to be evicted.
                self.slots.changed.notify_one();
            }
            slot.state = state;
            slot.since = Instant::now();
        }
        if state == ConnectionState::Idle {
            self.slots.bound_idle();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.table.borrow_mut().occupied.remove(&self.number);
        self.slots.changed.notify_one();
    }
}
