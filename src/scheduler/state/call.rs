//! Calls in flight and their ids.

use super::route_id::RouteId;
use crate::model::{EndpointId, MessageId, Time, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number of a call, in the order of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(u64);

impl CallId {
    /// Returns the id of the next call.
    pub fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}

/// A call in flight. It takes one slot and has one outcome, however many messages it carries.
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// The route whose limits the call counts against.
    pub route: RouteId,
    /// The endpoint to which the call was sent.
    pub endpoint: EndpointId,
    /// The zone of the endpoint when the call was sent.
    pub zone: ZoneId,
    /// Time at which the call was started.
    pub sent_at: Time,
    /// All messages of the call, also those whose attempt has finished.
    pub messages: Vec<MessageId>,
    /// Number of messages whose attempt has not finished.
    pub unfinished_attempts: usize,
    /// How long the connection had been idle before the call; none if it was new or busy, or if that is not
    /// certain.
    pub connection_idle: Option<Duration>,
    /// Whether the response has been missing for too long.
    pub is_unresponsive: bool,
    /// Whether the attempts of the call were cancelled.
    pub is_cancelled: bool,
}
