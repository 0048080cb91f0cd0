//! The circuit breaker of a route: it opens after failures or silence, and half-open probes show when it may
//! close.
//!
//! Probes back off with jitter, and stay within this gateway's share of the overload budget: the probes of
//! many gateways alone could overload a recovering destination.

use super::backoff;
use crate::model::{CircuitRecord, LoadReport, Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Failure score that opens the circuit.
const OPENING_SCORE: u32 = 6;
/// Failure score that keeps an open circuit open.
const REOPENING_SCORE: u32 = 3;
/// First delay between probes, as a ratio of the overload window.
const BASE_PROBE_DELAY_WINDOW_RATIO: f64 = 0.1;
/// Longest delay between probes, as a ratio of the overload window.
const MAX_PROBE_DELAY_WINDOW_RATIO: f64 = 0.6;
/// Jitter leaves at least this ratio of a delay.
const MIN_JITTER_RATIO: f64 = 0.25;
/// Failures without success for less than this ratio of the overload window are transient, and not followed
/// by a slow start.
const MAX_TRANSIENT_WINDOW_RATIO: f64 = 0.6;
/// A rejection that reports more headroom than this was not caused by the rate limit.
const MAX_HEADROOM_AT_LIMIT: f64 = 0.3;

/// How strongly an outcome suggests that the destination is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Not at all.
    None,
    /// Weakly: a single rejection is ordinary.
    Minor,
    /// Two in a row open the circuit: a gateway with low traffic has few calls to learn from.
    Major,
    /// One opens the circuit.
    Certain,
}

/// A call that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was rejected unprocessed.
    Rejected(Severity),
    /// It failed in any other way.
    Lost(Severity),
}

impl Severity {
    /// The severity of a rejection. With headroom left the destination is shut, or hangs with a full queue.
    pub fn of_rejection(report: Option<LoadReport>) -> Severity {
        let has_headroom =
            |report: LoadReport| report.limit_per_sec > 0.0 && report.headroom > MAX_HEADROOM_AT_LIMIT;
        if report.is_some_and(has_headroom) {
            Severity::Major
        } else {
            Severity::Minor
        }
    }

    fn score(self) -> u32 {
        match self {
            Severity::None => 0,
            Severity::Minor => 1,
            Severity::Major => 3,
            Severity::Certain => 6,
        }
    }
}

/// What the time of the next probe depends on.
pub struct ProbeBudget {
    /// Calls a second that this gateway may send.
    pub calls_per_sec: f64,
    /// No probe before this time, as the destination asked with a Retry-After.
    pub not_before: Time,
    /// A random number in `0.0..1.0`.
    pub random_fraction: f64,
}

/// The circuit breaker of a route.
#[derive(Default, Serialize, Deserialize)]
pub struct CircuitBreaker {
    failure_score: u32,
    open: Option<OpenInterval>,
    last_success_at: Time,
}

/// The time without success during which the circuit is open.
#[derive(Default, Serialize, Deserialize)]
struct OpenInterval {
    /// The last success before it.
    since: Time,
    next_probe_at: Time,
    /// Probes sent so far.
    probes_sent: u32,
    /// Some call failed or was rejected; else there was only silence.
    has_failures: bool,
    /// Calls were lost or are silent, not just rejected.
    has_lost_calls: bool,
}

impl CircuitBreaker {
    /// A closed circuit, as if a call had just succeeded.
    pub fn new(now: Time) -> CircuitBreaker {
        CircuitBreaker { last_success_at: now, ..CircuitBreaker::default() }
    }

    /// Whether only probes may be sent.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Whether there is something to be remembered over a restart.
    pub fn has_history(&self) -> bool {
        self.failure_score > 0 || self.open.is_some()
    }

    /// When the next probe may be sent; none where the circuit is closed.
    pub fn next_probe_at(&self) -> Option<Time> {
        self.open.as_ref().map(|open| open.next_probe_at)
    }

