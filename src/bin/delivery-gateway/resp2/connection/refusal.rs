//! Refuses the request that is being read: at its time limit, for want of a permit, or at the end of the process.

use bytes::BytesMut;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;
use tracing::debug;

use super::{ClientConnection, ReadOutcome, ServiceEnd};
use crate::events::ServicePhase;
use crate::resp2::codec::{Reply, RequestSkipper, RespError};
use crate::resp2::connection_slots::ConnectionState;
use crate::resp2::drain::drain;

/// The reason why the request that is being read is refused, and the connection closed after the reply.
#[derive(Debug)]
pub(super) enum Refusal {
    /// The bytes are not a request.
    Invalid(RespError),
    /// The request was not complete when its time limit passed or its connection was evicted.
    Incomplete,
    /// The process ends, or another connection needs the slot of one that waits for a permit.
    Unserved,
}

impl Refusal {
    fn encode_reply(&self, output: &mut Vec<u8>) {
        match self {
            Refusal::Invalid(error) => Reply::Error(&error.to_string()).encode(output),
            Refusal::Incomplete => Reply::Error("the request did not come to its end").encode(output),
            Refusal::Unserved => Reply::Busy(None).encode(output),
        }
    }
}

impl ClientConnection {
    /// Refuses the request that is being read, and skips the rest of it, so that the requests behind it are answered.
    /// Returns how the service ends if that fails.
    pub(super) async fn refuse_and_skip(&mut self) -> io::Result<Option<ServiceEnd>> {
        debug!(number = self.number(), "no permit for a long request: refusing it");
        self.reply(Reply::Busy(None)).await?;
        self.flush().await?;
        self.answered += 1;
        let deadline = self.await_rest_of_request();
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

    /// Reads more of a request that is skipped, and returns whether its rest is still to be expected. A connection
    /// cannot be transferred within such a request, so that a handover does not wait for more.
    async fn read_more_to_skip(&mut self, deadline: Instant) -> io::Result<bool> {
        let outcome = match self.read(deadline, false).await? {
            ReadOutcome::PhaseChanged if *self.phase.borrow() == ServicePhase::HandingOver => {
                self.read_now().await?
            }
            outcome => outcome,
        };
        Ok(matches!(outcome, ReadOutcome::Data | ReadOutcome::PhaseChanged))
    }

    /// Sends an error reply and closes the connection: shuts down the sending side, and discards what still arrives
    /// until the client closes too, so that the error reply is not lost.
    pub(super) async fn refuse(mut self, refusal: Refusal) -> io::Result<()> {
        debug!(number = self.number(), answered = self.answered, ?refusal, "refusing client connection");
        refusal.encode_reply(&mut self.output);
        self.close_after_reply().await
    }

    /// Writes the remaining replies, and closes the connection as [`refuse`](Self::refuse) does.
    pub(super) async fn close_after_reply(mut self) -> io::Result<()> {
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
