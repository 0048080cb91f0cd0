//! The report of a run: tables as text, all results as JSON, and a list of the budgets that are passed, the smallest
//! size relative to the target first.

use serde::{Serialize, Serializer};
use std::fmt::Write;

use crate::experiment::{Kind, Target};
use crate::figures::{Figure, Point};
use crate::fit::Fit;

/// The growth of a figure with the size, as fitted to the points of a sweep.
#[derive(Debug, Serialize)]
struct Growth {
    figure: Figure,
    slope: f64,
    constant: f64,
    /// The largest distance of a point from the line, relative to the value measured there.
    largest_residual: f64,
    exponent: f64,
    exponent_range: (f64, f64),
    worse_than_linear: bool,
    budget: Option<f64>,
    /// The size at which the budget is passed; `None` if growth never reaches it or the figure has no budget.
    #[serde(serialize_with = "finite")]
    passed_at: Option<f64>,
    /// `passed_at` divided by the size at the target.
    #[serde(serialize_with = "finite", rename = "share_of_target")]
    ratio_to_target: Option<f64>,
    /// Whether `passed_at` is outside of the measured sizes.
    extrapolated: bool,
}

/// Serializes a number that is not finite as null, because JSON has no such numbers.
fn finite<S: Serializer>(value: &Option<f64>, serializer: S) -> Result<S::Ok, S::Error> {
    value.filter(|value| value.is_finite()).serialize(serializer)
}

/// The results of one sweep.
#[derive(Debug, Serialize)]
struct SweepReport {
    kind: Kind,
    target_size: f64,
    points: Vec<Point>,
    growth: Vec<Growth>,
}

/// The results of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    seed: u64,
    cores: usize,
    memory_bound_bytes: u64,
    target: Target,
    sweeps: Vec<SweepReport>,
}

impl Report {
    /// Creates a report without results.
    pub fn new(seed: u64, memory_bound_bytes: u64, target: Target) -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        Report { seed, cores, memory_bound_bytes, target, sweeps: Vec::new() }
    }

    /// Adds the results of a sweep, and returns its table.
    pub fn add(&mut self, kind: Kind, points: Vec<Point>) -> String {
        let target_size = self.target.size(kind);
        let mut figures: Vec<Figure> =
            points.iter().flat_map(|point| point.figures.keys().copied()).collect();
        figures.sort_unstable();
        figures.dedup();
        let growth = figures
            .iter()
            .filter(|figure| figure.is_fitted())
            .filter_map(|figure| self.growth(*figure, kind, target_size, &points));
        let sweep = SweepReport { kind, target_size, growth: growth.collect(), points };
        let table = sweep.table(&figures);
        self.sweeps.push(sweep);
        table
    }

    fn growth(&self, figure: Figure, kind: Kind, target_size: f64, points: &[Point]) -> Option<Growth> {
        let points: Vec<(f64, f64)> = points
            .iter()
            .filter_map(|point| Some((point.size as f64, *point.figures.get(&figure)?)))
            .collect();
        let fit = Fit::through(&points)?;
        let budget = figure.budget(kind, &self.target);
        let passed_at = budget.and_then(|budget| fit.size_at(budget, &points));
        Some(Growth {
            figure,
            slope: fit.slope,
            constant: fit.constant,
            largest_residual: fit.largest_residual,
            exponent: fit.exponent,
            exponent_range: fit.range,
            worse_than_linear: fit.is_worse_than_linear(),
            budget,
            passed_at,
            ratio_to_target: passed_at.map(|size| size / target_size),
            extrapolated: passed_at
                .is_some_and(|size| !(points[0].0..=points[points.len() - 1].0).contains(&size)),
        })
    }

    /// Returns a table of the sizes at which budgets are passed, the smallest relative to the target first, and the
    /// list of sizes that were not run.
    pub fn summary(&self) -> String {
        let mut out = String::from("Where the target's budgets are passed, the first limit first:\n");
        out.push_str(&summary_line(["sweep", "figure", "budget", "passed at", "target size", "share"]));
        for PassedBudget { sweep, growth, ratio_to_target } in self.passed_budgets() {
            let suffix = if growth.extrapolated { " extrapolated" } else { "" };
            out.push_str(&summary_line([
                &sweep.kind.to_string(),
                growth.figure.name(),
                &format_short(growth.budget.unwrap_or(f64::NAN)),
                &format_short(growth.passed_at.unwrap_or(f64::NAN)),
                &format_short(sweep.target_size),
                &format!("{}{suffix}", format_short(ratio_to_target)),
            ]));
        }
        for sweep in &self.sweeps {
            for point in &sweep.points {
                if let Some(reason) = &point.not_run {
                    let _ = writeln!(out, "  not run: {} {}: {reason}", sweep.kind, point.size);
                }
            }
        }
        out
    }

    /// Returns the budgets that are passed at some size, in ascending order of the size relative to the target's.
    fn passed_budgets(&self) -> Vec<PassedBudget<'_>> {
        let mut passed = Vec::new();
        for sweep in &self.sweeps {
            passed.extend(sweep.growth.iter().filter_map(|growth| {
                let ratio_to_target = growth.ratio_to_target?;
                Some(PassedBudget { sweep, growth, ratio_to_target })
            }));
        }
        passed.sort_by(|a, b| a.ratio_to_target.total_cmp(&b.ratio_to_target));
        passed
    }

    /// Returns all results as JSON.
    ///
    /// # Errors
    /// Returns an error if the results cannot be encoded.
    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }
}

