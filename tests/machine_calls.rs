//! System calls that fail for a moment, and transfers that are interrupted or short. The faults come from the shim
//! (`fault-shim/`), at the places that each test names; `tests/machine_sweep.rs` goes through all calls and errors.

mod world;

use libc::EINTR;
use std::time::Duration;
use world::*;

/// Reads and writes that a signal interrupts or cuts short lose no request: not its answer, nor its call's.
#[test]
fn interrupted_and_short_transfers_lose_no_request() {
    for (call, error) in [
        (SystemCall::TcpRead, EINTR),
        (SystemCall::TcpWrite, EINTR),
        (SystemCall::TcpRead, SystemCall::SHORT),
        (SystemCall::TcpWrite, SystemCall::SHORT),
    ] {
        let world = World::faulty(1, 1);
        let courier = world.start();
        world.fail(call, Fault::always(&[error]).part(0.5));
        let mut client = courier.client().within(Duration::from_millis(400));
        for number in 0..10 {
            let id = format!("i{number}");
            let answer = client.enqueue(&id, "0", "salary", 1, &[b'x'; 9000]);
            assert_eq!(answer, "+OK", "{call:?} {error}");
            world.call().answer("200 OK", "");
        }
        world.nothing();
        assert!(world.faults().counted(call).unwrap().hits > 10, "{call:?} {error}");
    }
}

/// Words between two processes that are interrupted arrive all the same: neither takes the other for gone.
#[test]
fn a_hand_over_survives_interrupted_transfers() {
    for call in [SystemCall::UnixRead, SystemCall::UnixWrite] {
        let world = World::faulty(1, 1);
        let mut old = world.start();
        let mut client = old.client();
        assert_eq!(client.enqueue("u1", "0", "salary", 1, b"x"), "+OK");
        let out = world.call();
        world.fail(call, Fault::always(&[EINTR]).part(0.5));
        let new = world.start_beside().listening();
        assert!(new.has_logged("the courier was handed over"), "{call:?}");
        // On the connection that moved.
        assert_eq!(client.enqueue("u2", "0", "salary", 1, b"x"), "+OK", "{call:?}");
        let second = world.call();
        assert_eq!(second.id, "u2");
        second.answer("200 OK", "");
        out.answer("200 OK", "");
        old.terminate();
        assert!(old.wait(Duration::from_secs(5)).success(), "{call:?}");
        new.log_until("the process before has gone broken=0");
        assert!(!old.has_logged("the other process has gone"), "{call:?}");
        world.nothing();
    }
}
/// A signal is heard, and a process lives, though the reading of the signal's own pipe is interrupted.
#[test]
fn an_interrupted_signal_is_heard() {
    for call in [SystemCall::UnixRead, SystemCall::UnixWrite] {
        let world = World::faulty(1, 1);
        let mut courier = world.start();
        world.fail(call, Fault::always(&[EINTR]).part(0.5));
        for round in 1..=4 {
            courier.hang_up();
            courier.log_times("the configuration was read again", round);
        }
        courier.terminate();
        assert!(courier.wait(Duration::from_secs(5)).success(), "{call:?}");
    }
}
