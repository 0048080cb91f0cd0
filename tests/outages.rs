//! What the module tells of outages as they change adds up to what it remembers.

mod common;

use common::*;
use delivery_gateway::*;
use std::collections::BTreeMap;
use std::time::Duration;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Full(None),
    Outcome::Full(Some(Duration::from_millis(300))),
];

fn listed(id: u32, mode: Mode) -> Endpoint {
    Endpoint { kind: KindId((id % 2) as u16), mode, ..endpoint(id, 1 + (id / 4) as u16) }
}

/// The changes since a hand-over or a start come on top of all that was known then, or of nothing.
#[test]
fn changes_of_outages_add_up() {
    let mut outages = 0;
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let kinds = [false, true].map(|own_limits| Kind { batch: 1, own_limits });
        let settings = Settings { kinds: kinds.into(), call_slots: 24, ..settings(vec![safe()]) };
        let all = |mode| (0..16).map(|id| listed(id, mode)).collect::<Vec<_>>();
        let mut bench = Bench::new(settings.clone(), all(Mode::Ready));
        let mut known = BTreeMap::new();
        let mut out = Vec::new();
        for step in 0..600 {
            bench.now = bench.now + ms(rng.u64(1..200));
            match rng.u32(..40) {
                0 => {
                    let mode = [Mode::Ready, Mode::Draining, Mode::Gone][rng.usize(..3)];
                    let changed = listed(rng.u32(..16), mode);
                    bench.tell(Event::Listed(Listing::Changes(vec![changed])));
                }
                1 => bench.tell(Event::Detach(EndpointId(rng.u32(..16)))),
                2 | 3 => bench.tell(Event::Attach(EndpointId(rng.u32(..16)))),
                4 if step % 5 == 0 => {
                    let before: Vec<Outage> = bench.courier.outages().collect();
                    bench.restart(settings.clone(), step.into(), all(Mode::Ready));
                    before.into_iter().for_each(|outage| bench.tell(Event::Recalled(outage)));
                    (known, out) = (BTreeMap::new(), Vec::new());
                }
                5 if step % 5 == 0 => {
                    let fresh = Courier::new(settings.clone(), step.into());
                    bench.courier = std::mem::take(&mut bench.courier).resumed(fresh);
                }
                6..20 => bench.accept(step, 0, rng.u16(1..5), None),
                _ if !out.is_empty() => {
                    let (message, endpoint, _): Sent = out.swap_remove(rng.usize(..out.len()));
                    // Each endpoint has its bad spells.
                    let bad = (step / 100 + endpoint) % 3 == 0;
                    let outcome = if bad { OUTCOMES[rng.usize(..OUTCOMES.len())] } else { Outcome::Ok };
                    bench.finish(message, endpoint, outcome, ms(20));
                }
                _ => {}
            }
            out.extend(bench.routes());
            for ChangedOutage { destination, endpoint, outage } in bench.courier.changed_outages() {
                match outage {
                    Some(outage) => drop(known.insert((destination, endpoint), outage)),
                    None => drop(known.remove(&(destination, endpoint))),
                }
            }
            let mut all: Vec<Outage> = bench.courier.outages().collect();
            all.sort_by_key(|outage| (outage.destination, outage.endpoint));
            assert_eq!(known.values().copied().collect::<Vec<_>>(), all, "seed {seed}, step {step}");
            outages += all.len();
        }
    }
    assert!(outages > 0);
}
