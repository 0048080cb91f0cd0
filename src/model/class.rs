//! Message classes: how often and for how long a message may be retried, and how much its delivery is worth.

use std::time::Duration;

/// The effect of sending a message a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No further effect: the message may be sent again at any time.
    Idempotent,
    /// No further effect if the message is sent under the same idempotency key, within the class's
    /// [`DeduplicationScope`] and [`Class::idempotency_window`].
    IdempotentWithKey,
    /// The message takes effect again, so it is not resent after an attempt that may have run.
    NonIdempotent,
}

/// The endpoints of a destination that recognize an idempotency key which one of them has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    Destination,
    /// The endpoints in the zone of the first attempt that may have run.
    Zone,
}

/// The delivery rules of one class of messages. The defaults are those of [`Class::default`].
#[derive(Clone, Debug)]
pub struct Class {
    /// A message delivered within this time after it was enqueued has its full value. Default: 3 s.
    pub latency_objective: Duration,
    /// A message may be delivered until this long after it was enqueued. Default: 20 s.
    pub deadline: Duration,
    /// The effect of sending a message a second time. Default: [`Idempotency::IdempotentWithKey`].
    pub idempotency: Idempotency,
    /// With [`Idempotency::IdempotentWithKey`]: which endpoints recognize a repeated key. Default:
    /// [`DeduplicationScope::Destination`].
    pub deduplication_scope: DeduplicationScope,
    /// With [`Idempotency::IdempotentWithKey`]: how long endpoints recognize a key, from the first attempt
    /// that may have run. Default: 10 s.
    pub idempotency_window: Duration,
    /// Whether messages with the same [`OrderingKey`](super::OrderingKey) are delivered one at a time, in the
    /// order of acceptance. Default: false.
    pub is_ordered: bool,
    /// Value of a message that is delivered within its latency objective, relative to other classes. Default:
    /// 1.
    pub priority_weight: f64,
    /// Ratio of the value that is left at the deadline, from 0 to 1; see [`Decay`]. Default: 0.5.
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

/// How the value of a message falls after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Linearly, down to [`Class::late_value_ratio`] at the deadline.
    Linear,
    /// By half per further latency objective, but not below [`Class::late_value_ratio`].
    Halving,
}
