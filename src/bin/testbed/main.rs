//! The testbed: runs experiments with gateways on this machine.
//!
//! - `testbed scale FILE.toml` measures how the cost of a gateway grows with the size of its state and its load.
//!   Simulated gateways run in this process; real gateways are started as child processes. `experiment` reads the file;
//!   `scheduler_sweep`, `watch_sweep` and `journal_sweep` measure, within the limits of `bounds`; `report` formats the
//!   results.
//! - `testbed soak` runs real gateways with injected faults, and checks the rules of the protocol; see `soak`.
//!
//! The testbed uses only loopback. Each run of `testbed scale` and each single soak is bounded in time; `--seeds` has
//! no maximum. The testbed kills the processes that it started before it ends, unless it is killed itself.
#![forbid(unsafe_code)]

mod bounds;
mod endpoint_script;
mod experiment;
// Tests include this module and use more of it.
#[allow(dead_code)]
mod fault_page;
mod figures;
mod fit;
mod journal_sweep;
mod layout;
mod list_changes;
mod processor_time;
mod report;
mod scheduler_rig;
mod scheduler_sweep;
mod simulated_gateway;
mod soak;
// Tests include this module and use more of it.
#[allow(dead_code)]
mod stubs;
mod watch_sweep;

use clap::{Parser, Subcommand};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing::{error, warn};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::bounds::RunBounds;
use crate::experiment::{ExperimentError, Kind};
use crate::journal_sweep::JournalContents;
use crate::report::Report;

/// The exit code of a run that a signal ended.
const INTERRUPTED: u8 = 130;

/// Runs experiments with gateways on this machine, over loopback only.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures how the cost of a gateway grows with size, and at which sizes the target's budgets are exceeded.
    Scale {
        /// The experiment file (TOML).
        file: PathBuf,
        /// Runs only this sweep; may be given several times.
        #[arg(long, value_name = "NAME")]
        only: Vec<String>,
        /// Also writes all results to this file, as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// The gateway's binary; defaults to `delivery-gateway` next to this program.
        #[arg(long = "courier", value_name = "FILE")]
        gateway: Option<PathBuf>,
    },
    /// Runs real gateways with injected faults, one soak for each seed, and reports violations of the protocol's rules.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The number of soaks; each uses the next seed.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// The number of gateways that run at the same time.
        #[arg(long = "couriers", default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=100))]
        gateways: u16,
        /// How long clients send and faults are drawn in each soak, in seconds. The starts of the gateways and the wait
        /// for outcomes come on top.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// The gateway's binary; defaults to `delivery-gateway` next to this program.
        #[arg(long = "courier", value_name = "FILE")]
        gateway: Option<PathBuf>,
        /// The fault shim's library; defaults to the one that `cargo build --examples` puts in `examples` next to this
        /// program.
        #[arg(long, value_name = "FILE")]
        shim: Option<PathBuf>,
        /// The folder to which the gateways' logs are written if a rule was broken.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
    },
}

/// The reason why a run failed.
#[derive(Debug, Error)]
enum TestbedError {
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error("{0} cannot be written: {1}")]
    ResultsNotWritten(PathBuf, std::io::Error),
    #[error("the results cannot be encoded as JSON: {0}")]
    ResultsNotEncoded(#[from] serde_json::Error),
    #[error("the signal handlers cannot be registered: {0}")]
    Signals(std::io::Error),
    #[error("interrupted")]
    Interrupted,
    #[error("the soak cannot be set up or finished: {0}")]
    Soak(std::io::Error),
    #[error("{0} is missing; cargo build --release --examples makes it")]
    Missing(PathBuf),
    #[error("{0} violations of the protocol's rules were found")]
    RulesBroken(usize),
}

/// Returns a flag that is set by SIGINT and SIGTERM.
fn watch_for_signals() -> Result<Arc<AtomicBool>, TestbedError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, interrupted.clone()).map_err(TestbedError::Signals)?;
    }
    Ok(interrupted)
}

/// Returns the path of a file in the folder of this program.
fn sibling_path(name: &str) -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name(name)
}

