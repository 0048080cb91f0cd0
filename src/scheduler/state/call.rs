//! A call in flight.

use super::route_id::RouteId;
use crate::model::{EndpointId, MessageId, Time, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number of a call; grows from call to call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(u64);

impl CallId {
    /// The number after this one.
    pub fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}

/// A call in flight: it takes one slot and has one outcome, however many messages it carries.
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// The route that it counts for.
    pub route: RouteId,
    /// Where it went.
    pub endpoint: EndpointId,
    /// The zone of that endpoint when it was sent.
    pub zone: ZoneId,
    /// When it was sent.
    pub sent_at: Time,
    /// The messages that it carries.
    pub messages: Vec<MessageId>,
    /// Messages whose attempt has not finished.
    pub unfinished_attempts: usize,
    /// How long its connection had been idle; none on a new or busy one.
    pub connection_idle: Option<Duration>,
    /// It was silent for too long.
    pub is_unresponsive: bool,
    /// Its attempts were cancelled.
    pub is_cancelled: bool,
}
