//! A wall clock that is stepped: deadlines and windows are spans of real time, over restarts and hand-overs too.
//! The steps come from the shim (`fault-shim/`).

mod world;

use std::thread;
use std::time::Instant;
use world::*;

const HOUR_MS: i64 = 3_600_000;

fn failed(id: &str) -> String {
    format!(r#"{{"id":"{id}","state":"failed"}}"#)
}

/// What waits untried still has its time after a restart, however far the wall clock was stepped meanwhile.
#[test]
fn a_wall_clock_stepped_forward_over_a_restart_ends_no_message() {
    let mut world = World::faulty(1, 1);
    world.slots = 1;
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("f1", "0", "salary", 1, b"x"), "+OK");
    let _out = world.call();
    assert_eq!(client.enqueue("f2", "0", "salary", 1, b"x"), "+OK");
    let stopped = courier.kill();
    world.faults().step_wall_clock(HOUR_MS).unwrap();
    let _courier = stopped.restart();
    // The one that was out may have run; the other one is sent.
    let mut told = false;
    let call = loop {
        match world.call_or_notice() {
            Seen::Call(call) => break call,
            Seen::Notice(line) => told = line == failed("f1") && !told,
        }
    };
    assert_eq!(call.id, "f2");
    call.answer("200 OK", "");
    assert!(told || world.notice() == failed("f1"));
}

/// A window for repeats that is over stays over, however far the wall clock was stepped back.
#[test]
fn a_wall_clock_stepped_back_over_a_restart_opens_no_window_again() {
    let world = World::faulty(1, 1);
    let courier = world.start();
    assert_eq!(courier.client().enqueue("b1", "0", "brief,k=aa", 1, b"x"), "+OK");
    let _out = world.call();
    let sent = Instant::now();
    let stopped = courier.kill();
    world.faults().step_wall_clock(-HOUR_MS).unwrap();
    thread::sleep((sent + BRIEF_WINDOW).saturating_duration_since(Instant::now()));
    let _courier = stopped.restart();
    assert_eq!(world.notice(), failed("b1"));
}

/// A message keeps its time where its courier is handed over while the wall clock is stepped.
#[test]
fn a_wall_clock_stepped_during_a_hand_over_ends_no_message() {
    let mut world = World::faulty(1, 1);
    world.slots = 1;
    let old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("h1", "0", "salary", 1, b"x"), "+OK");
    let out = world.call();
    assert_eq!(client.enqueue("h2", "0", "salary", 1, b"x"), "+OK");
    // The new process sees another wall clock than the old one.
    world.new_faults(2).step_wall_clock(HOUR_MS).unwrap();
    let new = world.start_beside().listening();
    assert!(new.has_logged("the courier was handed over"));
    old.terminate();
    out.answer("200 OK", "");
    let call = world.call();
    assert_eq!(call.id, "h2");
    call.answer("200 OK", "");
}
