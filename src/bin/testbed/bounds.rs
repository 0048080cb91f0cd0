//! Keeps a run inside its bounds of time and memory, and ends it when it is interrupted. It owns the counting allocator.

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

/// Bytes that this process has allocated now.
pub fn allocated() -> u64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

/// Why a size was not run, or not completed. The run goes on with the next size.
#[derive(Clone, Debug, Error)]
pub enum NotRun {
    /// A signal has ended the run.
    #[error("interrupted")]
    Interrupted,
    /// The run has reached its longest time.
    #[error("the time of the whole run was up")]
    Time,
    /// The run has reached its memory bound, in MiB.
    #[error("{used} MiB in use, over the bound of {bound} MiB")]
    Memory { used: u64, bound: u64 },
    /// The size needs more destinations than there are numbers.
    #[error("destination {0} does not fit the scheduler's destination numbers")]
    Destinations(u64),
    /// The steps did not do what they are measured for.
    #[error("the work was not done: {done} messages delivered in {steps} steps")]
    Work { done: u64, steps: u64 },
    /// Something that the size needs has failed; with what, and why.
    #[error("{0}")]
    Failed(String),
}

impl NotRun {
    /// What has failed, and why.
    pub fn failed(what: &str, error: impl std::fmt::Display) -> Self {
        NotRun::Failed(format!("{what}: {error}"))
    }
}

/// The bounds of a run.
#[derive(Clone)]
pub struct Guard {
    interrupted: Arc<AtomicBool>,
    end: Instant,
    memory_bytes: u64,
}

impl Guard {
    /// The bounds of a run that begins now; `interrupted` is set by signals.
    pub fn new(bounds: &Bounds, interrupted: Arc<AtomicBool>) -> Self {
        Guard { interrupted, end: Instant::now() + bounds.time(), memory_bytes: bounds.memory() }
    }

    /// Whether to go on; every loop asks.
    ///
    /// # Errors
    /// [`NotRun::Interrupted`], [`NotRun::Time`] or [`NotRun::Memory`].
    pub fn check(&self) -> Result<(), NotRun> {
        self.check_with(0)
    }

    /// The same, with bytes that other processes use.
    ///
    /// # Errors
    /// As those of [`Guard::check`].
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

    /// Whether a signal has ended the run.
    pub fn is_interrupted(&self) -> bool {
        self.interrupted.load(Ordering::SeqCst)
    }
}
