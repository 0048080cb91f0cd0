//! Random cases. A case has a scenario, which is its settings and endpoints, and a history, which is its steps.

use delivery_gateway::*;
use proptest::prelude::*;
use std::time::Duration;

/// The settings and endpoints of a case.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub destinations: u8,
    pub max_in_flight_calls: usize,
    pub max_pending_messages: usize,
    pub fleet_size: u32,
    pub max_attempts: u32,
    /// Messages that are accepted for each message of the history; many lead to long queues.
    pub message_multiplier: u8,
    /// A bit set of [`Switch`]es.
    switches: u8,
}

/// A setting that a scenario turns on or off; the value is the number of its bit.
#[derive(Clone, Copy)]
enum Switch {
    IgnoredCapacityHints = 0,
    HalvingDecay = 1,
    NoCancel = 2,
    OutcomesNeedAcknowledgement = 3,
    ShortIdleTimeout = 4,
    OrderingKeyHold = 5,
}

/// How an endpoint responds.
#[derive(Clone, Copy, Debug)]
pub enum Behavior {
    Healthy,
    /// Delivers, with a load report of random headroom.
    Reporting,
    /// Above its limit: rejects two calls in three.
    OverLimit,
    /// Rejects although its load report has headroom left.
    Closed,
    /// Rejects with a Retry-After, in milliseconds.
    RetryAfter(u64),
    ConnectionRefused,
    Unresponsive,
    /// Delivers after this time in milliseconds, or times out before.
    Slow(u64),
    /// Resets half of the calls, at random.
    Lossy,
    ErrorResponses,
    /// The outcomes that no other behavior has, and a Retry-After of zero, at random.
    UncommonOutcomes,
}

/// Which endpoints change their behavior together with the chosen one.
#[derive(Clone, Copy, Debug)]
pub enum Scope {
    Endpoint,
    Destination,
    Zone,
    All,
}

/// The distance from another moment in nanoseconds; negative before it.
#[derive(Clone, Copy, Debug)]
pub struct Offset(pub i64);

impl Offset {
    pub fn from(self, at: Time) -> Time {
        Time(at.0.saturating_add_signed(self.0))
    }

    pub fn is_before(self) -> bool {
        self.0 < 0
    }

    pub fn is_after(self) -> bool {
        self.0 > 0
    }
}

/// One step of a history. `selector`, or a first `usize`, selects one of several things: it is taken modulo their
/// number.
#[derive(Clone, Debug)]
pub enum Step {
    /// Lets time pass. Late timers fire at the end of it, others when they are due.
    Pass {
        ms: u64,
        late_timers: bool,
    },
    ToTimer(Offset),
    ToRetryAfterEnd(usize, Offset),
    Accept(AcceptStep),
    SetBehavior {
        selector: usize,
        scope: Scope,
        behavior: Behavior,
    },
    /// An attempt in flight ends at once, with the outcome of this behavior.
    Finish {
        selector: usize,
        behavior: Behavior,
    },
    /// A Retry-After in milliseconds, in a response that accepted its messages.
    RetryAfter(usize, u64),
    Abandon(usize),
    SetAvailability(usize, Availability),
    /// A draining endpoint is ready again.
    Reopen(usize),
    SetCapacityHint(usize, f64),
    /// A removed endpoint comes back under a new id, or one more is added.
    NewEndpoint(usize),
    /// The whole endpoint list. `Some(n)` removes one of every `n` endpoints from it first.
    Snapshot(Option<usize>),
    WatchFails {
        rejected: bool,
    },
    Disable(usize),
    Enable(usize),
    LameDuck(bool),
    /// Schedules the end of the process, this many milliseconds from now; None cancels the shutdown. The process itself
    /// goes on.
    Shutdown(Option<u64>),
    Restart,
    HandOver,
    /// Compares the suggested Retry-After of this destination, and the longest queue.
    Query(u8),
}

/// Messages that are alike and are accepted one after the other.
#[derive(Clone, Debug)]
pub struct AcceptStep {
    pub destination: u8,
    pub class: usize,
    /// The ordering key; 0 stands for none.
    pub key: u64,
    pub count: u8,
    pub tenant: u32,
    /// The time from a message's acceptance to its deadline, as a ratio of the deadline of its class.
    pub time_left_ratio: f64,
    pub is_redelivered: bool,
}

/// A step, and whether the scheduler decides after it or only after a later one.
#[derive(Clone, Debug)]
pub struct HistoryStep {
    pub step: Step,
    pub decides: bool,
}

