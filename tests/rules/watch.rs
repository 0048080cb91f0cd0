//! The endpoint list and its watch, and input that the scheduler does not expect.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

/// An endpoint that drains or is removed must get no new calls, whether a delta or a snapshot shows the change.
#[test]
fn a_draining_or_removed_endpoint_gets_nothing_new() {
    for new_availability in [Availability::Draining, Availability::Removed] {
        let mut bench = TestBench::new(settings(vec![idempotent()]), vec![endpoint(7, 1), endpoint(8, 1)]);
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![Endpoint {
            availability: new_availability,
            ..endpoint(7, 1)
        }])));
        (0..4).for_each(|id| bench.accept(id, 0, 1, None));
        let attempts = bench.start_attempts();
        assert!(!attempts.is_empty() && attempts.iter().all(|attempt| attempt.endpoint == 8));
    }
    let mut bench = TestBench::new(settings(vec![idempotent()]), vec![endpoint(7, 1)]);
    bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![endpoint(8, 1)])));
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.start_attempts()[0].endpoint, 8);
}

/// Events can arrive late, for messages, endpoints and timers that the scheduler has already deleted.
#[test]
fn events_for_unknown_ids_are_ignored() {
    let mut bench = single_destination(idempotent());
    bench.finish(99, 7, AttemptOutcome::Delivered, ms(5));
    bench.finish(99, 98, AttemptOutcome::Rejected(Some(ms(5))), ms(5));
    bench.handle(Event::MessageAbandoned(MessageId(99)));
    bench.handle(Event::TimerFired(12345));
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.start_attempts().len(), 1);
}

/// A jump of the clock passes all deadlines at once: every message must still get its final outcome.
#[test]
fn the_clock_may_jump_far_ahead() {
    let mut bench = single_destination(idempotent_with_key());
    (0..5).for_each(|id| bench.accept(id, 0, 1, None));
    bench.start_attempts();
    bench.now = bench.now + Duration::from_secs(100_000);
    let outcomes = bench.decide().iter().filter(|a| !matches!(a, Action::SetTimer { .. })).count();
    assert_eq!(outcomes, 5);
}

/// Returns how often a watch that fails in this way each time is requested again within a time span, and the longest
/// backoff.
fn retries_in(fleet_size: u32, failure: &EndpointUpdate, span: Duration) -> (usize, Duration) {
    let mut bench = fleet_member(fleet_size);
    let end = bench.now + span;
    let mut retries = 0;
    let mut last = bench.now;
    let mut longest = Duration::ZERO;
    bench.handle(Event::EndpointsUpdated(failure.clone()));
    while bench.now < end {
        if bench.decide().contains(&Action::WatchEndpoints { is_active: true }) {
            retries += 1;
            longest = longest.max(bench.now - last);
            last = bench.now;
            bench.handle(Event::EndpointsUpdated(failure.clone()));
        }
        bench.now = bench.now + ms(5);
    }
    (retries, longest)
}

/// Returns one gateway of a fleet, with one listed endpoint.
fn fleet_member(fleet_size: u32) -> TestBench {
    TestBench::new(Settings { fleet_size, ..settings(vec![idempotent()]) }, vec![endpoint(11, 3)])
}

/// A watch that discovery rejects is retried with a growing backoff, which is longer in larger fleets: all gateways
/// lose the watch at the same moment, and discovery needs capacity to recover. The backoff stays within 5 s, as a
/// change counts as announced after 6 s. A watch that broke without a rejection is retried after a short backoff.
#[test]
fn a_rejected_watch_is_retried_with_growing_backoff() {
    // Backoff of 1.5 s in the mean once it has grown, and of 3.75 s where its cap binds.
    let span = Duration::from_secs(240);
    let (few, _) = retries_in(3, &EndpointUpdate::WatchRejected, span);
    assert!((100..=300).contains(&few), "3 gateways: {few} retries");
    for fleet_size in [48, 318, 6900] {
        let (many, longest) = retries_in(fleet_size, &EndpointUpdate::WatchRejected, span);
        assert!(
            (58..=72).contains(&many) && longest <= ms(5005),
            "{fleet_size} gateways: {many} retries, longest backoff {longest:?}"
        );
    }
    assert!(retries_in(3, &EndpointUpdate::WatchFailed, Duration::from_secs(1)).0 >= 8);
}

/// Gateways whose watches are rejected at the same moment must not all retry at the same moment.
#[test]
fn watches_rejected_together_are_retried_at_different_times() {
    let backoff = |seed: u64| {
        let mut bench = fleet_member(1);
        bench.restart(
            Settings { fleet_size: 318, ..settings(vec![idempotent()]) },
            seed,
            vec![endpoint(11, 3)],
        );
        let rejected_at = bench.now;
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::WatchRejected));
        assert_eq!(
            bench.advance_until_action(Duration::from_secs(6)),
            [Action::WatchEndpoints { is_active: true }]
        );
        bench.now - rejected_at
    };
    let mut backoffs: Vec<Duration> = (0..318).map(backoff).collect();
    backoffs.sort();
    assert!(backoffs[0] >= ms(2500), "{backoffs:?}");
    assert!(
        backoffs.windows(32).all(|tenth| tenth[31] - tenth[0] >= ms(125)),
        "a tenth of the gateways retry within a twentieth of the spread: {backoffs:?}"
    );
}

/// The first watch requests of a fleet that starts at one moment are spread. But a change that was announced while a
/// gateway was down counts as announced: in fleets of every size, all requests are sent well before calls to draining
/// endpoints have to stop.
#[test]
fn first_watches_are_spread_inside_the_drain_grace() {
    let initial_delay = |fleet_size: u32, seed: u64| {
        Scheduler::new(Settings { fleet_size, ..settings(vec![idempotent()]) }, seed).initial_watch_delay()
    };
    let drain_grace = Settings::default().limits.drain_grace;
    for fleet_size in [48, 100, 318] {
        let mut delays: Vec<Duration> =
            (0..fleet_size.into()).map(|seed| initial_delay(fleet_size, seed)).collect();
        delays.sort();
        let last = delays[delays.len() - 1];
        assert!(
            last > drain_grace / 3 && last <= drain_grace / 2,
            "{fleet_size} gateways: the last after {last:?}"
        );
        let second_quarter = delays[delays.len() / 2] - delays[delays.len() / 4];
        assert!(second_quarter > drain_grace / 16, "{fleet_size} gateways: {delays:?}");
    }
    assert!(initial_delay(3, 1) < ms(300));
}

/// A watch that was established and is rejected much later must not get the long backoff of earlier rejections.
#[test]
fn an_established_watch_resets_the_backoff() {
    let mut bench = fleet_member(3);
    for _ in 0..8 {
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::WatchRejected));
    }
    bench.handle(Event::WatchEstablished);
    assert_eq!(bench.advance_until_action(Duration::from_secs(10)), []);
    bench.handle(Event::EndpointsUpdated(EndpointUpdate::WatchRejected));
    assert_eq!(bench.advance_until_action(ms(610)), [Action::WatchEndpoints { is_active: true }]);
}
