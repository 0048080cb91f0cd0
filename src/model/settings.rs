//! What a scheduler is given at its start. `src/config` maps the names in the configuration to these, and has
//! the defaults of settings that a configuration leaves out. The defaults here are those of
//! [`Settings::default`], for tests and examples.

use std::time::Duration;

use super::class::{Class, Decay};

/// A client with a quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Messages a second, over the whole fleet, that have their full value; see
    /// [`Settings::over_quota_value_ratio`].
    pub quota_per_sec: f64,
}

/// A kind of destination.
#[derive(Clone, Debug)]
pub struct DestinationKind {
    /// Messages that one call may carry. Default: 1.
    pub max_batch_size: usize,
    /// The endpoints of a destination have rate limits and circuit breakers of their own. Default: false.
    pub has_per_endpoint_limits: bool,
}

/// What the capacity hint of an endpoint in the endpoint list means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityHints {
    /// Nothing.
    Ignored,
    /// Calls a second that its destination serves for the whole fleet.
    Exact,
    /// The same, but up to half too high or too low. Treated like [`CapacityHints::Exact`]: the rate limit
    /// learns the rest.
    Approximate,
}

/// The limits that the delivery protocol sets.
#[derive(Clone, Debug)]
pub struct DeliveryLimits {
    /// A final outcome is still in time this long after the deadline. Default: 20 ms.
    pub final_outcome_grace: Duration,
    /// Part of its capacity that a destination has at least when it returns from an outage. Default: 0.2.
    pub cold_capacity_ratio: f64,
    /// After this long at most a returned destination has its full capacity. Default: 10 s.
    pub warm_up: Duration,
    /// A returning destination fails again when it gets more than this multiple of its present capacity over
    /// the overload window. Default: 2.
    pub overload_multiple: f64,
    /// The overload window: how long a returning destination survives an overload. Default: 2 s.
    pub overload_window: Duration,
    /// How soon after an endpoint is announced as draining or removed no new call may reach it. Default: 2 s.
    pub drain_grace: Duration,
    /// How long an ordering key is held back after an attempt that may still be running. Default: none.
    pub ordering_key_hold: Duration,
}

/// What a scheduler is given at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateways that share the destinations, this one included. Default: 2.
    pub fleet_size: u32,
    /// Classes of message. Default: one, see [`Class`].
    pub classes: Vec<Class>,
    /// Tenants. Default: none.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination. Default: one, without batches.
    pub destination_kinds: Vec<DestinationKind>,
    /// What capacity hints in the endpoint list mean. Default: [`CapacityHints::Exact`].
    pub capacity_hints: CapacityHints,
    /// How the value of a message falls after its latency objective. Default: [`Decay::Linear`].
    pub decay: Decay,
    /// Cost, in any unit as costs are only compared, of a message that goes to an endpoint with limits of its
    /// own in a zone, by [`ZoneId`](super::ZoneId); zero where absent.
    pub zone_costs: Vec<f64>,
    /// Calls that may be in flight at once. Default: 16.
    pub max_in_flight_calls: usize,
    /// Messages that may be pending. Default: 400.
    pub max_pending_messages: usize,
    /// Attempts that a message may have. Default: 8.
    pub max_attempts: u32,
    /// [`Action::CancelAttempt`](super::Action::CancelAttempt) is permitted. Default: true.
    pub allow_cancel: bool,
    /// A message may have two attempts in flight at once; no scheduler makes use of it yet. Default: false.
    pub allow_hedging: bool,
    /// A final outcome frees the message's ordering key only once
    /// [`Event::OutcomeAcknowledged`](super::Event::OutcomeAcknowledged) says that it has arrived. Default:
    /// false.
    pub outcomes_need_acknowledgement: bool,
    /// Value of a message beyond its tenant's quota, relative to one within it. Default: 1.
    pub over_quota_value_ratio: f64,
    /// A connection that takes longer to come up has failed. Default: 1 s.
    pub connect_timeout: Duration,
    /// Endpoints close a connection that has been idle for this long. Default: 15 s.
    pub connection_idle_timeout: Duration,
    /// The limits that the delivery protocol sets.
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
