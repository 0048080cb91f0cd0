//! The successor's side of a handover: a new process becomes the owner of the state folder, and handles the
//! predecessor's messages until the predecessor has ended.

use bytes::Bytes;
use delivery_gateway::socket::is_transient;
use delivery_gateway::{AttemptOutcome, EndpointId, MessageId};
use std::collections::HashMap;
use std::fs::{File, TryLockError};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UnixStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::codec::{split, FrameReader, FrameSender, FrameWriter, Received};
use super::error::HandoverError;
use super::messages::{BeginState, ToPredecessor, ToSuccessor, FORMAT};
use super::timing::{ANSWER_TIMEOUT, CALL_DRAIN_TIMEOUT, CLOSE_GRACE, RETRY_DELAY};
use crate::event_loop::{CarriedOverConstraints, HandoverSnapshot};
use crate::events::{
    AdminOperation, AttemptResult, CallResult, GatewayEvent, ReloadReason, ReloadRequests, StopReason,
};
use crate::resp2::{ClientServer, TransferredConnection};

/// The state and the resources that the predecessor has handed over.
pub struct HandedOver {
    pub state: HandedOverState,
    /// The socket on which clients connect.
    pub listener: TcpListener,
    /// The lock file of the state folder, which is locked.
    pub lock: File,
    /// The connection to the predecessor, which may still have calls in flight.
    pub predecessor: PredecessorConnection,
}

/// The state that the successor continues from, in addition to the journal.
pub enum HandedOverState {
    /// The predecessor's state. Both processes have the same fingerprint.
    Snapshot(Box<HandoverSnapshot>),
    /// Constraints from a predecessor with another fingerprint, which has finished or aborted its calls.
    Constraints(CarriedOverConstraints),
}

/// Becomes the owner of a state folder: at once if it has no owner, otherwise as soon as the owner hands over or ends.
/// `socket` is the path on which the owner listens. Returns None if there is no owner, or if it has ended without a
/// handover. This process then continues from the journal alone.
///
/// # Errors
/// The lock cannot be requested, or the state handed over cannot be used. A retry would fail as well, so this process
/// has to end. The owner detects that and continues.
pub async fn become_owner(
    lock: &File,
    socket: &Path,
    fingerprint: u32,
) -> Result<Option<HandedOver>, HandoverError> {
    let mut has_logged = false;
    loop {
        match lock.try_lock() {
            Ok(()) => return Ok(None),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) if is_transient(&error) => {
                sleep(RETRY_DELAY).await;
                continue;
            }
            Err(TryLockError::Error(error)) => return Err(HandoverError::Lock(error)),
        }
        match request_handover(socket, fingerprint).await {
            Ok(handover) => return handover.into_handed_over().map(Some),
            Err(error) if !has_logged => {
                info!(%error, "another process owns the state folder and does not hand it over yet");
                has_logged = true;
            }
            Err(_) => {}
        }
        sleep(RETRY_DELAY).await;
    }
}

/// A handover that the predecessor has agreed to.
struct AcceptedHandover {
    state: BeginState,
    descriptors: Vec<OwnedFd>,
    reader: FrameReader,
    writer: FrameWriter,
}

async fn request_handover(socket: &Path, fingerprint: u32) -> Result<AcceptedHandover, HandoverError> {
    let stream = UnixStream::connect(socket)
        .await
        .map_err(|source| HandoverError::Connect { path: socket.to_owned(), source })?;
    let (mut reader, writer) = split(stream);
    let hello = ToPredecessor::Hello { format: FORMAT, fingerprint, accepts_reload_requests: true };
    writer.sender().send(&hello);
    let answer = timeout(CALL_DRAIN_TIMEOUT + ANSWER_TIMEOUT, reader.next()).await;
    match answer.map_err(|_| HandoverError::NoAnswer)? {
        Some(Received { message: ToSuccessor::Begin(state), descriptors }) => {
            Ok(AcceptedHandover { state, descriptors, reader, writer })
        }
        Some(_) => Err(HandoverError::Refused),
        None => Err(HandoverError::ConnectionClosed),
    }
}

