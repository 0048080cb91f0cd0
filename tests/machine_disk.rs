//! A state folder that cannot be written temporarily: each accepted message still gets one final outcome, and no
//! delivery rule is broken. The fault shim (`fault-shim/`) injects the faults.

mod environment;

use environment::*;
use libc::{EIO, ENOSPC};
use std::time::{Duration, Instant};

/// The errors of a full and of a defective disk.
const DISK_ERRORS: [i32; 2] = [ENOSPC, EIO];

fn failed(id: &str) -> String {
    format!(r#"{{"id":"{id}","state":"failed"}}"#)
}

/// A final outcome that is notified before it is in the journal could be lost in a restart, which would send the
/// message again. Its client may have enqueued a returned message elsewhere after the notification.
#[test]
fn a_final_outcome_is_notified_only_after_it_is_written() {
    let environment = TestEnvironment::with_faults(1, 1);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("v1", "0", "notice,k=aa", 1, b"x"), "+OK");
    let call = environment.call();
    environment.fail(SystemCall::StateWrite, Fault::always(&DISK_ERRORS));
    // The message was not processed and has no attempt left, so that it is returned.
    call.answer("504 Gateway Timeout", "");
    environment.expect_nothing();
    environment.faults().clear(SystemCall::StateWrite).unwrap();
    assert!(environment.notification().contains(r#""id":"v1","state":"returned""#));
    let _gateway = gateway.kill_and_restart();
    // The notification may be repeated, but the message is not sent.
    environment.expect_no_call();
}

/// A change of the endpoint list that could not be written would be missing from the journal if only the next change
/// were written. A later write has to contain both.
#[test]
fn an_endpoint_list_that_could_not_be_written_is_written_later() {
    let environment = TestEnvironment::with_faults(2, 1);
    let gateway = environment.start();
    environment.fail(SystemCall::StateWrite, Fault::always(&DISK_ERRORS));
    environment.remove(0);
    gateway.wait_for_log_line("endpoint list updated");
    environment.faults().clear(SystemCall::StateWrite).unwrap();
    environment.announce_serving(1, 3);
    gateway.wait_for_log_lines("endpoint list updated", 2);
    let stopped = gateway.kill();
    // The next process gets no list from discovery.
    environment.set_discovery_silent(true);
    let gateway = stopped.restart();
    let mut client = gateway.client();
    for number in 0..6 {
        assert_eq!(client.enqueue(&format!("l{number}"), "0", "notice,k=aa", 1, b"x"), "+OK");
        let call = environment.call();
        assert_eq!(call.endpoint, 1);
        call.answer("200 OK", "");
    }
}

/// A record that is half written when the disk fails must not hide the records after it when the journal is read.
#[test]
fn a_torn_record_loses_no_other_record() {
    let environment = TestEnvironment::with_faults(1, 1);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("t1", "0", "salary", 1, b"x"), "+OK");
    let call = environment.call();
    for round in 0..4 {
        environment.fail(SystemCall::StateWrite, Fault::always(&[SystemCall::TORN]).times(1));
        let id = format!("torn{round}");
        assert!(client.enqueue(&id, "0", "salary", 1, &[b'y'; 300]).starts_with("-BUSY"));
    }
    assert_eq!(client.enqueue("t2", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(environment.call().id, "t2");
    drop(call);
    let _gateway = gateway.kill_and_restart();
    let mut notified = [environment.notification(), environment.notification()];
    notified.sort();
    assert_eq!(notified, [failed("t1"), failed("t2")]);
    environment.expect_nothing();
}

/// Attempts that cannot be recorded are not made. They would use up the message's attempts if they counted; the message
/// is sent as soon as the disk can be written again.
#[test]
fn a_disk_that_fails_for_a_while_uses_up_no_attempts() {
    let mut environment = TestEnvironment::with_faults(1, 1);
    environment.latency_objective_secs = 3;
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("d1", "0", "salary", 1, b"x"), "+OK");
    let call = environment.call();
    assert_eq!(client.enqueue("d2", "0", "salary", 1, b"x"), "+OK");
    let second = environment.call();
    environment.fail(SystemCall::StateWrite, Fault::always(&DISK_ERRORS));
    call.answer("503 Service Unavailable", "");
    second.answer("503 Service Unavailable", "");
    // 8 s are longer than it takes to use up all attempts.
    let end = Instant::now() + Duration::from_secs(8);
    while Instant::now() < end {
        environment.expect_nothing();
    }
    environment.faults().clear(SystemCall::StateWrite).unwrap();
    for _ in 0..2 {
        environment.call().answer("200 OK", "");
    }
    environment.expect_nothing();
}
