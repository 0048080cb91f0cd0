//! Delays of the watch on the endpoint list: gateways must receive a change of the list before it counts as announced,
//! as no new call may reach a draining endpoint later than the drain grace period after that.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

/// A change of the list counts as announced once discovery has had it, and has been reachable, for this long.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);
/// Number of gateways in fleets from very small to the largest expected.
const FLEET_SIZES: [u32; 4] = [3, 30, 300, 6_900];
/// Steps of the simulated clock.
const STEP: Duration = Duration::from_millis(20);

/// Returns the time from the last of several failures in a row to the next watch request, or the first step after
/// [`ANNOUNCED_AFTER`] if there is no request until then.
fn delay_after(failures: u32, fleet_size: u32, seed: u64, failure: &EndpointUpdate) -> Duration {
    let mut scheduler = Scheduler::new(Settings { fleet_size, ..settings(vec![idempotent()]) }, seed);
    let start = Time::ZERO + Duration::from_secs(100);
    (0..failures).for_each(|_| scheduler.handle(start, Event::EndpointsUpdated(failure.clone())));
    let mut actions = Vec::new();
    let mut delay = Duration::ZERO;
    while delay <= ANNOUNCED_AFTER {
        scheduler.decide(start + delay, &mut actions);
        if actions.contains(&Action::WatchEndpoints { is_active: true }) {
            return delay;
        }
        delay += STEP;
    }
    delay
}

/// The backoff after rejected watch requests grows with rejections and the size of the fleet. Without a limit a change
/// would count as announced before the next request.
#[test]
fn a_rejected_watch_is_retried_before_a_change_counts_as_announced() {
    let mut late = Vec::new();
    for fleet_size in FLEET_SIZES {
        for rejections in [1, 2, 4, 12] {
            let delays = (1..=20)
                .map(|seed| delay_after(rejections, fleet_size, seed, &EndpointUpdate::WatchRejected));
            let count = delays.filter(|delay| *delay > ANNOUNCED_AFTER).count();
            if count > 0 {
                late.push(format!(
                    "{fleet_size} gateways, rejection {rejections}: {count} of 20 retry later"
                ));
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// A watch request without a response fails only after [`WATCH_RESPONSE_TIMEOUT`]. Even then the next one must be made
/// before a change counts as announced, in a fleet of any size.
#[test]
fn a_failed_watch_is_retried_before_a_change_counts_as_announced() {
    for fleet_size in FLEET_SIZES {
        for failures in [1, 2, 12] {
            for seed in 1..=5 {
                let delay = delay_after(failures, fleet_size, seed, &EndpointUpdate::WatchFailed);
                assert!(
                    WATCH_RESPONSE_TIMEOUT + delay <= ANNOUNCED_AFTER,
                    "{fleet_size} gateways, failure {failures}: {delay:?} after {WATCH_RESPONSE_TIMEOUT:?}"
                );
            }
        }
    }
}

/// A change that was announced before a process started applies to it from its start. Its first watch request must be
/// due within half of the drain grace period, after which no new call may reach a draining endpoint, in a fleet of any
/// size.
#[test]
fn the_first_watch_is_in_time_in_every_fleet_size() {
    let drain_grace = Settings::default().limits.drain_grace;
    for fleet_size in FLEET_SIZES {
        for seed in 0..500 {
            let mut scheduler = Scheduler::new(Settings { fleet_size, ..settings(vec![idempotent()]) }, seed);
            let first = scheduler.initial_watch_delay();
            assert!(first <= drain_grace / 2, "{fleet_size} gateways, seed {seed}: {first:?}");
        }
    }
}
