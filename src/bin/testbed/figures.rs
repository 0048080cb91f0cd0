//! The figures that sweeps measure, their names in the tables, and their budgets at the target.

use serde::Serialize;
use std::collections::BTreeMap;

use crate::bounds::NotRun;
use crate::experiment::{Kind, Target};

/// A quantity that is measured at a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Processor time of a step relative to that of the smallest size: the median of the ratios within each round.
    StepRatio,
    /// Processor time of a step, in nanoseconds.
    StepNs,
    /// The 99th percentile of the elapsed time of a step, in nanoseconds.
    StepP99Ns,
    /// The number of items of its state that the scheduler examined per step, by its work counters.
    #[serde(rename = "looked_at")]
    ItemsExamined,
    /// The memory that was allocated to set up the size, without the memory of the test rig.
    MemoryBytes,
    /// The size of the scheduler's state as encoded for a handover to another process.
    HandOverBytes,
    /// The size of the complete endpoint list as discovery sends it.
    ListBytes,
    /// Processor time of reading and applying the complete endpoint list, in nanoseconds.
    ListNs,
    /// The time from a real gateway's start to its first `+PONG`.
    ReadyMs,
    /// Processor time of a real gateway until its first `+PONG`, in nanoseconds.
    ReadyCpuNs,
    /// The peak resident memory of a real gateway until its first `+PONG`.
    ProcessBytes,
    /// The size of a real gateway's journal before the restarts.
    JournalBytes,
    /// The ratio of the messages in its journal that a restarted real gateway attempted within a fixed time.
    #[serde(rename = "tried_share")]
    AttemptedRatio,
    /// The time from a restarted gateway's first `+PONG` until it had attempted all messages in its journal.
    #[serde(rename = "tried_ms")]
    AllAttemptedMs,
    /// The time from the creation of the watchers until all have their first watch.
    FirstWatchMs,
    /// The time from when a change is announced, or all watches break, until all watchers have the change.
    #[serde(rename = "all_have_ms")]
    AllUpdatedMs,
    /// Processor time of all watchers together from a change's announcement until all have it, in nanoseconds.
    WatchersNs,
    /// The bytes that discovery sent for one change.
    #[serde(rename = "told_bytes")]
    SentBytes,
    /// The ratio of the watchers that have a change within the target's time.
    #[serde(rename = "in_force_share")]
    InForceRatio,
    /// The number of connections that discovery accepted.
    Connections,
    /// The number of watches that discovery rejected.
    #[serde(rename = "refusals")]
    Rejections,
}

impl Figure {
    /// Returns the figure's name and unit in the table.
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

    /// Returns whether growth is fitted to the figure. It is not fitted to ratios, percentiles or rejections.
    /// Rejections are zero up to some size.
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

    /// Returns the figure's budget at the target, in the figure's unit; `None` if the target has none for it.
    pub fn budget(self, kind: Kind, target: &Target) -> Option<f64> {
        match self {
            Figure::StepNs if kind == Kind::ListChange => Some(target.change_ns()),
            Figure::StepNs => Some(target.event_ns()),
            // The memory of these sweeps is that of many simulated gateways together.
            Figure::MemoryBytes if matches!(kind, Kind::Watchers | Kind::WatchersReconnect) => None,
            Figure::AllUpdatedMs => Some(target.in_force_s * 1e3),
            Figure::MemoryBytes | Figure::ProcessBytes => Some(target.control_memory_mb * 1e6),
            Figure::ReadyMs => Some(target.ready_s * 1e3),
            // A restarted gateway needs the complete list within the time for a change.
            Figure::ListBytes => Some(target.control_bytes_per_s * target.in_force_s),
            Figure::ListNs => Some(target.control_core_ratio * target.in_force_s * 1e9),
            _ => None,
        }
    }
}

/// The figures measured at a size.
pub type Figures = BTreeMap<Figure, f64>;

/// The result of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The size; its meaning depends on the kind of sweep.
    pub size: u64,
    /// Empty if the size was not run or not completed.
    pub figures: Figures,
    /// The reason why the size was not run or not completed; `None` if it was completed.
    pub not_run: Option<String>,
    /// A limitation of the figures, for the reader of the report.
    pub note: Option<String>,
}

impl Point {
    /// Returns the result of a size that was run.
    pub fn ran(size: u64, figures: Figures) -> Self {
        Point { size, figures, not_run: None, note: None }
    }

    /// Returns the result of a size that was not run or not completed.
    pub fn not_run(size: u64, reason: &NotRun) -> Self {
        Point { size, figures: Figures::new(), not_run: Some(reason.to_string()), note: None }
    }
}
