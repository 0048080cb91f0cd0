//! The rate limit of a route: a token bucket whose rate falls with rejections and grows with successes. It
//! delays a call while the bucket has less than one token.
//!
//! It owns the rate, the tokens and the limit that the destination lists or reports. With these cuts and this
//! growth the rate settles at a fixed ratio of rejected calls, however many gateways share the destination's
//! limit.

use super::derived_settings::{fleet_size, shortest_deadline_secs, shortest_objective_secs};
use super::state::decaying_rate::DecayingRate;
use crate::model::{CapacityHints, Endpoint, LoadReport, Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The ratio of the rate that is left after a rejection, by the number of cuts since the last success. After
/// the last cut only the overload budget is left, as the destination may be unavailable, or all gateways may
/// have to slow down.
const CUT_RATIOS: [f64; 3] = [0.75, 0.5, 0.0];
/// The minimum time between two cuts. Rejections in between were caused by the same rate.
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(500);
/// The initial rate of a route, as a multiple of an even share of the listed limit. More than one share is
/// risky: if all gateways together sent more than the limit, rejected calls would use it up.
const INITIAL_RATE_EVEN_SHARES: f64 = 1.0;
/// The minimum initial rate of a route, in calls per shortest deadline.
const MIN_INITIAL_CALLS_PER_DEADLINE: f64 = 0.25;
/// The minimum listed limit, in calls per second; lower values are raised to it.
const MIN_LISTED_LIMIT_PER_SEC: f64 = 0.1;
/// The maximum listed limit, in calls per second; higher values are lowered to it.
const MAX_LISTED_LIMIT_PER_SEC: f64 = 1e6;
/// Growth per success of a rate that delays calls, as a ratio of the rate, or of one call per latency
/// objective if that is less.
const GROWTH_RATIO: f64 = 0.08;
/// The maximum additional growth, as a multiple of [`GROWTH_RATIO`]. It applies in full far below an even
/// share of the limit, and less the closer the rate is to that share. Without it a gateway that calls rarely
/// would need minutes to get back to its share.
const EXTRA_GROWTH_BELOW_SHARE: f64 = 6.0;
/// Growth per success if the destination reports its headroom: this times the headroom, as a ratio of the
/// rate.
const GROWTH_PER_HEADROOM: f64 = 2.0;
/// The time constant for averaging the rate of sent calls, in seconds.
const SENT_SPAN_SECS: f64 = 1.0;
/// The maximum number of saved tokens, in seconds of the rate; at least one token.
const BURST_SECS: f64 = 0.4;
/// The minimum wait for a token, in seconds.
const MIN_WAIT_SECS: f64 = 0.001;
/// The maximum wait for a token before the bucket is checked again, in seconds.
const MAX_WAIT_SECS: f64 = 3600.0;
/// The maximum wait for a token during a slow start, in seconds. It is short because the rate grows
/// meanwhile.
const MAX_WAIT_IN_SLOW_START_SECS: f64 = 10.0;
/// The maximum random delay of a gateway with low traffic after a rejection, in intervals between calls at
/// its rate. Such gateways are many, and must not all call at the same moment.
const LOW_TRAFFIC_MAX_WAIT_CALLS: f64 = 3.0;

/// What determines the rate of the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatePhase {
    /// Rejections and successes determine the rate.
    Steady,
    /// The slow start determines the rate, and only one token is saved up.
    SlowStart,
}

/// Whether the bucket has a token for a call.
#[derive(Clone, Copy, Debug)]
pub enum Token {
    /// A call may be sent now.
    Available,
    /// No call may be sent yet.
    Unavailable {
        /// When there will be a token at the present rate, within the limits on the wait.
        available_at: Time,
        /// When to check again whether a token has become available earlier.
        recheck_at: Time,
        /// Whether the token comes at `available_at` or later. If not, it comes earlier, within the minimum
        /// wait.
        is_lower_bound: bool,
    },
}

/// The inputs that determine how a rejection changes the rate.
pub struct Rejection {
    /// Number of messages in the queue of the destination, including those in flight.
    pub waiting_messages: f64,
    /// The maximum number of messages in one call.
    pub batch_size: usize,
    /// Demand for the route, in messages per second.
    pub demand_per_sec: f64,
    /// The minimum rate after a cut, in calls per second.
    pub floor_per_sec: f64,
    /// Whether this gateway has low traffic on the route.
    pub has_low_traffic: bool,
    /// A random number in `0.0..1.0`, for the wait after the rejection.
    pub random_fraction: f64,
}

