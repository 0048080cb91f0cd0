//! The predecessor's side of a handover: the owner of the state folder listens for a successor and hands over to it. It
//! then relays its clients' connections, the results of its calls in flight and operators' requests until one of the
//! two processes ends.

use std::cell::OnceCell;
use std::collections::{HashMap, HashSet};
use std::fs::{self, File};
use std::io;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::{info, warn};

use delivery_gateway::MessageId;

use super::codec::{split, FrameReader, FrameSender, FrameWriter, Received};
use super::messages::{BeginState, ToPredecessor, ToSuccessor, FORMAT};
use super::timing::{ANSWER_TIMEOUT, CLOSE_GRACE, FLUSH_TIMEOUT, LISTEN_RETRY_DELAY, RETRY_DELAY};
use crate::event_loop::EventLoop;
use crate::events::{AdminResult, EnqueueReply, GatewayEvent};
use crate::resp2::TransferredConnection;

/// The socket on which a successor asks for the handover.
pub struct HandoverListener {
    path: PathBuf,
    /// Empty until the path is bound.
    listener: OnceCell<UnixListener>,
}

impl HandoverListener {
    /// Listens at a path. If that fails, the gateway serves, but no process can take over until
    /// [`next_successor`](Self::next_successor) has bound the path.
    pub fn new(path: &Path) -> Self {
        let listener = HandoverListener { path: path.to_owned(), listener: OnceCell::new() };
        if let Err(error) = listener.bind() {
            warn!(%error, ?path, "no handover is possible: cannot listen for a successor; retrying");
        }
        listener
    }

    /// Waits for a process that asks for the handover. Refuses processes with another message format, and those whose
    /// first message is not a `Hello`. `fingerprint` is that of this process: see
    /// [`state_fingerprint`](super::state_fingerprint).
    pub async fn next_successor(&self, fingerprint: u32) -> SuccessorConnection {
        let listener = self.bound_listener().await;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let (mut reader, writer) = split(stream);
            let hello = timeout(ANSWER_TIMEOUT, reader.next()).await;
            let Ok(Some(Received { message, .. })) = hello else { continue };
            match message {
                ToPredecessor::Hello {
                    format: FORMAT,
                    fingerprint: successor_fingerprint,
                    accepts_reload_requests,
                } => {
                    return SuccessorConnection {
                        has_same_fingerprint: successor_fingerprint == fingerprint,
                        accepts_reload_requests,
                        reader,
                        writer,
                    };
                }
                _ => {
                    warn!("refused a handover: the first message is not a hello in this message format");
                    refuse(writer).await;
                }
            }
        }
    }

    async fn bound_listener(&self) -> &UnixListener {
        loop {
            if let Some(listener) = self.listener.get() {
                return listener;
            }
            sleep(LISTEN_RETRY_DELAY).await;
            let _ = self.bind();
        }
    }

    /// Binds the path. Replaces a socket that an earlier owner has left there.
    fn bind(&self) -> io::Result<()> {
        match fs::remove_file(&self.path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let _ = self.listener.set(UnixListener::bind(&self.path)?);
        Ok(())
    }
}

/// The connection to a process that has asked for the handover.
pub struct SuccessorConnection {
    /// Whether it has the same fingerprint. It then continues from a handover snapshot, and this process finishes its
    /// calls in flight.
    pub has_same_fingerprint: bool,
    accepts_reload_requests: bool,
    reader: FrameReader,
    writer: FrameWriter,
}

/// The result of a handover for the predecessor.
pub enum HandoverResult {
    /// Nothing was handed over. This process continues, and the other one asks again.
    Refused,
    /// This process exits, because its shutdown was requested. The successor owns the state folder, unless it has ended
    /// as well.
    Completed,
    /// The handover failed, or the successor has ended before a shutdown of this process was requested. This process
    /// continues, and handles these events, which arrived meanwhile.
    Reverted(Vec<GatewayEvent>),
}

impl SuccessorConnection {
    /// Refuses the handover.
    pub async fn refuse(self) {
        refuse(self.writer).await;
    }

