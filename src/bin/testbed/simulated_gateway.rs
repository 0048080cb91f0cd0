//! A simulated gateway: the real scheduler, stepped on a simulated clock as the real gateway's event loop steps it,
//! with scripted endpoints in the place of sockets. It opens no socket and reads no clock.

use delivery_gateway::discovery::EndpointDirectory;
use delivery_gateway::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::endpoint_script::{Script, ScriptedEndpoints};

/// The simulated clock at the start. Times before it have to be expressible.
const START_TIME: Time = Time(1_000_000_000_000_000);

/// A directory for the one kind and the one zone of the experiments.
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

/// A call whose outcome is not known yet.
struct CallInFlight {
    message: MessageId,
    endpoint: EndpointId,
    outcome: AttemptOutcome,
    sent_at: Time,
}

/// When a call in flight ends; calls that end at one time do so in the order of their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallEnd {
    at: Time,
    number: u64,
}

/// What a simulated gateway has done.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Messages accepted.
    pub accepted: u64,
    /// Messages rejected at admission.
    pub rejected: u64,
    /// Attempts started.
    pub sent: u64,
    /// Messages delivered.
    pub delivered: u64,
}

/// A gateway whose clock is advanced by [`SimulatedGateway::advance`] alone.
pub struct SimulatedGateway {
    scheduler: Scheduler,
    endpoints: ScriptedEndpoints,
    /// The time that a message has.
    deadline: Duration,
    now: Time,
    /// The timer that the scheduler has set: when it fires, and with which token.
    timer: Option<(Time, u64)>,
    calls: BTreeMap<CallEnd, CallInFlight>,
    /// Attempts of the messages that have no final outcome.
    attempts: HashMap<MessageId, u16>,
    /// Messages whose final outcome is acknowledged in the next step.
    unacknowledged: Vec<MessageId>,
    /// What the real gateway would have in its journal.
    circuits: BTreeMap<(DestinationId, Option<EndpointId>), CircuitRecord>,
    /// Kept for its memory.
    actions: Vec<Action>,
    watch_requested: bool,
    last_message: u32,
    last_call: u64,
    /// What it has done so far.
    pub counts: Counts,
}

impl SimulatedGateway {
    /// A gateway with these settings, whose scheduler and endpoints draw from the seed.
    pub fn new(settings: Settings, seed: u64, script: Script) -> Self {
        let deadline = settings.classes.first().map(|class| class.deadline).unwrap_or_default();
        let settings = Settings { outcomes_need_acknowledgement: true, ..settings };
        SimulatedGateway {
            scheduler: Scheduler::new(settings, seed),
            endpoints: ScriptedEndpoints::new(script, seed),
            deadline,
            now: START_TIME,
            timer: None,
            calls: BTreeMap::new(),
            attempts: HashMap::new(),
            unacknowledged: Vec::new(),
            circuits: BTreeMap::new(),
            actions: Vec::new(),
            watch_requested: false,
            last_message: 0,
            last_call: 0,
            counts: Counts::default(),
        }
    }

