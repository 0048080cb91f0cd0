//! The messages that the gateway's tasks exchange. The event loop owns all state; every other part sends it a
//! [`GatewayEvent`] and is answered over the channel that the event carries, or by what the event loop sends it.
//!
//! Types only: each part imports this module, and none of them imports another one's.

use bytes::Bytes;
use delivery_gateway::discovery::WatchEvent;
use delivery_gateway::{AttemptOutcome, EndpointId, LoadReport, MessageId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use crate::journal::FinalOutcome;

/// What happens, from all the other parts.
pub enum GatewayEvent {
    Enqueue(EnqueueRequest, oneshot::Sender<EnqueueReply>),
    /// A client was gone before it could be told that its message was taken on, by its own hand-in.
    AcceptanceNotReceived(MessageId),
    /// News of the list of endpoints, or of the watch on it.
    Discovery(WatchEvent),
    /// What became of the messages of one call.
    CallEnded {
        endpoint: EndpointId,
        messages: Vec<MessageId>,
        result: CallResult,
    },
    /// The platform has these notices.
    OutcomesAcknowledged(Vec<MessageId>),
    /// A call of the operators, and where its answer goes.
    Admin(AdminOperation, oneshot::Sender<AdminResult>),
    Terminate,
}

/// How the courier stands to its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServicePhase {
    Serving,
    /// Operators are emptying it: `PING` is answered no, connections end between two requests.
    LameDuck,
    /// The process is about to end: connections end between two requests.
    ShuttingDown,
    /// Another process takes its place: connections move there between two bytes.
    HandingOver,
}

/// Where the other parts are reached.
#[derive(Clone)]
pub struct Channels {
    /// What happens to this part, also by its own doing.
    pub events: UnboundedSender<GatewayEvent>,
    pub notifications: UnboundedSender<OutcomeNotification>,
    /// The list is to be watched again.
    pub watch: watch::Sender<()>,
    pub phase: watch::Sender<ServicePhase>,
}

/// A message that a client hands in.
#[derive(Debug, PartialEq, Eq)]
pub struct EnqueueRequest {
    pub id: String,
    pub ordering_key: u64,
    pub class: String,
    /// Empty where none is told.
    pub tenant: String,
    pub destination: u32,
    /// How long it may still be delivered.
    pub time_left: Duration,
    pub idempotency_key: Option<String>,
    pub redelivered: bool,
    pub body: Bytes,
}

/// What the client is told.
#[derive(Debug)]
pub enum EnqueueReply {
    /// Taken on by this hand-in, which alone may withdraw it.
    Accepted(MessageId),
    /// The same message is held already.
    AlreadyAccepted,
    Rejected(Option<Duration>),
    Error(&'static str),
}

/// The end of a message that was not delivered, on its way to the platform.
#[derive(Debug)]
pub struct OutcomeNotification {
    pub message: MessageId,
    pub id: String,
    pub final_outcome: FinalOutcome,
}

/// Why a call is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// The module has called it off.
    Cancelled,
    /// It must not be sent any more, and had not been.
    Withdrawn,
}

/// How a call ended for one of its messages.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AttemptResult {
    pub outcome: AttemptOutcome,
    pub latency: Duration,
    /// The message is over.
    pub complete: bool,
    pub load_report: Option<LoadReport>,
}

/// How a call ended: for each of its messages, in their order, and the wait that a whole answer told beside them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResult {
    pub attempts: Vec<AttemptResult>,
    pub retry_after: Option<Duration>,
}

/// What operators ask of the driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminOperation {
    /// Leave an endpoint out, by its uid.
    DisableEndpoint(String),
    EnableEndpoint(String),
    LameDuck(bool),
}

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminResult {
    Done,
    /// Nobody has that id.
    UnknownEndpoint,
    /// It could not be written down, so that it would not hold.
    NotRecorded,
}
