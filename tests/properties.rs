//! Checks the delivery rules against every action of the scheduler under random sequences of events, with a fixed seed.
//! Outcomes are random too; no endpoint is simulated.

mod common;

use common::*;
use delivery_gateway::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of sequences for each property.
const CASES: u32 = 60;
/// Seed of the sequences.
const SEED: [u8; 32] = [11; 32];
/// Steps of the simulated clock.
const STEP: Duration = Duration::from_millis(5);
/// The maximum number of messages in a call, in the settings below.
const LARGEST_BATCH: usize = 3;

/// One step of a sequence. `selector`, or a `usize` alone, selects a message: it is taken modulo their number.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// A message is accepted; a key of 0 stands for none.
    Accept {
        class: u8,
        destination: u16,
        key: u64,
    },
    Finish {
        selector: usize,
        outcome: usize,
    },
    Abandon(usize),
    SetAvailability {
        endpoint: u32,
        availability: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let accept = (0u8..5, 1u16..4, 0u64..4);
    let step = prop_oneof![
        5 => (1u64..400).prop_map(Step::Pass),
        5 => accept.prop_map(|(class, destination, key)| Step::Accept { class, destination, key }),
        5 => (0usize..64, 0usize..9).prop_map(|(selector, outcome)| Step::Finish { selector, outcome }),
        1 => (0usize..64).prop_map(Step::Abandon),
        1 => (0u32..6, 0usize..3).prop_map(|(endpoint, availability)| {
            Step::SetAvailability { endpoint, availability }
        }),
    ];
    proptest::collection::vec(step, 1..300)
}

fn availability(number: usize) -> Availability {
    [Availability::Ready, Availability::Draining, Availability::Removed][number]
}

fn outcome(number: usize) -> AttemptOutcome {
    match number {
        0 => AttemptOutcome::Rejected(None),
        1 => AttemptOutcome::Rejected(Some(ms(700))),
        2 => AttemptOutcome::ErrorResponse,
        3 => AttemptOutcome::Timeout,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Delivered,
    }
}

/// Returns the zone of an endpoint: even ids are in one zone, odd ids in the other.
fn zone_of(endpoint: u32) -> ZoneId {
    ZoneId((endpoint % 2) as u8)
}

fn test_settings() -> Settings {
    let ordered = Class { is_ordered: true, ..non_idempotent() };
    let by_zone = Class { deduplication_scope: DeduplicationScope::Zone, ..idempotent_with_key() };
    let base = settings(vec![idempotent_with_key(), non_idempotent(), idempotent(), ordered, by_zone]);
    Settings {
        max_in_flight_calls: 5,
        max_pending_messages: 60,
        max_attempts: 5,
        destination_kinds: vec![
            DestinationKind { max_batch_size: 1, has_per_endpoint_limits: false },
            DestinationKind { max_batch_size: LARGEST_BATCH, has_per_endpoint_limits: false },
        ],
        limits: DeliveryLimits { ordering_key_hold: ms(120), ..base.limits.clone() },
        ..base
    }
}

/// Returns six endpoints, two for each destination.
fn test_endpoints() -> Vec<Endpoint> {
    (0..6)
        .map(|id| Endpoint {
            kind: DestinationKindId((id % 2) as u16),
            capacity_hint: 20.0,
            zone: zone_of(id),
            ..endpoint(id, 1 + (id / 2) as u16)
        })
        .collect()
}

fn new_bench() -> TestBench {
    TestBench::new(test_settings(), test_endpoints())
}

/// An attempt that was sent.
#[derive(Clone, Copy)]
struct SentTo {
    endpoint: u32,
    at: Time,
}

/// A message as the rules see it, by the events and actions so far.
struct CheckedMessage {
    class: usize,
    destination: u16,
    key: u64,
    deadline: Time,
    in_flight: Option<SentTo>,
    /// The first attempt that may have run.
    first_uncertain: Option<SentTo>,
    attempts: u32,
    /// The message has its final outcome, or its client has abandoned it.
    is_completed: bool,
}

