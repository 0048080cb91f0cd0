//! Follows the discovery agent's address in the configuration file, the only setting that changes while a process runs.
//!
//! The file is the only source of the address: processes never pass an address to each other. A [`ReloadReason`] is a
//! hint that the file may have been replaced since it was read last. Whichever process gets SIGHUP, the process in
//! service reads the file after the signal:
//!
//! - A process reads it at SIGHUP, and passes the request on to its successor if it has handed over.
//! - It reads it each time that it enters service: after its own start, a takeover, or a handover that failed. A signal
//!   to the other process before that time is covered by this.
//! - It reads it when its predecessor ends, which may have died before it passed a request on.
//!
//! A file that cannot be read or parsed changes nothing, and is read again until that succeeds.

use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::{debug, error, info};

use crate::config::Config;
use crate::events::{GatewayEvent, ReloadReason, ReloadRequests};

/// The delay before a file that could not be read or parsed is read again. It doubles up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The maximum delay before the file is read again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reads the configuration file at each request.
pub struct ConfigurationReloader {
    path: PathBuf,
    requests: UnboundedReceiver<ReloadReason>,
    /// Sets the address of the discovery agent for the watch and the notifications.
    discovery_address: watch::Sender<String>,
    /// Passes requests to the event loop, from which a relay to a successor takes them.
    events: UnboundedSender<GatewayEvent>,
}

impl ConfigurationReloader {
    /// Creates a reloader of the file at `path`, and the handle that requests a reload.
    pub fn new(
        path: PathBuf,
        discovery_address: watch::Sender<String>,
        events: UnboundedSender<GatewayEvent>,
    ) -> (Self, ReloadRequests) {
        let (requests_in, requests) = unbounded_channel();
        (
            ConfigurationReloader { path, requests, discovery_address, events },
            ReloadRequests::new(requests_in),
        )
    }

    /// Serves requests until all handles of them are dropped.
    pub async fn run(mut self) {
        let mut next = self.requests.recv().await;
        while let Some(reason) = next {
            // Passed on first: the successor reads the file by itself, even if this process cannot read it.
            let _ = self.events.send(GatewayEvent::ReloadRequested);
            next = match self.read(reason).await {
                Ok(()) => self.requests.recv().await,
                Err(newer_request) => newer_request,
            };
        }
    }

    /// Reads the file until that succeeds.
    ///
    /// # Errors
    /// Another request has arrived meanwhile, which is returned. None if all handles have been dropped.
    async fn read(&mut self, reason: ReloadReason) -> Result<(), Option<ReloadReason>> {
        let mut retry_delay = FIRST_RETRY_DELAY;
        let mut is_failure_logged = false;
        loop {
            match Config::read(&self.path).await {
                Ok(config) => {
                    self.apply(config.discovery_address, reason);
                    return Ok(());
                }
                Err(error) if !is_failure_logged => {
                    error!(%error, "configuration not reloaded: the previous one stays in force; retrying");
                    is_failure_logged = true;
                }
                Err(_) => {}
            }
            if let Ok(newer_request) = timeout(retry_delay, self.requests.recv()).await {
                return Err(newer_request);
            }
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn apply(&self, discovery: String, reason: ReloadReason) {
        let has_changed = *self.discovery_address.borrow() != discovery;
        if has_changed || reason == ReloadReason::Signal {
            info!(discovery, ?reason, "configuration reloaded");
        } else {
            debug!(discovery, ?reason, "configuration read again: no change");
        }
        if has_changed {
            self.discovery_address.send_replace(discovery);
        }
    }
}
