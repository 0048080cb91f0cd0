//! Indexes over the scheduler's state that say what the next step has to visit, so that the cost of a step
//! grows with what has changed and not with what exists.
//!
//! They are derived: they can be rebuilt from the state at any time and are not part of a hand-over. They
//! decide nothing: visiting more than they ask for leads to the same decisions.

use super::{CallId, RouteId};
use crate::model::*;
use std::collections::{BTreeMap, BTreeSet};

/// Keys with one due time each, ordered by time.
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
    /// Sets when a key is due, in place of what was set before; none removes it.
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

    /// When the earliest key is due.
    pub fn first(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// The earliest key that is due by now, if there is one. It stays until it is set again.
    pub fn due(&self, now: Time) -> Option<K> {
        self.order.first().filter(|(at, _)| *at <= now).map(|(_, key)| *key)
    }
}

/// When a waiting destination has to be visited again without an event of its own, as found by its last
/// visit.
#[derive(Default)]
pub struct Revisit {
    /// When something may be sent: the scheduler asks for a timer.
    pub send_at: Option<Time>,
    /// When a visit would change the state though nothing may be sent yet: no timer is needed for it.
    pub recheck_at: Option<Time>,
    /// Once at least this many slots are free.
    pub more_slots: Option<usize>,
    /// Once fewer slots than this are free.
    pub fewer_slots: Option<usize>,
    /// At each step, as what was found holds at that moment only.
    pub each_step: bool,
}

impl Revisit {
    /// Whether at least `least` slots are free; the destination is visited again when that changes.
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

/// How much was visited so far, over all steps; for tests and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Destinations that were visited for something to send.
    pub destinations_visited: u64,
    /// Waiting messages that were compared for that.
    pub messages_compared: u64,
    /// Calls that were checked for a missing response.
    pub calls_checked: u64,
    /// Routes whose circuit record was compared.
    pub circuits_compared: u64,
    /// Endpoints that were visited when the endpoint list changed.
    pub endpoints_visited: u64,
}

/// The indexes of a scheduler.
#[derive(Default)]
pub struct ReadyIndex {
    /// Whether the next step that has a free slot visits all destinations.
    pub must_visit_all: bool,
    /// The destinations that it visits otherwise.
    changed: BTreeSet<DestinationId>,
    send_times: DueQueue<DestinationId>,
    recheck_times: DueQueue<DestinationId>,
    more_slots: BTreeSet<(usize, DestinationId)>,
    fewer_slots: BTreeSet<(usize, DestinationId)>,
    /// Destinations that are not visited before one of the four above asks for it or something happens to
    /// them, with their entries in the two sets of slots.
    scheduled: BTreeMap<DestinationId, (Option<usize>, Option<usize>)>,
    /// When the oldest responsive call of a route becomes unresponsive.
    pub response_checks: DueQueue<RouteId>,
    /// Calls that are unresponsive and were not cancelled, the oldest first.
    pub unresponsive_calls: BTreeSet<CallId>,
    /// Endpoints that are removed from the list and kept while they have calls in flight.
    pub removed_endpoints: BTreeSet<EndpointId>,
    /// Routes whose circuit record may have changed since it was last asked for.
    pub changed_circuits: BTreeSet<RouteId>,
    pub work_counters: WorkCounters,
}

impl ReadyIndex {
    /// Something has happened to a destination: the next step visits it.
    pub fn mark_changed(&mut self, to: DestinationId) {
        self.unschedule(to);
        self.changed.insert(to);
    }

    /// Destinations to visit now, in order. Each has to be scheduled or marked as changed again afterwards.
    pub fn due(&mut self, now: Time, slots_free: usize) -> BTreeSet<DestinationId> {
        let mut due = std::mem::take(&mut self.changed);
        for queue in [&self.send_times, &self.recheck_times] {
            due.extend(queue.order.iter().take_while(|(at, _)| *at <= now).map(|(_, to)| *to));
        }
        due.extend(self.more_slots.iter().take_while(|(least, _)| *least <= slots_free).map(|(_, to)| *to));
        due.extend(self.fewer_slots.iter().rev().take_while(|(b, _)| *b > slots_free).map(|(_, to)| *to));
        due
    }

    /// Records when a destination that was just visited in vain has to be visited again.
    pub fn schedule_revisit(&mut self, to: DestinationId, revisit: &Revisit) {
        self.unschedule(to);
        self.changed.remove(&to);
        self.send_times.set(to, revisit.send_at);
        self.recheck_times.set(to, revisit.recheck_at);
        revisit.more_slots.map(|least| self.more_slots.insert((least, to)));
        revisit.fewer_slots.map(|below| self.fewer_slots.insert((below, to)));
        self.scheduled.insert(to, (revisit.more_slots, revisit.fewer_slots));
    }

    /// Nothing waits for this destination any more.
    pub fn remove(&mut self, to: DestinationId) {
        self.unschedule(to);
        self.changed.remove(&to);
    }

    /// Removes a destination from all that it was scheduled in.
    fn unschedule(&mut self, to: DestinationId) {
        let Some((more, fewer)) = self.scheduled.remove(&to) else { return };
        self.send_times.set(to, None);
        self.recheck_times.set(to, None);
        more.map(|least| self.more_slots.remove(&(least, to)));
        fewer.map(|below| self.fewer_slots.remove(&(below, to)));
    }

    /// When a scheduled destination may next be sent something.
    pub fn next_send_at(&self) -> Option<Time> {
        self.send_times.first()
    }
}

/// Keeps the earlier of two times in `next`.
pub fn earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}
