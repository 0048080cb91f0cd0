//! A simulated gateway: runs the real scheduler on a simulated clock, in the same steps as the real gateway's event
//! loop, with scripted endpoints instead of sockets. Opens no socket and reads no clock.

use delivery_gateway::discovery::EndpointDirectory;
use delivery_gateway::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::endpoint_script::{Script, ScriptedEndpoints};

/// The simulated time at the start. It is well above zero, because times before it have to be representable.
const START_TIME: Time = Time(1_000_000_000_000_000);

/// Returns an endpoint directory with the only kind and the only zone of the experiments.
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

/// A call in flight. Its outcome is drawn when it starts and reported when it ends.
struct CallInFlight {
    message: MessageId,
    endpoint: EndpointId,
    outcome: AttemptOutcome,
    sent_at: Time,
}

/// The key of a call in flight: the time at which it ends. Calls that end at the same time end in the order of their
/// numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallEnd {
    at: Time,
    number: u64,
}

/// The counts of what a simulated gateway has done.
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

/// A simulated gateway. Only [`SimulatedGateway::advance`] advances its clock.
pub struct SimulatedGateway {
    scheduler: Scheduler,
    endpoints: ScriptedEndpoints,
    /// The time from a message's acceptance to its deadline.
    deadline: Duration,
    now: Time,
    /// The timer that the scheduler has set: the time at which it fires, and the token by which the scheduler
    /// identifies it.
    timer: Option<(Time, u64)>,
    calls: BTreeMap<CallEnd, CallInFlight>,
    /// The number of attempts of each message that has had an attempt and no final outcome.
    attempts: HashMap<MessageId, u16>,
    /// Messages whose final outcome is acknowledged when the clock next advances.
    unacknowledged: Vec<MessageId>,
    /// The circuit records that the real gateway would have in its journal.
    circuits: BTreeMap<(DestinationId, Option<EndpointId>), CircuitRecord>,
    /// An empty buffer that is kept to reuse its memory.
    actions: Vec<Action>,
    is_watch_requested: bool,
    last_message: u32,
    last_call: u64,
    /// The counts so far.
    pub counts: Counts,
}

impl SimulatedGateway {
    /// Creates a gateway. The random numbers of its scheduler and of its endpoints depend on the seed.
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
            is_watch_requested: false,
            last_message: 0,
            last_call: 0,
            counts: Counts::default(),
        }
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Passes an event to the scheduler.
    pub fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event);
    }

    /// Enqueues a message as a client does. The scheduler may reject it.
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

    /// Advances the clock by a duration, and passes the events that are then due to the scheduler.
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

    /// Lets the scheduler decide once, executes its actions, and takes its circuit changes, as the real event loop does
    /// in each iteration.
    pub fn decide(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.decide(self.now, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        self.take_circuit_changes();
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::StartAttempt { message, endpoint, .. } => self.start_attempt(message, endpoint),
            Action::CancelAttempt { message, .. } => self.cancel_attempt(message),
            Action::Reject { message, .. } | Action::ReportFailure { message } => {
                self.attempts.remove(&message);
                self.unacknowledged.push(message);
            }
            Action::SetTimer { after, token } => self.timer = Some((self.now + after, token)),
            Action::WatchEndpoints { .. } => self.is_watch_requested = true,
            // A simulated gateway has no connections.
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

    /// Takes the changes of circuits and applies them to the records, as the real event loop does after each decision.
    fn take_circuit_changes(&mut self) {
        for CircuitChange { destination, endpoint, record } in self.scheduler.take_circuit_changes() {
            match record {
                Some(record) => drop(self.circuits.insert((destination, endpoint), record)),
                None => drop(self.circuits.remove(&(destination, endpoint))),
            }
        }
    }

    /// Returns the delay before the first watch of the endpoint list.
    pub fn initial_watch_delay(&mut self) -> Duration {
        self.scheduler.initial_watch_delay()
    }

    /// Returns whether the scheduler has requested a watch since the last call of this function.
    pub fn take_watch_request(&mut self) -> bool {
        std::mem::take(&mut self.is_watch_requested)
    }

    /// Returns the time until the timer fires or a call ends, whichever is first; `None` if neither is pending.
    pub fn next_event_in(&self) -> Option<Duration> {
        let timer = self.timer.map(|(at, _)| at);
        let call = self.calls.first_key_value().map(|(end, _)| end.at);
        [timer, call].into_iter().flatten().min().map(|at| at - self.now)
    }

    /// Returns the number of items of its state that the scheduler has examined so far.
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

    /// Returns the number of circuits that are recorded.
    pub fn circuit_records(&self) -> usize {
        self.circuits.len()
    }

    /// Returns the number of calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns the size of the scheduler's state as encoded for a handover to another process, in bytes.
    ///
    /// # Errors
    /// Returns an error if the state cannot be encoded.
    pub fn handover_bytes(&self) -> Result<u64, postcard::Error> {
        Ok(postcard::to_io(&self.scheduler, ByteCounter(0))?.0)
    }
}

/// Counts the bytes written to it, and discards them.
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
