//! The background tasks, which run from the start of the service to the end of the process. They send notifications and
//! handle signals.

use delivery_gateway::discovery::AgentAddress;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Semaphore};
use tokio::task::spawn_local;
use tracing::{error, info};

use crate::admin::AdminEndpoint;
use crate::config::Config;
use crate::events::{GatewayEvent, OutcomeNotification, ServicePhase};
use crate::notifications;
use crate::signals::Signals;

/// The channels and the shared state of the background tasks.
pub struct BackgroundTasks {
    /// Sends events to the event loop.
    pub events: UnboundedSender<GatewayEvent>,
    /// Receives the notifications to be sent.
    pub notifications: UnboundedReceiver<OutcomeNotification>,
    /// Its single permit is held while a batch of notifications is sent. A handover takes it.
    pub notification_gate: Arc<Semaphore>,
    /// The service phase, from which the admin endpoint derives whether the gateway is ready.
    pub phase: watch::Receiver<ServicePhase>,
    /// The current address of the discovery agent.
    pub agent: AgentAddress,
    /// Sets the address in `agent`.
    pub discovery_address: watch::Sender<String>,
}

impl BackgroundTasks {
    /// Spawns the tasks on the current `LocalSet`, and connects the admin endpoint to the event loop.
    pub fn spawn(self, signals: Signals, config_path: PathBuf, admin: &AdminEndpoint) {
        let BackgroundTasks { events, notifications, notification_gate, phase, agent, discovery_address } =
            self;
        let Signals { hang_up, terminate } = signals;
        spawn_local(notifications::send_all(agent, notifications, events.clone(), notification_gate));
        spawn_local(reload_config(hang_up, config_path, discovery_address));
        spawn_local(request_shutdown(terminate, events.clone()));
        admin.open(events, phase);
    }
}

/// Reads the configuration again at each SIGHUP. Only the address of the discovery agent can change while the process
/// runs. A file that cannot be read or parsed changes nothing.
async fn reload_config(
    mut hang_up: UnboundedReceiver<()>,
    path: PathBuf,
    discovery_address: watch::Sender<String>,
) {
    while hang_up.recv().await.is_some() {
        match Config::read(&path).await {
            Ok(config) => {
                let discovery = config.discovery_address;
                info!(discovery, "configuration reloaded");
                discovery_address.send_if_modified(|current| {
                    let has_changed = *current != discovery;
                    *current = discovery;
                    has_changed
                });
            }
            Err(error) => error!(%error, "configuration not reloaded: the previous one stays in force"),
        }
    }
}

/// Passes each SIGTERM to the event loop.
async fn request_shutdown(mut terminate: UnboundedReceiver<()>, events: UnboundedSender<GatewayEvent>) {
    while terminate.recv().await.is_some() {
        let _ = events.send(GatewayEvent::Terminate);
    }
}
