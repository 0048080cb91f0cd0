//! The scheduler's rate limits: rejections, Retry-After, load reports, and gateways with low traffic.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

/// A Retry-After holds for the whole destination, not only for the message or endpoint that got it.
#[test]
fn a_retry_after_holds_back_every_message_of_the_destination() {
    let mut bench = TestBench::new(settings(vec![idempotent()]), vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, None);
    let first = bench.start_attempts()[0].endpoint;
    bench.finish(1, first, AttemptOutcome::Rejected(Some(ms(800))), ms(20));
    let rejected_at = bench.now;
    bench.accept(2, 0, 1, None);
    assert!(bench.start_attempts().is_empty());
    assert!(!bench.advance_until_action(Duration::from_secs(5)).is_empty());
    assert!(bench.now - rejected_at >= ms(800));
}

/// The outcomes of a call's messages come one by one. A Retry-After in the first must not be lost when the others have
/// none.
#[test]
fn a_retry_after_with_any_message_of_a_call_is_kept() {
    let base = settings(vec![idempotent()]);
    let mut bench = TestBench::new(
        Settings {
            destination_kinds: vec![DestinationKind { max_batch_size: 5, has_per_endpoint_limits: false }],
            ..base
        },
        vec![endpoint(7, 1)],
    );
    (1..=3).for_each(|id| bench.accept(id, 0, 1, None));
    assert_eq!(bench.start_attempts().len(), 3);
    bench.finish(1, 7, AttemptOutcome::Rejected(Some(ms(900))), ms(20));
    bench.finish(2, 7, AttemptOutcome::Rejected(None), ms(20));
    bench.finish(3, 7, AttemptOutcome::Rejected(None), ms(20));
    let rejected_at = bench.now;
    assert!(!bench.advance_until_action(Duration::from_secs(5)).is_empty());
    assert!(bench.now - rejected_at >= ms(900));
}

