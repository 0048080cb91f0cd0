//! The predecessor's side: the owner of the state folder listens for a successor, hands over to it, and relays what
//! happens to its clients and in-flight calls until it ends.

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

/// Where another process may ask for the handover.
pub struct HandoverListener {
    path: PathBuf,
    /// Empty until it could be bound.
    listener: OnceCell<UnixListener>,
}

impl HandoverListener {
    /// Listens at a path. Where that fails the gateway serves all the same, and it is tried again.
    pub fn new(path: &Path) -> Self {
        let listener = HandoverListener { path: path.to_owned(), listener: OnceCell::new() };
        if let Err(error) = listener.bind() {
            warn!(%error, ?path, "no handover is possible: cannot listen for a successor, and it is tried again");
        }
        listener
    }

    /// Waits for a process that asks for the handover.
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
                ToPredecessor::Hello { format: FORMAT, fingerprint: theirs } => {
                    return SuccessorConnection { shares_state: theirs == fingerprint, reader, writer };
                }
                _ => {
                    warn!("refused to hand over to a process that speaks another format");
                    SuccessorConnection { shares_state: false, reader, writer }.refuse().await;
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

    /// Binds the path, in the place of a socket that an earlier owner has left there.
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
    /// It can continue from a handover snapshot, with the calls that are in flight here.
    pub shares_state: bool,
    reader: FrameReader,
    writer: FrameWriter,
}

/// How a handover ended for the predecessor.
pub enum HandoverResult {
    /// Nothing was handed over: this process continues, and the other one asks again.
    Refused,
    /// This process is done.
    Completed,
    /// The successor has ended, and this process had no order to: it continues, and handles these events, which have
    /// arrived meanwhile.
    Reverted(Vec<GatewayEvent>),
}

impl SuccessorConnection {
    /// Says no.
    pub async fn refuse(self) {
        self.writer.sender().send(&ToSuccessor::Refused);
        self.writer.finish().await;
    }

    /// Hands over, and serves the successor with the calls that are in flight here until this process ends. All events
    /// so far must have been handled. The event loop decides nothing meanwhile.
    pub async fn hand_over(
        self,
        event_loop: &mut EventLoop,
        events: &mut UnboundedReceiver<GatewayEvent>,
        transferred: &mut UnboundedReceiver<TransferredConnection>,
        listener: &TcpListener,
        lock: &File,
    ) -> HandoverResult {
        if let Err(error) = self.begin(event_loop, listener, lock) {
            warn!(%error, "cannot hand over: this process continues");
            return HandoverResult::Reverted(Vec::new());
        }
        event_loop.pause_idle_connections();
        info!("handing over to another process");
        let SuccessorConnection { mut reader, writer, .. } = self;
        let mut relay = Relay::new(event_loop, writer.sender());
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
                HandoverResult::Reverted(relay.kept)
            }
        }
    }

    /// Sends the state, the listener and the lock. From then on the successor owns the state folder.
    fn begin(&self, event_loop: &mut EventLoop, listener: &TcpListener, lock: &File) -> io::Result<()> {
        let state = if self.shares_state {
            BeginState::Snapshot(event_loop.handover_snapshot().map_err(io::Error::other)?)
        } else {
            BeginState::Constraints(event_loop.carried_over_constraints())
        };
        let descriptors = vec![listener.as_fd().try_clone_to_owned()?, lock.try_clone()?.into()];
        self.writer.sender().send_with(&ToSuccessor::Begin(state), descriptors);
        Ok(())
    }
}

/// Why there is nothing more to relay.
enum RelayEnd {
    /// This process is to end, and its calls have.
    ShutDown,
    /// The successor has ended, and this process is to end as well.
    SuccessorEndedInShutdown,
    /// The successor has ended.
    SuccessorEnded,
}

/// What the predecessor does after it has handed over.
struct Relay<'a> {
    event_loop: &'a mut EventLoop,
    successor: FrameSender,
    /// The messages of the calls that are in flight here.
    in_flight: HashSet<MessageId>,
    /// Events to be handled here if the successor ends early.
    kept: Vec<GatewayEvent>,
    /// Requests of operators that the successor has not answered.
    admin_requests: HashMap<u64, oneshot::Sender<AdminResult>>,
    last_admin_request: u64,
    /// The calls that were in flight at the exit deadline have been dropped.
    has_dropped_calls: bool,
}

