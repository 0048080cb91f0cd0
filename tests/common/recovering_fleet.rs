//! A simulated fleet of gateways, and one destination that has an outage and recovers. Measures how many calls the
//! gateways send to it, before the outage and after the recovery.

use super::{accepted, endpoint};
use delivery_gateway::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// How the destination responds to calls during its outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Rejects, with a Retry-After that ends when it recovers.
    RejectsWithRetryAfter,
    /// Rejects without a Retry-After.
    Rejects,
    /// Refuses connections.
    Down,
    /// Accepts calls and never responds.
    Unresponsive,
}

/// The fleet, its load and the outage of one run.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub outage: OutageKind,
    pub fleet_size: u32,
    /// Calls a second that the destination serves when it is warm.
    pub capacity_per_sec: f64,
    /// The capacity hint of the endpoint list, as a ratio of the capacity.
    pub capacity_hint_ratio: f64,
    /// Messages a second, as a ratio of the capacity.
    pub load: f64,
    /// The maximum number of messages in a call.
    pub max_batch_size: usize,
    /// Time from the start to the outage.
    pub outage_after: Duration,
    /// Rejected calls use up the destination's limit as well.
    pub rejections_use_capacity: bool,
    pub seed: u64,
}

/// The result of one run.
pub struct Observed {
    /// The most that gateways which had seen the outage sent in an overload window since the recovery, as a ratio of
    /// what the destination can take without failing again.
    pub max_overload: f64,
    /// Ratio of the messages enqueued since the recovery that were delivered before the end of the slow start.
    pub delivered_ratio: f64,
    /// Calls served before the outage, as a ratio of what the destination could have served.
    pub served_ratio: f64,
    /// Ratio of the calls before the outage that were rejected.
    pub rejected_ratio: f64,
}

impl fmt::Display for Observed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.2} served, {:.2} rejected", self.served_ratio, self.rejected_ratio)
    }
}

/// How unevenly messages are spread over gateways: at 0 evenly; at 1 the second gateway gets half as many as the first,
/// the third a third, and so on.
const SKEW: f64 = 0.9;
/// Weight of each further message in a call, as a ratio of the weight of the call.
const FURTHER_MESSAGE_WEIGHT: f64 = 0.15;
const OUTAGE_DURATION: Duration = Duration::from_secs(14);
/// Steps of the simulated clock.
const STEP: Duration = Duration::from_millis(5);
/// How long a delivered call takes.
const DELIVERY_TIME: Duration = Duration::from_millis(200);
/// How long any other call takes, unless it times out.
const FAILURE_TIME: Duration = Duration::from_millis(50);
const ENDPOINT: EndpointId = EndpointId(7);
const DESTINATION: u16 = 1;

struct Gateway {
    scheduler: Scheduler,
    timer: Option<(Time, u64)>,
    /// Its share of all messages.
    traffic_ratio: f64,
    /// It has handled events since its last decision.
    has_events: bool,
    /// It received the outcome of a failed or rejected attempt during the outage.
    saw_outage: bool,
}

/// The outcome of an attempt that the gateway has not yet received.
struct PendingOutcome {
    gateway: usize,
    message: MessageId,
    attempt: u16,
    outcome: AttemptOutcome,
    sent_at: Time,
}

struct RecoveringFleet {
    scenario: Scenario,
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    outage_at: Time,
    recovery_at: Time,
    gateways: Vec<Gateway>,
    /// Outcomes by arrival time, and by the number of the attempt within the same time.
    pending_outcomes: BTreeMap<(Time, usize), PendingOutcome>,
    /// Number of attempts of each message so far.
    attempts: BTreeMap<MessageId, u16>,
    total_attempts: usize,
    /// Calls that the destination accepts now before it rejects.
    available_calls: f64,
    /// Weights of what gateways that had seen the outage sent since the recovery.
    sent_weights: Vec<(Time, f64)>,
    /// Messages enqueued since the recovery.
    enqueued_since_recovery: BTreeSet<MessageId>,
    /// Number of these that were delivered.
    delivered_since_recovery: usize,
    /// Number of calls before the outage.
    early_calls: usize,
    /// Number of these that were rejected.
    early_rejections: usize,
}

/// Runs a fleet through the outage and the recovery.
pub fn run(scenario: Scenario) -> Observed {
    let mut fleet = RecoveringFleet::new(scenario);
    let end = fleet.recovery_at + fleet.settings.limits.warm_up;
    let mut max_overload = 0.0_f64;
    while fleet.now < end {
        fleet.step();
        if fleet.has_recovered() {
            max_overload = max_overload.max(fleet.overload());
        }
    }
    let possible = scenario.capacity_per_sec * scenario.outage_after.as_secs_f64();
    let enqueued = fleet.enqueued_since_recovery.len().max(1);
    Observed {
        max_overload,
        delivered_ratio: fleet.delivered_since_recovery as f64 / enqueued as f64,
        served_ratio: (fleet.early_calls - fleet.early_rejections) as f64 / possible,
        rejected_ratio: fleet.early_rejections as f64 / fleet.early_calls.max(1) as f64,
    }
}