/// Runs one experiment and prints its report. The experiment is validated before anything is started or written.
fn scale(
    file: &Path,
    only: &[String],
    json: Option<PathBuf>,
    gateway: Option<PathBuf>,
) -> Result<(), TestbedError> {
    let machine_bytes = experiment::machine_memory_bytes()?;
    let experiment = experiment::read(file, machine_bytes, only)?;
    let gateway = gateway.unwrap_or_else(|| sibling_path("delivery-gateway"));
    if experiment.sweep.iter().any(|sweep| sweep.kind().is_real()) && !gateway.is_file() {
        return Err(ExperimentError::NoGateway(gateway).into());
    }
    let json = json.map(JsonFile::create).transpose()?;
    let bounds = RunBounds::new(&experiment.bounds, watch_for_signals()?);
    let mut report =
        Report::new(experiment.seed, experiment.bounds.memory_bytes(), experiment.target.clone());
    for sweep in &experiment.sweep {
        let points = match sweep.kind() {
            Kind::Journal => journal_sweep::sweep(sweep, JournalContents::Pending, &gateway, &bounds),
            Kind::Tombstones => journal_sweep::sweep(sweep, JournalContents::Tombstones, &gateway, &bounds),
            Kind::Watchers | Kind::WatchersReconnect => watch_sweep::sweep(&experiment, sweep, &bounds),
            _ => scheduler_sweep::sweep(&experiment, sweep, &bounds),
        };
        println!("{}", report.add(sweep.kind(), points));
    }
    print!("{}", report.summary());
    if let Some(json) = json {
        json.write(&report.json()?)?;
    }
    if bounds.is_interrupted() {
        warn!("interrupted; sizes that were not measured yet are reported as not run");
        return Err(TestbedError::Interrupted);
    }
    Ok(())
}

/// The file for the results as JSON. It is created before the run, so that a run is not begun if its results cannot be
/// written.
struct JsonFile {
    path: PathBuf,
    file: File,
}

impl JsonFile {
    fn create(path: PathBuf) -> Result<Self, TestbedError> {
        match File::create(&path) {
            Ok(file) => Ok(JsonFile { path, file }),
            Err(error) => Err(TestbedError::ResultsNotWritten(path, error)),
        }
    }

    fn write(mut self, text: &str) -> Result<(), TestbedError> {
        self.file
            .write_all(text.as_bytes())
            .map_err(|error| TestbedError::ResultsNotWritten(self.path, error))
    }
}

/// Runs one soak for each of `seeds` consecutive seeds, one after another, and prints the report of each.
fn soak(plan: soak::Plan, seeds: u64) -> Result<(), TestbedError> {
    for file in [&plan.gateway, &plan.shim] {
        if !file.is_file() {
            return Err(TestbedError::Missing(file.clone()));
        }
    }
    let interrupted = watch_for_signals()?;
    let mut violations = 0;
    for seed in plan.seed..plan.seed.saturating_add(seeds) {
        if interrupted.load(Ordering::SeqCst) {
            return Err(TestbedError::Interrupted);
        }
        let result = soak::run(&Arc::new(soak::Plan { seed, ..plan.clone() })).map_err(TestbedError::Soak)?;
        print!("{}", result.report);
        violations += result.violations;
    }
    if violations == 0 {
        Ok(())
    } else {
        Err(TestbedError::RulesBroken(violations))
    }
}

fn init_log() {
    // The gateway library logs only errors here: thousands of watches that fail and reconnect would each log a line.
    // They are counted instead.
    let levels =
        Targets::new().with_default(LevelFilter::INFO).with_target("delivery_gateway", LevelFilter::ERROR);
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    lines.finish().with(levels).init();
}

fn main() -> ExitCode {
    init_log();
    let result = match Arguments::parse().command {
        Command::Scale { file, only, json, gateway } => scale(&file, &only, json, gateway),
        Command::Soak { seed, seeds, gateways, seconds, gateway, shim, logs } => {
            let plan = soak::Plan {
                seed,
                gateways: gateways.into(),
                length: Duration::from_secs(seconds),
                gateway: gateway.unwrap_or_else(|| sibling_path("delivery-gateway")),
                shim: shim.unwrap_or_else(|| sibling_path("examples").join("libfault_shim.so")),
                logs,
            };
            soak(plan, seeds)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(TestbedError::Interrupted) => ExitCode::from(INTERRUPTED),
        Err(error) => {
            error!("{error}");
            ExitCode::FAILURE
        }
    }
}
