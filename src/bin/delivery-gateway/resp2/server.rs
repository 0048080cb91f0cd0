//! Accepts client connections while slots are free, and returns the listener when the process hands over to its
//! successor.

use bytes::Bytes;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc::UnboundedSender, watch};
use tokio::time::{sleep, timeout, Instant};
use tracing::{debug, warn};

use super::connection::{ClientConnection, TransferredConnection};
use super::connection_slots::{ClientLimits, ConnectionSlots};
use crate::events::{GatewayEvent, ServicePhase};
use crate::rate_limited_log::RateLimitedLog;

/// The time limit for the first bytes of a connection, from when it was accepted.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The time without a new connection after which the listener's queue counts as empty when the process ends.
const EMPTY_QUEUE_WAIT: Duration = Duration::from_millis(10);

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
    /// handover, connections to the successor through `transfers`. It publishes the number of connections with an open
    /// request through `open_requests`.
    pub fn new(
        limits: ClientLimits,
        events: UnboundedSender<GatewayEvent>,
        phase: watch::Receiver<ServicePhase>,
        transfers: UnboundedSender<TransferredConnection>,
        open_requests: watch::Sender<usize>,
    ) -> Self {
        let slots = Rc::new(ConnectionSlots::new(limits, open_requests));
        ClientServer { slots, events, phase, transfers }
    }

    /// Accepts connections until the process hands over or ends, and then returns the listener: on a handover with the
    /// connections in its queue, and at the end with an empty queue. A failed accept is logged and retried after
    /// [`ACCEPT_BACKOFF`].
    pub async fn serve(mut self, listener: TcpListener) -> TcpListener {
        let mut failures = RateLimitedLog::default();
        let slots = self.slots.clone();
        loop {
            let phase = *self.phase.borrow_and_update();
            match phase {
                ServicePhase::HandingOver => return listener,
                ServicePhase::Closing => {
                    self.accept_queued(&listener).await;
                    return listener;
                }
                ServicePhase::Serving | ServicePhase::LameDuck | ServicePhase::ShuttingDown => {}
            }
            let accepted = tokio::select! {
                accepted = accept(&listener, &slots) => accepted,
                Ok(()) = self.phase.changed() => continue,
            };
            match accepted {
                Ok((stream, unread_for)) => self.adopt_new(stream, unread_for),
                Err(error) => {
                    if let Some(suppressed) = failures.due() {
                        warn!(%error, suppressed, "cannot accept a client connection; retrying");
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Accepts the connections that wait in the listener's queue, until it is empty or no slot becomes free.
    async fn accept_queued(&self, listener: &TcpListener) {
        while let Ok(accepted) = timeout(EMPTY_QUEUE_WAIT, accept(listener, &self.slots)).await {
            match accepted {
                Ok((stream, unread_for)) => self.adopt_new(stream, unread_for),
                Err(_) => sleep(EMPTY_QUEUE_WAIT).await,
            }
        }
    }

    /// Serves a new connection, whose first request may have waited unread for `unread_for`.
    fn adopt_new(&self, stream: TcpStream, unread_for: Duration) {
        self.adopt(TransferredConnection {
            stream,
            buffer: Bytes::new(),
            served: false,
            time_left: FIRST_REQUEST_TIMEOUT,
            unread_for,
        });
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
    pub async fn all_transferred_or_closed(&self) {
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
