//! Steps of the wall clock must not change deadlines and idempotency windows, which count elapsed time, also across
//! restarts and handovers. The fault shim (`fault-shim/`) steps the clock.

mod environment;

use environment::*;
use std::thread;
use std::time::Instant;

const HOUR_MS: i64 = 3_600_000;

fn failed(id: &str) -> String {
    format!(r#"{{"id":"{id}","state":"failed"}}"#)
}

/// A message without an attempt keeps its time left across a restart. It would expire if its deadline were compared
/// with a wall clock that was stepped forward meanwhile.
#[test]
fn a_wall_clock_stepped_forward_across_a_restart_expires_no_message() {
    let mut environment = TestEnvironment::with_faults(1, 1);
    environment.max_in_flight_calls = 1;
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("f1", "0", "salary", 1, b"x"), "+OK");
    let _in_flight = environment.call();
    assert_eq!(client.enqueue("f2", "0", "salary", 1, b"x"), "+OK");
    let stopped = gateway.kill();
    environment.faults().step_wall_clock(HOUR_MS).unwrap();
    let _gateway = stopped.restart();
    // The message that was in flight may have run and fails; the other one is sent.
    let mut is_notified = false;
    let call = loop {
        match environment.next_event() {
            StubEvent::Call(call) => break call,
            StubEvent::Notification(line) => is_notified = line == failed("f1") && !is_notified,
        }
    };
    assert_eq!(call.id, "f2");
    call.answer("200 OK", "");
    assert!(is_notified || environment.notification() == failed("f1"));
}

/// An idempotency window that has ended would be open again, and its message sent again, if it were compared with a
/// wall clock that was stepped back meanwhile.
#[test]
fn a_wall_clock_stepped_back_across_a_restart_reopens_no_idempotency_window() {
    let environment = TestEnvironment::with_faults(1, 1);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("b1", "0", "brief,k=aa", 1, b"x"), "+OK");
    let _in_flight = environment.call();
    let sent_at = Instant::now();
    let stopped = gateway.kill();
    environment.faults().step_wall_clock(-HOUR_MS).unwrap();
    thread::sleep((sent_at + BRIEF_IDEMPOTENCY_WINDOW).saturating_duration_since(Instant::now()));
    let _gateway = stopped.restart();
    assert_eq!(environment.notification(), failed("b1"));
}

/// A message keeps its time left across a handover. It would expire if the deadline were handed over as a time of the
/// wall clock, which is stepped for the successor.
#[test]
fn a_wall_clock_stepped_during_a_handover_expires_no_message() {
    let mut environment = TestEnvironment::with_faults(1, 1);
    environment.max_in_flight_calls = 1;
    let predecessor = environment.start();
    let mut client = predecessor.client();
    assert_eq!(client.enqueue("h1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = environment.call();
    assert_eq!(client.enqueue("h2", "0", "salary", 1, b"x"), "+OK");
    // The wall clock of the successor is an hour ahead of the predecessor's.
    environment.replace_faults(2).step_wall_clock(HOUR_MS).unwrap();
    let successor = environment.start_beside().listening();
    assert!(successor.has_logged("took over from the predecessor"));
    predecessor.send_sigterm();
    in_flight.answer("200 OK", "");
    let call = environment.call();
    assert_eq!(call.id, "h2");
    call.answer("200 OK", "");
}
