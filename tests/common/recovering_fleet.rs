//! Many gateways and one destination that has an outage and recovers: how much is sent to it, and by whom.

use super::{accepted, endpoint, ms};
use delivery_gateway::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the destination does with calls during its outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Rejects, with a Retry-After until it recovers.
    ShutAndTells,
    /// Rejects without a Retry-After.
    Shut,
    /// Accepts no connection.
    Down,
    /// Accepts calls and never responds.
    Hung,
}

/// What a fleet is put through.
#[derive(Clone, Copy)]
pub struct Plan {
    pub outage: OutageKind,
    pub fleet_size: u32,
    /// Calls a second that the destination serves when it is warm.
    pub capacity: f64,
    /// Announced rate relative to that.
    pub told: f64,
    /// Messages a second, relative to the capacity.
    pub load: f64,
    /// Messages that a call may carry.
    pub batch: usize,
    /// How long all is well before the outage.
    pub quiet: Duration,
    /// Rejected calls use up the destination's limit as well.
    pub counted: bool,
    pub seed: u64,
}

/// What was seen in one run.
pub struct Seen {
    /// The most that gateways which saw the outage sent in an overload window, relative to what the
    /// destination survives.
    pub worst: f64,
    /// Ratio of the messages enqueued since the recovery that were delivered.
    pub delivered: f64,
    /// Calls served before the outage, relative to what the destination could have served.
    pub served: f64,
    /// Ratio of the calls before the outage that were rejected.
    pub refused: f64,
}

/// How unevenly messages are spread over gateways: at 0 evenly, at 1 a few carry most.
const SKEW: f64 = 0.9;
/// Weight of a further message in a call, relative to the call itself.
const ITEM: f64 = 0.15;
const OUT_FOR: Duration = Duration::from_secs(14);
const STEP: Duration = Duration::from_millis(5);
const TO: EndpointId = EndpointId(7);

struct Member {
    scheduler: Scheduler,
    wake: Option<(Time, u64)>,
    /// Its part of all messages.
    part: f64,
    /// Has events to act on.
    touched: bool,
    /// Saw a failure or a rejection during the outage.
    aware: bool,
}

/// The outcome of an attempt, on its way to the gateway.
struct Coming {
    member: usize,
    message: MessageId,
    attempt: u16,
    outcome: AttemptOutcome,
    sent: Time,
}

struct RecoveringFleet {
    plan: Plan,
    settings: Settings,
    chance: fastrand::Rng,
    now: Time,
    out_from: Time,
    back: Time,
    members: Vec<Member>,
    coming: BTreeMap<(Time, usize), Coming>,
    /// Attempts of each message, and in all.
    attempts: BTreeMap<MessageId, u16>,
    count: usize,
    /// Calls that the destination accepts before it rejects.
    room: f64,
    /// What gateways that saw the outage sent since the recovery, by weight.
    capacity_hints: Vec<(Time, f64)>,
    since_return: BTreeSet<MessageId>,
    delivered: usize,
    /// Calls before the outage: all, and those rejected.
    early: (usize, usize),
}

/// Runs a fleet through the outage and the recovery.
pub fn live_through(plan: Plan) -> Seen {
    let mut recovering_fleet = RecoveringFleet::new(plan);
    let (cold, fall) =
        (recovering_fleet.settings.limits.warm_up, recovering_fleet.settings.limits.overload_window);
    let mut worst = 0.0_f64;
    while recovering_fleet.now < recovering_fleet.back + cold {
        recovering_fleet.now = recovering_fleet.now + STEP;
        recovering_fleet.room = (recovering_fleet.room + recovering_fleet.capacity() * STEP.as_secs_f64())
            .min(recovering_fleet.capacity() / 2.0 + 1.0);
        recovering_fleet.hand_in();
        recovering_fleet.wake();
        recovering_fleet.tell_outcomes();
        (0..recovering_fleet.members.len()).for_each(|member| recovering_fleet.act(member));
        if recovering_fleet.now >= recovering_fleet.back {
            let survives = recovering_fleet.settings.limits.overload_multiple
                * recovering_fleet.capacity()
                * fall.as_secs_f64();
            let recent =
                recovering_fleet.capacity_hints.iter().filter(|(at, _)| recovering_fleet.now - *at < fall);
            worst = worst.max(recent.map(|(_, weight)| weight).sum::<f64>() / survives);
        }
    }
    let (calls, refused) = recovering_fleet.early;
    let could = plan.capacity * plan.quiet.as_secs_f64();
    Seen {
        worst,
        delivered: recovering_fleet.delivered as f64 / recovering_fleet.since_return.len().max(1) as f64,
        served: (calls - refused) as f64 / could,
        refused: refused as f64 / calls.max(1) as f64,
    }
}

fn settings_of(plan: &Plan) -> Settings {
    let (latency_objective, span) = (Duration::from_secs(4), Duration::from_secs(20));
    let rules = DeliveryLimits {
        cold_capacity_ratio: 0.18,
        warm_up: Duration::from_secs(12),
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(3),
        ..Settings::default().limits
    };
    Settings {
        classes: vec![Class {
            latency_objective,
            deadline: span,
            idempotency_window: span,
            ..Class::default()
        }],
        fleet_size: plan.fleet_size,
        destination_kinds: vec![DestinationKind { batch: plan.batch, per_endpoint_limits: false }],
        max_in_flight_calls: 4,
        max_pending_messages: 48,
        limits: rules,
        ..Settings::default()
    }
}

