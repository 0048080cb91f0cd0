//! Arbitrary legal event sequences, with a fixed seed: the rules hold on whatever the courier does.
//! Outcomes are arbitrary; this plays no server.

mod common;

use common::*;
use delivery_gateway::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Accept { class: u8, destination: u16, key: u64 },
    Finish { which: usize, how: usize },
    Removed(usize),
    Availability { endpoint: u32, mode: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (1u64..400).prop_map(Step::Pass),
        5 => (0u8..5, 1u16..4, 0u64..4).prop_map(|(class, destination, key)| Step::Accept { class, destination, key }),
        5 => (0usize..64, 0usize..9).prop_map(|(which, how)| Step::Finish { which, how }),
        1 => (0usize..64).prop_map(Step::Removed),
        1 => (0u32..6, 0usize..3).prop_map(|(endpoint, mode)| Step::Availability { endpoint, mode }),
    ];
    proptest::collection::vec(step, 1..300)
}

fn world() -> (Settings, Vec<Endpoint>) {
    let ordered = Class { ordered: true, ..non_idempotent() };
    let by_zone = Class { deduplication_scope: DeduplicationScope::Zone, ..idempotent_with_key() };
    let base = settings(vec![idempotent_with_key(), non_idempotent(), idempotent(), ordered, by_zone]);
    let destination_kinds = vec![
        DestinationKind { batch: 1, per_endpoint_limits: false },
        DestinationKind { batch: 3, per_endpoint_limits: false },
    ];
    let rules = DeliveryLimits { ordering_key_hold: ms(120), ..base.limits.clone() };
    let settings = Settings {
        max_in_flight_calls: 5,
        max_pending_messages: 60,
        max_attempts: 5,
        destination_kinds,
        limits: rules,
        ..base
    };
    let endpoints = (0..6)
        .map(|id| Endpoint {
            kind: DestinationKindId((id % 2) as u16),
            weight: 20.0,
            zone: ZoneId((id % 2) as u8),
            ..endpoint(id, 1 + (id / 2) as u16)
        })
        .collect();
    (settings, endpoints)
}

#[derive(Debug)]
struct Held {
    class: usize,
    destination: u16,
    key: u64,
    deadline: Time,
    out: Option<(u32, Time)>,
    /// When the first attempt that may have run was sent, and where.
    first_maybe: Option<(Time, u32)>,
    sends: u32,
    ended: bool,
}

/// What the rules say of the past, kept apart from the courier's own books.
struct Judge {
    settings: Settings,
    held: BTreeMap<u32, Held>,
    retry_after_delays: BTreeMap<u16, Time>,
    rests: BTreeMap<u64, Time>,
    modes: BTreeMap<u32, Availability>,
}

