//! lab: how what a courier spends grows with what it knows, holds and does.
//!
//! `lab scale FILE.toml` runs one experiment. Hollow couriers share this process; real ones are started beside
//! it. Loopback only; every loop is bounded, and all that was started ends with it.
#![forbid(unsafe_code)]

mod bounds;
mod experiment;
mod fit;
mod hollow;
mod measure;
mod module;
mod report;
mod restart;
// The tests use more of them.
#[allow(dead_code)]
mod stand_ins;
mod watchers;

use clap::{Parser, Subcommand};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
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
    let beside = || std::env::current_exe().unwrap_or_default().with_file_name("gullcart");
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

fn main() -> ExitCode {
    // Thousands of watches that break and are begun again say so elsewhere: they are counted.
    let levels =
        Targets::new().with_default(LevelFilter::INFO).with_target("cloverstile", LevelFilter::ERROR);
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    lines.finish().with(levels).init();
    let Verb::Scale { file, only, json, courier } = Arguments::parse().verb;
    match scale(file, &only, json, courier) {
        Ok(()) => ExitCode::SUCCESS,
        Err(LabError::Interrupted) => ExitCode::from(INTERRUPTED),
        Err(error) => {
            error!("{error}");
            ExitCode::FAILURE
        }
    }
}
