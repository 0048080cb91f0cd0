//! A process may be killed at any write to its journal or to a peer, at the rename of a compaction, and during a
//! handover also at any read from the other process. The process that continues must break no delivery rule with the
//! state that it finds. The fault shim (`fault-shim/`) kills the process.

mod environment;

use environment::audit::{ClientExpectation, DeliveryAudit};
use environment::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// The maximum number of messages that are enqueued until the process is killed.
const MAX_MESSAGES: u32 = 30;
/// The number of messages that are enqueued before a handover begins.
const MESSAGES_BEFORE_HANDOVER: u32 = 6;
/// The seed of the successor's faults. It also names the file of the fault page, so that it has to differ from the
/// seeds of the predecessors.
const SUCCESSOR_SEED: u64 = 1000;
/// The number of cases that run at the same time.
const CONCURRENT_CASES: usize = 8;

/// Runs a gateway that is killed at a call of a kind, starts the next one and audits the outcomes. `kill` is
/// `KILLED_BEFORE` or `KILLED_AFTER`. `nth` is the number of the call, counted from 0 since the gateway listens.
/// Returns whether the process was killed: it may end its work with fewer calls.
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
    audit.enqueue(&gateway, "after", true, ClientExpectation::MustBeAnswered);
    audit.wait_for_outcomes(&case);
    assert!(
        !gateway.has_logged("it would break a delivery rule"),
        "{case}: the gateway withheld an attempt that would break a delivery rule"
    );
    was_killed
}

/// Kills a process at each of its first `calls` calls of a kind: once with `KILLED_BEFORE`, before the call or, for
/// writes that the shim can split, after half of their bytes, and once with `KILLED_AFTER`. At least half of the cases
/// have to reach their kill.
fn kill_at_each_call(call: SystemCall, calls: u32) {
    let (next_case, killed) = (AtomicU32::new(0), AtomicU32::new(0));
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_CASES {
            scope.spawn(|| loop {
                let case = next_case.fetch_add(1, Ordering::SeqCst);
                if case >= 2 * calls {
                    return;
                }
                let kill = if case % 2 == 0 { SystemCall::KILLED_BEFORE } else { SystemCall::KILLED_AFTER };
                killed.fetch_add(u32::from(run_with_kill(call, kill, case / 2)), Ordering::SeqCst);
            });
        }
    });
    assert!(killed.into_inner() >= calls, "{call:?}: fewer than {calls} processes were killed");
}

#[test]
fn a_kill_at_any_write_of_the_journal_breaks_no_rule() {
    kill_at_each_call(SystemCall::StateWrite, 60);
}

#[test]
fn a_kill_around_a_compaction_breaks_no_rule() {
    kill_at_each_call(SystemCall::StateRename, 1);
}

#[test]
fn a_kill_at_any_write_to_a_peer_breaks_no_rule() {
    kill_at_each_call(SystemCall::TcpWrite, 30);
}

/// One of the two processes of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HandoverSide {
    Predecessor,
    Successor,
}

/// Runs a handover in which one of the two processes is killed at a call of a kind, and audits the outcomes of the
/// process that remains, which is the successor if neither was killed. `nth` is the number of the call, counted from 0
/// since just before the successor starts. Returns whether the process was killed.
fn hand_over_with_kill(call: SystemCall, kill: i32, nth: u32, killed: HandoverSide) -> bool {
    let case = format!("{call:?} {kill} at call {nth} of the {killed:?}");
    let mut environment = TestEnvironment::with_faults(2, u64::from(nth) + 1);
    environment.latency_objective_secs = 3;
    let mut audit = DeliveryAudit::new(&environment);
    let mut predecessor = environment.start();
    for number in 0..MESSAGES_BEFORE_HANDOVER {
        audit.enqueue(
            &predecessor,
            &format!("m{number}"),
            number % 2 == 0,
            ClientExpectation::MustBeAnswered,
        );
    }
    let fault = Fault::always(&[kill]).after(nth).times(1);
    let faults_of_successor = environment.replace_faults(SUCCESSOR_SEED);
    let faults_of_killed = match killed {
        HandoverSide::Predecessor => environment.faults(),
        HandoverSide::Successor => &faults_of_successor,
    };
    faults_of_killed.set(call, fault).unwrap();
    let mut successor = environment.start_process();
    let has_listened = successor.wait_until_listening_or_ended();
    faults_of_killed.clear(call).unwrap();
    // A kill that the shim decided on before the fault was cleared may still be in progress.
    thread::sleep(Duration::from_millis(50));
    let was_killed = faults_of_killed.call_counts(call).unwrap().failures > 0;
    let has_ended = match killed {
        HandoverSide::Predecessor => predecessor.has_ended(),
        HandoverSide::Successor => successor.has_ended(),
    };
    assert_eq!(
        was_killed, has_ended,
        "{case}: the shim's count and the process differ on whether it was killed"
    );
    assert!(was_killed || has_listened, "{case}: no process was killed, but the successor has not listened");
    if has_listened && !successor.has_ended() {
        if !predecessor.has_ended() {
            predecessor.send_sigterm();
        }
        let successor = successor.listening();
        audit.enqueue(&successor, "after", true, ClientExpectation::MustBeAnswered);
        audit.wait_for_outcomes(&case);
    } else {
        audit.enqueue(&predecessor, "after", true, ClientExpectation::MustBeAnswered);
        audit.wait_for_outcomes(&case);
    }
    was_killed
}

/// Kills one of the processes of a handover at each of its first `calls` calls of a kind, with `KILLED_BEFORE` and
/// `KILLED_AFTER` as in [`kill_at_each_call`]. At least one case has to reach its kill.
fn kill_at_each_handover_call(call: SystemCall, calls: u32, killed: HandoverSide) {
    let kills = AtomicU32::new(0);
    thread::scope(|scope| {
        for case in 0..2 * calls {
            let kills = &kills;
            scope.spawn(move || {
                let kill = if case % 2 == 0 { SystemCall::KILLED_BEFORE } else { SystemCall::KILLED_AFTER };
                kills.fetch_add(
                    u32::from(hand_over_with_kill(call, kill, case / 2, killed)),
                    Ordering::SeqCst,
                );
            });
        }
    });
    assert!(kills.into_inner() > 0, "{call:?}: no {killed:?} was killed");
}

#[test]
fn a_kill_of_the_successor_during_a_handover_breaks_no_rule() {
    for (call, calls) in [(SystemCall::UnixRead, 3), (SystemCall::UnixWrite, 2)] {
        kill_at_each_handover_call(call, calls, HandoverSide::Successor);
    }
}

#[test]
fn a_kill_of_the_predecessor_during_a_handover_breaks_no_rule() {
    for (call, calls) in [(SystemCall::UnixRead, 3), (SystemCall::UnixWrite, 2), (SystemCall::TcpWrite, 4)] {
        kill_at_each_handover_call(call, calls, HandoverSide::Predecessor);
    }
}
