//! Measures the sweeps of the scheduler: all sizes side by side, interleaved over rounds, in processor time of this
//! thread and in bytes of the counting allocator.

use hdrhistogram::Histogram;
use std::time::Instant;
use tracing::info;

use crate::bounds::{allocated, Guard, NotRun};
use crate::experiment::{Experiment, Sweep};
use crate::figures::{Figure, Point};
use crate::fit::median;
use crate::processor_time::processor_time;
use crate::scheduler_rig::SchedulerRig;

/// Steps that a size is measured for at least in a round, however long they take.
const MIN_STEPS: u64 = 8;
/// Longest time of a step that the histogram tells apart from others.
const LONGEST_STEP_NS: u64 = 10_000_000_000;
/// Decimal digits to which it does.
const HISTOGRAM_DIGITS: u8 = 2;

/// A size that is being measured.
struct Measured {
    size: u64,
    rig: SchedulerRig,
    memory_bytes: u64,
    /// By round: processor time of a step.
    step_ns_by_round: Vec<f64>,
    items_examined: u64,
    /// Elapsed time of each step, in nanoseconds.
    steps: Histogram<u64>,
}

impl Measured {
    fn build(experiment: &Experiment, sweep: &Sweep, size: u64, guard: &Guard) -> Result<Self, NotRun> {
        guard.check()?;
        let steps = Histogram::new_with_bounds(1, LONGEST_STEP_NS, HISTOGRAM_DIGITS)
            .map_err(|error| NotRun::failed("the histogram", error))?;
        let before = allocated();
        let mut rig = SchedulerRig::build(experiment, sweep.kind(), size, guard)?;
        rig.settle(experiment.work.longest_latency(), guard)?;
        let memory_bytes = allocated().saturating_sub(before + rig.own_bytes);
        info!(
            kind = %sweep.kind(),
            size,
            calls_in_flight = rig.gateway.calls_in_flight(),
            circuit_records = rig.gateway.circuit_records(),
            memory_bytes,
            "set up"
        );
        Ok(Measured { size, rig, memory_bytes, step_ns_by_round: Vec::new(), items_examined: 0, steps })
    }

    /// Measures some steps.
    fn run_round(&mut self, experiment: &Experiment, guard: &Guard) -> Result<(), NotRun> {
        let max_steps = *experiment.work.steps.get_ref();
        let max_time = experiment.work.block();
        let begun_at = Instant::now();
        let processor_time_before = processor_time();
        let delivered_before = self.rig.gateway.counts.delivered;
        let examined_before = self.rig.gateway.items_examined();
        let mut steps = 0;
        while steps < max_steps && (steps < MIN_STEPS || begun_at.elapsed() < max_time) {
            let step_begun_at = Instant::now();
            self.rig.step()?;
            self.steps.saturating_record(step_begun_at.elapsed().as_nanos() as u64);
            steps += 1;
        }
        let spent = processor_time() - processor_time_before;
        self.step_ns_by_round.push(spent.as_nanos() as f64 / steps as f64);
        self.items_examined += self.rig.gateway.items_examined() - examined_before;
        self.rig.check(delivered_before, steps)?;
        guard.check()
    }

    /// The point of this size. Times are by the ratio to the smallest size within each round, as the machine's speed
    /// changes from round to round, but hardly within one.
    fn point(&self, smallest_ns_by_round: &[f64]) -> Point {
        let rounds = self.step_ns_by_round.iter().zip(smallest_ns_by_round);
        let mut ratios: Vec<f64> = rounds.map(|(own, smallest)| own / smallest).collect();
        let ratio = median(&mut ratios).unwrap_or(f64::NAN);
        let smallest_ns = median(&mut smallest_ns_by_round.to_vec()).unwrap_or(f64::NAN);
        let mut figures = self.rig.figures.clone();
        figures.extend([
            (Figure::StepRatio, ratio),
            (Figure::StepNs, ratio * smallest_ns),
            (Figure::ItemsExamined, self.items_examined as f64 / self.steps.len().max(1) as f64),
            (Figure::StepP99Ns, self.steps.value_at_quantile(0.99) as f64),
            (Figure::MemoryBytes, self.memory_bytes as f64),
        ]);
        match self.rig.gateway.handover_bytes() {
            Ok(bytes) => drop(figures.insert(Figure::HandOverBytes, bytes as f64)),
            Err(error) => return Point::not_run(self.size, &NotRun::failed("the hand-over", error)),
        }
        Point::ran(self.size, figures)
    }
}

/// Measures a sweep of the scheduler. Each size has its point, or the reason why it has none.
pub fn sweep(experiment: &Experiment, sweep: &Sweep, guard: &Guard) -> Vec<Point> {
    let mut points: Vec<Point> = Vec::new();
    let mut measured: Vec<Measured> = Vec::new();
    for size in sweep.sizes() {
        match Measured::build(experiment, sweep, size, guard) {
            Ok(built) => measured.push(built),
            Err(reason) => points.push(Point::not_run(size, &reason)),
        }
    }
    for round in 0..*experiment.work.rounds.get_ref() {
        // Another size begins each round, so that other load on the machine falls on all alike.
        if let Some(first) = (!measured.is_empty()).then(|| round as usize % measured.len()) {
            measured.rotate_left(first.min(1));
        }
        let mut index = 0;
        while index < measured.len() {
            match measured[index].run_round(experiment, guard) {
                Ok(()) => index += 1,
                Err(reason) => points.push(Point::not_run(measured.remove(index).size, &reason)),
            }
        }
    }
    measured.sort_by_key(|measured| measured.size);
    let smallest = measured.first().map(|smallest| smallest.step_ns_by_round.clone()).unwrap_or_default();
    points.extend(measured.iter().map(|measured| measured.point(&smallest)));
    points.sort_by_key(|point| point.size);
    points
}
