//! The run of one history: the clock, the timers and the comparison of the scheduler under test with the reference
//! at each decision.
//!
//! The simulation stands in for the endpoints, the clients, the journal and discovery. [`super::messages`] has its
//! messages, [`super::steps`] the steps of a history.

use super::comparison::{same_actions, same_circuits, same_timers, Sides, Timer};
use super::history::{ms, Behavior, Scenario};
use super::reference::reached;
use super::schedulers::SchedulerPair;
use delivery_gateway::*;
use proptest::test_runner::TestCaseError;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::time::Duration;

/// Steps that are nearer than this to a moment at which the rate-limit tokens of a route reach a whole number are
/// moved, as rounding could decide there (see [`super::comparison`]).
const TOKEN_EDGE_MARGIN: Duration = Duration::from_micros(2);
/// Such a step is moved by this time, repeatedly if needed.
const TOKEN_EDGE_MOVE: Duration = Duration::from_micros(5);
/// The maximum number of such moves for one step.
const MAX_TOKEN_EDGE_MOVES: usize = 20;
/// The maximum number of decisions while time passes in one step. What is due after them is handled at the end of the
/// step, which is late.
const MAX_STOPS: usize = 60;
/// How long discovery takes to answer a watch request.
const WATCH_LATENCY: Duration = Duration::from_millis(30);

/// A destination, and one of its endpoints where that has a circuit of its own.
type CircuitKey = (DestinationId, Option<EndpointId>);

/// A message that the schedulers have not deleted.
pub struct PendingMessage {
    pub accepted: AcceptedMessage,
    pub attempts: u32,
    pub first_uncertain_attempt: Option<SentAttempt>,
    /// The message has its final outcome, or its client has abandoned it.
    pub is_closed: bool,
    /// When its final outcome will be acknowledged; None if none is awaited.
    pub acknowledged_at: Option<Time>,
}

/// The attempt of one message in flight.
pub struct InFlight {
    pub endpoint: EndpointId,
    pub sent_at: Time,
    pub finishes_at: Time,
    pub outcome: AttemptOutcome,
    pub load_report: Option<LoadReport>,
}

