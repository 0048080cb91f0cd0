//! The circuit changes that the scheduler reports add up to its circuit records.

mod common;

use common::*;
use delivery_gateway::*;
use std::collections::BTreeMap;
use std::time::Duration;

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

fn listed(id: u32, mode: Availability) -> Endpoint {
    Endpoint { kind: DestinationKindId((id % 2) as u16), mode, ..endpoint(id, 1 + (id / 4) as u16) }
}

/// Changes since a hand-over or a start come on top of all records known then, or of none.
#[test]
fn circuit_changes_add_up_to_the_circuit_records() {
    let mut circuit_records = 0;
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let destination_kinds =
            [false, true].map(|per_endpoint_limits| DestinationKind { batch: 1, per_endpoint_limits });
        let settings = Settings {
            destination_kinds: destination_kinds.into(),
            max_in_flight_calls: 24,
            ..settings(vec![idempotent()])
        };
        let all = |mode| (0..16).map(|id| listed(id, mode)).collect::<Vec<_>>();
        let mut bench = Bench::new(settings.clone(), all(Availability::Ready));
        let mut known = BTreeMap::new();
        let mut out = Vec::new();
        for step in 0..600 {
            bench.now = bench.now + ms(rng.u64(1..200));
            match rng.u32(..40) {
                0 => {
                    let mode =
                        [Availability::Ready, Availability::Draining, Availability::Removed][rng.usize(..3)];
                    let changed = listed(rng.u32(..16), mode);
                    bench.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![changed])));
                }
                1 => bench.handle(Event::EndpointDisabled(EndpointId(rng.u32(..16)))),
                2 | 3 => bench.handle(Event::EndpointEnabled(EndpointId(rng.u32(..16)))),
                4 if step % 5 == 0 => {
                    let before: Vec<CircuitRecord> = bench.scheduler.circuit_records().collect();
                    bench.restart(settings.clone(), step.into(), all(Availability::Ready));
                    before.into_iter().for_each(|outage| bench.handle(Event::CircuitRestored(outage)));
                    (known, out) = (BTreeMap::new(), Vec::new());
                }
                5 if step % 5 == 0 => {
                    let fresh = Scheduler::new(settings.clone(), step.into());
                    bench.scheduler = std::mem::take(&mut bench.scheduler).resumed(fresh);
                }
                6..20 => bench.accept(step, 0, rng.u16(1..5), None),
                _ if !out.is_empty() => {
                    let StartedAttempt { message, endpoint, .. } = out.swap_remove(rng.usize(..out.len()));
                    // Each endpoint has its intervals of failure.
                    let bad = (step / 100 + endpoint) % 3 == 0;
                    let outcome =
                        if bad { OUTCOMES[rng.usize(..OUTCOMES.len())] } else { AttemptOutcome::Delivered };
                    bench.finish(message, endpoint, outcome, ms(20));
                }
                _ => {}
            }
            out.extend(bench.start_attempts());
            for CircuitChange { destination, endpoint, record: outage } in
                bench.scheduler.take_circuit_changes()
            {
                match outage {
                    Some(outage) => drop(known.insert((destination, endpoint), outage)),
                    None => drop(known.remove(&(destination, endpoint))),
                }
            }
            let mut all: Vec<CircuitRecord> = bench.scheduler.circuit_records().collect();
            all.sort_by_key(|outage| (outage.destination, outage.endpoint));
            assert_eq!(known.values().copied().collect::<Vec<_>>(), all, "seed {seed}, step {step}");
            circuit_records += all.len();
        }
    }
    assert!(circuit_records > 0);
}
