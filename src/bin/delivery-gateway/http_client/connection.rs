//! Opens a connection to an endpoint, and closes it with a call still on it.

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
use super::wire::{Wire, WireStream};

/// How long an aborted connection may take to be closed by the endpoint before it is dropped.
const ABORT_TIMEOUT: Duration = Duration::from_millis(40);
/// Bytes of the longest head of a response.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Whether a connection was opened for a call, or has carried an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// Opened for this call.
    New,
    /// Idle in the pool before.
    Reused,
}

/// An open connection. Dropping it closes it.
pub struct Connection {
    /// Where it leads.
    pub address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Its bytes, as seen beside the HTTP library.
    pub wire: Rc<Wire>,
    /// Asks the connection's own task to close it, and to say when that is done.
    abort: oneshot::Sender<oneshot::Sender<()>>,
    /// When its last call ended, or it was opened.
    pub idle_since: Instant,
    /// When its last call began.
    pub call_began: Instant,
}

impl Connection {
    /// Connects, and has a task of its own drive the connection.
    ///
    /// # Errors
    /// The endpoint refuses, or this machine cannot connect just now.
    pub async fn open(address: SocketAddr, descriptor: Descriptor) -> io::Result<Self> {
        let stream = socket::connect(address).await?;
        let wire = Rc::new(Wire::new(stream, descriptor));
        let io = TokioIo::new(WireStream(wire.clone()));
        let mut builder = http1::Builder::new();
        builder.title_case_headers(true).max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(io).await.map_err(io::Error::other)?;
        let (abort, aborted) = oneshot::channel();
        tokio::task::spawn_local(drive(driver, aborted));
        let now = Instant::now();
        Ok(Connection { address, sender, wire, abort, idle_since: now, call_began: now })
    }

    /// Whether it can carry no further call.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until it can carry a call: the last response is read, and the connection's task has looked behind it.
    ///
    /// # Errors
    /// The connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// The connection is broken, or the response is no HTTP.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }

    /// Aborts the call on it: ends the sending side and waits, for a moment, until the endpoint has closed too. Only
    /// then has it let go of the call, so that the slot is free and another attempt is no second copy.
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
        // First, as an aborted response would also end the connection, without the wait for the endpoint.
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
