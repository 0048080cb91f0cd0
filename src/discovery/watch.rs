//! The watch on the list.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::{info, warn};

use super::client::{connect, AgentAddress, Connection, DiscoveryError, AGENT_RESPONSE_TIMEOUT};
use super::directory::DiscoveryUpdate;
use crate::{EndpointUpdate, WATCH_RESPONSE_TIMEOUT};

/// The watch has an empty line every 2 s; silence for this long is an outage of discovery. What was missed counts
/// as told after 6 s, so that there is no time for a longer wait.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A list, or a line of the watch, that is longer is damage. One of 65,536 endpoints has about 10 MiB.
const MAX_LIST_BYTES: usize = 16 << 20;

/// What the watch has to tell.
#[derive(Debug)]
pub enum WatchEvent {
    /// The whole list, or what has changed in it.
    Updated(DiscoveryUpdate),
    /// The watch is up.
    Established,
    /// It is not: [`EndpointUpdate::WatchFailed`], or [`EndpointUpdate::WatchRejected`] as discovery has more to do than it can.
    Broken(EndpointUpdate),
}

/// The watch on the list, from its last version on.
pub struct EndpointWatch {
    /// Where to ask.
    pub agent: AgentAddress,
    /// The version of the list that is known already.
    pub revision: u64,
    /// What breaks is begun anew when the module says so.
    pub reconnect: watch::Receiver<()>,
}

impl EndpointWatch {
    /// Begins after some time, and says what it hears; ends when nobody can tell any more where the agent is.
    pub async fn run(mut self, first: Duration, tell: impl Fn(WatchEvent)) {
        let mut down = false;
        let mut agent = self.agent.clone();
        // Another agent may know another list: it is asked for the whole of it first, and at once.
        let mut whole = timeout(first, agent.changed()).await.is_ok();
        loop {
            let address = agent.borrow_and_update().clone();
            let result = tokio::select! {
                result = self.once(&address, &mut whole, &tell, &mut down) => result,
                changed = agent.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    (whole, down) = (true, false);
                    continue;
                }
            };
            let why = match &result {
                Err(
                    DiscoveryError::Status(StatusCode::SERVICE_UNAVAILABLE) | DiscoveryError::WatchNotServed,
                ) => EndpointUpdate::WatchRejected,
                _ => EndpointUpdate::WatchFailed,
            };
            let reason = result.err().map_or_else(|| "ended".to_owned(), |error| error.to_string());
            if !down {
                warn!(reason, revision = self.revision, "the watch on the list broke");
                down = true;
            }
            self.reconnect.mark_unchanged();
            tell(WatchEvent::Broken(why));
            tokio::select! {
                Ok(()) = self.reconnect.changed() => {}
                changed = agent.changed() => whole |= changed.is_ok(),
            }
        }
    }

    async fn once(
        &mut self,
        agent: &str,
        whole: &mut bool,
        tell: &impl Fn(WatchEvent),
        down: &mut bool,
    ) -> Result<(), DiscoveryError> {
        let mut connection = connect(agent).await?;
        if *whole {
            let request = Request::get("/v1/endpoints").header("Host", agent).body(Full::default())?;
            let list = timeout(WATCH_RESPONSE_TIMEOUT, fetch(&mut connection, request)).await??;
            // An agent that has heard less than the one before must not take back a drain.
            if list.revision >= self.revision {
                self.revision = list.revision;
                tell(WatchEvent::Updated(DiscoveryUpdate { is_snapshot: true, ..list }));
            }
            *whole = false;
            timeout(AGENT_RESPONSE_TIMEOUT, connection.ready()).await??;
        }
        let request = Request::get(format!("/v1/endpoints?watch=1&after={}", self.revision))
            .header("Host", agent)
            .body(Full::default())?;
        let response = timeout(WATCH_RESPONSE_TIMEOUT, connection.send_request(request)).await??;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        let mut body = response.into_body();
        let mut buffer: Vec<u8> = Vec::new();
        // Up to where the buffer holds lines of an object that is not whole yet: lists may come indented.
        let mut begun = 0;
        // Up to where there is no end of a line: a long one comes in many parts.
        let mut searched = 0;
        let mut told = false;
        while let Some(part) = timeout(IDLE_TIMEOUT, body.frame()).await? {
            if part.is_err() && !told {
                return Err(DiscoveryError::WatchNotServed);
            }
            if !told {
                told = true;
                tell(WatchEvent::Established);
            }
            if *down {
                info!(revision = self.revision, "the list is being watched again");
                *down = false;
            }
            let Ok(data) = part?.into_data() else { continue };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer[searched..].iter().position(|byte| *byte == b'\n') {
                let end = searched + end;
                searched = end + 1;
                let line = &buffer[begun..=end];
                let blank = line.trim_ascii().is_empty();
                if begun > 0 && blank {
                    return Err(DiscoveryError::TooLong);
                }
                // What is indented belongs to the object, whose end alone is worth a look.
                if begun > 0 && line[0].is_ascii_whitespace() {
                    begun = end + 1;
                    continue;
                }
                if !blank {
                    match serde_json::from_slice::<DiscoveryUpdate>(&buffer[..=end]) {
                        Ok(update) => {
                            self.revision = update.revision;
                            tell(WatchEvent::Updated(update));
                        }
                        Err(error) if error.is_eof() => {
                            begun = end + 1;
                            continue;
                        }
                        Err(error) => return Err(error.into()),
                    }
                }
                buffer.drain(..=end);
                (begun, searched) = (0, 0);
            }
            searched = buffer.len();
            if buffer.len() > MAX_LIST_BYTES {
                return Err(DiscoveryError::TooLong);
            }
        }
        Ok(())
    }
}

/// The whole list.
async fn fetch(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<DiscoveryUpdate, DiscoveryError> {
    let response = connection.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(DiscoveryError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
    Ok(serde_json::from_slice(&body.map_err(|_| DiscoveryError::TooLong)?.to_bytes())?)
}