pub struct Simulation {
    pub scenario: Scenario,
    pub settings: Settings,
    pub schedulers: SchedulerPair,
    pub now: Time,
    pub timers: Sides<Option<Timer>>,
    /// Messages that the schedulers have not deleted.
    pub pending: BTreeMap<u32, PendingMessage>,
    /// Attempts in flight, by message.
    pub in_flight: BTreeMap<u32, InFlight>,
    pub endpoints: BTreeMap<u32, Endpoint>,
    pub behaviors: BTreeMap<u32, Behavior>,
    /// Endpoints that operators have disabled.
    pub disabled: BTreeSet<u32>,
    /// When each Retry-After ends.
    pub retry_after_ends: BTreeSet<Time>,
    /// Circuits as they follow from the changes that the scheduler under test reported, as a journal records them.
    pub recorded_circuits: BTreeMap<CircuitKey, CircuitRecord>,
    /// When discovery answers the watch request, if one is pending.
    pub watch_established_at: Option<Time>,
    pub last_message: u32,
    pub last_endpoint: u32,
    pub decisions: usize,
    /// Number of processes so far: one, and one more for each restart or handover.
    pub processes: u64,
    /// Events since the last decision, for the error text of a difference.
    events: Vec<String>,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let settings = scenario.settings();
        let mut simulation = Simulation {
            schedulers: SchedulerPair::new(&settings, scenario.seed),
            settings,
            now: Time::ZERO + Duration::from_secs(100),
            timers: Sides { tested: None, reference: None },
            pending: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            behaviors: BTreeMap::new(),
            disabled: BTreeSet::new(),
            retry_after_ends: BTreeSet::new(),
            recorded_circuits: BTreeMap::new(),
            watch_established_at: None,
            last_message: 0,
            last_endpoint: 0,
            decisions: 0,
            processes: 1,
            events: Vec::new(),
            scenario,
        };
        simulation.list_endpoints();
        simulation.send_snapshot();
        simulation
    }

    /// Gives each destination one to four endpoints.
    fn list_endpoints(&mut self) {
        for destination in 0..self.scenario.destinations {
            let count = 1 + (u32::from(destination) + self.scenario.seed as u32 / 5) % 4;
            for index in 0..count {
                self.last_endpoint += 1;
                let endpoint = self.scenario.endpoint(self.last_endpoint, destination, index);
                self.endpoints.insert(endpoint.id.0, endpoint);
            }
        }
    }

    /// Lets both schedulers handle an event.
    pub fn handle(&mut self, event: Event) {
        self.events.push(format!("{event:?}"));
        self.schedulers.handle(self.now, event);
    }

    pub fn send_snapshot(&mut self) {
        let listed = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.availability != Availability::Removed)
            .cloned();
        let listed = listed.collect();
        self.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(listed)));
    }

    /// Returns the failure of a case: what differs, when, and the events before it.
    pub fn difference(&self, subject: &str, tested: &dyn Debug, reference: &dyn Debug) -> TestCaseError {
        let (decision, now, events) = (self.decisions, self.now.0, self.events.join("\n    "));
        TestCaseError::fail(format!(
            "{subject} differ first at decision {decision}, {now} ns\n  events since the decision before:\n    \
             {events}\n  tested:    {tested:?}\n  reference: {reference:?}\n"
        ))
    }

    /// Lets both schedulers decide, compares their results, and performs their actions.
    pub fn decide(&mut self) -> Result<(), TestCaseError> {
        self.decisions += 1;
        let mut tested = Vec::new();
        let mut reference = Vec::new();
        self.schedulers.tested.decide(self.now, &mut tested);
        self.schedulers.reference.decide(self.now, &mut reference);
        self.compare_actions(&tested, &reference)?;
        self.compare_circuits()?;
        self.compare_retry_afters()?;
        self.events.clear();
        for action in reference {
            self.perform(action);
        }
        Ok(())
    }

    /// Compares the actions of one decision, and sets the timers that they request.
    fn compare_actions(&mut self, tested: &[Action], reference: &[Action]) -> Result<(), TestCaseError> {
        let timers_before = self.timers;
        let (tested_timer, tested_actions) = split_timer(self.now, tested);
        let (reference_timer, reference_actions) = split_timer(self.now, reference);
        self.timers.tested = tested_timer.or(self.timers.tested);
        self.timers.reference = reference_timer.or(self.timers.reference);
        let was_set = Sides { tested: tested_timer.is_some(), reference: reference_timer.is_some() };
        if same_actions(tested_actions, reference_actions)
            && same_timers(&timers_before, &self.timers, &was_set)
        {
            return Ok(());
        }
        let tested = format!("{tested:?}, timer {:?}", self.timers.tested);
        let reference = format!("{reference:?}, timer {:?}", self.timers.reference);
        Err(self.difference("actions", &tested, &reference))
    }

    /// Compares the circuit records of the scheduler under test, and those that its reported changes add up to, with
    /// the records of the reference; returns the latter.
    pub fn compare_circuits(&mut self) -> Result<Vec<CircuitRecord>, TestCaseError> {
        let tested = sorted_circuits(self.schedulers.tested.circuit_records());
        let reference = sorted_circuits(self.schedulers.reference.circuit_records());
        if !same_circuits(&tested, &reference) {
            return Err(self.difference("circuits", &tested, &reference));
        }
        for change in self.schedulers.tested.take_circuit_changes() {
            let key = (change.destination, change.endpoint);
            match change.record {
                Some(record) => self.recorded_circuits.insert(key, record),
                None => self.recorded_circuits.remove(&key),
            };
        }
        let recorded: Vec<CircuitRecord> = self.recorded_circuits.values().copied().collect();
        if !same_circuits(&recorded, &reference) {
            return Err(self.difference("circuits by their changes", &recorded, &reference));
        }
        Ok(reference)
    }

    fn compare_retry_afters(&self) -> Result<(), TestCaseError> {
        let mut tested: Vec<_> = self.schedulers.tested.retry_after_delays(self.now).collect();
        let mut reference: Vec<_> = self.schedulers.reference.retry_after_delays(self.now).collect();
        tested.sort();
        reference.sort();
        if tested != reference {
            return Err(self.difference("Retry-After delays", &tested, &reference));
        }
        Ok(())
    }

    /// Performs an action of the reference; the scheduler under test has decided the same.
    fn perform(&mut self, action: Action) {
        match action {
            Action::StartAttempt { message, endpoint, attempt_timeout, .. } => {
                self.send(message, endpoint, attempt_timeout)
            }
            Action::Reject { message, .. } | Action::ReportFailure { message } => self.give_outcome(message),
            Action::CancelAttempt { message, .. } => self.cancel(message),
            Action::WatchEndpoints { is_active: true } => {
                self.watch_established_at = Some(self.now + WATCH_LATENCY);
            }
            _ => {}
        }
    }

    /// Lets time pass, and handles what is due at its time; late timers fire at the end. Near a whole token, the end is
    /// moved to an earlier time with `stay_before`, otherwise to a later one.
    pub fn advance(&mut self, to: Time, late_timers: bool, stay_before: bool) -> Result<(), TestCaseError> {
        for _ in 0..MAX_STOPS {
            let Some(due) = self.next_due(late_timers).filter(|due| *due <= to) else { break };
            self.now = self.off_token_edges(due, false);
            self.deliver_due(late_timers);
            self.decide()?;
        }
        self.now = self.off_token_edges(to, stay_before);
        self.deliver_due(false);
        Ok(())
    }

    /// Lets time pass with punctual timers.
    pub fn settle(&mut self, span: Duration) -> Result<(), TestCaseError> {
        self.advance(self.now + span, false, false)
    }

    /// Returns when the next outcome, acknowledgement, timer or answer to a watch request is due.
    fn next_due(&self, late_timers: bool) -> Option<Time> {
        let finished = self.in_flight.values().map(|attempt| attempt.finishes_at);
        let acknowledged = self.pending.values().filter_map(|pending| pending.acknowledged_at);
        let timer = self.timer_times().map(|(_, last)| last).filter(|_| !late_timers);
        finished.chain(acknowledged).chain(timer).chain(self.watch_established_at).min()
    }

    /// Moves a moment by [`TOKEN_EDGE_MOVE`] until no route's tokens are near a whole number, at most
    /// [`MAX_TOKEN_EDGE_MOVES`] times: to an earlier time with `stay_before`, otherwise to a later one. Returns now if
    /// the moment is not later.
    fn off_token_edges(&self, at: Time, stay_before: bool) -> Time {
        let mut at = at;
        for _ in 0..MAX_TOKEN_EDGE_MOVES {
            if at <= self.now || !self.schedulers.reference.is_on_token_edge(at, TOKEN_EDGE_MARGIN) {
                break;
            }
            at = if stay_before { at - TOKEN_EDGE_MOVE } else { at + TOKEN_EDGE_MOVE };
        }
        self.now.max(at)
    }

    /// Returns when the first and the last of the two timers fire, which differ by rounding at most; None if they are
    /// not set.
    pub fn timer_times(&self) -> Option<(Time, Time)> {
        let tested = self.timers.tested?.0;
        let reference = self.timers.reference?.0;
        Some((tested.min(reference), tested.max(reference)))
    }

    fn deliver_due(&mut self, late_timers: bool) {
        self.deliver_outcomes();
        self.deliver_acknowledgements();
        if self.watch_established_at.take_if(|at| *at <= self.now).is_some() {
            self.handle(Event::WatchEstablished);
        }
        if !late_timers && self.timer_times().is_some_and(|(_, last)| last <= self.now) {
            self.fire_timers();
        }
        self.retry_after_ends.retain(|end| *end > self.now);
    }

    fn deliver_acknowledgements(&mut self) {
        let now = self.now;
        let is_due = |pending: &PendingMessage| pending.acknowledged_at.is_some_and(|at| at <= now);
        let due_messages: Vec<u32> =
            self.pending.iter().filter(|(_, pending)| is_due(pending)).map(|(id, _)| *id).collect();
        for message in due_messages {
            self.pending.get_mut(&message).expect("pending").acknowledged_at = None;
            reached("outcome acknowledged");
            self.handle(Event::OutcomeAcknowledged(MessageId(message)));
            self.forget_if_completed(message);
        }
    }

    fn fire_timers(&mut self) {
        let timers = std::mem::replace(&mut self.timers, Sides { tested: None, reference: None });
        self.events.push("TimerFired".to_owned());
        if let (Some((_, tested)), Some((_, reference))) = (timers.tested, timers.reference) {
            self.schedulers.tested.handle(self.now, Event::TimerFired(tested));
            self.schedulers.reference.handle(self.now, Event::TimerFired(reference));
        }
    }

    /// Returns when the client will acknowledge an outcome that is given now.
    pub fn acknowledgement_time(&self, message: u32) -> Time {
        self.now + ms(10 + 10 * (self.draw(message) % 40))
    }
}

/// Splits off the timer that the last of these actions sets, if it sets one.
fn split_timer(now: Time, actions: &[Action]) -> (Option<Timer>, &[Action]) {
    match actions.split_last() {
        Some((Action::SetTimer { after, token }, before)) => (Some((now + *after, *token)), before),
        _ => (None, actions),
    }
}

fn sorted_circuits(records: impl Iterator<Item = CircuitRecord>) -> Vec<CircuitRecord> {
    let mut records: Vec<CircuitRecord> = records.collect();
    records.sort_by_key(|record| (record.destination, record.endpoint));
    records
}
