//! The table of settings: the name of each on the wire and in the configuration file, its purpose, its unit and its
//! default. Durations stand as whole nanoseconds; ratios are parts of one.

use std::time::Duration;

use super::values::{Setting, SettingValue};
use crate::{CapacityHints, Decay, DeduplicationScope, Idempotency};

const fn setting<T>(path: &'static str, default: T) -> Setting<T> {
    Setting { path, default }
}

// ---- The fleet and its capacity ----

/// Gateways that share the destinations, this one included.
pub const FLEET_SIZE: Setting<u32> = setting("Balancers", 2);
/// Calls that may be in flight at once.
pub const MAX_IN_FLIGHT_CALLS: Setting<usize> = setting("FamilyInfo.CallsOut", 16);
/// Messages that may be pending; further ones are rejected.
pub const MAX_PENDING_MESSAGES: Setting<usize> = setting("Permissions.MostHeld", 400);

// ---- Attempts ----

/// Attempts that a message may have.
pub const MAX_ATTEMPTS: Setting<u32> = setting("Permissions.SendCap", 8);
/// Whether an attempt may be cancelled.
pub const ALLOW_CANCEL: Setting<bool> = setting("Permissions.Cancel", false);
/// Whether a message may have two attempts in flight at once.
pub const ALLOW_HEDGING: Setting<bool> = setting("Permissions.SecondCopies", false);

// ---- Connections ----

/// A connection that takes longer to come up has failed. Nanoseconds.
pub const CONNECT_TIMEOUT: Setting<Duration> = setting("Permissions.ConnectTimeout", Duration::from_secs(1));
/// Endpoints close a connection that has been idle for this long. Nanoseconds.
pub const CONNECTION_IDLE_TIMEOUT: Setting<Duration> =
    setting("Permissions.ConnIdle", Duration::from_secs(15));

// ---- The value of a message ----

/// How the value of a message falls after its latency objective: `line` or `halves`.
pub const DECAY: Setting<Decay> = setting("FamilyInfo.Decay", Decay::Linear);
/// Value of a message beyond its tenant's quota, relative to one within it.
pub const OVER_QUOTA_VALUE_RATIO: Setting<f64> = setting("OverShareWorth", 1.0);
/// Cost of a message by zone of the endpoint, as a list of numbers; none where absent.
pub const ZONE_COSTS: &str = "FamilyInfo.FeeByZone";

// ---- Destinations ----

/// What the capacity hint of an endpoint means: `silent`, `nominal`, `rough`, or `live` (the same as `silent`).
pub const CAPACITY_HINTS: Setting<CapacityHints> = setting("WeightSource", CapacityHints::Ignored);
/// Messages that one call may carry, as a list by kind of destination; 1 where absent.
pub const BATCH_BY_KIND: &str = "FamilyInfo.KindBatch";
/// Whether each endpoint of a destination has its own limits, as a list by kind of destination; `false` where absent.
pub const PER_ENDPOINT_LIMITS_BY_KIND: &str = "FamilyInfo.OwnLimits";
/// The names of the kinds of destination, as a list.
pub const KIND_NAMES: &str = "MachineTypes";
/// The names of the zones, as a list.
pub const ZONE_NAMES: &str = "Zones";

// ---- The load report of an endpoint ----

/// The names of the values in a load report, in their order, as a list.
pub const LOAD_REPORT_FIELDS: &str = "Report.Fields";
/// The name in [`LOAD_REPORT_FIELDS`] of the ratio of the limit that is left.
pub const LOAD_REPORT_HEADROOM: &str = "x0";
/// The name in [`LOAD_REPORT_FIELDS`] of the limit, in calls a second.
pub const LOAD_REPORT_LIMIT: &str = "x1";

// ---- The limits that the delivery protocol sets ----

