//! Reads and validates the experiment file. Errors in its contents name the file, the line and the problem. Starts no
//! processes.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// The minimum number of sizes of a sweep: fewer show no growth.
const MIN_SIZES: usize = 4;
/// The maximum value of `bounds.processes`.
const MAX_PROCESSES: u64 = 300;
/// The number of processes of a sweep with real gateways: this process and one gateway at a time.
const PROCESSES_OF_REAL_SWEEP: u64 = 2;
/// The maximum value of `bounds.time_s`, in seconds.
const MAX_TIME_S: u64 = 1800;

/// The latency of a call at the target size, in seconds.
const TARGET_LATENCY_S: f64 = 0.04;
/// The time for which a gateway keeps the tombstone of a message at the target, in seconds: the longest deadline of a
/// class.
const TARGET_RETENTION_S: f64 = 28.0;

/// Why an experiment is rejected. The text names a remedy where there is one. No process has been started.
#[derive(Debug, Error)]
pub enum ExperimentError {
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("{path}:{line}: {problem}")]
    Invalid { path: PathBuf, line: usize, problem: String },
    #[error("--only {name}: the file has no such sweep; it has {known}")]
    NoSweep { name: String, known: String },
    #[error("the gateway's binary {0} is missing; build it first: cargo build --release --locked")]
    NoGateway(PathBuf),
    #[error("the machine's memory cannot be determined: {0}")]
    Machine(String),
}

/// An experiment. The field names are the keys of the experiment file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The seed of all randomness.
    pub seed: u64,
    /// The resources that the run may use.
    pub bounds: Bounds,
    /// How steps are measured, and how endpoints behave.
    pub work: Work,
    /// The simulated discovery that gateways watch.
    pub discovery: Discovery,
    /// The fleet's target size, and the budgets there.
    pub target: Target,
    /// The sweeps, in the order in which they are run.
    pub sweep: Vec<Sweep>,
}

/// The resources that a run may use.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The memory of this process and all processes that it starts, in MiB; at most half of the machine's.
    pub memory_mb: Spanned<u64>,
    /// The number of processes at the same time, including this one.
    pub processes: Spanned<u64>,
    /// The maximum time of the run, in seconds. Sizes that are not completed by then count as not run.
    pub time_s: Spanned<u64>,
}

/// How the steps of the scheduler's sweeps are measured, and how endpoints behave. In a step the scheduler accepts one
/// message, or applies one change of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// The number of rounds over all sizes. Step times are derived from the medians of the rounds.
    pub rounds: Spanned<u64>,
    /// The maximum number of steps for which one size is measured in a round.
    pub steps: Spanned<u64>,
    /// The maximum time for which one size is measured in a round, in milliseconds.
    pub block_ms: Spanned<u64>,
    /// The minimum time from a call to its response, in milliseconds.
    pub latency_ms: Spanned<u64>,
    /// The maximum random time that is added to `latency_ms`, in milliseconds.
    pub jitter_ms: u64,
    /// The time from a call to an endpoint that is down until the connection is refused, in milliseconds.
    pub down_ms: Spanned<u64>,
    /// The calls per second that an endpoint serves; it responds to others with 503. `None` means no limit.
    pub limit_per_s: Option<f64>,
}

/// The simulated discovery that gateways watch.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// The number of entries in its endpoint list.
    pub entries: Spanned<u64>,
    /// The watches per second that it accepts when all gateways reconnect at once; it rejects others.
    pub watches_per_s: Spanned<u64>,
}

