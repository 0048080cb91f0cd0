//! A scheduler under test with a simulated clock, and fixtures of classes, settings, endpoints and messages.
#![allow(dead_code)]

pub mod recovering_fleet;

use delivery_gateway::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Latency of a call where a test does not set it.
const LATENCY: Duration = Duration::from_millis(20);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a class whose messages are idempotent by a key within an idempotency window.
pub fn idempotent_with_key() -> Class {
    Class::default()
}

/// Returns a class whose messages must not be processed twice.
pub fn non_idempotent() -> Class {
    Class { idempotency: Idempotency::NonIdempotent, ..Class::default() }
}

/// Returns a class whose messages may be sent any number of times.
pub fn idempotent() -> Class {
    Class { idempotency: Idempotency::Idempotent, ..Class::default() }
}

/// Returns the settings of a single gateway with these classes, and defaults for everything else.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings { classes, fleet_size: 1, ..Settings::default() }
}

/// Returns a ready endpoint with a capacity hint of 100 calls a second.
pub fn endpoint(id: u32, destination: u16) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        zone: ZoneId(0),
        kind: DestinationKindId(0),
        destination: DestinationId(destination.into()),
        availability: Availability::Ready,
        capacity_hint: 100.0,
    }
}

/// Returns a message that is enqueued now and was not redelivered.
pub fn accepted(
    now: Time,
    id: u32,
    (class_id, class): (ClassId, &Class),
    destination: u16,
    key: Option<u64>,
) -> AcceptedMessage {
    AcceptedMessage {
        id: MessageId(id),
        class: class_id,
        destination: DestinationId(destination.into()),
        key: key.map(OrderingKey),
        deadline: now + class.deadline,
        is_redelivered: false,
        tenant: TenantId(0),
    }
}

/// An attempt that the scheduler started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    pub message: u32,
    pub endpoint: u32,
    pub timeout: Duration,
}

/// A scheduler and its simulated clock.
pub struct TestBench {
    pub scheduler: Scheduler,
    pub now: Time,
    pub settings: Settings,
    /// Number of attempts of each message so far.
    attempts: BTreeMap<u32, u16>,
}

impl TestBench {
    /// Returns a scheduler with these endpoints listed, and its clock at 100 s.
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut bench = TestBench {
            scheduler: Scheduler::new(settings.clone(), 1),
            now: Time::ZERO + Duration::from_secs(100),
            settings,
            attempts: BTreeMap::new(),
        };
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints)));
        bench
    }

    /// Lets the scheduler handle an event now.
    pub fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event);
    }

    /// Accepts a message of the class with this number.
    pub fn accept(&mut self, id: u32, class: u8, destination: u16, key: Option<u64>) {
        let class = (ClassId(class), &self.settings.classes[usize::from(class)]);
        self.handle(Event::MessageAccepted(accepted(self.now, id, class, destination, key)));
    }

    /// Lets the scheduler decide now; returns its actions.
    pub fn decide(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.decide(self.now, &mut actions);
        for action in &actions {
            if let Action::StartAttempt { message, .. } = action {
                *self.attempts.entry(message.0).or_default() += 1;
            }
        }
        actions
    }

    /// Lets the scheduler decide now; returns the attempts that it starts.
    pub fn start_attempts(&mut self) -> Vec<StartedAttempt> {
        let started = |action: &Action| match action {
            Action::StartAttempt { message, endpoint, attempt_timeout, .. } => {
                Some(StartedAttempt { message: message.0, endpoint: endpoint.0, timeout: *attempt_timeout })
            }
            _ => None,
        };
        self.decide().iter().filter_map(started).collect()
    }

    /// Advances time in steps of 5 ms, deciding at each, and stops at the first one with an action other than setting a
    /// timer. Returns its actions without the timer, or none if the time limit has passed.
    pub fn advance_until_action(&mut self, limit: Duration) -> Vec<Action> {
        let end = self.now + limit;
        while self.now < end {
            self.now = self.now + ms(5);
            let mut actions = self.decide();
            actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
            if !actions.is_empty() {
                return actions;
            }
        }
        Vec::new()
    }

    /// Replaces the scheduler by a new one with these settings, seed and endpoints; the clock goes on.
    pub fn restart(&mut self, settings: Settings, seed: u64, endpoints: Vec<Endpoint>) {
        self.scheduler = Scheduler::new(settings.clone(), seed);
        self.settings = settings;
        self.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints)));
    }

    /// Reports the outcome of a message's last attempt, without a load report.
    pub fn finish(&mut self, message: u32, endpoint: u32, outcome: AttemptOutcome, latency: Duration) {
        self.finish_with_report(message, endpoint, outcome, latency, None);
    }

    /// Reports that a message's last attempt was rejected, with a load report.
    pub fn reject_with_report(&mut self, message: u32, endpoint: u32, headroom: f64, limit_per_sec: f64) {
        let load_report = Some(LoadReport { headroom, limit_per_sec });
        self.finish_with_report(message, endpoint, AttemptOutcome::Rejected(None), LATENCY, load_report);
    }

    fn finish_with_report(
        &mut self,
        message: u32,
        endpoint: u32,
        outcome: AttemptOutcome,
        latency: Duration,
        load_report: Option<LoadReport>,
    ) {
        let attempt = self.attempts.get(&message).map_or(0, |count| count - 1);
        self.handle(Event::AttemptFinished(FinishedAttempt {
            message: MessageId(message),
            endpoint: EndpointId(endpoint),
            attempt,
            outcome,
            latency,
            completes_message: outcome == AttemptOutcome::Delivered,
            load_report,
        }));
    }
}

/// Returns a scheduler with one class, and endpoint 7 as the only one of destination 1.
pub fn single_destination(class: Class) -> TestBench {
    TestBench::new(settings(vec![class]), vec![endpoint(7, 1)])
}