    /// Hands over, and relays clients' connections, the results of the calls in flight and operators' requests. Returns
    /// when this process may exit or the successor has ended. All events that have arrived must have been handled
    /// before. The event loop makes no decisions meanwhile.
    pub async fn hand_over(
        self,
        event_loop: &mut EventLoop,
        events: &mut UnboundedReceiver<GatewayEvent>,
        transferred: &mut UnboundedReceiver<TransferredConnection>,
        listener: &TcpListener,
        lock: &File,
    ) -> HandoverResult {
        if let Err(error) = self.begin(event_loop, listener, lock) {
            warn!(%error, "cannot hand over: this process continues to serve");
            return HandoverResult::Reverted(Vec::new());
        }
        event_loop.pause_idle_connections();
        info!("handing over to another process");
        let SuccessorConnection { mut reader, writer, accepts_reload_requests, .. } = self;
        let mut relay = Relay::new(event_loop, writer.sender(), accepts_reload_requests);
        let end = relay.run(&mut reader, events, transferred).await;
        match end {
            RelayEnd::ShutDown => {
                drop(relay.successor);
                writer.finish().await;
                HandoverResult::Completed
            }
            RelayEnd::SuccessorEndedInShutdown => HandoverResult::Completed,
            RelayEnd::SuccessorEnded => {
                sleep(CLOSE_GRACE).await;
                HandoverResult::Reverted(relay.retained_events)
            }
        }
    }

    /// Sends the state, the listener and the lock. The successor then owns the state folder.
    fn begin(&self, event_loop: &mut EventLoop, listener: &TcpListener, lock: &File) -> io::Result<()> {
        let state = if self.has_same_fingerprint {
            BeginState::Snapshot(event_loop.handover_snapshot().map_err(io::Error::other)?)
        } else {
            BeginState::Constraints(event_loop.carried_over_constraints())
        };
        let descriptors = vec![listener.as_fd().try_clone_to_owned()?, lock.try_clone()?.into()];
        self.writer.sender().send_with(&ToSuccessor::Begin(state), descriptors);
        Ok(())
    }
}

async fn refuse(writer: FrameWriter) {
    writer.sender().send(&ToSuccessor::Refused);
    writer.finish().await;
}

/// The reason why the relay has ended.
enum RelayEnd {
    /// A shutdown of this process was requested. Its calls and its clients' open requests have ended, or were ended at
    /// the exit deadline.
    ShutDown,
    /// The successor has ended, and a shutdown of this process was requested as well.
    SuccessorEndedInShutdown,
    /// The successor has ended, and no shutdown of this process was requested.
    SuccessorEnded,
}

/// Relays events between this process and the successor after the handover.
struct Relay<'a> {
    event_loop: &'a mut EventLoop,
    successor: FrameSender,
    accepts_reload_requests: bool,
    /// The messages of the calls in flight in this process.
    in_flight: HashSet<MessageId>,
    /// Events that this process handles if the successor ends early.
    retained_events: Vec<GatewayEvent>,
    /// The reply channels of operators' requests that the successor has not answered yet, by request number.
    admin_replies: HashMap<u64, oneshot::Sender<AdminResult>>,
    last_request_number: u64,
    /// Whether the exit deadline has passed: the calls that were in flight have been aborted, and clients' connections
    /// are being closed.
    has_ended_service: bool,
}

impl<'a> Relay<'a> {
    fn new(event_loop: &'a mut EventLoop, successor: FrameSender, accepts_reload_requests: bool) -> Self {
        Relay {
            in_flight: event_loop.in_flight_messages(),
            event_loop,
            successor,
            accepts_reload_requests,
            retained_events: Vec::new(),
            admin_replies: HashMap::new(),
            last_request_number: 0,
            has_ended_service: false,
        }
    }