impl Judge {
    fn check(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt { message, endpoint, .. } => self.route(now, message.0, endpoint.0),
                Action::Reject { message, .. } => {
                    let held = self.end(now, message.0);
                    let idempotency = self.settings.classes[self.held[&held].class].idempotency;
                    let held = &self.held[&held];
                    assert!(
                        idempotency == Idempotency::Idempotent
                            || (held.first_maybe.is_none() && held.out.is_none())
                    );
                }
                Action::ReportFailure { message } => {
                    self.end(now, message.0);
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, now: Time, id: u32) -> u32 {
        let held = self.held.get_mut(&id).expect("answers only what it holds");
        assert!(!held.ended, "one final answer");
        assert!(now <= held.deadline + self.settings.limits.final_outcome_grace, "in time");
        held.ended = true;
        id
    }

    fn route(&mut self, now: Time, id: u32, endpoint: u32) {
        let held = &self.held[&id];
        let class = &self.settings.classes[held.class];
        assert!(!held.ended && held.out.is_none(), "never two attempts, nothing after the end");
        assert_eq!(self.modes[&endpoint], Availability::Ready, "nothing to a drained endpoint");
        assert!(
            self.retry_after_delays.get(&held.destination).is_none_or(|until| *until <= now),
            "waits are kept"
        );
        assert!(held.sends < self.settings.max_attempts);
        if let Some((first, to)) = held.first_maybe {
            // Endpoints of two zones take turns.
            assert!(
                class.deduplication_scope == DeduplicationScope::Destination || to % 2 == endpoint % 2,
                "inside the group"
            );
            assert_ne!(class.idempotency, Idempotency::NonIdempotent, "no unsafe resend");
            assert!(
                class.idempotency == Idempotency::Idempotent || now < first + class.idempotency_window,
                "inside the window"
            );
        }
        if class.ordered && held.key != 0 {
            let mut earlier = self.held.range(..id).map(|(_, h)| h);
            let taken = |h: &Held| self.settings.classes[h.class].ordered && h.key == held.key;
            assert!(!earlier.any(|h| taken(h) && (!h.ended || h.out.is_some())), "keys in turn");
            assert!(held.sends > 0 || self.rests.get(&held.key).is_none_or(|until| *until <= now), "rest");
        }
        let held = self.held.get_mut(&id).expect("known");
        held.out = Some((endpoint, now));
        held.sends += 1;
        let out = self.held.values().filter(|h| h.out.is_some()).count();
        assert!(out <= self.settings.max_in_flight_calls * 3, "slots");
    }
}

fn outcome(how: usize) -> AttemptOutcome {
    match how {
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

/// Plays the steps, judges every action, and returns all of them.
fn play(steps: &[Step], seed: u64) -> Vec<Action> {
    let (settings, endpoints) = world();
    let mut bench = Bench::new(settings.clone(), endpoints.clone());
    bench.scheduler = Scheduler::new(settings.clone(), seed);
    bench.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints.clone())));
    let modes = endpoints.iter().map(|e| (e.id.0, e.mode)).collect();
    let (held, retry_after_delays, rests) = Default::default();
    let mut judge = Judge { settings, held, retry_after_delays, rests, modes };
    let mut all = Vec::new();
    let mut id = 0;
    for step in steps.iter().cloned().chain((0..120).map(|_| Step::Pass(250))) {
        match step {
            Step::Pass(span) => {
                let end = bench.now + ms(span);
                while bench.now < end {
                    bench.now = bench.now + ms(5);
                    // An attempt cut to its deadline times out there.
                    let due: Vec<u32> = judge
                        .held
                        .iter()
                        .filter(|(_, h)| h.out.is_some() && h.deadline <= bench.now)
                        .map(|(id, _)| *id)
                        .collect();
                    due.iter().for_each(|id| finish(&mut bench, &mut judge, *id, AttemptOutcome::Timeout));
                    let actions = bench.decide();
                    judge.check(bench.now, &actions);
                    all.extend(actions);
                }
                continue;
            }
            Step::Accept { class, destination, key } => {
                if judge.held.values().filter(|h| !h.ended).count() >= judge.settings.max_pending_messages {
                    continue;
                }
                id += 1;
                bench.accept(id, class, destination, (key > 0).then_some(key));
                let deadline = bench.now + judge.settings.classes[usize::from(class)].deadline;
                let class = usize::from(class);
                let (out, first_maybe) = (None, None);
                let held =
                    Held { class, destination, key, deadline, out, first_maybe, sends: 0, ended: false };
                judge.held.insert(id, held);
            }
            Step::Finish { which, how } => {
                let out: Vec<u32> =
                    judge.held.iter().filter(|(_, h)| h.out.is_some()).map(|(i, _)| *i).collect();
                if !out.is_empty() {
                    finish(&mut bench, &mut judge, out[which % out.len()], outcome(how));
                }
            }
            Step::Removed(which) => {
                let open: Vec<u32> = judge.held.iter().filter(|(_, h)| !h.ended).map(|(i, _)| *i).collect();
                if !open.is_empty() {
                    let gone = open[which % open.len()];
                    bench.handle(Event::MessageAbandoned(MessageId(gone)));
                    judge.held.get_mut(&gone).expect("open").ended = true;
                }
            }
            Step::Availability { endpoint, mode } => {
                let mode = [Availability::Ready, Availability::Draining, Availability::Removed][mode];
                let entry = Endpoint { mode, ..endpoints[endpoint as usize].clone() };
                bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![entry])));
                judge.modes.insert(endpoint, mode);
            }
        }
        let actions = bench.decide();
        judge.check(bench.now, &actions);
        all.extend(actions);
    }
    assert!(judge.held.values().all(|h| h.ended), "every message has its final answer");
    all
}

