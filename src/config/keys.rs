//! The table of settings: the name of each on the wire and in the configuration file, its purpose, its unit and its
//! default. Durations are whole numbers of nanoseconds. Ratios are numbers, where 1 is the whole.

use std::time::Duration;

use super::values::{Setting, SettingValue};
use crate::{CapacityHints, Decay, DeduplicationScope, Idempotency};

const fn setting<T>(path: &'static str, default: T) -> Setting<T> {
    Setting { path, default }
}

// ---- The fleet and its capacity ----

/// The number of gateways that share the destinations, including this one. Default: 2.
pub const FLEET_SIZE: Setting<u32> = setting("Balancers", 2);
/// The maximum number of calls in flight. Default: 16.
pub const MAX_IN_FLIGHT_CALLS: Setting<usize> = setting("FamilyInfo.CallsOut", 16);
/// The maximum number of pending messages. Further messages are rejected. Default: 400.
pub const MAX_PENDING_MESSAGES: Setting<usize> = setting("Permissions.MostHeld", 400);

// ---- Attempts ----

/// The maximum number of attempts per message. Default: 8.
pub const MAX_ATTEMPTS: Setting<u32> = setting("Permissions.SendCap", 8);
/// Whether the scheduler may cancel an attempt in flight. Default: false.
pub const ALLOW_CANCEL: Setting<bool> = setting("Permissions.Cancel", false);
/// Whether a message may have two attempts in flight at once. Default: false.
pub const ALLOW_HEDGING: Setting<bool> = setting("Permissions.SecondCopies", false);

// ---- Connections ----

/// The time limit for opening a connection to an endpoint. In nanoseconds. Default: 1 s.
pub const CONNECT_TIMEOUT: Setting<Duration> = setting("Permissions.ConnectTimeout", Duration::from_secs(1));
/// The idle time after which endpoints close a connection. In nanoseconds. Default: 15 s.
pub const CONNECTION_IDLE_TIMEOUT: Setting<Duration> =
    setting("Permissions.ConnIdle", Duration::from_secs(15));

// ---- The value of a message ----

/// How the value of a message falls after its latency objective: `line` or `halves`. Default: `line`.
pub const DECAY: Setting<Decay> = setting("FamilyInfo.Decay", Decay::Linear);
/// The value of a message beyond its tenant's quota, relative to one within the quota. Default: 1.
pub const OVER_QUOTA_VALUE_RATIO: Setting<f64> = setting("OverShareWorth", 1.0);
/// The cost of a message to an endpoint with limits of its own, by the endpoint's zone, as a list of numbers in the
/// order of [`ZONE_NAMES`]. Costs are only compared, so any unit will do. Default: an empty list, and 0 for a zone
/// beyond its end.
pub const ZONE_COSTS: &str = "FamilyInfo.FeeByZone";

// ---- Destinations ----

/// The meaning of an endpoint's capacity hint: `silent` or `live` (ignored), `nominal` (exact) or `rough`
/// (approximate). Default: `silent`.
pub const CAPACITY_HINTS: Setting<CapacityHints> = setting("WeightSource", CapacityHints::Ignored);
/// The maximum number of messages per call, as a list by kind of destination in the order of [`KIND_NAMES`].
/// Default: 1 for each kind that is not in the list.
pub const BATCH_BY_KIND: &str = "FamilyInfo.KindBatch";
/// Whether each endpoint of a destination has its own rate limit and circuit breaker, as a list by kind of destination
/// in the order of [`KIND_NAMES`]. Default: `false` for each kind that is not in the list.
pub const PER_ENDPOINT_LIMITS_BY_KIND: &str = "FamilyInfo.OwnLimits";
/// The names of the kinds of destination, as a list. Default: an empty list.
pub const KIND_NAMES: &str = "MachineTypes";
/// The names of the zones, as a list. Default: an empty list.
pub const ZONE_NAMES: &str = "Zones";

// ---- The load report of an endpoint ----

/// The names of the values in a load report, in their order, as a list. Default: an empty list.
pub const LOAD_REPORT_FIELDS: &str = "Report.Fields";
/// The name in [`LOAD_REPORT_FIELDS`] of the headroom: the ratio of the rate limit that is left.
pub const LOAD_REPORT_HEADROOM: &str = "x0";
/// The name in [`LOAD_REPORT_FIELDS`] of the rate limit, in calls per second.
pub const LOAD_REPORT_LIMIT: &str = "x1";

