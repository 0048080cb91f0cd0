//! The journal is updated only with the circuit changes that the scheduler reports. If one is missing, a restart
//! restores an old circuit. So the changes must add up to all circuit records.

mod common;

use common::*;
use delivery_gateway::*;
use std::collections::BTreeMap;
use std::time::Duration;

const ENDPOINTS: u32 = 16;
const STEPS: u32 = 600;
const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Delivered,
    AttemptOutcome::Delivered,
    AttemptOutcome::ErrorResponse,
    AttemptOutcome::Timeout,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Rejected(None),
    AttemptOutcome::Rejected(Some(Duration::from_millis(300))),
];
const AVAILABILITIES: [Availability; 3] =
    [Availability::Ready, Availability::Draining, Availability::Removed];

/// A scheduler with random events, and its circuits as they follow from the changes that it reports.
struct Run {
    rng: fastrand::Rng,
    bench: TestBench,
    recorded: BTreeMap<(DestinationId, Option<EndpointId>), CircuitRecord>,
    in_flight: Vec<StartedAttempt>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let destination_kinds = [false, true]
            .map(|has_per_endpoint_limits| DestinationKind { max_batch_size: 1, has_per_endpoint_limits });
        let settings = Settings {
            destination_kinds: destination_kinds.into(),
            max_in_flight_calls: 24,
            ..settings(vec![idempotent()])
        };
        Run {
            rng: fastrand::Rng::with_seed(seed),
            bench: TestBench::new(settings, all_ready()),
            recorded: BTreeMap::new(),
            in_flight: Vec::new(),
        }
    }

    /// Lets a random time pass, and handles one random event.
    fn step(&mut self, step: u32) {
        self.bench.now = self.bench.now + ms(self.rng.u64(1..200));
        match self.rng.u32(..40) {
            0 => {
                let availability = AVAILABILITIES[self.rng.usize(..AVAILABILITIES.len())];
                let changed = listed(self.rng.u32(..ENDPOINTS), availability);
                self.bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![changed])));
            }
            1 => self.bench.handle(Event::EndpointDisabled(EndpointId(self.rng.u32(..ENDPOINTS)))),
            2 | 3 => self.bench.handle(Event::EndpointEnabled(EndpointId(self.rng.u32(..ENDPOINTS)))),
            4 if step.is_multiple_of(5) => self.restart(step.into()),
            5 if step.is_multiple_of(5) => self.hand_over(step.into()),
            6..20 => self.bench.accept(step, 0, self.rng.u16(1..5), None),
            _ if !self.in_flight.is_empty() => self.finish_one(step),
            _ => {}
        }
        self.in_flight.extend(self.bench.start_attempts());
    }

    /// Replaces the scheduler as after a kill: its circuits are restored, and calls in flight are lost.
    fn restart(&mut self, seed: u64) {
        let before: Vec<CircuitRecord> = self.bench.scheduler.circuit_records().collect();
        self.bench.restart(self.bench.settings.clone(), seed, all_ready());
        before.into_iter().for_each(|record| self.bench.handle(Event::CircuitRestored(record)));
        self.recorded.clear();
        self.in_flight.clear();
    }

    fn hand_over(&mut self, seed: u64) {
        let successor = Scheduler::new(self.bench.settings.clone(), seed);
        self.bench.scheduler = std::mem::take(&mut self.bench.scheduler).resumed(successor);
    }

    /// Finishes one of the attempts in flight. Each endpoint has phases in which most of them fail.
    fn finish_one(&mut self, step: u32) {
        let StartedAttempt { message, endpoint, .. } =
            self.in_flight.swap_remove(self.rng.usize(..self.in_flight.len()));
        let is_failing = (step / 100 + endpoint).is_multiple_of(3);
        let outcome =
            if is_failing { OUTCOMES[self.rng.usize(..OUTCOMES.len())] } else { AttemptOutcome::Delivered };
        self.bench.finish(message, endpoint, outcome, ms(20));
    }

    /// Applies the reported changes to `recorded`, as the journal does.
    fn record_changes(&mut self) {
        for CircuitChange { destination, endpoint, record } in self.bench.scheduler.take_circuit_changes() {
            let key = (destination, endpoint);
            match record {
                Some(record) => self.recorded.insert(key, record),
                None => self.recorded.remove(&key),
            };
        }
    }

    /// Returns all circuit records of the scheduler, ordered by destination and endpoint.
    fn circuit_records(&self) -> Vec<CircuitRecord> {
        let mut records: Vec<CircuitRecord> = self.bench.scheduler.circuit_records().collect();
        records.sort_by_key(|record| (record.destination, record.endpoint));
        records
    }
}

/// Returns an endpoint. Each destination has four; every other endpoint is of a kind with limits per endpoint.
fn listed(id: u32, availability: Availability) -> Endpoint {
    Endpoint { kind: DestinationKindId((id % 2) as u16), availability, ..endpoint(id, 1 + (id / 4) as u16) }
}

fn all_ready() -> Vec<Endpoint> {
    (0..ENDPOINTS).map(|id| listed(id, Availability::Ready)).collect()
}

/// After a start, changes add up from no records; after a handover, from the records at that time.
#[test]
fn circuit_changes_add_up_to_the_circuit_records() {
    let mut compared = 0;
    for seed in 0..30 {
        let mut run = Run::new(seed);
        for step in 0..STEPS {
            run.step(step);
            run.record_changes();
            let recorded: Vec<CircuitRecord> = run.recorded.values().copied().collect();
            let all = run.circuit_records();
            assert_eq!(recorded, all, "seed {seed}, step {step}");
            compared += all.len();
        }
    }
    assert!(compared > 0);
}
