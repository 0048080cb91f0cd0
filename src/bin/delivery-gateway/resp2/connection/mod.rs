//! Serves one client connection: reads requests and replies to them in order.
//!
//! Only the connection's own task decides that it ends, and only when it owes nothing: between two requests, or within
//! one that has been refused, when nothing more has arrived. An eviction, a time limit, a lame duck and a shutdown ask
//! for that end; what has arrived by then is still served. During a handover the connection is transferred to the
//! successor instead.
//!
//! A request of which a part has been read gets a reply, whatever ends the wait for its rest. If it is refused, its rest
//! is skipped, and the requests behind it are served. Only after malformed RESP2, whose end is unknown, nothing more is
//! served. Each wait ends early when the service phase changes, so that neither a handover nor the end of the process
//! waits for a client.
//!
//! - [`reading`]: reads more of a request, and decides how long to wait for it.
//! - [`refusal`]: refuses the request that is being read.

mod reading;
mod refusal;

use bytes::{Bytes, BytesMut};
use delivery_gateway::socket::{disable_nagle, write_all};
use std::future::ready;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch, SemaphorePermit};
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, Instant};

use self::refusal::{Refusal, SkipOutcome};
use super::codec::{decode_request, Reply, RequestSkipper, RespError};
use super::connection_slots::{ConnectionSlot, ConnectionSlots, ConnectionState};
use crate::events::{EnqueueReply, EnqueueRequest, GatewayEvent, ServicePhase};

/// The number of bytes of a request that are read at once. A longer request waits for a permit for long requests.
const READ_BYTES: usize = 4 << 10;
/// The time limit for the rest of a request: from its first bytes, or from the previous reply if these had arrived
/// before it. Clients wait 400 ms for a reply.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit from a reply to the first bytes of the next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for writing replies. A client that does not read for this long has stopped waiting for its reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The size at which buffered replies to pipelined requests are written.
const MAX_BUFFERED_REPLY_BYTES: usize = 4 << 10;
/// The number of requests of one connection that are served before other connections get their turn.
const REQUESTS_PER_TURN: u32 = 16;

/// A client connection to be served from the state that it is in: a new one, or one transferred between processes
/// during a handover. All replies have been written.
pub struct TransferredConnection {
    pub stream: TcpStream,
    /// The bytes of the next request that have been read.
    pub buffer: Bytes,
    /// Whether at least one request on the connection has had its reply.
    pub served: bool,
    /// The time that is left for the client to send more.
    pub time_left: Duration,
    /// The maximum time for which the first request may have waited unread before the connection was accepted.
    pub unread_for: Duration,
}

/// A client connection in this process.
pub struct ClientConnection {
    /// Where the connection goes during a handover.
    transfers: UnboundedSender<TransferredConnection>,
    /// The number of requests that were answered by this process, plus 1 if its predecessor answered any.
    answered: u32,
    /// The maximum time for which the next request may have waited unread before the connection was accepted.
    unread_for: Duration,
    // Declared before the slot, so that the file descriptor is closed before the slot counts as free.
    stream: TcpStream,
    events: UnboundedSender<GatewayEvent>,
    phase: watch::Receiver<ServicePhase>,
    /// Bytes that have been read and not decoded yet.
    input: BytesMut,
    /// Skips the rest of the request that was refused last. None if all of it has been read.
    skipper: Option<RequestSkipper>,
    /// Encoded replies that have not been written yet.
    output: Vec<u8>,
    slot: ConnectionSlot,
}

/// The result of reading more of a request.
enum ReadOutcome {
    /// Bytes were added to the buffer.
    Data,
    /// The client has closed its side, or has sent nothing more on a connection that is to be closed.
    Closed,
    /// The request is not complete, and its rest is not waited for any longer.
    Refused(Refusal),
    /// The service phase has changed.
    PhaseChanged,
}

/// The reason why no more requests are served on a connection.
enum ServiceEnd {
    /// Nothing is left to be answered, or nobody is left to answer.
    Closed,
    /// The successor continues, with this time limit for the bytes that the client has to send next.
    HandedOver(Instant),
    /// The bytes that were read are not a request, so that the start of the next one is unknown.
    Malformed(RespError),
}

/// The result of waiting for a permit for a long request.
enum PermitOutcome<'a> {
    Acquired(SemaphorePermit<'a>),
    /// No permit was free in time, or another connection needs the slot.
    Unavailable,
    /// The service phase has changed.
    PhaseChanged,
}

/// The result of serving a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ServeOutcome {
    /// The reply was written or buffered.
    Answered,
    /// The event loop has ended, so there is no reply.
    GatewayEnded,
}

impl ClientConnection {
    /// Starts from the state of a new or transferred connection.
    pub fn new(
        transferred: TransferredConnection,
        events: UnboundedSender<GatewayEvent>,
        phase: watch::Receiver<ServicePhase>,
        transfers: UnboundedSender<TransferredConnection>,
        slot: ConnectionSlot,
    ) -> Self {
        ClientConnection {
            transfers,
            answered: u32::from(transferred.served),
            unread_for: transferred.unread_for,
            stream: transferred.stream,
            events,
            phase,
            input: BytesMut::from(transferred.buffer),
            skipper: None,
            output: Vec::new(),
            slot,
        }
    }

