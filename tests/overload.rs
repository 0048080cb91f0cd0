//! What all gateways that saw an outage send together must not overload the destination when it recovers: the most that
//! they send in an overload window, relative to what the destination survives, for fleets of several sizes.

mod common;

use common::recovering_fleet::{run, OutageKind, Scenario};
use std::time::Duration;

const BASE: Scenario = Scenario {
    outage: OutageKind::Down,
    fleet_size: 200,
    capacity_per_sec: 60.0,
    announced_ratio: 1.0,
    load: 0.8,
    batch: 1,
    outage_after: Duration::from_secs(6),
    rejections_use_capacity: false,
    seed: 1,
};

/// In every scenario, with a few seeds, the budget is kept, and the fleet does not send next to nothing either.
fn assert_budget_is_kept(scenarios: &[Scenario]) {
    for scenario in scenarios {
        for seed in 1..=3 {
            let observed = run(Scenario { seed, ..*scenario });
            let case = format!(
                "{:?}, {} gateways, {} calls a second, announced {}, batches of {}, load {}, seed {seed}",
                scenario.outage,
                scenario.fleet_size,
                scenario.capacity_per_sec,
                scenario.announced_ratio,
                scenario.batch,
                scenario.load
            );
            let worst = observed.worst_overload;
            let delivered = observed.delivered_ratio;
            assert!(worst <= 1.0, "{case}: {worst:.2} of what it survives");
            assert!(delivered * scenario.load > 0.05, "{case}: only {delivered:.2} delivered");
        }
    }
}

/// Gateways that were all given the same Retry-After must not return at that moment.
#[test]
fn a_retry_after_gathers_no_herd() {
    let base = Scenario { outage: OutageKind::RejectsWithRetryAfter, ..BASE };
    let small = Scenario { capacity_per_sec: 20.0, ..base };
    let tiny = Scenario { capacity_per_sec: 6.0, ..base };
    let few_gateways = Scenario { fleet_size: 20, ..small };
    let high_load = Scenario { load: 1.5, ..base };
    assert_budget_is_kept(&[base, small, tiny, few_gateways, high_load]);
}

/// Queues at many gateways must not set their slowest rates after rejections, as these add up.
#[test]
fn rejections_without_retry_after_slow_all_down() {
    let base = Scenario { outage: OutageKind::Rejects, ..BASE };
    let small = Scenario { capacity_per_sec: 20.0, ..base };
    let tiny = Scenario { capacity_per_sec: 12.0, ..base };
    let highest_load = Scenario { load: 4.0, ..small };
    let high_load = Scenario { load: 1.5, ..base };
    let batches = Scenario { batch: 20, ..base };
    assert_budget_is_kept(&[base, small, tiny, highest_load, high_load, batches]);
}

/// Probe budgets go by what was served and not by demand, which can be many times the limit.
#[test]
fn probes_and_slow_starts_share_one_budget() {
    for outage in [OutageKind::Down, OutageKind::Unresponsive] {
        let base = Scenario { outage, ..BASE };
        let high_load = Scenario { load: 1.5, ..base };
        let highest_load = Scenario { load: 4.0, capacity_per_sec: 20.0, ..base };
        let announced_too_high = Scenario { announced_ratio: 1.5, ..base };
        let tiny = Scenario { capacity_per_sec: 6.0, ..base };
        let few_gateways = Scenario { fleet_size: 20, capacity_per_sec: 20.0, ..base };
        let batches = Scenario { batch: 20, ..base };
        assert_budget_is_kept(&[
            base,
            high_load,
            highest_load,
            announced_too_high,
            tiny,
            few_gateways,
            batches,
        ]);
    }
}
