//! The experiment file: its settings, and the checks on them, whose errors name file, line and remedy. Starts nothing.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// Sizes that a sweep has at least: fewer show no growth.
const MIN_SIZES: usize = 4;
/// Processes that an experiment may start at a time.
const MAX_PROCESSES: u64 = 300;
/// This process and the one gateway that a sweep with real gateways starts at a time.
const PROCESSES_OF_REAL_SWEEP: u64 = 2;
/// Longest time of a run, in seconds.
const MAX_TIME_S: u64 = 1800;

/// Latency of a call at the target.
const TARGET_LATENCY_S: f64 = 0.04;

/// What is wrong with an experiment, and what to do about it. Nothing has been started.
#[derive(Debug, Error)]
pub enum ExperimentError {
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("{path}:{line}: {what}")]
    Wrong { path: PathBuf, line: usize, what: String },
    #[error("--only {asked}: the file has no such sweep; it has {known}")]
    NoSweep { asked: String, known: String },
    #[error("the gateway's binary {0} is missing; build it first: cargo build --release --locked")]
    NoGateway(PathBuf),
    #[error("the machine's memory cannot be determined: {0}")]
    Machine(String),
}

/// An experiment, as its file has it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The seed of all randomness.
    pub seed: u64,
    /// What the run may use at most.
    pub bounds: Bounds,
    /// How a step is measured, and how endpoints behave.
    pub work: Work,
    /// The discovery that gateways watch.
    pub discovery: Discovery,
    /// The size to build towards.
    pub target: Target,
    /// The sweeps, run in this order.
    pub sweep: Vec<Sweep>,
}

/// What the run may use at most.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Memory of this process and all that it starts, in MiB; half of the machine's at most.
    pub memory_mb: Spanned<u64>,
    /// Processes at a time, this one included.
    pub processes: Spanned<u64>,
    /// Longest time of the run, in seconds; what was not begun by then counts as not run.
    pub time_s: Spanned<u64>,
}

/// How a step is measured, and how endpoints behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Rounds over all sizes; their median counts.
    pub rounds: Spanned<u64>,
    /// Steps that one size is measured for in a round, at most ...
    pub steps: Spanned<u64>,
    /// ... and as long as they take no more than this.
    pub block_ms: Spanned<u64>,
    /// From a call to its response ...
    pub latency_ms: Spanned<u64>,
    /// ... and up to so much longer, by chance.
    pub jitter_ms: u64,
    /// From a call to the refusal of a connection by an endpoint that is down.
    pub down_ms: Spanned<u64>,
    /// Calls a second that an endpoint serves before it responds with 503; no limit if absent.
    pub limit_per_s: Option<f64>,
}

/// The discovery that gateways watch.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Entries of its list.
    pub entries: Spanned<u64>,
    /// Watches that it accepts a second when all reconnect at once; it rejects others.
    pub watches_per_s: Spanned<u64>,
}

/// The size to build towards, over the whole fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Gateways of the fleet.
    #[serde(rename = "couriers")]
    pub gateways: f64,
    /// Messages a second.
    pub events_per_s: f64,
    /// Destinations.
    pub destinations: f64,
    /// Ratio of the destinations that is down at any time.
    #[serde(rename = "down_share")]
    pub down_ratio: f64,
    /// Endpoints of all destinations.
    pub endpoints: f64,
    /// Messages pending.
    pub backlog: f64,
    /// Changes of the endpoint list a day.
    pub changes_per_day: f64,
    /// Time within which a change of the endpoint list has to be in force everywhere, in seconds.
    pub in_force_s: f64,
    /// Restarts of gateways a day.
    pub restarts_per_day: f64,
    /// Time within which a restarted gateway has to be ready, in seconds.
    pub ready_s: f64,
    /// Ratio of a core that a gateway may spend on control.
    #[serde(rename = "control_core_share")]
    pub control_core_ratio: f64,
    /// Memory that it may spend on control, in MB.
    pub control_memory_mb: f64,
    /// Network traffic that it may spend on control.
    pub control_bytes_per_s: f64,
}

impl Target {
    /// Processor time for one event, in nanoseconds: each gateway has one core.
    pub fn event_ns(&self) -> f64 {
        self.gateways / self.events_per_s * 1e9
    }

    /// Processor time that the budget for control leaves for one change of the endpoint list, in nanoseconds.
    pub fn change_ns(&self) -> f64 {
        self.control_core_ratio / (self.changes_per_day / 86_400.0) * 1e9
    }

    /// The size of a sweep that one gateway has to bear, where any gateway may get any destination.
    pub fn size(&self, kind: Kind) -> f64 {
        match kind {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => self.endpoints,
            // Those that are down are the ones that keep a queue.
            Kind::QueuesRetryAfter | Kind::QueuesTokenBucket | Kind::Down => {
                self.destinations * self.down_ratio
            }
            Kind::PendingSpread | Kind::PendingAtOne | Kind::Journal => self.backlog / self.gateways,
            Kind::CallsInFlight => self.events_per_s / self.gateways * TARGET_LATENCY_S,
            Kind::Watchers | Kind::WatchersReconnect => self.gateways,
        }
    }
}

