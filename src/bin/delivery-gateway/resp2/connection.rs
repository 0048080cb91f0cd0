//! Serves one client connection: reads requests and replies to them in order. It closes the connection when the client
//! exceeds a timeout or sends malformed RESP2, when the connection is evicted, and when the process shuts down or is a
//! lame duck. During a handover it transfers the connection to the successor instead.
//!
//! A request of which a part has been read gets a reply before its connection is closed, whatever ends it. Each wait
//! ends early when the service phase changes, so that neither a handover nor the end of the process waits for a client.

use bytes::{Bytes, BytesMut};
use delivery_gateway::socket::{disable_nagle, memory_backoff, try_transfer, write_all, Transfer};
use socket2::SockRef;
use std::future::ready;
use std::io::{self, Read};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch, SemaphorePermit};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::debug;

use super::codec::{decode_request, Reply, RequestSkipper, RespError};
use super::connection_slots::{ConnectionSlot, ConnectionSlots, ConnectionState};
use super::drain::drain;
use crate::events::{EnqueueReply, EnqueueRequest, GatewayEvent, ServicePhase};

/// The maximum size of one read. A longer request waits for a permit for long requests.
const READ_BYTES: usize = 4 << 10;
/// The time limit for the rest of a request: from its first bytes, or from the previous reply if these had arrived
/// before it. Clients wait 400 ms for a reply.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit from a reply to the first bytes of the next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for writing replies. A client that does not read for this long has stopped waiting for its reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit for the first bytes on a new connection while the process shuts down or is a lame duck.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
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
    Incomplete(Refusal),
    /// The service phase has changed.
    PhaseChanged,
}

/// The reason why the request that is being read is refused, and the connection closed after the reply.
#[derive(Debug)]
enum Refusal {
    /// The bytes are not a request.
    Invalid(RespError),
    /// The request was not complete when its time limit passed or its connection was evicted.
    Incomplete,
    /// The process ends.
    ProcessEnds,
}

impl Refusal {
    fn encode_reply(&self, output: &mut Vec<u8>) {
        match self {
            Refusal::Invalid(error) => Reply::Error(&error.to_string()).encode(output),
            Refusal::Incomplete => Reply::Error("the request did not come to its end").encode(output),
            Refusal::ProcessEnds => Reply::Busy(None).encode(output),
        }
    }
}

/// The reason why no more requests are served on a connection.
enum ServiceEnd {
    /// Nothing is left to be answered, or nobody is left to answer.
    Closed,
    /// The successor continues, with this time limit for the bytes that the client has to send next.
    HandedOver(Instant),
    /// The request that is being read is refused.
    Refused(Refusal),
    /// The request that is being read has been refused, and its rest has not arrived.
    AlreadyRefused,
}

