//! What all gateways that saw an outage send together must not overload the destination when it recovers. The tests
//! measure the most that they send in an overload window, as a ratio of what the destination can take without failing
//! again, for fleets of several sizes.

mod common;

use common::recovering_fleet::{run, OutageKind, Scenario};
use std::time::Duration;

const BASE: Scenario = Scenario {
    outage: OutageKind::Down,
    fleet_size: 200,
    capacity_per_sec: 60.0,
    capacity_hint_ratio: 1.0,
    load: 0.8,
    max_batch_size: 1,
    outage_after: Duration::from_secs(6),
    rejections_use_capacity: false,
    seed: 1,
};

/// Asserts that the fleet keeps the budget in every scenario, with three seeds, and does not do so by sending almost
/// nothing.
fn assert_budget_is_kept(scenarios: &[Scenario]) {
    for scenario in scenarios {
        for seed in 1..=3 {
            let observed = run(Scenario { seed, ..*scenario });
            let case = format!(
                "{:?}, {} gateways, {} calls a second, capacity hint {} of that, batches of {}, load {}, seed {seed}",
                scenario.outage,
                scenario.fleet_size,
                scenario.capacity_per_sec,
                scenario.capacity_hint_ratio,
                scenario.max_batch_size,
                scenario.load
            );
            let max_overload = observed.max_overload;
            let delivered = observed.delivered_ratio;
            assert!(max_overload <= 1.0, "{case}: {max_overload:.2} of what the destination can take");
            assert!(delivered * scenario.load > 0.05, "{case}: only {delivered:.2} delivered");
        }
    }
}

/// All gateways get a Retry-After that ends at the same moment. If they all called then, they would overload the
/// destination.
#[test]
fn gateways_with_the_same_retry_after_do_not_return_together() {
    let base = Scenario { outage: OutageKind::RejectsWithRetryAfter, ..BASE };
    let small = Scenario { capacity_per_sec: 20.0, ..base };
    let tiny = Scenario { capacity_per_sec: 6.0, ..base };
    let few_gateways = Scenario { fleet_size: 20, ..small };
    let high_load = Scenario { load: 1.5, ..base };
    assert_budget_is_kept(&[base, small, tiny, few_gateways, high_load]);
}

/// The lowest rates of all gateways after rejections add up: if they grew with the queues, they would exceed the
/// budget.
#[test]
fn rejections_without_retry_after_slow_down_all_gateways() {
    let base = Scenario { outage: OutageKind::Rejects, ..BASE };
    let small = Scenario { capacity_per_sec: 20.0, ..base };
    let tiny = Scenario { capacity_per_sec: 12.0, ..base };
    let highest_load = Scenario { load: 4.0, ..small };
    let high_load = Scenario { load: 1.5, ..base };
    let batches = Scenario { max_batch_size: 20, ..base };
    assert_budget_is_kept(&[base, small, tiny, highest_load, high_load, batches]);
}

/// Half-open probes and slow starts follow what was served before, not demand, which can be many times the limit.
#[test]
fn probes_and_slow_starts_share_one_budget() {
    for outage in [OutageKind::Down, OutageKind::Unresponsive] {
        let base = Scenario { outage, ..BASE };
        let high_load = Scenario { load: 1.5, ..base };
        let highest_load = Scenario { load: 4.0, capacity_per_sec: 20.0, ..base };
        let high_capacity_hint = Scenario { capacity_hint_ratio: 1.5, ..base };
        let tiny = Scenario { capacity_per_sec: 6.0, ..base };
        let few_gateways = Scenario { fleet_size: 20, capacity_per_sec: 20.0, ..base };
        let batches = Scenario { max_batch_size: 20, ..base };
        assert_budget_is_kept(&[
            base,
            high_load,
            highest_load,
            high_capacity_hint,
            tiny,
            few_gateways,
            batches,
        ]);
    }
}
