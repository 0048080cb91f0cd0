//! Classes of message: how often and for how long one may be sent again, and what its delivery is worth.

use std::time::Duration;

/// What sending a message a second time does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be repeated at any time.
    Idempotent,
    /// Nothing, within the class's [`DeduplicationScope`] and [`Class::idempotency_window`], as it goes under
    /// the same idempotency key.
    IdempotentWithKey,
    /// It takes effect once more: a message that may have run is not sent again.
    NonIdempotent,
}

/// Which endpoints of a destination recognize an idempotency key that one of them has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    Destination,
    /// Those in the zone of the first attempt that may have run.
    Zone,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// A message delivered within this time after it was enqueued has its full value.
    pub latency_objective: Duration,
    /// How long after it was enqueued a message may be delivered at all.
    pub deadline: Duration,
    /// What sending a message a second time does.
    pub idempotency: Idempotency,
    /// With [`Idempotency::IdempotentWithKey`]: which endpoints recognize a repeated key.
    pub deduplication_scope: DeduplicationScope,
    /// With [`Idempotency::IdempotentWithKey`]: how long after the first attempt that may have run a key is
    /// recognized.
    pub idempotency_window: Duration,
    /// Messages with one [`OrderingKey`](super::OrderingKey) are delivered one at a time, in the order of
    /// acceptance.
    pub is_ordered: bool,
    /// Value of a message that is delivered within its latency objective.
    pub priority_weight: f64,
    /// Ratio of the value that is left at the deadline, from 0 to 1; see [`Decay`].
    pub late_value_ratio: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: Duration::from_secs(3),
            deadline: Duration::from_secs(20),
            idempotency: Idempotency::IdempotentWithKey,
            deduplication_scope: DeduplicationScope::Destination,
            idempotency_window: Duration::from_secs(10),
            is_ordered: false,
            priority_weight: 1.0,
            late_value_ratio: 0.5,
        }
    }
}

/// How the value of a message falls once its latency objective has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to [`Class::late_value_ratio`] at the deadline.
    Linear,
    /// By half with each further latency objective, but not below [`Class::late_value_ratio`].
    Halving,
}