/// The target size of the whole fleet, and the budgets of one gateway there.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The number of gateways.
    #[serde(rename = "couriers")]
    pub gateways: f64,
    /// The number of messages per second.
    pub events_per_s: f64,
    /// The number of destinations.
    pub destinations: f64,
    /// The ratio of the destinations that are down at any time.
    #[serde(rename = "down_share")]
    pub down_ratio: f64,
    /// The number of endpoints of all destinations.
    pub endpoints: f64,
    /// The number of pending messages.
    pub backlog: f64,
    /// The number of changes of the endpoint list per day.
    pub changes_per_day: f64,
    /// The time within which a change of the endpoint list has to be in force on all gateways, in seconds.
    pub in_force_s: f64,
    /// The number of restarts of gateways per day.
    pub restarts_per_day: f64,
    /// The time within which a restarted gateway has to be ready, in seconds.
    pub ready_s: f64,
    /// The ratio of a core that a gateway may spend on control.
    #[serde(rename = "control_core_share")]
    pub control_core_ratio: f64,
    /// The memory that a gateway may spend on control, in MB.
    pub control_memory_mb: f64,
    /// The network traffic that a gateway may spend on control, in bytes per second.
    pub control_bytes_per_s: f64,
}

impl Target {
    /// Returns the processor time available for one event, in nanoseconds. Each gateway has one core.
    pub fn event_ns(&self) -> f64 {
        self.gateways / self.events_per_s * 1e9
    }

    /// Returns the processor time that the budget for control leaves for one change of the endpoint list, in
    /// nanoseconds.
    pub fn change_ns(&self) -> f64 {
        self.control_core_ratio / (self.changes_per_day / 86_400.0) * 1e9
    }

    /// Returns the size of a sweep that one gateway has to handle at the target, where any gateway may get messages for
    /// any destination.
    pub fn size(&self, kind: Kind) -> f64 {
        match kind {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => self.endpoints,
            // The destinations that are down are the ones with a queue.
            Kind::QueuesRetryAfter | Kind::QueuesTokenBucket | Kind::Down => {
                self.destinations * self.down_ratio
            }
            Kind::PendingSpread | Kind::PendingAtOne | Kind::Journal => self.backlog / self.gateways,
            Kind::CallsInFlight => self.events_per_s / self.gateways * TARGET_LATENCY_S,
            Kind::Tombstones => self.events_per_s / self.gateways * TARGET_RETENTION_S,
            Kind::Watchers | Kind::WatchersReconnect => self.gateways,
        }
    }
}

/// The kind of a sweep, which determines what its size counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Endpoints in the endpoint list.
    Endpoints,
    /// Endpoints in the endpoint list, where 2,000 destinations wait and 10,000 messages are pending for every 65,536
    /// endpoints.
    Loaded,
    /// Destinations with a message that waits for a Retry-After.
    #[serde(rename = "queues-told-wait")]
    QueuesRetryAfter,
    /// Destinations with a message that waits for the token bucket.
    QueuesTokenBucket,
    /// Destinations whose circuit is open. A tenth of them have a message that waits.
    Down,
    /// Pending messages, distributed over a fixed number of destinations.
    #[serde(rename = "held-spread")]
    PendingSpread,
    /// Pending messages, all for the only destination to which messages are sent.
    #[serde(rename = "held-at-one")]
    PendingAtOne,
    /// Calls in flight.
    #[serde(rename = "calls-out")]
    CallsInFlight,
    /// Endpoints in the endpoint list, of which one entry changes in each step.
    ListChange,
    /// Gateways that watch the endpoint list of one discovery, while entries change.
    Watchers,
    /// Gateways that watch the endpoint list of one discovery, when all watches break at once.
    #[serde(rename = "watchers-return")]
    WatchersReconnect,
    /// Messages in the journal of a real gateway when it starts.
    Journal,
    /// Tombstones of delivered messages in the journal of a real gateway when it starts.
    Tombstones,
}

impl Kind {
    /// Returns a generous estimate of the memory for one unit of size, in bytes, to check a sweep against the bound.
    fn bytes_per_unit(self) -> u64 {
        match self {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => 4_000,
            Kind::QueuesRetryAfter | Kind::QueuesTokenBucket | Kind::Down => 3_000,
            Kind::PendingSpread | Kind::PendingAtOne => 1_000,
            Kind::CallsInFlight => 4_000,
            Kind::Watchers | Kind::WatchersReconnect => 200_000,
            // A message in the real gateway, in its journal and in the stub's set of attempted messages.
            Kind::Journal | Kind::Tombstones => 4_000,
        }
    }

