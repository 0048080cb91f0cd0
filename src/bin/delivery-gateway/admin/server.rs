//! Accepts operators' connections. Their number is limited, and the oldest one is evicted for a new one: while its request
//! is incomplete, or once it has its response. So neither slow nor bad requests keep others from being answered in time.

use delivery_gateway::socket::{disable_nagle, RetryingStream};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::http::{drain, read_request, write_response, RequestError};
use super::response::AdminResponse;
use super::routes::AdminEndpoint;
use crate::rate_limited_log::RateLimitedLog;

/// The number of open connections from which a new one evicts the oldest.
const MAX_BEFORE_EVICTION: usize = 8;
/// The maximum number of connections, including those that are closing.
const MAX_CONNECTIONS: usize = 16;
/// The time limit for a complete request, from when its connection was accepted.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The open connections.
#[derive(Default)]
struct Connections {
    /// The eviction signals of the connections that have not been evicted, the oldest first.
    evictable: RefCell<VecDeque<Weak<Notify>>>,
    open: Cell<usize>,
}

impl Connections {
    /// Counts one more connection, and evicts the oldest one if there are too many. Returns the guard that keeps the
    /// connection counted, and its eviction signal.
    fn register(self: Rc<Self>) -> (OpenConnection, Rc<Notify>) {
        let eviction = Rc::new(Notify::new());
        {
            let mut evictable = self.evictable.borrow_mut();
            evictable.retain(|connection| connection.strong_count() > 0);
            if self.open.get() >= MAX_BEFORE_EVICTION {
                if let Some(oldest) = evictable.pop_front().and_then(|oldest| oldest.upgrade()) {
                    oldest.notify_one();
                }
            }
            evictable.push_back(Rc::downgrade(&eviction));
        }
        self.open.set(self.open.get() + 1);
        (OpenConnection(self), eviction)
    }
}

/// A guard that counts as an open connection until it is dropped.
struct OpenConnection(Rc<Connections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Answers requests until the task is dropped. A failed accept is logged and retried after [`ACCEPT_BACKOFF`].
pub async fn serve(listener: TcpListener, endpoint: Rc<AdminEndpoint>) {
    let connections = Rc::new(Connections::default());
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut failures = RateLimitedLog::default();
    while let Ok(permit) = permits.clone().acquire_owned().await {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (open, eviction) = connections.clone().register();
                let endpoint = endpoint.clone();
                tokio::task::spawn_local(async move {
                    // An operator that has closed the connection gets no response, but its operation is carried out.
                    let _ = serve_connection(stream, &endpoint, eviction).await;
                    drop(open);
                    drop(permit);
                });
            }
            Err(error) => {
                if let Some(suppressed) = failures.due() {
                    warn!(%error, suppressed, "cannot accept an admin connection; retrying");
                }
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    endpoint: &AdminEndpoint,
    eviction: Rc<Notify>,
) -> io::Result<()> {
    disable_nagle(&stream);
    let mut stream = RetryingStream(stream);
    let request = tokio::select! {
        // A request that has arrived is served, also on a connection that is evicted at once.
        biased;
        request = timeout(REQUEST_TIMEOUT, read_request(&mut stream)) => {
            request.unwrap_or(Err(RequestError::TimedOut))
        }
        () = eviction.notified() => Err(RequestError::Evicted),
    };
    let is_evicted = matches!(request, Err(RequestError::Evicted));
    let response = match request {
        Ok(request) => endpoint.respond(&request).await,
        Err(RequestError::Connection(error)) => return Err(error),
        Err(RequestError::Malformed) => AdminResponse::MalformedRequest,
        Err(RequestError::TooLong) => AdminResponse::RequestTooLong,
        Err(RequestError::TimedOut | RequestError::Evicted) => AdminResponse::RequestTimeout,
    };
    write_response(&mut stream, response).await?;
    if is_evicted {
        return Ok(());
    }
    // An eviction before the response takes effect here.
    tokio::select! {
        drained = drain(&mut stream) => drained,
        () = eviction.notified() => Ok(()),
    }
}
