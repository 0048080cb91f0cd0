//! What all gateways that saw an outage send together must not overload the destination when it comes back:
//! the most that they send in an overload window, relative to what the destination survives, for fleets of
//! several sizes.

mod common;

use common::recovering_fleet::{live_through, OutageKind, Plan};
use std::time::Duration;

const CROWD: Plan = Plan {
    outage: OutageKind::Down,
    fleet_size: 200,
    capacity: 60.0,
    told: 1.0,
    load: 0.8,
    batch: 1,
    quiet: Duration::from_secs(6),
    counted: false,
    seed: 1,
};

/// Every plan, with a few seeds, stays inside the budget, and the fleet is not starved either.
fn keeps_budget(plans: &[Plan]) {
    for plan in plans {
        for seed in 1..=3 {
            let seen = live_through(Plan { seed, ..*plan });
            let case = format!(
                "{:?}, {} couriers, {} calls a second, told {}, batches of {}, load {}, seed {seed}",
                plan.outage, plan.fleet_size, plan.capacity, plan.told, plan.batch, plan.load
            );
            assert!(seen.worst <= 1.0, "{case}: {:.2} of what it survives", seen.worst);
            assert!(seen.delivered * plan.load > 0.05, "{case}: only {:.2} delivered", seen.delivered);
        }
    }
}

/// Gateways that were all given the same Retry-After must not come back at that moment.
#[test]
fn a_retry_after_gathers_no_herd() {
    let told = Plan { outage: OutageKind::ShutAndTells, ..CROWD };
    let small = Plan { capacity: 20.0, ..told };
    let tiny = Plan { capacity: 6.0, ..told };
    let few = Plan { fleet_size: 20, ..small };
    keeps_budget(&[told, small, tiny, few, Plan { load: 1.5, ..told }]);
}

/// Queues at many gateways must not set their slowest rates after rejections, as these add up.
#[test]
fn rejections_without_retry_after_slow_all_down() {
    let shut = Plan { outage: OutageKind::Shut, ..CROWD };
    let small = Plan { capacity: 20.0, ..shut };
    let tiny = Plan { capacity: 12.0, ..shut };
    let hot = Plan { load: 4.0, ..small };
    keeps_budget(&[shut, small, tiny, hot, Plan { load: 1.5, ..shut }, Plan { batch: 20, ..shut }]);
}

/// Probe budgets go by what was served and not by demand, which can be many times the limit.
#[test]
fn probes_and_slow_starts_share_one_budget() {
    for outage in [OutageKind::Down, OutageKind::Hung] {
        let out = Plan { outage, ..CROWD };
        let hot = Plan { load: 1.5, ..out };
        let hotter = Plan { load: 4.0, capacity: 20.0, ..out };
        let listed_too_high = Plan { told: 1.5, ..out };
        let tiny = Plan { capacity: 6.0, ..out };
        let few = Plan { fleet_size: 20, capacity: 20.0, ..out };
        keeps_budget(&[out, hot, hotter, listed_too_high, tiny, few, Plan { batch: 20, ..out }]);
    }
}
