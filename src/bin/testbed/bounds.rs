//! What keeps a run inside its bounds while it goes on: time, memory, and being told to stop.

use crate::experiment::Bounds;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;

/// Counts every byte that this process has allocated.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes that are allocated now.
pub fn allocated() -> u64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

/// Why a size was not run, or not to its end.
#[derive(Clone, Debug, Error)]
pub enum NotRun {
    #[error("interrupted")]
    Interrupted,
    #[error("the time of the whole run was up")]
    Time,
    #[error("{used} MiB in use, over the bound of {bound} MiB")]
    Memory { used: u64, bound: u64 },
    #[error("destination {0} does not fit the module's destination numbers")]
    Destinations(u64),
    #[error("the work was not done: {done} messages delivered in {steps} steps")]
    Work { done: u64, steps: u64 },
    #[error("{0}")]
    Failed(String),
}

impl NotRun {
    pub fn failed(what: &str, error: impl std::fmt::Display) -> Self {
        NotRun::Failed(format!("{what}: {error}"))
    }
}

/// The bounds of a run that has begun.
#[derive(Clone)]
pub struct Guard {
    interrupted: Arc<AtomicBool>,
    end: Instant,
    memory: u64,
}

impl Guard {
    pub fn new(bounds: &Bounds, interrupted: Arc<AtomicBool>) -> Self {
        Guard { interrupted, end: Instant::now() + bounds.time(), memory: bounds.memory() }
    }

    /// Whether to go on; asked in every loop.
    pub fn check(&self) -> Result<(), NotRun> {
        self.check_with(0)
    }

    /// The same, with bytes that other processes take.
    pub fn check_with(&self, others: u64) -> Result<(), NotRun> {
        let used = allocated() + others;
        if self.is_interrupted() {
            Err(NotRun::Interrupted)
        } else if Instant::now() >= self.end {
            Err(NotRun::Time)
        } else if used > self.memory {
            Err(NotRun::Memory { used: used >> 20, bound: self.memory >> 20 })
        } else {
            Ok(())
        }
    }

    pub fn is_interrupted(&self) -> bool {
        self.interrupted.load(Ordering::SeqCst)
    }
}
