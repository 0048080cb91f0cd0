//! Values that several rules derive from the settings in the same way. None of them is zero, so they can be
//! used as divisors.

use crate::model::Settings;
use std::time::Duration;

/// Returns the number of gateways that share the destinations, at least one. An even share of a common limit
/// is the limit divided by this.
pub fn fleet_size(settings: &Settings) -> f64 {
    f64::from(settings.fleet_size.max(1))
}

/// Returns the shortest latency objective of any class, in seconds; at least one millisecond.
pub fn shortest_objective_secs(settings: &Settings) -> f64 {
    let shortest = settings.classes.iter().map(|class| class.latency_objective).min();
    shortest.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// Returns the shortest deadline of any class, in seconds; at least one second.
pub fn shortest_deadline_secs(settings: &Settings) -> f64 {
    let shortest = settings.classes.iter().map(|class| class.deadline).min();
    shortest.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(1.0)
}

/// Returns the length of a slow start, in seconds; at least one second.
pub fn warm_up_secs(settings: &Settings) -> f64 {
    settings.limits.warm_up.as_secs_f64().max(1.0)
}