/// A final outcome is still in time this long after the deadline. Nanoseconds.
pub const FINAL_OUTCOME_GRACE: Setting<Duration> = setting("Rules.AnswerSlack", Duration::from_millis(20));
/// Ratio of its capacity that a destination has at least when it returns from an outage.
pub const COLD_CAPACITY_RATIO: Setting<f64> = setting("Rules.ColdFrom", 0.2);
/// After this long at most a returned destination has its full capacity. Nanoseconds.
pub const WARM_UP: Setting<Duration> = setting("Rules.Cold", Duration::from_secs(10));
/// A returning destination fails again if it gets more than this multiple of its present capacity over the overload
/// window.
pub const OVERLOAD_MULTIPLE: Setting<f64> = setting("Rules.TipMultiple", 2.0);
/// The overload window: how long a returning destination survives an overload. Nanoseconds.
pub const OVERLOAD_WINDOW: Setting<Duration> = setting("Rules.Fall", Duration::from_secs(2));
/// How soon after an endpoint is announced as draining or removed no new call may reach it. Nanoseconds.
pub const DRAIN_GRACE: Setting<Duration> = setting("Rules.StopSendingWithin", Duration::from_secs(2));
/// How long an ordering key is held back after an attempt that may still be running. Nanoseconds.
pub const ORDERING_KEY_HOLD: Setting<Duration> = setting("Rules.OrderSettle", Duration::ZERO);

// ---- Classes of message and tenants: lists of objects ----

/// The classes of message.
pub const CLASSES: &str = "Lanes";
/// The tenants.
pub const TENANTS: &str = "Projects";
/// In an item of either list: its name; empty where absent.
pub const NAME: &str = "Name";

/// The settings of one of the [`CLASSES`].
pub mod class {
    use super::*;

    /// A message delivered within this time has its full value. Nanoseconds.
    pub const LATENCY_OBJECTIVE: Setting<Duration> = setting("Aim", Duration::from_secs(3));
    /// How long a message may be delivered at all. Nanoseconds.
    pub const DEADLINE: Setting<Duration> = setting("Deadline", Duration::from_secs(20));
    /// What sending a message again does: `read_like`, `idempotency_key` or `non_idempotent`.
    pub const IDEMPOTENCY: Setting<Idempotency> = setting("Effect", Idempotency::NonIdempotent);
    /// Which endpoints recognize a key that one of them has seen: `all`, `cell` (the same as `all`) or `zone`.
    pub const DEDUPLICATION_SCOPE: Setting<DeduplicationScope> = setting("Group", DeduplicationScope::Zone);
    /// How long they recognize it. Nanoseconds.
    pub const IDEMPOTENCY_WINDOW: Setting<Duration> = setting("RepeatWindow", Duration::ZERO);
    /// Whether messages with one ordering key are delivered one at a time.
    pub const ORDERED: Setting<bool> = setting("OneAtATime", false);
    /// Value of a message that is delivered within its latency objective.
    pub const PRIORITY_WEIGHT: Setting<f64> = setting("Worth", 1.0);
    /// Ratio of that value which is left at the deadline.
    pub const LATE_VALUE_RATIO: Setting<f64> = setting("LateShare", 0.0);
}

/// The settings of one of the [`TENANTS`].
pub mod tenant {
    use super::*;

    /// Messages a second, over the whole fleet, that have their full value; no quota where absent.
    pub const QUOTA_PER_SEC: Setting<f64> = setting("QuotaPerS", f64::INFINITY);
}

// ---- The words that stand for a choice ----

impl SettingValue for CapacityHints {
    const EXPECTED: &'static str = "silent, nominal, rough or live";

    fn from_text(text: &str) -> Option<Self> {
        match text {
            "silent" | "live" => Some(CapacityHints::Ignored),
            "nominal" => Some(CapacityHints::Exact),
            "rough" => Some(CapacityHints::Approximate),
            _ => None,
        }
    }
}

impl SettingValue for Decay {
    const EXPECTED: &'static str = "line or halves";

    fn from_text(text: &str) -> Option<Self> {
        match text {
            "line" => Some(Decay::Linear),
            "halves" => Some(Decay::Halving),
            _ => None,
        }
    }
}

impl SettingValue for Idempotency {
    const EXPECTED: &'static str = "read_like, idempotency_key or non_idempotent";

    fn from_text(text: &str) -> Option<Self> {
        match text {
            "read_like" => Some(Idempotency::Idempotent),
            "idempotency_key" => Some(Idempotency::IdempotentWithKey),
            "non_idempotent" => Some(Idempotency::NonIdempotent),
            _ => None,
        }
    }
}

impl SettingValue for DeduplicationScope {
    const EXPECTED: &'static str = "all, cell or zone";

    fn from_text(text: &str) -> Option<Self> {
        match text {
            "all" | "cell" => Some(DeduplicationScope::Destination),
            "zone" => Some(DeduplicationScope::Zone),
            _ => None,
        }
    }
}
