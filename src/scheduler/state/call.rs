//! Calls in flight and their ids.

use super::route_id::RouteId;
use crate::model::{EndpointId, MessageId, Time, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number of a call, in the order in which calls are started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(u64);

impl CallId {
    /// Returns the id of the next call.
    pub fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}

/// A call in flight. It takes one slot, however many messages it carries. Its messages may end with different
/// outcomes; the call takes the outcome of the last one to end.
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// The route whose limits the call counts against.
    pub route: RouteId,
    /// The endpoint that the call goes to.
    pub endpoint: EndpointId,
    /// The zone of the endpoint when the call was started.
    pub zone: ZoneId,
    /// When the scheduler started the call. Its connection may have been opened only later.
    pub sent_at: Time,
    /// All messages of the call, also those whose attempt has finished.
    pub messages: Vec<MessageId>,
    /// Number of messages whose attempt has not finished.
    pub unfinished_attempts: usize,
    /// How long the connection had been idle before the call. None if the connection was new, or if another
    /// call to the endpoint was in flight, so that the connection of this one is not certain.
    pub connection_idle_time: Option<Duration>,
    /// Whether the response has been missing for longer than
    /// [`Scheduler::unresponsive_after`](crate::scheduler::Scheduler::unresponsive_after).
    pub is_unresponsive: bool,
    /// Whether the attempts of the call were cancelled.
    pub is_cancelled: bool,
}
