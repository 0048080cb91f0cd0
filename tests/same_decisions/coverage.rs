//! Requires that the histories reach each branch of the decisions and each event listed below: what no history reaches
//! is not compared.

use super::reference;

/// Branches and events that the histories of each seed must reach at least [`MIN_TIMES_REACHED`] times.
const MUST_REACH: &[&str] = &[
    // Branches of the decisions, counted by the reference (`tests/reference/scheduler.rs`).
    "attempt limit",
    "batch",
    "bulkhead",
    "call cancelled",
    "endpoint deleted",
    "endpoint enabled again",
    "endpoint reopened",
    "failures open the circuit",
    "half-open probe",
    "idle connection closed",
    "lame duck rejects",
    "may not be sent again",
    "message shed",
    "missing response opens the circuit",
    "more valuable than the least",
    "nearly full",
    "no slot",
    "no slot for a probe",
    "no token",
    "non-idempotent message waits out losses",
    "ordering key held",
    "ordering key not in turn",
    "outside the deduplication scope",
    "Retry-After pending",
    "return announced",
    "route deleted",
    "shutdown pending",
    "slow start",
    "slow start begins",
    "slow start over",
    "unresponsive call",
    "waits for a cheaper route",
    // Events and moments, counted by the simulation.
    "at the end of a Retry-After",
    "at the timer",
    "circuit restored",
    "endpoint back under a new id",
    "endpoint disabled",
    "endpoint drained",
    "endpoint removed",
    "handover",
    "just after the end of a Retry-After",
    "just after the timer",
    "just before the end of a Retry-After",
    "just before the timer",
    "lame duck",
    "load report",
    "long Retry-After",
    "long queue",
    "message abandoned",
    "message restored",
    "outcome AttemptsExhausted",
    "outcome Cancelled",
    "outcome ConnectFailed",
    "outcome Delivered",
    "outcome ErrorResponse",
    "outcome LocalFailure",
    "outcome MalformedResponse",
    "outcome NotSent",
    "outcome Rejected",
    "outcome Reset",
    "outcome Timeout",
    "outcome TooManyConnections",
    "outcome acknowledged",
    "restart",
    "Retry-After of a delivery",
    "short Retry-After",
    "shutdown cancelled",
    "snapshot",
    "watch failed",
    "watch rejected",
];
const MIN_TIMES_REACHED: u64 = 5;

/// Panics unless the histories of this thread, which have this seed, reached everything often enough.
pub fn assert_all_reached(seed: u8) {
    let reached = reference::all_reached();
    // Shown with `--nocapture`.
    println!("seed {seed}: how often the histories reached each branch and event: {reached:?}");
    let missed: Vec<_> = MUST_REACH
        .iter()
        .map(|name| (name, reached.get(name).copied().unwrap_or(0)))
        .filter(|(_, times)| *times < MIN_TIMES_REACHED)
        .collect();
    assert!(missed.is_empty(), "the histories reached these too rarely: {missed:?}");
}
