//! The work of a decision must grow with what has changed, not with the number of endpoints, destinations, messages or
//! calls. The tests count what the scheduler visits; they measure no time.

use delivery_gateway::*;
use std::time::Duration;

/// Number of endpoints of a large list.
const LARGE: usize = 65_536;
/// Number of endpoints of a small list.
const SMALL: usize = 64;
/// Number of destinations that the endpoints of a large list are spread over evenly.
const DESTINATIONS: usize = 16_384;
/// Number of destinations with a pending Retry-After.
const WAITING: usize = 2_000;
/// Number of messages that wait for these destinations.
const PENDING: usize = 10_000;
/// Number of messages that are delivered while visits are counted.
const ROUNDS: usize = 50;
/// The first of the destinations that get many messages at once.
const BUSY_DESTINATION: usize = 40;
/// Far longer than any test takes: no message expires, no call becomes unresponsive, and no Retry-After of this
/// length ends.
const LONG: Duration = Duration::from_secs(24 * 3600);

/// A scheduler and its simulated clock.
struct TestBench {
    scheduler: Scheduler,
    settings: Settings,
    now: Time,
    last_message: u32,
}

fn settings() -> Settings {
    let class =
        Class { latency_objective: LONG / 4, deadline: LONG, idempotency_window: LONG, ..Class::default() };
    Settings {
        classes: vec![class],
        fleet_size: 1,
        max_in_flight_calls: 1_000,
        max_pending_messages: 4 * PENDING,
        ..Settings::default()
    }
}

fn destination(number: usize) -> DestinationId {
    DestinationId(number.try_into().expect("a destination's number"))
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        id: EndpointId(number as u32),
        zone: ZoneId(0),
        kind: DestinationKindId(0),
        destination: destination(number % DESTINATIONS),
        availability: Availability::Ready,
        capacity_hint: 1e6,
    }
}

impl TestBench {
    fn new(endpoints: usize) -> TestBench {
        TestBench::with(settings(), endpoints)
    }

    fn with(settings: Settings, endpoints: usize) -> TestBench {
        let now = Time::ZERO + Duration::from_secs(100);
        let mut bench =
            TestBench { scheduler: Scheduler::new(settings.clone(), 7), settings, now, last_message: 0 };
        bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(
            (0..endpoints).map(endpoint).collect(),
        )));
        bench.step();
        bench.scheduler.take_circuit_changes();
        bench
    }

    fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event);
    }

    fn accept(&mut self, destination_number: usize) {
        self.last_message += 1;
        let deadline = self.now + self.settings.classes[0].deadline;
        self.handle(Event::MessageAccepted(AcceptedMessage {
            id: MessageId(self.last_message),
            class: ClassId(0),
            destination: destination(destination_number),
            key: None,
            deadline,
            is_redelivered: false,
            tenant: TenantId(0),
        }));
    }

    /// Lets the scheduler decide 1 ms later; returns the attempts that it starts.
    fn step(&mut self) -> Vec<(MessageId, EndpointId)> {
        self.now = self.now + Duration::from_millis(1);
        let mut actions = Vec::new();
        self.scheduler.decide(self.now, &mut actions);
        let started = |action: &Action| match action {
            Action::StartAttempt { message, endpoint, .. } => Some((*message, *endpoint)),
            _ => None,
        };
        actions.iter().filter_map(started).collect()
    }

    fn finish(&mut self, (message, endpoint): (MessageId, EndpointId), outcome: AttemptOutcome) {
        self.handle(Event::AttemptFinished(FinishedAttempt {
            message,
            endpoint,
            attempt: 0,
            outcome,
            latency: Duration::from_millis(1),
            completes_message: outcome == AttemptOutcome::Delivered,
            load_report: None,
        }));
    }

    /// Gives the last destinations a long Retry-After, and accepts messages for them.
    fn keep_waiting(&mut self, destinations: usize, messages: usize) {
        let waiting = DESTINATIONS - destinations..DESTINATIONS;
        for to in waiting.clone() {
            self.handle(Event::RetryAfter { endpoint: EndpointId(to as u32), delay: LONG });
        }
        waiting.cycle().take(messages).for_each(|to| self.accept(to));
        assert_eq!(self.step(), [], "attempts during a Retry-After");
    }

    /// Starts calls that stay in flight, spread over these destinations.
    fn leave_in_flight(&mut self, calls: usize, destinations: usize) {
        (0..calls).for_each(|call| self.accept(BUSY_DESTINATION + call % destinations));
        assert_eq!(self.step().len(), calls);
    }

    /// Counts the visits while messages for a few destinations are accepted, sent and delivered, one after the other.
    fn count_visits(&mut self) -> WorkCounters {
        let before = self.scheduler.work_counters();
        for round in 0..ROUNDS {
            self.accept(round % 32);
            let sent = self.step();
            assert_eq!(sent.len(), 1, "attempts started when one message was accepted");
            self.finish(sent[0], AttemptOutcome::Delivered);
            assert_eq!(self.step(), []);
            self.scheduler.take_circuit_changes();
        }
        visits_between(before, self.scheduler.work_counters())
    }
}

