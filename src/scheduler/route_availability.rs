//! Decides when a route may take one more call, by the rules that can delay it, in the order in which they
//! apply.

use super::rate_limit::{RatePhase, Token};
use super::state::ready_index::{keep_earliest, Revisit};
use super::state::RouteId;
use super::Scheduler;
use crate::model::*;

/// The maximum ratio of the free slots that half-open probes of a route may use. A route without calls in
/// flight may always send one probe.
const MAX_PROBE_FREE_SLOTS_RATIO: f64 = 0.25;

impl Scheduler {
    /// Returns when a route may take one more call: now, later, or only after some event (none). Sets in
    /// `revisit` what else can change the result. The rules apply in this order: Retry-After, shutdown,
    /// circuit breaker, bulkhead, rate limit.
    pub(super) fn route_free_at(&mut self, now: Time, id: RouteId, revisit: &mut Revisit) -> Option<Time> {
        let unresponsive_after = self.unresponsive_after(id);
        let free_slots = self.free_slots();
        let rate_per_sec = self.rate_per_sec(now, id);
        let route = self.routes.get_mut(&id)?;
        route.rate_limit.refill_until(self.slots_filled_at);
        if route.retry_after.is_pending(now) {
            keep_earliest(&mut revisit.recheck_at, route.slow_start.ends_at(&self.settings));
            return Some(route.retry_after.until());
        }
        // The rate of a slow start grows all the time.
        revisit.at_every_step |= route.slow_start.is_active();
        if !self.shutdown.has_time_for(now, unresponsive_after) {
            return None;
        }
        let oldest_call = route.calls.first().and_then(|call| self.calls.get(call));
        if let (false, Some(call)) = (route.circuit.is_open(), oldest_call) {
            let unresponsive_at = route.circuit.unresponsive_at(call.sent_at, unresponsive_after);
            if now >= unresponsive_at {
                route.circuit.open_on_missing_response(now, call.sent_at, unresponsive_after);
                self.ready_index.changed_circuits.insert(id);
            } else {
                keep_earliest(&mut revisit.recheck_at, Some(unresponsive_at));
            }
        }
        if let Some(next_probe_at) = route.circuit.next_probe_at() {
            // Unresponsive probes must not use up the slots of healthy destinations.
            let needed_slots = ((route.calls.len() + 1) as f64 / MAX_PROBE_FREE_SLOTS_RATIO).ceil() as usize;
            let is_free = route.calls.is_empty() || revisit.has_free_slots(needed_slots, free_slots);
            return is_free.then_some(next_probe_at);
        }
        // Bulkhead: a route with calls in flight gets another one only if the free slots are at least as many
        // as its calls in flight would then be.
        if !route.calls.is_empty() && !revisit.has_free_slots(route.calls.len() + 1, free_slots) {
            return None;
        }
        let phase = if route.slow_start.is_active() { RatePhase::SlowStart } else { RatePhase::Steady };
        match route.rate_limit.next_token(now, rate_per_sec, phase) {
            Token::Available => Some(now),
            Token::Unavailable { available_at, recheck_at, is_lower_bound } => {
                revisit.at_every_step |= !is_lower_bound;
                keep_earliest(&mut revisit.recheck_at, Some(recheck_at));
                Some(available_at)
            }
        }
    }

    /// Returns the calls per second that this gateway may send by a route now. Ends a slow start whose time
    /// has elapsed.
    pub(super) fn rate_per_sec(&mut self, now: Time, id: RouteId) -> f64 {
        let Some(route) = self.routes.get_mut(&id) else { return 1.0 };
        if route.slow_start.finish_if_elapsed(now, &self.settings) {
            self.ready_index.changed_circuits.insert(id);
        }
        route.rate_per_sec(now, &self.settings)
    }
}
