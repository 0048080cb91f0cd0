//! What a run has found: the table for people, the JSON for programs, and which limit is met first.

use crate::bounds::NotRun;
use crate::experiment::{Kind, Target};
use crate::fit::Fit;
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt::Write;

/// What is measured at a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Processor time of a step against that of the smallest size, within each round.
    StepRatio,
    StepNs,
    StepP99Ns,
    /// Destinations, messages, calls, routes and endpoints that the module looked at for a step, by its own count.
    LookedAt,
    MemoryBytes,
    /// Of the module's memory, on its way to another process.
    HandOverBytes,
    /// The whole list as discovery tells it, and the processor time of taking it in.
    ListBytes,
    ListNs,
    /// From a real courier's start to its first `+PONG`, and the processor time that this took.
    ReadyMs,
    ReadyCpuNs,
    /// The most memory that a real courier had in use by then.
    ProcessBytes,
    JournalBytes,
    /// Of the messages that it found, those that it sent on, and until when it had sent all.
    TriedShare,
    TriedMs,
    /// Until all watch the list for the first time, and until all have a change.
    FirstWatchMs,
    AllHaveMs,
    /// Processor time of all watchers for one change.
    WatchersNs,
    /// Bytes that discovery wrote for one change.
    ToldBytes,
    /// Of the watchers, those that have a change within the target's time.
    InForceShare,
    Connections,
    Refusals,
}

impl Figure {
    fn name(self) -> &'static str {
        match self {
            Figure::StepRatio => "step, ratio",
            Figure::StepNs => "step, ns of a core",
            Figure::StepP99Ns => "step, p99 ns",
            Figure::LookedAt => "step, looked at",
            Figure::MemoryBytes => "memory, bytes",
            Figure::HandOverBytes => "hand-over, bytes",
            Figure::ListBytes => "whole list, bytes",
            Figure::ListNs => "whole list, ns",
            Figure::ReadyMs => "until +PONG, ms",
            Figure::ReadyCpuNs => "until +PONG, ns",
            Figure::ProcessBytes => "process, bytes",
            Figure::JournalBytes => "journal, bytes",
            Figure::TriedShare => "tried, share",
            Figure::TriedMs => "all tried after, ms",
            Figure::FirstWatchMs => "all watch after, ms",
            Figure::AllHaveMs => "all have it, ms",
            Figure::WatchersNs => "watchers, ns of core",
            Figure::ToldBytes => "told, bytes",
            Figure::InForceShare => "in force, share",
            Figure::Connections => "connections",
            Figure::Refusals => "refusals",
        }
    }

    /// Ratios and tails are told, and refusals, which begin at some size; but no line is laid through them.
    fn is_fitted(self) -> bool {
        !matches!(
            self,
            Figure::StepRatio
                | Figure::StepP99Ns
                | Figure::TriedShare
                | Figure::InForceShare
                | Figure::Refusals
        )
    }

    /// What a courier has for it at the target, if the target says so.
    fn budget(self, kind: Kind, target: &Target) -> Option<f64> {
        match self {
            Figure::StepNs if kind == Kind::ListChange => Some(target.change_ns()),
            Figure::StepNs => Some(target.event_ns()),
            // Of many couriers at once.
            Figure::MemoryBytes if matches!(kind, Kind::Watchers | Kind::WatchersReturn) => None,
            Figure::AllHaveMs => Some(target.in_force_s * 1e3),
            Figure::MemoryBytes | Figure::ProcessBytes => Some(target.control_memory_mb * 1e6),
            Figure::ReadyMs => Some(target.ready_s * 1e3),
            // A restarted courier needs the whole of it within the time for a change.
            Figure::ListBytes => Some(target.control_bytes_per_s * target.in_force_s),
            Figure::ListNs => Some(target.control_core_share * target.in_force_s * 1e9),
            _ => None,
        }
    }
}

pub type Figures = BTreeMap<Figure, f64>;

/// A size, and what was measured at it.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    pub size: u64,
    pub figures: Figures,
    /// Why it was not run, or not to its end.
    pub not_run: Option<String>,
    /// What has to be known of its figures.
    pub note: Option<String>,
}

impl Point {
    pub fn ran(size: u64, figures: Figures) -> Self {
        Point { size, figures, not_run: None, note: None }
    }

    pub fn not_run(size: u64, why: &NotRun) -> Self {
        Point { size, figures: Figures::new(), not_run: Some(why.to_string()), note: None }
    }
}

