//! A wall clock that is stepped: deadlines and windows are spans of real time, over restarts and handovers too.
//! The steps come from the shim (`fault-shim/`).

mod environment;

use environment::*;
use std::thread;
use std::time::Instant;

const HOUR_MS: i64 = 3_600_000;

fn failed(id: &str) -> String {
    format!(r#"{{"id":"{id}","state":"failed"}}"#)
}

/// A message without an attempt keeps its deadline over a restart, however far the wall clock was stepped meanwhile.
#[test]
fn a_wall_clock_stepped_forward_over_a_restart_expires_no_message() {
    let mut environment = TestEnvironment::with_faults(1, 1);
    environment.max_in_flight_calls = 1;
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("f1", "0", "salary", 1, b"x"), "+OK");
    let _in_flight = environment.call();
    assert_eq!(client.enqueue("f2", "0", "salary", 1, b"x"), "+OK");
    let stopped = gateway.kill();
    environment.faults().step_wall_clock(HOUR_MS).unwrap();
    let _courier = stopped.restart();
    // The one that was in flight may have run; the other one is sent.
    let mut announced = false;
    let call = loop {
        match environment.next_event() {
            StubEvent::Call(call) => break call,
            StubEvent::Notification(line) => announced = line == failed("f1") && !announced,
        }
    };
    assert_eq!(call.id, "f2");
    call.answer("200 OK", "");
    assert!(announced || environment.notification() == failed("f1"));
}

/// An idempotency window that has ended stays so, however far the wall clock was stepped back.
#[test]
fn a_wall_clock_stepped_back_over_a_restart_reopens_no_idempotency_window() {
    let environment = TestEnvironment::with_faults(1, 1);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("b1", "0", "brief,k=aa", 1, b"x"), "+OK");
    let _in_flight = environment.call();
    let sent = Instant::now();
    let stopped = gateway.kill();
    environment.faults().step_wall_clock(-HOUR_MS).unwrap();
    thread::sleep((sent + BRIEF_IDEMPOTENCY_WINDOW).saturating_duration_since(Instant::now()));
    let _courier = stopped.restart();
    assert_eq!(environment.notification(), failed("b1"));
}

/// A message keeps its deadline over a handover while the wall clock is stepped.
#[test]
fn a_wall_clock_stepped_during_a_handover_expires_no_message() {
    let mut environment = TestEnvironment::with_faults(1, 1);
    environment.max_in_flight_calls = 1;
    let predecessor = environment.start();
    let mut client = predecessor.client();
    assert_eq!(client.enqueue("h1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = environment.call();
    assert_eq!(client.enqueue("h2", "0", "salary", 1, b"x"), "+OK");
    // The successor sees another wall clock than the predecessor.
    environment.replace_faults(2).step_wall_clock(HOUR_MS).unwrap();
    let successor = environment.start_beside().listening();
    assert!(successor.has_logged("took over from the predecessor"));
    predecessor.send_sigterm();
    in_flight.answer("200 OK", "");
    let call = environment.call();
    assert_eq!(call.id, "h2");
    call.answer("200 OK", "");
}
