//! The watch on the endpoint list: one long response of the agent, with an update for each change.
//!
//! It owns the last revision of the list that was received. After a failure it reconnects when the scheduler signals it
//! to, or when the agent's address changes.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::{info, warn};

use super::client::{connect, AgentAddress, Connection, AGENT_RESPONSE_TIMEOUT};
use super::error::DiscoveryError;
use super::update::DiscoveryUpdate;
use super::update_decoder::{UpdateDecoder, MAX_UPDATE_BYTES};
use crate::{EndpointUpdate, WATCH_RESPONSE_TIMEOUT};

/// The maximum time without a byte on an open watch, on which the agent sends a heartbeat every 2 s. A missed change
/// has to be in force after 6 s, which leaves no time for a longer timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The path of the endpoint list on the agent.
const ENDPOINTS_PATH: &str = "/v1/endpoints";

/// An event of the endpoint watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// The complete endpoint list, or its changes, has arrived.
    Updated(DiscoveryUpdate),
    /// The first bytes of the watch have arrived: it is established.
    Established,
    /// The watch failed: [`EndpointUpdate::WatchFailed`], or [`EndpointUpdate::WatchRejected`] if the agent is
    /// overloaded.
    Broken(EndpointUpdate),
}

/// The watch on the endpoint list.
pub struct EndpointWatch {
    /// The current address of the agent.
    pub agent: AgentAddress,
    /// The revision of the endpoint list that the gateway already has. The watch starts with the changes after it.
    pub revision: u64,
    /// Signals that a failed watch is to be started again.
    pub reconnect: watch::Receiver<()>,
}

impl EndpointWatch {
    /// Watches the endpoint list, starting after `initial_delay`, and passes each event to `notify`. Starts earlier,
    /// with a snapshot, if the agent's address changes meanwhile. Ends when the sender of the agent's address is
    /// dropped.
    pub async fn run(self, initial_delay: Duration, notify: impl Fn(WatchEvent)) {
        let EndpointWatch { mut agent, revision, mut reconnect } = self;
        let mut session =
            Session { revision, start: WatchStart::LastRevision, is_failure_logged: false, notify };
        if timeout(initial_delay, agent.changed()).await.is_ok() {
            session.start = WatchStart::Snapshot;
        }
        loop {
            let address = agent.borrow_and_update().clone();
            let error = tokio::select! {
                error = session.watch(&address) => error,
                changed = agent.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    session.start = WatchStart::Snapshot;
                    session.is_failure_logged = false;
                    continue;
                }
            };
            session.log_failure(&error);
            // A signal to reconnect counts only if it follows the failure that is announced now.
            reconnect.mark_unchanged();
            (session.notify)(WatchEvent::Broken(announcement(&error)));
            tokio::select! {
                Ok(()) = reconnect.changed() => {}
                changed = agent.changed() => if changed.is_ok() {
                    session.start = WatchStart::Snapshot;
                },
            }
        }
    }
}

/// Returns the event that announces a failure to the scheduler.
fn announcement(error: &DiscoveryError) -> EndpointUpdate {
    match error {
        DiscoveryError::Status(StatusCode::SERVICE_UNAVAILABLE) | DiscoveryError::WatchNotServed => {
            EndpointUpdate::WatchRejected
        }
        _ => EndpointUpdate::WatchFailed,
    }
}

/// What the next watch starts with.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WatchStart {
    /// The complete list, since the agent is another one and may have another list.
    Snapshot,
    /// The changes after the last revision that was received.
    LastRevision,
}

/// The state that is kept from one watch to the next.
struct Session<N> {
    revision: u64,
    start: WatchStart,
    /// Whether the current series of failures has been logged. Only its first failure is.
    is_failure_logged: bool,
    notify: N,
}

impl<N: Fn(WatchEvent)> Session<N> {
    /// Watches the list at one agent until that fails, and returns the error.
    async fn watch(&mut self, agent: &str) -> DiscoveryError {
        match self.connect_and_follow(agent).await {
            Ok(()) => DiscoveryError::WatchEnded,
            Err(error) => error,
        }
    }

    async fn connect_and_follow(&mut self, agent: &str) -> Result<(), DiscoveryError> {
        let mut connection = connect(agent).await?;
        if self.start == WatchStart::Snapshot {
            self.fetch_snapshot(&mut connection, agent).await?;
            self.start = WatchStart::LastRevision;
            timeout(AGENT_RESPONSE_TIMEOUT, connection.ready()).await??;
        }
        let path = format!("{ENDPOINTS_PATH}?watch=1&after={}", self.revision);
        let response = timeout(WATCH_RESPONSE_TIMEOUT, get(&mut connection, agent, &path)).await??;
        self.follow(response.into_body()).await
    }

    /// Requests the complete list, and announces it unless its revision is older than the last one received: an agent
    /// with an outdated list must not undo a drain.
    async fn fetch_snapshot(
        &mut self,
        connection: &mut Connection,
        agent: &str,
    ) -> Result<(), DiscoveryError> {
        let request = async {
            let response = get(connection, agent, ENDPOINTS_PATH).await?;
            let body = Limited::new(response.into_body(), MAX_UPDATE_BYTES).collect().await;
            let body = body.map_err(|_| DiscoveryError::UnterminatedUpdate)?;
            Ok::<DiscoveryUpdate, DiscoveryError>(serde_json::from_slice(&body.to_bytes())?)
        };
        let list = timeout(WATCH_RESPONSE_TIMEOUT, request).await??;
        if list.revision >= self.revision {
            self.revision = list.revision;
            (self.notify)(WatchEvent::Updated(DiscoveryUpdate { is_snapshot: true, ..list }));
        }
        Ok(())
    }

    /// Announces the updates of an open watch until it ends.
    async fn follow(&mut self, mut body: Incoming) -> Result<(), DiscoveryError> {
        let mut decoder = UpdateDecoder::default();
        let mut is_established = false;
        while let Some(frame) = timeout(IDLE_TIMEOUT, body.frame()).await? {
            if !is_established {
                if frame.is_err() {
                    return Err(DiscoveryError::WatchNotServed);
                }
                is_established = true;
                (self.notify)(WatchEvent::Established);
                self.log_recovery();
            }
            let Ok(data) = frame?.into_data() else { continue };
            decoder.push(&data);
            while let Some(update) = decoder.next_update()? {
                self.revision = update.revision;
                (self.notify)(WatchEvent::Updated(update));
            }
        }
        Ok(())
    }

    fn log_failure(&mut self, error: &DiscoveryError) {
        if !self.is_failure_logged {
            warn!(reason = error.to_string(), revision = self.revision, "endpoint watch failed");
            self.is_failure_logged = true;
        }
    }

    fn log_recovery(&mut self) {
        if self.is_failure_logged {
            info!(revision = self.revision, "endpoint watch established again");
            self.is_failure_logged = false;
        }
    }
}

/// Sends a GET request for a path. Any status but 200 is an error.
async fn get(
    connection: &mut Connection,
    agent: &str,
    path: &str,
) -> Result<Response<Incoming>, DiscoveryError> {
    let request = Request::get(path).header("Host", agent).body(Full::<Bytes>::default())?;
    let response = connection.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok(response),
        status => Err(DiscoveryError::Status(status)),
    }
}
