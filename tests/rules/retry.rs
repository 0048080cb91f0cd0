//! The scheduler's retries: which messages are sent again, when, where and how often.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

/// Outcomes of attempts that may have run.
const MAY_HAVE_RUN: [AttemptOutcome; 5] = [
    AttemptOutcome::ErrorResponse,
    AttemptOutcome::Timeout,
    AttemptOutcome::Reset,
    AttemptOutcome::MalformedResponse,
    AttemptOutcome::Cancelled,
];

/// Outcomes of attempts that certainly had no effect.
const DID_NOT_RUN: [AttemptOutcome; 4] = [
    AttemptOutcome::Rejected(None),
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::NotSent,
    AttemptOutcome::LocalFailure,
];

/// Returns a bench in which message 1 was sent to endpoint 7, and its attempt ended with this outcome.
fn after_one_attempt(class: Class, outcome: AttemptOutcome) -> TestBench {
    let mut bench = single_destination(class);
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.start_attempts().len(), 1);
    bench.now = bench.now + ms(50);
    bench.finish(1, 7, outcome, ms(50));
    bench
}

/// A message that cannot be sent at all still gets its final outcome in time, and only one.
#[test]
fn a_message_without_any_endpoint_is_rejected_by_its_deadline() {
    let mut bench = TestBench::new(settings(vec![idempotent_with_key()]), vec![]);
    bench.accept(1, 0, 1, None);
    let deadline = bench.now + bench.settings.classes[0].deadline;
    let actions = bench.advance_until_action(Duration::from_secs(30));
    assert!(matches!(actions[..], [Action::Reject { message: MessageId(1), .. }]));
    assert!(bench.now <= deadline + bench.settings.limits.final_outcome_grace);
    assert!(bench.advance_until_action(Duration::from_secs(30)).is_empty());
}

/// A retry could process a non-idempotent message twice.
#[test]
fn a_non_idempotent_message_that_may_have_run_is_never_retried_and_fails() {
    for outcome in MAY_HAVE_RUN {
        let mut bench = after_one_attempt(non_idempotent(), outcome);
        let actions = bench.advance_until_action(Duration::from_secs(30));
        assert_eq!(actions, [Action::ReportFailure { message: MessageId(1) }], "{outcome:?}");
    }
}

/// An attempt that certainly had no effect must not cost a non-idempotent message its delivery.
#[test]
fn a_non_idempotent_message_that_did_not_run_is_retried() {
    for outcome in DID_NOT_RUN {
        let mut bench = after_one_attempt(non_idempotent(), outcome);
        let next = bench.advance_until_action(Duration::from_secs(15));
        assert!(matches!(next[0], Action::StartAttempt { message: MessageId(1), .. }), "{outcome:?}");
    }
}

/// A message retried after its idempotency window could be processed twice, as the destination keeps the key no longer.
#[test]
fn a_message_with_a_key_is_retried_inside_its_idempotency_window_only() {
    let mut bench = single_destination(idempotent_with_key());
    bench.accept(1, 0, 1, None);
    let sent_at = bench.now;
    assert_eq!(bench.start_attempts().len(), 1);
    let mut retries = 0;
    loop {
        bench.now = bench.now + ms(30);
        bench.finish(1, 7, AttemptOutcome::ErrorResponse, ms(30));
        match bench.advance_until_action(Duration::from_secs(30)).first() {
            Some(Action::StartAttempt { .. }) => {
                assert!(bench.now < sent_at + bench.settings.classes[0].idempotency_window);
                retries += 1;
            }
            Some(Action::ReportFailure { .. }) => break,
            other => panic!("{other:?}"),
        }
    }
    assert!(retries > 0);
    assert!(retries < bench.settings.max_attempts);
}

/// When connecting takes long, a message must not be sent too late. So each attempt has a time limit for sending: the
/// deadline of its message and, for a retry, the end of its idempotency window.
#[test]
fn an_attempt_has_a_time_limit_for_sending_its_message() {
    let time_to_send = |actions: &[Action]| match actions {
        [Action::StartAttempt { send_within, .. }, ..] => *send_within,
        other => panic!("{other:?}"),
    };
    let mut bench = single_destination(idempotent_with_key());
    bench.accept(1, 0, 1, None);
    let sent_at = bench.now;
    assert_eq!(time_to_send(&bench.decide()), bench.settings.classes[0].deadline);
    bench.now = bench.now + ms(50);
    bench.finish(1, 7, AttemptOutcome::Reset, ms(50));
    let retry = bench.advance_until_action(Duration::from_secs(10));
    let latest = bench.now + time_to_send(&retry);
    let window = bench.settings.classes[0].idempotency_window;
    assert!(
        latest < sent_at + window && latest > sent_at + window / 2,
        "{:?} after the first attempt",
        latest - sent_at
    );
}

