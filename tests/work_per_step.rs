//! A step costs in proportion to what has changed, not to what exists: what it looks at is counted, no clock is read.

use delivery_gateway::*;
use std::time::Duration;

const LARGE: usize = 65_536;
const SMALL: usize = 64;
/// Destinations with endpoints; the endpoints are spread over them evenly.
const DESTINATIONS: usize = 16_384;
const WAITING: usize = 2_000;
const HELD: usize = 10_000;
/// Messages that are passed on while looks are counted.
const ROUNDS: usize = 50;
/// Far longer than all that is played here: nothing runs out, stalls or comes back meanwhile.
const LONG: Duration = Duration::from_secs(24 * 3600);

/// A courier, its clock, and the number of the last message.
struct Site {
    scheduler: Scheduler,
    settings: Settings,
    now: Time,
    last: u32,
}

fn settings() -> Settings {
    let class =
        Class { latency_objective: LONG / 4, deadline: LONG, idempotency_window: LONG, ..Class::default() };
    Settings {
        classes: vec![class],
        fleet_size: 1,
        max_in_flight_calls: 1_000,
        max_pending_messages: 4 * HELD,
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

impl Site {
    fn new(endpoints: usize) -> Site {
        Site::with(settings(), endpoints)
    }

    fn with(settings: Settings, endpoints: usize) -> Site {
        let now = Time::ZERO + Duration::from_secs(100);
        let mut site = Site { scheduler: Scheduler::new(settings.clone(), 7), settings, now, last: 0 };
        site.tell(Event::EndpointsUpdated(EndpointUpdate::Snapshot((0..endpoints).map(endpoint).collect())));
        site.step();
        site.scheduler.take_circuit_changes();
        site
    }

    fn tell(&mut self, event: Event) {
        self.scheduler.handle(self.now, event);
    }

    fn accept(&mut self, to: usize) {
        self.last += 1;
        let deadline = self.now + self.settings.classes[0].deadline;
        self.tell(Event::MessageAccepted(AcceptedMessage {
            id: MessageId(self.last),
            class: ClassId(0),
            destination: destination(to),
            key: None,
            deadline,
            redelivered: false,
            tenant: TenantId(0),
        }));
    }

    /// A moment later the courier decides; what it sends is returned.
    fn step(&mut self) -> Vec<(MessageId, EndpointId)> {
        self.now = self.now + Duration::from_millis(1);
        let mut actions = Vec::new();
        self.scheduler.decide(self.now, &mut actions);
        let routed = |action: &Action| match action {
            Action::StartAttempt { message, endpoint, .. } => Some((*message, *endpoint)),
            _ => None,
        };
        actions.iter().filter_map(routed).collect()
    }

    fn finish(&mut self, (message, endpoint): (MessageId, EndpointId), outcome: AttemptOutcome) {
        self.tell(Event::AttemptFinished(FinishedAttempt {
            message,
            endpoint,
            attempt: 0,
            outcome,
            latency: Duration::from_millis(1),
            complete: outcome == AttemptOutcome::Delivered,
            load_report: None,
        }));
    }

    /// The last destinations of the list wait on told waits, with messages held for them.
    fn keep_waiting(&mut self, destinations: usize, messages: usize) {
        let told = DESTINATIONS - destinations..DESTINATIONS;
        for to in told.clone() {
            self.tell(Event::RetryAfter { endpoint: EndpointId(to as u32), delay: LONG });
        }
        told.cycle().take(messages).for_each(|to| self.accept(to));
        assert_eq!(self.step(), [], "told to wait");
    }

    /// Leaves so many calls out, spread over so many destinations from the fortieth on.
    fn leave_out(&mut self, calls: usize, destinations: usize) {
        (0..calls).for_each(|call| self.accept(40 + call % destinations));
        assert_eq!(self.step().len(), calls);
    }

    /// What is looked at while messages for a few destinations are taken, sent and ended, one after the other.
    fn looks(&mut self) -> WorkCounters {
        let before = self.scheduler.work();
        for round in 0..ROUNDS {
            self.accept(round % 32);
            let sent = self.step();
            assert_eq!(sent.len(), 1, "what can go goes, and it alone");
            self.finish(sent[0], AttemptOutcome::Delivered);
            assert_eq!(self.step(), []);
            self.scheduler.take_circuit_changes();
        }
        since(before, self.scheduler.work())
    }
}

fn since(before: WorkCounters, after: WorkCounters) -> WorkCounters {
    WorkCounters {
        destinations: after.destinations - before.destinations,
        messages: after.messages - before.messages,
        calls: after.calls - before.calls,
        routes: after.routes - before.routes,
        endpoints: after.endpoints - before.endpoints,
    }
}

fn all(work: WorkCounters) -> u64 {
    work.destinations + work.messages + work.calls + work.routes + work.endpoints
}

/// Not only the sum: nor may one kind of looks grow behind the others.
fn assert_at_most(times: u64, of: WorkCounters, seen: WorkCounters) {
    assert!(all(of) > 0, "it counts");
    let destination_kinds =
        |w: WorkCounters| [all(w), w.destinations, w.messages, w.calls, w.routes, w.endpoints];
    let in_bounds =
        destination_kinds(of).into_iter().zip(destination_kinds(seen)).all(|(of, seen)| seen <= times * of);
    assert!(in_bounds, "at most {times} times {of:?}, not {seen:?}");
}

#[test]
fn a_step_visits_neither_waiting_destinations_nor_the_endpoint_list() {
    let few = Site::new(SMALL).looks();
    let mut large = Site::new(LARGE);
    large.keep_waiting(WAITING, HELD);
    assert_at_most(3, few, large.looks());
}

/// Each destination that waits has its own time, and some are due at each step: only these are looked at.
#[test]
fn only_retry_afters_that_end_are_visited() {
    let mut site = Site::new(LARGE);
    let told = DESTINATIONS - WAITING..DESTINATIONS;
    for (place, to) in told.clone().enumerate() {
        let wait = Duration::from_millis(10 * (place as u64 + 1));
        site.tell(Event::RetryAfter { endpoint: EndpointId(to as u32), delay: wait });
        site.accept(to);
    }
    assert_eq!(site.step(), []);
    let before = site.scheduler.work();
    let mut sent = Vec::new();
    for _ in 0..ROUNDS {
        for _ in 0..10 {
            sent.extend(site.step());
        }
    }
    assert_eq!(sent.len(), ROUNDS, "all that came due went");
    let looks = since(before, site.scheduler.work());
    assert!(looks.destinations <= 4 * ROUNDS as u64 && looks.messages <= 4 * ROUNDS as u64, "{looks:?}");
}

#[test]
fn calls_in_flight_are_not_scanned() {
    for (few, many) in [((20, 20), (90, 90)), ((20, 2), (90, 9)), ((20, 2), (90, 2))] {
        let mut small = Site::new(SMALL);
        small.leave_out(few.0, few.1);
        let mut large = Site::new(LARGE);
        large.leave_out(many.0, many.1);
        assert_at_most(2, small.looks(), large.looks());
    }
}

/// Calls to a destination end in another order than they were sent; those that are left are not gone through anew.
#[test]
fn finished_calls_are_found_without_a_scan() {
    let looks = |calls: usize| {
        let mut site = Site::new(SMALL);
        (0..calls).for_each(|_| site.accept(40));
        let sent = site.step();
        assert_eq!(sent.len(), calls);
        let before = site.scheduler.work();
        for call in sent.into_iter().rev().take(10) {
            site.finish(call, AttemptOutcome::Delivered);
            assert_eq!(site.step(), []);
        }
        since(before, site.scheduler.work())
    };
    assert_at_most(2, looks(20), looks(90));
    assert_at_most(2, looks(100), looks(450));
}

/// Each call that ends lets one more message of a long queue go.
#[test]
fn a_long_queue_is_not_scanned_for_each_message() {
    let looks = |messages: usize| {
        let mut site = Site::with(Settings { max_in_flight_calls: 1, ..settings() }, SMALL);
        (0..messages).for_each(|_| site.accept(40));
        let mut sent = site.step();
        let before = site.scheduler.work();
        for _ in 0..ROUNDS {
            assert_eq!(sent.len(), 1);
            site.finish(sent[0], AttemptOutcome::Delivered);
            sent = site.step();
        }
        since(before, site.scheduler.work())
    };
    assert_at_most(2, looks(HELD / 100), looks(HELD));
}

#[test]
fn no_circuit_is_visited_where_none_changed() {
    let mut site = Site::new(LARGE);
    for to in DESTINATIONS - WAITING..DESTINATIONS {
        site.tell(Event::CircuitRestored(CircuitRecord {
            destination: destination(to),
            endpoint: None,
            last_success_at: site.now,
            failure_score: 6,
            calls_lost: Some(true),
            slow_start_since: None,
            baseline_rate: 0.0,
        }));
    }
    assert_eq!(site.step(), []);
    assert_eq!(site.scheduler.take_circuit_changes().len(), WAITING, "all are told once");
    assert_eq!(site.looks().routes, 0);
    assert_eq!(site.scheduler.take_circuit_changes(), []);
    // One that comes is told alone.
    site.accept(5);
    let sent = site.step();
    site.finish(sent[0], AttemptOutcome::ConnectFailed);
    site.step();
    let before = site.scheduler.work();
    let changed = site.scheduler.take_circuit_changes();
    assert_eq!(changed.len(), 1);
    assert_eq!((changed[0].destination, changed[0].endpoint), (destination(5), None));
    assert!(changed[0].record.is_some_and(|outage| outage.calls_lost == Some(true)));
    assert_eq!(since(before, site.scheduler.work()).routes, 1);
}

#[test]
fn a_delta_of_one_endpoint_does_not_scan_the_list() {
    let looks = |endpoints: usize| {
        let mut site = Site::new(endpoints);
        let before = site.scheduler.work();
        for mode in [Availability::Draining, Availability::Ready, Availability::Removed, Availability::Ready]
        {
            site.tell(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![Endpoint {
                availability: mode,
                ..endpoint(3)
            }])));
            assert_eq!(site.step(), []);
        }
        since(before, site.scheduler.work()).endpoints
    };
    let few = looks(SMALL);
    assert!((4..=16).contains(&few), "each entry once or a few times: {few}");
    assert_eq!(looks(LARGE), few);
}
