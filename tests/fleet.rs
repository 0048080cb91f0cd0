//! Many gateways at a destination whose rejected calls use up the limit as well. If they send more than it can serve,
//! it serves nobody, and each gateway calls it so rarely that it learns of the overload late.

mod common;

use common::recovering_fleet::{run, OutageKind, Scenario};
use common::{endpoint, idempotent, ms, settings, StartedAttempt, TestBench};
use delivery_gateway::*;
use std::time::Duration;

/// The step from which every response is a Retry-After without end, in the test of extreme capacity hints.
const REJECTED_FROM: u32 = 20_000;
const FLEET: Scenario = Scenario {
    outage: OutageKind::Down,
    fleet_size: 100,
    capacity_per_sec: 20.0,
    capacity_hint_ratio: 1.0,
    load: 2.0,
    max_batch_size: 1,
    outage_after: Duration::from_secs(6),
    rejections_use_capacity: true,
    seed: 1,
};

/// The fleet as a whole, and not each gateway, starts at the listed limit. Otherwise the first calls of all gateways
/// would be rejected, and the rejections would keep the limit used up for seconds.
#[test]
fn a_fleet_shares_the_listed_limit_from_the_first_call_on() {
    for seed in 1..=3 {
        let observed = run(Scenario { seed, ..FLEET });
        assert!(observed.served_ratio > 0.5, "seed {seed}: {observed}");
        assert!(observed.rejected_ratio < 0.4, "seed {seed}: {observed}");
    }
}

/// Gateways that start at the same moment must not all send their first call at the same moment.
#[test]
fn the_first_calls_of_a_fleet_are_spread() {
    for seed in 1..=3 {
        let observed = run(Scenario { outage_after: Duration::from_secs(2), seed, load: 4.0, ..FLEET });
        assert!(observed.rejected_ratio < 0.2, "seed {seed}: {observed}");
    }
}

/// Each gateway learns of the limit only with its next call, seconds later. What all gateways add to their rates
/// meanwhile must stay small, or rejected calls use up the limit most of the time.
#[test]
fn a_fleet_with_more_load_than_the_limit_is_rarely_rejected() {
    for seed in 1..=3 {
        let observed = run(Scenario { outage_after: Duration::from_secs(60), seed, ..FLEET });
        assert!(observed.served_ratio > 0.8, "seed {seed}: {observed}");
        assert!(observed.rejected_ratio < 0.13, "seed {seed}: {observed}");
    }
}

/// Capacity hints and fleet sizes may be missing or far off, and a Retry-After may have no end. A gateway must not
/// panic, flood the destination, or hold its messages back for good.
#[test]
fn extreme_capacity_hints_fleet_sizes_and_retry_afters_are_handled() {
    for capacity_hints in [CapacityHints::Ignored, CapacityHints::Approximate, CapacityHints::Exact] {
        for capacity_hint in [0.0, -5.0, f64::NAN, 1e-9, f64::MIN_POSITIVE, 1e300, f64::INFINITY] {
            for fleet_size in [0, 1, 100, u32::MAX] {
                let case =
                    format!("{capacity_hints:?}, capacity hint {capacity_hint}, {fleet_size} gateways");
                let listed = Endpoint { capacity_hint, ..endpoint(7, 1) };
                let base = settings(vec![idempotent()]);
                let mut bench = TestBench::new(Settings { fleet_size, capacity_hints, ..base }, vec![listed]);
                let (mut calls, mut calls_after_rejection) = (0, 0);
                for step in 0..24_000 {
                    bench.now = bench.now + ms(5);
                    if step % 200 == 0 {
                        bench.accept(step, 0, 1, None);
                    }
                    for StartedAttempt { message, endpoint: to, .. } in bench.start_attempts() {
                        calls += 1;
                        calls_after_rejection += usize::from(step >= REJECTED_FROM);
                        let outcome = if step < REJECTED_FROM {
                            AttemptOutcome::Delivered
                        } else {
                            AttemptOutcome::Rejected(Some(Duration::MAX))
                        };
                        bench.finish(message, to, outcome, ms(50));
                    }
                }
                assert!((1..=120).contains(&calls), "{case}: {calls} calls for 120 messages");
                assert!(
                    calls_after_rejection <= 1,
                    "{case}: {calls_after_rejection} calls during a Retry-After without end"
                );
                let mut scheduler = bench.scheduler;
                assert!(
                    scheduler.suggested_retry_after(bench.now, DestinationId(1)) <= Duration::from_secs(3),
                    "{case}"
                );
            }
        }
    }
}

/// Without an endpoint list there is nothing to send to. Messages are rejected at their deadline, or sent if the list
/// arrives before it.
#[test]
fn without_an_endpoint_list_messages_get_their_outcome_in_time() {
    let settings = Settings { fleet_size: 100, ..settings(vec![idempotent()]) };
    let mut bench = TestBench::new(settings.clone(), Vec::new());
    bench.accept(1, 0, 1, None);
    let deadline = settings.classes[0].deadline;
    assert!(matches!(bench.advance_until_action(deadline + ms(10))[..], [Action::Reject { .. }]));
    bench.accept(2, 0, 1, None);
    bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![endpoint(7, 1)])));
    assert!(matches!(bench.advance_until_action(deadline)[..], [Action::StartAttempt { .. }]));
}

/// After rejections a gateway with low traffic calls so rarely that its rate could take minutes to grow. It must be
/// back at its share of the listed limit within a few calls.
#[test]
fn a_reduced_rate_recovers_to_its_share_of_the_listed_limit() {
    let mut bench =
        TestBench::new(Settings { fleet_size: 100, ..settings(vec![idempotent()]) }, vec![endpoint(7, 1)]);
    let mut last_message = 0;
    let mut rejected = 0;
    let mut served = 0;
    let mut end = bench.now + Duration::from_secs(600);
    while bench.now < end {
        bench.now = bench.now + ms(50);
        last_message += 1;
        bench.accept(last_message, 0, 1, None);
        for StartedAttempt { message, endpoint: to, .. } in bench.start_attempts() {
            if rejected == 3 {
                served += 1;
                bench.finish(message, to, AttemptOutcome::Delivered, ms(20));
                continue;
            }
            rejected += 1;
            bench.finish(message, to, AttemptOutcome::Rejected(None), ms(20));
            end = bench.now + Duration::from_secs(20);
        }
    }
    // The gateway's share is one call a second.
    assert!(served >= 11, "only {served} calls in 20 s");
}
