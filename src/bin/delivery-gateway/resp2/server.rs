//! Accepts clients' connections while there are slots for them, and gives the listener back when the process is
//! replaced.

use bytes::Bytes;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc::UnboundedSender, watch};
use tokio::time::{sleep, Instant};
use tracing::{debug, warn};

use super::connection::{ClientConnection, TransferredConnection};
use super::connection_slots::{ClientLimits, ConnectionSlots};
use crate::events::{GatewayEvent, ServicePhase};
use crate::rate_limited_log::RateLimitedLog;

/// How long a connection may stay without its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection that could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The clients of this process.
#[derive(Clone)]
pub struct ClientServer {
    slots: Rc<ConnectionSlots>,
    events: UnboundedSender<GatewayEvent>,
    phase: watch::Receiver<ServicePhase>,
    transfers: UnboundedSender<TransferredConnection>,
}

impl ClientServer {
    /// A server without connections. Requests go to the event loop through `events`. While the process is replaced,
    /// connections go to the next process through `transfers`.
    pub fn new(
        limits: ClientLimits,
        events: UnboundedSender<GatewayEvent>,
        phase: watch::Receiver<ServicePhase>,
        transfers: UnboundedSender<TransferredConnection>,
    ) -> Self {
        ClientServer { slots: Rc::new(ConnectionSlots::new(limits)), events, phase, transfers }
    }

    /// Accepts connections until the process is replaced; then gives the listener back, with the connections in its
    /// queue. A connection that cannot be accepted is logged, and accepting goes on.
    pub async fn serve(mut self, listener: TcpListener) -> TcpListener {
        let mut failures = RateLimitedLog::default();
        let slots = self.slots.clone();
        loop {
            if *self.phase.borrow_and_update() == ServicePhase::HandingOver {
                return listener;
            }
            let accepted = tokio::select! {
                accepted = accept(&listener, &slots) => accepted,
                Ok(()) = self.phase.changed() => continue,
            };
            match accepted {
                Ok((stream, unread_for)) => self.adopt(TransferredConnection {
                    stream,
                    buffer: Bytes::new(),
                    served: false,
                    time_left: FIRST_REQUEST_TIMEOUT,
                    unread_for,
                }),
                Err(error) => {
                    if let Some(suppressed) = failures.due() {
                        warn!(%error, suppressed, "cannot accept a client connection; retrying");
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Serves a connection from the state that it is in.
    pub fn adopt(&self, transferred: TransferredConnection) {
        let time_left = transferred.time_left;
        let connection = ClientConnection::new(
            transferred,
            self.events.clone(),
            self.phase.clone(),
            self.transfers.clone(),
            self.slots.clone().occupy(),
        );
        let number = connection.number();
        tokio::task::spawn_local(async move {
            // A connection that breaks concerns its client alone: messages that were accepted on it stay accepted.
            match connection.run(Instant::now() + time_left).await {
                Ok(()) => debug!(number, "client connection closed"),
                Err(error) => debug!(number, %error, "client connection failed"),
            }
        });
    }

    /// Waits until all connections have been transferred that can be.
    pub async fn all_transferred(&self) {
        self.slots.all_closed_but_refused().await;
    }
}

/// Accepts one connection, and returns how long its first request may have waited unread. One slot is kept free, so
/// that the next connection does not stay in the listener's queue.
async fn accept(listener: &TcpListener, slots: &ConnectionSlots) -> io::Result<(TcpStream, Duration)> {
    let asked = Instant::now();
    slots.free_slot().await;
    let unread_for = asked.elapsed();
    let (stream, _) = listener.accept().await?;
    Ok((stream, unread_for))
}