/// Keys are deduplicated within a zone here: another zone would process the message a second time.
#[test]
fn a_message_with_a_key_stays_in_its_deduplication_zone() {
    let mut other = endpoint(8, 1);
    other.zone = ZoneId(1);
    let class = Class { deduplication_scope: DeduplicationScope::Zone, ..idempotent_with_key() };
    let mut bench = TestBench::new(settings(vec![class]), vec![endpoint(7, 1), other.clone()]);
    bench.accept(1, 0, 1, None);
    let first = bench.start_attempts()[0].endpoint;
    bench.now = bench.now + ms(50);
    bench.finish(1, first, AttemptOutcome::Reset, ms(50));
    let zone = if first == 7 { ZoneId(0) } else { ZoneId(1) };
    let drained = Endpoint { availability: Availability::Draining, zone, ..endpoint(first, 1) };
    bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![drained])));
    let actions = bench.advance_until_action(Duration::from_secs(30));
    assert_eq!(actions, [Action::ReportFailure { message: MessageId(1) }]);
}

/// Returns a bench with two endpoints in two zones, and one call at a time that may carry several messages. Message 1
/// may have run at the endpoint that is returned.
fn may_have_run_in_one_zone(has_per_endpoint_limits: bool) -> (TestBench, u32) {
    let base =
        settings(vec![Class { deduplication_scope: DeduplicationScope::Zone, ..idempotent_with_key() }]);
    let destination_kinds = vec![DestinationKind { max_batch_size: 5, has_per_endpoint_limits }];
    let other = Endpoint { zone: ZoneId(1), ..endpoint(8, 1) };
    let mut bench = TestBench::new(
        Settings { max_in_flight_calls: 1, destination_kinds, ..base },
        vec![endpoint(7, 1), other],
    );
    bench.accept(1, 0, 1, None);
    let first = bench.start_attempts()[0].endpoint;
    bench.now = bench.now + ms(50);
    bench.finish(1, first, AttemptOutcome::Reset, ms(50));
    (bench, first)
}

/// A call goes to the endpoint that was chosen for its first message. A retry that must not go there must not share it.
#[test]
fn a_retry_shares_no_call_to_another_zone() {
    for has_per_endpoint_limits in [false, true] {
        let (mut bench, first) = may_have_run_in_one_zone(has_per_endpoint_limits);
        let mut calls = [0, 0];
        for round in 0..40 {
            bench.now = bench.now + ms(100);
            bench.accept(100 + round, 0, 1, None);
            for StartedAttempt { message, endpoint: to, .. } in bench.start_attempts() {
                calls[usize::from(to == first)] += 1;
                if message == 1 {
                    assert_eq!(to, first, "with limits per endpoint: {has_per_endpoint_limits}");
                }
                // An endpoint that rejects is not preferred, so that both get calls.
                bench.finish(message, to, AttemptOutcome::Rejected(None), ms(5));
            }
        }
        assert!(calls[0] > 0 && calls[1] > 0, "{calls:?}");
    }
}

/// A retry whose zone has no ready endpoint must not block other messages of its destination, which may go to another
/// zone.
#[test]
fn a_retry_that_waits_for_its_zone_blocks_no_other_message() {
    for has_per_endpoint_limits in [false, true] {
        let (mut bench, first) = may_have_run_in_one_zone(has_per_endpoint_limits);
        let zone = if first == 7 { ZoneId(0) } else { ZoneId(1) };
        let drained = Endpoint { availability: Availability::Draining, zone, ..endpoint(first, 1) };
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![drained])));
        // The retry has more value than the new message, and so is considered first.
        bench.now = bench.now + Duration::from_secs(2);
        bench.accept(2, 0, 1, None);
        assert!(matches!(bench.advance_until_action(Duration::from_secs(2)).as_slice(),
            [Action::StartAttempt { message: MessageId(2), endpoint, .. }] if endpoint.0 != first));
    }
}

