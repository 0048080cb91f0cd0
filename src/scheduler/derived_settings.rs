//! Values that several rules derive from the settings in the same way. None of them is zero, so that they can
//! be divisors.

use crate::model::Settings;
use std::time::Duration;

/// Number of gateways that share the destinations; an even share of a common limit is one over this.
pub fn fleet_size(settings: &Settings) -> f64 {
    f64::from(settings.fleet_size.max(1))
}

/// Shortest latency objective of any class, in seconds; at least a millisecond.
pub fn shortest_objective_secs(settings: &Settings) -> f64 {
    let shortest = settings.classes.iter().map(|class| class.latency_objective).min();
    shortest.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// Shortest deadline of any class, in seconds; at least one second.
pub fn shortest_deadline_secs(settings: &Settings) -> f64 {
    let shortest = settings.classes.iter().map(|class| class.deadline).min();
    shortest.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(1.0)
}

/// Length of a slow start, in seconds; at least one second.
pub fn warm_up_secs(settings: &Settings) -> f64 {
    settings.limits.warm_up.as_secs_f64().max(1.0)
}
