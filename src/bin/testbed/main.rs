//! The testbed: experiments with gateways, on this machine alone.
//!
//! - `testbed scale FILE.toml` measures how the cost of a gateway grows with what it knows, holds and does. Simulated
//!   gateways share this process, real ones are started beside it. `experiment` reads the file; `scheduler_sweep`,
//!   `watch_sweep` and `journal_sweep` measure, within the limits of `bounds`; `report` has the results.
//! - `testbed soak` runs real gateways among faults, and checks the rules of the protocol; see `soak`.
//!
//! Only loopback is used, every loop is bounded, and all that was started ends with it.
#![forbid(unsafe_code)]

mod bounds;
mod endpoint_script;
mod experiment;
// The tests use more of it.
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
// The tests use more of them.
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

use crate::bounds::Guard;
use crate::experiment::{ExperimentError, Kind};
use crate::report::Report;

/// The exit code of a run that a signal ended.
const INTERRUPTED: u8 = 130;

/// Experiments with gateways, on this machine alone.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Measures how cost grows with size, and where the target's budgets are passed.
    Scale {
        /// The experiment.
        file: PathBuf,
        /// Runs this sweep alone; may come several times.
        #[arg(long, value_name = "NAME")]
        only: Vec<String>,
        /// Writes all figures there as well, as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// The gateway's binary; the one beside this if absent.
        #[arg(long = "courier", value_name = "FILE")]
        gateway: Option<PathBuf>,
    },
    /// Runs real gateways among faults, one soak for each seed, and reports which rules were broken.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Soaks, each with the next seed.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Gateways that run at a time.
        #[arg(long = "couriers", default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=100))]
        gateways: u16,
        /// Length of each soak, in seconds.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// The gateway's binary; the one beside this if absent.
        #[arg(long = "courier", value_name = "FILE")]
        gateway: Option<PathBuf>,
        /// The shim that lets system calls fail; the one that `cargo build --examples` puts beside this if absent.
        #[arg(long, value_name = "FILE")]
        shim: Option<PathBuf>,
        /// Where the gateways' logs go if a rule was broken.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
    },
}

/// Why a run failed.
#[derive(Debug, Error)]
enum TestbedError {
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error("{0} cannot be written: {1}")]
    Json(PathBuf, std::io::Error),
    #[error("the figures cannot be written as JSON: {0}")]
    Figures(#[from] serde_json::Error),
    #[error("signals cannot be waited for: {0}")]
    Signals(std::io::Error),
    #[error("interrupted")]
    Interrupted,
    #[error("the soak cannot be set up: {0}")]
    Soak(std::io::Error),
    #[error("{0} is missing; cargo build --release --examples makes it")]
    Missing(PathBuf),
    #[error("{0} rules were broken")]
    RulesBroken(usize),
}

/// A flag that the first SIGINT or SIGTERM sets.
fn watch_for_signals() -> Result<Arc<AtomicBool>, TestbedError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, interrupted.clone()).map_err(TestbedError::Signals)?;
    }
    Ok(interrupted)
}

/// A program that was built together with this one.
fn sibling(name: &str) -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name(name)
}

/// Runs one experiment. What is wrong with it is found before anything is started or written.
fn scale(
    file: &Path,
    only: &[String],
    json: Option<PathBuf>,
    gateway: Option<PathBuf>,
) -> Result<(), TestbedError> {
    let machine = experiment::machine_memory()?;
    let experiment = experiment::read(file, machine, only)?;
    let gateway = gateway.unwrap_or_else(|| sibling("delivery-gateway"));
    if experiment.sweep.iter().any(|sweep| sweep.kind().is_real()) && !gateway.is_file() {
        return Err(ExperimentError::NoGateway(gateway).into());
    }
    let json = json.map(JsonFile::create).transpose()?;
    let guard = Guard::new(&experiment.bounds, watch_for_signals()?);
    let mut report = Report::new(experiment.seed, experiment.bounds.memory(), experiment.target.clone());
    for sweep in &experiment.sweep {
        let points = match sweep.kind() {
            Kind::Journal => journal_sweep::sweep(sweep, &gateway, &guard),
            Kind::Watchers | Kind::WatchersReconnect => watch_sweep::sweep(&experiment, sweep, &guard),
            _ => scheduler_sweep::sweep(&experiment, sweep, &guard),
        };
        println!("{}", report.add(sweep.kind(), points));
    }
    print!("{}", report.summary());
    if let Some(json) = json {
        json.write(&report.json()?)?;
    }
    if guard.is_interrupted() {
        warn!("interrupted: what was not measured by then is reported as not run");
        return Err(TestbedError::Interrupted);
    }
    Ok(())
}

/// The file for the figures. It is created before the run, so that a run whose figures cannot be written is not begun.
struct JsonFile {
    path: PathBuf,
    file: File,
}

impl JsonFile {
    fn create(path: PathBuf) -> Result<Self, TestbedError> {
        match File::create(&path) {
            Ok(file) => Ok(JsonFile { path, file }),
            Err(error) => Err(TestbedError::Json(path, error)),
        }
    }

    fn write(mut self, text: &str) -> Result<(), TestbedError> {
        self.file.write_all(text.as_bytes()).map_err(|error| TestbedError::Json(self.path, error))
    }
}

/// Runs the soaks of some seeds, one after the other, and prints the report of each.
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
    // Thousands of watches that fail and reconnect would log it: they are counted.
    let levels =
        Targets::new().with_default(LevelFilter::INFO).with_target("delivery_gateway", LevelFilter::ERROR);
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    lines.finish().with(levels).init();
}

fn main() -> ExitCode {
    init_log();
    let result = match Arguments::parse().verb {
        Verb::Scale { file, only, json, gateway } => scale(&file, &only, json, gateway),
        Verb::Soak { seed, seeds, gateways, seconds, gateway, shim, logs } => {
            let plan = soak::Plan {
                seed,
                gateways: gateways.into(),
                length: Duration::from_secs(seconds),
                gateway: gateway.unwrap_or_else(|| sibling("delivery-gateway")),
                shim: shim.unwrap_or_else(|| sibling("examples").join("libfault_shim.so")),
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
