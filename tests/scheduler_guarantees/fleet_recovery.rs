//! A whole fleet and a destination that recovers from an outage: the slow-start budget must hold for the sum of what
//! all gateways send, though each decides on its own.

use super::common::*;
use delivery_gateway::*;
use std::collections::BTreeMap;
use std::time::Duration;

const CLASS: ClassId = ClassId(0);
const ENDPOINT: EndpointId = EndpointId(7);
const DESTINATION: u16 = 1;
/// Steps of the simulated clock.
const STEP: Duration = Duration::from_millis(5);
const STEP_SECS: f64 = 0.005;
/// Time from the start to the outage.
const OUTAGE_AFTER: Duration = Duration::from_secs(5);
/// Time from the start to the recovery.
const RECOVERY_AFTER: Duration = Duration::from_secs(15);
/// How long a delivered call takes.
const DELIVERY_TIME: Duration = Duration::from_millis(200);
/// How long any other call takes, unless it times out.
const FAILURE_TIME: Duration = Duration::from_millis(50);
/// Ratio of the possible calls that must be served after the recovery.
const MIN_SERVED_RATIO: f64 = 0.2;

/// The fleet, its load and the outage of one run.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// The outcome of all calls during the outage.
    outage: AttemptOutcome,
    fleet_size: u32,
    /// Calls a second that the destination serves when it is warm.
    capacity_per_sec: f64,
    /// Messages a second, as a ratio of the capacity.
    load: f64,
    /// The maximum number of messages in a call.
    max_batch_size: usize,
    /// All processes are killed at the recovery, and restore only what their journals hold.
    killed_at_recovery: bool,
}

/// A message without a final outcome, and the number of its attempts.
struct PendingMessage {
    message: AcceptedMessage,
    attempts: u32,
}

/// One process of the fleet.
struct Gateway {
    scheduler: Scheduler,
    timer: Option<(Time, u64)>,
    /// It has handled events since its last decision.
    has_events: bool,
    /// It received the outcome of a failed or rejected attempt during the outage.
    saw_outage: bool,
    pending: BTreeMap<MessageId, PendingMessage>,
}

/// The outcome of an attempt that the gateway has not yet received.
struct PendingOutcome {
    gateway: usize,
    message: MessageId,
    attempt: u16,
    outcome: AttemptOutcome,
    sent_at: Time,
}

/// A call since the recovery.
struct Call {
    at: Time,
    /// The gateway that sent it had seen the outage.
    saw_outage: bool,
}

/// An overload window with more calls than the destination can take without failing again.
struct Overload {
    calls: usize,
    /// Number of these calls by gateways that had seen the outage.
    calls_after_outage: usize,
    /// Number of calls that the settings allow.
    allowed: f64,
}

/// The result of one run after the recovery.
struct Recovery {
    /// The first overload, if there was one. The run ends with it.
    overload: Option<Overload>,
    /// Calls served, as a ratio of what the destination could have served.
    served_ratio: f64,
}

/// A simulated fleet and its destination.
struct Fleet {
    scenario: Scenario,
    seed: u64,
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    outage_at: Time,
    recovery_at: Time,
    gateways: Vec<Gateway>,
    /// Outcomes by arrival time, and by the number of the attempt within the same time.
    pending_outcomes: BTreeMap<(Time, usize), PendingOutcome>,
    last_message: u32,
    attempts: usize,
    /// Calls that the destination accepts now before it rejects.
    available_calls: f64,
    /// Calls since the recovery.
    calls: Vec<Call>,
    /// Calls served since the recovery.
    served: f64,
    /// Calls that could have been served since the recovery.
    possible: f64,
}