/// Returns the visits between two readings of the counters.
fn visits_between(before: WorkCounters, after: WorkCounters) -> WorkCounters {
    WorkCounters {
        destinations_visited: after.destinations_visited - before.destinations_visited,
        messages_compared: after.messages_compared - before.messages_compared,
        calls_checked: after.calls_checked - before.calls_checked,
        circuits_compared: after.circuits_compared - before.circuits_compared,
        endpoints_visited: after.endpoints_visited - before.endpoints_visited,
    }
}

/// Returns the sum of all kinds of visits.
fn total(work: WorkCounters) -> u64 {
    work.destinations_visited
        + work.messages_compared
        + work.calls_checked
        + work.circuits_compared
        + work.endpoints_visited
}

/// Asserts that there were at most `multiple` times the visits of a base, in total and of each kind.
fn assert_at_most(multiple: u64, base: WorkCounters, seen: WorkCounters) {
    assert!(total(base) > 0, "no visits were counted");
    let counts = |work: WorkCounters| {
        [
            total(work),
            work.destinations_visited,
            work.messages_compared,
            work.calls_checked,
            work.circuits_compared,
            work.endpoints_visited,
        ]
    };
    let in_bounds = counts(base).into_iter().zip(counts(seen)).all(|(base, seen)| seen <= multiple * base);
    assert!(in_bounds, "more than {multiple} times {base:?}: {seen:?}");
}

/// A scan of all waiting destinations or of the whole list at each step would make steps slower the larger the fleet
/// is.
#[test]
fn a_step_visits_neither_waiting_destinations_nor_the_endpoint_list() {
    let few = TestBench::new(SMALL).count_visits();
    let mut large = TestBench::new(LARGE);
    large.keep_waiting(WAITING, PENDING);
    assert_at_most(3, few, large.count_visits());
}

/// Each waiting destination has a Retry-After of its own, and some end while the test runs: only these may be visited.
#[test]
fn only_retry_afters_that_end_are_visited() {
    let mut bench = TestBench::new(LARGE);
    let waiting = DESTINATIONS - WAITING..DESTINATIONS;
    for (number, to) in waiting.enumerate() {
        let delay = Duration::from_millis(10 * (number as u64 + 1));
        bench.handle(Event::RetryAfter { endpoint: EndpointId(to as u32), delay });
        bench.accept(to);
    }
    assert_eq!(bench.step(), []);
    let before = bench.scheduler.work_counters();
    let mut sent = Vec::new();
    for _ in 0..ROUNDS {
        for _ in 0..10 {
            sent.extend(bench.step());
        }
    }
    assert_eq!(sent.len(), ROUNDS, "messages sent whose Retry-After has ended");
    let visits = visits_between(before, bench.scheduler.work_counters());
    assert!(
        visits.destinations_visited <= 4 * ROUNDS as u64 && visits.messages_compared <= 4 * ROUNDS as u64,
        "{visits:?}"
    );
}

/// A scan for unresponsive calls at each step would cost more with each call in flight.
#[test]
fn calls_in_flight_are_not_scanned() {
    for (few, many) in [((20, 20), (90, 90)), ((20, 2), (90, 9)), ((20, 2), (90, 2))] {
        let mut small = TestBench::new(SMALL);
        small.leave_in_flight(few.0, few.1);
        let mut large = TestBench::new(LARGE);
        large.leave_in_flight(many.0, many.1);
        assert_at_most(2, small.count_visits(), large.count_visits());
    }
}