/// A figure's growth with the size.
#[derive(Debug, Serialize)]
struct Growth {
    figure: Figure,
    slope: f64,
    constant: f64,
    /// Of the point furthest from the line, as a share of what was measured.
    largest_residual: f64,
    exponent: f64,
    exponent_range: (f64, f64),
    worse_than_linear: bool,
    budget: Option<f64>,
    /// The size at which the budget is passed; none where growth never gets there.
    #[serde(serialize_with = "finite")]
    passed_at: Option<f64>,
    /// That size over the target's.
    #[serde(serialize_with = "finite")]
    share_of_target: Option<f64>,
    /// It lies outside the sizes measured.
    extrapolated: bool,
}

fn finite<S: Serializer>(value: &Option<f64>, serializer: S) -> Result<S::Ok, S::Error> {
    value.filter(|value| value.is_finite()).serialize(serializer)
}

#[derive(Debug, Serialize)]
struct SweepReport {
    kind: Kind,
    target_size: f64,
    points: Vec<Point>,
    growth: Vec<Growth>,
}

#[derive(Debug, Serialize)]
pub struct Report {
    seed: u64,
    cores: usize,
    memory_bound_bytes: u64,
    target: Target,
    sweeps: Vec<SweepReport>,
}

impl Report {
    pub fn new(seed: u64, memory_bound_bytes: u64, target: Target) -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        Report { seed, cores, memory_bound_bytes, target, sweeps: Vec::new() }
    }

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
            share_of_target: passed_at.map(|size| size / target_size),
            extrapolated: passed_at
                .is_some_and(|size| !(points[0].0..=points[points.len() - 1].0).contains(&size)),
        })
    }

    /// Where each budget is passed, the limit that is met first at the top.
    pub fn summary(&self) -> String {
        let mut limits: Vec<(&SweepReport, &Growth, f64)> = Vec::new();
        for sweep in &self.sweeps {
            let met = sweep.growth.iter().filter_map(|growth| Some((sweep, growth, growth.share_of_target?)));
            limits.extend(met);
        }
        limits.sort_by(|a, b| a.2.total_cmp(&b.2));
        let mut out = String::from("Where the target's budgets are passed, the first limit first:\n");
        let mut line = |a: &str, b: &str, c: &str, d: &str, e: &str, f: &str| {
            let _ = writeln!(out, "  {a:<20} {b:<20} {c:>12} {d:>12} {e:>12} {f:>10}");
        };
        line("sweep", "figure", "budget", "passed at", "target size", "share");
        for (sweep, growth, share) in limits {
            let far = if growth.extrapolated { " extrapolated" } else { "" };
            line(
                &sweep.kind.to_string(),
                growth.figure.name(),
                &short(growth.budget.unwrap_or(f64::NAN)),
                &short(growth.passed_at.unwrap_or(f64::NAN)),
                &short(sweep.target_size),
                &format!("{}{far}", short(share)),
            );
        }
        for sweep in &self.sweeps {
            for point in &sweep.points {
                if let Some(why) = &point.not_run {
                    let _ = writeln!(out, "  not run: {} {}: {why}", sweep.kind, point.size);
                }
            }
        }
        out
    }

    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }
}

impl SweepReport {
    fn table(&self, figures: &[Figure]) -> String {
        let mut out = format!("{} (target size {})\n", self.kind, short(self.target_size));
        let _ = write!(out, "  {:>12}", "size");
        for figure in figures {
            let _ = write!(out, " {:>20}", figure.name());
        }
        out.push('\n');
        for point in &self.points {
            let _ = write!(out, "  {:>12}", point.size);
            if let Some(why) = &point.not_run {
                let _ = writeln!(out, " not run: {why}");
                continue;
            }
            for figure in figures {
                let value = point.figures.get(figure).map_or("-".to_owned(), |value| short(*value));
                let _ = write!(out, " {value:>20}");
            }
            let _ =
                writeln!(out, "{}", point.note.as_ref().map_or(String::new(), |note| format!("  {note}")));
        }
        for growth in &self.growth {
            let (from, to) = growth.exponent_range;
            let _ = writeln!(
                out,
                "  {}: {} a unit and {}, points within {:.0}%; exponent {:.2} from {} to {}{}",
                growth.figure.name(),
                short(growth.slope),
                short(growth.constant),
                growth.largest_residual * 100.0,
                growth.exponent,
                short(from),
                short(to),
                if growth.worse_than_linear { ", WORSE THAN LINEAR" } else { "" },
            );
        }
        out
    }
}

/// Three digits or so, with a unit of thousands.
fn short(value: f64) -> String {
    let units = [(1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k")];
    match units.iter().find(|(unit, _)| value.abs() >= *unit) {
        Some((unit, name)) => format!("{:.1} {name}", value / unit),
        None if value == 0.0 || value.abs() >= 10.0 => format!("{value:.0}"),
        None if value.abs() >= 0.01 => format!("{value:.2}"),
        None => format!("{value:.1e}"),
    }
}
