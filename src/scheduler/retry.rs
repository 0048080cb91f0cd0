//! How long an attempt may take, and how long the next one waits.
//!
//! Retries back off exponentially with full jitter, short enough that several fit into the latency objective.
//! An attempt times out by the latency of its destination, unless no other attempt could follow it: then it
//! has all the time that the message has.

use super::backoff;
use super::idempotency;
use super::state::latency::LatencyEstimate;
use super::state::message::Message;
use crate::model::*;
use std::time::Duration;

/// Unit of the backoff, as a ratio of the latency objective: it doubles with each attempt that was made, so
/// that the random backoff after the first attempt has twice this as its upper end.
const BASE_BACKOFF_OBJECTIVE_RATIO: f64 = 0.05;
/// Upper end of any backoff, as a ratio of the latency objective.
const MAX_BACKOFF_OBJECTIVE_RATIO: f64 = 0.7;
/// Time-out of an attempt, in latencies (mean plus deviation) of its destination.
const TIMEOUT_IN_LATENCIES: f64 = 4.0;
/// Shortest time-out, as a ratio of the latency objective.
const MIN_TIMEOUT_OBJECTIVE_RATIO: f64 = 0.5;
/// Longest time-out, as a multiple of the latency objective.
const MAX_TIMEOUT_OBJECTIVES: f64 = 3.0;

/// The unit of the backoff, before jitter.
pub fn base_backoff(latency_objective: Duration) -> Duration {
    latency_objective.mul_f64(BASE_BACKOFF_OBJECTIVE_RATIO)
}

/// The longest backoff before jitter.
pub fn max_backoff(latency_objective: Duration) -> Duration {
    latency_objective.mul_f64(MAX_BACKOFF_OBJECTIVE_RATIO)
}

/// The delay after so many attempts; `chance` is a random number in `0.0..1.0`.
pub fn backoff_delay(latency_objective: Duration, attempts: u32, random_fraction: f64) -> Duration {
    backoff::exponential(latency_objective, BASE_BACKOFF_OBJECTIVE_RATIO, attempts)
        .min(max_backoff(latency_objective))
        .mul_f64(random_fraction)
}

/// The time-out of the next attempt of a message at a destination with this latency.
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
