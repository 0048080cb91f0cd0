//! How long the two processes of a handover wait for each other. Both are on this machine.

use std::time::Duration;

/// The other process answers within this time, or not at all.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long calls may take to finish before a handover to a process that cannot continue them. That process must be
/// ready within 6 s of its start.
pub const CALL_DRAIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a process that ends may go on sending to the other one.
pub const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// From the end of the other process until all its connections are closed.
pub const CLOSE_GRACE: Duration = Duration::from_millis(50);
/// Between two tries of a system call, or of becoming the owner.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Between two tries to listen for a successor.
pub const LISTEN_RETRY_DELAY: Duration = Duration::from_secs(1);
