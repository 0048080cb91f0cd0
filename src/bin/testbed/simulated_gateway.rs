//! A hollow courier: the real decision module, stepped on a clock of its own as the real courier's loop steps
//! it, with answers from a script in the place of sockets. It opens none and reads no clock.

use delivery_gateway::discovery::EndpointDirectory;
use delivery_gateway::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// The module's clock at the start. Times before it have to be expressible.
const START_TIME: Time = Time(1_000_000_000_000_000);

/// The reader of the list, for the one kind and the one zone of the experiments.
pub fn directory_for(settings: &Settings) -> EndpointDirectory {
    EndpointDirectory::new(&ParsedSettings {
        settings: settings.clone(),
        headroom_index: None,
        limit_index: None,
        class_names: Vec::new(),
        tenant_names: Vec::new(),
        kind_names: vec!["banks".into()],
        zone_names: vec!["kingston".into()],
    })
}

/// What endpoints do with calls.
#[derive(Clone, Debug)]
pub struct Script {
    /// From a call to its answer ...
    pub latency: Duration,
    /// ... and up to so much longer, by chance.
    pub jitter: Duration,
    /// From a call to the refusal of a connection.
    pub down_after: Duration,
    /// Calls a second that one endpoint takes before it answers 503.
    pub limit: Option<f64>,
    /// What the answers tell of the limit.
    pub load_report: Option<LoadReport>,
    /// Endpoints that take no connection.
    pub down: BTreeSet<EndpointId>,
}

impl Script {
    /// All calls are answered, after some time.
    pub fn prompt(latency: Duration) -> Self {
        let jitter = Duration::ZERO;
        Script { latency, jitter, down_after: latency, limit: None, load_report: None, down: BTreeSet::new() }
    }

    /// What becomes of a call, and when that is known.
    fn outcome(
        &self,
        now: Time,
        token_buckets: &mut HashMap<EndpointId, (f64, Time)>,
        chance: &mut fastrand::Rng,
        to: EndpointId,
    ) -> (AttemptOutcome, Duration) {
        if self.down.contains(&to) {
            return (AttemptOutcome::ConnectFailed, self.down_after);
        }
        let after = self.latency + self.jitter.mul_f64(chance.f64());
        if let Some(limit) = self.limit {
            let (left, since) = token_buckets.entry(to).or_insert((1.0, now));
            *left = (*left + (now - *since).as_secs_f64() * limit).min(limit.max(1.0));
            *since = now;
            if *left < 1.0 {
                return (AttemptOutcome::Rejected(None), after);
            }
            *left -= 1.0;
        }
        (AttemptOutcome::Delivered, after)
    }
}

/// An answer on its way to the courier.
struct ResponseInFlight {
    message: MessageId,
    endpoint: EndpointId,
    outcome: AttemptOutcome,
    sent: Time,
}

/// What a hollow courier has done.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub accepted: u64,
    pub rejected: u64,
    pub sent: u64,
    pub delivered: u64,
}

pub struct SimulatedGateway {
    scheduler: Scheduler,
    script: Script,
    chance: fastrand::Rng,
    deadline: Duration,
    now: Time,
    wake: Option<(Time, u64)>,
    /// In the order in which they come.
    in_flight: BTreeMap<(Time, u64), ResponseInFlight>,
    attempts: HashMap<MessageId, u16>,
    token_buckets: HashMap<EndpointId, (f64, Time)>,
    /// Final answers, whose hearing is told in the next step.
    answered: Vec<MessageId>,
    persisted_circuits: BTreeMap<(DestinationId, Option<EndpointId>), CircuitRecord>,
    actions: Vec<Action>,
    /// The list is to be watched again.
    watch_due: bool,
    last_message: u32,
    last_answer: u64,
    pub counts: Counts,
}

impl SimulatedGateway {
    pub fn new(settings: Settings, seed: u64, script: Script) -> Self {
        let deadline = settings.classes.first().map(|class| class.deadline).unwrap_or_default();
        SimulatedGateway {
            scheduler: Scheduler::new(Settings { outcomes_need_acknowledgement: true, ..settings }, seed),
            script,
            chance: fastrand::Rng::with_seed(seed),
            deadline,
            now: START_TIME,
            wake: None,
            in_flight: BTreeMap::new(),
            attempts: HashMap::new(),
            token_buckets: HashMap::new(),
            answered: Vec::new(),
            persisted_circuits: BTreeMap::new(),
            actions: Vec::new(),
            watch_due: false,
            last_message: 0,
            last_answer: 0,
            counts: Counts::default(),
        }
    }

    pub fn now(&self) -> Time {
        self.now
    }

    pub fn tell(&mut self, event: Event) {
        self.scheduler.handle(self.now, event);
    }

