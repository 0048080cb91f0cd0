//! Messages that were accepted but never attempted before a restart.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

const DESTINATIONS: u16 = 40;
/// One of this many destinations has an open circuit.
const OPEN_CIRCUIT_EVERY: usize = 4;
/// Number of classes, one of each kind of idempotency.
const CLASSES: u32 = 3;
/// How long a call takes.
const LATENCY: Duration = Duration::from_millis(40);

/// Outcomes of the restored messages until their deadline.
struct Outcomes {
    /// Number of messages that were attempted.
    attempted: usize,
    /// Number of messages that were given up without an attempt, by class.
    given_up: [u32; CLASSES as usize],
}

/// Restores an open circuit for one of [`OPEN_CIRCUIT_EVERY`] destinations.
fn restore_circuits(bench: &mut TestBench) {
    for destination in (1..=u32::from(DESTINATIONS)).step_by(OPEN_CIRCUIT_EVERY) {
        bench.handle(Event::CircuitRestored(CircuitRecord {
            destination: DestinationId(destination),
            endpoint: None,
            last_success_at: bench.now - Duration::from_secs(5),
            failure_score: 6,
            has_lost_calls: Some(true),
            slow_start_since: None,
            baseline_per_sec: 0.3,
        }));
    }
}

/// Restores messages that were never attempted, of all classes and destinations in turn.
fn restore_messages(bench: &mut TestBench, count: u32, time_left: Duration) {
    let classes = bench.settings.classes.clone();
    for id in 0..count {
        let class_id = ClassId((id % CLASSES) as u8);
        let class = &classes[usize::from(class_id.0)];
        let destination = (id % u32::from(DESTINATIONS) + 1) as u16;
        let message = AcceptedMessage {
            deadline: bench.now + time_left,
            ..accepted(bench.now, id, (class_id, class), destination, None)
        };
        bench.handle(Event::MessageRestored(RestoredMessage {
            message,
            attempts: 0,
            first_uncertain_attempt: None,
            has_final_outcome: false,
        }));
    }
}

/// Delivers every attempt until the messages' deadline.
fn run_until(bench: &mut TestBench, deadline: Time, messages: u32) -> Outcomes {
    let mut attempted = vec![false; messages as usize];
    let mut given_up = [0; CLASSES as usize];
    while bench.now < deadline {
        for action in bench.decide() {
            match action {
                Action::StartAttempt { message, endpoint, .. } => {
                    attempted[message.0 as usize] = true;
                    bench.finish(message.0, endpoint.0, AttemptOutcome::Delivered, LATENCY);
                }
                Action::Reject { message, .. } | Action::ReportFailure { message }
                    if !attempted[message.0 as usize] =>
                {
                    given_up[(message.0 % CLASSES) as usize] += 1;
                }
                _ => {}
            }
        }
        bench.now = bench.now + ms(5);
    }
    Outcomes { attempted: attempted.into_iter().filter(|attempted| *attempted).count(), given_up }
}

/// Load shedding or open circuits must not give up restored messages that still have half of their time. The test has
/// messages of each class, as many as may be pending, and open circuits at a quarter of the destinations.
#[test]
fn unattempted_messages_are_attempted_after_a_restart() {
    let classes = vec![idempotent_with_key(), non_idempotent(), idempotent()];
    let settings = Settings { outcomes_need_acknowledgement: true, fleet_size: 300, ..settings(classes) };
    // Each destination has ten messages and, for them all, a small share of its rate: 1.3 calls a second for 10 s.
    let listed = |number: u16| Endpoint { capacity_hint: 400.0, ..endpoint(u32::from(number), number) };
    let endpoints: Vec<Endpoint> = (1..=DESTINATIONS).map(listed).collect();
    let all = settings.max_pending_messages as u32;
    let time_left = settings.classes[0].deadline / 2;
    for seed in 1..=5 {
        let mut bench = TestBench::new(settings.clone(), endpoints.clone());
        bench.restart(settings.clone(), seed, endpoints.clone());
        restore_circuits(&mut bench);
        restore_messages(&mut bench, all, time_left);
        let deadline = bench.now + time_left;
        let Outcomes { attempted, given_up } = run_until(&mut bench, deadline, all);
        // Load shedding may reject a tenth at most: it ends a little below the maximum number of pending messages.
        assert!(
            given_up.iter().all(|given_up| given_up * 10 <= all / 3),
            "seed {seed}: {given_up:?} of {} each given up",
            all / 3
        );
        assert!(attempted as u32 * 2 > all, "seed {seed}: {attempted} of {all} attempted");
    }
}

/// A message of the gateway's clients after the restart has a number from here on.
const FIRST_NEW_MESSAGE: u32 = 1000;

/// New messages must not push out the ones that a restart found and that have not been attempted: these are older, and so
/// of less value. Half of the destinations do not respond, so that what waits for them stays. More than half of the
/// restored messages that may not be given up were given up for new ones that waited for the same destinations.
#[test]
fn new_messages_push_out_no_unattempted_message_of_before_a_restart() {
    let classes = vec![idempotent_with_key(), non_idempotent(), idempotent()];
    let settings = Settings { outcomes_need_acknowledgement: true, ..settings(classes) };
    let listed = |number: u16| endpoint(u32::from(number), number);
    let endpoints: Vec<Endpoint> = (1..=DESTINATIONS).map(listed).collect();
    let restored = settings.max_pending_messages as u32 * 8 / 10;
    let time_left = settings.classes[0].deadline * 6 / 10;
    for seed in 1..=5 {
        let mut bench = TestBench::new(settings.clone(), endpoints.clone());
        bench.restart(settings.clone(), seed, endpoints.clone());
        restore_messages(&mut bench, restored, time_left);
        let deadline = bench.now + time_left;
        let (mut attempted, mut given_up) = (vec![false; restored as usize], 0);
        let (mut next_message, mut admitted) = (FIRST_NEW_MESSAGE, 0);
        while bench.now < deadline - ms(100) {
            // The last steps of a message's time are no early end.
            for action in bench.decide() {
                match action {
                    Action::StartAttempt { message, endpoint, .. } => {
                        if let Some(attempted) = attempted.get_mut(message.0 as usize) {
                            *attempted = true;
                        }
                        if endpoint.0 % 2 == 0 {
                            bench.finish(message.0, endpoint.0, AttemptOutcome::Delivered, LATENCY);
                        }
                    }
                    Action::Reject { message, .. } | Action::ReportFailure { message } => {
                        given_up += u32::from(attempted.get(message.0 as usize) == Some(&false));
                    }
                    _ => {}
                }
            }
            let class = (next_message % CLASSES) as u8;
            let destination = (next_message % u32::from(DESTINATIONS) + 1) as u16;
            let class_and_id = (ClassId(class), &settings.classes[usize::from(class)]);
            let message = accepted(bench.now, next_message, class_and_id, destination, None);
            if bench.scheduler.admits(bench.now, &message) {
                bench.handle(Event::MessageAccepted(message));
                admitted += 1;
            }
            next_message += 1;
            bench.now = bench.now + ms(10);
        }
        assert_eq!(given_up, 0, "seed {seed}: of {restored}, while {admitted} new ones were admitted");
        assert!(admitted > 100, "seed {seed}: only {admitted} new messages were admitted");
    }
}