fn behaviors() -> impl Strategy<Value = Behavior> {
    prop_oneof![
        4 => Just(Behavior::Healthy),
        2 => Just(Behavior::Reporting),
        2 => Just(Behavior::OverLimit),
        1 => Just(Behavior::Closed),
        2 => (20u64..1100).prop_map(Behavior::RetryAfter),
        1 => (1300u64..4000).prop_map(Behavior::RetryAfter),
        2 => Just(Behavior::ConnectionRefused),
        3 => Just(Behavior::Unresponsive),
        1 => (200u64..2500).prop_map(Behavior::Slow),
        2 => Just(Behavior::Lossy),
        1 => Just(Behavior::ErrorResponses),
        2 => Just(Behavior::UncommonOutcomes),
    ]
}

fn scopes() -> impl Strategy<Value = Scope> {
    prop_oneof![
        4 => Just(Scope::Endpoint),
        6 => Just(Scope::Destination),
        1 => Just(Scope::Zone),
        1 => Just(Scope::All),
    ]
}

fn offsets() -> impl Strategy<Value = Offset> {
    prop_oneof![
        3 => Just(Offset(0)),
        1 => Just(Offset(-1)),
        1 => Just(Offset(1)),
        1 => Just(Offset(-1_000_000)),
        1 => Just(Offset(1_000_000)),
    ]
}

fn availabilities() -> impl Strategy<Value = Availability> {
    prop_oneof![
        3 => Just(Availability::Ready),
        2 => Just(Availability::Draining),
        1 => Just(Availability::Removed),
    ]
}

fn accept_steps() -> impl Strategy<Value = AcceptStep> {
    // Many messages go to a few destinations, so that queues form there while other destinations wait too.
    let destinations = prop_oneof![2 => 0u8..4, 3 => 0u8..40];
    let time_left_ratios = prop_oneof![4 => Just(1.0), 1 => 0.05f64..1.0];
    let redelivered = prop::bool::weighted(0.05);
    (destinations, 0usize..6, 0u64..5, 1u8..7, 0u32..3, time_left_ratios, redelivered).prop_map(
        |(destination, class, key, count, tenant, time_left_ratio, is_redelivered)| AcceptStep {
            destination,
            class,
            key,
            count,
            tenant,
            time_left_ratio,
            is_redelivered,
        },
    )
}

/// Generates steps of the clock, new messages, changes of the endpoints' behavior, and attempts that end at once.
fn common_steps() -> impl Strategy<Value = Step> {
    let selector = 0usize..1000;
    let late = || prop::bool::weighted(0.2);
    let pass = |(ms, late_timers)| Step::Pass { ms, late_timers };
    prop_oneof![
        2 => Just(0u64).prop_map(|ms| Step::Pass { ms, late_timers: false }),
        2 => Just(1u64).prop_map(|ms| Step::Pass { ms, late_timers: false }),
        8 => (5u64..400, late()).prop_map(pass),
        1 => (500u64..6000, late()).prop_map(pass),
        6 => offsets().prop_map(Step::ToTimer),
        4 => (selector.clone(), offsets()).prop_map(|(selector, offset)| Step::ToRetryAfterEnd(selector, offset)),
        24 => accept_steps().prop_map(Step::Accept),
        6 => (selector.clone(), scopes(), behaviors()).prop_map(|(selector, scope, behavior)| {
            Step::SetBehavior { selector, scope, behavior }
        }),
        6 => (selector, behaviors()).prop_map(|(selector, behavior)| Step::Finish { selector, behavior }),
    ]
}

/// Generates all other steps, such as changes of the endpoint list, operators' commands, abandoned messages, restarts
/// and handovers.
fn rare_steps() -> impl Strategy<Value = Step> {
    let selector = 0usize..1000;
    let availability = (selector.clone(), availabilities());
    prop_oneof![
        4 => (selector.clone(), 0u64..1500).prop_map(|(selector, ms)| Step::RetryAfter(selector, ms)),
        4 => selector.clone().prop_map(Step::Abandon),
        6 => availability.prop_map(|(selector, availability)| Step::SetAvailability(selector, availability)),
        3 => selector.clone().prop_map(Step::Reopen),
        2 => (selector.clone(), 0.0f64..200.0).prop_map(|(selector, hint)| Step::SetCapacityHint(selector, hint)),
        3 => selector.clone().prop_map(Step::NewEndpoint),
        2 => prop::option::of(2usize..9).prop_map(Step::Snapshot),
        2 => any::<bool>().prop_map(|rejected| Step::WatchFails { rejected }),
        4 => selector.clone().prop_map(Step::Disable),
        6 => selector.prop_map(Step::Enable),
        1 => prop::bool::weighted(0.4).prop_map(Step::LameDuck),
        1 => prop::option::weighted(0.5, 100u64..4000).prop_map(Step::Shutdown),
        2 => Just(Step::Restart),
        2 => Just(Step::HandOver),
        4 => (0u8..40).prop_map(Step::Query),
    ]
}

/// Generates the steps of a case.
pub fn histories() -> impl Strategy<Value = Vec<HistoryStep>> {
    let step = prop_oneof![5 => common_steps(), 1 => rare_steps()];
    let step = (step, prop::bool::weighted(0.85)).prop_map(|(step, decides)| HistoryStep { step, decides });
    prop::collection::vec(step, 1..250)
}