    /// The simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Hands an event to the scheduler.
    pub fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event);
    }

    /// Enqueues a message, as a client does; it may be rejected.
    pub fn enqueue(&mut self, destination: DestinationId) {
        self.last_message += 1;
        let message = AcceptedMessage {
            id: MessageId(self.last_message),
            class: ClassId(0),
            destination,
            key: None,
            deadline: self.now + self.deadline,
            is_redelivered: false,
            tenant: TenantId(0),
        };
        if self.scheduler.admits(self.now, &message) {
            self.counts.accepted += 1;
            self.handle(Event::MessageAccepted(message));
        } else {
            self.counts.rejected += 1;
        }
    }

    /// Advances the clock, and hands the scheduler everything that has happened by then.
    pub fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        if let Some((_, token)) = self.timer.take_if(|(at, _)| *at <= self.now) {
            self.handle(Event::TimerFired(token));
        }
        for message in self.unacknowledged.drain(..) {
            self.scheduler.handle(self.now, Event::OutcomeAcknowledged(message));
        }
        while let Some(entry) = self.calls.first_entry().filter(|entry| entry.key().at <= self.now) {
            let call = entry.remove();
            self.finish(call);
        }
    }

    fn finish(&mut self, call: CallInFlight) {
        let completes_message = call.outcome == AttemptOutcome::Delivered;
        self.counts.delivered += u64::from(completes_message);
        let attempt = self.attempts.get(&call.message).map_or(0, |count| count.saturating_sub(1));
        if completes_message {
            self.attempts.remove(&call.message);
        }
        self.handle(Event::AttemptFinished(FinishedAttempt {
            message: call.message,
            endpoint: call.endpoint,
            attempt,
            outcome: call.outcome,
            latency: self.now - call.sent_at,
            completes_message,
            load_report: self.endpoints.load_report(),
        }));
    }

    /// Lets the scheduler decide once, carries out what it wants done, and takes its circuit changes, as the real event
    /// loop does in each turn.
    pub fn decide(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.decide(self.now, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
        self.take_circuit_changes();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt { message, endpoint, .. } => self.start_attempt(message, endpoint),
            Action::CancelAttempt { message, .. } => self.cancel_attempt(message),
            Action::Reject { message, .. } | Action::ReportFailure { message } => {
                self.attempts.remove(&message);
                self.unacknowledged.push(message);
            }
            Action::SetTimer { after, token } => self.timer = Some((self.now + after, token)),
            Action::WatchEndpoints { .. } => self.watch_requested = true,
            // There are no connections to close.
            Action::CloseIdleConnections { .. } => {}
        }
    }

    fn start_attempt(&mut self, message: MessageId, endpoint: EndpointId) {
        self.counts.sent += 1;
        *self.attempts.entry(message).or_default() += 1;
        let (outcome, latency) = self.endpoints.call(self.now, endpoint);
        let call = CallInFlight { message, endpoint, outcome, sent_at: self.now };
        self.insert_call(self.now + latency, call);
    }

    fn cancel_attempt(&mut self, message: MessageId) {
        let end = self.calls.iter().find(|(_, call)| call.message == message).map(|(end, _)| *end);
        if let Some(call) = end.and_then(|end| self.calls.remove(&end)) {
            self.insert_call(self.now, CallInFlight { outcome: AttemptOutcome::Cancelled, ..call });
        }
    }

    fn insert_call(&mut self, at: Time, call: CallInFlight) {
        self.last_call += 1;
        self.calls.insert(CallEnd { at, number: self.last_call }, call);
    }

    /// What the real event loop does after each decision, to record circuits as they change.
    fn take_circuit_changes(&mut self) {
        for CircuitChange { destination, endpoint, record } in self.scheduler.take_circuit_changes() {
            match record {
                Some(record) => drop(self.circuits.insert((destination, endpoint), record)),
                None => drop(self.circuits.remove(&(destination, endpoint))),
            }
        }
    }

    /// After how long to watch the endpoint list for the first time.
    pub fn initial_watch_delay(&mut self) -> Duration {
        self.scheduler.initial_watch_delay()
    }

    /// Whether the scheduler has requested a watch since this was last called.
    pub fn takes_watch_request(&mut self) -> bool {
        std::mem::take(&mut self.watch_requested)
    }

    /// How long until a timer fires or a call ends; none if neither will.
    pub fn next_event_in(&self) -> Option<Duration> {
        let timer = self.timer.map(|(at, _)| at);
        let call = self.calls.first_key_value().map(|(end, _)| end.at);
        [timer, call].into_iter().flatten().min().map(|at| at - self.now)
    }

    /// Items of its state that the scheduler has examined so far.
    pub fn items_examined(&self) -> u64 {
        let WorkCounters {
            destinations_visited,
            messages_compared,
            calls_checked,
            circuits_compared,
            endpoints_visited,
        } = self.scheduler.work_counters();
        destinations_visited + messages_compared + calls_checked + circuits_compared + endpoints_visited
    }

    /// Circuits that are recorded now.
    pub fn circuit_records(&self) -> usize {
        self.circuits.len()
    }

    /// Calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Bytes of the scheduler's state on its way to another process.
    ///
    /// # Errors
    /// The state cannot be encoded.
    pub fn handover_bytes(&self) -> Result<u64, postcard::Error> {
        Ok(postcard::to_io(&self.scheduler, ByteCounter(0))?.0)
    }
}

/// Counts what is written to it.
struct ByteCounter(u64);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
