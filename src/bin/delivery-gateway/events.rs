//! The messages that the gateway's tasks exchange. The event loop owns all state; every other part sends it a
//! [`GatewayEvent`] and is answered over the channel that the event carries, or by what the event loop sends it.
//!
//! Types only. The parts that accept connections, and the tasks that make calls, import this module and not the event
//! loop, which owns the journal and the connection pool and calls these directly.

use bytes::Bytes;
use delivery_gateway::discovery::WatchEvent;
use delivery_gateway::{AttemptOutcome, EndpointId, LoadReport, MessageId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use crate::journal::FinalOutcome;

/// What happens in the parts around the event loop.
pub enum GatewayEvent {
    /// A client's request, and where its reply goes.
    Enqueue(EnqueueRequest, oneshot::Sender<EnqueueReply>),
    /// A client left before the reply that its request was accepted reached it.
    AcceptanceNotReceived(MessageId),
    /// The endpoint list, or the watch on it, has changed.
    Discovery(WatchEvent),
    /// A call has ended, for all of its messages.
    CallEnded { endpoint: EndpointId, messages: Vec<MessageId>, result: CallResult },
    /// The platform has the notifications of these messages.
    OutcomesAcknowledged(Vec<MessageId>),
    /// An operator's request, and where its result goes.
    Admin(AdminOperation, oneshot::Sender<AdminResult>),
    /// The process is to end (SIGTERM).
    Terminate,
}

/// What the gateway does with its clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServicePhase {
    Serving,
    /// Operators are draining it: `PING` is refused, and connections are closed between two requests.
    LameDuck,
    /// The process is about to end: connections are closed between two requests.
    ShuttingDown,
    /// Another process takes over: connections move there between two bytes.
    HandingOver,
}

impl ServicePhase {
    /// The phase of a gateway that is neither ending nor handed over.
    pub fn in_service(is_lame_duck: bool) -> Self {
        if is_lame_duck {
            ServicePhase::LameDuck
        } else {
            ServicePhase::Serving
        }
    }
}

/// What the event loop sends to.
#[derive(Clone)]
pub struct Channels {
    /// To the event loop itself, for the tasks that it spawns.
    pub events: UnboundedSender<GatewayEvent>,
    /// To the task that sends notifications.
    pub notifications: UnboundedSender<OutcomeNotification>,
    /// Asks for the endpoint list to be watched again.
    pub watch: watch::Sender<()>,
    /// To the tasks that serve clients and operators.
    pub phase: watch::Sender<ServicePhase>,
}

/// A message that a client asks the gateway to deliver.
#[derive(Debug, PartialEq, Eq)]
pub struct EnqueueRequest {
    /// Chosen by the client, and unique to the message.
    pub id: String,
    /// Messages of one key are delivered in order; zero where the class has no order.
    pub ordering_key: u64,
    /// By name.
    pub class: String,
    /// By name; empty where the client names none.
    pub tenant: String,
    /// The destination's number.
    pub destination: u32,
    /// How long it may still be delivered.
    pub time_left: Duration,
    /// What endpoints recognize a retry by.
    pub idempotency_key: Option<String>,
    /// The client may have given the message to another gateway before.
    pub is_redelivered: bool,
    /// What is delivered.
    pub body: Bytes,
}

/// The reply to an [`EnqueueRequest`].
#[derive(Debug)]
pub enum EnqueueReply {
    /// The message is accepted for this request, which alone may withdraw it.
    Accepted(MessageId),
    /// The same message was accepted for an earlier request.
    AlreadyAccepted,
    /// Not accepted; the client should wait this long before it tries again, if given.
    Rejected(Option<Duration>),
    /// Not accepted, and it is no use to ask again.
    Error(&'static str),
}

/// The final outcome of a message that was not delivered, for the platform.
#[derive(Debug)]
pub struct OutcomeNotification {
    /// The gateway's number of the message.
    pub message: MessageId,
    /// The client's id of it.
    pub id: String,
    /// What the platform is told.
    pub final_outcome: FinalOutcome,
}

/// Why a call is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// The scheduler wants no more of it.
    Cancelled,
    /// It must not be sent any more, and has not been.
    Withdrawn,
}

/// How a call ended for one of its messages.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AttemptResult {
    /// What became of the attempt.
    pub outcome: AttemptOutcome,
    /// Time since the attempt was sent.
    pub latency: Duration,
    /// The message is completed, and needs no notification.
    pub completes_message: bool,
    /// What the endpoint reported of its capacity.
    pub load_report: Option<LoadReport>,
}

/// How a call ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResult {
    /// For each of its messages, in their order.
    pub attempts: Vec<AttemptResult>,
    /// The `Retry-After` of a response that answered the messages all the same.
    pub retry_after: Option<Duration>,
}

/// What operators ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminOperation {
    /// Give an endpoint, named by its uid, nothing new.
    DisableEndpoint(String),
    /// Use it again.
    EnableEndpoint(String),
    /// Drain the gateway, or put it back into service.
    LameDuck(bool),
}

/// What became of an [`AdminOperation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminResult {
    Done,
    /// No endpoint has that uid.
    UnknownEndpoint,
    /// It could not be recorded, and is not in force.
    NotRecorded,
}