    /// Whether a probe carries only one message, as it may be lost. Rejected messages are unharmed, so a
    /// probe that can only be rejected carries a full batch.
    pub fn probe_may_be_lost(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.has_lost_calls)
    }

    /// Whether no call has succeeded since this time.
    pub fn no_success_since(&self, at: Time) -> bool {
        at >= self.last_success_at
    }

    /// When a call that was sent at this time has been silent for too long.
    pub fn unresponsive_at(&self, sent_at: Time, unresponsive_after: Duration) -> Time {
        sent_at.max(self.last_success_at) + unresponsive_after
    }

    /// Opens the circuit because of a missing response, long before the attempt times out, so that few calls
    /// are lost.
    pub fn open_on_missing_response(&mut self, now: Time, sent_at: Time, unresponsive_after: Duration) {
        self.open = Some(OpenInterval {
            since: self.last_success_at.min(sent_at),
            next_probe_at: now + unresponsive_after,
            has_lost_calls: true,
            ..OpenInterval::default()
        });
    }

    /// A probe is sent, if the circuit is open.
    pub fn on_call_sent(&mut self) {
        if let Some(open) = &mut self.open {
            open.probes_sent += 1;
        }
    }

    /// Whether a success now ends an outage that was long enough for a slow start. The outage counts from the
    /// last success, so that it is recognized by gateways that saw only its end.
    pub fn success_ends_outage(&self, now: Time, settings: &Settings) -> bool {
        let is_outage =
            |open: &OpenInterval| open.has_failures && now - open.since > max_transient_outage(settings);
        self.open.as_ref().is_some_and(is_outage)
    }

    /// A call delivered: the circuit closes.
    pub fn on_success(&mut self, now: Time) {
        self.open = None;
        self.failure_score = 0;
        self.last_success_at = now;
    }

    /// The destination has announced when it is back: the circuit closes, as no probes are needed.
    pub fn on_announced_return(&mut self) {
        self.open = None;
    }

    /// A call did not succeed. Returns whether the circuit opens, or is kept open.
    pub fn on_failure(&mut self, failure: Failure) -> bool {
        let (severity, is_lost) = match failure {
            Failure::Rejected(severity) => (severity, false),
            Failure::Lost(severity) => (severity, true),
        };
        self.failure_score += severity.score();
        let opens = self.failure_score >= OPENING_SCORE
            || (self.open.is_some() && self.failure_score >= REOPENING_SCORE);
        if opens {
            let since = self.last_success_at;
            let open = self.open.get_or_insert(OpenInterval { since, ..OpenInterval::default() });
            open.has_failures = true;
            open.has_lost_calls |= is_lost;
        }
        opens
    }

    /// Sets when the next probe may be sent, if the circuit is open.
    pub fn schedule_probe(&mut self, now: Time, settings: &Settings, budget: &ProbeBudget) {
        let Some(open) = &mut self.open else { return };
        let budget_delay = Duration::from_secs_f64(budget.calls_per_sec.max(0.001).recip());
        let window = settings.limits.overload_window;
        let delay = backoff::exponential(window, BASE_PROBE_DELAY_WINDOW_RATIO, open.probes_sent)
            .min(window.mul_f64(MAX_PROBE_DELAY_WINDOW_RATIO));
        let jitter = MIN_JITTER_RATIO + budget.random_fraction * (1.0 - MIN_JITTER_RATIO);
        // The delay starts after a Retry-After: gateways that wait for it together must not call together.
        open.next_probe_at = now.max(budget.not_before) + delay.max(budget_delay).mul_f64(jitter);
    }

    /// Operators use the endpoint again: earlier failures say nothing of its present state.
    pub fn reset(&mut self) {
        self.open = None;
        self.failure_score = 0;
    }

    /// Restores what was learnt before a restart.
    pub fn restore(&mut self, record: &CircuitRecord) {
        self.last_success_at = record.last_success_at;
        self.failure_score = record.failure_score;
        if let Some(has_lost_calls) = record.has_lost_calls {
            self.open = Some(OpenInterval {
                since: record.last_success_at,
                has_failures: true,
                has_lost_calls,
                ..OpenInterval::default()
            });
        }
    }

    /// The last success before an open circuit, or the last one at all.
    pub fn last_success_at(&self) -> Time {
        self.open.as_ref().map_or(self.last_success_at, |open| open.since)
    }

    /// The sum of [`Severity`] since the last success.
    pub fn failure_score(&self) -> u32 {
        self.failure_score
    }

    /// Whether calls were lost, not just rejected; none where the circuit is closed.
    pub fn has_lost_calls(&self) -> Option<bool> {
        self.open.as_ref().map(|open| open.has_lost_calls)
    }
}

/// Failures, and waits that a destination asks for, of up to this length are not followed by a slow start.
pub fn max_transient_outage(settings: &Settings) -> Duration {
    settings.limits.overload_window.mul_f64(MAX_TRANSIENT_WINDOW_RATIO)
}
