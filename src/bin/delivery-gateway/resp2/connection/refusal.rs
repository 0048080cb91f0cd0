//! Refuses the request that is being read: at its time limit, for want of a permit, or at the end of the process. The
//! rest of a refused request is skipped, so that the requests behind it are served.

use bytes::BytesMut;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;
use tracing::debug;

use super::{ClientConnection, PARTIAL_REQUEST_TIMEOUT};
use crate::resp2::codec::{Reply, RequestSkipper, RespError};
use crate::resp2::connection_slots::ConnectionState;
use crate::resp2::drain::drain;

/// The reason why the request that is being read is refused.
#[derive(Clone, Copy, Debug)]
pub(super) enum Refusal {
    /// The request was not complete when its time limit passed or its connection was evicted.
    Incomplete,
    /// There is no permit for a long request, or the process ends.
    Unserved,
}

impl Refusal {
    fn reply(self) -> Reply<'static> {
        match self {
            Refusal::Incomplete => Reply::Error("the request did not come to its end"),
            Refusal::Unserved => Reply::Busy(None),
        }
    }
}

/// The result of skipping the rest of a refused request.
pub(super) enum SkipOutcome {
    NothingToSkip,
    /// The rest has not arrived completely.
    Incomplete,
    /// The buffer now begins with the next request.
    Ended,
}

impl ClientConnection {
    /// Refuses the request that is being read. Returns the time until which its rest may arrive. After that, the
    /// connection ends.
    pub(super) async fn refuse(&mut self, refusal: Refusal) -> io::Result<Instant> {
        debug!(number = self.number(), answered = self.answered, ?refusal, "refusing a request");
        self.reply(refusal.reply()).await?;
        self.flush().await?;
        self.answered += 1;
        self.skipper = Some(RequestSkipper::default());
        self.slot.set_state(ConnectionState::Refused);
        Ok(Instant::now() + PARTIAL_REQUEST_TIMEOUT)
    }

    /// Removes bytes of a refused request from the buffer.
    ///
    /// # Errors
    /// The bytes are not a request.
    pub(super) fn skip_refused_request(&mut self) -> Result<SkipOutcome, RespError> {
        let Some(skipper) = &mut self.skipper else { return Ok(SkipOutcome::NothingToSkip) };
        let has_ended = skipper.skip(&mut self.input)?;
        self.free_request_memory();
        if !has_ended {
            return Ok(SkipOutcome::Incomplete);
        }
        self.skipper = None;
        Ok(SkipOutcome::Ended)
    }

    /// Sends the error reply to malformed bytes and closes the connection: shuts down the sending side, and discards
    /// what still arrives until the client closes too, so that the error reply is not lost.
    pub(super) async fn refuse_malformed(mut self, error: &RespError) -> io::Result<()> {
        debug!(number = self.number(), answered = self.answered, %error, "closing a client connection");
        self.reply(Reply::Error(&error.to_string())).await?;
        self.input = BytesMut::new();
        self.flush().await?;
        self.stream.shutdown().await?;
        self.slot.set_state(ConnectionState::Refused);
        tokio::select! {
            drained = drain(&self.stream) => drained,
            () = self.slot.evicted() => Ok(()),
        }
    }
}
