//! The scheduler's handling of restarts, of final outcomes that need an acknowledgement, of shutdowns, and of exhausted
//! attempts.

mod common;

use common::*;
use delivery_gateway::*;
use std::time::Duration;

/// Creates a scheduler with one endpoint of destination 3 and a hold of 100 ms for ordering keys after a restart. If
/// `outcomes_need_acknowledgement`, a message keeps its ordering key until its final outcome is acknowledged.
fn bench(classes: Vec<Class>, outcomes_need_acknowledgement: bool) -> TestBench {
    let settings = Settings { outcomes_need_acknowledgement, ..settings(classes) };
    let limits = DeliveryLimits { ordering_key_hold: ms(100), ..settings.limits.clone() };
    TestBench::new(Settings { limits, ..settings }, vec![endpoint(11, 3)])
}

/// Returns a message of class 0 without a final outcome, as it is restored from the journal after a restart. `attempts`
/// is the number of attempts before the restart, and `first_uncertain_attempt` is the time at which the first of them
/// that may have been processed was sent, or None if none may have been.
fn restored(
    bench: &TestBench,
    id: u32,
    key: Option<u64>,
    attempts: u32,
    first_uncertain_attempt: Option<Time>,
) -> RestoredMessage {
    let class = (ClassId(0), &bench.settings.classes[0]);
    let message = accepted(bench.now, id, class, 3, key);
    RestoredMessage {
        message,
        attempts,
        first_uncertain_attempt: first_uncertain_attempt
            .map(|at| SentAttempt { sent_at: at, zone: ZoneId(0) }),
        has_final_outcome: false,
    }
}

fn ordered() -> Class {
    Class { is_ordered: true, ..idempotent_with_key() }
}

#[test]
fn a_non_idempotent_message_that_may_have_been_processed_fails_at_once() {
    let mut bench = bench(vec![non_idempotent()], true);
    let message = restored(&bench, 1, None, 1, Some(bench.now - ms(700)));
    bench.handle(Event::MessageRestored(message));
    let actions = bench.decide();
    assert!(matches!(actions[0], Action::ReportFailure { message: MessageId(1) }), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::StartAttempt { .. })));
}

#[test]
fn a_non_idempotent_message_that_was_not_processed_is_sent() {
    let mut bench = bench(vec![non_idempotent()], true);
    let message = restored(&bench, 1, None, 2, None);
    bench.handle(Event::MessageRestored(message));
    assert_eq!(bench.start_attempts().len(), 1);
}

/// The idempotency window begins with the first attempt, which the previous process made. If it began with the restart,
/// a message could be sent again after its window.
#[test]
fn an_idempotency_window_continues_from_the_first_attempt() {
    let mut bench = bench(vec![idempotent_with_key()], true);
    let inside_window = bench.now - Duration::from_secs(5);
    let outside_window = bench.now - Duration::from_secs(10);
    let retriable = restored(&bench, 1, None, 1, Some(inside_window));
    let expired = restored(&bench, 2, None, 1, Some(outside_window));
    bench.handle(Event::MessageRestored(retriable));
    bench.handle(Event::MessageRestored(expired));
    let actions = bench.decide();
    let is_sent =
        |id| actions.iter().any(|a| matches!(a, Action::StartAttempt { message, .. } if message.0 == id));
    assert!(is_sent(1) && !is_sent(2), "{actions:?}");
    assert!(actions.contains(&Action::ReportFailure { message: MessageId(2) }));
}

#[test]
fn attempts_made_before_a_restart_count() {
    let mut bench = bench(vec![idempotent_with_key()], true);
    let message = restored(&bench, 1, None, bench.settings.max_attempts, None);
    bench.handle(Event::MessageRestored(message));
    let actions = bench.decide();
    assert!(matches!(actions[0], Action::Reject { message: MessageId(1), .. }), "{actions:?}");
}

