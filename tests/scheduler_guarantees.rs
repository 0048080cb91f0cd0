//! Terms in force that the bench may not show, held by the decision module alone: no sockets, its own clock.

mod common;

use common::*;
use delivery_gateway::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// A change of the list counts as told so long after discovery had it and could be reached.
const COUNTS_AS_TOLD: Duration = Duration::from_secs(6);
/// Fleets: a handful, a short day's, the bench's, and the one to come.
const FLEETS: [u32; 4] = [3, 30, 300, 6_900];

/// From the last of so many refusals in a row to the next try; the term's time and a little more if there is none.
fn gap_after(refusals: u32, fleet_size: u32, seed: u64, why: &EndpointUpdate) -> Duration {
    let mut scheduler = Scheduler::new(Settings { fleet_size, ..settings(vec![safe()]) }, seed);
    let start = Time::ZERO + Duration::from_secs(100);
    (0..refusals).for_each(|_| scheduler.handle(start, Event::EndpointsUpdated(why.clone())));
    let mut actions = Vec::new();
    let mut gap = Duration::ZERO;
    while gap <= COUNTS_AS_TOLD {
        scheduler.decide(start + gap, &mut actions);
        if actions.contains(&Action::WatchEndpoints { active: true }) {
            return gap;
        }
        gap += ms(20);
    }
    gap
}

