//! A request that comes again does not run its message again, whatever became of the message and of the process that
//! accepted it. The cases force each order by what the endpoints and the agent of discovery receive.

mod environment;

use environment::*;
use std::time::{Duration, Instant};

/// Limits how long a predecessor may take to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The wall clock of journals of older builds, far ahead of the deadlines that the cases need.
const DECADES_AHEAD_MS: u64 = 4_000_000_000_000;

/// Returns an environment whose gateways make one call at a time. So the call of a message shows that the end of the
/// one before it is recorded.
fn environment() -> TestEnvironment {
    let mut environment = TestEnvironment::with_long_deadlines(1, 3.0);
    environment.max_in_flight_calls = 1;
    environment
}

/// Delivers the payment `id`, and returns once its end is recorded. Leaves no message pending.
fn deliver_payment(environment: &TestEnvironment, gateway: &RunningGateway, id: &str) {
    let mut client = gateway.client();
    assert_eq!(client.enqueue(id, "0", "salary", 1, b"pay"), "+OK");
    let delivered = environment.call();
    assert_eq!(delivered.id, id);
    let next = format!("after-{id}");
    assert_eq!(client.enqueue(&next, "0", "salary", 1, b"x"), "+OK");
    delivered.answer("200 OK", "");
    let call = environment.call();
    assert_eq!(call.id, next);
    call.answer("200 OK", "");
}

/// Repeats the request for the payment `id`, and checks that it counts as accepted and makes no call. Another message
/// under its id is an error.
fn expect_known(environment: &TestEnvironment, gateway: &RunningGateway, id: &str) {
    assert_eq!(gateway.client().enqueue(id, "0", "salary", 1, b"pay"), "+OK");
    assert!(gateway.client().enqueue(id, "0", "salary", 1, b"other").starts_with("-ERR "));
    environment.expect_no_call();
}

/// Ids of delivered messages were in memory alone, so that a kill forgot them and a payment was made twice.
#[test]
fn a_delivered_payment_is_known_after_kills() {
    let environment = environment();
    let mut gateway = environment.start();
    deliver_payment(&environment, &gateway, "p1");
    for _ in 0..2 {
        gateway = gateway.kill_and_restart();
        expect_known(&environment, &gateway, "p1");
    }
}

/// A process that ends after SIGTERM forgot the ids of delivered messages, too.
#[test]
fn a_delivered_payment_is_known_after_a_planned_restart() {
    let environment = environment();
    let mut gateway = environment.start();
    deliver_payment(&environment, &gateway, "p1");
    gateway.send_sigterm();
    assert!(gateway.wait(EXIT_TIMEOUT).success());
    let gateway = environment.start();
    expect_known(&environment, &gateway, "p1");
}

/// A successor did not get the ids of delivered messages from its predecessor, whether or not both could share a
/// snapshot of the state.
#[test]
fn a_delivered_payment_is_known_to_successors() {
    for zone in ["kingston", "elsewhere"] {
        let environment = environment();
        let mut predecessor = environment.start();
        deliver_payment(&environment, &predecessor, "p1");
        environment.zone.set(zone);
        let successor = environment.start();
        expect_known(&environment, &successor, "p1");
        predecessor.send_sigterm();
        assert!(predecessor.wait(EXIT_TIMEOUT).success());
        expect_known(&environment, &successor, "p1");
    }
}

/// The predecessor finishes its calls after the handover. What it delivers is recorded by the successor.
#[test]
fn a_payment_that_the_predecessor_delivers_is_known_to_the_successor() {
    let environment = environment();
    let predecessor = environment.start();
    assert_eq!(predecessor.client().enqueue("p1", "0", "salary", 1, b"pay"), "+OK");
    let call = environment.call();
    let successor = environment.start();
    expect_known(&environment, &successor, "p1");
    assert_eq!(successor.client().enqueue("next", "0", "salary", 1, b"x"), "+OK");
    call.answer("200 OK", "");
    environment.call().answer("200 OK", "");
    expect_known(&environment, &successor, "p1");
    predecessor.kill();
    let successor = successor.kill_and_restart();
    expect_known(&environment, &successor, "p1");
}