    /// Returns the number that identifies the connection in the log. It is unique within the process.
    pub fn number(&self) -> u64 {
        self.slot.number
    }

    /// Serves the connection until it ends. `deadline` is the time limit for the bytes that the client has to send
    /// next: its first request, the rest of a request, or another request.
    ///
    /// # Errors
    /// The connection is broken, or the client did not read a reply within [`WRITE_TIMEOUT`].
    pub async fn run(mut self, deadline: Instant) -> io::Result<()> {
        disable_nagle(&self.stream);
        if !self.input.is_empty() {
            self.slot.set_state(ConnectionState::PartialRequest);
        } else if self.answered > 0 {
            self.slot.set_state(ConnectionState::Idle);
        }
        match self.serve_requests(deadline).await? {
            ServiceEnd::Closed => Ok(()),
            ServiceEnd::HandedOver(deadline) => {
                self.transfer(deadline);
                Ok(())
            }
            ServiceEnd::Malformed(error) => self.refuse_malformed(&error).await,
        }
    }

    /// Serves requests one after the other. Holds a permit only while it reads a long request.
    async fn serve_requests(&mut self, mut deadline: Instant) -> io::Result<ServiceEnd> {
        let slots = self.slot.slots().clone();
        let mut long_request: Option<SemaphorePermit> = None;
        loop {
            match self.skip_refused_request() {
                Ok(SkipOutcome::Ended) => deadline = self.await_next_request(),
                Ok(SkipOutcome::NothingToSkip | SkipOutcome::Incomplete) => {}
                Err(error) => return Ok(ServiceEnd::Malformed(error)),
            }
            match self.next_request() {
                Ok(Some(elements)) => {
                    if self.serve(elements).await? == ServeOutcome::GatewayEnded {
                        return Ok(ServiceEnd::Closed);
                    }
                    if long_request.is_some() && self.input.len() < READ_BYTES {
                        self.free_request_memory();
                        long_request = None;
                    } else if self.input.is_empty() {
                        self.input = BytesMut::new();
                    }
                    deadline = self.await_next_request();
                    continue;
                }
                Ok(None) => {}
                Err(error) => return Ok(ServiceEnd::Malformed(error)),
            }
            self.flush().await?;
            if *self.phase.borrow() == ServicePhase::HandingOver && self.skipper.is_none() {
                return Ok(ServiceEnd::HandedOver(deadline));
            }
            if self.input.len() >= READ_BYTES && long_request.is_none() {
                match self.acquire_permit(&slots, deadline).await {
                    PermitOutcome::Acquired(permit) => long_request = Some(permit),
                    PermitOutcome::Unavailable => deadline = self.refuse(Refusal::Unserved).await?,
                    PermitOutcome::PhaseChanged => {}
                }
                continue;
            }
            let was_between_requests = self.input.is_empty() && self.skipper.is_none();
            match self.read(deadline).await? {
                ReadOutcome::Data if was_between_requests => {
                    deadline = self.await_rest_of_request();
                    self.await_first_readiness().await;
                }
                ReadOutcome::Data | ReadOutcome::PhaseChanged => {}
                ReadOutcome::Closed => return Ok(ServiceEnd::Closed),
                ReadOutcome::Refused(refusal) => {
                    deadline = self.refuse(refusal).await?;
                    long_request = None;
                }
            }
        }
    }

    /// Removes the next complete request from the buffer. None while it is incomplete, or the one before it is skipped.
    fn next_request(&mut self) -> Result<Option<Vec<Bytes>>, RespError> {
        if self.skipper.is_some() {
            return Ok(None);
        }
        decode_request(&mut self.input)
    }

    /// Lets the runtime learn the readiness of a new connection. It reads from one before that, and may not know yet that
    /// the client has closed its side.
    async fn await_first_readiness(&self) {
        if self.answered == 0 {
            yield_now().await;
        }
    }

    /// Frees the memory of a long request that has been decoded, before its reply is waited for. Keeps it if many bytes
    /// follow, which would be copied for each of their requests.
    fn free_long_buffer(&mut self) {
        if self.input.capacity() > READ_BYTES && self.input.len() < READ_BYTES {
            self.free_request_memory();
        }
    }

    /// Frees the memory of a long request, and keeps the bytes that follow it.
    fn free_request_memory(&mut self) {
        self.input = BytesMut::from(self.input.as_ref());
    }