/// The result of waiting for a permit for a long request.
enum PermitOutcome<'a> {
    Acquired(SemaphorePermit<'a>),
    /// No permit was free in time, or the connection was evicted.
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
            ServiceEnd::Refused(refusal) => self.refuse(refusal).await,
            ServiceEnd::AlreadyRefused => self.close_after_reply().await,
        }
    }

    /// Serves requests one after the other. Holds a permit only while it reads a long request.
    async fn serve_requests(&mut self, mut deadline: Instant) -> io::Result<ServiceEnd> {
        let slots = self.slot.slots().clone();
        let mut long_request: Option<SemaphorePermit> = None;
        loop {
            match decode_request(&mut self.input) {
                Ok(Some(elements)) => {
                    if self.serve(&elements).await? == ServeOutcome::GatewayEnded {
                        return Ok(ServiceEnd::Closed);
                    }
                    if self.input.len() < READ_BYTES {
                        self.free_request_memory();
                        long_request = None;
                    }
                    deadline = self.await_next_request();
                    continue;
                }
                Ok(None) => {}
                Err(error) => return Ok(ServiceEnd::Refused(Refusal::Invalid(error))),
            }
            self.flush().await?;
            if *self.phase.borrow() == ServicePhase::HandingOver {
                return Ok(ServiceEnd::HandedOver(deadline));
            }
            if self.input.len() >= READ_BYTES && long_request.is_none() {
                match self.acquire_permit(&slots, deadline).await {
                    PermitOutcome::Acquired(permit) => long_request = Some(permit),
                    PermitOutcome::PhaseChanged => continue,
                    PermitOutcome::Unavailable => {
                        if let Some(end) = self.refuse_and_skip().await? {
                            return Ok(end);
                        }
                        deadline = self.await_next_request();
                        continue;
                    }
                }
            }
            let was_between_requests = self.input.is_empty();
            match self.read(deadline).await? {
                ReadOutcome::Data if was_between_requests => deadline = self.await_rest_of_request(),
                ReadOutcome::Data | ReadOutcome::PhaseChanged => {}
                ReadOutcome::Closed => return Ok(ServiceEnd::Closed),
                ReadOutcome::Incomplete(refusal) => return Ok(ServiceEnd::Refused(refusal)),
            }
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
        let eviction = self.slot.eviction();
        tokio::select! {
            biased;
            Ok(permit) = slots.long_requests.acquire() => PermitOutcome::Acquired(permit),
            () = ready(()), if is_closing => PermitOutcome::Unavailable,
            () = sleep_until(deadline) => PermitOutcome::Unavailable,
            () = eviction.notified() => PermitOutcome::Unavailable,
            Ok(()) = self.phase.changed() => PermitOutcome::PhaseChanged,
        }
    }

    /// Refuses the request that is being read, and skips the rest of it, so that the requests behind it are answered.
    /// Returns how the service ends if that fails.
    async fn refuse_and_skip(&mut self) -> io::Result<Option<ServiceEnd>> {
        debug!(number = self.number(), "no permit for a long request: refusing it");
        self.reply(Reply::Busy(None)).await?;
        self.flush().await?;
        self.answered += 1;
        let deadline = Instant::now() + PARTIAL_REQUEST_TIMEOUT;
        let mut skipper = RequestSkipper::default();
        loop {
            match skipper.skip(&mut self.input) {
                Ok(true) => {
                    self.free_request_memory();
                    return Ok(None);
                }
                Ok(false) => {}
                Err(error) => return Ok(Some(ServiceEnd::Refused(Refusal::Invalid(error)))),
            }
            if !self.read_more_to_skip(deadline).await? {
                return Ok(Some(ServiceEnd::AlreadyRefused));
            }
        }
    }

    /// Reads more of a request that is skipped, and returns whether there was more. Waits only until the deadline, and
    /// neither during a handover nor at the end of the process.
    async fn read_more_to_skip(&mut self, deadline: Instant) -> io::Result<bool> {
        let eviction = self.slot.eviction();
        loop {
            let phase = *self.phase.borrow_and_update();
            let may_wait = !matches!(phase, ServicePhase::HandingOver | ServicePhase::Closing);
            tokio::select! {
                biased;
                ready = self.stream.readable(), if may_wait => ready?,
                () = ready(()), if !may_wait => return self.has_read_now().await,
                () = eviction.notified() => return self.has_read_now().await,
                () = sleep_until(deadline) => return self.has_read_now().await,
                Ok(()) = self.phase.changed() => continue,
            }
            if let Some(outcome) = self.try_read().await? {
                return Ok(matches!(outcome, ReadOutcome::Data));
            }
        }
    }

    /// Reads what has arrived, and returns whether there was anything.
    async fn has_read_now(&mut self) -> io::Result<bool> {
        Ok(matches!(self.read_now().await?, ReadOutcome::Data))
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

    /// Reads more of a request. A connection is closed because the process shuts down or is a lame duck only between
    /// two requests, never within one, and a new connection may still send its first request.
    async fn read(&mut self, deadline: Instant) -> io::Result<ReadOutcome> {
        let is_between_requests = self.input.is_empty();
        let phase = *self.phase.borrow_and_update();
        match phase {
            ServicePhase::HandingOver => return Ok(ReadOutcome::PhaseChanged),
            ServicePhase::Closing => return self.read_before_exit(is_between_requests).await,
            ServicePhase::LameDuck | ServicePhase::ShuttingDown if is_between_requests => {
                return self.read_last_request().await;
            }
            ServicePhase::Serving | ServicePhase::LameDuck | ServicePhase::ShuttingDown => {}
        }
        let eviction = self.slot.eviction();
        loop {
            tokio::select! {
                biased;
                // The buffer grows only when there is something to read, so that idle connections hold no memory.
                ready = self.stream.readable() => ready?,
                () = eviction.notified() => {
                    self.log_closing("another connection needs its slot");
                    let outcome = self.read_now().await?;
                    if is_between_requests {
                        return Ok(outcome);
                    }
                    return Ok(self.evicted_within_request(outcome));
                }
                () = sleep_until(deadline) => {
                    self.log_closing("timed out waiting for the client");
                    if is_between_requests {
                        return self.read_now().await;
                    }
                    return Ok(ReadOutcome::Incomplete(Refusal::Incomplete));
                }
                // The caller reads the new phase, and reads what has arrived meanwhile before it closes the connection.
                Ok(()) = self.phase.changed() => return Ok(ReadOutcome::PhaseChanged),
            }
            if let Some(outcome) = self.try_read().await? {
                return Ok(outcome);
            }
        }
    }

    /// Reads what the client still sends between two requests while the process shuts down or is a lame duck. A new
    /// connection has [`LAST_REQUEST_TIMEOUT`] for its first request; on others only what has arrived is read.
    async fn read_last_request(&mut self) -> io::Result<ReadOutcome> {
        if self.answered == 0 {
            let mut phase = self.phase.clone();
            tokio::select! {
                biased;
                outcome = self.read_ready() => return outcome,
                () = sleep(LAST_REQUEST_TIMEOUT) => {}
                Ok(()) = phase.changed() => return Ok(ReadOutcome::PhaseChanged),
            }
        }
        self.log_closing("shutting down or lame duck");
        self.read_now().await
    }

    /// Reads what has arrived before the process exits. A request whose rest has not arrived is refused.
    async fn read_before_exit(&mut self, is_between_requests: bool) -> io::Result<ReadOutcome> {
        self.log_closing("the process ends");
        Ok(match self.read_now().await? {
            ReadOutcome::Closed if !is_between_requests => ReadOutcome::Incomplete(Refusal::ProcessEnds),
            outcome => outcome,
        })
    }

    /// Maps the last read of a connection evicted within a request. The rest of the request may be on its way: the
    /// client gets an error rather than a connection closed without a reply. If more of the request has arrived, the
    /// connection stays open.
    fn evicted_within_request(&self, outcome: ReadOutcome) -> ReadOutcome {
        match outcome {
            ReadOutcome::Closed => ReadOutcome::Incomplete(Refusal::Incomplete),
            ReadOutcome::Data => {
                self.slot.set_state(ConnectionState::PartialRequest);
                ReadOutcome::Data
            }
            other => other,
        }
    }

    /// Logs why the connection is about to be closed. A request that has already arrived is still served.
    fn log_closing(&self, reason: &str) {
        debug!(
            number = self.number(),
            answered = self.answered,
            undecoded_bytes = self.input.len(),
            reason,
            "closing client connection"
        );
    }

    /// Waits for more bytes, and reads them.
    async fn read_ready(&mut self) -> io::Result<ReadOutcome> {
        loop {
            self.stream.readable().await?;
            if let Some(outcome) = self.try_read().await? {
                return Ok(outcome);
            }
        }
    }

    /// Reads without waiting. Returns None if there was nothing to read, contrary to the runtime's notification, or if
    /// the system is short of memory.
    async fn try_read(&mut self) -> io::Result<Option<ReadOutcome>> {
        self.input.reserve(READ_BYTES);
        let ClientConnection { stream, input, .. } = self;
        match try_transfer(|| stream.try_read_buf(input))? {
            Transfer::Bytes(0) => Ok(Some(ReadOutcome::Closed)),
            Transfer::Bytes(_) => Ok(Some(ReadOutcome::Data)),
            Transfer::WouldBlock => Ok(None),
            Transfer::OutOfMemory => {
                memory_backoff().await;
                Ok(None)
            }
        }
    }

    /// Reads what has arrived, without waiting. Returns `Closed` if there is nothing. Reads from the socket directly,
    /// since the runtime may not have been notified of the last bytes yet, and they would be lost when the connection
    /// is closed.
    async fn read_now(&mut self) -> io::Result<ReadOutcome> {
        loop {
            let mut bytes = [0; READ_BYTES];
            match try_transfer(|| (&*SockRef::from(&self.stream)).read(&mut bytes))? {
                Transfer::WouldBlock | Transfer::Bytes(0) => return Ok(ReadOutcome::Closed),
                Transfer::Bytes(count) => {
                    self.input.extend_from_slice(&bytes[..count]);
                    return Ok(ReadOutcome::Data);
                }
                Transfer::OutOfMemory => memory_backoff().await,
            }
        }
    }

    /// Returns whether the client has closed its side, or the connection is broken. A client that closed it before its
    /// reply has stopped waiting, and may already be enqueuing the message elsewhere. A client of which more bytes are
    /// buffered is still waiting.
    fn client_has_closed(&mut self) -> bool {
        let ClientConnection { stream, input, .. } = self;
        if !input.is_empty() {
            return false;
        }
        match try_transfer(|| stream.try_read_buf(input)) {
            Ok(transfer) => transfer == Transfer::Bytes(0),
            Err(_) => true,
        }
    }

    /// Answers one request, and yields to other connections after every [`REQUESTS_PER_TURN`] requests.
    async fn serve(&mut self, elements: &[Bytes]) -> io::Result<ServeOutcome> {
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

    async fn answer(&mut self, elements: &[Bytes]) -> io::Result<ServeOutcome> {
        let command = elements.first().map(|element| element.to_ascii_uppercase());
        let reply = match command.as_deref() {
            Some(b"PING") => self.ping(),
            Some(b"ENQUEUE") => match EnqueueRequest::try_from(elements) {
                Ok(mut request) => {
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

    /// Sends an error reply and closes the connection: shuts down the sending side, and discards what still arrives
    /// until the client closes too, so that the error reply is not lost.
    async fn refuse(mut self, refusal: Refusal) -> io::Result<()> {
        debug!(number = self.number(), answered = self.answered, ?refusal, "refusing client connection");
        refusal.encode_reply(&mut self.output);
        self.close_after_reply().await
    }

    /// Writes the remaining replies, and closes the connection as [`refuse`](Self::refuse) does.
    async fn close_after_reply(mut self) -> io::Result<()> {
        self.input = BytesMut::new();
        self.flush().await?;
        self.stream.shutdown().await?;
        self.slot.set_state(ConnectionState::Refused);
        let eviction = self.slot.eviction();
        tokio::select! {
            drained = drain(&self.stream) => drained,
            () = eviction.notified() => Ok(()),
        }
    }
}