/// Checks each action against the delivery rules, by its own record of messages and not by the scheduler's state.
struct RuleChecker {
    settings: Settings,
    messages: BTreeMap<u32, CheckedMessage>,
    /// Until when destinations must not be called.
    retry_after_ends: BTreeMap<u16, Time>,
    /// Until when ordering keys are held after an uncertain attempt.
    key_holds: BTreeMap<u64, Time>,
    availabilities: BTreeMap<u32, Availability>,
}

impl RuleChecker {
    fn check_all(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt { message, endpoint, .. } => {
                    self.check_attempt(now, message.0, endpoint.0);
                    self.record_attempt(now, message.0, endpoint.0);
                }
                Action::Reject { message, .. } => self.check_rejection(now, message.0),
                Action::ReportFailure { message } => self.complete(now, message.0),
                _ => {}
            }
        }
    }

    /// Only an idempotent message, or one that certainly had no effect, may be rejected.
    fn check_rejection(&mut self, now: Time, id: u32) {
        self.complete(now, id);
        let message = &self.messages[&id];
        let idempotency = self.settings.classes[message.class].idempotency;
        assert!(
            idempotency == Idempotency::Idempotent
                || (message.first_uncertain.is_none() && message.in_flight.is_none())
        );
    }

    fn complete(&mut self, now: Time, id: u32) {
        let message = self.messages.get_mut(&id).expect("outcome of an accepted message");
        assert!(!message.is_completed, "more than one final outcome");
        assert!(
            now <= message.deadline + self.settings.limits.final_outcome_grace,
            "final outcome after the grace period"
        );
        message.is_completed = true;
    }

    fn check_attempt(&self, now: Time, id: u32, endpoint: u32) {
        let message = &self.messages[&id];
        assert!(
            !message.is_completed && message.in_flight.is_none(),
            "two attempts at once, or an attempt after the final outcome"
        );
        assert_eq!(
            self.availabilities[&endpoint],
            Availability::Ready,
            "attempt to an endpoint that is not ready"
        );
        assert!(
            self.retry_after_ends.get(&message.destination).is_none_or(|end| *end <= now),
            "attempt during a Retry-After"
        );
        assert!(message.attempts < self.settings.max_attempts);
        self.check_retry(now, message, endpoint);
        self.check_order(now, id);
    }

    /// After an attempt that may have run, a message may be sent again only if it is idempotent, or has a key that is
    /// still deduplicated; and in every class only within the deduplication scope.
    fn check_retry(&self, now: Time, message: &CheckedMessage, endpoint: u32) {
        let Some(first) = message.first_uncertain else { return };
        let class = &self.settings.classes[message.class];
        assert!(
            class.deduplication_scope == DeduplicationScope::Destination
                || zone_of(first.endpoint) == zone_of(endpoint),
            "retry outside the deduplication scope"
        );
        assert_ne!(class.idempotency, Idempotency::NonIdempotent, "retry of a non-idempotent message");
        assert!(
            class.idempotency == Idempotency::Idempotent || now < first.at + class.idempotency_window,
            "retry outside the idempotency window"
        );
    }

    /// Messages with the same ordering key are sent one after the other. A hold of the key does not bind retries.
    fn check_order(&self, now: Time, id: u32) {
        let message = &self.messages[&id];
        if !self.is_ordered(message) || message.key == 0 {
            return;
        }
        let mut earlier = self.messages.range(..id).map(|(_, earlier)| earlier);
        let shares_key = |other: &CheckedMessage| self.is_ordered(other) && other.key == message.key;
        let is_open = |other: &CheckedMessage| !other.is_completed || other.in_flight.is_some();
        assert!(
            !earlier.any(|other| shares_key(other) && is_open(other)),
            "message sent before an earlier one of its ordering key"
        );
        let hold_ended = self.key_holds.get(&message.key).is_none_or(|end| *end <= now);
        assert!(message.attempts > 0 || hold_ended, "message sent while its ordering key is held");
    }

    fn is_ordered(&self, message: &CheckedMessage) -> bool {
        self.settings.classes[message.class].is_ordered
    }

    fn record_attempt(&mut self, now: Time, id: u32, endpoint: u32) {
        let message = self.messages.get_mut(&id).expect("accepted");
        message.in_flight = Some(SentTo { endpoint, at: now });
        message.attempts += 1;
        let in_flight = self.in_flight_ids().len();
        assert!(
            in_flight <= self.settings.max_in_flight_calls * LARGEST_BATCH,
            "more messages in flight than slots permit"
        );
    }

    /// Records the outcome of a message's attempt; returns the attempt.
    fn record_outcome(&mut self, now: Time, id: u32, outcome: AttemptOutcome) -> SentTo {
        let message = self.messages.get_mut(&id).expect("accepted");
        let attempt = message.in_flight.take().expect("in flight");
        if !outcome.was_not_processed() && message.first_uncertain.is_none() {
            message.first_uncertain = Some(attempt);
        }
        if outcome == AttemptOutcome::Delivered {
            message.is_completed = true;
        }
        if let AttemptOutcome::Rejected(Some(retry_after)) = outcome {
            let end = self.retry_after_ends.entry(message.destination).or_insert(Time::ZERO);
            *end = (*end).max(now + retry_after);
        }
        let is_uncertain =
            matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled);
        if self.settings.classes[message.class].is_ordered && is_uncertain {
            self.key_holds.insert(message.key, now + self.settings.limits.ordering_key_hold);
        }
        attempt
    }

    fn in_flight_ids(&self) -> Vec<u32> {
        self.ids(|message| message.in_flight.is_some())
    }

    fn open_ids(&self) -> Vec<u32> {
        self.ids(|message| !message.is_completed)
    }

    fn ids(&self, is_wanted: impl Fn(&CheckedMessage) -> bool) -> Vec<u32> {
        self.messages.iter().filter(|(_, message)| is_wanted(message)).map(|(id, _)| *id).collect()
    }
}

