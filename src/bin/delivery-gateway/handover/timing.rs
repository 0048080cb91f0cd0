//! The timeouts of a handover. Both processes are on the same machine.

use std::time::Duration;

/// The maximum time to wait for an answer of the other process.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum time to wait for calls in flight before a handover to a process that cannot continue them. That process
/// must be ready within 6 s of its start.
pub const CALL_DRAIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// The maximum time that a process continues to send to the other one before it ends.
pub const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The time to wait after the other process has ended, until all its connections are closed.
pub const CLOSE_GRACE: Duration = Duration::from_millis(50);
/// The delay before a system call, or the attempt to become the owner, is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The delay before the attempt to listen for a successor is retried.
pub const LISTEN_RETRY_DELAY: Duration = Duration::from_secs(1);
