//! The scheduler looks only at what has changed or come due. This differential test checks that it decides the same as
//! a reference that looks through everything at each step (`tests/reference/`): random histories with fixed seeds are
//! played to both, and at every step all actions are compared in their order, with all else that a scheduler can be
//! asked.
//!
//! `SAME_DECISIONS_CASES=5000 cargo test --release --test same_decisions` plays that many cases for each seed.

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

/// Cases for each of the seeds, unless the environment says another number.
const CASES: u32 = 100;
/// The environment variable that says another number.
const CASES_VARIABLE: &str = "SAME_DECISIONS_CASES";
/// Attempts to find a shorter history that fails too.
const MAX_SHRINK_ITERATIONS: u32 = 3000;
/// Decisions of one case at most; the history ends early beyond them.
const MAX_DECISIONS: usize = 1500;
/// Seconds that pass after a history, until little is left of what it began.
const SETTLING_SECONDS: usize = 12;

/// Plays one history to its end, and then until little is left of what it began.
fn play(scenario: Scenario, history: &[HistoryStep]) -> Result<(), TestCaseError> {
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

/// Plays many histories of one seed, and requires that they reached all that is to be compared.
fn same_decisions(seed: u8) {
    let cases = std::env::var(CASES_VARIABLE).ok().and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERATIONS,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let played = TestRunner::new_with_rng(config, rng)
        .run(&(scenarios(), histories()), |(scenario, history)| play(scenario, &history));
    match played {
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
    same_decisions(1);
}

#[test]
fn same_decisions_by_seed_2() {
    same_decisions(2);
}

#[test]
fn same_decisions_by_seed_3() {
    same_decisions(3);
}

#[test]
fn same_decisions_by_seed_4() {
    same_decisions(4);
}