/// Where endpoints have limits of their own, the Retry-After of one must not hold back the others.
#[test]
fn with_limits_per_endpoint_a_retry_after_holds_back_only_its_endpoint() {
    let base = settings(vec![idempotent()]);
    let destination_kinds = vec![DestinationKind { max_batch_size: 1, has_per_endpoint_limits: true }];
    let mut bench =
        TestBench::new(Settings { destination_kinds, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, None);
    let first = bench.start_attempts()[0].endpoint;
    bench.finish(1, first, AttemptOutcome::Rejected(Some(ms(900))), ms(20));
    bench.accept(2, 0, 1, None);
    let other = bench.start_attempts();
    assert_eq!(other.len(), 1);
    assert_ne!(other[0].endpoint, first);
}

/// A destination that hangs with a full queue rejects calls although its limit has headroom. That is a failure, and
/// must lead to fewer calls than rejections by the rate limit do.
#[test]
fn rejections_with_headroom_left_count_as_failures() {
    let sends_with_headroom = |headroom: f64| {
        let mut bench = single_destination(idempotent());
        (0..200).for_each(|id| bench.accept(id, 0, 1, None));
        let mut sends = 0;
        let started_at = bench.now;
        while bench.now - started_at < Duration::from_secs(4) {
            for StartedAttempt { message: id, endpoint: to, .. } in bench.start_attempts() {
                sends += 1;
                bench.reject_with_report(id, to, headroom, 100.0);
            }
            bench.now = bench.now + ms(50);
        }
        sends
    };
    assert!(
        sends_with_headroom(0.9) < sends_with_headroom(0.0),
        "{} calls with headroom left, {} without",
        sends_with_headroom(0.9),
        sends_with_headroom(0.0)
    );
}

/// A gateway that stays within its even share of the listed limit must not be delayed.
#[test]
fn a_gateway_within_its_even_share_sends_at_once() {
    let mut bench = single_destination(idempotent());
    bench.restart(Settings { fleet_size: 400, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
    for id in 0..10 {
        bench.now = bench.now + Duration::from_secs(4);
        bench.accept(id, 0, 1, None);
        assert_eq!(bench.start_attempts().len(), 1);
        bench.now = bench.now + ms(30);
        bench.finish(id, 7, AttemptOutcome::Delivered, ms(30));
    }
}

/// Rejected calls use up the destination's limit as well: if each message is rejected only twice, that alone can keep
/// the limit used up. Where a call carries many messages, one call per latency objective is enough for all that wait.
#[test]
fn with_batches_rejections_slow_down_to_one_call_per_latency_objective() {
    let calls_while_rejected = |max_batch_size: usize, duration_secs: u64| {
        let base = settings(vec![idempotent()]);
        let destination_kinds = vec![DestinationKind { max_batch_size, has_per_endpoint_limits: false }];
        let listed = Endpoint { capacity_hint: 40_000.0, ..endpoint(7, 1) };
        let mut bench = TestBench::new(Settings { fleet_size: 400, destination_kinds, ..base }, vec![listed]);
        // The listed limit falls: the gateway's rate is then far above its share.
        bench
            .scheduler
            .handle(bench.now, Event::EndpointsUpdated(EndpointUpdate::Delta(vec![endpoint(7, 1)])));
        bench.now = bench.now + ms(100);
        bench.accept(1, 0, 1, None);
        let mut calls = 0;
        let started_at = bench.now;
        while bench.now - started_at < Duration::from_secs(duration_secs) {
            let sent = bench.start_attempts();
            calls += sent.len();
            for StartedAttempt { message: id, endpoint: to, .. } in sent {
                bench.finish(id, to, AttemptOutcome::Rejected(None), ms(20));
            }
            bench.now = bench.now + ms(20);
        }
        calls
    };
    assert!(calls_while_rejected(20, 12) < calls_while_rejected(1, 12));
    assert_eq!(calls_while_rejected(20, 3), 1);
}

/// When many gateways with low traffic are rejected at the same time, they must not all retry at the same moment.
#[test]
fn low_traffic_gateways_rejected_together_retry_at_different_times() {
    let backoff = |seed: u64| {
        let mut bench = single_destination(idempotent());
        bench.restart(Settings { fleet_size: 200, ..bench.settings.clone() }, seed, vec![endpoint(7, 1)]);
        bench.now = bench.now + Duration::from_secs(2);
        bench.accept(1, 0, 1, None);
        bench.start_attempts();
        bench.finish(1, 7, AttemptOutcome::Rejected(None), ms(20));
        let rejected_at = bench.now;
        assert!(matches!(
            bench.advance_until_action(Duration::from_secs(30))[..],
            [Action::StartAttempt { .. }]
        ));
        bench.now - rejected_at
    };
    let mut backoffs: Vec<Duration> = (0..40).map(backoff).collect();
    backoffs.sort_unstable();
    let latency_objective = idempotent().latency_objective;
    assert!(
        backoffs[39] - backoffs[0] > latency_objective,
        "all retry {:?} to {:?} after the rejection; the latency objective is {latency_objective:?}",
        backoffs[0],
        backoffs[39]
    );
}

/// A rejection for too many connections does not reflect the rate limit, so it must not reduce the rate. For a while
/// after it no connection may be kept idle, as each idle one keeps another gateway out.
#[test]
fn too_many_connections_keeps_the_rate_and_closes_idle_connections() {
    let mut bench = TestBench::new(settings(vec![idempotent()]), vec![endpoint(7, 1), endpoint(8, 2)]);
    let closes =
        |actions: &[Action], id| actions.contains(&Action::CloseIdleConnections { endpoint: EndpointId(id) });
    bench.accept(1, 0, 2, None);
    assert_eq!(bench.start_attempts().len(), 1);
    bench.finish(1, 8, AttemptOutcome::Delivered, ms(20));
    assert!(!closes(&bench.decide(), 8));
    for id in 2..12 {
        bench.now = bench.now + ms(100);
        bench.accept(id, 0, 1, None);
        assert_eq!(bench.start_attempts().len(), 1, "message {id} was not sent at once: the rate is reduced");
        bench.finish(id, 7, AttemptOutcome::TooManyConnections, ms(20));
        bench.handle(Event::MessageAbandoned(MessageId(id)));
    }
    bench.accept(20, 0, 2, None);
    assert_eq!(bench.start_attempts().len(), 1);
    bench.finish(20, 8, AttemptOutcome::Delivered, ms(20));
    assert!(closes(&bench.decide(), 8), "idle connections to another endpoint are kept");
    bench.now = bench.now + bench.settings.connection_idle_timeout * 4;
    bench.accept(21, 0, 2, None);
    assert_eq!(bench.start_attempts().len(), 1);
    bench.finish(21, 8, AttemptOutcome::Delivered, ms(20));
    assert!(!closes(&bench.decide(), 8), "idle connections are still closed four idle timeouts later");
}
