//! The delivery gateway's scheduler, and the code that the programs around it share: the configuration
//! parser, the client of the endpoint list ([`discovery`]) and socket helpers ([`socket`]).
//!
//! [`Scheduler`] decides which message goes to which endpoint, and when. It receives events ([`Event`]) and
//! returns what to do ([`Action`]). It performs no I/O, reads no clock and has no shared state: the seed is
//! its only source of randomness, and the caller passes the time. In each step the caller passes the events
//! that have occurred to [`Scheduler::handle`], and then calls [`Scheduler::decide`] once.
//!
//! ```
//! use delivery_gateway::{AcceptedMessage, Action, Availability, Class, Endpoint, EndpointUpdate, Event};
//! use delivery_gateway::{ClassId, DestinationId, DestinationKindId, EndpointId, MessageId, TenantId};
//! use delivery_gateway::{Idempotency, Scheduler, Settings, Time, ZoneId};
//! use std::time::Duration;
//!
//! let class = Class { idempotency: Idempotency::NonIdempotent, ..Class::default() };
//! let settings = Settings { classes: vec![class], fleet_size: 1, ..Settings::default() };
//! let mut scheduler = Scheduler::new(settings, 7);
//! let now = Time::ZERO + Duration::from_secs(1);
//! scheduler.handle(now, Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![Endpoint {
//!     id: EndpointId(11), zone: ZoneId(0), kind: DestinationKindId(0), destination: DestinationId(3),
//!     availability: Availability::Ready, capacity_hint: 10.0,
//! }])));
//! scheduler.handle(now, Event::MessageAccepted(AcceptedMessage {
//!     id: MessageId(1), class: ClassId(0), destination: DestinationId(3), key: None,
//!     deadline: now + Duration::from_secs(20), is_redelivered: false, tenant: TenantId(0),
//! }));
//! let mut actions = Vec::new();
//! scheduler.decide(now, &mut actions);
//! assert!(matches!(
//!     actions[0],
//!     Action::StartAttempt { message: MessageId(1), endpoint: EndpointId(11), .. }
//! ));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
pub mod discovery;
mod model;
mod scheduler;
pub mod socket;

pub use config::{settings_from_json, settings_from_lines, ParsedSettings, SettingError};
pub use model::*;
pub use scheduler::{Scheduler, WorkCounters, WATCH_RESPONSE_TIMEOUT};
