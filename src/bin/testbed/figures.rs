//! The figures that sweeps measure, with their names, and the budgets that the target has for them.

use serde::Serialize;
use std::collections::BTreeMap;

use crate::bounds::NotRun;
use crate::experiment::{Kind, Target};

/// What is measured at a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Processor time of a step relative to that of the smallest size, within each round.
    StepRatio,
    /// Processor time of a step.
    StepNs,
    /// Elapsed time of all but the slowest hundredth of the steps.
    StepP99Ns,
    /// Items of its state that the scheduler examined for a step, by its own count.
    #[serde(rename = "looked_at")]
    ItemsExamined,
    /// Memory that was allocated to bring the subject to its size.
    MemoryBytes,
    /// The scheduler's state on its way to another process.
    HandOverBytes,
    /// The complete endpoint list as discovery sends it.
    ListBytes,
    /// Processor time of reading and applying it.
    ListNs,
    /// From a real gateway's start to its first `+PONG`.
    ReadyMs,
    /// Processor time until then.
    ReadyCpuNs,
    /// The most memory that a real gateway had in use until then.
    ProcessBytes,
    /// Size of its journal.
    JournalBytes,
    /// Ratio of the messages in its journal that it attempted after a restart.
    #[serde(rename = "tried_share")]
    AttemptedRatio,
    /// Until it had attempted all.
    #[serde(rename = "tried_ms")]
    AllAttemptedMs,
    /// Until all watch the list for the first time.
    FirstWatchMs,
    /// Until all have a change.
    #[serde(rename = "all_have_ms")]
    AllUpdatedMs,
    /// Processor time of all watchers for one change.
    WatchersNs,
    /// Bytes that discovery wrote for one change.
    #[serde(rename = "told_bytes")]
    SentBytes,
    /// Ratio of the watchers that have a change within the target's time.
    #[serde(rename = "in_force_share")]
    InForceRatio,
    /// Connections that discovery accepted.
    Connections,
    /// Watches that it rejected.
    #[serde(rename = "refusals")]
    Rejections,
}

impl Figure {
    /// Its name and unit in the table.
    pub fn name(self) -> &'static str {
        match self {
            Figure::StepRatio => "step, ratio",
            Figure::StepNs => "step, ns of a core",
            Figure::StepP99Ns => "step, p99 ns",
            Figure::ItemsExamined => "step, items examined",
            Figure::MemoryBytes => "memory, bytes",
            Figure::HandOverBytes => "hand-over, bytes",
            Figure::ListBytes => "snapshot, bytes",
            Figure::ListNs => "snapshot, ns",
            Figure::ReadyMs => "until +PONG, ms",
            Figure::ReadyCpuNs => "until +PONG, ns",
            Figure::ProcessBytes => "process, bytes",
            Figure::JournalBytes => "journal, bytes",
            Figure::AttemptedRatio => "attempted, ratio",
            Figure::AllAttemptedMs => "all attempted, ms",
            Figure::FirstWatchMs => "all watch after, ms",
            Figure::AllUpdatedMs => "all updated, ms",
            Figure::WatchersNs => "watchers, ns of core",
            Figure::SentBytes => "sent, bytes",
            Figure::InForceRatio => "in force, ratio",
            Figure::Connections => "connections",
            Figure::Rejections => "rejections",
        }
    }

    /// Whether growth is fitted: not to ratios and tails, nor to rejections, which begin at some size.
    pub fn is_fitted(self) -> bool {
        !matches!(
            self,
            Figure::StepRatio
                | Figure::StepP99Ns
                | Figure::AttemptedRatio
                | Figure::InForceRatio
                | Figure::Rejections
        )
    }

    /// What a gateway may spend of it at the target; none if the target does not say.
    pub fn budget(self, kind: Kind, target: &Target) -> Option<f64> {
        match self {
            Figure::StepNs if kind == Kind::ListChange => Some(target.change_ns()),
            Figure::StepNs => Some(target.event_ns()),
            // Of many simulated gateways together.
            Figure::MemoryBytes if matches!(kind, Kind::Watchers | Kind::WatchersReconnect) => None,
            Figure::AllUpdatedMs => Some(target.in_force_s * 1e3),
            Figure::MemoryBytes | Figure::ProcessBytes => Some(target.control_memory_mb * 1e6),
            Figure::ReadyMs => Some(target.ready_s * 1e3),
            // A restarted gateway needs all of it within the time for a change.
            Figure::ListBytes => Some(target.control_bytes_per_s * target.in_force_s),
            Figure::ListNs => Some(target.control_core_ratio * target.in_force_s * 1e9),
            _ => None,
        }
    }
}

/// What was measured at a size.
pub type Figures = BTreeMap<Figure, f64>;

/// A size, and what was measured at it.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The size; its meaning depends on the kind of sweep.
    pub size: u64,
    /// None where it was not run.
    pub figures: Figures,
    /// Why it was not run, or not completed.
    pub not_run: Option<String>,
    /// A limitation of its figures.
    pub note: Option<String>,
}

impl Point {
    /// A size that was run.
    pub fn ran(size: u64, figures: Figures) -> Self {
        Point { size, figures, not_run: None, note: None }
    }

    /// A size that was not run, or not completed.
    pub fn not_run(size: u64, reason: &NotRun) -> Self {
        Point { size, figures: Figures::new(), not_run: Some(reason.to_string()), note: None }
    }
}
