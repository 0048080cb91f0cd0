//! What has to be looked at in a step, and when: indexes over a courier's books, so that a step costs in
//! proportion to what has changed and not to what exists. They can be made anew from the books at any time, are
//! never passed on, and decide nothing: whoever is looked at more often than the agenda asks decides the same.

use super::RouteId;
use crate::model::*;
use std::collections::{BTreeMap, BTreeSet};

/// One due time a key, ordered by time.
pub struct DueQueue<K> {
    order: BTreeSet<(Time, K)>,
    times: BTreeMap<K, Time>,
}

impl<K> Default for DueQueue<K> {
    fn default() -> Self {
        DueQueue { order: BTreeSet::new(), times: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> DueQueue<K> {
    /// Sets when a key is due, in place of what was set before; none takes it out.
    pub fn set(&mut self, key: K, at: Option<Time>) {
        let before = match at {
            Some(at) => self.times.insert(key, at),
            None => self.times.remove(&key),
        };
        if before == at {
            return;
        }
        if let Some(before) = before {
            self.order.remove(&(before, key));
        }
        if let Some(at) = at {
            self.order.insert((at, key));
        }
    }

    /// When the first one is due.
    pub fn first(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// The first one that is due by now, if there is one. It stays until it is set anew.
    pub fn due(&self, now: Time) -> Option<K> {
        self.order.first().filter(|(at, _)| *at <= now).map(|(_, key)| *key)
    }
}

/// When a waiting destination has to be looked at again without an event of its own, as found at its last look.
#[derive(Default)]
pub struct Look {
    /// When something may be sent: a timer is asked for.
    pub wake: Option<Time>,
    /// When a look would change what is known, though nothing may be sent: no timer.
    pub change: Option<Time>,
    /// As soon as at least so many slots are free.
    pub more_slots: Option<usize>,
    /// As soon as fewer slots than this are free.
    pub fewer_slots: Option<usize>,
    /// At each step: what was found holds for that moment alone.
    pub always: bool,
}

impl Look {
    /// Whether at least so many slots are free. The answer is to be asked for again when it would be another.
    pub fn needs_slots(&mut self, least: usize, slots_free: usize) -> bool {
        let enough = slots_free >= least;
        if enough {
            self.fewer_slots = Some(self.fewer_slots.map_or(least, |below| below.max(least)));
        } else {
            self.more_slots = Some(self.more_slots.map_or(least, |known| known.min(least)));
        }
        enough
    }
}

/// How much was looked at so far, all steps together; for tests and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Destinations that were looked at for something to send.
    pub destinations: u64,
    /// Waiting messages that were looked at for that.
    pub messages: u64,
    /// Calls that were looked at for silence.
    pub calls: u64,
    /// Routes that were looked at for what is to be remembered of outages.
    pub routes: u64,
    /// Endpoints that were looked at when the list changed.
    pub endpoints: u64,
}

/// The indexes of a courier.
#[derive(Default)]
pub struct Agenda {
    /// All destinations are to be looked at in the next step that has a free slot ...
    pub all: bool,
    /// ... or these.
    touched: BTreeSet<DestinationId>,
    wakes: DueQueue<DestinationId>,
    changes: DueQueue<DestinationId>,
    more_slots: BTreeSet<(usize, DestinationId)>,
    fewer_slots: BTreeSet<(usize, DestinationId)>,
    /// Destinations that are not looked at until one of the four above says so or something happens to them, and
    /// what the two of slots hold of them.
    parked: BTreeMap<DestinationId, (Option<usize>, Option<usize>)>,
    /// When the oldest call of a route that is not stalled yet will be.
    pub stalls: DueQueue<RouteId>,
    /// Calls that are stalled and were not called off, the oldest first.
    pub hanging: BTreeSet<u64>,
    /// Endpoints that are gone and not forgotten, as they have calls out.
    pub gone: BTreeSet<EndpointId>,
    /// Routes of which something else is to be remembered than was told last.
    pub circuit_records: BTreeSet<RouteId>,
    pub work: WorkCounters,
}

impl Agenda {
    /// Something has happened to a destination: it is looked at in the next step.
    pub fn touch(&mut self, to: DestinationId) {
        self.leave(to);
        self.touched.insert(to);
    }

    /// Destinations that have to be looked at now, in their order. Each is to be parked or touched anew.
    pub fn due(&mut self, now: Time, slots_free: usize) -> BTreeSet<DestinationId> {
        let mut due = std::mem::take(&mut self.touched);
        for queue in [&self.wakes, &self.changes] {
            due.extend(queue.order.iter().take_while(|(at, _)| *at <= now).map(|(_, to)| *to));
        }
        due.extend(self.more_slots.iter().take_while(|(least, _)| *least <= slots_free).map(|(_, to)| *to));
        due.extend(self.fewer_slots.iter().rev().take_while(|(b, _)| *b > slots_free).map(|(_, to)| *to));
        due
    }

    /// Writes down when a destination that was just looked at in vain has to be looked at again.
    pub fn park(&mut self, to: DestinationId, look: &Look) {
        self.leave(to);
        self.touched.remove(&to);
        self.wakes.set(to, look.wake);
        self.changes.set(to, look.change);
        look.more_slots.map(|least| self.more_slots.insert((least, to)));
        look.fewer_slots.map(|below| self.fewer_slots.insert((below, to)));
        self.parked.insert(to, (look.more_slots, look.fewer_slots));
    }

    /// Nothing waits for a destination any more.
    pub fn forget(&mut self, to: DestinationId) {
        self.leave(to);
        self.touched.remove(&to);
    }

    /// Takes a destination out of all that it was parked in.
    fn leave(&mut self, to: DestinationId) {
        let Some((more, fewer)) = self.parked.remove(&to) else { return };
        self.wakes.set(to, None);
        self.changes.set(to, None);
        more.map(|least| self.more_slots.remove(&(least, to)));
        fewer.map(|below| self.fewer_slots.remove(&(below, to)));
    }

    /// When one that is parked may next be sent something.
    pub fn next_wake(&self) -> Option<Time> {
        self.wakes.first()
    }
}

/// Keeps the earlier of two times.
pub fn earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}
