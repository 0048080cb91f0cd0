//! Decides whether a call may reuse an idle connection. If not, the call opens a new one. This module owns
//! the estimated risk of losing a call, by the idle time of its connection.
//!
//! Some networks drop idle connections without notice to either end, and the next call on such a connection
//! is lost. One gateway calls each endpoint too rarely to estimate this risk per endpoint, so it is estimated
//! over all endpoints, by idle time. After an endpoint had too many connections, none is kept idle for a
//! while.

use super::derived_settings::shortest_objective_secs;
use crate::model::{Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of buckets of idle times, each bucket twice as long as the one before.
const IDLE_BUCKETS: usize = 10;
/// The minimum time for which a connection counts as idle, as a ratio of the shortest latency objective.
/// Losses on connections used more recently have other causes.
const MIN_IDLE_OBJECTIVE_RATIO: f64 = 1.0 / 64.0;
/// The weight of the newest sample in the exponential moving average of a risk.
const RISK_GAIN: f64 = 0.15;
/// The risk from which an idle connection is not used for a message that cannot be resent, which would be
/// lost.
const MAX_RISK_NON_IDEMPOTENT: f64 = 0.03;
/// The risk from which an idle connection is not used for a resendable message, which would only be late.
const MAX_RISK_RESENDABLE: f64 = 0.25;
/// The multiple of the baseline risk that is added to these limits.
const BASELINE_RISK_MULTIPLE: f64 = 2.0;
/// While idle connections are closed, one is tried this long after the last loss or try, in shortest latency
/// objectives.
const PROBE_INTERVAL_IN_OBJECTIVES: f64 = 4.0;
/// How long no connection is kept idle after an endpoint had too many, in idle timeouts.
const PAUSE_IN_IDLE_TIMEOUTS: u32 = 3;

/// What to do with the idle connections to an endpoint before the next call to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnections {
    /// Use one. Holds its idle time, if that is certain.
    Reuse(Option<Duration>),
    /// Close them and open a new one.
    Close,
}

/// The state of an endpoint's connections before the next call to it, and what that call would carry.
pub struct NextCall {
    /// Time since a call to the endpoint last ended with its connection left open.
    pub idle: Duration,
    /// Whether no other call to the endpoint is in flight. If one is, there may be a second connection that
    /// has been idle for longer.
    pub is_only_call: bool,
    /// Whether its first message can be sent again if it is lost.
    pub is_resendable: bool,
}

/// The risk of losing a call, by the idle time of its connection.
#[derive(Default, Serialize, Deserialize)]
pub struct ConnectionReuse {
    /// Ratio of calls lost on idle connections, by bucket of idle times.
    idle_risks: [f64; IDLE_BUCKETS],
    /// Ratio of calls lost on connections that had not been idle, or whose idle time is not certain.
    baseline_risk: f64,
    /// When a call may next probe a risky idle connection.
    next_probe_at: Time,
    /// Until this time no connections are kept idle.
    paused_until: Time,
}

impl ConnectionReuse {
    /// Decides whether the next call to an endpoint reuses one of the endpoint's idle connections.
    pub fn decide(&mut self, now: Time, settings: &Settings, call: &NextCall) -> IdleConnections {
        let max_risk = if call.is_resendable { MAX_RISK_RESENDABLE } else { MAX_RISK_NON_IDEMPOTENT };
        // A connection whose idle time is too short to count as idle has no risk. While another call is in
        // flight, the next one may use a connection that has been idle for longer, so the highest risk from
        // this idle time on counts.
        let fallback_bucket = if call.is_only_call { IDLE_BUCKETS } else { 0 };
        let risks = &self.idle_risks[idle_bucket(settings, call.idle).unwrap_or(fallback_bucket)..];
        let risk =
            if call.is_only_call { risks.first().copied() } else { risks.iter().copied().reduce(f64::max) };
        if risk.unwrap_or(0.0) < max_risk + self.baseline_risk * BASELINE_RISK_MULTIPLE {
            return IdleConnections::Reuse(call.is_only_call.then_some(call.idle));
        }
        if call.is_resendable && call.is_only_call && now >= self.next_probe_at {
            self.next_probe_at = now + probe_interval(settings);
            return IdleConnections::Reuse(Some(call.idle));
        }
        IdleConnections::Close
    }

    /// Returns whether a call was most likely lost because its connection had been idle for `idle`. False if
    /// the idle time is not certain (none).
    pub fn likely_caused_loss(&self, settings: &Settings, idle: Option<Duration>) -> bool {
        let bucket = idle.and_then(|idle| idle_bucket(settings, idle));
        let risk = bucket.map_or(0.0, |bucket| self.idle_risks[bucket]);
        risk > MAX_RISK_NON_IDEMPOTENT + self.baseline_risk * BASELINE_RISK_MULTIPLE
    }

    /// Records a call that was lost. If its connection had been idle, delays the next probe.
    pub fn record_loss(&mut self, now: Time, settings: &Settings, idle: Option<Duration>) {
        if self.record(settings, idle, 1.0) {
            self.next_probe_at = now + probe_interval(settings);
        }
    }

    /// Records a call that delivered. If its connection had been idle, permits the next probe at once.
    pub fn record_success(&mut self, now: Time, settings: &Settings, idle: Option<Duration>) {
        if self.record(settings, idle, 0.0) {
            self.next_probe_at = now;
        }
    }

    /// Adds a sample: `lost` is 1 for a lost call and 0 for a delivered one. Returns whether the connection
    /// had certainly been idle.
    fn record(&mut self, settings: &Settings, idle: Option<Duration>, lost: f64) -> bool {
        let bucket = idle.and_then(|idle| idle_bucket(settings, idle));
        let risk = bucket.map_or(&mut self.baseline_risk, |bucket| &mut self.idle_risks[bucket]);
        *risk += RISK_GAIN * (lost - *risk);
        bucket.is_some()
    }

    /// Returns the ratio of calls lost on connections that had not been idle, or whose idle time is not
    /// certain, over all destinations.
    pub fn baseline_risk(&self) -> f64 {
        self.baseline_risk
    }

    /// Stops keeping connections idle for a while after an endpoint had too many, as others need them.
    pub fn on_too_many_connections(&mut self, now: Time, settings: &Settings) {
        self.paused_until = now + settings.connection_idle_timeout * PAUSE_IN_IDLE_TIMEOUTS;
    }

    /// Returns whether no connections are kept idle now.
    pub fn is_paused(&self, now: Time) -> bool {
        self.paused_until > now
    }
}

fn probe_interval(settings: &Settings) -> Duration {
    Duration::from_secs_f64(shortest_objective_secs(settings) * PROBE_INTERVAL_IN_OBJECTIVES)
}

/// Returns the bucket of an idle time; none if it is too short to count as idle.
fn idle_bucket(settings: &Settings, idle: Duration) -> Option<usize> {
    let shortest_secs = shortest_objective_secs(settings) * MIN_IDLE_OBJECTIVE_RATIO;
    let doublings = (idle.as_secs_f64() / shortest_secs).log2();
    (doublings >= 0.0).then(|| (doublings as usize).min(IDLE_BUCKETS - 1))
}