    /// Waits for a permit to read a long request. Does not wait while the process ends.
    async fn acquire_permit<'a>(
        &mut self,
        slots: &'a ConnectionSlots,
        deadline: Instant,
    ) -> PermitOutcome<'a> {
        let is_closing = *self.phase.borrow_and_update() == ServicePhase::Closing;
        tokio::select! {
            biased;
            Ok(permit) = slots.long_requests.acquire() => PermitOutcome::Acquired(permit),
            () = ready(()), if is_closing => PermitOutcome::Unavailable,
            () = sleep_until(deadline) => PermitOutcome::Unavailable,
            () = self.slot.evicted() => PermitOutcome::Unavailable,
            Ok(()) = self.phase.changed() => PermitOutcome::PhaseChanged,
        }
    }

    /// Sets the state after a reply, and returns the deadline of the next request, or of the rest of it.
    fn await_next_request(&self) -> Instant {
        if !self.input.is_empty() {
            return self.await_rest_of_request();
        }
        let deadline = Instant::now() + IDLE_TIMEOUT;
        self.slot.set_state(ConnectionState::Idle);
        deadline
    }

    /// Sets the state within a request, and returns the deadline of the rest of it.
    fn await_rest_of_request(&self) -> Instant {
        let deadline = Instant::now() + PARTIAL_REQUEST_TIMEOUT;
        self.slot.set_state(ConnectionState::PartialRequest);
        deadline
    }

    /// Transfers the connection to the successor.
    fn transfer(self, deadline: Instant) {
        let ClientConnection { stream, transfers, input, answered, slot, unread_for, .. } = self;
        let connection = TransferredConnection {
            stream,
            buffer: input.freeze(),
            served: answered > 0,
            time_left: deadline.saturating_duration_since(Instant::now()),
            unread_for,
        };
        // Sent before the slot is freed, so that a task that waits for the last slot to be freed finds the connection
        // in the channel.
        let _ = transfers.send(connection);
        drop(slot);
    }

    /// Answers one request, and yields to other connections after every [`REQUESTS_PER_TURN`] requests.
    async fn serve(&mut self, elements: Vec<Bytes>) -> io::Result<ServeOutcome> {
        self.slot.set_state(ConnectionState::Serving);
        if self.answer(elements).await? == ServeOutcome::GatewayEnded {
            return Ok(ServeOutcome::GatewayEnded);
        }
        self.answered += 1;
        if self.answered.is_multiple_of(REQUESTS_PER_TURN) {
            yield_now().await;
        }
        Ok(ServeOutcome::Answered)
    }

    async fn answer(&mut self, elements: Vec<Bytes>) -> io::Result<ServeOutcome> {
        let command = elements.first().map(|element| element.to_ascii_uppercase());
        let reply = match command.as_deref() {
            Some(b"PING") => self.ping(),
            Some(b"ENQUEUE") => match EnqueueRequest::try_from(elements.as_slice()) {
                Ok(mut request) => {
                    drop(elements);
                    self.free_long_buffer();
                    let unread_for = std::mem::take(&mut self.unread_for);
                    request.time_left = request.time_left.saturating_sub(unread_for);
                    if !self.client_has_closed() {
                        return self.enqueue(request).await;
                    }
                    // The client still reads this if it has only shut down its sending side.
                    Reply::Busy(None)
                }
                Err(error) => return self.reply(Reply::Error(&error.to_string())).await,
            },
            _ => Reply::Error("unknown command"),
        };
        self.reply(reply).await
    }

    fn ping(&self) -> Reply<'static> {
        if *self.phase.borrow() == ServicePhase::LameDuck {
            Reply::Error("being emptied")
        } else {
            Reply::Pong
        }
    }

    /// Buffers a reply. Replies to pipelined requests are written together.
    async fn reply(&mut self, reply: Reply<'_>) -> io::Result<ServeOutcome> {
        reply.encode(&mut self.output);
        if self.output.len() >= MAX_BUFFERED_REPLY_BYTES {
            self.flush().await?;
        }
        Ok(ServeOutcome::Answered)
    }

    /// Passes a message to the event loop, waits for its decision, and writes the reply at once.
    async fn enqueue(&mut self, request: EnqueueRequest) -> io::Result<ServeOutcome> {
        // Writes earlier replies separately, so that a failed write of one does not lose the other.
        self.flush().await?;
        let (reply_to, reply) = oneshot::channel();
        if self.events.send(GatewayEvent::Enqueue(request, reply_to)).is_err() {
            return Ok(ServeOutcome::GatewayEnded);
        }
        let Ok(reply) = reply.await else { return Ok(ServeOutcome::GatewayEnded) };
        Reply::from(&reply).encode(&mut self.output);
        let written = self.flush().await;
        if let (Err(_), EnqueueReply::Accepted(message)) = (&written, reply) {
            // The client did not receive the acceptance, and will enqueue the message again under another id.
            let _ = self.events.send(GatewayEvent::AcceptanceNotReceived(message));
        }
        written.map(|()| ServeOutcome::Answered)
    }

    async fn flush(&mut self) -> io::Result<()> {
        if !self.output.is_empty() {
            timeout(WRITE_TIMEOUT, write_all(&self.stream, &self.output)).await??;
            self.output.clear();
        }
        Ok(())
    }
}
