//! The courier's clock: the decision module's time inside a process, and the journal's time, which goes on from one
//! process to the next.
//!
//! Journal time is in Unix milliseconds, and was the wall clock's when the journal began. From then on it follows the
//! machine's monotonic clock, so that deadlines and windows stay spans of real time when the wall clock is stepped.
//! Only after a start of the machine, over which no monotonic clock goes on, does it begin anew from the wall clock.

use delivery_gateway::Time;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use tracing::{debug, warn};

use crate::journal::ClockReading;

/// The module's clock at the start; times before the start are told to it after a restart.
const EPOCH: Time = Time(1_000_000_000_000_000);
/// Where Linux tells one start of a machine from the next.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// A wall clock that differs by more than this from journal time was stepped.
const STEPPED: Duration = Duration::from_secs(1);

/// The clock of this process.
pub struct Clock {
    /// When the module's clock said [`EPOCH`].
    start: Instant,
    /// Journal time then.
    start_ms: u64,
    boot: String,
}

impl Clock {
    /// Goes on from the last reading in the journal, if that was taken since the machine's start.
    pub fn new(last: Option<&ClockReading>) -> Self {
        let boot = std::fs::read_to_string(BOOT_ID).unwrap_or_default();
        let wall_ms = wall_ms();
        let since = last.and_then(|last| Some(last.journal_ms + as_ms(elapsed_since(last, &boot)?)));
        let start_ms = since.unwrap_or(wall_ms);
        debug!(goes_on = since.is_some(), wall_ms, journal_ms = start_ms, "journal time");
        if wall_ms.abs_diff(start_ms) > as_ms(STEPPED) {
            warn!(wall_ms, journal_ms = start_ms, "the wall clock was stepped: time goes on as before");
        }
        Clock { start: Instant::now(), start_ms, boot }
    }

    /// Goes on with the clock of another process, whose module had been told so much time when it was read.
    pub fn resumed(passed: Duration, reading: ClockReading) -> Self {
        let since = elapsed_since(&reading, &reading.boot).unwrap_or_default();
        let now = Instant::now();
        let start = now.checked_sub(passed + since).unwrap_or(now);
        Clock { start, start_ms: reading.journal_ms.saturating_sub(as_ms(passed)), boot: reading.boot }
    }

    /// Whether this clock goes on from a reading.
    pub fn continues(&self, reading: &ClockReading) -> bool {
        elapsed_since(reading, &self.boot).is_some()
    }

    /// What the next process needs to go on.
    pub fn reading(&self) -> ClockReading {
        let journal_ms = self.start_ms + as_ms(self.start.elapsed());
        ClockReading { boot: self.boot.clone(), monotonic: monotonic(), journal_ms }
    }

    /// Time since the module's clock began.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// What the module's clock says.
    pub fn now(&self) -> Time {
        EPOCH + self.start.elapsed()
    }

    /// When the module's clock says this.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + (at - EPOCH)
    }

    /// Journal time, in milliseconds, of the module's.
    pub fn journal_ms(&self, at: Time) -> u64 {
        if at >= EPOCH {
            self.start_ms + as_ms(at - EPOCH)
        } else {
            self.start_ms.saturating_sub(as_ms(EPOCH - at))
        }
    }

    /// The module's time of the journal's.
    pub fn scheduler_time(&self, ms: u64) -> Time {
        if ms >= self.start_ms {
            EPOCH + Duration::from_millis(ms - self.start_ms)
        } else {
            EPOCH - Duration::from_millis(self.start_ms - ms)
        }
    }
}

/// Real time since a reading; none if the machine was started since.
fn elapsed_since(reading: &ClockReading, boot: &str) -> Option<Duration> {
    monotonic().checked_sub(reading.monotonic).filter(|_| reading.boot == boot)
}

/// The machine's monotonic clock, which all its processes share.
fn monotonic() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

fn wall_ms() -> u64 {
    as_ms(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn as_ms(span: Duration) -> u64 {
    span.as_millis() as u64
}
