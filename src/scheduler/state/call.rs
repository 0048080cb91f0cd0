//! A call in flight.

use super::route_id::RouteId;
use crate::model::{EndpointId, MessageId, Time, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A call in flight: it takes one slot and has one outcome, however many messages it carries.
#[derive(Serialize, Deserialize)]
pub struct Call {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub sent_at: Time,
    /// The messages that it carries.
    pub messages: Vec<MessageId>,
    /// Messages whose attempt has not finished.
    pub unfinished: usize,
    /// How long its connection had been idle; none on a new or busy one.
    pub connection_idle: Option<Duration>,
    /// It was silent for too long.
    pub is_unresponsive: bool,
    /// Its attempts were cancelled.
    pub is_cancelled: bool,
}