fn finish(bench: &mut Bench, judge: &mut Judge, id: u32, outcome: AttemptOutcome) {
    let held = judge.held.get_mut(&id).expect("known");
    let (endpoint, sent) = held.out.take().expect("out");
    if !outcome.was_not_processed() && held.first_maybe.is_none() {
        held.first_maybe = Some((sent, endpoint));
    }
    if outcome == AttemptOutcome::Delivered {
        held.ended = true;
    }
    if let AttemptOutcome::Rejected(Some(wait)) = outcome {
        let until = judge.retry_after_delays.entry(held.destination).or_insert(Time::ZERO);
        *until = (*until).max(bench.now + wait);
    }
    let ordered = judge.settings.classes[held.class].ordered;
    if ordered
        && matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
    {
        judge.rests.insert(held.key, bench.now + judge.settings.limits.ordering_key_hold);
    }
    bench.finish(id, endpoint, outcome, bench.now - sent);
}

fn runner() -> TestRunner {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

#[test]
fn the_delivery_rules_hold_under_random_events() {
    let check = |steps: Vec<Step>| {
        play(&steps, 3);
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

#[test]
fn identical_events_give_identical_actions() {
    let check = |steps: Vec<Step>| {
        prop_assert_eq!(play(&steps, 5), play(&steps, 5));
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

/// Two couriers that take turns act as each does alone.
#[test]
fn interleaved_schedulers_act_as_if_alone() {
    let run = |bench: &mut Bench, step: u32| {
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
    let fresh = || {
        let (settings, endpoints) = world();
        Bench::new(settings, endpoints)
    };
    let (mut alone, mut one, mut two) = (fresh(), fresh(), fresh());
    two.now = two.now + Duration::from_secs(9);
    for step in 0..300 {
        let expected = run(&mut alone, step);
        let seen = run(&mut one, step);
        run(&mut two, step * 2);
        assert_eq!(seen, expected);
    }
}

/// What is over leaves nothing behind: a courier that has passed ten times as many messages, by whatever way they
/// ended, remembers no more than one that has passed a few.
#[test]
fn memory_does_not_grow_with_completed_messages() {
    let remembered = |steps: u32| {
        let (settings, endpoints) = world();
        let mut bench = Bench::new(settings, endpoints.clone());
        for step in 0..steps {
            bench.now = bench.now + ms(40);
            bench.accept(step, (step % 4) as u8, 1 + (step % 3) as u16, Some(u64::from(step)));
            // Endpoints come and go as well.
            let new = Endpoint { id: EndpointId(1000 + step), ..endpoints[0].clone() };
            let gone = Endpoint { mode: Availability::Removed, ..new.clone() };
            bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![new])));
            for StartedAttempt { message, endpoint, .. } in bench.start_attempts() {
                bench.finish(message, endpoint, outcome((step % 9) as usize), ms(7));
            }
            bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![gone])));
        }
        // All that is still held runs out.
        let longest = bench.settings.classes.iter().map(|class| class.deadline).max().unwrap();
        let end = bench.now + longest * 2;
        while bench.now < end {
            bench.now = bench.now + ms(500);
            for StartedAttempt { message, endpoint, .. } in bench.start_attempts() {
                bench.finish(message, endpoint, AttemptOutcome::Delivered, ms(7));
            }
        }
        postcard::to_stdvec(&bench.scheduler).unwrap().len()
    };
    let (few, many) = (remembered(300), remembered(3000));
    // Larger numbers take some more bytes each.
    assert!(many < few + 400, "{few} bytes after 300 messages, {many} after 3000");
}
