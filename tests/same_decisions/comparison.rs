//! Decides whether the results of the scheduler under test and of the reference are the same.
//!
//! Results are compared exactly, with these exceptions. Attempt timeouts, send limits, suggested Retry-Afters (those of
//! rejected messages, too) and the times of timers may differ by a microsecond, and rates by a millionth: they follow
//! from decaying sums, which the reference lets decay at each step, rounding each time. The tokens of timers are not
//! compared. If only one side sets its timer again, it may move by at most a microsecond.
//!
//! Rate-limit tokens are such sums too. Within two microseconds of the moment at which the tokens of a route reach a
//! whole number, rounding could decide on one token more or less, so the simulation moves steps that are this near (see
//! [`crate::simulation`]). It moves no other steps.

use delivery_gateway::*;
use std::time::Duration;

/// The largest difference between durations that is explained by rounding.
const ROUNDING: Duration = Duration::from_micros(1);
/// The largest difference between rates that is explained by rounding, as a ratio of the higher rate, or of 1 per
/// second if that is more.
const RATE_ROUNDING: f64 = 1e-6;

/// A timer: when it fires, and the token by which the scheduler identifies it.
pub type Timer = (Time, u64);

/// A value of the scheduler under test, and the corresponding value of the reference.
#[derive(Clone, Copy)]
pub struct Sides<T> {
    pub tested: T,
    pub reference: T,
}

/// Returns whether two durations are equal or differ by rounding alone.
pub fn near_durations(one: Duration, other: Duration) -> bool {
    one.abs_diff(other) <= ROUNDING
}

fn near_rate(one: f64, other: f64) -> bool {
    (one - other).abs() <= RATE_ROUNDING * one.abs().max(other.abs()).max(1.0)
}

pub fn same_actions(tested: &[Action], reference: &[Action]) -> bool {
    tested.len() == reference.len()
        && tested.iter().zip(reference).all(|(one, other)| same_action(one, other))
}

fn same_action(tested: &Action, reference: &Action) -> bool {
    use Action::*;
    match (tested, reference) {
        (
            StartAttempt { message: m1, endpoint: e1, attempt_timeout: t1, send_within: s1 },
            StartAttempt { message: m2, endpoint: e2, attempt_timeout: t2, send_within: s2 },
        ) => (m1, e1) == (m2, e2) && near_durations(*t1, *t2) && near_durations(*s1, *s2),
        (Reject { message: m1, retry_after: r1 }, Reject { message: m2, retry_after: r2 }) => {
            m1 == m2 && near_durations(*r1, *r2)
        }
        _ => tested == reference,
    }
}

/// Returns whether both timers fire at the same time. If only one was set again, it must have moved by rounding alone.
pub fn same_timers(
    before: &Sides<Option<Timer>>,
    after: &Sides<Option<Timer>>,
    was_set: &Sides<bool>,
) -> bool {
    let tested_moved = was_set.tested && !near_timers(before.tested, after.tested);
    let reference_moved = was_set.reference && !near_timers(before.reference, after.reference);
    let agree_on_setting = was_set.tested == was_set.reference || !tested_moved && !reference_moved;
    near_timers(after.tested, after.reference) && agree_on_setting
}

/// Returns whether two timers fire at the same time except for rounding, or neither is set. Ignores their tokens.
fn near_timers(one: Option<Timer>, other: Option<Timer>) -> bool {
    match (one, other) {
        (Some((one, _)), Some((other, _))) => near_durations(one - Time::ZERO, other - Time::ZERO),
        _ => one.is_none() && other.is_none(),
    }
}

pub fn same_circuits(tested: &[CircuitRecord], reference: &[CircuitRecord]) -> bool {
    tested.len() == reference.len()
        && tested.iter().zip(reference).all(|(one, other)| same_circuit(one, other))
}

fn same_circuit(tested: &CircuitRecord, reference: &CircuitRecord) -> bool {
    near_rate(tested.baseline_per_sec, reference.baseline_per_sec)
        && CircuitRecord { baseline_per_sec: reference.baseline_per_sec, ..*tested } == *reference
}

/// The destination with the longest queue, the number of its messages including those in flight, and the status of its
/// routes.
pub type LongestQueue = (DestinationId, usize, Vec<RouteStatus>);

pub fn same_queues(tested: Option<&LongestQueue>, reference: Option<&LongestQueue>) -> bool {
    match (tested, reference) {
        (Some((destination1, length1, routes1)), Some((destination2, length2, routes2))) => {
            (destination1, length1, routes1.len()) == (destination2, length2, routes2.len())
                && routes1.iter().zip(routes2).all(|(one, other)| same_route(one, other))
        }
        _ => tested.is_none() && reference.is_none(),
    }
}

fn same_route(one: &RouteStatus, other: &RouteStatus) -> bool {
    near_rate(one.rate_limit_per_sec, other.rate_limit_per_sec)
        && RouteStatus { rate_limit_per_sec: other.rate_limit_per_sec, ..*one } == *other
}
