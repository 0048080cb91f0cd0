//! Attempt timeouts, and the backoff that delays a retry. This module has no state: the message holds the end
//! of its backoff.
//!
//! Retries back off exponentially with full jitter, with delays short enough for several retries within the
//! latency objective. The attempt timeout follows the latency of the route. If no other attempt could follow,
//! the attempt has all the time until the message's deadline.

use super::backoff;
use super::idempotency;
use super::state::latency::LatencyEstimate;
use super::state::message::Message;
use crate::model::*;
use std::time::Duration;

/// The base of the backoff, as a ratio of the latency objective. It doubles with each attempt made, so that
/// the random backoff after the first attempt has twice this as its upper end.
const BASE_BACKOFF_OBJECTIVE_RATIO: f64 = 0.05;
/// The maximum backoff, as a ratio of the latency objective.
const MAX_BACKOFF_OBJECTIVE_RATIO: f64 = 0.7;
/// The attempt timeout, in latencies (mean plus deviation) of the route.
const TIMEOUT_IN_LATENCIES: f64 = 4.0;
/// The minimum attempt timeout, as a ratio of the latency objective.
const MIN_TIMEOUT_OBJECTIVE_RATIO: f64 = 0.5;
/// The maximum attempt timeout, as a multiple of the latency objective.
const MAX_TIMEOUT_OBJECTIVES: f64 = 3.0;

/// Returns the base of the backoff, before jitter.
pub fn base_backoff(latency_objective: Duration) -> Duration {
    latency_objective.mul_f64(BASE_BACKOFF_OBJECTIVE_RATIO)
}

/// Returns the maximum backoff, before jitter.
pub fn max_backoff(latency_objective: Duration) -> Duration {
    latency_objective.mul_f64(MAX_BACKOFF_OBJECTIVE_RATIO)
}

/// Returns the delay after `attempts` attempts. `random_fraction` is a random number in `0.0..1.0`.
pub fn backoff_delay(latency_objective: Duration, attempts: u32, random_fraction: f64) -> Duration {
    backoff::exponential(latency_objective, BASE_BACKOFF_OBJECTIVE_RATIO, attempts)
        .min(max_backoff(latency_objective))
        .mul_f64(random_fraction)
}

/// Returns the timeout of the next attempt of a message on a route with this latency.
pub fn attempt_timeout(
    settings: &Settings,
    now: Time,
    message: &Message,
    latency: &LatencyEstimate,
) -> Duration {
    let class = message.class(settings);
    let remaining = message.accepted.deadline - now;
    let objective_secs = class.latency_objective.as_secs_f64();
    let timeout = Duration::from_secs_f64(
        latency
            .multiple_secs(TIMEOUT_IN_LATENCIES)
            .clamp(objective_secs * MIN_TIMEOUT_OBJECTIVE_RATIO, objective_secs * MAX_TIMEOUT_OBJECTIVES),
    );
    let first_sent_at = message.first_uncertain_attempt.map_or(now, |first| first.sent_at);
    let is_last = message.attempts + 1 >= settings.max_attempts
        || match class.idempotency {
            Idempotency::NonIdempotent => true,
            Idempotency::IdempotentWithKey => now + timeout > idempotency::window_end(class, first_sent_at),
            Idempotency::Idempotent => false,
        };
    if is_last {
        remaining
    } else {
        timeout.min(remaining)
    }
}
