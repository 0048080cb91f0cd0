//! The scheduler's circuit breakers: failures, half-open probes, slow start, unresponsive calls and idle connections.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

/// Pending messages must not flood a destination that is down, or that has just recovered and is cold.
#[test]
fn a_failed_destination_gets_single_probes_and_a_slow_start() {
    let mut bench = single_destination(idempotent());
    (0..390).for_each(|id| bench.accept(id, 0, 1, None));
    for StartedAttempt { message: id, endpoint: to, .. } in bench.start_attempts() {
        bench.finish(id, to, AttemptOutcome::ConnectFailed, ms(10));
    }
    let started_at = bench.now;
    let mut probes = 0;
    while bench.now - started_at < Duration::from_secs(6) {
        let actions = bench.advance_until_action(Duration::from_secs(6));
        assert_eq!(actions.len(), 1, "not one probe alone: {actions:?}");
        let Action::StartAttempt { message, .. } = actions[0] else { panic!("{actions:?}") };
        probes += 1;
        bench.finish(message.0, 7, AttemptOutcome::ConnectFailed, ms(5));
    }
    assert!((3..20).contains(&probes), "{probes}");
    // The destination has recovered: the calls of the overload window stay within the budget of a cold destination.
    let mut sent = 0.0;
    let mut recovered_at = bench.now;
    let limits = bench.settings.limits.clone();
    while bench.now - recovered_at < limits.overload_window {
        bench.now = bench.now + ms(5);
        for StartedAttempt { message: id, endpoint: to, .. } in bench.start_attempts() {
            if sent == 0.0 {
                recovered_at = bench.now;
            }
            sent += 1.0;
            bench.finish(id, to, AttemptOutcome::Delivered, ms(5));
        }
    }
    let capacity = 100.0 * (limits.cold_capacity_ratio + (1.0 - limits.cold_capacity_ratio) * 0.2);
    assert!(
        sent > 0.0 && sent <= limits.overload_multiple * capacity * limits.overload_window.as_secs_f64(),
        "{sent}"
    );
}

/// A destination that stops responding must not get further calls until attempts time out: non-idempotent messages
/// would be lost with them.
#[test]
fn an_unresponsive_destination_gets_no_more_than_probes() {
    let mut bench = single_destination(non_idempotent());
    for id in 0..20 {
        bench.accept(id, 0, 1, None);
        bench.start_attempts();
        bench.now = bench.now + ms(200);
    }
    bench.now = bench.now + ms(1000);
    let mut sent_late = 0;
    for id in 20..60 {
        bench.accept(id, 0, 1, None);
        sent_late += bench.start_attempts().len();
        bench.now = bench.now + ms(100);
    }
    assert!(sent_late <= 6, "{sent_late} non-idempotent messages risked");
}

/// Calls to unresponsive destinations must not use up all slots.
#[test]
fn unresponsive_destinations_leave_slots_for_healthy_ones() {
    let endpoints = (1..=5).map(|number| endpoint(u32::from(number), number)).collect();
    let mut bench = TestBench::new(settings(vec![non_idempotent()]), endpoints);
    let mut healthy = 0;
    for id in 0..400 {
        bench.now = bench.now + ms(25);
        bench.accept(id, 0, 1 + (id % 5) as u16, None);
        for StartedAttempt { message, endpoint: to, .. } in bench.start_attempts() {
            // Only the fifth destination responds.
            if to == 5 {
                healthy += 1;
                bench.finish(message, to, AttemptOutcome::Delivered, ms(5));
            }
        }
    }
    assert!(healthy >= 70, "only {healthy} of 80 delivered at the healthy destination");
}

/// Attempt timeouts grow with the latency of a destination that slows down. Otherwise each retry would arrive while the
/// previous attempt is still running.
#[test]
fn attempt_timeouts_grow_after_timeouts() {
    let mut bench = single_destination(idempotent());
    bench.accept(1, 0, 1, None);
    let first = bench.start_attempts()[0].timeout;
    let mut last = first;
    for _ in 0..6 {
        bench.now = bench.now + last;
        bench.finish(1, 7, AttemptOutcome::Timeout, last);
        bench.accept(1000 + bench.now.0 as u32, 0, 1, None);
        match bench.advance_until_action(Duration::from_secs(5)).first() {
            Some(Action::StartAttempt { message, attempt_timeout, .. }) => {
                last = *attempt_timeout;
                if message.0 != 1 {
                    break;
                }
            }
            _ => break,
        }
    }
    assert!(last > first, "timeouts from {first:?} to {last:?}");
}

