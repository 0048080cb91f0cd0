//! The scheduler visits only what has changed or come due, and decides wrongly if its indexes miss a change. This
//! differential test runs it beside a reference that visits everything at each step (`tests/reference/`): both get the
//! same random histories (sequences of events and times), with fixed seeds. At every decision all their actions are
//! compared in order, with the circuit records and the remaining Retry-Afters; in between also admissions, suggested
//! Retry-Afters and longest queues, and the initial watch delay after a restart.
//!
//! `SAME_DECISIONS_CASES=5000 cargo test --release --test same_decisions` runs that many cases for each seed.

mod comparison;
mod coverage;
mod endpoint_behavior;
mod history;
mod messages;
#[path = "../reference/mod.rs"]
mod reference;
mod schedulers;
mod simulation;
mod steps;

use history::{histories, scenarios, HistoryStep, Scenario};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use simulation::Simulation;
use std::time::Duration;

/// The number of cases for each seed, unless [`CASES_VARIABLE`] has another. A case is a scenario and a history.
const CASES: u32 = 100;
/// The environment variable with the number of cases for each seed.
const CASES_VARIABLE: &str = "SAME_DECISIONS_CASES";
/// The maximum number of attempts to find a shorter history that fails too.
const MAX_SHRINK_ITERATIONS: u32 = 3000;
/// After more decisions than this, the remaining steps of a history are left out.
const MAX_DECISIONS: usize = 1500;
/// Seconds that pass after a history, so that most of its messages and calls complete.
const SETTLING_SECONDS: usize = 12;

/// Runs one history, and [`SETTLING_SECONDS`] after it.
fn run_history(scenario: Scenario, history: &[HistoryStep]) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(scenario);
    simulation.decide()?;
    for HistoryStep { step, decides } in history {
        if simulation.decisions > MAX_DECISIONS {
            break;
        }
        simulation.step(step)?;
        if *decides {
            simulation.decide()?;
        }
    }
    for _ in 0..SETTLING_SECONDS {
        simulation.settle(Duration::from_secs(1))?;
        simulation.decide()?;
    }
    Ok(())
}

/// Runs many histories of one seed. Panics at a difference, and unless they reached all that is to be compared.
fn assert_same_decisions(seed: u8) {
    let cases = std::env::var(CASES_VARIABLE).ok().and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERATIONS,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let result = TestRunner::new_with_rng(config, rng)
        .run(&(scenarios(), histories()), |(scenario, history)| run_history(scenario, &history));
    match result {
        Ok(()) => coverage::assert_all_reached(seed),
        Err(TestError::Fail(reason, (scenario, history))) => {
            let steps: String = history.iter().map(|step| format!("  {step:?}\n")).collect();
            panic!("{reason}\nshortest history found:\n  {scenario:?}\n{steps}");
        }
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn same_decisions_by_seed_1() {
    assert_same_decisions(1);
}

#[test]
fn same_decisions_by_seed_2() {
    assert_same_decisions(2);
}

#[test]
fn same_decisions_by_seed_3() {
    assert_same_decisions(3);
}

#[test]
fn same_decisions_by_seed_4() {
    assert_same_decisions(4);
}