impl AcceptedHandover {
    fn into_handed_over(self) -> Result<HandedOver, HandoverError> {
        let mut descriptors = self.descriptors.into_iter();
        let (Some(listener), Some(lock)) = (descriptors.next(), descriptors.next()) else {
            return Err(HandoverError::MissingDescriptors);
        };
        let state = match self.state {
            BeginState::Snapshot(bytes) => HandedOverState::Snapshot(Box::new(postcard::from_bytes(&bytes)?)),
            BeginState::Constraints(constraints) => HandedOverState::Constraints(constraints),
        };
        let mut in_flight = HashMap::new();
        if let HandedOverState::Snapshot(snapshot) = &state {
            for call in snapshot.calls() {
                in_flight.extend(call.messages.iter().map(|message| (*message, call.endpoint)));
            }
        }
        let listener = TcpListener::from_std(listener.into()).map_err(HandoverError::Listener)?;
        let predecessor = PredecessorConnection { reader: self.reader, writer: self.writer, in_flight };
        Ok(HandedOver { state, listener, lock: lock.into(), predecessor })
    }
}

/// The connection to the predecessor. It is open until the predecessor ends.
pub struct PredecessorConnection {
    reader: FrameReader,
    writer: FrameWriter,
    /// The messages of the predecessor's calls in flight, and their endpoints.
    in_flight: HashMap<MessageId, EndpointId>,
}

impl PredecessorConnection {
    /// Returns a function that stops a call of the predecessor, which is identified by one of its messages.
    pub fn call_canceller(&self) -> impl Fn(MessageId, StopReason) + Clone + 'static {
        let sender = self.writer.sender();
        move |message, reason| sender.send(&ToPredecessor::CancelCall { message, reason })
    }

    /// Takes over the predecessor's clients, the results of its calls, its operators' requests and its requests to
    /// read the configuration until it has ended. Calls that are still in flight then count as reset, because an
    /// endpoint may have processed them.
    pub async fn follow(
        mut self,
        events: UnboundedSender<GatewayEvent>,
        clients: ClientServer,
        reload: ReloadRequests,
    ) {
        while let Some(Received { message, descriptors }) = self.reader.next().await {
            match message {
                ToSuccessor::ClientConnection { buffer, served, time_left } => {
                    adopt_clients(&clients, descriptors, &buffer, served, time_left);
                }
                ToSuccessor::CallEnded { endpoint, messages, result } => {
                    self.in_flight.retain(|message, _| !messages.contains(message));
                    let _ = events.send(GatewayEvent::CallEnded { endpoint, messages, result });
                }
                ToSuccessor::AcceptanceNotReceived(message) => {
                    let _ = events.send(GatewayEvent::AcceptanceNotReceived(message));
                }
                ToSuccessor::AdminRequest { request, operation } => {
                    answer_admin_request(&events, self.writer.sender(), request, operation);
                }
                ToSuccessor::ReloadConfiguration => reload.request(ReloadReason::PredecessorRequest),
                ToSuccessor::Refused | ToSuccessor::Begin(_) => {}
            }
        }
        reload.request(ReloadReason::PredecessorEnded);
        sleep(CLOSE_GRACE).await;
        info!(broken_calls = self.in_flight.len(), "the previous process has ended");
        for (message, endpoint) in self.in_flight {
            let _ = events.send(broken_call(message, endpoint));
        }
    }
}

fn adopt_clients(
    clients: &ClientServer,
    descriptors: Vec<OwnedFd>,
    buffer: &Bytes,
    served: bool,
    time_left: Duration,
) {
    for descriptor in descriptors {
        match TcpStream::from_std(descriptor.into()) {
            Ok(stream) => clients.adopt(TransferredConnection {
                stream,
                buffer: buffer.clone(),
                served,
                time_left,
                unread_for: Duration::ZERO,
            }),
            Err(error) => {
                warn!(%error, "cannot take over a client connection of the previous process; closing it")
            }
        }
    }
}

/// Passes an operator's request to the event loop, and sends the result to the predecessor.
fn answer_admin_request(
    events: &UnboundedSender<GatewayEvent>,
    predecessor: FrameSender,
    request: u64,
    operation: AdminOperation,
) {
    let (reply, result) = oneshot::channel();
    let _ = events.send(GatewayEvent::Admin(operation, reply));
    tokio::task::spawn_local(async move {
        if let Ok(result) = result.await {
            predecessor.send(&ToPredecessor::AdminResult { request, result });
        }
    });
}

/// Returns the event that ends a call whose process has ended.
fn broken_call(message: MessageId, endpoint: EndpointId) -> GatewayEvent {
    let attempt = AttemptResult {
        outcome: AttemptOutcome::Reset,
        latency: Duration::ZERO,
        completes_message: false,
        load_report: None,
    };
    let result = CallResult { attempts: vec![attempt], retry_after: None };
    GatewayEvent::CallEnded { endpoint, messages: vec![message], result }
}
