//! The notices that end messages, on their way to the platform.

use bytes::Bytes;
use delivery_gateway::discovery::{
    connect, AgentAddress, Connection, DiscoveryError, AGENT_RESPONSE_TIMEOUT,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tracing::{error, warn};

use crate::events::{GatewayEvent, OutcomeNotification};
use crate::journal::FinalOutcome;

/// Notices are answered at once. What is not in this time goes again on another connection, as this one may be dead
/// while the agent lives; it gets twice as long each time. Both fit into the time that a final answer has at the end.
const NOTICE: Duration = Duration::from_millis(100);
/// Between tries to tell notices to an agent that cannot be reached.
const BACK_OFF: Duration = Duration::from_millis(100);
/// Notices that go in one request at most.
const NOTICES: usize = 200;

impl OutcomeNotification {
    fn line(&self) -> String {
        let mut value = match self.final_outcome {
            FinalOutcome::Failed => serde_json::json!({"id": self.id, "state": "failed"}),
            FinalOutcome::Returned { after_ms } => {
                serde_json::json!({"id": self.id, "state": "returned", "after_ms": after_ms})
            }
        }
        .to_string();
        value.push('\n');
        value
    }
}

/// Sends notices until each is answered, at a new address those that the old one has not answered. A notice that
/// comes twice does no harm, one that never comes does.
/// While somebody else holds the gate, nothing is sent.
pub async fn send_all(
    mut agent: AgentAddress,
    mut queue: UnboundedReceiver<OutcomeNotification>,
    driver: UnboundedSender<GatewayEvent>,
    gate: Arc<Semaphore>,
) {
    let mut connection = None;
    let mut batch = Vec::new();
    let mut down = false;
    let mut patience = NOTICE;
    while queue.recv_many(&mut batch, NOTICES).await > 0 {
        while !batch.is_empty() {
            if agent.has_changed().unwrap_or_default() {
                connection = None;
            }
            let address = agent.borrow_and_update().clone();
            let Ok(open) = gate.acquire().await else { return };
            let kept = connection.is_some();
            let told = tokio::select! {
                told = tell(&address, &mut connection, &mut batch, &driver, patience) => told,
                Ok(()) = agent.changed() => {
                    connection = None;
                    continue;
                }
            };
            drop(open);
            match told {
                Ok(()) => (down, patience) = (false, NOTICE),
                Err(reason) => {
                    connection = None;
                    if !down {
                        warn!(%reason, waiting = batch.len(), "notices are not answered");
                        down = true;
                    }
                    if matches!(reason, DiscoveryError::TimedOut(_)) {
                        patience = (patience * 2).min(AGENT_RESPONSE_TIMEOUT);
                    } else if !kept {
                        let _ = timeout(BACK_OFF, agent.changed()).await;
                    }
                    // What has come meanwhile does not wait for these.
                    while let Some(notification) =
                        (batch.len() < NOTICES).then(|| queue.try_recv().ok()).flatten()
                    {
                        batch.push(notification);
                    }
                }
            }
        }
    }
}

/// Sends a batch of notices; those that are answered leave it.
async fn tell(
    agent: &str,
    connection: &mut Option<Connection>,
    batch: &mut Vec<OutcomeNotification>,
    driver: &UnboundedSender<GatewayEvent>,
    patience: Duration,
) -> Result<(), DiscoveryError> {
    match post(agent, connection, batch.iter().map(OutcomeNotification::line).collect(), patience).await {
        // One bad line must not hold up the others: they go one by one, and it is let go.
        Err(DiscoveryError::Status(StatusCode::BAD_REQUEST)) => {}
        result => {
            result?;
            let heard = batch.drain(..).map(|notification| notification.message).collect();
            let _ = driver.send(GatewayEvent::OutcomesAcknowledged(heard));
            return Ok(());
        }
    }
    while let Some(notification) = batch.last() {
        match post(agent, connection, notification.line(), patience).await {
            Err(refused @ DiscoveryError::Status(StatusCode::BAD_REQUEST)) => {
                error!(id = notification.id, %refused, "a notice is not understood");
            }
            result => result?,
        }
        let _ = driver.send(GatewayEvent::OutcomesAcknowledged(vec![notification.message]));
        batch.pop();
    }
    Ok(())
}

async fn post(
    agent: &str,
    kept: &mut Option<Connection>,
    lines: String,
    patience: Duration,
) -> Result<(), DiscoveryError> {
    let request = Request::post("/v1/notices").header("Host", agent).body(Full::new(Bytes::from(lines)))?;
    let exchange = async {
        let mut connection = match kept.take().filter(|connection| !connection.is_closed()) {
            Some(connection) => connection,
            None => connect(agent).await?,
        };
        connection.ready().await?;
        let response: Response<Incoming> = connection.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        Ok::<_, DiscoveryError>((connection, status))
    };
    let (connection, status) = timeout(patience, exchange).await??;
    *kept = Some(connection);
    if status == StatusCode::NO_CONTENT {
        Ok(())
    } else {
        Err(DiscoveryError::Status(status))
    }
}