/// A predecessor that resumes service after its successor has died finds what the successor delivered in the journal.
#[test]
fn a_payment_that_a_dead_successor_delivered_is_known_to_the_predecessor() {
    let environment = environment();
    let predecessor = environment.start();
    deliver_payment(&environment, &predecessor, "p1");
    let successor = environment.start();
    deliver_payment(&environment, &successor, "p2");
    successor.kill();
    predecessor.wait_for_log_line("resuming service");
    for id in ["p1", "p2"] {
        // A connection may come while the predecessor resumes, so that its request is first rejected.
        let mut reply = String::new();
        while !reply.starts_with("+OK") {
            reply = predecessor.client().enqueue(id, "0", "salary", 1, b"pay");
            assert!(reply.starts_with("+OK") || reply.starts_with("-BUSY"), "{reply}");
        }
    }
    environment.expect_no_call();
}

/// A payment of unknown outcome is ended by a notification. Its request may come again after that.
#[test]
fn a_payment_that_was_ended_by_a_notification_is_known_after_a_kill() {
    let environment = environment();
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("p1", "0", "salary", 1, b"pay"), "+OK");
    environment.call().reset();
    assert_eq!(environment.notification(), r#"{"id":"p1","state":"failed"}"#);
    wait_for_completed_record(&environment);
    let gateway = gateway.kill_and_restart();
    expect_known(&environment, &gateway, "p1");
}

/// Waits until the journal has the end of a message, after the acknowledgement of its notification.
fn wait_for_completed_record(environment: &TestEnvironment) {
    const COMPLETED: u8 = 4;
    let end = Instant::now() + EXIT_TIMEOUT;
    loop {
        let journal = environment.journal();
        let (mut at, mut is_completed) = (0, false);
        while let Some(head) = journal[at..].first_chunk::<4>() {
            is_completed |= journal.get(at + 8) == Some(&COMPLETED);
            at = (at + 8 + u32::from_le_bytes(*head) as usize).min(journal.len());
        }
        if is_completed {
            return;
        }
        assert!(Instant::now() < end, "no end of a message in the journal");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns a record with its length and checksum.
fn frame(payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
    frame.extend(crc32fast::hash(payload).to_le_bytes());
    frame.extend(payload);
    frame
}

/// Appends an integer in the encoding of the journal.
fn push_varint(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

/// Journals of builds without tombstones have the ends of messages, too. A payment that such a build delivered is known
/// as long as the records of the message are in the file; one that it withdrew before any attempt is not.
#[test]
fn ends_in_journals_without_tombstones_are_read() {
    let mut journal = Vec::new();
    for (number, id) in [(1, b"old-1"), (2, b"old-2")] {
        // Accepted
        let mut accepted = vec![0, number, 5];
        accepted.extend(id);
        accepted.extend(b"\x00\x06salary\x01\x00");
        push_varint(&mut accepted, DECADES_AHEAD_MS);
        accepted.extend(b"\x00\x03pay");
        journal.extend(frame(&accepted));
    }
    // AttemptStarted of the first message, and Completed of both
    let mut attempt = vec![1, 1];
    push_varint(&mut attempt, 1_000);
    attempt.push(0);
    journal.extend(frame(&attempt));
    journal.extend(frame(&[4, 1]));
    journal.extend(frame(&[4, 2]));
    let environment = environment();
    environment.append_to_journal(&journal);
    let gateway = environment.start();
    gateway.wait_for_log_line("journal replayed pending=0");
    expect_known(&environment, &gateway, "old-1");
    let gateway = gateway.kill_and_restart();
    expect_known(&environment, &gateway, "old-1");
    assert_eq!(gateway.client().enqueue("old-2", "0", "salary", 1, b"pay"), "+OK");
    let call = environment.call();
    assert_eq!(call.id, "old-2");
    call.answer("200 OK", "");
}
