//! How the module's sweeps are measured: all sizes side by side, interleaved over rounds, in processor time of this
//! thread and in bytes of the counting allocator.

use crate::bounds::{allocated, Guard, NotRun};
use crate::experiment::{Experiment, Sweep};
use crate::fit::median;
use crate::processor_time::processor_time;
use crate::report::{Figure, Point};
use crate::scheduler_sweeps::Rig;
use hdrhistogram::Histogram;
use std::time::Instant;
use tracing::info;

/// Steps that a size is measured for at least in a round, however long they take.
const LEAST_STEPS: u64 = 8;
/// Times of a step that can be told apart: up to ten seconds, to a hundredth.
const LONGEST_STEP_NS: u64 = 10_000_000_000;

/// A size that is being measured.
struct Measured {
    size: u64,
    rig: Rig,
    memory: u64,
    /// By round: processor time of a step in nanoseconds.
    rounds: Vec<f64>,
    looked_at: u64,
    steps: Histogram<u64>,
}

impl Measured {
    fn round(&mut self, experiment: &Experiment, guard: &Guard) -> Result<(), NotRun> {
        let (most, longest) = (*experiment.work.steps.get_ref(), experiment.work.block());
        let (begun, cpu) = (Instant::now(), processor_time());
        let (delivered, looked_at) = (self.rig.hollow.counts.delivered, self.rig.hollow.looked_at());
        let mut steps = 0;
        while steps < most && (steps < LEAST_STEPS || begun.elapsed() < longest) {
            let at = Instant::now();
            self.rig.step()?;
            self.steps.saturating_record(at.elapsed().as_nanos() as u64);
            steps += 1;
        }
        self.rounds.push((processor_time() - cpu).as_nanos() as f64 / steps as f64);
        self.looked_at += self.rig.hollow.looked_at() - looked_at;
        self.rig.check(delivered, steps)?;
        guard.check()
    }
}

/// Measures a sweep of the module. Each size has its point, or the reason why it has none.
pub fn sweep(experiment: &Experiment, sweep: &Sweep, guard: &Guard) -> Vec<Point> {
    let sizes: Vec<u64> = sweep.sizes.iter().map(|size| *size.get_ref()).collect();
    let mut points: Vec<Point> = Vec::new();
    let mut measured: Vec<Measured> = Vec::new();
    for size in sizes {
        match build(experiment, sweep, size, guard) {
            Ok(rig) => measured.push(rig),
            Err(why) => points.push(Point::not_run(size, &why)),
        }
    }
    for round in 0..*experiment.work.rounds.get_ref() {
        // Another size begins each round, so that what the machine does meanwhile falls on all alike.
        if let Some(first) = (!measured.is_empty()).then(|| round as usize % measured.len()) {
            measured.rotate_left(first.min(1));
        }
        let mut at = 0;
        while at < measured.len() {
            match measured[at].round(experiment, guard) {
                Ok(()) => at += 1,
                Err(why) => points.push(Point::not_run(measured.remove(at).size, &why)),
            }
        }
    }
    measured.sort_by_key(|measured| measured.size);
    let base = measured.first().map(|smallest| smallest.rounds.clone()).unwrap_or_default();
    points.extend(measured.iter().map(|measured| point(measured, &base)));
    points.sort_by_key(|point| point.size);
    points
}

fn build(experiment: &Experiment, sweep: &Sweep, size: u64, guard: &Guard) -> Result<Measured, NotRun> {
    guard.check()?;
    let steps = Histogram::new_with_bounds(1, LONGEST_STEP_NS, 2)
        .map_err(|error| NotRun::failed("the histogram", error))?;
    let before = allocated();
    let mut rig = Rig::build(experiment, sweep.kind(), size, guard)?;
    rig.settle(experiment.work.longest_latency(), guard)?;
    let memory = allocated().saturating_sub(before + rig.own);
    info!(kind = %sweep.kind(), size, out = rig.hollow.out(), circuit_records = rig.hollow.circuit_records(), memory, "set up");
    Ok(Measured { size, rig, memory, rounds: Vec::new(), looked_at: 0, steps })
}

fn point(measured: &Measured, base: &[f64]) -> Point {
    let mut ratios: Vec<f64> = measured.rounds.iter().zip(base).map(|(own, base)| own / base).collect();
    let ratio = median(&mut ratios).unwrap_or(f64::NAN);
    let smallest = median(&mut base.to_vec()).unwrap_or(f64::NAN);
    let mut figures = measured.rig.figures.clone();
    figures.extend([
        (Figure::StepRatio, ratio),
        // By the ratio, as the machine's pace changes from round to round, but hardly within one.
        (Figure::StepNs, ratio * smallest),
        (Figure::LookedAt, measured.looked_at as f64 / measured.steps.len().max(1) as f64),
        (Figure::StepP99Ns, measured.steps.value_at_quantile(0.99) as f64),
        (Figure::MemoryBytes, measured.memory as f64),
    ]);
    match measured.rig.hollow.handed_over() {
        Ok(bytes) => drop(figures.insert(Figure::HandOverBytes, bytes as f64)),
        Err(error) => return Point::not_run(measured.size, &NotRun::failed("the hand-over", error)),
    }
    Point::ran(measured.size, figures)
}
