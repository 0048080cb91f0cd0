//! The tasks that run beside the service from its start to the end of the process: notifications go out, signals and
//! operators' calls come in.

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

/// What the tasks work with.
pub struct BackgroundTasks {
    /// Goes to the event loop.
    pub events: UnboundedSender<GatewayEvent>,
    /// The notifications to be sent.
    pub notifications: UnboundedReceiver<OutcomeNotification>,
    /// Notifications are sent while its one permit is free.
    pub notification_gate: Arc<Semaphore>,
    /// Tells the admin endpoint whether the gateway is ready.
    pub phase: watch::Receiver<ServicePhase>,
    /// The address of the discovery agent in force.
    pub agent: AgentAddress,
    /// Changes `agent`.
    pub discovery_address: watch::Sender<String>,
}

impl BackgroundTasks {
    /// Spawns the tasks on the current `LocalSet`, and lets operators in.
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

/// Reads the configuration again at each SIGHUP. Only the address of discovery may change in service; a file that
/// cannot be read changes nothing.
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

/// Passes each SIGTERM on to the event loop.
async fn request_shutdown(mut terminate: UnboundedReceiver<()>, events: UnboundedSender<GatewayEvent>) {
    while terminate.recv().await.is_some() {
        let _ = events.send(GatewayEvent::Terminate);
    }
}
