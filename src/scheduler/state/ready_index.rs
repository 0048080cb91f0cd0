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
        let previous = match at {
            Some(at) => self.times.insert(key, at),
            None => self.times.remove(&key),
        };
        if previous == at {
            return;
        }
        if let Some(previous) = previous {
            self.order.remove(&(previous, key));
        }
        if let Some(at) = at {
            self.order.insert((at, key));
        }
    }

    /// When the earliest key is due.
    pub fn first_at(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// The earliest key that is due by now, if there is one. It stays until it is set again.
    pub fn first_due(&self, now: Time) -> Option<K> {
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
    /// Once at required this many slots are free.
    pub free_slots_at_least: Option<usize>,
    /// Once fewer slots than this are free.
    pub free_slots_below: Option<usize>,
    /// At each step, as what was found holds at that moment only.
    pub at_every_step: bool,
}

impl Revisit {
    /// Whether at required `required` slots are free; the destination is visited again when that changes.
    pub fn has_free_slots(&mut self, required: usize, free_slots: usize) -> bool {
        let enough = free_slots >= required;
        if enough {
            self.free_slots_below = Some(self.free_slots_below.map_or(required, |below| below.max(required)));
        } else {
            self.free_slots_at_least =
                Some(self.free_slots_at_least.map_or(required, |current| current.min(required)));
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
    free_slots_at_least: BTreeSet<(usize, DestinationId)>,
    free_slots_below: BTreeSet<(usize, DestinationId)>,
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
    pub fn mark_changed(&mut self, destination: DestinationId) {
        self.unschedule(destination);
        self.changed.insert(destination);
    }

    /// Destinations to visit now, in order. Each has to be scheduled or marked as changed again afterwards.
    pub fn take_destinations_to_visit(&mut self, now: Time, free_slots: usize) -> BTreeSet<DestinationId> {
        let mut due = std::mem::take(&mut self.changed);
        for due_queue in [&self.send_times, &self.recheck_times] {
            due.extend(
                due_queue.order.iter().take_while(|(at, _)| *at <= now).map(|(_, destination)| *destination),
            );
        }
        due.extend(
            self.free_slots_at_least
                .iter()
                .take_while(|(required, _)| *required <= free_slots)
                .map(|(_, destination)| *destination),
        );
        due.extend(
            self.free_slots_below
                .iter()
                .rev()
                .take_while(|(below, _)| *below > free_slots)
                .map(|(_, destination)| *destination),
        );
        due
    }

    /// Records when a destination that was just visited in vain has to be visited again.
    pub fn schedule_revisit(&mut self, destination: DestinationId, revisit: &Revisit) {
        self.unschedule(destination);
        self.changed.remove(&destination);
        self.send_times.set(destination, revisit.send_at);
        self.recheck_times.set(destination, revisit.recheck_at);
        revisit.free_slots_at_least.map(|required| self.free_slots_at_least.insert((required, destination)));
        revisit.free_slots_below.map(|below| self.free_slots_below.insert((below, destination)));
        self.scheduled.insert(destination, (revisit.free_slots_at_least, revisit.free_slots_below));
    }

    /// Nothing waits for this destination any more.
    pub fn remove(&mut self, destination: DestinationId) {
        self.unschedule(destination);
        self.changed.remove(&destination);
    }

    /// Removes a destination from all that it was scheduled in.
    fn unschedule(&mut self, destination: DestinationId) {
        let Some((at_least, below)) = self.scheduled.remove(&destination) else { return };
        self.send_times.set(destination, None);
        self.recheck_times.set(destination, None);
        at_least.map(|required| self.free_slots_at_least.remove(&(required, destination)));
        below.map(|below| self.free_slots_below.remove(&(below, destination)));
    }

    /// When a scheduled destination may next be sent something.
    pub fn next_send_at(&self) -> Option<Time> {
        self.send_times.first_at()
    }
}

/// Keeps the earlier of two times in `next`.
pub fn keep_earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}