fn settings_of(scenario: &Scenario) -> Settings {
    let class = Class {
        latency_objective: Duration::from_secs(2),
        deadline: Duration::from_secs(12),
        ..idempotent()
    };
    let limits = DeliveryLimits {
        cold_capacity_ratio: 0.18,
        warm_up: Duration::from_secs(10),
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(2),
        ..Settings::default().limits
    };
    Settings {
        classes: vec![class],
        fleet_size: scenario.fleet_size,
        destination_kinds: vec![DestinationKind {
            max_batch_size: scenario.max_batch_size,
            has_per_endpoint_limits: false,
        }],
        limits,
        ..Settings::default()
    }
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let start = Time::ZERO + Duration::from_secs(100);
        let mut fleet = Fleet {
            scenario,
            seed,
            settings: settings_of(&scenario),
            rng: fastrand::Rng::with_seed(seed),
            now: start,
            outage_at: start + OUTAGE_AFTER,
            recovery_at: start + RECOVERY_AFTER,
            gateways: Vec::new(),
            pending_outcomes: BTreeMap::new(),
            last_message: 0,
            attempts: 0,
            available_calls: 1.0,
            calls: Vec::new(),
            served: 0.0,
            possible: 0.0,
        };
        fleet.gateways = (0..u64::from(scenario.fleet_size))
            .map(|number| Gateway {
                scheduler: fleet.new_scheduler(number),
                timer: None,
                has_events: true,
                saw_outage: false,
                pending: BTreeMap::new(),
            })
            .collect();
        fleet
    }

    /// Returns a scheduler that has the endpoint list and no other state.
    fn new_scheduler(&self, number: u64) -> Scheduler {
        let listed =
            Endpoint { capacity_hint: self.scenario.capacity_per_sec, ..endpoint(ENDPOINT.0, DESTINATION) };
        let mut scheduler = Scheduler::new(self.settings.clone(), self.seed * 1000 + number);
        scheduler.handle(self.now, Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![listed])));
        scheduler
    }

    /// Runs the fleet until the destination is warm again, or overloaded.
    fn run(mut self) -> Recovery {
        let end = self.recovery_at + self.settings.limits.warm_up;
        while self.now < end {
            self.now = self.now + STEP;
            let capacity = self.capacity_per_sec();
            self.available_calls =
                f64::min(self.available_calls + capacity * STEP_SECS, capacity / 2.0 + 1.0);
            if self.scenario.killed_at_recovery && self.is_first_step_after_recovery() {
                self.kill_and_restart_all();
            }
            self.accept_messages_and_fire_timers();
            self.deliver_outcomes();
            (0..self.gateways.len()).for_each(|gateway| self.decide(gateway));
            if self.has_recovered() {
                self.possible += capacity * STEP_SECS;
                let overload = self.overload(capacity);
                if overload.is_some() {
                    return Recovery { overload, served_ratio: self.served / self.possible };
                }
            }
        }
        Recovery { overload: None, served_ratio: self.served / self.possible }
    }

    fn is_out(&self) -> bool {
        self.now >= self.outage_at && self.now < self.recovery_at
    }

    fn has_recovered(&self) -> bool {
        self.now >= self.recovery_at
    }

    fn is_first_step_after_recovery(&self) -> bool {
        self.has_recovered() && self.now - self.recovery_at < STEP
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

    /// Replaces each process by one that restores the circuits and messages of its journal. Calls in flight are lost.
    fn kill_and_restart_all(&mut self) {
        for number in 0..self.gateways.len() {
            let mut scheduler = self.new_scheduler(500 + number as u64);
            let gateway = &mut self.gateways[number];
            for record in gateway.scheduler.circuit_records() {
                scheduler.handle(self.now, Event::CircuitRestored(record));
            }
            for pending in gateway.pending.values() {
                let restored = RestoredMessage {
                    message: pending.message.clone(),
                    attempts: pending.attempts,
                    first_uncertain_attempt: None,
                    has_final_outcome: false,
                };
                scheduler.handle(self.now, Event::MessageRestored(restored));
            }
            gateway.scheduler = scheduler;
            gateway.timer = None;
            gateway.has_events = true;
        }
        self.pending_outcomes.clear();
    }

    fn accept_messages_and_fire_timers(&mut self) {
        let Scenario { fleet_size, capacity_per_sec, load, .. } = self.scenario;
        let probability = capacity_per_sec * load * STEP_SECS / f64::from(fleet_size);
        let class = (CLASS, &self.settings.classes[0]);
        for gateway in &mut self.gateways {
            if self.rng.f64() < probability {
                self.last_message += 1;
                let message = accepted(self.now, self.last_message, class, DESTINATION, None);
                let pending = PendingMessage { message: message.clone(), attempts: 0 };
                gateway.pending.insert(message.id, pending);
                gateway.scheduler.handle(self.now, Event::MessageAccepted(message));
                gateway.has_events = true;
            }
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
            let gateway = &mut self.gateways[gateway];
            gateway.scheduler.handle(
                self.now,
                Event::AttemptFinished(FinishedAttempt {
                    message,
                    endpoint: ENDPOINT,
                    attempt,
                    outcome,
                    latency: self.now - sent_at,
                    completes_message,
                    load_report: None,
                }),
            );
            gateway.saw_outage |= is_out && !completes_message;
            gateway.has_events = true;
            if completes_message {
                gateway.pending.remove(&message);
            }
        }
    }

    /// Lets a gateway decide if it has handled events since its last decision, and sends the attempts that it starts.
    /// Attempts of one decision share calls, up to the batch size.
    fn decide(&mut self, number: usize) {
        if !std::mem::take(&mut self.gateways[number].has_events) {
            return;
        }
        let mut actions = Vec::new();
        self.gateways[number].scheduler.decide(self.now, &mut actions);
        let mut call = None;
        let mut messages_in_call = 0;
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.gateways[number].timer = Some((self.now + after, token));
                }
                Action::StartAttempt { message, attempt_timeout, .. } => {
                    if messages_in_call == self.scenario.max_batch_size {
                        call = None;
                        messages_in_call = 0;
                    }
                    messages_in_call += 1;
                    let (outcome, duration) = *call.get_or_insert_with(|| self.call(number, attempt_timeout));
                    self.start_attempt(number, message, outcome, duration);
                }
                Action::Reject { message, .. } | Action::ReportFailure { message } => {
                    self.gateways[number].pending.remove(&message);
                }
                _ => {}
            }
        }
    }

    /// Returns the outcome of a call that is sent now, and how long it takes.
    fn call(&mut self, gateway: usize, attempt_timeout: Duration) -> (AttemptOutcome, Duration) {
        if self.has_recovered() {
            self.calls.push(Call { at: self.now, saw_outage: self.gateways[gateway].saw_outage });
        }
        if self.is_out() {
            let timed_out = self.scenario.outage == AttemptOutcome::Timeout;
            return (self.scenario.outage, if timed_out { attempt_timeout } else { FAILURE_TIME });
        }
        if self.available_calls < 1.0 {
            return (AttemptOutcome::Rejected(None), FAILURE_TIME);
        }
        self.available_calls -= 1.0;
        if self.has_recovered() {
            self.served += 1.0;
        }
        (AttemptOutcome::Delivered, DELIVERY_TIME)
    }

    fn start_attempt(
        &mut self,
        gateway: usize,
        message: MessageId,
        outcome: AttemptOutcome,
        duration: Duration,
    ) {
        self.attempts += 1;
        let Some(pending) = self.gateways[gateway].pending.get_mut(&message) else {
            panic!("sent after its final outcome");
        };
        let attempt = pending.attempts as u16;
        pending.attempts += 1;
        let pending = PendingOutcome { gateway, message, attempt, outcome, sent_at: self.now };
        self.pending_outcomes.insert((self.now + duration, self.attempts), pending);
    }

    /// Returns the overload if the last overload window had more calls than allowed, beyond what chance explains: two
    /// standard deviations and two calls.
    fn overload(&self, capacity_per_sec: f64) -> Option<Overload> {
        let limits = &self.settings.limits;
        let recent = || self.calls.iter().filter(|call| self.now - call.at < limits.overload_window);
        let calls = recent().count();
        let calls_after_outage = recent().filter(|call| call.saw_outage).count();
        let allowed = limits.overload_multiple * capacity_per_sec * limits.overload_window.as_secs_f64();
        (calls as f64 > allowed + 2.0 * allowed.sqrt() + 2.0).then_some(Overload {
            calls,
            calls_after_outage,
            allowed,
        })
    }
}