/// The rate limit of a route.
#[derive(Default, Serialize, Deserialize)]
pub struct RateLimit {
    /// Calls per second that the destination accepts from all gateways together, as listed, reported or
    /// assumed.
    limit_per_sec: f64,
    rate_per_sec: f64,
    tokens: f64,
    refilled_at: Time,
    /// Whether the last check found no token. Only then does a success show that the rate could be higher.
    is_binding: bool,
    /// Whether the bucket was checked since its last refill by [`RateLimit::refill_until`]. If so, it counts
    /// as refilled up to the last step even without another check.
    is_refill_pending: bool,
    last_cut_at: Time,
    cuts_since_success: usize,
    sent_calls: DecayingRate,
}

impl RateLimit {
    /// Creates the rate limit of a new route. If gateways share a listed limit, the first call waits for a
    /// random part of the interval between two calls, so that the first calls of all gateways do not come at
    /// the same moment. `random_fraction` is a random number in `0.0..1.0`.
    pub fn new(now: Time, settings: &Settings, endpoint: &Endpoint, random_fraction: f64) -> RateLimit {
        // An unlisted limit has to be explored, so the rate starts at the assumed limit. The minimum rate
        // keeps a listed limit that is far too low from delaying messages.
        let share = match listed_limit_per_sec(settings, endpoint) {
            Some(_) => (INITIAL_RATE_EVEN_SHARES / fleet_size(settings)).min(1.0),
            None => 1.0,
        };
        let min_rate_per_sec = MIN_INITIAL_CALLS_PER_DEADLINE / shortest_deadline_secs(settings);
        let limit_per_sec = assumed_limit_per_sec(settings, endpoint);
        RateLimit {
            limit_per_sec,
            rate_per_sec: (limit_per_sec * share).max(min_rate_per_sec),
            tokens: 1.0 - random_fraction * (1.0 - share),
            refilled_at: now,
            ..RateLimit::default()
        }
    }

    /// Adopts the limit of an entry of the endpoint list.
    pub fn adopt_listed_limit(&mut self, settings: &Settings, endpoint: &Endpoint) {
        self.limit_per_sec = assumed_limit_per_sec(settings, endpoint);
    }

    /// Adopts the limit of a load report, if it has one.
    pub fn adopt_reported_limit(&mut self, report: Option<LoadReport>) {
        if let Some(report) = report.filter(|report| report.limit_per_sec > 0.0) {
            self.limit_per_sec = report.limit_per_sec;
        }
    }

    /// Returns the calls per second that the destination accepts from all gateways together.
    pub fn limit_per_sec(&self) -> f64 {
        self.limit_per_sec
    }

    /// Returns the calls per second that this gateway may send in the steady phase.
    pub fn rate_per_sec(&self) -> f64 {
        self.rate_per_sec
    }

    /// Refills the bucket at `rate_per_sec` and returns whether a call may be sent.
    pub fn next_token(&mut self, now: Time, rate_per_sec: f64, phase: RatePhase) -> Token {
        let (max_tokens, max_wait_secs) = match phase {
            RatePhase::Steady => (max_saved_tokens(rate_per_sec), MAX_WAIT_SECS),
            RatePhase::SlowStart => (1.0, MAX_WAIT_IN_SLOW_START_SECS),
        };
        self.refill(now, rate_per_sec, max_tokens);
        self.is_refill_pending = true;
        self.is_binding = self.tokens < 1.0;
        if !self.is_binding {
            return Token::Available;
        }
        let missing_secs = (1.0 - self.tokens) / rate_per_sec;
        let wait_secs = missing_secs.clamp(MIN_WAIT_SECS, max_wait_secs);
        let available_at = now + Duration::from_secs_f64(wait_secs);
        let recheck_at = available_at - Duration::from_secs_f64(MIN_WAIT_SECS);
        Token::Unavailable { available_at, recheck_at, is_lower_bound: missing_secs >= wait_secs }
    }

    /// Takes the token of a call that is sent. The number of tokens may become negative.
    pub fn take_token(&mut self, now: Time) {
        self.tokens -= 1.0;
        self.sent_calls.record(now, SENT_SPAN_SECS);
    }

    /// Adds the tokens that a check at `slots_filled_at` would have added in the steady phase, if the bucket
    /// was checked since the last such refill.
    pub fn refill_until(&mut self, slots_filled_at: Time) {
        if std::mem::take(&mut self.is_refill_pending) && self.refilled_at < slots_filled_at {
            self.refill(slots_filled_at, self.rate_per_sec, max_saved_tokens(self.rate_per_sec));
        }
    }

