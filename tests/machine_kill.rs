//! A process that is killed at any of its writes, half done or whole: what the next one finds keeps all rules.

mod world;

use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;
use world::life::{Clients, Life};
use world::*;

/// Messages that a life brings at most until its process is killed.
const MESSAGES: u32 = 30;
/// Messages that are held when a hand-over begins.
const HELD: u32 = 6;
/// Seed of the new process's own faults.
const NEW_SEED: u64 = 1000;
/// Lives at a time.
const SIDE_BY_SIDE: usize = 8;

/// Kills the process at its nth call of a kind, and lets the next one go on. Whether it came to that.
fn live_until(call: SystemCall, how: i32, nth: u32) -> bool {
    let what = format!("{call:?} {how} at call {nth}");
    let mut world = World::faulty(2, u64::from(nth) + 1);
    // Small, so that the journal is compacted.
    world.disk_mb = 0.03;
    world.latency_objective = 3;
    let mut life = Life::new(&world);
    let mut courier = world.start();
    world.fail(call, Fault::always(&[how]).after(nth).times(1));
    for number in 0..MESSAGES {
        if courier.has_ended() {
            break;
        }
        life.hand_in(&courier, &format!("m{number}"), number % 2 == 0, Clients::MayBeCutOff);
        life.see(Duration::from_millis(10));
    }
    let killed = courier.has_ended();
    drop(courier);
    world.faults().clear(call).unwrap();
    let courier = world.start();
    life.hand_in(&courier, "after", true, Clients::AreAnswered);
    life.settle(&what);
    assert!(!courier.has_logged("a rule would have been broken"), "{what}");
    killed
}

/// Goes through the first calls of a kind; some of them have to be reached.
fn kill_at_each(call: SystemCall, calls: u32) {
    let (next, killed) = (AtomicU32::new(0), AtomicU32::new(0));
    thread::scope(|lives| {
        for _ in 0..SIDE_BY_SIDE {
            lives.spawn(|| loop {
                let nth = next.fetch_add(1, Ordering::SeqCst);
                if nth >= 2 * calls {
                    return;
                }
                let how = if nth % 2 == 0 { SystemCall::KILLED_BEFORE } else { SystemCall::KILLED_BEHIND };
                killed.fetch_add(u32::from(live_until(call, how, nth / 2)), Ordering::SeqCst);
            });
        }
    });
    assert!(killed.into_inner() >= calls, "{call:?}: too few lives came to their kill");
}

#[test]
fn a_kill_at_any_write_of_the_journal_breaks_no_rule() {
    kill_at_each(SystemCall::StateWrite, 60);
}

#[test]
fn a_kill_around_a_compaction_breaks_no_rule() {
    kill_at_each(SystemCall::StateRename, 1);
}

#[test]
fn a_kill_at_any_write_to_a_peer_breaks_no_rule() {
    kill_at_each(SystemCall::TcpWrite, 30);
}

/// Hands the courier over while one of the two processes is killed at its nth call of a kind, and lets whoever is left
/// go on. Whether it came to the kill.
fn hand_over_until(call: SystemCall, how: i32, nth: u32, of_old: bool) -> bool {
    let what = format!("{call:?} {how} at call {nth} of the {} process", if of_old { "old" } else { "new" });
    let mut world = World::faulty(2, u64::from(nth) + 1);
    world.latency_objective = 3;
    let mut life = Life::new(&world);
    let mut old = world.start();
    for number in 0..HELD {
        life.hand_in(&old, &format!("m{number}"), number % 2 == 0, Clients::AreAnswered);
    }
    let fault = Fault::always(&[how]).after(nth).times(1);
    let faults_of_new = world.new_faults(NEW_SEED);
    let killed_page = if of_old { world.faults() } else { &faults_of_new };
    killed_page.set(call, fault).unwrap();
    let mut new = world.start_process();
    let listens = new.listens_or_ends();
    killed_page.clear(call).unwrap();
    // A kill that was begun before comes to its end; none is begun any more.
    thread::sleep(Duration::from_millis(50));
    let killed = killed_page.counted(call).unwrap().hits > 0;
    assert_eq!(killed, if of_old { old.has_ended() } else { new.has_ended() }, "{what}");
    assert!(killed || listens, "{what}: the new process neither serves nor ends");
    if listens && !new.has_ended() {
        if !old.has_ended() {
            old.terminate();
        }
        let new = new.listening();
        life.hand_in(&new, "after", true, Clients::AreAnswered);
        life.settle(&what);
    } else {
        life.hand_in(&old, "after", true, Clients::AreAnswered);
        life.settle(&what);
    }
    killed
}

fn kill_at_each_step(call: SystemCall, calls: u32, of_old: bool) {
    let killed = AtomicU32::new(0);
    thread::scope(|lives| {
        for nth in 0..2 * calls {
            let killed = &killed;
            lives.spawn(move || {
                let how = if nth % 2 == 0 { SystemCall::KILLED_BEFORE } else { SystemCall::KILLED_BEHIND };
                killed.fetch_add(u32::from(hand_over_until(call, how, nth / 2, of_old)), Ordering::SeqCst);
            });
        }
    });
    assert!(killed.into_inner() > 0, "{call:?}: no hand-over came to its kill");
}

#[test]
fn a_kill_of_the_new_process_at_any_step_of_a_hand_over_breaks_no_rule() {
    for (call, calls) in [(SystemCall::UnixRead, 3), (SystemCall::UnixWrite, 2)] {
        kill_at_each_step(call, calls, false);
    }
}

#[test]
fn a_kill_of_the_old_process_at_any_step_of_a_hand_over_breaks_no_rule() {
    for (call, calls) in [(SystemCall::UnixRead, 3), (SystemCall::UnixWrite, 2), (SystemCall::TcpWrite, 4)] {
        kill_at_each_step(call, calls, true);
    }
}
