//! The scheduler's settings. `src/config` maps the names in the configuration to these fields, and has the
//! defaults for settings that a configuration leaves out. The defaults given here are those of
//! [`Settings::default`], for tests and examples.

use std::time::Duration;

use super::class::{Class, Decay};

/// The quota of a tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Messages per second, over the whole fleet, that keep their full value; see
    /// [`Settings::over_quota_value_ratio`].
    pub quota_per_sec: f64,
}

/// Delivery properties that all destinations of one kind share.
#[derive(Clone, Debug)]
pub struct DestinationKind {
    /// The maximum number of messages in one call. Default: 1.
    pub max_batch_size: usize,
    /// Whether each endpoint of a destination has its own rate limit and circuit breaker. Default: false.
    pub has_per_endpoint_limits: bool,
}

/// The meaning of the capacity hints in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityHints {
    /// Hints have no meaning and are ignored.
    Ignored,
    /// A hint is the number of calls per second that the endpoint's destination serves for the whole fleet.
    Exact,
    /// Like [`CapacityHints::Exact`], but up to half too high or too low. The scheduler treats both in the
    /// same way: the rate limit adapts to the actual capacity.
    Approximate,
}

/// Limits set by the delivery protocol. The defaults are those of [`Settings::default`].
#[derive(Clone, Debug)]
pub struct DeliveryLimits {
    /// A final outcome may be reported until this long after the deadline. Default: 20 ms.
    pub final_outcome_grace: Duration,
    /// The minimum ratio of its full capacity that a destination has when it returns from an outage. Default:
    /// 0.2.
    pub cold_capacity_ratio: f64,
    /// The maximum time after an outage until a destination has its full capacity again. Default: 10 s.
    pub warm_up: Duration,
    /// A returning destination fails again if it gets more than this multiple of its present capacity over
    /// the overload window. Default: 2.
    pub overload_multiple: f64,
    /// The overload window: how long a returning destination survives an overload. Default: 2 s.
    pub overload_window: Duration,
    /// No new call may reach an endpoint later than this after it is announced as draining or removed.
    /// Default: 2 s.
    pub drain_grace: Duration,
    /// How long the next message of an ordering key has to wait after the end of an attempt that may still be
    /// running at the endpoint, and after a restart. Default: zero.
    pub ordering_key_hold: Duration,
}

/// The settings of a scheduler, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways that share the destinations, this one included. Default: 2.
    pub fleet_size: u32,
    /// Message classes, indexed by [`ClassId`](super::ClassId). Default: one, [`Class::default`].
    pub classes: Vec<Class>,
    /// Tenants with quotas, indexed by [`TenantId`](super::TenantId). Default: none.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination, indexed by [`DestinationKindId`](super::DestinationKindId). Default: one,
    /// without batches.
    pub destination_kinds: Vec<DestinationKind>,
    /// The meaning of the capacity hints in the endpoint list. Default: [`CapacityHints::Exact`].
    pub capacity_hints: CapacityHints,
    /// How the value of a message falls after its latency objective. Default: [`Decay::Linear`].
    pub decay: Decay,
    /// Cost of a message that goes to an endpoint with its own limits in a zone, indexed by
    /// [`ZoneId`](super::ZoneId); zero if absent. Costs are only compared, so any unit will do. Default:
    /// none.
    pub zone_costs: Vec<f64>,
    /// The maximum number of calls in flight. Default: 16.
    pub max_in_flight_calls: usize,
    /// The maximum number of pending messages. Default: 400.
    pub max_pending_messages: usize,
    /// The maximum number of attempts of a message. Default: 8.
    pub max_attempts: u32,
    /// Whether [`Action::CancelAttempt`](super::Action::CancelAttempt) is permitted. Default: true.
    pub allow_cancel: bool,
    /// Whether a message may have two attempts in flight at once. The scheduler does not use this yet.
    /// Default: false.
    pub allow_hedging: bool,
    /// Whether a message that was not delivered keeps its ordering key after its final outcome until
    /// [`Event::OutcomeAcknowledged`](super::Event::OutcomeAcknowledged) reports that the outcome has
    /// arrived. Default: false.
    pub outcomes_need_acknowledgement: bool,
    /// Value of a message over its tenant's quota, relative to one within it. Default: 1.
    pub over_quota_value_ratio: f64,
    /// The maximum time for opening a connection; if it takes longer, the attempt has failed. Default: 1 s.
    pub connect_timeout: Duration,
    /// Endpoints close a connection that has been idle for this long. Default: 15 s.
    pub connection_idle_timeout: Duration,
    /// Limits set by the delivery protocol.
    pub limits: DeliveryLimits,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            fleet_size: 2,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            destination_kinds: vec![DestinationKind { max_batch_size: 1, has_per_endpoint_limits: false }],
            capacity_hints: CapacityHints::Exact,
            decay: Decay::Linear,
            zone_costs: Vec::new(),
            max_in_flight_calls: 16,
            max_pending_messages: 400,
            max_attempts: 8,
            allow_cancel: true,
            allow_hedging: false,
            outcomes_need_acknowledgement: false,
            over_quota_value_ratio: 1.0,
            connect_timeout: Duration::from_secs(1),
            connection_idle_timeout: Duration::from_secs(15),
            limits: DeliveryLimits {
                final_outcome_grace: Duration::from_millis(20),
                cold_capacity_ratio: 0.2,
                warm_up: Duration::from_secs(10),
                overload_multiple: 2.0,
                overload_window: Duration::from_secs(2),
                drain_grace: Duration::from_secs(2),
                ordering_key_hold: Duration::ZERO,
            },
        }
    }
}
