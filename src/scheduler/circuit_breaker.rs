//! The circuit breaker of a route. It opens after failures or a missing response, and then only permits
//! half-open probes. It closes when a call succeeds, when the destination announces its return, or when
//! operators enable the endpoint again.
//!
//! It owns the failure score, the open interval and the time of the last success. Probes back off with jitter
//! and keep to about this gateway's share of the overload budget, as the probes of many gateways alone could
//! overload a recovering destination. The share is not exact, as jitter shortens the budget's delay too.

use super::backoff;
use crate::model::{CircuitRecord, LoadReport, Settings, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Failure score that opens a closed circuit.
const OPENING_SCORE: u32 = 6;
/// Failure score from which a failure while the circuit is open confirms the outage and reschedules the next
/// probe.
const CONFIRMING_SCORE: u32 = 3;
/// The exponential backoff before the first probe, as a ratio of the overload window. It doubles with each
/// probe. Jitter and the overload budget apply to the result. If a missing response opens the circuit, the
/// first probe has another delay.
const BASE_PROBE_DELAY_WINDOW_RATIO: f64 = 0.1;
/// The maximum of the exponential backoff, as a ratio of the overload window. The overload budget may require
/// longer delays.
const MAX_PROBE_DELAY_WINDOW_RATIO: f64 = 0.6;
/// The minimum ratio of a delay that is left after jitter.
const MIN_JITTER_RATIO: f64 = 0.25;
/// The maximum duration of a transient outage, as a ratio of the overload window. A transient outage is not
/// followed by a slow start.
const MAX_TRANSIENT_WINDOW_RATIO: f64 = 0.6;
/// The maximum headroom in a rejection by the rate limit. A rejection that reports more has another cause.
const MAX_HEADROOM_AT_LIMIT: f64 = 0.3;

/// How strongly an outcome suggests that the destination is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// No evidence: the failure score stays the same.
    None,
    /// Weak evidence: a single rejection is normal.
    Minor,
    /// Strong evidence: two in a row open the circuit, as a gateway with low traffic makes too few calls to
    /// wait for more.
    Major,
    /// Proof: a single one opens the circuit.
    Certain,
}

/// A call that did not deliver its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The destination rejected it without processing it.
    Rejected(Severity),
    /// It ended without success in any other way.
    Lost(Severity),
}

impl Severity {
    /// Returns the severity of a rejection. If the destination reports unused headroom, it is unavailable or
    /// hangs with a full queue.
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

/// The inputs that determine the time of the next probe.
pub struct ProbeTiming {
    /// This gateway's overload budget, in calls per second.
    pub calls_per_sec: f64,
    /// No probe is sent before this time: the end of the destination's Retry-After, possibly in the past.
    pub not_before: Time,
    /// A random number in `0.0..1.0`, for the jitter.
    pub random_fraction: f64,
}

/// The circuit breaker of a route.
#[derive(Default, Serialize, Deserialize)]
pub struct CircuitBreaker {
    failure_score: u32,
    open: Option<OpenInterval>,
    last_success_at: Time,
}

/// A period without success during which the circuit is open.
#[derive(Default, Serialize, Deserialize)]
struct OpenInterval {
    /// The start of the outage, before the circuit opened: the last success (the creation of the route if
    /// there was none), or an earlier time at which a call without a response was started.
    outage_since: Time,
    next_probe_at: Time,
    /// Number of probes sent in this interval.
    probes_sent: u32,
    /// True if a failure opened the circuit, if the score was at least [`CONFIRMING_SCORE`] after a failure
    /// while it was open, or if the state was restored. Otherwise the circuit opened because of a missing
    /// response, and no failure has confirmed the outage yet.
    is_outage_confirmed: bool,
    /// Whether the circuit opened because of a missing response, or a call that opened it or ended while it
    /// was open failed in another way than by a rejection. Earlier failures do not count.
    has_lost_calls: bool,
}

impl CircuitBreaker {
    /// Creates a closed circuit, as if a call had just succeeded.
    pub fn new(now: Time) -> CircuitBreaker {
        CircuitBreaker { last_success_at: now, ..CircuitBreaker::default() }
    }

    /// Returns whether only probes may be sent.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Returns whether the circuit has state that must be kept across a restart.
    pub fn has_history(&self) -> bool {
        self.failure_score > 0 || self.open.is_some()
    }

    /// Returns when the next probe may be sent; none if the circuit is closed.
    pub fn next_probe_at(&self) -> Option<Time> {
        self.open.as_ref().map(|open| open.next_probe_at)
    }

    /// Returns whether a probe may be lost, and so may carry only one message: whether the circuit is open
    /// and [`Self::has_lost_calls`] is true. Otherwise it carries a full batch, as a rejection does not harm
    /// its messages.
    pub fn probe_may_be_lost(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.has_lost_calls)
    }

    /// Returns whether no call has succeeded after `at`.
    pub fn no_success_since(&self, at: Time) -> bool {
        at >= self.last_success_at
    }