    async fn run(
        &mut self,
        reader: &mut FrameReader,
        events: &mut UnboundedReceiver<GatewayEvent>,
        transferred: &mut UnboundedReceiver<TransferredConnection>,
    ) -> RelayEnd {
        loop {
            let deadline = self.event_loop.exit_deadline();
            if deadline.is_some_and(|deadline| self.can_exit(deadline)) {
                while let Ok(connection) = transferred.try_recv() {
                    self.send_client(connection);
                }
                return RelayEnd::ShutDown;
            }
            let wake_at = deadline.map(|at| if self.has_ended_service { at + FLUSH_TIMEOUT } else { at });
            // The disabled branch of `select!` needs a time, which is never waited for.
            let unused = Instant::now() + ANSWER_TIMEOUT;
            let awaits_clients = self.event_loop.has_open_requests();
            let mut open_requests = self.event_loop.open_requests();
            tokio::select! {
                biased;
                received = reader.next() => match received {
                    Some(Received { message, .. }) => self.handle_message(message),
                    None if deadline.is_some() => return RelayEnd::SuccessorEndedInShutdown,
                    None => return RelayEnd::SuccessorEnded,
                },
                Some(connection) = transferred.recv() => self.send_client(connection),
                Some(event) = events.recv() => self.handle_event(event),
                _ = open_requests.wait_for(|open| *open == 0), if awaits_clients => {}
                () = sleep_until(wake_at.unwrap_or(unused)), if wake_at.is_some() => {
                    self.has_ended_service = true;
                    self.event_loop.abort_calls_without_waiting();
                    self.event_loop.close_clients();
                }
            }
        }
    }

    /// Returns whether this process may exit: its calls have ended, and no client's request is open. Connections with
    /// open requests are transferred, or closed after the reply at the latest from the exit deadline on.
    fn can_exit(&self, deadline: Instant) -> bool {
        let is_idle = self.in_flight.is_empty() && !self.event_loop.has_open_requests();
        is_idle || Instant::now() > deadline + FLUSH_TIMEOUT
    }

    fn handle_message(&mut self, message: ToPredecessor) {
        match message {
            ToPredecessor::CancelCall { message, reason } => self.event_loop.cancel_call(message, reason),
            ToPredecessor::AdminResult { request, result } => {
                if let Some(reply) = self.admin_replies.remove(&request) {
                    let _ = reply.send(result);
                }
            }
            ToPredecessor::Hello { .. } => {}
        }
    }

    fn send_client(&self, connection: TransferredConnection) {
        let TransferredConnection { stream, buffer, served, time_left, .. } = connection;
        match stream.into_std() {
            Ok(stream) => {
                let message = ToSuccessor::ClientConnection { buffer, served, time_left };
                self.successor.send_with(&message, vec![stream.into()]);
            }
            Err(error) => warn!(%error, "cannot hand over a client connection; closing it"),
        }
    }

    fn handle_event(&mut self, event: GatewayEvent) {
        match event {
            // The client's connection was not transferred in time. Nothing was accepted, so the client may retry at
            // once.
            GatewayEvent::Enqueue(_, reply) => {
                let _ = reply.send(EnqueueReply::Rejected(None));
            }
            GatewayEvent::CallEnded { endpoint, messages, result } => {
                self.in_flight.retain(|message| !messages.contains(message));
                let (retained_messages, retained_result) = (messages.clone(), result.clone());
                self.successor.send(&ToSuccessor::CallEnded { endpoint, messages, result });
                self.retained_events.push(GatewayEvent::CallEnded {
                    endpoint,
                    messages: retained_messages,
                    result: retained_result,
                });
            }
            GatewayEvent::AcceptanceNotReceived(message) => {
                self.successor.send(&ToSuccessor::AcceptanceNotReceived(message));
                self.retained_events.push(GatewayEvent::AcceptanceNotReceived(message));
            }
            // The successor sends the notifications of pending messages itself.
            GatewayEvent::OutcomesAcknowledged(messages) => {
                self.retained_events.push(GatewayEvent::OutcomesAcknowledged(messages));
            }
            GatewayEvent::Admin(operation, reply) => {
                self.last_request_number += 1;
                let request = self.last_request_number;
                self.admin_replies.retain(|_, reply| !reply.is_closed());
                self.admin_replies.insert(request, reply);
                self.successor.send(&ToSuccessor::AdminRequest { request, operation });
            }
            GatewayEvent::Terminate => self.event_loop.handle(GatewayEvent::Terminate),
            GatewayEvent::ReloadRequested if self.accepts_reload_requests => {
                self.successor.send(&ToSuccessor::ReloadConfiguration);
            }
            GatewayEvent::ReloadRequested => {
                warn!("the successor is of an older build: it does not hear of the new configuration");
            }
            // The process that is in service watches the endpoint list anew.
            GatewayEvent::Discovery(_) => {}
        }
    }
}
