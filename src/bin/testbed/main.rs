//! testbed: how what a courier spends grows with what it knows, holds and does.
//!
//! `testbed scale FILE.toml` runs one experiment. Hollow couriers share this process; real ones are started beside
//! it. Loopback only; every loop is bounded, and all that was started ends with it.
#![forbid(unsafe_code)]

mod bounds;
mod experiment;
// The tests use more of it.
#[allow(dead_code)]
mod fault_page;
mod fit;
mod measure;
mod processor_time;
mod report;
mod restart;
mod scheduler_sweeps;
mod simulated;
mod soak;
// The tests use more of them.
#[allow(dead_code)]
mod stubs;
mod watchers;

use clap::{Parser, Subcommand};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
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

/// Experiments with couriers, on this machine alone.
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
        /// The courier's binary; the one beside this if absent.
        #[arg(long, value_name = "FILE")]
        courier: Option<PathBuf>,
    },
    /// Plays real couriers among troubles, one soak for each seed, and tells which rules were broken.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Soaks, each with the next seed.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Couriers that live at a time.
        #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=100))]
        couriers: u16,
        /// Length of each soak, in seconds.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// The courier's binary; the one beside this if absent.
        #[arg(long, value_name = "FILE")]
        courier: Option<PathBuf>,
        /// The shim that lets system calls fail; the one that `cargo build --examples` puts beside this if absent.
        #[arg(long, value_name = "FILE")]
        shim: Option<PathBuf>,
        /// Where the logs of couriers go if a rule was broken.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
    },
}

#[derive(Debug, Error)]
enum LabError {
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
    #[error("the soak cannot be played: {0}")]
    Soak(std::io::Error),
    #[error("{0} is missing; cargo build --release --examples makes it")]
    Missing(PathBuf),
    #[error("{0} rules were broken")]
    Broken(usize),
}

/// Tells a flag of the first SIGINT or SIGTERM.
fn heed_signals() -> Result<Arc<AtomicBool>, LabError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, interrupted.clone()).map_err(LabError::Signals)?;
    }
    Ok(interrupted)
}

fn scale(
    file: PathBuf,
    only: &[String],
    json: Option<PathBuf>,
    courier: Option<PathBuf>,
) -> Result<(), LabError> {
    let machine = experiment::machine_memory()?;
    let experiment = experiment::read(&file, machine, only)?;
    let beside = || std::env::current_exe().unwrap_or_default().with_file_name("delivery-gateway");
    let courier = courier.unwrap_or_else(beside);
    if experiment.sweep.iter().any(|sweep| sweep.kind().is_real()) && !courier.is_file() {
        return Err(ExperimentError::NoCourier(courier).into());
    }
    let json = match json {
        Some(path) => {
            let file = File::create(&path).map_err(|error| LabError::Json(path.clone(), error))?;
            Some((path, file))
        }
        None => None,
    };
    let guard = Guard::new(&experiment.bounds, heed_signals()?);
    let mut report = Report::new(experiment.seed, experiment.bounds.memory(), experiment.target.clone());
    for sweep in &experiment.sweep {
        let points = match sweep.kind() {
            Kind::Journal => restart::sweep(sweep, &courier, &guard),
            Kind::Watchers | Kind::WatchersReturn => watchers::sweep(&experiment, sweep, &guard),
            _ => measure::sweep(&experiment, sweep, &guard),
        };
        println!("{}", report.add(sweep.kind(), points));
    }
    print!("{}", report.summary());
    if let Some((path, mut file)) = json {
        let written = file.write_all(report.json()?.as_bytes());
        written.map_err(|error| LabError::Json(path, error))?;
    }
    if guard.is_interrupted() {
        warn!("interrupted: what was not measured by then is said to be not run");
        return Err(LabError::Interrupted);
    }
    Ok(())
}

/// Plays the soaks of some seeds, one after the other; each tells its figures.
fn soak(plan: soak::Plan, seeds: u64) -> Result<(), LabError> {
    for file in [&plan.courier, &plan.shim] {
        if !file.is_file() {
            return Err(LabError::Missing(file.clone()));
        }
    }
    let interrupted = heed_signals()?;
    let mut broken = 0;
    for seed in plan.seed..plan.seed.saturating_add(seeds) {
        if interrupted.load(Ordering::SeqCst) {
            return Err(LabError::Interrupted);
        }
        let verdict = soak::run(&Arc::new(soak::Plan { seed, ..plan.clone() })).map_err(LabError::Soak)?;
        print!("{}", verdict.report);
        broken += verdict.broken;
    }
    if broken == 0 {
        Ok(())
    } else {
        Err(LabError::Broken(broken))
    }
}

fn main() -> ExitCode {
    // Thousands of watches that break and are begun again say so elsewhere: they are counted.
    let levels =
        Targets::new().with_default(LevelFilter::INFO).with_target("delivery_gateway", LevelFilter::ERROR);
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    lines.finish().with(levels).init();
    let played = match Arguments::parse().verb {
        Verb::Scale { file, only, json, courier } => scale(file, &only, json, courier),
        Verb::Soak { seed, seeds, couriers, seconds, courier, shim, logs } => {
            let beside = |name: &str| std::env::current_exe().unwrap_or_default().with_file_name(name);
            let plan = soak::Plan {
                seed,
                couriers: couriers.into(),
                length: Duration::from_secs(seconds),
                courier: courier.unwrap_or_else(|| beside("delivery-gateway")),
                shim: shim.unwrap_or_else(|| beside("examples").join("libfault_shim.so")),
                logs,
            };
            soak(plan, seeds)
        }
    };
    match played {
        Ok(()) => ExitCode::SUCCESS,
        Err(LabError::Interrupted) => ExitCode::from(INTERRUPTED),
        Err(error) => {
            error!("{error}");
            ExitCode::FAILURE
        }
    }
}
