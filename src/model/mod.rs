//! The types of the scheduler's interface: its input ([`Event`]), its output ([`Action`]) and its
//! configuration ([`Settings`]). No decision is made here.

mod action;
mod attempt;
mod circuit;
mod class;
mod endpoint;
mod event;
mod ids;
mod message;
mod settings;
mod time;

pub use action::Action;
pub use attempt::{AttemptOutcome, FinishedAttempt, LoadReport};
pub use circuit::{CircuitChange, CircuitRecord, RouteStatus};
pub use class::{Class, Decay, DeduplicationScope, Idempotency};
pub use endpoint::{Availability, Endpoint, EndpointUpdate};
pub use event::Event;
pub use ids::{
    ClassId, DestinationId, DestinationKindId, EndpointId, MessageId, OrderingKey, TenantId, ZoneId,
};
pub use message::{AcceptedMessage, RestoredMessage, SentAttempt};
pub use settings::{CapacityHints, DeliveryLimits, DestinationKind, Settings, Tenant};
pub use time::Time;
