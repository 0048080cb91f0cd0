//! Accepts client connections while slots are free, and returns the listener when the process hands over to its
//! successor.

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

/// The time limit for the first bytes of a connection, from when it was accepted.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The server of this process for clients. Clones share the connection slots.
#[derive(Clone)]
pub struct ClientServer {
    slots: Rc<ConnectionSlots>,
    events: UnboundedSender<GatewayEvent>,
    phase: watch::Receiver<ServicePhase>,
    transfers: UnboundedSender<TransferredConnection>,
}

impl ClientServer {
    /// Creates a server without connections. It sends requests to the event loop through `events` and, during a
    /// handover, connections to the successor through `transfers`.
    pub fn new(
        limits: ClientLimits,
        events: UnboundedSender<GatewayEvent>,
        phase: watch::Receiver<ServicePhase>,
        transfers: UnboundedSender<TransferredConnection>,
    ) -> Self {
        ClientServer { slots: Rc::new(ConnectionSlots::new(limits)), events, phase, transfers }
    }

    /// Accepts connections until the process hands over, and then returns the listener with the connections in its
    /// queue. A failed accept is logged and retried after [`ACCEPT_BACKOFF`].
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

    /// Spawns the local task that serves a connection from the state that it is in.
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
            // Messages that were accepted on a broken connection stay accepted.
            match connection.run(Instant::now() + time_left).await {
                Ok(()) => debug!(number, "client connection closed"),
                Err(error) => debug!(number, %error, "client connection failed"),
            }
        });
    }

    /// Waits until all connections but refused ones have been transferred or closed.
    pub async fn all_transferred(&self) {
        self.slots.all_closed_but_refused().await;
    }
}

/// Accepts one connection, and returns the maximum time for which its first request may have waited unread. A slot is
/// freed before the connection arrives, so that the connection does not wait in the listener's queue.
async fn accept(listener: &TcpListener, slots: &ConnectionSlots) -> io::Result<(TcpStream, Duration)> {
    let started = Instant::now();
    slots.free_slot().await;
    let unread_for = started.elapsed();
    let (stream, _) = listener.accept().await?;
    Ok((stream, unread_for))
}