/// Runs fleets of twenty and thirty gateways through outages of all kinds. A cold destination can be overloaded by the
/// sum of what all gateways send; in no overload may more than two thirds of the calls be by gateways that had seen the
/// outage.
fn assert_slow_start_budget_holds(killed_at_recovery: bool) {
    let mut overloads = Vec::new();
    for outage in [
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Timeout,
        AttemptOutcome::ErrorResponse,
        AttemptOutcome::Rejected(None),
        AttemptOutcome::Rejected(Some(Duration::from_secs(1))),
    ] {
        for (fleet_size, capacity_per_sec) in
            [(20, 6.0), (20, 20.0), (20, 60.0), (30, 6.0), (30, 20.0), (30, 60.0)]
        {
            for (load, max_batch_size) in [(0.8, 1), (1.5, 1), (4.0, 1), (1.5, 20)] {
                let scenario = Scenario {
                    outage,
                    fleet_size,
                    capacity_per_sec,
                    load,
                    max_batch_size,
                    killed_at_recovery,
                };
                overloads.extend((1..=3).filter_map(|seed| overload_after_outage(scenario, seed)));
            }
        }
    }
    assert!(overloads.is_empty(), "{} of 360 runs: {overloads:#?}", overloads.len());
}

/// Describes the overload of this run, if there was one and gateways that had seen the outage caused it. Panics if the
/// fleet kept the budget by sending almost nothing.
fn overload_after_outage(scenario: Scenario, seed: u64) -> Option<String> {
    let Recovery { overload, served_ratio } = Fleet::new(scenario, seed).run();
    assert!(served_ratio > MIN_SERVED_RATIO, "{scenario:?}, seed {seed}: only {served_ratio:.2} served");
    let Overload { calls, calls_after_outage, allowed } = overload?;
    (calls_after_outage * 3 > calls * 2).then(|| {
        format!("{scenario:?}, seed {seed}: {calls_after_outage} of {calls} calls, {allowed:.1} allowed")
    })
}

/// Gateways that each keep within the whole budget would overload the destination together.
#[test]
fn the_slow_start_budget_holds_for_twenty_and_thirty_processes_together() {
    assert_slow_start_budget_holds(false);
}

/// Processes that lost their circuits with a kill would start again at the full rate.
#[test]
fn the_slow_start_budget_holds_for_killed_processes_together() {
    assert_slow_start_budget_holds(true);
}