fn settings_of(scenario: &Scenario) -> Settings {
    let deadline = Duration::from_secs(20);
    let class = Class {
        latency_objective: Duration::from_secs(4),
        deadline,
        idempotency_window: deadline,
        ..Class::default()
    };
    let limits = DeliveryLimits {
        cold_capacity_ratio: 0.18,
        warm_up: Duration::from_secs(12),
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(3),
        ..Settings::default().limits
    };
    Settings {
        classes: vec![class],
        fleet_size: scenario.fleet_size,
        destination_kinds: vec![DestinationKind {
            max_batch_size: scenario.max_batch_size,
            has_per_endpoint_limits: false,
        }],
        max_in_flight_calls: 4,
        max_pending_messages: 48,
        limits,
        ..Settings::default()
    }
}

/// Returns gateways that have the endpoint list and no messages yet.
fn new_gateways(scenario: &Scenario, settings: &Settings, now: Time) -> Vec<Gateway> {
    let capacity_hint = scenario.capacity_per_sec * scenario.capacity_hint_ratio;
    let listed = Endpoint { capacity_hint, ..endpoint(ENDPOINT.0, DESTINATION) };
    let traffic_weights: Vec<f64> =
        (0..scenario.fleet_size).map(|number| f64::from(number + 1).powf(-SKEW)).collect();
    let total_weight: f64 = traffic_weights.iter().sum();
    let gateway = |(number, weight): (usize, &f64)| {
        let mut scheduler = Scheduler::new(settings.clone(), scenario.seed * 1000 + number as u64);
        scheduler.handle(now, Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![listed.clone()])));
        Gateway {
            scheduler,
            timer: None,
            traffic_ratio: weight / total_weight,
            has_events: true,
            saw_outage: false,
        }
    };
    traffic_weights.iter().enumerate().map(gateway).collect()
}

