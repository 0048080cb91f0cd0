//! The scheduler's rules, one or more tests for each, on the scheduler alone.

mod choice;
mod circuits;
#[path = "../common/mod.rs"]
mod common;
mod rate_limits;
mod retry;
mod watch;
