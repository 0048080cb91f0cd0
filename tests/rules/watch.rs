//! The watch on the endpoint list, and input that the scheduler does not know.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

#[test]
fn a_draining_or_removed_endpoint_gets_nothing_new() {
    for mode in [Availability::Draining, Availability::Removed] {
        let mut bench = Bench::new(settings(vec![idempotent()]), vec![endpoint(7, 1), endpoint(8, 1)]);
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![Endpoint {
            mode,
            ..endpoint(7, 1)
        }])));
        (0..4).for_each(|id| bench.accept(id, 0, 1, None));
        let attempts = bench.start_attempts();
        assert!(!attempts.is_empty() && attempts.iter().all(|attempt| attempt.endpoint == 8));
    }
    let mut bench = Bench::new(settings(vec![idempotent()]), vec![endpoint(7, 1)]);
    bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![endpoint(8, 1)])));
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.start_attempts()[0].endpoint, 8);
}

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

#[test]
fn the_clock_may_jump_far_ahead() {
    let mut bench = single_destination(idempotent_with_key());
    (0..5).for_each(|id| bench.accept(id, 0, 1, None));
    bench.start_attempts();
    bench.now = bench.now + Duration::from_secs(100_000);
    let answers = bench.decide().iter().filter(|a| !matches!(a, Action::SetTimer { .. })).count();
    assert_eq!(answers, 5);
}

/// A watch that discovery rejects is retried with growing backoff, the longer the more gateways there are:
/// they lose it at one moment, and discovery needs capacity to recover. But it stays within 5 s, as a change
/// counts as announced 6 s later. A watch that broke in silence is retried soon.
#[test]
fn a_rejected_watch_is_retried_with_growing_backoff() {
    let tries = |fleet_size: u32, why: EndpointUpdate, span: Duration| {
        let mut bench =
            Bench::new(Settings { fleet_size, ..settings(vec![idempotent()]) }, vec![endpoint(11, 3)]);
        let end = bench.now + span;
        let (mut tries, mut last, mut longest) = (0, bench.now, Duration::ZERO);
        bench.handle(Event::EndpointsUpdated(why.clone()));
        while bench.now < end {
            if bench.decide().contains(&Action::WatchEndpoints { active: true }) {
                tries += 1;
                longest = longest.max(bench.now - last);
                last = bench.now;
                bench.handle(Event::EndpointsUpdated(why.clone()));
            }
            bench.now = bench.now + ms(5);
        }
        (tries, longest)
    };
    // Backoff of 1.5 s in the mean once it has grown, and of 3.75 s where its cap binds.
    let span = Duration::from_secs(240);
    let (few, _) = tries(3, EndpointUpdate::WatchRejected, span);
    assert!((100..=300).contains(&few), "{few}");
    for fleet_size in [48, 318, 6900] {
        let (many, longest) = tries(fleet_size, EndpointUpdate::WatchRejected, span);
        assert!((58..=72).contains(&many) && longest <= ms(5005), "{fleet_size}: {many}, {longest:?}");
    }
    assert!(tries(3, EndpointUpdate::WatchFailed, Duration::from_secs(1)).0 >= 8);
    // Gateways that are rejected at one moment do not retry at one moment.
    let refused = |seed: u64| {
        let mut bench = Bench::new(settings(vec![idempotent()]), vec![endpoint(11, 3)]);
        bench.restart(
            Settings { fleet_size: 318, ..settings(vec![idempotent()]) },
            seed,
            vec![endpoint(11, 3)],
        );
        let begun = bench.now;
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::WatchRejected));
        assert_eq!(bench.until_action(Duration::from_secs(6)), [Action::WatchEndpoints { active: true }]);
        bench.now - begun
    };
    let mut herd: Vec<Duration> = (0..318).map(refused).collect();
    herd.sort();
    assert!(herd[0] >= ms(2500), "{herd:?}");
    assert!(
        herd.windows(32).all(|some| some[31] - some[0] >= ms(125)),
        "a tenth within a twentieth: {herd:?}"
    );
    // The first watches of a herd are spread too, but what changed while a gateway was away counts as
    // announced: however many there are, all have asked well before they may send no more to draining
    // endpoints.
    let first = |fleet_size: u32, seed: u64| {
        Scheduler::new(Settings { fleet_size, ..settings(vec![idempotent()]) }, seed).initial_watch_delay()
    };
    let drain = Settings::default().limits.drain_grace;
    for fleet_size in [48, 100, 318] {
        let mut herd: Vec<Duration> = (0..fleet_size.into()).map(|seed| first(fleet_size, seed)).collect();
        herd.sort();
        let last = herd[herd.len() - 1];
        assert!(last > drain / 3 && last <= drain / 2, "{fleet_size}: {last:?}");
        assert!(herd[herd.len() / 2] - herd[herd.len() / 4] > drain / 16, "{fleet_size}: {herd:?}");
    }
    assert!(first(3, 1) < ms(300));
    // A watch that succeeds resets the backoff.
    let mut bench =
        Bench::new(Settings { fleet_size: 3, ..settings(vec![idempotent()]) }, vec![endpoint(11, 3)]);
    for _ in 0..8 {
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::WatchRejected));
    }
    bench.handle(Event::WatchEstablished);
    assert_eq!(bench.until_action(Duration::from_secs(10)), []);
    bench.handle(Event::EndpointsUpdated(EndpointUpdate::WatchRejected));
    assert_eq!(bench.until_action(ms(610)), [Action::WatchEndpoints { active: true }]);
}
