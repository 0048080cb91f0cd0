//! Reads more of a request, and decides how long to wait for it in each phase of the service.

use bytes::BytesMut;
use delivery_gateway::socket::{memory_backoff, try_transfer, Transfer};
use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read};
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::debug;

use super::refusal::Refusal;
use super::{ClientConnection, ReadOutcome, READ_BYTES};
use crate::events::ServicePhase;
use crate::resp2::codec::MAX_REQUEST_BYTES;
use crate::resp2::connection_slots::ConnectionState;

/// The time limit for the first bytes on a new connection while the process shuts down or is a lame duck.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

impl ClientConnection {
    /// Reads more of a request. A connection is closed because the process shuts down or is a lame duck only between
    /// two requests, never within one, and a new connection may still send its first request.
    pub(super) async fn read(&mut self, deadline: Instant) -> io::Result<ReadOutcome> {
        if self.skipper.is_some() {
            return self.read_to_skip(deadline).await;
        }
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
        loop {
            tokio::select! {
                biased;
                // The buffer grows only when there is something to read, so that idle connections hold no memory.
                ready = self.stream.readable() => ready?,
                () = self.slot.evicted() => {
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
                    return Ok(ReadOutcome::Refused(Refusal::Incomplete));
                }
                // The caller reads the new phase, and reads what has arrived meanwhile before it closes the connection.
                Ok(()) = self.phase.changed() => return Ok(ReadOutcome::PhaseChanged),
            }
            if let Some(outcome) = try_read(&self.stream, &mut self.input).await? {
                return Ok(outcome);
            }
        }
    }

    /// Reads more of a request that has been refused. Nothing is owed for it, so that the connection is closed when its
    /// rest has not arrived by the deadline, or when the connection is evicted. It cannot be transferred within such a
    /// request, and is closed as well during a handover.
    async fn read_to_skip(&mut self, deadline: Instant) -> io::Result<ReadOutcome> {
        if *self.phase.borrow_and_update() == ServicePhase::HandingOver {
            return self.read_now().await;
        }
        tokio::select! {
            biased;
            outcome = read_ready(&self.stream, &mut self.input) => outcome,
            () = self.slot.evicted() => {
                // If more has arrived, the connection stays open, and another one is evicted.
                self.slot.set_state(ConnectionState::Refused);
                self.read_now().await
            }
            () = sleep_until(deadline) => self.read_now().await,
            Ok(()) = self.phase.changed() => Ok(ReadOutcome::PhaseChanged),
        }
    }

    /// Reads what the client still sends between two requests while the process shuts down or is a lame duck. A new
    /// connection has [`LAST_REQUEST_TIMEOUT`] for its first request; on others only what has arrived is read.
    async fn read_last_request(&mut self) -> io::Result<ReadOutcome> {
        if self.answered == 0 {
            let mut phase = self.phase.clone();
            tokio::select! {
                biased;
                outcome = read_ready(&self.stream, &mut self.input) => return outcome,
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
            ReadOutcome::Closed if !is_between_requests => ReadOutcome::Refused(Refusal::Unserved),
            outcome => outcome,
        })
    }

    /// Maps the last read of a connection evicted within a request. The rest of the request may be on its way: the
    /// client gets an error rather than a connection closed without a reply. If more of the request has arrived, the
    /// connection stays open.
    fn evicted_within_request(&self, outcome: ReadOutcome) -> ReadOutcome {
        match outcome {
            ReadOutcome::Closed => ReadOutcome::Refused(Refusal::Incomplete),
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

    /// Reads what has arrived, without waiting. Returns `Closed` if there is nothing. Reads from the socket directly,
    /// since the runtime may not have been notified of the last bytes yet, and they would be lost when the connection
    /// is closed.
    pub(super) async fn read_now(&mut self) -> io::Result<ReadOutcome> {
        loop {
            match read_directly(&self.stream, &mut self.input)? {
                Transfer::WouldBlock | Transfer::Bytes(0) => return Ok(ReadOutcome::Closed),
                Transfer::Bytes(_) => return Ok(ReadOutcome::Data),
                Transfer::OutOfMemory => memory_backoff().await,
            }
        }
    }

    /// Returns whether the client has closed its side, or the connection is broken. A client that closed it before its
    /// reply has stopped waiting, and may already be enqueuing the message elsewhere. Requests that it has sent before
    /// may still be unread.
    pub(super) fn client_has_closed(&mut self) -> bool {
        let ClientConnection { stream, input, .. } = self;
        if is_known_closed(stream) {
            return true;
        }
        if !input.is_empty() {
            return false;
        }
        match try_transfer(|| stream.try_read_buf(input)) {
            Ok(transfer) => transfer == Transfer::Bytes(0),
            Err(_) => true,
        }
    }
}

/// Returns whether the runtime has been notified that the client has closed its side, or that the connection is broken.
/// The notification comes before the unread bytes have been read.
fn is_known_closed(stream: &TcpStream) -> bool {
    let readiness = pin!(stream.ready(Interest::READABLE));
    let polled = readiness.poll(&mut Context::from_waker(Waker::noop()));
    matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Waits for more bytes, and reads them.
async fn read_ready(stream: &TcpStream, input: &mut BytesMut) -> io::Result<ReadOutcome> {
    loop {
        stream.readable().await?;
        if let Some(outcome) = try_read(stream, input).await? {
            return Ok(outcome);
        }
    }
}

/// Reads without waiting. Returns None if there was nothing to read, contrary to the runtime's notification, or if the
/// system is short of memory.
async fn try_read(stream: &TcpStream, input: &mut BytesMut) -> io::Result<Option<ReadOutcome>> {
    reserve(input);
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

/// Reads once from the socket, past the runtime. The buffer is on the stack of this function: in an async one, each
/// connection would hold it in memory.
fn read_directly(stream: &TcpStream, input: &mut BytesMut) -> io::Result<Transfer> {
    let mut bytes = [0; READ_BYTES];
    // As much as `reserve` makes room for before a request is long.
    let limit = if input.len() < READ_BYTES { READ_BYTES - input.len() } else { READ_BYTES };
    let read = try_transfer(|| (&*SockRef::from(stream)).read(&mut bytes[..limit]))?;
    if let Transfer::Bytes(count) = read {
        input.extend_from_slice(&bytes[..count]);
    }
    Ok(read)
}

/// Makes room for the next read: for up to [`READ_BYTES`] in total or, beyond them, for the longest request at once. A
/// buffer that grows step by step would take up to twice the memory.
fn reserve(input: &mut BytesMut) {
    let total = if input.len() < READ_BYTES { READ_BYTES } else { MAX_REQUEST_BYTES };
    input.reserve(total.saturating_sub(input.len()).max(1));
}