    fn refill(&mut self, now: Time, rate_per_sec: f64, max_tokens: f64) {
        self.tokens = (self.tokens + (now - self.refilled_at).as_secs_f64() * rate_per_sec).min(max_tokens);
        self.refilled_at = now;
    }

    /// Removes all saved tokens.
    pub fn clear_tokens(&mut self) {
        self.tokens = 0.0;
    }

    /// Restarts the bucket at time `at`, possibly in the future, with `tokens` tokens.
    pub fn restart(&mut self, at: Time, tokens: f64) {
        self.refilled_at = at;
        self.tokens = tokens;
    }

    /// Grows the rate after a delivery, if the rate had delayed calls.
    pub fn on_success(&mut self, settings: &Settings, report: Option<LoadReport>) {
        if self.is_binding {
            self.rate_per_sec += self.growth_per_sec(settings, report);
        }
        self.cuts_since_success = 0;
    }

    fn growth_per_sec(&self, settings: &Settings, report: Option<LoadReport>) -> f64 {
        if let Some(report) = report.filter(|report| report.limit_per_sec > 0.0) {
            return GROWTH_PER_HEADROOM * report.headroom.clamp(0.0, 1.0) * self.rate_per_sec;
        }
        let limit_per_sec = self.limit_per_sec.max(MIN_LISTED_LIMIT_PER_SEC);
        let below_share = 1.0 - self.rate_per_sec * fleet_size(settings) / limit_per_sec;
        let ratio = GROWTH_RATIO * (1.0 + EXTRA_GROWTH_BELOW_SHARE * below_share.clamp(0.0, 1.0));
        ratio * self.rate_per_sec.min(shortest_objective_secs(settings).recip())
    }

    /// Cuts the rate after a rejection without a Retry-After, or with a short one, and delays the next call.
    pub fn on_rejection(&mut self, now: Time, settings: &Settings, rejection: &Rejection) {
        if now - self.last_cut_at > MIN_CUT_INTERVAL {
            self.cut(now, settings, rejection);
        }
        // The delay is random, so that gateways that were rejected together do not call again together.
        let spread_calls = if rejection.has_low_traffic { LOW_TRAFFIC_MAX_WAIT_CALLS } else { 1.0 };
        self.tokens = self.tokens.min(-rejection.random_fraction * spread_calls);
    }

    fn cut(&mut self, now: Time, settings: &Settings, rejection: &Rejection) {
        let ratio = CUT_RATIOS[self.cuts_since_success.min(CUT_RATIOS.len() - 1)];
        self.cuts_since_success += 1;
        let objective_call_per_sec = shortest_objective_secs(settings).recip();
        // Sending a burst of messages must not take long because the ordinary rate is low. If a call carries
        // many messages, waiting messages are sent together, and one call per latency objective is enough.
        let (waiting_messages, max_sent_per_sec) = if rejection.batch_size > 1 {
            (0.0, objective_call_per_sec)
        } else {
            (rejection.waiting_messages, f64::MAX)
        };
        let sent_per_sec = self.sent_calls.per_sec(now, SENT_SPAN_SECS).min(max_sent_per_sec);
        let used_per_sec = sent_per_sec
            .max(rejection.demand_per_sec)
            .max(self.limit_per_sec / fleet_size(settings))
            .max(waiting_messages * objective_call_per_sec);
        let floor_per_sec = rejection.floor_per_sec.min(self.rate_per_sec);
        self.rate_per_sec = (ratio * self.rate_per_sec.min(used_per_sec)).max(floor_per_sec);
        self.last_cut_at = now;
    }
}

/// Returns the limit that the endpoint list has for an endpoint, in calls per second over all gateways; none
/// if it has none.
fn listed_limit_per_sec(settings: &Settings, endpoint: &Endpoint) -> Option<f64> {
    let is_listed = settings.capacity_hints != CapacityHints::Ignored && endpoint.capacity_hint > 0.0;
    is_listed.then(|| endpoint.capacity_hint.clamp(MIN_LISTED_LIMIT_PER_SEC, MAX_LISTED_LIMIT_PER_SEC))
}

/// Returns the listed limit of an endpoint. If none is listed, one call per second for each call that may be
/// in flight is assumed.
fn assumed_limit_per_sec(settings: &Settings, endpoint: &Endpoint) -> f64 {
    listed_limit_per_sec(settings, endpoint).unwrap_or(settings.max_in_flight_calls as f64)
}

/// Returns the maximum number of tokens that may be saved up at a rate.
fn max_saved_tokens(rate_per_sec: f64) -> f64 {
    (rate_per_sec * BURST_SECS).max(1.0)
}
