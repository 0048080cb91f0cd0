//! System calls that fail temporarily, and transfers that are interrupted or short. The fault shim (`fault-shim/`)
//! injects the faults into the calls that each test names; `tests/machine_sweep.rs` covers further calls and errors.

mod environment;

use environment::*;
use libc::{EADDRNOTAVAIL, EAGAIN, EINTR, EIO, ENETUNREACH, ENFILE, ENOBUFS, ENOLCK, ENOMEM};
use std::time::Duration;

/// Reads and writes that a signal interrupts or cuts short could lose a part of a request, of its reply or of the
/// response to its call.
#[test]
fn interrupted_and_short_transfers_lose_no_request() {
    for (call, error) in [
        (SystemCall::TcpRead, EINTR),
        (SystemCall::TcpWrite, EINTR),
        (SystemCall::TcpRead, SystemCall::SHORT),
        (SystemCall::TcpWrite, SystemCall::SHORT),
    ] {
        let environment = TestEnvironment::with_faults(1, 1);
        let gateway = environment.start();
        environment.fail(call, Fault::always(&[error]).with_ratio(0.5));
        let mut client = gateway.client().with_read_timeout(Duration::from_millis(400));
        for number in 0..10 {
            let id = format!("i{number}");
            let reply = client.enqueue(&id, "0", "salary", 1, &[b'x'; 9000]);
            assert_eq!(reply, "+OK", "{call:?} {error}");
            environment.call().answer("200 OK", "");
        }
        environment.expect_nothing();
        assert!(
            environment.faults().call_counts(call).unwrap().failures > 10,
            "{call:?} {error}: too few calls failed"
        );
    }
}

/// A process whose transfer to the other one is interrupted must retry it, and not conclude that the other has ended.
#[test]
fn a_handover_survives_interrupted_transfers() {
    for call in [SystemCall::UnixRead, SystemCall::UnixWrite] {
        let environment = TestEnvironment::with_faults(1, 1);
        let mut predecessor = environment.start();
        let mut client = predecessor.client();
        assert_eq!(client.enqueue("u1", "0", "salary", 1, b"x"), "+OK");
        let in_flight = environment.call();
        environment.fail(call, Fault::always(&[EINTR]).with_ratio(0.5));
        let successor = environment.start_beside().listening();
        assert!(
            successor.has_logged("took over from the predecessor"),
            "{call:?}: the successor did not take over"
        );
        // This client's connection was handed over.
        assert_eq!(client.enqueue("u2", "0", "salary", 1, b"x"), "+OK", "{call:?}");
        let second = environment.call();
        assert_eq!(second.id, "u2");
        second.answer("200 OK", "");
        in_flight.answer("200 OK", "");
        predecessor.send_sigterm();
        assert!(
            predecessor.wait(Duration::from_secs(5)).success(),
            "{call:?}: the predecessor did not exit with success"
        );
        successor.wait_for_log_line("the previous process has ended broken_calls=0");
        assert!(
            !predecessor.has_logged("the successor ended"),
            "{call:?}: the predecessor concluded that the successor had ended"
        );
        environment.expect_nothing();
    }
}

/// A signal handler sets a flag and wakes the gateway through a pair of Unix sockets. The signal must be handled also
/// if a read or write on them is interrupted.
#[test]
fn an_interrupted_signal_is_handled() {
    for call in [SystemCall::UnixRead, SystemCall::UnixWrite] {
        let environment = TestEnvironment::with_faults(1, 1);
        let mut gateway = environment.start();
        environment.fail(call, Fault::always(&[EINTR]).with_ratio(0.5));
        for round in 1..=4 {
            gateway.send_sighup();
            gateway.wait_for_log_lines("configuration reloaded", round);
        }
        gateway.send_sigterm();
        assert!(
            gateway.wait(Duration::from_secs(5)).success(),
            "{call:?}: the process did not exit with success"
        );
    }
}