impl RecoveringFleet {
    fn new(scenario: Scenario) -> Self {
        let settings = settings_of(&scenario);
        let start = Time::ZERO + Duration::from_secs(100);
        RecoveringFleet {
            gateways: new_gateways(&scenario, &settings, start),
            scenario,
            settings,
            rng: fastrand::Rng::with_seed(scenario.seed),
            now: start,
            outage_at: start + scenario.outage_after,
            recovery_at: start + scenario.outage_after + OUTAGE_DURATION,
            pending_outcomes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            total_attempts: 0,
            available_calls: 1.0,
            sent_weights: Vec::new(),
            enqueued_since_recovery: BTreeSet::new(),
            delivered_since_recovery: 0,
            early_calls: 0,
            early_rejections: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let capacity = self.capacity_per_sec();
        self.available_calls =
            (self.available_calls + capacity * STEP.as_secs_f64()).min(capacity / 2.0 + 1.0);
        self.enqueue_messages();
        self.fire_timers();
        self.deliver_outcomes();
        (0..self.gateways.len()).for_each(|gateway| self.decide(gateway));
    }

    fn is_out(&self) -> bool {
        self.now >= self.outage_at && self.now < self.recovery_at
    }

    fn has_recovered(&self) -> bool {
        self.now >= self.recovery_at
    }

    /// Returns the calls a second that the destination can serve now.
    fn capacity_per_sec(&self) -> f64 {
        let limits = &self.settings.limits;
        let warm_up_progress =
            ((self.now - self.recovery_at).as_secs_f64() / limits.warm_up.as_secs_f64()).min(1.0);
        let ratio = if self.has_recovered() {
            limits.cold_capacity_ratio + (1.0 - limits.cold_capacity_ratio) * warm_up_progress
        } else {
            1.0
        };
        self.scenario.capacity_per_sec * ratio
    }

    /// Returns what was sent in the last overload window, as a ratio of what the destination can take without failing
    /// again.
    fn overload(&self) -> f64 {
        let limits = &self.settings.limits;
        let sustainable =
            limits.overload_multiple * self.capacity_per_sec() * limits.overload_window.as_secs_f64();
        let recent = self.sent_weights.iter().filter(|(at, _)| self.now - *at < limits.overload_window);
        recent.map(|(_, weight)| weight).sum::<f64>() / sustainable
    }

    fn enqueue_messages(&mut self) {
        let has_recovered = self.has_recovered();
        let messages_per_step = self.scenario.capacity_per_sec * self.scenario.load * STEP.as_secs_f64();
        let class = (ClassId(0), &self.settings.classes[0]);
        for gateway in &mut self.gateways {
            if self.rng.f64() >= messages_per_step * gateway.traffic_ratio {
                continue;
            }
            let id = MessageId(self.attempts.len() as u32);
            self.attempts.insert(id, 0);
            if has_recovered {
                self.enqueued_since_recovery.insert(id);
            }
            let message = accepted(self.now, id.0, class, DESTINATION, None);
            gateway.scheduler.handle(self.now, Event::MessageAccepted(message));
            gateway.has_events = true;
        }
    }

    fn fire_timers(&mut self) {
        for gateway in &mut self.gateways {
            if let Some((_, token)) = gateway.timer.take_if(|(at, _)| *at <= self.now) {
                gateway.scheduler.handle(self.now, Event::TimerFired(token));
                gateway.has_events = true;
            }
        }
    }

    fn deliver_outcomes(&mut self) {
        let is_out = self.is_out();
        while let Some(entry) = self.pending_outcomes.first_entry().filter(|entry| entry.key().0 <= self.now)
        {
            let PendingOutcome { gateway, message, attempt, outcome, sent_at } = entry.remove();
            let completes_message = outcome == AttemptOutcome::Delivered;
            if completes_message && self.enqueued_since_recovery.contains(&message) {
                self.delivered_since_recovery += 1;
            }
            let finished = FinishedAttempt {
                message,
                endpoint: ENDPOINT,
                attempt,
                outcome,
                latency: self.now - sent_at,
                completes_message,
                load_report: None,
            };
            let gateway = &mut self.gateways[gateway];
            gateway.scheduler.handle(self.now, Event::AttemptFinished(finished));
            gateway.saw_outage |= is_out && !completes_message;
            gateway.has_events = true;
        }
    }

    /// Lets a gateway decide if it has handled events since its last decision, and sends the attempts that it starts.
    /// Attempts of one decision share one call: it has one outcome, and each message after the first adds a small
    /// weight.
    fn decide(&mut self, number: usize) {
        if !std::mem::take(&mut self.gateways[number].has_events) {
            return;
        }
        let mut actions = Vec::new();
        self.gateways[number].scheduler.decide(self.now, &mut actions);
        let mut call = None;
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.gateways[number].timer = Some((self.now + after, token));
                }
                Action::StartAttempt { message, attempt_timeout, .. } => {
                    if self.gateways[number].saw_outage && self.has_recovered() {
                        let weight = if call.is_none() { 1.0 } else { FURTHER_MESSAGE_WEIGHT };
                        self.sent_weights.push((self.now, weight));
                    }
                    let (outcome, duration) = *call.get_or_insert_with(|| self.call(attempt_timeout));
                    self.start_attempt(number, message, outcome, duration);
                }
                _ => {}
            }
        }
    }

    fn start_attempt(
        &mut self,
        gateway: usize,
        message: MessageId,
        outcome: AttemptOutcome,
        duration: Duration,
    ) {
        let attempts = self.attempts.entry(message).or_default();
        let attempt = *attempts;
        *attempts += 1;
        self.total_attempts += 1;
        let pending = PendingOutcome { gateway, message, attempt, outcome, sent_at: self.now };
        self.pending_outcomes.insert((self.now + duration, self.total_attempts), pending);
    }

    /// Returns the outcome of a call that is sent now, and how long it takes.
    fn call(&mut self, attempt_timeout: Duration) -> (AttemptOutcome, Duration) {
        if !self.is_out() {
            return self.call_in_service();
        }
        match self.scenario.outage {
            // A Retry-After starts when its response arrives.
            OutageKind::RejectsWithRetryAfter => {
                let retry_after = (self.recovery_at - self.now).saturating_sub(FAILURE_TIME);
                (AttemptOutcome::Rejected(Some(retry_after)), FAILURE_TIME)
            }
            OutageKind::Rejects => (AttemptOutcome::Rejected(None), FAILURE_TIME),
            OutageKind::Down => (AttemptOutcome::ConnectFailed, FAILURE_TIME),
            OutageKind::Unresponsive => (AttemptOutcome::Timeout, attempt_timeout),
        }
    }

    fn call_in_service(&mut self) -> (AttemptOutcome, Duration) {
        let early = usize::from(self.now < self.outage_at);
        self.early_calls += early;
        if self.available_calls < 1.0 {
            self.early_rejections += early;
            if self.scenario.rejections_use_capacity {
                self.available_calls = 0.0;
            }
            return (AttemptOutcome::Rejected(None), FAILURE_TIME);
        }
        self.available_calls -= 1.0;
        (AttemptOutcome::Delivered, DELIVERY_TIME)
    }
}