/// A budget that is passed at some size.
struct PassedBudget<'a> {
    sweep: &'a SweepReport,
    growth: &'a Growth,
    ratio_to_target: f64,
}

fn summary_line([sweep, figure, budget, passed_at, target_size, ratio]: [&str; 6]) -> String {
    format!("  {sweep:<20} {figure:<20} {budget:>12} {passed_at:>12} {target_size:>12} {ratio:>10}\n")
}

impl SweepReport {
    /// Returns a table with a line for each size and a line for the growth of each figure.
    fn table(&self, figures: &[Figure]) -> String {
        let mut out = format!("{} (target size {})\n", self.kind, format_short(self.target_size));
        let _ = write!(out, "  {:>12}", "size");
        for figure in figures {
            let _ = write!(out, " {:>20}", figure.name());
        }
        out.push('\n');
        for point in &self.points {
            out.push_str(&point_line(point, figures));
        }
        for growth in &self.growth {
            out.push_str(&growth_line(growth));
        }
        out
    }
}

fn point_line(point: &Point, figures: &[Figure]) -> String {
    let mut line = format!("  {:>12}", point.size);
    if let Some(reason) = &point.not_run {
        let _ = writeln!(line, " not run: {reason}");
        return line;
    }
    for figure in figures {
        let value = point.figures.get(figure).map_or("-".to_owned(), |value| format_short(*value));
        let _ = write!(line, " {value:>20}");
    }
    if let Some(note) = &point.note {
        let _ = write!(line, "  {note}");
    }
    line.push('\n');
    line
}

fn growth_line(growth: &Growth) -> String {
    let (from, to) = growth.exponent_range;
    format!(
        "  {}: {} per unit plus {}, points within {:.0}%; exponent {:.2} from {} to {}{}\n",
        growth.figure.name(),
        format_short(growth.slope),
        format_short(growth.constant),
        growth.largest_residual * 100.0,
        growth.exponent,
        format_short(from),
        format_short(to),
        if growth.worse_than_linear { ", WORSE THAN LINEAR" } else { "" },
    )
}

/// Formats a number with a few significant digits, and with a suffix for powers of a thousand.
fn format_short(value: f64) -> String {
    let units = [(1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k")];
    match units.iter().find(|(unit, _)| value.abs() >= *unit) {
        Some((unit, name)) => format!("{:.1} {name}", value / unit),
        None if value == 0.0 || value.abs() >= 10.0 => format!("{value:.0}"),
        None if value.abs() >= 0.01 => format!("{value:.2}"),
        None => format!("{value:.1e}"),
    }
}