    /// Returns whether the sweep starts real gateways.
    pub fn is_real(self) -> bool {
        matches!(self, Kind::Journal | Kind::Tombstones)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The same name as in the experiment file.
        self.serialize(f)
    }
}

/// A sweep over several sizes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The kind of the sweep.
    pub kind: Spanned<Kind>,
    /// The sizes, at least [`MIN_SIZES`], in strictly ascending order.
    pub sizes: Vec<Spanned<u64>>,
}

impl Sweep {
    /// Returns the kind of the sweep.
    pub fn kind(&self) -> Kind {
        *self.kind.get_ref()
    }

    /// Returns the sizes in ascending order.
    pub fn sizes(&self) -> impl Iterator<Item = u64> + '_ {
        self.sizes.iter().map(|size| *size.get_ref())
    }

    /// Returns a generous estimate of the memory for all sizes together, in bytes. Sweeps of the scheduler keep all
    /// sizes in memory at the same time.
    pub fn estimated_bytes(&self) -> u64 {
        let units: u64 = self.sizes().fold(0, u64::saturating_add);
        units.saturating_mul(self.kind().bytes_per_unit())
    }
}

impl Work {
    /// Returns the minimum time from a call to its response.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(*self.latency_ms.get_ref())
    }

    /// Returns the maximum time from a call to its response.
    pub fn max_latency(&self) -> Duration {
        self.latency() + Duration::from_millis(self.jitter_ms)
    }

    /// Returns the maximum time for which one size is measured in a round.
    pub fn block_time(&self) -> Duration {
        Duration::from_millis(*self.block_ms.get_ref())
    }
}

impl Bounds {
    /// Returns the memory bound in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb.get_ref().saturating_mul(1 << 20)
    }

    /// Returns the maximum time of the run.
    pub fn time(&self) -> Duration {
        Duration::from_secs(*self.time_s.get_ref())
    }
}

/// The path and text of the experiment file, for errors that name a line.
struct Source<'a> {
    path: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    fn error_at(&self, at: Option<Range<usize>>, problem: impl Into<String>) -> ExperimentError {
        let start = at.map_or(0, |span| span.start.min(self.text.len()));
        let line = 1 + self.text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count();
        ExperimentError::Invalid { path: self.path.to_owned(), line, problem: problem.into() }
    }

    fn check_range(&self, value: &Spanned<u64>, name: &str, max: u64) -> Result<(), ExperimentError> {
        if (1..=max).contains(value.get_ref()) {
            return Ok(());
        }
        let problem = format!("{name} is {}; it has to be between 1 and {max}", value.get_ref());
        Err(self.error_at(Some(value.span()), problem))
    }
}

/// Reads an experiment and validates it against a machine with `machine_bytes` of memory. If `only` is not empty, only
/// the sweeps named in it are kept.
///
/// # Errors
/// Returns an error if the file cannot be read or is invalid; see [`ExperimentError`].
pub fn read(path: &Path, machine_bytes: u64, only: &[String]) -> Result<Experiment, ExperimentError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ExperimentError::Unreadable(path.to_owned(), error))?;
    parse(path, &text, machine_bytes, only)
}

