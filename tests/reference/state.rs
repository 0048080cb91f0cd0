//! The state of the frozen scheduler: types and sums only. Every decision and constant is in `scheduler.rs`.

use super::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A pending message, from its acceptance until its final outcome is acknowledged and no attempt is in flight.
#[derive(Serialize, Deserialize)]
pub struct Message {
    pub accepted: AcceptedMessage,
    pub enqueued_at: Time,
    pub attempts: u32,
    /// The call in flight that carries the message; None if it waits.
    pub call: Option<u64>,
    /// When the first attempt that may have been processed was sent, and to which zone (None if another
    /// gateway made it). It determines the idempotency window and the deduplication scope.
    pub first_uncertain_attempt: Option<(Time, Option<ZoneId>)>,
    /// End of the backoff: no attempt is made before this time.
    pub not_before: Time,
    pub is_completed: bool,
    /// Whether its final outcome was reported and not yet acknowledged. Until then it keeps its ordering key.
    pub awaits_acknowledgement: bool,
    /// Whether it was over its tenant's quota when accepted, and so has a lower value.
    pub is_over_quota: bool,
    /// Whether a restart has found it unattempted with at least half of its time left.
    pub was_restored_in_time: bool,
}

/// A call in flight. It takes one slot and has one outcome, however many messages it carries.
#[derive(Serialize, Deserialize)]
pub struct Call {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub sent_at: Time,
    pub messages: Vec<MessageId>,
    /// Number of messages whose attempt has not finished.
    pub unfinished_attempts: usize,
    /// How long the connection had been idle before the call; None if it was new or busy, or if that is not
    /// certain.
    pub connection_idle: Option<Duration>,
    pub is_unresponsive: bool,
    pub is_cancelled: bool,
}

/// Identifies a route: a destination, or one endpoint of it if its endpoints have their own limits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId(pub DestinationId, pub Option<EndpointId>);

/// A call that may be started now: its route, endpoint and message, and the value of the message per second
/// for which the call occupies its slot.
pub type Candidate = (RouteId, EndpointId, MessageId, f64);

/// A message that may be sent, and its value; None if there is none.
pub type ChosenMessage = Option<(MessageId, f64)>;

#[derive(Serialize, Deserialize)]
pub struct TrackedEndpoint {
    pub entry: Endpoint,
    pub calls_in_flight: usize,
    /// Random number that orders otherwise equal endpoints. Drawn once, and different at each gateway.
    pub tie_breaker: u32,
    /// Number of calls that failed since the last delivery.
    pub failures: u32,
    /// Until this time other endpoints are preferred.
    pub avoid_until: Time,
    /// When a call last ended with its connection left open; None if no connection is known to be open.
    pub connection_used_at: Option<Time>,
}

/// Exponential moving averages of latency and of its absolute deviation from the mean.
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
    pub updated_at: Time,
}

impl DecayingRate {
    /// Adds `added` events, and returns the events per second over about `span_secs` seconds.
    pub fn per_sec(&mut self, now: Time, span_secs: f64, added: f64) -> f64 {
        self.count = self.count * (-(now - self.updated_at).as_secs_f64() / span_secs).exp() + added;
        self.updated_at = now;
        self.count / span_secs
    }
}

/// A period without success during which the circuit is open. Until a call fails, only missing responses have
/// opened it.
#[derive(Default, Serialize, Deserialize)]
pub struct OpenInterval {
    /// The last success before the circuit opened, or an earlier time at which an unanswered call was sent.
    pub since: Time,
    pub next_probe_at: Time,
    /// Number of probes sent in this interval.
    pub probes_sent: u32,
    /// Whether a call failed or was rejected; otherwise responses were only missing.
    pub has_failures: bool,
    /// Whether calls were lost or have no response, rather than just rejected.
    pub has_lost_calls: bool,
}

/// The rate limit, circuit breaker and slow start of a route.
#[derive(Default, Serialize, Deserialize)]
pub struct Route {
    /// Calls per second that the destination accepts from all gateways together, as listed or reported.
    pub limit_per_sec: f64,
    pub endpoints: Vec<EndpointId>,
    /// The maximum number of messages in one call.
    pub batch_size: usize,
    pub rate_per_sec: f64,
    pub tokens: f64,
    pub refilled_at: Time,
    /// Whether the last check found no token. Only then does a success show that the rate could be higher.
    pub is_binding: bool,
    pub last_cut_at: Time,
    pub cuts_since_success: usize,
    /// Calls sent, over about one second.
    pub sent_calls: DecayingRate,
    /// Messages accepted, or rejected because this gateway was nearly full, over about the length of a slow
    /// start.
    pub demand: DecayingRate,
    /// Calls served over about the length of a slow start.
    pub served: DecayingRate,
    /// Calls that delivered, over about two overload windows.
    pub delivered: DecayingRate,
    /// Calls that may have run without success, over about two overload windows.
    pub lost: DecayingRate,
    /// Calls served per second before the last success. Does not fall while the route recovers.
    pub baseline_per_sec: f64,
    pub retry_after_until: Time,
    pub latency: LatencyEstimate,
    pub last_success_at: Time,
    pub failure_score: u32,
    pub open_circuit: Option<OpenInterval>,
    /// When the slow start began, if one is active. May lie in the future, if the destination has announced
    /// when it is back.
    pub slow_start_since: Option<Time>,
    /// Calls in flight, the oldest first.
    pub calls: BTreeSet<u64>,
}

/// The risk that idle connections are dropped without notice, so that the next call on one is lost. One
/// gateway calls each endpoint too rarely to estimate it per endpoint, so it is estimated over all endpoints.
#[derive(Default, Serialize, Deserialize)]
pub struct ConnectionReuse {
    /// Ratio of calls lost on idle connections, by bucket of idle times.
    pub idle_risks: [f64; IDLE_BUCKETS],
    /// Ratio of calls lost on connections that had not been idle: such losses have other causes.
    pub baseline_risk: f64,
    /// When a call may next probe a risky idle connection.
    pub next_probe_at: Time,
}

/// Number of buckets of idle times, each bucket twice as long as the one before.
pub const IDLE_BUCKETS: usize = 10;

/// Removes a message from one of several lists, and the list if it is empty then.
pub fn remove_from<K: Ord>(lists: &mut BTreeMap<K, Vec<MessageId>>, of: K, message: MessageId) {
    if let Some(list) = lists.get_mut(&of) {
        list.retain(|m| *m != message);
        if list.is_empty() {
            lists.remove(&of);
        }
    }
}
