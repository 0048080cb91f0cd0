//! Decides whether the results of both schedulers are the same.
//!
//! Everything is compared exactly except durations and rates. Those that follow from decaying sums may differ by a
//! microsecond (rates by a millionth), because the reference lets the sums decay at each step and rounds each time.
//! Tokens are such sums too: within two microseconds of the moment at which a route's tokens come to a whole number,
//! rounding would decide on one token more or less, so the simulation moves steps away from such moments (see
//! [`crate::simulation`]). It moves no other steps. A timer that only one side sets again is no difference if it moves
//! by a microsecond at most.

use delivery_gateway::*;
use std::time::Duration;

/// The largest difference between durations that is explained by rounding.
const ROUNDING: Duration = Duration::from_micros(1);
/// The largest relative difference between rates that is explained by rounding.
const RATE_ROUNDING: f64 = 1e-6;

/// A timer: when it fires, and its token.
pub type Timer = (Time, u64);

/// A value of the product and the same of the reference.
#[derive(Clone, Copy)]
pub struct Sides<T> {
    pub product: T,
    pub reference: T,
}

/// Returns whether two durations are equal or differ by rounding alone.
pub fn near(one: Duration, other: Duration) -> bool {
    one.abs_diff(other) <= ROUNDING
}

fn near_rate(one: f64, other: f64) -> bool {
    (one - other).abs() <= RATE_ROUNDING * one.abs().max(other.abs()).max(1.0)
}

pub fn same_actions(product: &[Action], reference: &[Action]) -> bool {
    product.len() == reference.len()
        && product.iter().zip(reference).all(|(one, other)| same_action(one, other))
}

fn same_action(product: &Action, reference: &Action) -> bool {
    use Action::*;
    match (product, reference) {
        (
            StartAttempt { message: m1, endpoint: e1, attempt_timeout: t1, send_within: s1 },
            StartAttempt { message: m2, endpoint: e2, attempt_timeout: t2, send_within: s2 },
        ) => (m1, e1) == (m2, e2) && near(*t1, *t2) && near(*s1, *s2),
        (Reject { message: m1, retry_after: r1 }, Reject { message: m2, retry_after: r2 }) => {
            m1 == m2 && near(*r1, *r2)
        }
        _ => product == reference,
    }
}

/// Returns whether both timers fire at the same time. One may have been set again where the other was not, if it moved
/// by rounding alone.
pub fn same_timers(
    before: &Sides<Option<Timer>>,
    after: &Sides<Option<Timer>>,
    was_set: &Sides<bool>,
) -> bool {
    let product_moved = was_set.product && !near_timers(before.product, after.product);
    let reference_moved = was_set.reference && !near_timers(before.reference, after.reference);
    let same_settings = was_set.product == was_set.reference || !product_moved && !reference_moved;
    near_timers(after.product, after.reference) && same_settings
}

fn near_timers(one: Option<Timer>, other: Option<Timer>) -> bool {
    match (one, other) {
        (Some((one, _)), Some((other, _))) => near(one - Time::ZERO, other - Time::ZERO),
        _ => one.is_none() && other.is_none(),
    }
}

pub fn same_circuits(product: &[CircuitRecord], reference: &[CircuitRecord]) -> bool {
    product.len() == reference.len()
        && product.iter().zip(reference).all(|(one, other)| same_circuit(one, other))
}

fn same_circuit(product: &CircuitRecord, reference: &CircuitRecord) -> bool {
    near_rate(product.baseline_per_sec, reference.baseline_per_sec)
        && CircuitRecord { baseline_per_sec: reference.baseline_per_sec, ..*product } == *reference
}

/// The destination with the longest queue, the number of its messages, and the status of its routes.
pub type LongestQueue = (DestinationId, usize, Vec<RouteStatus>);

pub fn same_queues(product: Option<&LongestQueue>, reference: Option<&LongestQueue>) -> bool {
    match (product, reference) {
        (Some((to1, waiting1, routes1)), Some((to2, waiting2, routes2))) => {
            (to1, waiting1, routes1.len()) == (to2, waiting2, routes2.len())
                && routes1.iter().zip(routes2).all(|(one, other)| same_route(one, other))
        }
        _ => product.is_none() && reference.is_none(),
    }
}

fn same_route(one: &RouteStatus, other: &RouteStatus) -> bool {
    near_rate(one.rate_limit_per_sec, other.rate_limit_per_sec)
        && RouteStatus { rate_limit_per_sec: other.rate_limit_per_sec, ..*one } == *other
}