/// While a route loses many calls, though not all, a non-idempotent message would likely be lost with its only attempt.
/// It waits until losses stop or its deadline is near; messages that can be retried are sent meanwhile.
#[test]
fn a_non_idempotent_message_waits_while_its_route_loses_calls() {
    for recovers in [true, false] {
        let mut bench = TestBench::new(settings(vec![idempotent(), non_idempotent()]), vec![endpoint(7, 1)]);
        let deadline = bench.settings.classes[1].deadline;
        let mut accepted_at = None;
        let mut waited = None;
        let mut others = 0;
        for step in 0..400 {
            if step == 20 {
                bench.accept(1, 1, 1, None);
                accepted_at = Some(bench.now);
            }
            bench.accept(step + 2, 0, 1, None);
            for StartedAttempt { message: id, endpoint: to, .. } in bench.start_attempts() {
                if id == 1 {
                    waited = waited.or(accepted_at.map(|accepted_at| bench.now - accepted_at));
                    continue;
                }
                others += u32::from(waited.is_none());
                let fails = step % 2 == 0 && (step < 20 || !recovers);
                bench.finish(
                    id,
                    to,
                    if fails { AttemptOutcome::ErrorResponse } else { AttemptOutcome::Delivered },
                    ms(20),
                );
                bench.handle(Event::MessageAbandoned(MessageId(id)));
            }
            bench.now = bench.now + ms(100);
        }
        let waited = waited.expect("never sent");
        assert!(others > 25, "only {others} other messages were sent first");
        assert!(waited > ms(300) && waited < deadline, "{waited:?}");
        assert_eq!(waited < deadline / 2, recovers, "{waited:?}");
    }
}

/// Sends a message to each of `count` destinations in turn, each with a connection that was idle for this time. Calls
/// on idle connections end with this outcome, calls on new ones deliver. Returns how often idle connections were
/// closed before use.
fn connections_closed_after(outcome: AttemptOutcome, count: u32, idle: Duration) -> usize {
    let endpoints = (1..=count).map(|number| endpoint(number, number as u16)).collect();
    let mut bench = TestBench::new(settings(vec![idempotent()]), endpoints);
    let mut id = 0;
    let mut call = |bench: &mut TestBench, to: u32, outcome: AttemptOutcome| {
        id += 1;
        bench.accept(id, 0, to as u16, None);
        let actions = bench.decide();
        let closes = actions.iter().filter(|a| matches!(a, Action::CloseIdleConnections { .. })).count();
        bench.now = bench.now + ms(20);
        bench.finish(id, to, if closes > 0 { AttemptOutcome::Delivered } else { outcome }, ms(20));
        bench.handle(Event::MessageAbandoned(MessageId(id)));
        closes
    };
    (1..=count).for_each(|to| assert_eq!(call(&mut bench, to, AttemptOutcome::Delivered), 0));
    bench.now = bench.now + idle;
    (1..=count).map(|to| call(&mut bench, to, outcome)).sum()
}

/// A call on an idle connection that the other side has dropped without notice is lost. After some such losses idle
/// connections are closed before use.
#[test]
fn idle_connections_are_closed_before_reuse_once_calls_on_them_are_lost() {
    for idle in [Duration::from_secs(2), ms(20)] {
        assert_eq!(connections_closed_after(AttemptOutcome::Delivered, 12, idle), 0);
        assert!(connections_closed_after(AttemptOutcome::Reset, 12, idle) >= 6, "after {idle:?}");
    }
}

/// One lost response does not open the circuit: where some responses are lost, messages must not wait for probes.
#[test]
fn a_single_reset_opens_no_circuit_but_a_failed_connect_does() {
    let sends_next_message = |outcome: AttemptOutcome| {
        let mut bench = single_destination(idempotent());
        let listed = Endpoint { capacity_hint: 10_000.0, ..endpoint(7, 1) };
        bench.restart(Settings { fleet_size: 100, ..bench.settings.clone() }, 1, vec![listed]);
        bench.now = bench.now + ms(20);
        bench.accept(1, 0, 1, None);
        bench.start_attempts();
        bench.now = bench.now + ms(20);
        bench.finish(1, 7, outcome, ms(20));
        bench.accept(2, 0, 1, None);
        !bench.start_attempts().is_empty()
    };
    assert!(sends_next_message(AttemptOutcome::Reset));
    assert!(!sends_next_message(AttemptOutcome::ConnectFailed));
}