    /// Returns when a call that was started at `sent_at` opens the circuit if it has no response:
    /// `unresponsive_after` after `sent_at`, or after the last success of any call of the route if that is
    /// later.
    pub fn unresponsive_at(&self, sent_at: Time, unresponsive_after: Duration) -> Time {
        sent_at.max(self.last_success_at) + unresponsive_after
    }

    /// Opens the circuit because of a missing response. This usually happens before the attempt times out, so
    /// that few calls are lost.
    pub fn open_on_missing_response(&mut self, now: Time, sent_at: Time, unresponsive_after: Duration) {
        self.open = Some(OpenInterval {
            outage_since: self.last_success_at.min(sent_at),
            next_probe_at: now + unresponsive_after,
            has_lost_calls: true,
            ..OpenInterval::default()
        });
    }

    /// If the circuit is open, counts the started call as a probe.
    pub fn on_call_sent(&mut self) {
        if let Some(open) = &mut self.open {
            open.probes_sent += 1;
        }
    }

    /// Returns whether a success now ends an outage that was long enough for a slow start. The outage counts
    /// from the last success, so that gateways that saw only its end recognize it too.
    pub fn success_ends_outage(&self, now: Time, settings: &Settings) -> bool {
        let is_outage = |open: &OpenInterval| {
            open.is_outage_confirmed && now - open.outage_since > max_transient_outage(settings)
        };
        self.open.as_ref().is_some_and(is_outage)
    }

    /// Closes the circuit after a delivery.
    pub fn on_success(&mut self, now: Time) {
        self.open = None;
        self.failure_score = 0;
        self.last_success_at = now;
    }

    /// Closes the circuit because the destination has announced when it is back, so that no probes are
    /// needed.
    pub fn on_announced_return(&mut self) {
        self.open = None;
    }

    /// Records a call that did not deliver. Returns true if the circuit is open now and the failure score is
    /// at least [`CONFIRMING_SCORE`].
    pub fn on_failure(&mut self, failure: Failure) -> bool {
        let (severity, is_lost) = match failure {
            Failure::Rejected(severity) => (severity, false),
            Failure::Lost(severity) => (severity, true),
        };
        self.failure_score += severity.score();
        let opens = self.failure_score >= OPENING_SCORE
            || (self.open.is_some() && self.failure_score >= CONFIRMING_SCORE);
        if opens {
            let outage_since = self.last_success_at;
            let open = self.open.get_or_insert(OpenInterval { outage_since, ..OpenInterval::default() });
            open.is_outage_confirmed = true;
            open.has_lost_calls |= is_lost;
        }
        opens
    }

    /// Schedules the next probe if the circuit is open.
    pub fn schedule_probe(&mut self, now: Time, settings: &Settings, timing: &ProbeTiming) {
        let Some(open) = &mut self.open else { return };
        let budget_delay = Duration::from_secs_f64(timing.calls_per_sec.max(0.001).recip());
        let window = settings.limits.overload_window;
        let delay = backoff::exponential(window, BASE_PROBE_DELAY_WINDOW_RATIO, open.probes_sent)
            .min(window.mul_f64(MAX_PROBE_DELAY_WINDOW_RATIO));
        let jitter = MIN_JITTER_RATIO + timing.random_fraction * (1.0 - MIN_JITTER_RATIO);
        // The delay starts after a Retry-After, so that gateways that wait for the same one do not call
        // together.
        open.next_probe_at = now.max(timing.not_before) + delay.max(budget_delay).mul_f64(jitter);
    }

    /// Closes the circuit because operators have enabled the endpoint again: earlier failures are no evidence
    /// of its present state.
    pub fn reset(&mut self) {
        self.open = None;
        self.failure_score = 0;
    }

    /// Restores the state from before a restart.
    pub fn restore(&mut self, record: &CircuitRecord) {
        self.last_success_at = record.last_success_at;
        self.failure_score = record.failure_score;
        if let Some(has_lost_calls) = record.has_lost_calls {
            self.open = Some(OpenInterval {
                outage_since: record.last_success_at,
                is_outage_confirmed: true,
                has_lost_calls,
                ..OpenInterval::default()
            });
        }
    }

    /// Returns the last success, or the creation of the route if there was none; while the circuit is open,
    /// the start of the outage.
    pub fn last_success_at(&self) -> Time {
        self.open.as_ref().map_or(self.last_success_at, |open| open.outage_since)
    }

    /// Returns the sum of the severity scores of all failures since the last success, or since operators last
    /// enabled the endpoint.
    pub fn failure_score(&self) -> u32 {
        self.failure_score
    }

    /// Returns whether the circuit opened because of a missing response, or a call that opened it or ended
    /// while it was open failed in another way than by a rejection; None if the circuit is closed.
    pub fn has_lost_calls(&self) -> Option<bool> {
        self.open.as_ref().map(|open| open.has_lost_calls)
    }
}

/// Returns the maximum duration of an outage, or of a requested Retry-After, that is not followed by a slow
/// start.
pub fn max_transient_outage(settings: &Settings) -> Duration {
    settings.limits.overload_window.mul_f64(MAX_TRANSIENT_WINDOW_RATIO)
}