/// Generates the settings and endpoints of a case.
pub fn scenarios() -> impl Strategy<Value = Scenario> {
    // Nine in ten cases have many destinations with few messages each, the others few with many.
    let wide = (12u8..=40, 20usize..120, Just(1u8));
    let deep = (1u8..=3, 250usize..700, 10u8..=25);
    let sizes = (any::<u64>(), prop_oneof![9 => wide.boxed(), 1 => deep.boxed()], 3usize..=14);
    let rest = (prop_oneof![Just(1u32), Just(3), Just(30)], 2u32..10, any::<u8>());
    (sizes, rest).prop_map(|((seed, size, max_in_flight_calls), (fleet_size, max_attempts, switches))| {
        let (destinations, max_pending_messages, message_multiplier) = size;
        Scenario {
            seed,
            destinations,
            max_in_flight_calls,
            max_pending_messages,
            fleet_size,
            max_attempts,
            message_multiplier,
            switches,
        }
    })
}

impl Scenario {
    fn is_on(&self, switch: Switch) -> bool {
        self.switches & (1 << switch as u8) != 0
    }

    pub fn settings(&self) -> Settings {
        let base = Settings::default();
        Settings {
            fleet_size: self.fleet_size,
            classes: classes(),
            tenants: vec![
                Tenant { quota_per_sec: f64::INFINITY },
                Tenant { quota_per_sec: 3.0 * f64::from(self.fleet_size) },
            ],
            destination_kinds: [(1, false), (1, true), (3, false), (4, true)]
                .map(|(batch, has_per_endpoint_limits)| DestinationKind {
                    max_batch_size: batch,
                    has_per_endpoint_limits,
                })
                .into(),
            capacity_hints: if self.is_on(Switch::IgnoredCapacityHints) {
                CapacityHints::Ignored
            } else {
                CapacityHints::Exact
            },
            decay: if self.is_on(Switch::HalvingDecay) { Decay::Halving } else { Decay::Linear },
            zone_costs: vec![0.0, 0.2, 0.5],
            max_in_flight_calls: self.max_in_flight_calls,
            max_pending_messages: self.max_pending_messages,
            max_attempts: self.max_attempts,
            allow_cancel: !self.is_on(Switch::NoCancel),
            outcomes_need_acknowledgement: self.is_on(Switch::OutcomesNeedAcknowledgement),
            over_quota_value_ratio: 0.1,
            connection_idle_timeout: if self.is_on(Switch::ShortIdleTimeout) {
                ms(700)
            } else {
                Duration::from_secs(15)
            },
            limits: DeliveryLimits {
                warm_up: Duration::from_secs(5),
                ordering_key_hold: if self.is_on(Switch::OrderingKeyHold) { ms(150) } else { Duration::ZERO },
                ..base.limits.clone()
            },
            ..base
        }
    }

    /// Returns endpoint number `index` of a destination. Endpoints of a destination share its kind; their zones
    /// and capacity hints vary.
    pub fn endpoint(&self, id: u32, destination: u8, index: u32) -> Endpoint {
        const CAPACITY_HINTS: [f64; 5] = [100.0, 5.0, 0.0, 20.0, 40.0];
        let number = u32::from(destination);
        Endpoint {
            id: EndpointId(id),
            zone: ZoneId(((number + index) % 3) as u8),
            kind: DestinationKindId((number % 4) as u16),
            destination: DestinationId(destination.into()),
            availability: Availability::Ready,
            capacity_hint: CAPACITY_HINTS[((number * 2 + index + self.seed as u32 % 5) % 5) as usize],
        }
    }
}

/// Returns classes of each kind of idempotency and deduplication scope; two of them are ordered.
fn classes() -> Vec<Class> {
    let latency_objective = Duration::from_secs(1);
    let deadline = Duration::from_secs(6);
    let keyed = Class { latency_objective, deadline, idempotency_window: ms(2500), ..Class::default() };
    let by_zone = Class {
        deduplication_scope: DeduplicationScope::Zone,
        latency_objective: latency_objective * 2,
        deadline: deadline * 2,
        ..keyed.clone()
    };
    let non_idempotent =
        Class { idempotency: Idempotency::NonIdempotent, priority_weight: 2.0, ..keyed.clone() };
    let idempotent = Class {
        idempotency: Idempotency::Idempotent,
        latency_objective: latency_objective * 3,
        priority_weight: 0.5,
        ..keyed.clone()
    };
    let ordered = Class { is_ordered: true, ..keyed.clone() };
    let non_idempotent_ordered = Class { is_ordered: true, deadline: deadline * 2, ..non_idempotent.clone() };
    vec![keyed, by_zone, non_idempotent, idempotent, ordered, non_idempotent_ordered]
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
