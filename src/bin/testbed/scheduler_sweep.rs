//! Measures the sweeps of the scheduler. All sizes are set up, one after another, before the first round. In each round
//! they are measured in turn. Steps are measured in processor time of this thread, except for their 99th percentile,
//! which is elapsed time. Memory is measured in bytes of the counting allocator.

use hdrhistogram::Histogram;
use std::time::Instant;
use tracing::info;

use crate::bounds::{allocated, NotRun, RunBounds};
use crate::experiment::{Experiment, Sweep};
use crate::figures::{Figure, Point};
use crate::fit::median;
use crate::processor_time::processor_time;
use crate::scheduler_rig::SchedulerRig;

/// The minimum number of steps for which a size is measured in a round, even if they take longer than the maximum time.
/// The experiment's `steps` still limits it.
const MIN_STEPS: u64 = 8;
/// The maximum value of the histogram of step times, in nanoseconds. Longer steps are recorded as this value.
const MAX_RECORDED_STEP_NS: u64 = 10_000_000_000;
/// The precision of the histogram in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 2;

/// A size that is being measured.
struct MeasuredSize {
    size: u64,
    rig: SchedulerRig,
    /// The memory that was allocated for the setup, without the rig's own memory.
    memory_bytes: u64,
    /// The mean processor time of a step in each round, in nanoseconds.
    step_ns_by_round: Vec<f64>,
    /// The number of items that the scheduler has examined in all measured steps.
    items_examined: u64,
    /// The elapsed time of each step, in nanoseconds.
    step_times: Histogram<u64>,
}

impl MeasuredSize {
    fn build(experiment: &Experiment, sweep: &Sweep, size: u64, bounds: &RunBounds) -> Result<Self, NotRun> {
        bounds.check()?;
        let step_times = Histogram::new_with_bounds(1, MAX_RECORDED_STEP_NS, HISTOGRAM_DIGITS)
            .map_err(|error| NotRun::failed("cannot create the histogram", error))?;
        let before = allocated();
        let mut rig = SchedulerRig::build(experiment, sweep.kind(), size, bounds)?;
        rig.settle(experiment.work.max_latency(), bounds)?;
        let memory_bytes = allocated().saturating_sub(before + rig.own_bytes);
        info!(
            kind = %sweep.kind(),
            size,
            calls_in_flight = rig.gateway.calls_in_flight(),
            circuit_records = rig.gateway.circuit_records(),
            memory_bytes,
            "scheduler set up"
        );
        Ok(MeasuredSize {
            size,
            rig,
            memory_bytes,
            step_ns_by_round: Vec::new(),
            items_examined: 0,
            step_times,
        })
    }

    /// Measures steps until the maximum number of steps or the maximum time for one round is reached.
    fn run_round(&mut self, experiment: &Experiment, bounds: &RunBounds) -> Result<(), NotRun> {
        let max_steps = *experiment.work.steps.get_ref();
        let max_time = experiment.work.block_time();
        let begun_at = Instant::now();
        let processor_time_before = processor_time();
        let delivered_before = self.rig.gateway.counts.delivered;
        let examined_before = self.rig.gateway.items_examined();
        let mut steps = 0;
        while steps < max_steps && (steps < MIN_STEPS || begun_at.elapsed() < max_time) {
            let step_begun_at = Instant::now();
            self.rig.step()?;
            self.step_times.saturating_record(step_begun_at.elapsed().as_nanos() as u64);
            steps += 1;
        }
        let processor_time_spent = processor_time() - processor_time_before;
        self.step_ns_by_round.push(processor_time_spent.as_nanos() as f64 / steps as f64);
        self.items_examined += self.rig.gateway.items_examined() - examined_before;
        self.rig.check_deliveries(delivered_before, steps)?;
        bounds.check()
    }

    /// Returns the result of this size. In each round its step time is divided by the smallest size's, because the
    /// machine's speed changes from round to round, but hardly within a round. The step time in the result is the
    /// median of these ratios, multiplied by the median step time of the smallest size.
    fn point(&self, smallest_size_ns_by_round: &[f64]) -> Point {
        let rounds = self.step_ns_by_round.iter().zip(smallest_size_ns_by_round);
        let mut ratios: Vec<f64> = rounds.map(|(own, smallest)| own / smallest).collect();
        let ratio = median(&mut ratios).unwrap_or(f64::NAN);
        let smallest_size_ns = median(&mut smallest_size_ns_by_round.to_vec()).unwrap_or(f64::NAN);
        let mut figures = self.rig.figures.clone();
        figures.extend([
            (Figure::StepRatio, ratio),
            (Figure::StepNs, ratio * smallest_size_ns),
            (Figure::ItemsExamined, self.items_examined as f64 / self.step_times.len().max(1) as f64),
            (Figure::StepP99Ns, self.step_times.value_at_quantile(0.99) as f64),
            (Figure::MemoryBytes, self.memory_bytes as f64),
        ]);
        match self.rig.gateway.handover_bytes() {
            Ok(bytes) => drop(figures.insert(Figure::HandOverBytes, bytes as f64)),
            Err(error) => {
                return Point::not_run(
                    self.size,
                    &NotRun::failed("cannot encode the scheduler's state", error),
                )
            }
        }
        Point::ran(self.size, figures)
    }
}

/// Measures a sweep of the scheduler. Returns a point for each size, with its figures or the reason why it was not run.
pub fn sweep(experiment: &Experiment, sweep: &Sweep, bounds: &RunBounds) -> Vec<Point> {
    let mut points: Vec<Point> = Vec::new();
    let mut measured: Vec<MeasuredSize> = Vec::new();
    for size in sweep.sizes() {
        match MeasuredSize::build(experiment, sweep, size, bounds) {
            Ok(built) => measured.push(built),
            Err(reason) => points.push(Point::not_run(size, &reason)),
        }
    }
    for round in 0..*experiment.work.rounds.get_ref() {
        // The order of the sizes is rotated by one, so that other load on the machine affects all sizes equally. A
        // round whose number, from 0, is a multiple of the number of sizes keeps the order of the round before.
        if let Some(cycle_position) = (!measured.is_empty()).then(|| round as usize % measured.len()) {
            measured.rotate_left(cycle_position.min(1));
        }
        let mut index = 0;
        while index < measured.len() {
            match measured[index].run_round(experiment, bounds) {
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
