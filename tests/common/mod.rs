//! A scheduler under test, with a clock of its own and a record of what it asked for.
#![allow(dead_code)]

pub mod recovering_fleet;

use delivery_gateway::*;
use std::time::Duration;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn keyed() -> Class {
    Class::default()
}

pub fn unsafe_class() -> Class {
    Class { idempotency: Idempotency::NonIdempotent, ..Class::default() }
}

pub fn safe() -> Class {
    Class { idempotency: Idempotency::Idempotent, ..Class::default() }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings { classes, fleet_size: 1, ..Settings::default() }
}

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

/// A message of a live client, enqueued now.
pub fn accepted(
    now: Time,
    id: u32,
    (class, rules): (ClassId, &Class),
    destination: u16,
    key: Option<u64>,
) -> AcceptedMessage {
    AcceptedMessage {
        id: MessageId(id),
        class,
        destination: DestinationId(destination.into()),
        key: key.map(OrderingKey),
        deadline: now + rules.deadline,
        redelivered: false,
        tenant: TenantId(0),
    }
}

/// An attempt that the scheduler started: message, endpoint, timeout.
pub type Sent = (u32, u32, Duration);

pub struct Bench {
    pub scheduler: Scheduler,
    pub now: Time,
    pub settings: Settings,
    attempts: std::collections::BTreeMap<u32, u16>,
}

impl Bench {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut bench = Bench {
            scheduler: Scheduler::new(settings.clone(), 1),
            now: Time::ZERO + Duration::from_secs(100),
            settings,
            attempts: Default::default(),
        };
        bench.tell(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints)));
        bench
    }

    pub fn tell(&mut self, event: Event) {
        self.scheduler.handle(self.now, event);
    }

    pub fn accept(&mut self, id: u32, class: u8, destination: u16, key: Option<u64>) {
        let class = (ClassId(class), &self.settings.classes[usize::from(class)]);
        self.tell(Event::MessageAccepted(accepted(self.now, id, class, destination, key)));
    }

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

    pub fn routes(&mut self) -> Vec<Sent> {
        let routed = |action: &Action| match action {
            Action::StartAttempt { message, endpoint, attempt_timeout, .. } => {
                Some((message.0, endpoint.0, *attempt_timeout))
            }
            _ => None,
        };
        self.decide().iter().filter_map(routed).collect()
    }

    /// Advances time in small steps, deciding at each; stops at the first step with an attempt or a final
    /// outcome.
    pub fn until_action(&mut self, limit: Duration) -> Vec<Action> {
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

    /// The same bench with a new scheduler of other settings and another seed.
    pub fn restart(&mut self, settings: Settings, seed: u64, endpoints: Vec<Endpoint>) {
        self.scheduler = Scheduler::new(settings.clone(), seed);
        self.settings = settings;
        self.tell(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints)));
    }

    pub fn finish(&mut self, message: u32, endpoint: u32, outcome: AttemptOutcome, latency: Duration) {
        self.finish_telling(message, endpoint, outcome, latency, None);
    }

    /// A rejection with a load report.
    pub fn refuse(&mut self, message: u32, endpoint: u32, left: f64, limit: f64) {
        self.finish_telling(
            message,
            endpoint,
            AttemptOutcome::Rejected(None),
            ms(20),
            Some(LoadReport { headroom: left, limit_per_sec: limit }),
        );
    }

    fn finish_telling(
        &mut self,
        message: u32,
        endpoint: u32,
        outcome: AttemptOutcome,
        latency: Duration,
        load_report: Option<LoadReport>,
    ) {
        let attempt = self.attempts.get(&message).map_or(0, |count| count - 1);
        self.tell(Event::AttemptFinished(FinishedAttempt {
            message: MessageId(message),
            endpoint: EndpointId(endpoint),
            attempt,
            outcome,
            latency,
            complete: outcome == AttemptOutcome::Delivered,
            load_report,
        }));
    }
}

/// One class of message, and endpoint 7 of destination 1.
pub fn one(class: Class) -> Bench {
    Bench::new(settings(vec![class]), vec![endpoint(7, 1)])
}
