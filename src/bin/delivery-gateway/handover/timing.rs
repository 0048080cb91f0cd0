//! The timeouts of a handover. Both processes are on the same machine.

use std::time::Duration;

/// The maximum time to wait for a message of the other process: its request for the handover, or the answer to it.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum time to wait for calls in flight before a handover to a process that cannot continue them. That process
/// must be ready within 6 s of its start.
pub const CALL_DRAIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// The maximum time to write the remaining messages to the other process, and to wait for the end of calls that were
/// aborted at the exit deadline.
pub const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The time to wait after the connection to the other process has ended, so that the system has closed all connections
/// of that process.
pub const CLOSE_GRACE: Duration = Duration::from_millis(50);
/// The delay before a system call, or the attempt to become the owner, is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The delay before the attempt to listen for a successor is retried.
pub const LISTEN_RETRY_DELAY: Duration = Duration::from_secs(1);
