//! The gateway's two time scales, and how they are translated.
//!
//! Scheduler time ([`Time`]) is what the scheduler is given inside one process. Journal time is what the journal holds,
//! in Unix milliseconds, and continues from one process to the next. It was the wall clock's when the journal began.
//! From then on it follows the machine's monotonic clock, so that deadlines and windows stay spans of real time when
//! the wall clock is stepped. Only after a boot of the machine, which no monotonic clock outlasts, does it start again
//! from the wall clock.

use delivery_gateway::Time;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use tracing::{debug, warn};

use crate::journal::ClockReading;

/// Scheduler time when the clock starts. It leaves room for times before, which a journal may hold.
const SCHEDULER_EPOCH: Time = Time(1_000_000_000_000_000);
/// Where Linux gives each boot of a machine an id.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// A wall clock that differs by more than this from journal time was stepped.
const STEP_THRESHOLD: Duration = Duration::from_secs(1);

/// The clock of this process.
pub struct Clock {
    /// When scheduler time was [`SCHEDULER_EPOCH`].
    start: Instant,
    /// Journal time then, in milliseconds.
    start_ms: u64,
    boot_id: String,
}

impl Clock {
    /// Continues from the last reading in the journal if that was taken since the machine's boot, else from the wall
    /// clock.
    pub fn new(last: Option<&ClockReading>) -> Self {
        // A machine that tells no boot id has the same one, the empty one, at each boot.
        let boot_id = std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default();
        let wall_ms = wall_clock_ms();
        let continued = last.and_then(|last| {
            let elapsed = elapsed_since(last, &boot_id)?;
            Some(last.journal_ms + as_ms(elapsed))
        });
        let journal_ms = continued.unwrap_or(wall_ms);
        debug!(continued = continued.is_some(), wall_ms, journal_ms, "journal time starts");
        if wall_ms.abs_diff(journal_ms) > as_ms(STEP_THRESHOLD) {
            warn!(wall_ms, journal_ms, "the wall clock was stepped: journal time does not follow it");
        }
        Clock { start: Instant::now(), start_ms: journal_ms, boot_id }
    }

    /// Continues the clock of another process, whose scheduler time was `elapsed` after its start at the reading.
    pub fn resumed(elapsed: Duration, reading: ClockReading) -> Self {
        let since_reading = elapsed_since(&reading, &reading.boot_id).unwrap_or_default();
        let now = Instant::now();
        let start = now.checked_sub(elapsed + since_reading).unwrap_or(now);
        let start_ms = reading.journal_ms.saturating_sub(as_ms(elapsed));
        Clock { start, start_ms, boot_id: reading.boot_id }
    }

    /// Whether journal time was continued from a reading: it is of this boot.
    pub fn continues(&self, reading: &ClockReading) -> bool {
        elapsed_since(reading, &self.boot_id).is_some()
    }

    /// What the next process continues journal time from.
    pub fn reading(&self) -> ClockReading {
        let journal_ms = self.start_ms + as_ms(self.start.elapsed());
        ClockReading { boot_id: self.boot_id.clone(), monotonic: monotonic_clock(), journal_ms }
    }

    /// Scheduler time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Scheduler time now.
    pub fn now(&self) -> Time {
        SCHEDULER_EPOCH + self.start.elapsed()
    }

    /// When it is this scheduler time, for the runtime's timers.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + (at - SCHEDULER_EPOCH)
    }

    /// The journal time, in milliseconds, of a scheduler time.
    pub fn journal_ms(&self, at: Time) -> u64 {
        if at >= SCHEDULER_EPOCH {
            self.start_ms + as_ms(at - SCHEDULER_EPOCH)
        } else {
            self.start_ms.saturating_sub(as_ms(SCHEDULER_EPOCH - at))
        }
    }

    /// The scheduler time of a journal time in milliseconds.
    pub fn scheduler_time(&self, journal_ms: u64) -> Time {
        if journal_ms >= self.start_ms {
            SCHEDULER_EPOCH + Duration::from_millis(journal_ms - self.start_ms)
        } else {
            SCHEDULER_EPOCH - Duration::from_millis(self.start_ms - journal_ms)
        }
    }
}

/// Real time since a reading; none if the machine has booted since.
fn elapsed_since(reading: &ClockReading, boot_id: &str) -> Option<Duration> {
    monotonic_clock().checked_sub(reading.monotonic).filter(|_| reading.boot_id == boot_id)
}

/// The machine's monotonic clock, which all its processes share.
fn monotonic_clock() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// The wall clock, in Unix milliseconds; zero before 1970.
fn wall_clock_ms() -> u64 {
    as_ms(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn as_ms(span: Duration) -> u64 {
    span.as_millis() as u64
}
