//! The state that the rules share: messages, calls, endpoints, queues, and the indexes over them. It makes no
//! decisions.

pub mod call;
pub mod decaying_rate;
pub mod endpoint;
pub mod latency;
pub mod message;
pub mod queue;
pub mod ready_index;
pub mod route_id;
pub mod value_decay;

pub use call::{Call, CallId};
pub use endpoint::TrackedEndpoint;
pub use latency::LatencyEstimate;
pub use message::{Message, UncertainAttempt};
pub use route_id::RouteId;
pub use value_decay::{RemainingValue, VALUE_STAGES};