/// A scheduler during a sequence of steps, and the checker of its actions.
struct Run {
    bench: TestBench,
    checker: RuleChecker,
    last_message: u32,
    /// All actions so far.
    actions: Vec<Action>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut bench = new_bench();
        bench.restart(test_settings(), seed, test_endpoints());
        let checker = RuleChecker {
            settings: test_settings(),
            messages: BTreeMap::new(),
            retry_after_ends: BTreeMap::new(),
            key_holds: BTreeMap::new(),
            availabilities: test_endpoints()
                .iter()
                .map(|endpoint| (endpoint.id.0, endpoint.availability))
                .collect(),
        };
        Run { bench, checker, last_message: 0, actions: Vec::new() }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Pass(span) => return self.pass(ms(span)),
            Step::Accept { class, destination, key } => {
                if self.checker.open_ids().len() >= self.checker.settings.max_pending_messages {
                    return;
                }
                self.accept(class, destination, key);
            }
            Step::Finish { selector, outcome: number } => {
                if let Some(id) = pick(&self.checker.in_flight_ids(), selector) {
                    self.finish(id, outcome(number));
                }
            }
            Step::Abandon(selector) => {
                if let Some(id) = pick(&self.checker.open_ids(), selector) {
                    self.bench.handle(Event::MessageAbandoned(MessageId(id)));
                    self.checker.messages.get_mut(&id).expect("open").is_completed = true;
                }
            }
            Step::SetAvailability { endpoint, availability: number } => {
                self.set_availability(endpoint, availability(number));
            }
        }
        self.decide();
    }

    fn decide(&mut self) {
        let actions = self.bench.decide();
        self.checker.check_all(self.bench.now, &actions);
        self.actions.extend(actions);
    }

    /// Lets time pass. Attempts time out at their message's deadline.
    fn pass(&mut self, span: Duration) {
        let end = self.bench.now + span;
        while self.bench.now < end {
            self.bench.now = self.bench.now + STEP;
            let now = self.bench.now;
            let timed_out =
                self.checker.ids(|message| message.in_flight.is_some() && message.deadline <= now);
            timed_out.into_iter().for_each(|id| self.finish(id, AttemptOutcome::Timeout));
            self.decide();
        }
    }

    fn accept(&mut self, class: u8, destination: u16, key: u64) {
        self.last_message += 1;
        self.bench.accept(self.last_message, class, destination, (key > 0).then_some(key));
        let class = usize::from(class);
        let message = CheckedMessage {
            class,
            destination,
            key,
            deadline: self.bench.now + self.checker.settings.classes[class].deadline,
            in_flight: None,
            first_uncertain: None,
            attempts: 0,
            is_completed: false,
        };
        self.checker.messages.insert(self.last_message, message);
    }

    fn finish(&mut self, id: u32, outcome: AttemptOutcome) {
        let now = self.bench.now;
        let attempt = self.checker.record_outcome(now, id, outcome);
        self.bench.finish(id, attempt.endpoint, outcome, now - attempt.at);
    }

    fn set_availability(&mut self, endpoint: u32, availability: Availability) {
        let changed = Endpoint { availability, ..test_endpoints()[endpoint as usize].clone() };
        self.bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![changed])));
        self.checker.availabilities.insert(endpoint, availability);
    }
}