/// When the previous process was killed, a call may have been in flight for any ordering key, and its endpoint may
/// still be processing it. All keys are held back, also those of new messages, so that no two calls of a key run at
/// once.
#[test]
fn ordering_keys_are_held_back_after_a_restart_and_continue_in_order() {
    let mut bench = bench(vec![ordered()], true);
    for id in [1, 2] {
        let message = restored(&bench, id, Some(5), 0, None);
        bench.handle(Event::MessageRestored(message));
    }
    bench.accept(3, 0, 3, Some(6));
    assert_eq!(bench.start_attempts(), []);
    bench.now = bench.now + ms(100);
    let sent: Vec<u32> = bench.start_attempts().iter().map(|attempt| attempt.message).collect();
    assert!(sent.contains(&1) && sent.contains(&3) && !sent.contains(&2), "{sent:?}");
}

/// A final outcome that is not acknowledged blocks the ordering key of its message, also after a restart.
#[test]
fn an_ordering_key_is_free_once_the_outcome_is_acknowledged() {
    let mut bench = bench(vec![ordered()], true);
    let completed = RestoredMessage {
        has_final_outcome: true,
        ..restored(&bench, 1, Some(5), 1, Some(bench.now - ms(900)))
    };
    bench.handle(Event::MessageRestored(completed));
    bench.accept(2, 0, 3, Some(5));
    bench.now = bench.now + Duration::from_secs(1);
    assert_eq!(bench.start_attempts(), []);
    bench.handle(Event::OutcomeAcknowledged(MessageId(1)));
    assert_eq!(bench.start_attempts().len(), 1);
}

/// Without its restored record, an open circuit would be closed after a restart, and all messages would be sent at
/// once.
#[test]
fn an_open_circuit_stays_open_after_a_restart() {
    let mut bench = bench(vec![idempotent()], true);
    (1..=3).for_each(|id| bench.accept(id, 0, 3, None));
    for StartedAttempt { message, endpoint, .. } in bench.start_attempts() {
        bench.finish(message, endpoint, AttemptOutcome::ConnectFailed, ms(1));
    }
    let circuit_records: Vec<CircuitRecord> = bench.scheduler.circuit_records().collect();
    assert_eq!(circuit_records.len(), 1);
    let settings = bench.settings.clone();
    bench.restart(settings, 2, vec![endpoint(11, 3)]);
    assert_eq!(bench.scheduler.circuit_records().count(), 0);
    circuit_records.iter().for_each(|record| bench.handle(Event::CircuitRestored(*record)));
    (11..=20).for_each(|id| bench.accept(id, 0, 3, None));
    assert!(bench.start_attempts().len() <= 1);
    assert_eq!(
        bench.scheduler.circuit_records().next().map(|record| record.last_success_at),
        Some(circuit_records[0].last_success_at)
    );
}

/// A call that is started shortly before the shutdown would be cut off by it, with an unknown outcome.
#[test]
fn no_call_is_started_shortly_before_a_shutdown() {
    let mut bench = bench(vec![idempotent_with_key()], true);
    bench.handle(Event::ShutdownScheduled(bench.now + Duration::from_secs(3)));
    bench.accept(1, 0, 3, None);
    assert_eq!(bench.start_attempts().len(), 1);
    bench.now = bench.now + ms(2900);
    bench.accept(2, 0, 3, None);
    assert_eq!(bench.start_attempts(), []);
}

/// A message whose endpoint reports exhausted attempts gets its final outcome at once. It is rejected, since its only
/// attempt was not processed.
#[test]
fn a_message_with_exhausted_attempts_gets_its_outcome_at_once() {
    let mut bench = bench(vec![non_idempotent()], true);
    bench.accept(1, 0, 3, None);
    let StartedAttempt { message, endpoint, .. } = bench.start_attempts()[0];
    bench.finish(message, endpoint, AttemptOutcome::AttemptsExhausted, ms(1));
    let actions = bench.decide();
    let retry_after = actions.iter().find_map(|action| match action {
        Action::Reject { message: MessageId(1), retry_after } => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|delay| delay > Duration::ZERO), "{actions:?}");
}