// ---- The limits that the delivery protocol sets ----

/// The grace period after a message's deadline within which its final outcome is still in time. In nanoseconds.
/// Default: 20 ms.
pub const FINAL_OUTCOME_GRACE: Setting<Duration> = setting("Rules.AnswerSlack", Duration::from_millis(20));
/// The minimum capacity of a destination when it returns from an outage, as a ratio of its full capacity. Default: 0.2.
pub const COLD_CAPACITY_RATIO: Setting<f64> = setting("Rules.ColdFrom", 0.2);
/// The maximum time after an outage until a destination has its full capacity again. In nanoseconds. Default: 10 s.
pub const WARM_UP: Setting<Duration> = setting("Rules.Cold", Duration::from_secs(10));
/// A returning destination fails again if its load exceeds this multiple of its present capacity over the overload
/// window. Default: 2.
pub const OVERLOAD_MULTIPLE: Setting<f64> = setting("Rules.TipMultiple", 2.0);
/// The overload window: how long a returning destination survives an overload. In nanoseconds. Default: 2 s.
pub const OVERLOAD_WINDOW: Setting<Duration> = setting("Rules.Fall", Duration::from_secs(2));
/// The grace period after an endpoint is announced as draining or removed. No new call may reach it afterwards. In
/// nanoseconds. Default: 2 s.
pub const DRAIN_GRACE: Setting<Duration> = setting("Rules.StopSendingWithin", Duration::from_secs(2));
/// How long an ordering key is held back after an attempt that may still be running. In nanoseconds. Default: 0.
pub const ORDERING_KEY_HOLD: Setting<Duration> = setting("Rules.OrderSettle", Duration::ZERO);

// ---- Classes of message and tenants: lists of objects ----

/// The classes of message; see [`class`]. Default: an empty list.
pub const CLASSES: &str = "Lanes";
/// The tenants; see [`tenant`]. Default: an empty list.
pub const TENANTS: &str = "Projects";
/// The name of an item in either list. Default: an empty name.
pub const NAME: &str = "Name";

/// The settings of one of the [`CLASSES`].
pub mod class {
    use super::*;

    /// The latency objective: a message delivered within this time after it was enqueued has its full value. In
    /// nanoseconds. Default: 3 s.
    pub const LATENCY_OBJECTIVE: Setting<Duration> = setting("Aim", Duration::from_secs(3));
    /// The maximum time from when a message is enqueued until its deadline, after which it is not delivered. A client
    /// may set an earlier deadline. In nanoseconds. Default: 20 s.
    pub const DEADLINE: Setting<Duration> = setting("Deadline", Duration::from_secs(20));
    /// The effect of sending a message again: `read_like`, `idempotency_key` or `non_idempotent`. Default:
    /// `non_idempotent`.
    pub const IDEMPOTENCY: Setting<Idempotency> = setting("Effect", Idempotency::NonIdempotent);
    /// The endpoints that recognize an idempotency key that one of them has received: `all`, `cell` (the same as `all`)
    /// or `zone`. Default: `zone`.
    pub const DEDUPLICATION_SCOPE: Setting<DeduplicationScope> = setting("Group", DeduplicationScope::Zone);
    /// How long endpoints recognize an idempotency key after the first attempt that may have run. In nanoseconds.
    /// Default: 0.
    pub const IDEMPOTENCY_WINDOW: Setting<Duration> = setting("RepeatWindow", Duration::ZERO);
    /// Whether messages with the same ordering key are delivered one at a time. Default: false.
    pub const ORDERED: Setting<bool> = setting("OneAtATime", false);
    /// The value of a message that is delivered within its latency objective. Default: 1.
    pub const PRIORITY_WEIGHT: Setting<f64> = setting("Worth", 1.0);
    /// The ratio of the value that is left at the deadline. Default: 0.
    pub const LATE_VALUE_RATIO: Setting<f64> = setting("LateShare", 0.0);
}

/// The settings of one of the [`TENANTS`].
pub mod tenant {
    use super::*;

    /// The quota: the number of messages per second, over the whole fleet, that have their full value. Default: no
    /// quota.
    pub const QUOTA_PER_SEC: Setting<f64> = setting("QuotaPerS", f64::INFINITY);
}

// ---- The values of settings that are a choice ----

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
