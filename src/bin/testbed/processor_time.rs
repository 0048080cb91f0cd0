//! Measures the processor time of the calling thread.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Returns the processor time that the calling thread has used so far.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
}
