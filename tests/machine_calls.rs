//! System calls that fail for a moment, and transfers that are interrupted or short. The faults come from the shim
//! (`fault-shim/`), at the places that each test names; `tests/machine_sweep.rs` goes through all calls and errors.

mod environment;

use environment::*;
use libc::{EADDRNOTAVAIL, EAGAIN, EINTR, EIO, ENETUNREACH, ENFILE, ENOBUFS, ENOLCK, ENOMEM};
use std::time::Duration;

/// Reads and writes that a signal interrupts or cuts short lose no request: not its answer, nor its call's.
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
            let answer = client.enqueue(&id, "0", "salary", 1, &[b'x'; 9000]);
            assert_eq!(answer, "+OK", "{call:?} {error}");
            environment.call().answer("200 OK", "");
        }
        environment.expect_nothing();
        assert!(environment.faults().call_counts(call).unwrap().failures > 10, "{call:?} {error}");
    }
}

/// Interrupted transfers between two processes complete all the same: neither takes the other for ended.
#[test]
fn a_handover_survives_interrupted_transfers() {
    for call in [SystemCall::UnixRead, SystemCall::UnixWrite] {
        let environment = TestEnvironment::with_faults(1, 1);
        let mut old = environment.start();
        let mut client = old.client();
        assert_eq!(client.enqueue("u1", "0", "salary", 1, b"x"), "+OK");
        let out = environment.call();
        environment.fail(call, Fault::always(&[EINTR]).with_ratio(0.5));
        let new = environment.start_beside().listening();
        assert!(new.has_logged("took over from the predecessor"), "{call:?}");
        // On the connection that moved.
        assert_eq!(client.enqueue("u2", "0", "salary", 1, b"x"), "+OK", "{call:?}");
        let second = environment.call();
        assert_eq!(second.id, "u2");
        second.answer("200 OK", "");
        out.answer("200 OK", "");
        old.send_sigterm();
        assert!(old.wait(Duration::from_secs(5)).success(), "{call:?}");
        new.wait_for_log_line("the previous process has ended broken_calls=0");
        assert!(!old.has_logged("the successor ended"), "{call:?}");
        environment.expect_nothing();
    }
}

/// A signal is handled though reading the pipe that announces it is interrupted.
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
        assert!(gateway.wait(Duration::from_secs(5)).success(), "{call:?}");
    }
}

/// A journal that cannot be opened or truncated for a moment is retried, and nothing in it is lost.
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
        let _out = environment.call();
        let stopped = gateway.kill();
        // A torn tail to be truncated, and a copy to be removed.
        environment.append_to_journal(b"torn");
        environment.write_unfinished_journal_copy();
        environment.fail(call, Fault::always(&[EIO, EINTR, ENOLCK]).times(3));
        let gateway = stopped.restart();
        assert!(environment.faults().call_counts(call).unwrap().failures > 0, "{call:?}");
        let call = environment.call();
        assert_eq!(call.id, "o1");
        call.answer("200 OK", "");
        drop(gateway);
    }
}

/// System calls that fail at first are retried.
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

/// A runtime that cannot be built at first is retried, and so is the query of the bound address.
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

/// A configuration that cannot be read for a moment is retried.
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
        assert!(environment.faults().call_counts(call).unwrap().failures > 0, "{call:?}");
    }
}

/// A connection that this machine cannot make for a moment says nothing of the endpoint, and is retried.
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
        assert!(!gateway.has_logged("open circuits changed"), "{call:?} {error}");
    }
}
