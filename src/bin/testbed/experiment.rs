//! The experiment's file: what it may say, and what is wrong with it, by file, line and remedy. Starts nothing.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// Least number of sizes of a sweep: fewer show no growth.
const LEAST_SIZES: usize = 4;
/// No experiment starts more processes at a time.
const MOST_PROCESSES: u64 = 300;
/// This process and the one courier that it starts at a time.
const PROCESSES: u64 = 2;
/// Nor runs for longer.
const MOST_TIME_S: u64 = 1800;

/// What is wrong with an experiment, and what to do about it.
#[derive(Debug, Error)]
pub enum ExperimentError {
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("{path}:{line}: {what}")]
    Wrong { path: PathBuf, line: usize, what: String },
    #[error("--only {asked}: the file has no such sweep; it has {known}")]
    NoSweep { asked: String, known: String },
    #[error("the courier's binary {0} is missing; build it first: cargo build --release --locked")]
    NoCourier(PathBuf),
    #[error("the machine's memory cannot be told: {0}")]
    Machine(String),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The one source of chance.
    pub seed: u64,
    pub bounds: Bounds,
    pub work: Work,
    pub discovery: Discovery,
    pub target: Target,
    pub sweep: Vec<Sweep>,
}

/// What the run may use at most.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Of this process and all that it starts, in MiB; half of the machine's at most.
    pub memory_mb: Spanned<u64>,
    /// Processes at a time, this one included.
    pub processes: Spanned<u64>,
    /// All of it ends within this time; what was not begun by then counts as not run.
    pub time_s: Spanned<u64>,
}

/// How a step is measured, and what the endpoints of the script do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Times that all sizes are gone through; the median of them counts.
    pub rounds: Spanned<u64>,
    /// Steps that one size is measured for in a round, at most ...
    pub steps: Spanned<u64>,
    /// ... and as long as they take no more than this.
    pub block_ms: Spanned<u64>,
    /// From a call to its answer ...
    pub latency_ms: Spanned<u64>,
    /// ... and up to so much longer, by chance.
    pub jitter_ms: u64,
    /// From a call to the refusal of a connection by an endpoint that is down.
    pub down_ms: Spanned<u64>,
    /// Calls a second that an endpoint takes from this courier before it answers 503; no limit if absent.
    pub limit_per_s: Option<f64>,
}

/// The discovery that couriers watch.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Entries of its list.
    pub entries: Spanned<u64>,
    /// Watches that it can answer a second when all come back at once; it refuses others.
    pub watches_per_s: Spanned<u64>,
}

/// The size to build towards, over all couriers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub couriers: f64,
    pub events_per_s: f64,
    pub destinations: f64,
    /// Share of the destinations that is down at any time.
    pub down_share: f64,
    pub endpoints: f64,
    /// Messages held.
    pub backlog: f64,
    pub changes_per_day: f64,
    /// Within this time a change has to be in force everywhere.
    pub in_force_s: f64,
    pub restarts_per_day: f64,
    /// Within this time a restarted courier has to be ready.
    pub ready_s: f64,
    /// What a courier may spend on control: share of a core, MB, bytes a second.
    pub control_core_share: f64,
    pub control_memory_mb: f64,
    pub control_bytes_per_s: f64,
}

impl Target {
    /// Processor time for one event, in nanoseconds: each courier has one core.
    pub fn event_ns(&self) -> f64 {
        self.couriers / self.events_per_s * 1e9
    }

    /// Processor time that a courier's share for control leaves for one change, in nanoseconds.
    pub fn change_ns(&self) -> f64 {
        self.control_core_share / (self.changes_per_day / 86_400.0) * 1e9
    }

    /// The size of a sweep that one courier has to bear, where any courier may get any destination.
    pub fn size(&self, kind: Kind) -> f64 {
        match kind {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => self.endpoints,
            // Those that are down are the ones that keep a queue.
            Kind::QueuesToldWait | Kind::QueuesTokenBucket | Kind::Down => {
                self.destinations * self.down_share
            }
            Kind::HeldSpread | Kind::HeldAtOne | Kind::Journal => self.backlog / self.couriers,
            // Each answered after the 40 ms of the script.
            Kind::CallsOut => self.events_per_s / self.couriers * 0.04,
            Kind::Watchers | Kind::WatchersReturn => self.couriers,
        }
    }
}

