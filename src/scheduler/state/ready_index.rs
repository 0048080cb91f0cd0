//! Indexes over the scheduler's state that list what the next step has to visit, so that the cost of a step
//! grows with what has changed and not with what exists.
//!
//! The indexes are derived data: they can be rebuilt from the state at any time and are not part of a
//! handover. They do not affect decisions: visiting more than they list leads to the same decisions.

use super::{CallId, RouteId};
use crate::model::*;
use std::collections::{BTreeMap, BTreeSet};

/// A priority queue of keys, each with one due time.
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
    /// Sets when a key is due, replacing any earlier value. None removes the key.
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

    /// Returns the earliest due time; none if the queue is empty.
    pub fn first_at(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Returns the key with the earliest due time if that is not after `now`. The key stays in the queue
    /// until it is set again.
    pub fn first_due(&self, now: Time) -> Option<K> {
        self.order.first().filter(|(at, _)| *at <= now).map(|(_, key)| *key)
    }
}

/// When a waiting destination has to be visited again if no event concerns it, as determined by its last
/// visit.
#[derive(Default)]
pub struct Revisit {
    /// Time at which something may be sent. The scheduler requests a timer for it.
    pub send_at: Option<Time>,
    /// Time at which a visit would change the state though nothing may be sent yet. It needs no timer.
    pub recheck_at: Option<Time>,
    /// Visit once at least this many slots are free.
    pub free_slots_at_least: Option<usize>,
    /// Visit once fewer slots than this are free.
    pub free_slots_below: Option<usize>,
    /// Visit at every step, as the result of the last visit was only valid at its time.
    pub at_every_step: bool,
}

impl Revisit {
    /// Returns whether at least `required` slots are free, and schedules a visit for when that changes.
    pub fn has_free_slots(&mut self, required: usize, free_slots: usize) -> bool {
        let has_enough = free_slots >= required;
        if has_enough {
            self.free_slots_below = Some(self.free_slots_below.map_or(required, |below| below.max(required)));
        } else {
            self.free_slots_at_least =
                Some(self.free_slots_at_least.map_or(required, |current| current.min(required)));
        }
        has_enough
    }
}

/// Numbers of objects visited so far, over all steps; for tests and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Destinations that were visited to find something to send.
    pub destinations_visited: u64,
    /// Messages that were compared to choose one to send.
    pub messages_compared: u64,
    /// Calls that were checked for a missing response.
    pub calls_checked: u64,
    /// Routes whose circuit record was taken because it might have changed.
    pub circuits_compared: u64,
    /// Endpoints that were visited when the endpoint list changed.
    pub endpoints_visited: u64,
}

/// The indexes of a scheduler.
#[derive(Default)]
pub struct ReadyIndex {
    /// Whether the next step with a free slot visits all destinations.
    pub must_visit_all: bool,
    /// Destinations that the next step with a free slot visits because they have changed.
    changed: BTreeSet<DestinationId>,
    send_times: DueQueue<DestinationId>,
    recheck_times: DueQueue<DestinationId>,
    free_slots_at_least: BTreeSet<(usize, DestinationId)>,
    free_slots_below: BTreeSet<(usize, DestinationId)>,
    /// Destinations that are visited only when one of the four collections above lists them or when they
    /// change, with their `free_slots_at_least` and `free_slots_below`.
    scheduled: BTreeMap<DestinationId, (Option<usize>, Option<usize>)>,
    /// Times at which the oldest responsive call of a route becomes unresponsive.
    pub response_checks: DueQueue<RouteId>,
    /// Unresponsive calls that were not cancelled, the oldest first.
    pub unresponsive_calls: BTreeSet<CallId>,
    /// Endpoints that were removed from the list and are kept while they have calls in flight.
    pub removed_endpoints: BTreeSet<EndpointId>,
    /// Routes whose circuit record may have changed since the records were last taken.
    pub changed_circuits: BTreeSet<RouteId>,
    pub work_counters: WorkCounters,
}

impl ReadyIndex {
    /// Marks a destination as changed, so that the next step with a free slot visits it.
    pub fn mark_changed(&mut self, destination: DestinationId) {
        self.unschedule(destination);
        self.changed.insert(destination);
    }

    /// Returns the destinations to visit now, in order, and removes the change marks. Each destination has to
    /// be scheduled or marked as changed again afterwards.
    pub fn take_destinations_to_visit(&mut self, now: Time, free_slots: usize) -> BTreeSet<DestinationId> {
        let mut to_visit = std::mem::take(&mut self.changed);
        for due_queue in [&self.send_times, &self.recheck_times] {
            to_visit.extend(
                due_queue.order.iter().take_while(|(at, _)| *at <= now).map(|(_, destination)| *destination),
            );
        }
        to_visit.extend(
            self.free_slots_at_least
                .iter()
                .take_while(|(required, _)| *required <= free_slots)
                .map(|(_, destination)| *destination),
        );
        to_visit.extend(
            self.free_slots_below
                .iter()
                .rev()
                .take_while(|(below, _)| *below > free_slots)
                .map(|(_, destination)| *destination),
        );
        to_visit
    }

    /// Schedules the next visit of a destination where the last visit found nothing to send.
    pub fn schedule_revisit(&mut self, destination: DestinationId, revisit: &Revisit) {
        self.unschedule(destination);
        self.changed.remove(&destination);
        self.send_times.set(destination, revisit.send_at);
        self.recheck_times.set(destination, revisit.recheck_at);
        revisit.free_slots_at_least.map(|required| self.free_slots_at_least.insert((required, destination)));
        revisit.free_slots_below.map(|below| self.free_slots_below.insert((below, destination)));
        self.scheduled.insert(destination, (revisit.free_slots_at_least, revisit.free_slots_below));
    }

    /// Removes a destination for which no message waits any more.
    pub fn remove(&mut self, destination: DestinationId) {
        self.unschedule(destination);
        self.changed.remove(&destination);
    }

    /// Removes a destination from all collections in which it is scheduled.
    fn unschedule(&mut self, destination: DestinationId) {
        let Some((at_least, below)) = self.scheduled.remove(&destination) else { return };
        self.send_times.set(destination, None);
        self.recheck_times.set(destination, None);
        at_least.map(|required| self.free_slots_at_least.remove(&(required, destination)));
        below.map(|below| self.free_slots_below.remove(&(below, destination)));
    }

    /// Returns when something may next be sent to a scheduled destination.
    pub fn next_send_at(&self) -> Option<Time> {
        self.send_times.first_at()
    }
}

/// Keeps the earlier of two times in `next`.
pub fn keep_earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}
