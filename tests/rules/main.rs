//! Tests of the scheduler's rules, each on a scheduler without sockets and with a simulated clock.

mod choice;
mod circuits;
#[path = "../common/mod.rs"]
mod common;
mod rate_limits;
mod retry;
mod watch;
