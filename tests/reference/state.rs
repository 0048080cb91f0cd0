//! The state of the frozen scheduler: types and sums only. Every decision and constant is in `scheduler.rs`.

use super::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A message, from its acceptance until it has its final outcome and no attempt in flight.
#[derive(Serialize, Deserialize)]
pub struct Message {
    pub accepted: AcceptedMessage,
    pub enqueued_at: Time,
    pub attempts: u32,
    /// The call in flight that carries it.
    pub call: Option<u64>,
    /// When the first attempt that may have been processed was sent, and to which zone (None where another
    /// gateway made it). It fixes the idempotency window and the deduplication scope.
    pub first_uncertain_attempt: Option<(Time, Option<ZoneId>)>,
    pub not_before: Time,
    pub completed: bool,
    /// Its final outcome was reported and not yet acknowledged; until then it keeps its ordering key.
    pub awaits_acknowledgement: bool,
    /// Over its tenant's quota, and so worth less.
    pub over_quota: bool,
}

/// A call in flight: it takes one slot and has one outcome, however many messages it carries.
#[derive(Serialize, Deserialize)]
pub struct Call {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub sent_at: Time,
    pub messages: Vec<MessageId>,
    pub unfinished: usize,
    /// How long its connection had been idle; None where it was new, or where that is not certain.
    pub connection_idle: Option<Duration>,
    pub is_unresponsive: bool,
    pub is_cancelled: bool,
}

/// A route: a destination, or one endpoint of it where its endpoints have limits of their own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId(pub DestinationId, pub Option<EndpointId>);

/// What may be sent next: the route, the endpoint, the message, and its value for each second that a slot is
/// taken.
pub type Candidate = (RouteId, EndpointId, MessageId, f64);

/// A message that may be sent, and its value; None where there is none.
pub type ChosenMessage = Option<(MessageId, f64)>;

#[derive(Serialize, Deserialize)]
pub struct TrackedEndpoint {
    pub entry: Endpoint,
    pub calls_in_flight: usize,
    /// Drawn once: orders endpoints that are alike otherwise, at this gateway only.
    pub preference: u32,
    pub failures: u32,
    pub avoid_until: Time,
    /// When a call last ended with its connection left open.
    pub connection_used_at: Option<Time>,
}

/// Running mean and mean deviation of latencies, in seconds.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct LatencyEstimate {
    pub mean_secs: f64,
    pub deviation_secs: f64,
    pub samples: u32,
}

impl LatencyEstimate {
    pub fn record(&mut self, sample: Duration, min_gain: f64) {
        let (sample_secs, gain) = (sample.as_secs_f64(), min_gain.max(1.0 / f64::from(self.samples + 2)));
        self.deviation_secs += gain * ((sample_secs - self.mean_secs).abs() - self.deviation_secs);
        self.mean_secs += gain * (sample_secs - self.mean_secs);
        self.samples += 1;
    }

    /// Returns a multiple of mean plus deviation, in seconds.
    pub fn multiple_secs(&self, multiple: f64) -> f64 {
        (self.mean_secs + self.deviation_secs) * multiple
    }
}

/// A count of events that decays exponentially.
#[derive(Default, Serialize, Deserialize)]
pub struct DecayingRate {
    pub count: f64,
    pub at: Time,
}

impl DecayingRate {
    /// Adds events, and returns the events a second over about `span_secs` seconds.
    pub fn per_sec(&mut self, now: Time, span_secs: f64, added: f64) -> f64 {
        self.count = self.count * (-(now - self.at).as_secs_f64() / span_secs).exp() + added;
        self.at = now;
        self.count / span_secs
    }
}

/// The time without success during which a circuit is open. It starts at the last success. Until a call
/// fails, only missing responses have opened it.
#[derive(Default, Serialize, Deserialize)]
pub struct OpenInterval {
    pub since: Time,
    pub next_probe_at: Time,
    pub probes: u32,
    /// Some call failed or was rejected; otherwise responses were only missing.
    pub has_failures: bool,
    /// Calls were lost or are unresponsive, not just rejected.
    pub has_lost_calls: bool,
}

/// The rate limit, circuit breaker and slow start of a route.
#[derive(Default, Serialize, Deserialize)]
pub struct Route {
    /// Calls a second that the destination takes from all gateways together, as listed or reported.
    pub limit_per_sec: f64,
    pub endpoints: Vec<EndpointId>,
    /// Messages that one call may carry.
    pub batch_size: usize,
    pub rate_per_sec: f64,
    pub tokens: f64,
    pub refilled_at: Time,
    pub is_binding: bool,
    pub last_cut_at: Time,
    /// Cuts since the last success.
    pub cuts: usize,
    /// Calls sent recently.
    pub sent: DecayingRate,
    /// Messages accepted over about the length of a slow start.
    pub demand: DecayingRate,
    /// Calls served over about the length of a slow start.
    pub served: DecayingRate,
    /// Recent calls that delivered.
    pub delivered: DecayingRate,
    /// Recent calls that may have run without success.
    pub lost: DecayingRate,
    /// Calls served a second before the last success. Does not fall while the route recovers.
    pub baseline_per_sec: f64,
    pub retry_after_until: Time,
    pub latency: LatencyEstimate,
    pub last_success_at: Time,
    pub failure_score: u32,
    pub open_circuit: Option<OpenInterval>,
    /// When the slow start began, if one is active; may lie in the future, where the destination has
    /// announced its return.
    pub slow_start_since: Option<Time>,
    /// Calls in flight, the oldest first.
    pub calls: BTreeSet<u64>,
}

/// The risk that idle connections are dropped without notice, so that the next call on one is lost. One
/// gateway calls each endpoint too rarely to learn it there, so it is learnt over all endpoints.
#[derive(Default, Serialize, Deserialize)]
pub struct ConnectionReuse {
    /// Ratio of calls lost, by the time for which their connection had been idle.
    pub idle_risks: [f64; IDLE_STEPS],
    /// Ratio of calls lost on connections that had not been idle: such losses have other causes.
    pub baseline_risk: f64,
    pub next_probe_at: Time,
}

/// Idle times that are told apart, each twice as long as the one before.
pub const IDLE_STEPS: usize = 10;

/// Removes a message from one of several lists, and the list if it is empty then.
pub fn remove_from<K: Ord>(lists: &mut BTreeMap<K, Vec<MessageId>>, of: K, message: MessageId) {
    if let Some(list) = lists.get_mut(&of) {
        list.retain(|m| *m != message);
        if list.is_empty() {
            lists.remove(&of);
        }
    }
}