    /// Hands a message in, as a client does; it may be turned away.
    pub fn enqueue(&mut self, destination: DestinationId) {
        self.last_message += 1;
        let accepted = AcceptedMessage {
            id: MessageId(self.last_message),
            class: ClassId(0),
            destination,
            key: None,
            deadline: self.now + self.deadline,
            redelivered: false,
            tenant: TenantId(0),
        };
        if self.scheduler.admits(self.now, &accepted) {
            self.counts.accepted += 1;
            self.scheduler.handle(self.now, Event::MessageAccepted(accepted));
        } else {
            self.counts.rejected += 1;
        }
    }

    /// Lets time pass, and tells all that has come due meanwhile.
    pub fn pass(&mut self, by: Duration) {
        self.now = self.now + by;
        if let Some((_, token)) = self.wake.take_if(|(at, _)| *at <= self.now) {
            self.scheduler.handle(self.now, Event::TimerFired(token));
        }
        for message in self.answered.drain(..) {
            self.scheduler.handle(self.now, Event::OutcomeAcknowledged(message));
        }
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let in_flight = entry.remove();
            self.finish(in_flight);
        }
    }

    fn finish(&mut self, ResponseInFlight { message, endpoint, outcome, sent }: ResponseInFlight) {
        let complete = outcome == AttemptOutcome::Delivered;
        self.counts.delivered += u64::from(complete);
        let attempt = self.attempts.get(&message).map_or(0, |count| count.saturating_sub(1));
        if complete {
            self.attempts.remove(&message);
        }
        let (latency, load_report) = (self.now - sent, self.script.load_report);
        let finished =
            FinishedAttempt { message, endpoint, attempt, outcome, latency, complete, load_report };
        self.scheduler.handle(self.now, Event::AttemptFinished(finished));
    }

    /// Decides once, carries out what was decided, and looks at the outages, as the real loop does at each turn.
    pub fn decide(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.decide(self.now, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt { message, endpoint, .. } => {
                    self.counts.sent += 1;
                    *self.attempts.entry(message).or_default() += 1;
                    let (outcome, after) =
                        self.script.outcome(self.now, &mut self.token_buckets, &mut self.chance, endpoint);
                    self.last_answer += 1;
                    let in_flight = ResponseInFlight { message, endpoint, outcome, sent: self.now };
                    self.in_flight.insert((self.now + after, self.last_answer), in_flight);
                }
                Action::CancelAttempt { message, .. } => {
                    let found = self.in_flight.iter().find(|(_, in_flight)| in_flight.message == message);
                    if let Some(mut in_flight) =
                        found.map(|(key, _)| *key).and_then(|key| self.in_flight.remove(&key))
                    {
                        in_flight.outcome = AttemptOutcome::Cancelled;
                        self.last_answer += 1;
                        self.in_flight.insert((self.now, self.last_answer), in_flight);
                    }
                }
                Action::Reject { message, .. } | Action::ReportFailure { message } => {
                    self.attempts.remove(&message);
                    self.answered.push(message);
                }
                Action::SetTimer { after, token } => self.wake = Some((self.now + after, token)),
                Action::WatchEndpoints { .. } => self.watch_due = true,
                // There are no connections to close.
                Action::CloseIdleConnections { .. } => {}
            }
        }
        self.actions = actions;
        self.look_at_outages();
    }

    /// What the real loop does after each decision, to write outages down as they change.
    fn look_at_outages(&mut self) {
        for CircuitChange { destination, endpoint, record: outage } in self.scheduler.take_circuit_changes() {
            match outage {
                Some(outage) => drop(self.persisted_circuits.insert((destination, endpoint), outage)),
                None => drop(self.persisted_circuits.remove(&(destination, endpoint))),
            }
        }
    }

    /// After how long to watch the list for the first time.
    pub fn initial_watch_delay(&mut self) -> Duration {
        self.scheduler.initial_watch_delay()
    }

    /// Whether the module has asked for another watch since this was asked last.
    pub fn takes_watch_request(&mut self) -> bool {
        std::mem::take(&mut self.watch_due)
    }

    /// How long until it has something to do by itself.
    pub fn next_event_in(&self) -> Option<Duration> {
        let own = self.wake.map(|(at, _)| at);
        let next = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        [own, next].into_iter().flatten().min().map(|at| at - self.now)
    }

    /// What it has looked at so far, all steps together.
    pub fn items_examined(&self) -> u64 {
        let WorkCounters { destinations, messages, calls, routes, endpoints } = self.scheduler.work();
        destinations + messages + calls + routes + endpoints
    }

    /// Outages that are being remembered.
    pub fn circuit_records(&self) -> usize {
        self.persisted_circuits.len()
    }

    /// Calls out.
    pub fn out(&self) -> usize {
        self.in_flight.len()
    }

    /// Bytes that the module's memory takes on its way to another process.
    pub fn handover_bytes(&self) -> Result<u64, postcard::Error> {
        Ok(postcard::to_io(&self.scheduler, Counting(0))?.0)
    }
}

/// Counts what is written to it.
struct Counting(u64);

impl std::io::Write for Counting {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
