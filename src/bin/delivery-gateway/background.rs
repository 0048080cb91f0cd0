//! The background tasks, which run from the start of the service to the end of the process. They send notifications and
//! handle signals.

use delivery_gateway::discovery::AgentAddress;
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Semaphore};
use tokio::task::spawn_local;

use crate::admin::AdminEndpoint;
use crate::events::{GatewayEvent, OutcomeNotification, ReloadReason, ReloadRequests, ServicePhase};
use crate::notifications;
use crate::reload::ConfigurationReloader;
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
    pub reloader: ConfigurationReloader,
    /// Requests that the configuration is read again.
    pub reload: ReloadRequests,
}

impl BackgroundTasks {
    /// Spawns the tasks on the current `LocalSet`, and connects the admin endpoint to the event loop.
    pub fn spawn(self, signals: Signals, admin: &AdminEndpoint) {
        let BackgroundTasks { events, notifications, notification_gate, phase, agent, reloader, reload } =
            self;
        let Signals { hang_up, terminate } = signals;
        spawn_local(notifications::send_all(agent, notifications, events.clone(), notification_gate));
        spawn_local(reloader.run());
        spawn_local(request_reload(hang_up, reload));
        spawn_local(request_shutdown(terminate, events.clone()));
        admin.open(events, phase);
    }
}

/// Requests a reload of the configuration at each SIGHUP.
async fn request_reload(mut hang_up: UnboundedReceiver<()>, reload: ReloadRequests) {
    while hang_up.recv().await.is_some() {
        reload.request(ReloadReason::Signal);
    }
}

/// Passes each SIGTERM to the event loop.
async fn request_shutdown(mut terminate: UnboundedReceiver<()>, events: UnboundedSender<GatewayEvent>) {
    while terminate.recv().await.is_some() {
        let _ = events.send(GatewayEvent::Terminate);
    }
}