/// What is swept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Endpoints known.
    Endpoints,
    /// The same, with 2,000 destinations that wait and 10,000 messages held to 65,536 endpoints.
    Loaded,
    /// Destinations with a message that waits on a told wait.
    QueuesToldWait,
    /// Destinations with a message that waits on the token bucket.
    QueuesTokenBucket,
    /// Destinations whose circuit is open, a tenth of them with a message that waits.
    Down,
    /// Messages held, at a thousand destinations.
    HeldSpread,
    /// Messages held, all at the destination that is being sent to.
    HeldAtOne,
    /// Calls out.
    CallsOut,
    /// Endpoints on the list of which one entry changes.
    ListChange,
    /// Couriers that watch one discovery.
    Watchers,
    /// The same, when all come back at once.
    WatchersReturn,
    /// Messages that a real courier's journal holds as it starts.
    Journal,
}

impl Kind {
    /// Bytes of memory that one unit may take, generously; for the bound alone.
    fn bytes_a_unit(self) -> u64 {
        match self {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => 4_000,
            Kind::QueuesToldWait | Kind::QueuesTokenBucket | Kind::Down => 3_000,
            Kind::HeldSpread | Kind::HeldAtOne => 1_000,
            Kind::CallsOut => 4_000,
            Kind::Watchers | Kind::WatchersReturn => 200_000,
            // A message in the real courier, its journal's file, and the stand-in's record of it.
            Kind::Journal => 4_000,
        }
    }

    /// Whether real couriers are started.
    pub fn is_real(self) -> bool {
        self == Kind::Journal
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The same word as in the file.
        self.serialize(f)
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    pub kind: Spanned<Kind>,
    /// In rising order.
    pub sizes: Vec<Spanned<u64>>,
}

impl Sweep {
    pub fn kind(&self) -> Kind {
        *self.kind.get_ref()
    }

    /// Bytes that all its sizes take together: those of the module are measured side by side.
    pub fn estimate(&self) -> u64 {
        let units: u64 = self.sizes.iter().fold(0, |sum, size| sum.saturating_add(*size.get_ref()));
        units.saturating_mul(self.kind().bytes_a_unit())
    }
}

impl Work {
    pub fn latency(&self) -> Duration {
        Duration::from_millis(*self.latency_ms.get_ref())
    }

    pub fn longest_latency(&self) -> Duration {
        self.latency() + Duration::from_millis(self.jitter_ms)
    }

    pub fn block(&self) -> Duration {
        Duration::from_millis(*self.block_ms.get_ref())
    }
}

impl Bounds {
    pub fn memory(&self) -> u64 {
        self.memory_mb.get_ref().saturating_mul(1 << 20)
    }

    pub fn time(&self) -> Duration {
        Duration::from_secs(*self.time_s.get_ref())
    }
}

/// Places in the text, for errors.
struct Source<'a> {
    path: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    fn wrong(&self, at: Option<Range<usize>>, what: impl Into<String>) -> ExperimentError {
        let start = at.map_or(0, |span| span.start.min(self.text.len()));
        let line = 1 + self.text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count();
        ExperimentError::Wrong { path: self.path.to_owned(), line, what: what.into() }
    }

    fn within(&self, value: &Spanned<u64>, name: &str, most: u64) -> Result<(), ExperimentError> {
        if (1..=most).contains(value.get_ref()) {
            return Ok(());
        }
        let what = format!("{name} is {}; it has to be between 1 and {most}", value.get_ref());
        Err(self.wrong(Some(value.span()), what))
    }
}

/// Reads an experiment and checks it against a machine with so many bytes of memory. Only the sweeps named in
/// `only` are kept, if any is.
pub fn read(path: &Path, machine: u64, only: &[String]) -> Result<Experiment, ExperimentError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ExperimentError::Unreadable(path.to_owned(), error))?;
    parse(path, &text, machine, only)
}