/// Calls to a destination finish in the reverse order of their start. Finding one must not visit those that remain.
#[test]
fn finished_calls_are_found_without_a_scan() {
    let visits = |calls: usize| {
        let mut bench = TestBench::new(SMALL);
        (0..calls).for_each(|_| bench.accept(BUSY_DESTINATION));
        let sent = bench.step();
        assert_eq!(sent.len(), calls);
        let before = bench.scheduler.work_counters();
        for call in sent.into_iter().rev().take(10) {
            bench.finish(call, AttemptOutcome::Delivered);
            assert_eq!(bench.step(), []);
        }
        visits_between(before, bench.scheduler.work_counters())
    };
    assert_at_most(2, visits(20), visits(90));
    assert_at_most(2, visits(100), visits(450));
}

/// Each finished call lets one more message of a long queue be sent. Choosing it must not compare the whole queue.
#[test]
fn a_long_queue_is_not_scanned_for_each_message() {
    let visits = |messages: usize| {
        let mut bench = TestBench::with(Settings { max_in_flight_calls: 1, ..settings() }, SMALL);
        (0..messages).for_each(|_| bench.accept(BUSY_DESTINATION));
        let mut sent = bench.step();
        let before = bench.scheduler.work_counters();
        for _ in 0..ROUNDS {
            assert_eq!(sent.len(), 1);
            bench.finish(sent[0], AttemptOutcome::Delivered);
            sent = bench.step();
        }
        visits_between(before, bench.scheduler.work_counters())
    };
    assert_at_most(2, visits(PENDING / 100), visits(PENDING));
}

/// Circuits are recorded in the journal when they change. Comparing all of them at each step would cost more with each
/// destination that had an outage.
#[test]
fn no_circuit_is_visited_where_none_changed() {
    let mut bench = TestBench::new(LARGE);
    for to in DESTINATIONS - WAITING..DESTINATIONS {
        bench.handle(Event::CircuitRestored(CircuitRecord {
            destination: destination(to),
            endpoint: None,
            last_success_at: bench.now,
            failure_score: 6,
            has_lost_calls: Some(true),
            slow_start_since: None,
            baseline_per_sec: 0.0,
        }));
    }
    assert_eq!(bench.step(), []);
    assert_eq!(
        bench.scheduler.take_circuit_changes().len(),
        WAITING,
        "changes reported for the restored circuits"
    );
    assert_eq!(bench.count_visits().circuits_compared, 0);
    assert_eq!(bench.scheduler.take_circuit_changes(), []);
    // A circuit that opens is reported alone.
    bench.accept(5);
    let sent = bench.step();
    bench.finish(sent[0], AttemptOutcome::ConnectFailed);
    bench.step();
    let before = bench.scheduler.work_counters();
    let changed = bench.scheduler.take_circuit_changes();
    assert_eq!(changed.len(), 1);
    assert_eq!((changed[0].destination, changed[0].endpoint), (destination(5), None));
    assert!(changed[0].record.is_some_and(|record| record.has_lost_calls == Some(true)));
    assert_eq!(visits_between(before, bench.scheduler.work_counters()).circuits_compared, 1);
}

/// A delta must cost only visits of its own entries, however long the list is.
#[test]
fn a_delta_of_one_endpoint_does_not_scan_the_list() {
    let visits = |endpoints: usize| {
        let mut bench = TestBench::new(endpoints);
        let before = bench.scheduler.work_counters();
        for availability in
            [Availability::Draining, Availability::Ready, Availability::Removed, Availability::Ready]
        {
            bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![Endpoint {
                availability,
                ..endpoint(3)
            }])));
            assert_eq!(bench.step(), []);
        }
        visits_between(before, bench.scheduler.work_counters()).endpoints_visited
    };
    let few = visits(SMALL);
    assert!((4..=16).contains(&few), "{few} visits of four entries");
    assert_eq!(visits(LARGE), few);
}
