//! Tests of what the scheduler guarantees for a whole fleet or across restarts. They run the scheduler alone, without
//! sockets and with a simulated clock.

#[path = "../common/mod.rs"]
mod common;
mod fleet_recovery;
mod idempotency_window;
mod restart;
mod watch;
