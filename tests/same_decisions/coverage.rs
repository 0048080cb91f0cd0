//! The judge of the histories: what they never reach is not compared, so each branch of the decisions and each event
//! below must be reached.

use super::reference;

/// What the histories of each seed must reach at least [`LEAST`] times.
const MUST_REACH: &[&str] = &[
    // Branches of the decisions, named and counted by the frozen reference.
    "attached again",
    "batch",
    "bulkhead",
    "called off",
    "closing holds",
    "cold return",
    "endpoint forgotten",
    "endpoint reopened",
    "failures open a spell",
    "idle connection closed",
    "key not in turn",
    "key rests",
    "leaving",
    "nearly full",
    "no room for a trial",
    "no slot",
    "no token",
    "outside the group",
    "ramp",
    "ramp over",
    "route forgotten",
    "send cap",
    "shed",
    "shut",
    "silence opens a spell",
    "stalled call",
    "told wait holds",
    "trial",
    "unsafe waits out losses",
    "waits for a cheaper route",
    "window over",
    "worth more than the least",
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
    "shutdown called off",
    "snapshot",
    "watch failed",
    "watch rejected",
];
const LEAST: u64 = 5;

/// Requires that the histories of this thread, which have this seed, reached everything often enough.
pub fn assert_all_reached(seed: u8) {
    let reached = reference::all_reached();
    // Shown with `--nocapture`.
    println!("seed {seed}: how often the histories reached each branch and event: {reached:?}");
    let missed: Vec<_> = MUST_REACH
        .iter()
        .map(|what| (what, reached.get(what).copied().unwrap_or(0)))
        .filter(|(_, times)| *times < LEAST)
        .collect();
    assert!(missed.is_empty(), "the histories reached these too rarely: {missed:?}");
}
