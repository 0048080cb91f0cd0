//! The scheduler's choice of messages, routes and endpoints for free slots, and of messages to shed.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

/// Load shedding must not give up messages of high value while others are pending.
#[test]
fn when_nearly_full_the_least_valuable_messages_are_rejected() {
    let high_value = Class { priority_weight: 5.0, ..idempotent() };
    let base = settings(vec![idempotent(), high_value]);
    let mut bench = TestBench::new(Settings { max_pending_messages: 20, ..base }, vec![]);
    (0..10).for_each(|id| bench.accept(id, 0, 1, None));
    (10..20).for_each(|id| bench.accept(id, 1, 1, None));
    let shed = bench.advance_until_action(ms(5));
    assert!(!shed.is_empty());
    assert!(shed.iter().all(|a| matches!(a, Action::Reject { message, .. } if message.0 < 10)), "{shed:?}");
}

/// A destination with many messages must not take all slots before others get one.
#[test]
fn a_free_slot_goes_to_the_destination_with_fewest_calls_in_flight() {
    let base = settings(vec![idempotent()]);
    let mut bench = TestBench::new(
        Settings { max_in_flight_calls: 4, ..base },
        vec![endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)],
    );
    (0..4).for_each(|id| bench.accept(id, 0, 1, None));
    (4..8).for_each(|id| bench.accept(id, 0, 2, None));
    (8..12).for_each(|id| bench.accept(id, 0, 3, None));
    let mut first: Vec<u32> = bench.start_attempts().iter().take(3).map(|attempt| attempt.endpoint).collect();
    first.sort_unstable();
    assert_eq!(first, [1, 2, 3]);
}

/// Only as many messages share a call as the kind of the destination allows.
#[test]
fn one_call_carries_a_batch_where_the_kind_allows_it() {
    let base = settings(vec![idempotent()]);
    let destination_kinds = vec![DestinationKind { max_batch_size: 5, has_per_endpoint_limits: false }];
    let mut bench =
        TestBench::new(Settings { max_in_flight_calls: 1, destination_kinds, ..base }, vec![endpoint(7, 1)]);
    (0..8).for_each(|id| bench.accept(id, 0, 1, None));
    assert_eq!(bench.start_attempts().len(), 5);
}

/// A client whose message is not admitted has not waited in vain, while the client of an accepted message has. So an
/// accepted message is shed for a new one only if the new one has much more value.
#[test]
fn when_nearly_full_a_message_of_no_higher_value_is_not_admitted() {
    let high_value = Class { priority_weight: 5.0, ..idempotent() };
    let base = settings(vec![idempotent(), high_value]);
    let mut bench = TestBench::new(Settings { max_pending_messages: 20, ..base }, vec![]);
    let classes = bench.settings.classes.clone();
    let admits = |bench: &mut TestBench, class: u8| {
        let new = accepted(bench.now, 99, (ClassId(class), &classes[usize::from(class)]), 1, None);
        bench.scheduler.admits(bench.now, &new)
    };
    for id in 0..18 {
        assert!(admits(&mut bench, 0), "message {id} is not admitted");
        bench.accept(id, 0, 1, None);
    }
    assert!(bench.advance_until_action(ms(5)).is_empty());
    assert!(!admits(&mut bench, 0));
    assert!(admits(&mut bench, 1));
    // The accepted messages are late: they have less value than a new one, and shedding them has no cost any more.
    bench.now = bench.now + classes[0].deadline.mul_f64(0.8);
    assert!(admits(&mut bench, 0));
}

/// A tenant beyond its quota must not push out messages of tenants within theirs.
#[test]
fn messages_beyond_a_tenants_quota_are_shed_first() {
    let base = settings(vec![idempotent()]);
    let tenants = vec![Tenant { quota_per_sec: 5.0 }, Tenant { quota_per_sec: 1000.0 }];
    let mut bench = TestBench::new(
        Settings { max_pending_messages: 40, tenants, over_quota_value_ratio: 0.1, ..base },
        vec![],
    );
    let deadline = bench.now + bench.settings.classes[0].deadline;
    for id in 0..40 {
        let tenant = TenantId(u32::from(id >= 20));
        let (class, destination) = (ClassId(0), DestinationId(1));
        let id = MessageId(id);
        let is_redelivered = false;
        let message = AcceptedMessage { id, class, destination, key: None, deadline, is_redelivered, tenant };
        bench.handle(Event::MessageAccepted(message));
    }
    let shed = bench.advance_until_action(ms(5));
    assert!(!shed.is_empty());
    assert!(
        shed.iter().all(|a| matches!(a, Action::Reject { message, .. } if (6..20).contains(&message.0))),
        "{shed:?}"
    );
}