pub fn parse(path: &Path, text: &str, machine: u64, only: &[String]) -> Result<Experiment, ExperimentError> {
    let source = Source { path, text };
    let mut experiment: Experiment =
        toml::from_str(text).map_err(|error| source.wrong(error.span(), error.message()))?;
    let Bounds { memory_mb, processes, time_s } = &experiment.bounds;
    source.within(memory_mb, "bounds.memory_mb (at most half of the machine's)", (machine / 2) >> 20)?;
    source.within(processes, "bounds.processes", MOST_PROCESSES)?;
    source.within(time_s, "bounds.time_s", MOST_TIME_S)?;
    let Work { rounds, steps, block_ms, latency_ms, down_ms, .. } = &experiment.work;
    source.within(rounds, "work.rounds", 1_000)?;
    source.within(steps, "work.steps", 1_000_000)?;
    source.within(block_ms, "work.block_ms", 10_000)?;
    source.within(latency_ms, "work.latency_ms", 1_000)?;
    source.within(down_ms, "work.down_ms", 1_000)?;
    source.within(&experiment.discovery.entries, "discovery.entries", 10_000)?;
    source.within(&experiment.discovery.watches_per_s, "discovery.watches_per_s", 1_000_000)?;
    let real = experiment.sweep.iter().any(|sweep| sweep.kind().is_real());
    if real && *processes.get_ref() < PROCESSES {
        let what = format!("bounds.processes: a sweep with real couriers needs {PROCESSES}");
        return Err(source.wrong(Some(processes.span()), what));
    }
    for sweep in &experiment.sweep {
        check(&source, sweep, experiment.bounds.memory())?;
    }
    if let Some(asked) =
        only.iter().find(|name| !experiment.sweep.iter().any(|s| s.kind().to_string() == **name))
    {
        let known: Vec<String> = experiment.sweep.iter().map(|sweep| sweep.kind().to_string()).collect();
        return Err(ExperimentError::NoSweep { asked: asked.clone(), known: known.join(", ") });
    }
    if !only.is_empty() {
        experiment.sweep.retain(|sweep| only.contains(&sweep.kind().to_string()));
    }
    Ok(experiment)
}

fn check(source: &Source, sweep: &Sweep, memory: u64) -> Result<(), ExperimentError> {
    let kind = sweep.kind();
    if sweep.sizes.len() < LEAST_SIZES {
        let what = format!("sweep {kind} has {} sizes; give at least {LEAST_SIZES}", sweep.sizes.len());
        return Err(source.wrong(Some(sweep.kind.span()), what));
    }
    if let Some(zero) = sweep.sizes.iter().find(|size| *size.get_ref() == 0) {
        return Err(source.wrong(Some(zero.span()), format!("sweep {kind} has a size of zero; remove it")));
    }
    if let Some(pair) = sweep.sizes.windows(2).find(|pair| pair[0].get_ref() >= pair[1].get_ref()) {
        let what = format!("sweep {kind}: {} is not above the size before it", pair[1].get_ref());
        return Err(source.wrong(Some(pair[1].span()), what));
    }
    let estimate = sweep.estimate();
    if estimate > memory {
        let last = sweep.sizes.last().map(Spanned::span);
        let what = format!(
            "sweep {kind} would take about {} MiB with all its sizes, over bounds.memory_mb = {}; \
             leave out the largest or raise the bound",
            estimate >> 20,
            memory >> 20
        );
        return Err(source.wrong(last, what));
    }
    Ok(())
}

/// Bytes of memory that the machine has.
pub fn machine_memory() -> Result<u64, ExperimentError> {
    let text = std::fs::read_to_string("/proc/meminfo")
        .map_err(|error| ExperimentError::Machine(error.to_string()))?;
    let kib = text.lines().find_map(|line| line.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB"));
    let kib: Option<u64> = kib.and_then(|kib| kib.trim().parse().ok());
    kib.map(|kib| kib << 10).ok_or_else(|| ExperimentError::Machine("no MemTotal in /proc/meminfo".into()))
}