/// Opening, reading, truncating, removing or locking files of the state folder may fail temporarily at the start. It is
/// retried, and nothing in the journal is lost.
#[test]
fn a_state_folder_that_fails_at_the_start_is_retried() {
    let calls = [
        SystemCall::StateOpen,
        SystemCall::StateRead,
        SystemCall::StateTruncate,
        SystemCall::StateUnlink,
        SystemCall::StateLock,
    ];
    for call in calls {
        let environment = TestEnvironment::with_faults(1, 1);
        let gateway = environment.start();
        assert_eq!(gateway.client().enqueue("o1", "0", "notice,k=aa", 1, b"x"), "+OK");
        let _in_flight = environment.call();
        let stopped = gateway.kill();
        // Leaves a torn tail to truncate and an unfinished copy to remove.
        environment.append_to_journal(b"torn");
        environment.write_unfinished_journal_copy();
        environment.fail(call, Fault::always(&[EIO, EINTR, ENOLCK]).times(3));
        let gateway = stopped.restart();
        assert!(environment.faults().call_counts(call).unwrap().failures > 0, "{call:?}: no call failed");
        let call = environment.call();
        assert_eq!(call.id, "o1");
        call.answer("200 OK", "");
        drop(gateway);
    }
}

/// System calls that set up sockets may fail temporarily at the start. They are retried instead of ending the process.
#[test]
fn the_gateway_starts_though_its_first_system_calls_fail() {
    for call in [
        SystemCall::Socket,
        SystemCall::Bind,
        SystemCall::Listen,
        SystemCall::SetSocketOption,
        SystemCall::EpollControl,
    ] {
        let environment = TestEnvironment::with_faults(1, 1);
        environment.fail(call, Fault::always(&[ENOBUFS, EADDRNOTAVAIL, ENOMEM]).times(4));
        let gateway = environment.start();
        assert_eq!(environment.faults().call_counts(call).unwrap().failures, 4, "{call:?}");
        assert_eq!(gateway.client().request(&["PING"]), "+PONG", "{call:?}");
    }
}

/// Building the runtime and querying the bound address may fail temporarily at the start. Both are retried.
#[test]
fn the_gateway_starts_though_its_runtime_fails_at_first() {
    let calls =
        [SystemCall::EpollCreate, SystemCall::EventFd, SystemCall::SocketPair, SystemCall::GetSocketName];
    for call in calls {
        let environment = TestEnvironment::with_faults(1, 1);
        environment.fail(call, Fault::always(&[ENFILE, ENOMEM]).times(2));
        let gateway = environment.start();
        assert_eq!(gateway.client().request(&["PING"]), "+PONG", "{call:?}");
    }
}

/// A reload whose configuration cannot be read at first is retried, as the change would otherwise be ignored.
#[test]
fn a_configuration_that_cannot_be_read_is_retried() {
    for call in [SystemCall::ConfigOpen, SystemCall::ConfigRead] {
        let environment = TestEnvironment::with_faults(2, 1);
        let gateway = environment.start();
        let agent = environment.agent_with_drain(0);
        environment.configure(&agent);
        environment.fail(call, Fault::always(&[ENFILE, EIO]).times(2));
        gateway.send_sighup();
        gateway.wait_for_log_line("configuration reloaded");
        assert!(environment.faults().call_counts(call).unwrap().failures > 0, "{call:?}: no call failed");
    }
}

/// A connection that fails on this machine is no failure of the endpoint. It is retried and does not count towards the
/// circuit breaker.
#[test]
fn a_local_connect_failure_does_not_open_the_circuit() {
    let errors = [EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ENFILE, EAGAIN, EINTR];
    for (call, error) in
        errors.map(|error| (SystemCall::Connect, error)).into_iter().chain([(SystemCall::Socket, ENFILE)])
    {
        let environment = TestEnvironment::with_faults(1, 1);
        let gateway = environment.start();
        environment.wait_until_watched();
        environment.fail(call, Fault::always(&[error]).times(2));
        assert_eq!(gateway.client().enqueue("c1", "0", "salary", 1, b"x"), "+OK");
        environment.call().answer("200 OK", "");
        assert!(!gateway.has_logged("open circuits changed"), "{call:?} {error}: the circuit opened");
    }
}