/// What is swept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Endpoints in the endpoint list.
    Endpoints,
    /// The same, with 2,000 destinations that wait and 10,000 messages pending for 65,536 endpoints.
    Loaded,
    /// Destinations with a message that waits for a Retry-After.
    #[serde(rename = "queues-told-wait")]
    QueuesRetryAfter,
    /// Destinations with a message that waits for the token bucket.
    QueuesTokenBucket,
    /// Destinations whose circuit is open, a tenth of them with a message that waits.
    Down,
    /// Messages pending, spread over some destinations.
    #[serde(rename = "held-spread")]
    PendingSpread,
    /// Messages pending, all at the destination that is being sent to.
    #[serde(rename = "held-at-one")]
    PendingAtOne,
    /// Calls in flight.
    #[serde(rename = "calls-out")]
    CallsInFlight,
    /// Endpoints in the endpoint list of which one entry changes.
    ListChange,
    /// Gateways that watch the endpoint list of one discovery.
    Watchers,
    /// The same, when all watches break at once.
    #[serde(rename = "watchers-return")]
    WatchersReconnect,
    /// Messages in the journal of a real gateway as it starts.
    Journal,
}

impl Kind {
    /// Generous estimate of the memory of one unit of size, to check it against the bound.
    fn bytes_a_unit(self) -> u64 {
        match self {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => 4_000,
            Kind::QueuesRetryAfter | Kind::QueuesTokenBucket | Kind::Down => 3_000,
            Kind::PendingSpread | Kind::PendingAtOne => 1_000,
            Kind::CallsInFlight => 4_000,
            Kind::Watchers | Kind::WatchersReconnect => 200_000,
            // A message in the real gateway, in its journal and in the stub's record of it.
            Kind::Journal => 4_000,
        }
    }

    /// Whether real gateways are started.
    pub fn is_real(self) -> bool {
        self == Kind::Journal
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The same word as in the experiment file.
        self.serialize(f)
    }
}

/// A sweep over sizes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// What is swept.
    pub kind: Spanned<Kind>,
    /// Sizes in rising order.
    pub sizes: Vec<Spanned<u64>>,
}

impl Sweep {
    /// What is swept.
    pub fn kind(&self) -> Kind {
        *self.kind.get_ref()
    }

    /// Its sizes in rising order.
    pub fn sizes(&self) -> impl Iterator<Item = u64> + '_ {
        self.sizes.iter().map(|size| *size.get_ref())
    }

    /// Generous estimate of the bytes of all its sizes together, as those of the scheduler are measured side by side.
    pub fn estimate(&self) -> u64 {
        let units: u64 = self.sizes().fold(0, u64::saturating_add);
        units.saturating_mul(self.kind().bytes_a_unit())
    }
}

impl Work {
    /// From a call to its response, at least.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(*self.latency_ms.get_ref())
    }

    /// From a call to its response, at most.
    pub fn longest_latency(&self) -> Duration {
        self.latency() + Duration::from_millis(self.jitter_ms)
    }

    /// Longest time of one size in a round.
    pub fn block(&self) -> Duration {
        Duration::from_millis(*self.block_ms.get_ref())
    }
}

impl Bounds {
    /// In bytes.
    pub fn memory(&self) -> u64 {
        self.memory_mb.get_ref().saturating_mul(1 << 20)
    }

    /// Longest time of the run.
    pub fn time(&self) -> Duration {
        Duration::from_secs(*self.time_s.get_ref())
    }
}

/// The experiment file, for errors that name a line of it.
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

/// Reads an experiment and checks it against a machine with so many bytes of memory. Only the sweeps named in `only`
/// are kept, if any is named.
///
/// # Errors
/// The file cannot be read, or what it says is wrong; see [`ExperimentError`].
pub fn read(path: &Path, machine: u64, only: &[String]) -> Result<Experiment, ExperimentError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ExperimentError::Unreadable(path.to_owned(), error))?;
    parse(path, &text, machine, only)
}

fn parse(path: &Path, text: &str, machine: u64, only: &[String]) -> Result<Experiment, ExperimentError> {
    let source = Source { path, text };
    let mut experiment: Experiment =
        toml::from_str(text).map_err(|error| source.wrong(error.span(), error.message()))?;
    let Bounds { memory_mb, processes, time_s } = &experiment.bounds;
    source.within(memory_mb, "bounds.memory_mb (at most half of the machine's)", (machine / 2) >> 20)?;
    source.within(processes, "bounds.processes", MAX_PROCESSES)?;
    source.within(time_s, "bounds.time_s", MAX_TIME_S)?;
    let Work { rounds, steps, block_ms, latency_ms, down_ms, .. } = &experiment.work;
    source.within(rounds, "work.rounds", 1_000)?;
    source.within(steps, "work.steps", 1_000_000)?;
    source.within(block_ms, "work.block_ms", 10_000)?;
    source.within(latency_ms, "work.latency_ms", 1_000)?;
    source.within(down_ms, "work.down_ms", 1_000)?;
    source.within(&experiment.discovery.entries, "discovery.entries", 10_000)?;
    source.within(&experiment.discovery.watches_per_s, "discovery.watches_per_s", 1_000_000)?;
    let real = experiment.sweep.iter().any(|sweep| sweep.kind().is_real());
    if real && *processes.get_ref() < PROCESSES_OF_REAL_SWEEP {
        let what = format!("bounds.processes: a sweep with real gateways needs {PROCESSES_OF_REAL_SWEEP}");
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
    if sweep.sizes.len() < MIN_SIZES {
        let what = format!("sweep {kind} has {} sizes; give at least {MIN_SIZES}", sweep.sizes.len());
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
///
/// # Errors
/// [`ExperimentError::Machine`]: it cannot be determined.
pub fn machine_memory() -> Result<u64, ExperimentError> {
    let text = std::fs::read_to_string("/proc/meminfo")
        .map_err(|error| ExperimentError::Machine(error.to_string()))?;
    let kib = text.lines().find_map(|line| line.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB"));
    let kib: Option<u64> = kib.and_then(|kib| kib.trim().parse().ok());
    kib.map(|kib| kib << 10).ok_or_else(|| ExperimentError::Machine("no MemTotal in /proc/meminfo".into()))
}