/// Unresponsive calls that use all slots would delay the messages of healthy destinations: the oldest is cancelled.
#[test]
fn with_all_slots_in_use_an_unresponsive_call_is_cancelled() {
    let base = settings(vec![idempotent()]);
    let mut bench =
        TestBench::new(Settings { max_in_flight_calls: 2, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    (0..2).for_each(|id| bench.accept(id, 0, 1 + id as u16, None));
    assert_eq!(bench.start_attempts().len(), 2);
    bench.accept(5, 0, 2, None);
    let actions = bench.advance_until_action(Duration::from_secs(3));
    assert_eq!(actions, [Action::CancelAttempt { message: MessageId(0), attempt: 0 }]);
}

/// Gateways with low traffic that all failed to connect must not probe together every few seconds: their probes add up.
#[test]
fn low_traffic_gateways_probe_a_failed_destination_rarely() {
    let mut probes = 0;
    for seed in 0..100 {
        let mut bench = single_destination(idempotent());
        bench.restart(Settings { fleet_size: 400, ..bench.settings.clone() }, seed, vec![endpoint(7, 1)]);
        bench.now = bench.now + Duration::from_secs(4);
        bench.accept(1, 0, 1, None);
        bench.start_attempts();
        bench.finish(1, 7, AttemptOutcome::ConnectFailed, ms(20));
        let started_at = bench.now;
        while bench.now - started_at < Duration::from_secs(12) {
            for action in bench.advance_until_action(Duration::from_secs(1)) {
                if let Action::StartAttempt { message, .. } = action {
                    probes += 1;
                    bench.finish(message.0, 7, AttemptOutcome::ConnectFailed, ms(20));
                }
            }
        }
    }
    assert!((1..=160).contains(&probes), "{probes} probes by 100 gateways in 12 s");
}

/// An endpoint whose responses cannot be parsed is up: unlike lost calls, a few such responses do not open the circuit.
#[test]
fn malformed_responses_open_no_circuit() {
    let open_circuits_after = |outcome| {
        let mut bench = single_destination(idempotent());
        for id in 1..=4 {
            bench.accept(id, 0, 1, None);
            for StartedAttempt { message, endpoint, .. } in bench.start_attempts() {
                bench.finish(message, endpoint, outcome, ms(50));
                bench.handle(Event::MessageAbandoned(MessageId(message)));
            }
            bench.now = bench.now + ms(100);
        }
        bench.scheduler.circuit_records().filter(|record| record.has_lost_calls.is_some()).count()
    };
    assert_eq!(open_circuits_after(AttemptOutcome::MalformedResponse), 0);
    assert_eq!(open_circuits_after(AttemptOutcome::Reset), 1);
}

/// A gateway with low traffic has no later event at which it could notice the missing response: its timer has to fire
/// when the call becomes unresponsive.
#[test]
fn a_missing_response_opens_the_circuit_when_it_is_due() {
    let mut bench = single_destination(idempotent());
    bench.accept(1, 0, 1, None);
    let timer = |action: &Action| match action {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    };
    // Fires each timer until one is due after the latency objective: the next would be that of the deadline.
    let started_at = bench.now;
    while let Some((after, token)) = bench.decide().iter().find_map(timer) {
        if bench.now + after - started_at > bench.settings.classes[0].latency_objective {
            break;
        }
        bench.now = bench.now + after;
        bench.handle(Event::TimerFired(token));
    }
    assert!(bench.scheduler.longest_queue(bench.now).unwrap().2[0].circuit_open);
}

/// The rate grows during a slow start. A gateway without events has to check again while its message still has time;
/// with the rate of its first check it would wait past the deadline.
#[test]
fn a_slow_start_progresses_while_nothing_happens() {
    let settings = Settings { fleet_size: 300, ..settings(vec![idempotent()]) };
    let mut bench = TestBench::new(settings, vec![Endpoint { capacity_hint: 40.0, ..endpoint(11, 3) }]);
    let started_at = bench.now;
    bench.handle(Event::CircuitRestored(CircuitRecord {
        destination: DestinationId(3),
        endpoint: None,
        last_success_at: started_at,
        failure_score: 0,
        has_lost_calls: None,
        slow_start_since: Some(started_at),
        baseline_per_sec: 0.0,
    }));
    bench.accept(1, 0, 3, None);
    loop {
        let mut timer = None;
        for action in bench.decide() {
            match action {
                Action::StartAttempt { .. } => return,
                Action::SetTimer { after, token } => timer = Some((after, token)),
                other => panic!("{other:?} after {:?}", bench.now - started_at),
            }
        }
        let (after, token) = timer.expect("neither an attempt nor a timer");
        bench.now = bench.now + after;
        bench.handle(Event::TimerFired(token));
    }
}