impl RecoveringFleet {
    fn new(plan: Plan) -> Self {
        let settings = settings_of(&plan);
        let start = Time::ZERO + Duration::from_secs(100);
        let listed = Endpoint { capacity_hint: plan.capacity * plan.told, ..endpoint(TO.0, 1) };
        let shares: Vec<f64> = (0..plan.fleet_size).map(|n| f64::from(n + 1).powf(-SKEW)).collect();
        let all: f64 = shares.iter().sum();
        let member = |(number, share): (usize, &f64)| {
            let mut scheduler = Scheduler::new(settings.clone(), plan.seed * 1000 + number as u64);
            scheduler.handle(start, Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![listed.clone()])));
            Member { scheduler, wake: None, part: share / all, touched: true, aware: false }
        };
        let members = shares.iter().enumerate().map(member).collect();
        RecoveringFleet {
            plan,
            members,
            settings,
            chance: fastrand::Rng::with_seed(plan.seed),
            now: start,
            out_from: start + plan.quiet,
            back: start + plan.quiet + OUT_FOR,
            coming: BTreeMap::new(),
            attempts: BTreeMap::new(),
            count: 0,
            room: 1.0,
            capacity_hints: Vec::new(),
            since_return: BTreeSet::new(),
            delivered: 0,
            early: (0, 0),
        }
    }

    fn out(&self) -> bool {
        self.now >= self.out_from && self.now < self.back
    }

    /// Calls a second that the destination can serve at this moment.
    fn capacity(&self) -> f64 {
        let rules = &self.settings.limits;
        let warmth = ((self.now - self.back).as_secs_f64() / rules.warm_up.as_secs_f64()).min(1.0);
        let cold = self.now >= self.back;
        self.plan.capacity
            * if cold { rules.cold_capacity_ratio + (1.0 - rules.cold_capacity_ratio) * warmth } else { 1.0 }
    }

    fn hand_in(&mut self) {
        let back = self.now >= self.back;
        let all = self.plan.capacity * self.plan.load * STEP.as_secs_f64();
        for member in &mut self.members {
            if self.chance.f64() >= all * member.part {
                continue;
            }
            let id = MessageId(self.attempts.len() as u32);
            self.attempts.insert(id, 0);
            if back {
                self.since_return.insert(id);
            }
            let class = (ClassId(0), &self.settings.classes[0]);
            let accepted = accepted(self.now, id.0, class, 1, None);
            member.scheduler.handle(self.now, Event::MessageAccepted(accepted));
            member.touched = true;
        }
    }

    fn wake(&mut self) {
        for member in &mut self.members {
            if let Some((_, token)) = member.wake.take_if(|(at, _)| *at <= self.now) {
                member.scheduler.handle(self.now, Event::TimerFired(token));
                member.touched = true;
            }
        }
    }

    fn tell_outcomes(&mut self) {
        let out = self.out();
        while let Some(entry) = self.coming.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let Coming { member, message, attempt, outcome, sent } = entry.remove();
            let complete = outcome == AttemptOutcome::Delivered;
            self.delivered += usize::from(complete && self.since_return.contains(&message));
            let latency = self.now - sent;
            let finished = FinishedAttempt {
                message,
                endpoint: TO,
                attempt,
                outcome,
                latency,
                complete,
                load_report: None,
            };
            let member = &mut self.members[member];
            member.scheduler.handle(self.now, Event::AttemptFinished(finished));
            member.aware |= out && !complete;
            member.touched = true;
        }
    }

    fn act(&mut self, member: usize) {
        if !std::mem::take(&mut self.members[member].touched) {
            return;
        }
        let mut actions = Vec::new();
        self.members[member].scheduler.decide(self.now, &mut actions);
        // Attempts of one step share one call: one outcome, and a little weight for each further message.
        let mut fate = None;
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.members[member].wake = Some((self.now + after, token));
                }
                Action::StartAttempt { message, attempt_timeout, .. } => {
                    if self.members[member].aware && self.now >= self.back {
                        self.capacity_hints.push((self.now, if fate.is_none() { 1.0 } else { ITEM }));
                    }
                    let (outcome, after) = *fate.get_or_insert_with(|| self.call(attempt_timeout));
                    let attempts = self.attempts.entry(message).or_default();
                    let coming = Coming { member, message, attempt: *attempts, outcome, sent: self.now };
                    *attempts += 1;
                    self.count += 1;
                    self.coming.insert((self.now + after, self.count), coming);
                }
                _ => {}
            }
        }
    }

    /// The outcome of a call sent now, and when it is known.
    fn call(&mut self, attempt_timeout: Duration) -> (AttemptOutcome, Duration) {
        let soon = ms(50);
        if !self.out() {
            let early = usize::from(self.now < self.out_from);
            self.early.0 += early;
            if self.room < 1.0 {
                self.early.1 += early;
                if self.plan.counted {
                    self.room = 0.0;
                }
                return (AttemptOutcome::Rejected(None), soon);
            }
            self.room -= 1.0;
            return (AttemptOutcome::Delivered, ms(200));
        }
        match self.plan.outage {
            // A Retry-After counts from its response.
            OutageKind::ShutAndTells => {
                (AttemptOutcome::Rejected(Some((self.back - self.now).saturating_sub(soon))), soon)
            }
            OutageKind::Shut => (AttemptOutcome::Rejected(None), soon),
            OutageKind::Down => (AttemptOutcome::ConnectFailed, soon),
            OutageKind::Hung => (AttemptOutcome::Timeout, attempt_timeout),
        }
    }
}
