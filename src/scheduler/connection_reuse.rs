//! Whether a call may reuse an idle connection.
//!
//! Some networks drop idle connections without notice to either end, and the next call on such a connection
//! is lost. One gateway calls each endpoint too rarely to learn this there, so the risk is learnt over all
//! endpoints, by idle time. Also, no connections are left idle for a while after an endpoint had too many.

use super::derived_settings::shortest_objective_secs;
use crate::model::{Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Idle times that are told apart, each twice as long as the one before.
const IDLE_BUCKETS: usize = 10;
/// Shortest idle time that counts as idle, as a ratio of the shortest latency objective. What is lost on a
/// connection that was in use more recently has other causes.
const MIN_IDLE_OBJECTIVE_RATIO: f64 = 1.0 / 64.0;
/// Weight of the newest loss or success in a risk.
const RISK_GAIN: f64 = 0.15;
/// Risk from which on an idle connection isn't used for a message that can't be resent: it would be lost.
const MAX_RISK_NON_IDEMPOTENT: f64 = 0.03;
/// Risk from which on an idle connection isn't used for a message that can be resent: it would only be late.
const MAX_RISK_RESENDABLE: f64 = 0.25;
/// The risk of a call on a new connection counts this many times on top of these bounds.
const BASELINE_RISK_MULTIPLE: f64 = 2.0;
/// While idle connections are closed, one is tried this long after the last loss, in shortest latency
/// objectives.
const PROBE_INTERVAL_IN_OBJECTIVES: f64 = 4.0;
/// No connection is kept idle for this many times the idle time-out after an endpoint had too many.
const PAUSE_IN_IDLE_TIMEOUTS: u32 = 3;

/// What to do with the idle connections to an endpoint before the next call there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnections {
    /// Use one; its idle time, where that is known for certain.
    Reuse(Option<Duration>),
    /// Close them and open a new one.
    Close,
}

/// What the next call to an endpoint would find there.
pub struct NextCall {
    /// Time since a call last ended there with its connection left open.
    pub idle: Duration,
    /// No other call is in flight there. If one is, a second connection may have been idle for longer.
    pub is_only_call: bool,
    /// Its message can be sent again if it is lost.
    pub is_resendable: bool,
}

/// Risk of losing a call, by the time for which its connection had been idle.
#[derive(Default, Serialize, Deserialize)]
pub struct ConnectionReuse {
    /// Ratio of calls lost on idle connections, by idle time.
    idle_risks: [f64; IDLE_BUCKETS],
    /// Ratio of calls lost on connections that had not been idle.
    baseline_risk: f64,
    /// When a risky idle connection may next be tried.
    next_probe_at: Time,
    /// Until when no connections are kept idle.
    paused_until: Time,
}

impl ConnectionReuse {
    /// Decides for the next call to an endpoint that may have idle connections.
    pub fn decide(&mut self, now: Time, settings: &Settings, call: &NextCall) -> IdleConnections {
        let max_risk = if call.is_resendable { MAX_RISK_RESENDABLE } else { MAX_RISK_NON_IDEMPOTENT };
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

    /// Whether a call that was lost after its connection had been idle for so long was most likely lost for
    /// that.
    pub fn likely_caused_loss(&self, settings: &Settings, idle: Option<Duration>) -> bool {
        let bucket = idle.and_then(|idle| idle_bucket(settings, idle));
        let risk = bucket.map_or(0.0, |bucket| self.idle_risks[bucket]);
        risk > MAX_RISK_NON_IDEMPOTENT + self.baseline_risk * BASELINE_RISK_MULTIPLE
    }

    /// Learns from a call that was lost.
    pub fn record_loss(&mut self, now: Time, settings: &Settings, idle: Option<Duration>) {
        if self.record(settings, idle, 1.0) {
            self.next_probe_at = now + probe_interval(settings);
        }
    }

    /// Learns from a call that delivered.
    pub fn record_success(&mut self, now: Time, settings: &Settings, idle: Option<Duration>) {
        if self.record(settings, idle, 0.0) {
            self.next_probe_at = now;
        }
    }

    /// Adds a sample; says whether the connection had been idle.
    fn record(&mut self, settings: &Settings, idle: Option<Duration>, lost: f64) -> bool {
        let bucket = idle.and_then(|idle| idle_bucket(settings, idle));
        let risk = bucket.map_or(&mut self.baseline_risk, |bucket| &mut self.idle_risks[bucket]);
        *risk += RISK_GAIN * (lost - *risk);
        bucket.is_some()
    }

    /// Ratio of calls lost on connections that had not been idle, over all destinations.
    pub fn baseline_risk(&self) -> f64 {
        self.baseline_risk
    }

    /// An endpoint had too many connections: none is kept idle for a while, as others need them.
    pub fn on_too_many_connections(&mut self, now: Time, settings: &Settings) {
        self.paused_until = now + settings.connection_idle_timeout * PAUSE_IN_IDLE_TIMEOUTS;
    }

    /// Whether no connections are kept idle now.
    pub fn is_paused(&self, now: Time) -> bool {
        self.paused_until > now
    }
}

fn probe_interval(settings: &Settings) -> Duration {
    Duration::from_secs_f64(shortest_objective_secs(settings) * PROBE_INTERVAL_IN_OBJECTIVES)
}

/// Which of the risks an idle time belongs to; none where it is too short to count as idle.
fn idle_bucket(settings: &Settings, idle: Duration) -> Option<usize> {
    let shortest_secs = shortest_objective_secs(settings) * MIN_IDLE_OBJECTIVE_RATIO;
    let doublings = (idle.as_secs_f64() / shortest_secs).log2();
    (doublings >= 0.0).then(|| (doublings as usize).min(IDLE_BUCKETS - 1))
}
