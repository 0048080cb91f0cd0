//! A process that is killed at any of its writes, half done or complete: the next one breaks no rule with what it
//! finds.

mod environment;

use environment::audit::{ClientExpectation, DeliveryAudit};
use environment::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// Messages that are enqueued at most until the process is killed.
const MESSAGES: u32 = 30;
/// Messages that are pending when a handover begins.
const PENDING: u32 = 6;
/// Seed of the successor's own faults.
const SUCCESSOR_SEED: u64 = 1000;
/// Cases at a time.
const SIDE_BY_SIDE: usize = 8;

/// Kills the process at its nth call of a kind, and lets the next one continue. Whether it came to that.
fn live_until(call: SystemCall, how: i32, nth: u32) -> bool {
    let what = format!("{call:?} {how} at call {nth}");
    let mut environment = TestEnvironment::with_faults(2, u64::from(nth) + 1);
    // Small, so that the journal is compacted.
    environment.disk_mb = 0.03;
    environment.latency_objective_secs = 3;
    let mut audit = DeliveryAudit::new(&environment);
    let mut gateway = environment.start();
    environment.fail(call, Fault::always(&[how]).after(nth).times(1));
    for number in 0..MESSAGES {
        if gateway.has_ended() {
            break;
        }
        audit.enqueue(&gateway, &format!("m{number}"), number % 2 == 0, ClientExpectation::MayBeDisconnected);
        audit.observe(Duration::from_millis(10));
    }
    let killed = gateway.has_ended();
    drop(gateway);
    environment.faults().clear(call).unwrap();
    let gateway = environment.start();
    audit.enqueue(&gateway, "after", true, ClientExpectation::AreAnswered);
    audit.wait_for_outcomes(&what);
    assert!(!gateway.has_logged("it would break a delivery rule"), "{what}");
    killed
}

/// Goes through the first calls of a kind; some of them have to be reached.
fn kill_at_each(call: SystemCall, calls: u32) {
    let (next, killed) = (AtomicU32::new(0), AtomicU32::new(0));
    thread::scope(|cases| {
        for _ in 0..SIDE_BY_SIDE {
            cases.spawn(|| loop {
                let nth = next.fetch_add(1, Ordering::SeqCst);
                if nth >= 2 * calls {
                    return;
                }
                let how = if nth % 2 == 0 { SystemCall::KILLED_BEFORE } else { SystemCall::KILLED_AFTER };
                killed.fetch_add(u32::from(live_until(call, how, nth / 2)), Ordering::SeqCst);
            });
        }
    });
    assert!(killed.into_inner() >= calls, "{call:?}: too few cases came to their kill");
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

/// The process of a handover that is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    Predecessor,
    Successor,
}

/// Hands over while one of the two processes is killed at its nth call of a kind, and lets whichever is left continue.
/// Whether it came to the kill.
fn hand_over_until(call: SystemCall, how: i32, nth: u32, which: Killed) -> bool {
    let what = format!("{call:?} {how} at call {nth} of the {which:?}");
    let mut environment = TestEnvironment::with_faults(2, u64::from(nth) + 1);
    environment.latency_objective_secs = 3;
    let mut audit = DeliveryAudit::new(&environment);
    let mut predecessor = environment.start();
    for number in 0..PENDING {
        audit.enqueue(&predecessor, &format!("m{number}"), number % 2 == 0, ClientExpectation::AreAnswered);
    }
    let fault = Fault::always(&[how]).after(nth).times(1);
    let faults_of_successor = environment.replace_faults(SUCCESSOR_SEED);
    let killed_page = match which {
        Killed::Predecessor => environment.faults(),
        Killed::Successor => &faults_of_successor,
    };
    killed_page.set(call, fault).unwrap();
    let mut successor = environment.start_process();
    let listens = successor.wait_until_listening_or_ended();
    killed_page.clear(call).unwrap();
    // A kill that has started completes; no other one starts.
    thread::sleep(Duration::from_millis(50));
    let killed = killed_page.call_counts(call).unwrap().failures > 0;
    let has_ended = match which {
        Killed::Predecessor => predecessor.has_ended(),
        Killed::Successor => successor.has_ended(),
    };
    assert_eq!(killed, has_ended, "{what}");
    assert!(killed || listens, "{what}: the successor neither serves nor ends");
    if listens && !successor.has_ended() {
        if !predecessor.has_ended() {
            predecessor.send_sigterm();
        }
        let successor = successor.listening();
        audit.enqueue(&successor, "after", true, ClientExpectation::AreAnswered);
        audit.wait_for_outcomes(&what);
    } else {
        audit.enqueue(&predecessor, "after", true, ClientExpectation::AreAnswered);
        audit.wait_for_outcomes(&what);
    }
    killed
}

fn kill_at_each_step(call: SystemCall, calls: u32, which: Killed) {
    let killed = AtomicU32::new(0);
    thread::scope(|cases| {
        for nth in 0..2 * calls {
            let killed = &killed;
            cases.spawn(move || {
                let how = if nth % 2 == 0 { SystemCall::KILLED_BEFORE } else { SystemCall::KILLED_AFTER };
                killed.fetch_add(u32::from(hand_over_until(call, how, nth / 2, which)), Ordering::SeqCst);
            });
        }
    });
    assert!(killed.into_inner() > 0, "{call:?}: no handover came to its kill");
}

#[test]
fn a_kill_of_the_successor_at_any_step_of_a_handover_breaks_no_rule() {
    for (call, calls) in [(SystemCall::UnixRead, 3), (SystemCall::UnixWrite, 2)] {
        kill_at_each_step(call, calls, Killed::Successor);
    }
}

#[test]
fn a_kill_of_the_predecessor_at_any_step_of_a_handover_breaks_no_rule() {
    for (call, calls) in [(SystemCall::UnixRead, 3), (SystemCall::UnixWrite, 2), (SystemCall::TcpWrite, 4)] {
        kill_at_each_step(call, calls, Killed::Predecessor);
    }
}
