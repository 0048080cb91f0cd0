//! The gateway's two time scales, and their conversion.
//!
//! Scheduler time ([`Time`]) is the time that the scheduler uses within one process. Journal time is the time in the
//! journal, in Unix milliseconds, and continues from one process to the next. It starts from the wall clock when the
//! journal is created. It then follows the machine's monotonic clock, so that deadlines and idempotency windows keep
//! their length when the wall clock is stepped. After a boot of the machine, which resets the monotonic clock, it
//! starts from the wall clock again.

use delivery_gateway::Time;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use tracing::{debug, warn};

use crate::journal::ClockReading;

/// The scheduler time when the clock starts. It is not 0, because a journal may hold earlier times.
const SCHEDULER_EPOCH: Time = Time(1_000_000_000_000_000);
/// The file with the id that Linux gives to each boot of a machine.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// The difference between the wall clock and journal time above which the wall clock counts as stepped.
const STEP_THRESHOLD: Duration = Duration::from_secs(1);

/// The clock of this process.
pub struct Clock {
    /// The moment at which scheduler time was [`SCHEDULER_EPOCH`].
    start: Instant,
    /// The journal time at `start`.
    start_ms: u64,
    boot_id: String,
}

impl Clock {
    /// Creates a clock whose journal time continues from the journal's last reading if that was taken since the
    /// machine's boot, otherwise from the wall clock.
    pub fn new(last: Option<&ClockReading>) -> Self {
        // On a machine without a boot id, each boot has the same empty id.
        let boot_id = std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default();
        let wall_ms = wall_clock_ms();
        let continued = last.and_then(|last| {
            let elapsed = elapsed_since(last, &boot_id)?;
            Some(last.journal_ms + as_ms(elapsed))
        });
        let journal_ms = continued.unwrap_or(wall_ms);
        debug!(continued = continued.is_some(), wall_ms, journal_ms, "journal time started");
        if wall_ms.abs_diff(journal_ms) > as_ms(STEP_THRESHOLD) {
            warn!(wall_ms, journal_ms, "the wall clock was stepped: journal time does not follow it");
        }
        Clock { start: Instant::now(), start_ms: journal_ms, boot_id }
    }

    /// Continues the clock of another process. `elapsed` is the time from the start of that clock to the reading.
    pub fn resumed(elapsed: Duration, reading: ClockReading) -> Self {
        let since_reading = elapsed_since(&reading, &reading.boot_id).unwrap_or_default();
        let now = Instant::now();
        let start = now.checked_sub(elapsed + since_reading).unwrap_or(now);
        let start_ms = reading.journal_ms.saturating_sub(as_ms(elapsed));
        Clock { start, start_ms, boot_id: reading.boot_id }
    }

    /// Returns whether journal time continues from a reading. It does if the reading is of the current boot.
    pub fn continues(&self, reading: &ClockReading) -> bool {
        elapsed_since(reading, &self.boot_id).is_some()
    }

    /// Returns a reading from which the next process can continue journal time.
    pub fn reading(&self) -> ClockReading {
        let journal_ms = self.start_ms + as_ms(self.start.elapsed());
        ClockReading { boot_id: self.boot_id.clone(), monotonic: monotonic_clock(), journal_ms }
    }

    /// Returns the time since the clock's start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the current scheduler time.
    pub fn now(&self) -> Time {
        SCHEDULER_EPOCH + self.start.elapsed()
    }

    /// Converts scheduler time to an instant of the runtime's timers.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + (at - SCHEDULER_EPOCH)
    }

    /// Converts scheduler time to journal time.
    pub fn journal_ms(&self, at: Time) -> u64 {
        if at >= SCHEDULER_EPOCH {
            self.start_ms + as_ms(at - SCHEDULER_EPOCH)
        } else {
            self.start_ms.saturating_sub(as_ms(SCHEDULER_EPOCH - at))
        }
    }

    /// Converts journal time to scheduler time.
    pub fn scheduler_time(&self, journal_ms: u64) -> Time {
        if journal_ms >= self.start_ms {
            SCHEDULER_EPOCH + Duration::from_millis(journal_ms - self.start_ms)
        } else {
            SCHEDULER_EPOCH - Duration::from_millis(self.start_ms - journal_ms)
        }
    }
}

/// Returns the time since a reading. None if the machine has booted since.
fn elapsed_since(reading: &ClockReading, boot_id: &str) -> Option<Duration> {
    monotonic_clock().checked_sub(reading.monotonic).filter(|_| reading.boot_id == boot_id)
}

/// Returns the time of the machine's monotonic clock, which all processes share.
fn monotonic_clock() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Returns the wall clock in Unix milliseconds. 0 before 1970.
fn wall_clock_ms() -> u64 {
    as_ms(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