impl<'a> Relay<'a> {
    fn new(event_loop: &'a mut EventLoop, successor: FrameSender) -> Self {
        Relay {
            in_flight: event_loop.in_flight_messages(),
            event_loop,
            successor,
            kept: Vec::new(),
            admin_requests: HashMap::new(),
            last_admin_request: 0,
            has_dropped_calls: false,
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
            if deadline.is_some_and(|deadline| self.may_exit(deadline)) {
                return RelayEnd::ShutDown;
            }
            let wake = deadline.map(|at| if self.has_dropped_calls { at + FLUSH_TIMEOUT } else { at });
            // Never waited for: a timer needs some time where there is no deadline.
            let unused = Instant::now() + ANSWER_TIMEOUT;
            tokio::select! {
                biased;
                received = reader.next() => match received {
                    Some(Received { message, .. }) => self.handle_message(message),
                    None if deadline.is_some() => return RelayEnd::SuccessorEndedInShutdown,
                    None => return RelayEnd::SuccessorEnded,
                },
                Some(connection) = transferred.recv() => self.send_client(connection),
                Some(event) = events.recv() => self.handle_event(event),
                () = sleep_until(wake.unwrap_or(unused)), if wake.is_some() => {
                    self.has_dropped_calls = true;
                    self.event_loop.drop_calls();
                }
            }
        }
    }

    fn may_exit(&self, deadline: Instant) -> bool {
        self.in_flight.is_empty() || Instant::now() > deadline + FLUSH_TIMEOUT
    }

    fn handle_message(&mut self, message: ToPredecessor) {
        match message {
            ToPredecessor::CancelCall { message, reason } => self.event_loop.cancel_call(message, reason),
            ToPredecessor::AdminResult { request, result } => {
                if let Some(reply) = self.admin_requests.remove(&request) {
                    let _ = reply.send(result);
                }
            }
            ToPredecessor::Hello { .. } => {}
        }
    }

    fn send_client(&self, connection: TransferredConnection) {
        let TransferredConnection { stream, buffer, served, time_left: left, .. } = connection;
        match stream.into_std() {
            Ok(stream) => {
                let message = ToSuccessor::ClientConnection { buffer, served, left };
                self.successor.send_with(&message, vec![stream.into()]);
            }
            Err(error) => warn!(%error, "cannot hand over a client connection: closed"),
        }
    }

    fn handle_event(&mut self, event: GatewayEvent) {
        match event {
            // Its connection could not move in time. Nothing was accepted: it may be sent again at once.
            GatewayEvent::Enqueue(_, reply) => {
                let _ = reply.send(EnqueueReply::Rejected(None));
            }
            GatewayEvent::CallEnded { endpoint, messages, result } => {
                self.in_flight.retain(|message| !messages.contains(message));
                let (kept_messages, kept_result) = (messages.clone(), result.clone());
                self.successor.send(&ToSuccessor::CallEnded { endpoint, messages, result });
                self.kept.push(GatewayEvent::CallEnded {
                    endpoint,
                    messages: kept_messages,
                    result: kept_result,
                });
            }
            GatewayEvent::AcceptanceNotReceived(message) => {
                self.successor.send(&ToSuccessor::AcceptanceNotReceived(message));
                self.kept.push(GatewayEvent::AcceptanceNotReceived(message));
            }
            GatewayEvent::OutcomesAcknowledged(messages) => {
                self.kept.push(GatewayEvent::OutcomesAcknowledged(messages));
            }
            GatewayEvent::Admin(operation, reply) => {
                self.last_admin_request += 1;
                let request = self.last_admin_request;
                self.admin_requests.retain(|_, reply| !reply.is_closed());
                self.admin_requests.insert(request, reply);
                self.successor.send(&ToSuccessor::AdminRequest { request, operation });
            }
            GatewayEvent::Terminate => self.event_loop.handle(GatewayEvent::Terminate),
            GatewayEvent::Discovery(_) => {}
        }
    }
}