fn pick(ids: &[u32], selector: usize) -> Option<u32> {
    ids.get(selector.checked_rem(ids.len())?).copied()
}

/// Runs the steps and then lets all deadlines pass; checks every action, and returns all of them.
fn run_steps(steps: &[Step], seed: u64) -> Vec<Action> {
    let mut run = Run::new(seed);
    let remaining = [const { Step::Pass(250) }; 120];
    steps.iter().chain(&remaining).for_each(|step| run.step(step));
    assert!(run.checker.open_ids().is_empty(), "messages without a final outcome");
    run.actions
}

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// A rare order of events could lead to an attempt or outcome that a delivery rule forbids.
#[test]
fn the_delivery_rules_hold_under_random_events() {
    let check = |steps: Vec<Step>| {
        run_steps(&steps, 3);
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

/// A source of randomness other than the seed would make failures impossible to repeat.
#[test]
fn identical_events_give_identical_actions() {
    let check = |steps: Vec<Step>| {
        prop_assert_eq!(run_steps(&steps, 5), run_steps(&steps, 5));
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

/// State that schedulers of one process share would change the actions of one when another runs in between.
#[test]
fn interleaved_schedulers_act_as_if_alone() {
    let run = |bench: &mut TestBench, step: u32| {
        bench.now = bench.now + ms(40);
        bench.accept(step, 2, 1 + (step % 3) as u16, None);
        let actions = bench.decide();
        for action in &actions {
            if let Action::StartAttempt { message, endpoint, .. } = action {
                bench.finish(message.0, endpoint.0, outcome((step % 9) as usize), ms(7));
            }
        }
        actions
    };
    let mut alone = new_bench();
    let mut interleaved = new_bench();
    let mut other = new_bench();
    other.now = other.now + Duration::from_secs(9);
    for step in 0..300 {
        let expected = run(&mut alone, step);
        let seen = run(&mut interleaved, step);
        run(&mut other, step * 2);
        assert_eq!(seen, expected);
    }
}

/// Returns the size of the serialized state after this number of messages has been completed, with various outcomes.
fn state_bytes_after(messages: u32) -> usize {
    let mut bench = new_bench();
    for id in 0..messages {
        bench.now = bench.now + ms(40);
        bench.accept(id, (id % 4) as u8, 1 + (id % 3) as u16, Some(u64::from(id)));
        // Endpoints are listed and removed as well.
        let added = Endpoint { id: EndpointId(1000 + id), ..test_endpoints()[0].clone() };
        let removed = Endpoint { availability: Availability::Removed, ..added.clone() };
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![added])));
        for StartedAttempt { message, endpoint, .. } in bench.start_attempts() {
            bench.finish(message, endpoint, outcome((id % 9) as usize), ms(7));
        }
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![removed])));
    }
    // All deadlines pass.
    let longest = bench.settings.classes.iter().map(|class| class.deadline).max().unwrap();
    let end = bench.now + longest * 2;
    while bench.now < end {
        bench.now = bench.now + ms(500);
        for StartedAttempt { message, endpoint, .. } in bench.start_attempts() {
            bench.finish(message, endpoint, AttemptOutcome::Delivered, ms(7));
        }
    }
    postcard::to_stdvec(&bench.scheduler).unwrap().len()
}

/// State that is kept of completed messages or removed endpoints would grow without limit. So the state after ten times
/// as many messages must not be larger.
#[test]
fn memory_does_not_grow_with_completed_messages() {
    let few = state_bytes_after(300);
    let many = state_bytes_after(3000);
    // Larger numbers take a few more bytes each when serialized.
    assert!(many < few + 400, "{few} bytes after 300 messages, {many} after 3000");
}