/// Whatever else is allowed after a refused call for the list, a change counts as told 6 s after discovery had it and
/// could be reached: the next try must come before that, however often it was refused and however many there are.
#[test]
fn a_rejected_watch_is_retried_before_a_change_counts_as_announced() {
    let mut late = Vec::new();
    for fleet_size in FLEETS {
        for refusals in [1, 2, 4, 12] {
            let gaps =
                (1..=20).map(|seed| gap_after(refusals, fleet_size, seed, &EndpointUpdate::WatchRejected));
            let count = gaps.filter(|gap| *gap > COUNTS_AS_TOLD).count();
            if count > 0 {
                late.push(format!("{fleet_size} couriers, refusal {refusals}: {count} of 20 ask later"));
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// A watch that failed or was given up, after all the time that discovery may take to answer, is asked for again in
/// time too, whatever the fleet.
#[test]
fn a_failed_watch_is_retried_before_a_change_counts_as_announced() {
    for fleet_size in FLEETS {
        for failures in [1, 2, 12] {
            for seed in 1..=5 {
                let gap = gap_after(failures, fleet_size, seed, &EndpointUpdate::WatchFailed);
                assert!(
                    WATCH_RESPONSE_TIMEOUT + gap <= COUNTS_AS_TOLD,
                    "{fleet_size} couriers, failure {failures}: {gap:?} after {WATCH_RESPONSE_TIMEOUT:?}"
                );
            }
        }
    }
}

/// What the agent has counts from the first moment of a new process: the first watch leaves half of the time in which
/// calls to what drains must stop, in the fleet to come too.
#[test]
fn the_first_watch_is_in_time_in_every_fleet_size() {
    let drain = Settings::default().limits.drain_grace;
    for fleet_size in FLEETS {
        for seed in 0..500 {
            let mut scheduler = Scheduler::new(Settings { fleet_size, ..settings(vec![safe()]) }, seed);
            let first = scheduler.initial_watch_delay();
            assert!(first <= drain / 2, "{fleet_size} couriers, seed {seed}: {first:?}");
        }
    }
}

/// How a partner is out, and what its callers are like.
#[derive(Clone, Copy, Debug)]
struct Throng {
    outage: AttemptOutcome,
    fleet_size: u32,
    /// Calls a second that the warm partner takes, and messages a second over that.
    capacity: f64,
    load: f64,
    /// Messages that a call may carry.
    batch: usize,
    /// Processes are killed when the partner comes back, and know no more than their journals.
    killed: bool,
}

/// One process of a throng.
struct Member {
    scheduler: Scheduler,
    wake: Option<(Time, u64)>,
    touched: bool,
    /// Was told of the outage by a call that failed or was refused.
    told: bool,
    /// Attempts of each message, and what is known of its first that may have run.
    held: BTreeMap<MessageId, (AcceptedMessage, u32)>,
}

/// An outcome on its way: who is told, of which attempt, since when it was out.
type Coming = (usize, MessageId, u16, AttemptOutcome, Time);

/// What was seen of a return.
struct Return {
    /// The first fall, if there is one: calls in the window, those of members that had been told, and N.
    overload_window: Option<(usize, usize, f64)>,
    /// Calls served, over what the partner could have.
    served: f64,
}

fn live_through(throng: Throng, seed: u64) -> Return {
    let Throng { outage, fleet_size, capacity, load, batch, killed } = throng;
    let rules = DeliveryLimits {
        cold_capacity_ratio: 0.18,
        warm_up: Duration::from_secs(10),
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(2),
        ..Settings::default().limits
    };
    let class =
        Class { latency_objective: Duration::from_secs(2), deadline: Duration::from_secs(12), ..safe() };
    let settings = Settings {
        classes: vec![class.clone()],
        fleet_size,
        destination_kinds: vec![DestinationKind { batch, per_endpoint_limits: false }],
        limits: rules.clone(),
        ..Settings::default()
    };
    let listed = Endpoint { weight: capacity, ..endpoint(7, 1) };
    let mut now = Time::ZERO + Duration::from_secs(100);
    let (out_from, back) = (now + Duration::from_secs(5), now + Duration::from_secs(15));
    let mut chance = fastrand::Rng::with_seed(seed);
    let fresh = |seed: u64, now: Time| {
        let mut scheduler = Scheduler::new(settings.clone(), seed);
        scheduler.handle(now, Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![listed.clone()])));
        scheduler
    };
    let mut members: Vec<Member> = (0..u64::from(fleet_size))
        .map(|n| Member {
            scheduler: fresh(seed * 1000 + n, now),
            wake: None,
            touched: true,
            told: false,
            held: BTreeMap::new(),
        })
        .collect();
    let mut coming: BTreeMap<(Time, usize), Coming> = BTreeMap::new();
    // Calls since the return: when, and whether by one that had been told.
    let mut calls: Vec<(Time, bool)> = Vec::new();
    let (mut last, mut count, mut room) = (0, 0, 1.0);
    let (mut served, mut could) = (0.0, 0.0);
    while now < back + rules.warm_up {
        now = now + ms(5);
        let (out, returned) = (now >= out_from && now < back, now >= back);
        let warmth = ((now - back).as_secs_f64() / rules.warm_up.as_secs_f64()).min(1.0);
        let can = capacity
            * if returned {
                rules.cold_capacity_ratio + (1.0 - rules.cold_capacity_ratio) * warmth
            } else {
                1.0
            };
        room = f64::min(room + can * 0.005, can / 2.0 + 1.0);
        if killed && returned && now - back < ms(5) {
            for (number, member) in members.iter_mut().enumerate() {
                let circuit_records: Vec<CircuitRecord> = member.scheduler.circuit_records().collect();
                member.scheduler = fresh(seed * 1000 + 500 + number as u64, now);
                circuit_records
                    .into_iter()
                    .for_each(|seen| member.scheduler.handle(now, Event::CircuitRestored(seen)));
                for (taken, attempts) in member.held.values() {
                    let (taken, attempts) = (taken.clone(), *attempts);
                    let restored = RestoredMessage {
                        message: taken,
                        attempts,
                        first_uncertain_attempt: None,
                        outcome_recorded: false,
                    };
                    member.scheduler.handle(now, Event::MessageRestored(restored));
                }
                (member.wake, member.touched) = (None, true);
            }
            coming.clear();
        }
        for member in &mut members {
            if chance.f64() < capacity * load * 0.005 / f64::from(fleet_size) {
                last += 1;
                let taken = accepted(now, last, (ClassId(0), &class), 1, None);
                member.held.insert(taken.id, (taken.clone(), 0));
                member.scheduler.handle(now, Event::MessageAccepted(taken));
                member.touched = true;
            }
            if let Some((_, token)) = member.wake.take_if(|(at, _)| *at <= now) {
                member.scheduler.handle(now, Event::TimerFired(token));
                member.touched = true;
            }
        }
        while let Some(entry) = coming.first_entry().filter(|entry| entry.key().0 <= now) {
            let (number, message, attempt, outcome, sent) = entry.remove();
            let (complete, latency) = (outcome == AttemptOutcome::Delivered, now - sent);
            let member = &mut members[number];
            let endpoint = EndpointId(7);
            let finished =
                FinishedAttempt { message, endpoint, attempt, outcome, latency, complete, load_report: None };
            member.scheduler.handle(now, Event::AttemptFinished(finished));
            member.told |= out && !complete;
            member.touched = true;
            if complete {
                member.held.remove(&message);
            }
        }
        for (number, member) in members.iter_mut().enumerate().filter(|(_, member)| member.touched) {
            member.touched = false;
            let mut actions = Vec::new();
            member.scheduler.decide(now, &mut actions);
            // What goes in one turn shares calls, as many as a call may carry.
            let (mut fate, mut carried) = (None, 0);
            for action in actions {
                match action {
                    Action::SetTimer { after, token } => member.wake = Some((now + after, token)),
                    Action::StartAttempt { message, attempt_timeout, .. } => {
                        if carried == batch {
                            (fate, carried) = (None, 0);
                        }
                        carried += 1;
                        let (outcome, after) = *fate.get_or_insert_with(|| {
                            if returned {
                                calls.push((now, member.told));
                            }
                            if out {
                                (
                                    outage,
                                    if outage == AttemptOutcome::Timeout { attempt_timeout } else { ms(50) },
                                )
                            } else if room < 1.0 {
                                (AttemptOutcome::Rejected(None), ms(50))
                            } else {
                                room -= 1.0;
                                served += f64::from(u8::from(returned));
                                (AttemptOutcome::Delivered, ms(200))
                            }
                        });
                        count += 1;
                        let Some((_, attempts)) = member.held.get_mut(&message) else {
                            panic!("sent after its end");
                        };
                        let attempt = *attempts as u16;
                        *attempts += 1;
                        coming.insert((now + after, count), (number, message, attempt, outcome, now));
                    }
                    Action::Reject { message, .. } | Action::ReportFailure { message } => {
                        member.held.remove(&message);
                    }
                    _ => {}
                }
            }
        }
        if returned {
            could += can * 0.005;
            let recent = || calls.iter().filter(|(at, _)| now - *at < rules.overload_window);
            let (all, told) = (recent().count(), recent().filter(|(_, told)| *told).count());
            let allowed = rules.overload_multiple * can * rules.overload_window.as_secs_f64();
            if all as f64 > allowed + 2.0 * allowed.sqrt() + 2.0 {
                return Return { overload_window: Some((all, told, allowed)), served: served / could };
            }
        }
    }
    Return { overload_window: None, served: served / could }
}

/// Cold partners fall under the sum of what all processes send: with twenty and thirty of them, none may fall by more
/// than two thirds from those that had been told of the outage. N is what the settings allow, and only 2 x root of
/// N + 2 beyond it are chance.
fn holds_for_the_sum(killed: bool) {
    let mut broken = Vec::new();
    let shut = [AttemptOutcome::Rejected(None), AttemptOutcome::Rejected(Some(Duration::from_secs(1)))];
    for outage in [
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Timeout,
        AttemptOutcome::ErrorResponse,
        shut[0],
        shut[1],
    ] {
        for (fleet_size, capacity) in [(20, 6.0), (20, 20.0), (20, 60.0), (30, 6.0), (30, 20.0), (30, 60.0)] {
            for (load, batch) in [(0.8, 1), (1.5, 1), (4.0, 1), (1.5, 20)] {
                for seed in 1..=3 {
                    let throng = Throng { outage, fleet_size, capacity, load, batch, killed };
                    let seen = live_through(throng, seed);
                    // Nor is it held by sending next to nothing.
                    assert!(seen.served > 0.2, "{throng:?}, seed {seed}: {:.2} served", seen.served);
                    if let Some((all, told, allowed)) = seen.overload_window {
                        if told * 3 > all * 2 {
                            broken.push(format!(
                                "{throng:?}, seed {seed}: {told} of {all} calls, N {allowed:.1}"
                            ));
                        }
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{} of 360: {broken:#?}", broken.len());
}

#[test]
fn the_slow_start_budget_holds_for_twenty_and_thirty_processes_together() {
    holds_for_the_sum(false);
}

/// So too where all processes are killed in the moment of the return, and know only what their journals tell.
#[test]
fn the_slow_start_budget_holds_for_killed_processes_together() {
    holds_for_the_sum(true);
}

/// The window for repeats may be 1 s where couriers are restarted: whenever the first attempt was sent, and however
/// often the process was killed since, nothing leaves outside it.
#[test]
fn nothing_is_sent_outside_a_one_second_window_over_kills() {
    let window = Duration::from_secs(1);
    let class = Class {
        idempotency_window: window,
        latency_objective: ms(700),
        deadline: Duration::from_secs(6),
        ..keyed()
    };
    let mut resent = 0;
    for passed in (0..1_200).step_by(40) {
        for seed in 1..=4 {
            let settings = Settings { outcomes_need_acknowledgement: true, ..settings(vec![class.clone()]) };
            let mut bench = Bench::new(settings.clone(), vec![endpoint(11, 3)]);
            let first = bench.now;
            bench.now = first + ms(passed);
            let mut attempts = 1;
            // Three lives: each takes the message up again, sends it if it may, and dies with the call out.
            for life in 0..3 {
                bench.restart(settings.clone(), seed * 10 + life, vec![endpoint(11, 3)]);
                let class = (ClassId(0), &settings.classes[0]);
                let taken = AcceptedMessage {
                    deadline: first + settings.classes[0].deadline,
                    ..accepted(first, 1, class, 3, None)
                };
                let first_uncertain_attempt = Some((first, ZoneId(0)));
                bench.tell(Event::MessageRestored(RestoredMessage {
                    message: taken,
                    attempts,
                    first_uncertain_attempt: first_uncertain_attempt
                        .map(|(sent_at, zone)| SentAttempt { sent_at, zone }),
                    outcome_recorded: false,
                }));
                let mut over = false;
                for _ in 0..60 {
                    for action in bench.decide() {
                        match action {
                            Action::StartAttempt { send_within, .. } => {
                                let leaves = bench.now + send_within;
                                assert!(!over, "sent after its end");
                                assert!(
                                    leaves <= first + window,
                                    "restored after {passed} ms, life {life}, seed {seed}: may leave {:?} late",
                                    leaves - (first + window)
                                );
                                (attempts, resent) = (attempts + 1, resent + 1);
                                // Refused or broken, it may go once more in the same life.
                                let outcome = if seed % 2 == 0 {
                                    AttemptOutcome::ConnectFailed
                                } else {
                                    AttemptOutcome::Reset
                                };
                                let finished = FinishedAttempt {
                                    message: MessageId(1),
                                    endpoint: EndpointId(11),
                                    attempt: (attempts - 1) as u16,
                                    outcome,
                                    latency: ms(5),
                                    complete: false,
                                    load_report: None,
                                };
                                bench.tell(Event::AttemptFinished(finished));
                            }
                            Action::ReportFailure { .. } => over = true,
                            Action::Reject { .. } => panic!("it may have run and cannot be handed back"),
                            _ => {}
                        }
                    }
                    bench.now = bench.now + ms(5);
                }
                if over {
                    break;
                }
            }
        }
    }
    assert!(resent > 100, "only {resent} were sent again: the window is not used");
}

/// What a restart finds untried, with half of its time left, is tried and not given up early: of each effect, where
/// many destinations were out before, and as many messages as may be held.
#[test]
fn untried_messages_are_tried_after_a_restart() {
    let classes = vec![keyed(), unsafe_class(), safe()];
    let settings = Settings { outcomes_need_acknowledgement: true, fleet_size: 300, ..settings(classes) };
    // Ten messages for each destination, and a part of its rate for them all: 1.3 calls a second, for 10 s.
    let listed = |n: u16| Endpoint { weight: 400.0, ..endpoint(u32::from(n), n) };
    let endpoints: Vec<Endpoint> = (1..=40).map(listed).collect();
    for seed in 1..=5 {
        let mut bench = Bench::new(settings.clone(), endpoints.clone());
        bench.restart(settings.clone(), seed, endpoints.clone());
        // A quarter of the destinations was out when the process died.
        for destination in (1..=40).step_by(4) {
            bench.tell(Event::CircuitRestored(CircuitRecord {
                destination: DestinationId(destination),
                endpoint: None,
                last_success_at: bench.now - Duration::from_secs(5),
                failure_score: 6,
                calls_lost: Some(true),
                slow_start_since: None,
                baseline_rate: 0.3,
            }));
        }
        let all = settings.max_pending_messages as u32;
        let half = settings.classes[0].deadline / 2;
        for id in 0..all {
            let class = ClassId((id % 3) as u8);
            let rules = &settings.classes[usize::from(class.0)];
            let taken = AcceptedMessage {
                deadline: bench.now + half,
                ..accepted(bench.now, id, (class, rules), (id % 40 + 1) as u16, None)
            };
            bench.tell(Event::MessageRestored(RestoredMessage {
                message: taken,
                attempts: 0,
                first_uncertain_attempt: None,
                outcome_recorded: false,
            }));
        }
        let end = bench.now + half;
        let mut tried = vec![false; all as usize];
        // Given up before its time with no call, by effect.
        let mut early = [0; 3];
        while bench.now < end {
            for action in bench.decide() {
                match action {
                    Action::StartAttempt { message, endpoint, .. } => {
                        tried[message.0 as usize] = true;
                        bench.finish(message.0, endpoint.0, AttemptOutcome::Delivered, ms(40));
                    }
                    Action::Reject { message, .. } | Action::ReportFailure { message }
                        if !tried[message.0 as usize] =>
                    {
                        early[message.0 as usize % 3] += 1;
                    }
                    _ => {}
                }
            }
            bench.now = bench.now + ms(5);
        }
        let tried = tried.iter().filter(|tried| **tried).count();
        // Over half given up is what fails a day; a tenth is what shedding to what may be held takes.
        assert!(
            early.iter().all(|early| early * 10 <= all / 3),
            "seed {seed}: {early:?} of {} each given up",
            all / 3
        );
        assert!(tried as u32 * 2 > all, "seed {seed}: {tried} of {all} tried");
    }
}
