//! Checks a run against its bounds of time and memory, and for interruption by a signal. Owns the counting allocator.

use crate::experiment::Bounds;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;

/// Counts the bytes that this process allocates.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns the number of bytes that this process has currently allocated.
pub fn allocated() -> u64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

/// The reason why a size was not run or not completed. The run continues with the next size.
#[derive(Clone, Debug, Error)]
pub enum NotRun {
    /// A signal has interrupted the run.
    #[error("interrupted")]
    Interrupted,
    /// The run has reached its maximum time.
    #[error("the time of the whole run was up")]
    Time,
    /// The run has exceeded its memory bound. Both values are in MiB.
    #[error("{used} MiB in use, over the bound of {bound} MiB")]
    Memory { used: u64, bound: u64 },
    /// The size needs a destination number that does not fit the type of destination numbers.
    #[error("destination {0} does not fit the scheduler's destination numbers")]
    Destinations(u64),
    /// The steps delivered too few messages, so that their cost is not the cost to be measured.
    #[error("the work was not done: {done} messages delivered in {steps} steps")]
    Work { done: u64, steps: u64 },
    /// Something that the size needs has failed. The text names the failure and its cause.
    #[error("{0}")]
    Failed(String),
}

impl NotRun {
    /// Returns [`NotRun::Failed`] with a description of the failure, and the error that caused it.
    pub fn failed(failure: &str, error: impl std::fmt::Display) -> Self {
        NotRun::Failed(format!("{failure}: {error}"))
    }
}

/// The bounds of a run that has begun. All sweeps check them repeatedly.
#[derive(Clone)]
pub struct RunBounds {
    interrupted: Arc<AtomicBool>,
    end: Instant,
    memory_bytes: u64,
}

impl RunBounds {
    /// Returns the bounds of a run that begins now. `interrupted` is set by signals.
    pub fn new(bounds: &Bounds, interrupted: Arc<AtomicBool>) -> Self {
        RunBounds { interrupted, end: Instant::now() + bounds.time(), memory_bytes: bounds.memory_bytes() }
    }

    /// Checks whether the run may continue.
    ///
    /// # Errors
    /// Returns [`NotRun::Interrupted`], [`NotRun::Time`] or [`NotRun::Memory`].
    pub fn check(&self) -> Result<(), NotRun> {
        self.check_with(0)
    }

    /// Checks whether the run may continue, and counts `other_bytes` of other processes towards the memory bound.
    ///
    /// # Errors
    /// Returns the errors of [`RunBounds::check`].
    pub fn check_with(&self, other_bytes: u64) -> Result<(), NotRun> {
        let used = allocated() + other_bytes;
        if self.is_interrupted() {
            Err(NotRun::Interrupted)
        } else if Instant::now() >= self.end {
            Err(NotRun::Time)
        } else if used > self.memory_bytes {
            Err(NotRun::Memory { used: used >> 20, bound: self.memory_bytes >> 20 })
        } else {
            Ok(())
        }
    }

    /// Returns whether a signal has interrupted the run.
    pub fn is_interrupted(&self) -> bool {
        self.interrupted.load(Ordering::SeqCst)
    }
}