/// Without growth and jitter, retries of many gateways would keep a failing destination overloaded.
#[test]
fn backoff_grows_and_has_jitter() {
    let mean_backoff = |failures: u32| {
        let backoffs_ms: Vec<u64> = (0..40)
            .map(|seed| {
                let mut bench = single_destination(idempotent());
                bench.scheduler = Scheduler::new(bench.settings.clone(), seed);
                bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![endpoint(7, 1)])));
                bench.accept(1, 0, 1, None);
                bench.start_attempts();
                for attempt in 0..failures {
                    bench.finish(1, 7, AttemptOutcome::ErrorResponse, ms(10));
                    let failed_at = bench.now;
                    assert!(!bench.advance_until_action(Duration::from_secs(10)).is_empty());
                    if attempt + 1 == failures {
                        return (bench.now - failed_at).as_millis() as u64;
                    }
                }
                0
            })
            .collect();
        assert!(backoffs_ms.iter().min() < backoffs_ms.iter().max());
        backoffs_ms.iter().sum::<u64>() / 40
    };
    assert!(mean_backoff(3) > mean_backoff(1));
}

/// Another gateway may have sent a redelivered message at any time since it was enqueued.
#[test]
fn a_redelivered_message_counts_its_window_from_when_it_was_enqueued() {
    let mut bench = single_destination(idempotent_with_key());
    let class = bench.settings.classes[0].clone();
    bench.handle(Event::MessageAccepted(AcceptedMessage {
        id: MessageId(1),
        class: ClassId(0),
        destination: DestinationId(1),
        key: None,
        deadline: bench.now + (class.deadline - class.idempotency_window),
        is_redelivered: true,
        tenant: TenantId(0),
    }));
    let actions = bench.advance_until_action(Duration::from_secs(30));
    assert_eq!(actions, [Action::ReportFailure { message: MessageId(1) }]);
}

/// A call that may still be running must not be overtaken by the next message of its ordering key.
#[test]
fn ordering_keys_are_served_in_turn_and_held_back_after_an_uncertain_attempt() {
    let class = Class { is_ordered: true, ..non_idempotent() };
    let base = settings(vec![class]);
    let limits = DeliveryLimits { ordering_key_hold: ms(300), ..base.limits.clone() };
    let mut bench = TestBench::new(Settings { limits, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, Some(5));
    bench.accept(2, 0, 1, Some(5));
    let sent = bench.start_attempts();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].message, 1);
    // The client abandons the message while its attempt is in flight: the key stays in use until the attempt has its
    // outcome, and is held after that.
    bench.handle(Event::MessageAbandoned(MessageId(1)));
    assert!(bench.advance_until_action(ms(100)).is_empty());
    bench.finish(1, sent[0].endpoint, AttemptOutcome::Reset, ms(100));
    let finished_at = bench.now;
    let next = bench.advance_until_action(Duration::from_secs(10));
    assert!(matches!(next[0], Action::StartAttempt { message: MessageId(2), .. }));
    assert!(bench.now - finished_at >= ms(300));
}

/// A message that can never be sent again must not block the messages behind it in the order of its key.
#[test]
fn a_message_that_cannot_be_retried_fails_at_once_and_frees_its_key() {
    let classes = [non_idempotent(), idempotent_with_key()].map(|class| Class { is_ordered: true, ..class });
    let mut bench = TestBench::new(settings(classes.to_vec()), vec![endpoint(7, 1)]);
    bench.accept(1, 0, 1, Some(5));
    // The message behind it can be retried: a non-idempotent one would wait after a loss.
    bench.accept(2, 1, 1, Some(5));
    assert_eq!(bench.start_attempts().len(), 1);
    bench.now = bench.now + ms(50);
    bench.finish(1, 7, AttemptOutcome::Reset, ms(50));
    let mut actions = bench.decide();
    actions.extend(bench.advance_until_action(ms(500)));
    assert!(actions.contains(&Action::ReportFailure { message: MessageId(1) }), "{actions:?}");
    assert!(
        actions.iter().any(|a| matches!(a, Action::StartAttempt { message: MessageId(2), .. })),
        "{actions:?}"
    );
}

/// A message without attempts left would only use up capacity until its deadline.
#[test]
fn a_message_whose_attempts_are_exhausted_is_rejected_at_once() {
    let mut bench = single_destination(non_idempotent());
    bench.restart(Settings { max_attempts: 1, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
    bench.accept(1, 0, 1, None);
    bench.start_attempts();
    bench.finish(1, 7, AttemptOutcome::Rejected(None), ms(20));
    let is_rejection = |action: &Action| matches!(action, Action::Reject { message: MessageId(1), .. });
    assert!(bench.decide().iter().any(is_rejection));
}
