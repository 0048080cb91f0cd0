//! Opens a connection to an endpoint, sends requests on it, and aborts it with a call in flight.

use bytes::Bytes;
use delivery_gateway::socket;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

use super::descriptors::Descriptor;
use super::surplus::SurplusBytes;
use super::wire::{Wire, WireStream};

/// The time that the endpoint has to close an aborted connection before it is dropped.
const ABORT_TIMEOUT: Duration = Duration::from_millis(40);
/// The maximum length of a response's head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Whether a connection was opened for a call, or has carried an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// Opened for this call.
    New,
    /// Taken from the idle connections of the pool.
    Reused,
}

/// An open connection. Dropping it closes it.
pub struct Connection {
    /// The address of the endpoint.
    pub address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Observes the connection's bytes below the HTTP library.
    pub wire: Rc<Wire>,
    /// Signals the connection's own task to close it, and to send on the enclosed channel when that is done.
    abort: oneshot::Sender<oneshot::Sender<()>>,
    /// How long the endpoint took to accept the connection.
    pub connect_time: Duration,
    /// When the last call ended; when the connection was opened if it has carried none.
    pub idle_since: Instant,
    /// When the last call began; when the connection was opened if it has carried none.
    pub call_began: Instant,
}

impl Connection {
    /// Connects to an endpoint, and spawns the local task that drives the connection.
    ///
    /// # Errors
    /// The endpoint refuses the connection or cannot be reached, or this machine cannot open one at the moment.
    pub async fn open(
        address: SocketAddr,
        descriptor: Descriptor,
        surplus: Rc<SurplusBytes>,
    ) -> io::Result<Self> {
        let connect_began = Instant::now();
        let stream = socket::connect(address).await?;
        let connect_time = connect_began.elapsed();
        let wire = Rc::new(Wire::new(stream, descriptor, surplus));
        let io = TokioIo::new(WireStream(wire.clone()));
        let mut builder = http1::Builder::new();
        builder.title_case_headers(true).max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(io).await.map_err(io::Error::other)?;
        let (abort, aborted) = oneshot::channel();
        tokio::task::spawn_local(drive(driver, aborted));
        let now = Instant::now();
        Ok(Connection { address, sender, wire, abort, connect_time, idle_since: now, call_began: now })
    }

    /// Returns whether the connection is closed and can carry no further call.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can carry a call: the last response has been read, and the connection's task has
    /// checked for bytes after it.
    ///
    /// # Errors
    /// The connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// The connection is broken, or the response is not valid HTTP.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }

    /// Aborts the call on the connection: shuts down the sending side and waits up to [`ABORT_TIMEOUT`] until the
    /// endpoint has closed it too. Only then has the endpoint ended the call, so that its slot is free there and
    /// another attempt does not run beside it.
    pub async fn abort(self) {
        let (done, closed) = oneshot::channel();
        if self.abort.send(done).is_ok() {
            let _ = closed.await;
        }
    }
}

/// Drives a connection until it ends or is aborted.
async fn drive(
    mut driver: http1::Connection<TokioIo<WireStream>, Full<Bytes>>,
    aborted: oneshot::Receiver<oneshot::Sender<()>>,
) {
    let aborted = tokio::select! {
        // The abort is polled first: dropping a response also ends the connection, but without waiting for the
        // endpoint.
        biased;
        aborted = aborted => aborted,
        _ = &mut driver => return,
    };
    if let Ok(done) = aborted {
        let stream = driver.into_parts().io.into_inner();
        let _ = timeout(ABORT_TIMEOUT, stream.close()).await;
        let _ = done.send(());
    }
}