fn parse(
    path: &Path,
    text: &str,
    machine_bytes: u64,
    only: &[String],
) -> Result<Experiment, ExperimentError> {
    let source = Source { path, text };
    let mut experiment: Experiment =
        toml::from_str(text).map_err(|error| source.error_at(error.span(), error.message()))?;
    let Bounds { memory_mb, processes, time_s } = &experiment.bounds;
    source.check_range(
        memory_mb,
        "bounds.memory_mb (at most half of the machine's)",
        (machine_bytes / 2) >> 20,
    )?;
    source.check_range(processes, "bounds.processes", MAX_PROCESSES)?;
    source.check_range(time_s, "bounds.time_s", MAX_TIME_S)?;
    let Work { rounds, steps, block_ms, latency_ms, down_ms, .. } = &experiment.work;
    source.check_range(rounds, "work.rounds", 1_000)?;
    source.check_range(steps, "work.steps", 1_000_000)?;
    source.check_range(block_ms, "work.block_ms", 10_000)?;
    source.check_range(latency_ms, "work.latency_ms", 1_000)?;
    source.check_range(down_ms, "work.down_ms", 1_000)?;
    source.check_range(&experiment.discovery.entries, "discovery.entries", 10_000)?;
    source.check_range(&experiment.discovery.watches_per_s, "discovery.watches_per_s", 1_000_000)?;
    let real = experiment.sweep.iter().any(|sweep| sweep.kind().is_real());
    if real && *processes.get_ref() < PROCESSES_OF_REAL_SWEEP {
        let problem = format!("bounds.processes: a sweep with real gateways needs {PROCESSES_OF_REAL_SWEEP}");
        return Err(source.error_at(Some(processes.span()), problem));
    }
    for sweep in &experiment.sweep {
        check_sweep(&source, sweep, experiment.bounds.memory_bytes())?;
    }
    if let Some(name) =
        only.iter().find(|name| !experiment.sweep.iter().any(|sweep| sweep.kind().to_string() == **name))
    {
        let known: Vec<String> = experiment.sweep.iter().map(|sweep| sweep.kind().to_string()).collect();
        return Err(ExperimentError::NoSweep { name: name.clone(), known: known.join(", ") });
    }
    if !only.is_empty() {
        experiment.sweep.retain(|sweep| only.contains(&sweep.kind().to_string()));
    }
    Ok(experiment)
}

fn check_sweep(source: &Source, sweep: &Sweep, memory_bytes: u64) -> Result<(), ExperimentError> {
    let kind = sweep.kind();
    if sweep.sizes.len() < MIN_SIZES {
        let problem = format!("sweep {kind} has {} sizes; give at least {MIN_SIZES}", sweep.sizes.len());
        return Err(source.error_at(Some(sweep.kind.span()), problem));
    }
    if let Some(zero) = sweep.sizes.iter().find(|size| *size.get_ref() == 0) {
        return Err(source.error_at(Some(zero.span()), format!("sweep {kind} has a size of zero; remove it")));
    }
    if let Some(pair) = sweep.sizes.windows(2).find(|pair| pair[0].get_ref() >= pair[1].get_ref()) {
        let problem = format!("sweep {kind}: {} is not above the size before it", pair[1].get_ref());
        return Err(source.error_at(Some(pair[1].span()), problem));
    }
    let estimated_bytes = sweep.estimated_bytes();
    if estimated_bytes > memory_bytes {
        let last = sweep.sizes.last().map(Spanned::span);
        let problem = format!(
            "sweep {kind} would take about {} MiB with all its sizes, over bounds.memory_mb = {}; \
             leave out the largest or raise the bound",
            estimated_bytes >> 20,
            memory_bytes >> 20
        );
        return Err(source.error_at(last, problem));
    }
    Ok(())
}

/// Returns the machine's total memory in bytes.
///
/// # Errors
/// Returns [`ExperimentError::Machine`] if it cannot be determined.
pub fn machine_memory_bytes() -> Result<u64, ExperimentError> {
    let text = std::fs::read_to_string("/proc/meminfo")
        .map_err(|error| ExperimentError::Machine(error.to_string()))?;
    let kib = text.lines().find_map(|line| line.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB"));
    let kib: Option<u64> = kib.and_then(|kib| kib.trim().parse().ok());
    kib.map(|kib| kib << 10).ok_or_else(|| ExperimentError::Machine("no MemTotal in /proc/meminfo".into()))
}
