//! A process may be killed at any of its writes, before, in the middle of or after it. The next process must break no
//! delivery rule with the state that it finds. The fault shim (`fault-shim/`) kills the process.

mod environment;

use environment::audit::{ClientExpectation, DeliveryAudit};
use environment::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// The maximum number of messages that are enqueued until the process is killed.
const MAX_MESSAGES: u32 = 30;
/// The number of messages that are pending when a handover begins.
const PENDING_MESSAGES: u32 = 6;
/// The seed of the successor's faults, which differs from the seeds of the predecessors'.
const SUCCESSOR_SEED: u64 = 1000;
/// The number of cases that run at the same time.
const CONCURRENT_CASES: usize = 8;

/// Runs a gateway that is killed at its nth call of a kind, starts the next one and audits the outcomes. `kill` is
/// `KILLED_BEFORE` or `KILLED_AFTER`. Returns whether the process was killed: it may end its work with fewer calls.
fn run_with_kill(call: SystemCall, kill: i32, nth: u32) -> bool {
    let case = format!("{call:?} {kill} at call {nth}");
    let mut environment = TestEnvironment::with_faults(2, u64::from(nth) + 1);
    // The disk is small, so that the journal is compacted.
    environment.disk_mb = 0.03;
    environment.latency_objective_secs = 3;
    let mut audit = DeliveryAudit::new(&environment);
    let mut gateway = environment.start();
    environment.fail(call, Fault::always(&[kill]).after(nth).times(1));
    for number in 0..MAX_MESSAGES {
        if gateway.has_ended() {
            break;
        }
        audit.enqueue(&gateway, &format!("m{number}"), number % 2 == 0, ClientExpectation::MayBeDisconnected);
        audit.observe(Duration::from_millis(10));
    }
    let was_killed = gateway.has_ended();
    drop(gateway);
    environment.faults().clear(call).unwrap();
    let gateway = environment.start();
    audit.enqueue(&gateway, "after", true, ClientExpectation::AreAnswered);
    audit.wait_for_outcomes(&case);
    assert!(!gateway.has_logged("it would break a delivery rule"), "{case}");
    was_killed
}

/// Kills a process at each of its first calls of a kind, once before the call or halfway through its bytes, and once
/// after it. At least half of the cases have to reach their kill.
fn kill_at_each(call: SystemCall, calls: u32) {
    let (next, killed) = (AtomicU32::new(0), AtomicU32::new(0));
    thread::scope(|cases| {
        for _ in 0..CONCURRENT_CASES {
            cases.spawn(|| loop {
                let nth = next.fetch_add(1, Ordering::SeqCst);
                if nth >= 2 * calls {
                    return;
                }
                let kill = if nth % 2 == 0 { SystemCall::KILLED_BEFORE } else { SystemCall::KILLED_AFTER };
                killed.fetch_add(u32::from(run_with_kill(call, kill, nth / 2)), Ordering::SeqCst);
            });
        }
    });
    assert!(killed.into_inner() >= calls, "{call:?}: too few processes were killed");
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

/// The process that is killed during a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    Predecessor,
    Successor,
}

/// Runs a handover in which one of the two processes is killed at its nth call of a kind, and audits the outcomes of
/// the process that is left. Returns whether the process was killed.
fn hand_over_with_kill(call: SystemCall, kill: i32, nth: u32, which: Killed) -> bool {
    let case = format!("{call:?} {kill} at call {nth} of the {which:?}");
    let mut environment = TestEnvironment::with_faults(2, u64::from(nth) + 1);
    environment.latency_objective_secs = 3;
    let mut audit = DeliveryAudit::new(&environment);
    let mut predecessor = environment.start();
    for number in 0..PENDING_MESSAGES {
        audit.enqueue(&predecessor, &format!("m{number}"), number % 2 == 0, ClientExpectation::AreAnswered);
    }
    let fault = Fault::always(&[kill]).after(nth).times(1);
    let faults_of_successor = environment.replace_faults(SUCCESSOR_SEED);
    let killed_page = match which {
        Killed::Predecessor => environment.faults(),
        Killed::Successor => &faults_of_successor,
    };
    killed_page.set(call, fault).unwrap();
    let mut successor = environment.start_process();
    let has_listened = successor.wait_until_listening_or_ended();
    killed_page.clear(call).unwrap();
    // Lets a kill that has started complete. The fault is cleared, so that no other one starts.
    thread::sleep(Duration::from_millis(50));
    let was_killed = killed_page.call_counts(call).unwrap().failures > 0;
    let has_ended = match which {
        Killed::Predecessor => predecessor.has_ended(),
        Killed::Successor => successor.has_ended(),
    };
    assert_eq!(was_killed, has_ended, "{case}");
    assert!(was_killed || has_listened, "{case}: the successor neither listens nor ends");
    if has_listened && !successor.has_ended() {
        if !predecessor.has_ended() {
            predecessor.send_sigterm();
        }
        let successor = successor.listening();
        audit.enqueue(&successor, "after", true, ClientExpectation::AreAnswered);
        audit.wait_for_outcomes(&case);
    } else {
        audit.enqueue(&predecessor, "after", true, ClientExpectation::AreAnswered);
        audit.wait_for_outcomes(&case);
    }
    was_killed
}

/// Kills one of the processes of a handover at each of its first calls of a kind, once before the call or halfway
/// through its bytes, and once after it. At least one case has to reach its kill.
fn kill_at_each_step(call: SystemCall, calls: u32, which: Killed) {
    let killed = AtomicU32::new(0);
    thread::scope(|cases| {
        for nth in 0..2 * calls {
            let killed = &killed;
            cases.spawn(move || {
                let kill = if nth % 2 == 0 { SystemCall::KILLED_BEFORE } else { SystemCall::KILLED_AFTER };
                killed
                    .fetch_add(u32::from(hand_over_with_kill(call, kill, nth / 2, which)), Ordering::SeqCst);
            });
        }
    });
    assert!(killed.into_inner() > 0, "{call:?}: no process was killed");
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