/// With halving decay a late message at its least value loses nothing more by waiting, so that one still on time is
/// sent first. With linear decay the late message keeps losing value, and is sent first.
#[test]
fn the_cost_of_waiting_follows_the_configured_decay() {
    for (decay, first) in [(Decay::Linear, 1), (Decay::Halving, 2)] {
        let latency_objective = Duration::from_secs(3);
        let class = Class {
            latency_objective,
            deadline: latency_objective * 4,
            late_value_ratio: 0.5,
            ..idempotent()
        };
        let mut bench = TestBench::new(Settings { decay, ..settings(vec![class]) }, vec![]);
        bench.accept(1, 0, 1, None);
        bench.now = bench.now + latency_objective * 5 / 2;
        bench.accept(2, 0, 1, None);
        bench.now = bench.now + latency_objective / 15;
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![endpoint(7, 1)])));
        assert_eq!(bench.start_attempts()[0].message, first, "{decay:?}");
    }
}

/// The cheapest route is used, and waited for while it can still send all pending messages on time. A burst that
/// exceeds its rate uses the expensive route as well, as messages would be late otherwise.
#[test]
fn the_cheapest_route_is_preferred_while_it_serves_in_time() {
    let base = settings(vec![idempotent()]);
    let destination_kinds = vec![DestinationKind { max_batch_size: 1, has_per_endpoint_limits: true }];
    let expensive = Endpoint { zone: ZoneId(2), capacity_hint: 5.0, ..endpoint(7, 1) };
    let cheap = Endpoint { zone: ZoneId(1), capacity_hint: 5.0, ..endpoint(8, 1) };
    let zone_costs = vec![0.0, 0.03, 0.06];
    let mut bench =
        TestBench::new(Settings { destination_kinds, zone_costs, ..base }, vec![expensive, cheap]);
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.start_attempts()[0].endpoint, 8);
    bench.finish(1, 8, AttemptOutcome::Delivered, ms(20));
    bench.accept(2, 0, 1, None);
    let next = bench.advance_until_action(ms(700));
    assert!(matches!(next[..], [Action::StartAttempt { endpoint: EndpointId(8), .. }]), "{next:?}");
    bench.finish(2, 8, AttemptOutcome::Delivered, ms(20));
    (3..40).for_each(|id| bench.accept(id, 0, 1, None));
    assert!(bench.start_attempts().iter().any(|attempt| attempt.endpoint == 7));
}

/// Each gateway has few calls in flight, so that endpoints are often tied. Ties broken by id would send the calls of
/// all gateways to the same endpoint of a destination.
#[test]
fn gateways_prefer_different_endpoints_of_a_destination() {
    let chosen: std::collections::BTreeSet<u32> = (0..30)
        .map(|seed| {
            let mut bench = TestBench::new(settings(vec![idempotent()]), vec![]);
            bench.scheduler = Scheduler::new(bench.settings.clone(), seed);
            bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![
                endpoint(7, 1),
                endpoint(8, 1),
                endpoint(9, 1),
            ])));
            bench.accept(1, 0, 1, None);
            bench.start_attempts()[0].endpoint
        })
        .collect();
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// A free slot goes to the message of higher value, not to the first destination of the list.
#[test]
fn ties_between_destinations_go_by_value() {
    let high_value = Class { priority_weight: 5.0, ..idempotent() };
    let base = settings(vec![idempotent(), high_value]);
    let mut bench =
        TestBench::new(Settings { max_in_flight_calls: 1, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    bench.accept(1, 0, 1, None);
    bench.accept(2, 1, 2, None);
    assert_eq!(bench.start_attempts()[0].message, 2);
}
