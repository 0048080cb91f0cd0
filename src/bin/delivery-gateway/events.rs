//! The types that the gateway's tasks exchange. The event loop owns all state. Every other part sends it a
//! [`GatewayEvent`], and gets the result over the channel in the event or over one of the event loop's [`Channels`].
//!
//! The parts that accept connections and the tasks that make calls import this module instead of the event loop. The
//! event loop owns the journal and the connection pool, and calls them directly.

use bytes::Bytes;
use delivery_gateway::discovery::WatchEvent;
use delivery_gateway::{AttemptOutcome, EndpointId, LoadReport, MessageId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use crate::journal::FinalOutcome;

/// An event that another part sends to the event loop.
pub enum GatewayEvent {
    /// A client's request, and the channel for its reply.
    Enqueue(EnqueueRequest, oneshot::Sender<EnqueueReply>),
    /// A client disconnected before it received the reply that its message was accepted.
    AcceptanceNotReceived(MessageId),
    /// The endpoint list, or the watch on it, has changed.
    Discovery(WatchEvent),
    /// A call has ended for these messages: for all of it, or for those whose latest time to send had passed before it
    /// was sent.
    CallEnded { endpoint: EndpointId, messages: Vec<MessageId>, result: CallResult },
    /// The platform has acknowledged the notifications of these messages.
    OutcomesAcknowledged(Vec<MessageId>),
    /// An operator's request, and the channel for its result.
    Admin(AdminOperation, oneshot::Sender<AdminResult>),
    /// A shutdown was requested (SIGTERM).
    Terminate,
    /// The configuration file may have been replaced. This process reads it by itself; if it has handed over, its
    /// successor has to read it too.
    ReloadRequested,
}

/// The phase of the service, which decides how clients' connections are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServicePhase {
    Serving,
    /// Operators drain the gateway: `PING` is refused, and connections are closed between two requests.
    LameDuck,
    /// The process shuts down: connections are closed between two requests.
    ShuttingDown,
    /// Another process takes over: connections are transferred to it, even with a partly received request.
    HandingOver,
    /// The process ends: each connection is closed once what has arrived on it is answered.
    Closing,
}

impl ServicePhase {
    /// Returns the phase of a gateway that neither shuts down nor hands over.
    pub fn in_service(is_lame_duck: bool) -> Self {
        if is_lame_duck {
            ServicePhase::LameDuck
        } else {
            ServicePhase::Serving
        }
    }
}

/// The channels to which the event loop sends.
#[derive(Clone)]
pub struct Channels {
    /// To the event loop itself; cloned for the tasks that it spawns.
    pub events: UnboundedSender<GatewayEvent>,
    /// To the task that sends notifications.
    pub notifications: UnboundedSender<OutcomeNotification>,
    /// Requests to watch the endpoint list again.
    pub watch: watch::Sender<()>,
    /// To the tasks that serve clients and operators.
    pub phase: watch::Sender<ServicePhase>,
    /// From the tasks that serve clients: the number of connections with an open request. Such a request has been read
    /// in part, or waits for its reply.
    pub open_requests: watch::Receiver<usize>,
}

/// The reason to read the configuration file again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadReason {
    /// This process got SIGHUP.
    Signal,
    /// The predecessor got SIGHUP, or a request from its own predecessor.
    PredecessorRequest,
    /// The predecessor has ended.
    PredecessorEnded,
    /// This process enters service.
    EnteringService,
}

/// Requests to read the configuration file again.
#[derive(Clone)]
pub struct ReloadRequests(UnboundedSender<ReloadReason>);

impl ReloadRequests {
    /// Creates the handle that sends to the task in charge of the file.
    pub fn new(requests: UnboundedSender<ReloadReason>) -> Self {
        ReloadRequests(requests)
    }

    /// Requests that the file is read again.
    pub fn request(&self, reason: ReloadReason) {
        let _ = self.0.send(reason);
    }
}

/// A message that a client asks the gateway to deliver.
#[derive(Debug, PartialEq, Eq)]
pub struct EnqueueRequest {
    /// Chosen by the client, and unique to the message.
    pub id: String,
    /// Messages with the same key are delivered in order. 0 in classes without ordering.
    pub ordering_key: u64,
    /// The name of the class.
    pub class: String,
    /// The name of the tenant; empty if the client names none.
    pub tenant: String,
    /// The destination's number.
    pub destination: u32,
    /// The time until the message's deadline, as the client requests it, less the time for which the request may have
    /// waited unread.
    pub time_left: Duration,
    /// The key by which endpoints recognize a retry.
    pub idempotency_key: Option<String>,
    /// Whether the client may have enqueued the message at another gateway before.
    pub is_redelivered: bool,
    /// The body that is delivered to the endpoint.
    pub body: Bytes,
}

/// The reply to an [`EnqueueRequest`].
#[derive(Debug)]
pub enum EnqueueReply {
    /// The message was accepted for this request. Only this request may withdraw it.
    Accepted(MessageId),
    /// The same message was accepted for an earlier request.
    AlreadyAccepted,
    /// The message was not accepted. The client may retry after this delay, or at once if there is none.
    Rejected(Option<Duration>),
    /// The request failed, and the client should not retry. Contains the error text. The message was not accepted; only
    /// after a failed write may the next process find its record and deliver it.
    Error(&'static str),
}

/// A notification to the platform of the final outcome of a message that was not delivered.
#[derive(Debug)]
pub struct OutcomeNotification {
    /// The number that the gateway gave to the message.
    pub message: MessageId,
    /// The id that the client chose.
    pub id: String,
    pub final_outcome: FinalOutcome,
}

/// The reason to stop a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// The scheduler has cancelled the attempt.
    Cancelled,
    /// The call must not be sent any more, and its first byte has not been sent yet.
    Withdrawn,
}

/// The result of a call for one of its messages.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AttemptResult {
    pub outcome: AttemptOutcome,
    /// The time from the start of the call to the head of its response, or to its end if it has none. Zero if it was
    /// not started.
    pub latency: Duration,
    /// Whether the message is completed and needs no notification.
    pub completes_message: bool,
    /// The endpoint's report of its capacity. None if the response has none.
    pub load_report: Option<LoadReport>,
}

/// The result of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResult {
    /// The result for each of its messages, in the order of the messages.
    pub attempts: Vec<AttemptResult>,
    /// The `Retry-After` of a response, where it applies in addition to those in the outcomes: a batch has a result for
    /// each message, or the body is malformed or late. None if there is none.
    pub retry_after: Option<Duration>,
}

/// A request of an operator at the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminOperation {
    /// Starts no more calls to an endpoint, which is identified by its uid.
    DisableEndpoint(String),
    /// Allows calls to an endpoint again, which is identified by its uid.
    EnableEndpoint(String),
    /// Switches lame duck mode on (true) or off (false).
    LameDuck(bool),
}

/// The result of an [`AdminOperation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminResult {
    Done,
    /// No listed or disabled endpoint has that uid.
    UnknownEndpoint,
    /// The operation could not be recorded in the journal, and has no effect.
    NotRecorded,
}
