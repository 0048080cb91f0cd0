//! Notifications of final outcomes, on their way to the platform: one request carries many, and each is sent until it
//! is acknowledged. One that arrives twice does no harm, one that never arrives does.

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
use tokio::sync::{AcquireError, Semaphore};
use tokio::time::timeout;
use tracing::{error, warn};

use crate::events::{GatewayEvent, OutcomeNotification};
use crate::journal::FinalOutcome;

/// The first time-out of a request. After it the batch goes again on another connection, as this one may be dead while
/// the agent lives, and the time-out doubles up to [`AGENT_RESPONSE_TIMEOUT`].
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Between tries to connect to an agent.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Notifications in one request at most.
const MAX_BATCH: usize = 200;

impl OutcomeNotification {
    /// The notification as a line of a request's body.
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

/// Sends notifications until each is acknowledged; at a new address those that the old one has not acknowledged.
/// While another task holds the gate, nothing is sent.
pub async fn send_all(
    agent: AgentAddress,
    mut queue: UnboundedReceiver<OutcomeNotification>,
    events: UnboundedSender<GatewayEvent>,
    gate: Arc<Semaphore>,
) {
    let mut sender = NotificationSender {
        agent,
        events,
        gate,
        connection: None,
        response_timeout: FIRST_RESPONSE_TIMEOUT,
        is_failing: false,
    };
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
        while !batch.is_empty() {
            match sender.send(&mut batch).await {
                Ok(SendResult::Acknowledged | SendResult::AgentChanged) => {}
                Ok(SendResult::Failed { error, connection }) => {
                    sender.back_off(error, connection, batch.len()).await;
                    // What has been queued meanwhile does not wait for these.
                    fill_up(&mut batch, &mut queue);
                }
                Err(AcquireError { .. }) => return,
            }
        }
    }
}

fn fill_up(batch: &mut Vec<OutcomeNotification>, queue: &mut UnboundedReceiver<OutcomeNotification>) {
    while batch.len() < MAX_BATCH {
        let Ok(notification) = queue.try_recv() else { return };
        batch.push(notification);
    }
}

/// Which connection a request went out on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionUse {
    New,
    Reused,
}

enum SendResult {
    Acknowledged,
    /// Nothing is known of the batch, which goes to the new address.
    AgentChanged,
    Failed {
        error: DiscoveryError,
        connection: ConnectionUse,
    },
}

/// The connection to the agent, and and its state.
struct NotificationSender {
    agent: AgentAddress,
    events: UnboundedSender<GatewayEvent>,
    gate: Arc<Semaphore>,
    connection: Option<Connection>,
    response_timeout: Duration,
    is_failing: bool,
}

impl NotificationSender {
    /// Sends a batch once. What is acknowledged leaves it.
    ///
    /// # Errors
    /// The gate was closed for good.
    async fn send(&mut self, batch: &mut Vec<OutcomeNotification>) -> Result<SendResult, AcquireError> {
        if self.agent.has_changed().unwrap_or_default() {
            self.connection = None;
        }
        let address = self.agent.borrow_and_update().clone();
        let _permit = self.gate.acquire().await?;
        let connection = if self.connection.is_some() { ConnectionUse::Reused } else { ConnectionUse::New };
        let exchange = Exchange {
            agent: &address,
            connection: &mut self.connection,
            response_timeout: self.response_timeout,
        };
        let result = tokio::select! {
            result = exchange.send(batch, &self.events) => result,
            Ok(()) = self.agent.changed() => {
                self.connection = None;
                return Ok(SendResult::AgentChanged);
            }
        };
        Ok(match result {
            Ok(()) => {
                self.is_failing = false;
                self.response_timeout = FIRST_RESPONSE_TIMEOUT;
                SendResult::Acknowledged
            }
            Err(error) => SendResult::Failed { error, connection },
        })
    }

    /// Prepares for the next try, which goes out on a new connection.
    async fn back_off(&mut self, reason: DiscoveryError, connection: ConnectionUse, waiting: usize) {
        self.connection = None;
        if !self.is_failing {
            warn!(%reason, waiting, "notifications not acknowledged: retrying");
            self.is_failing = true;
        }
        if matches!(reason, DiscoveryError::TimedOut(_)) {
            self.response_timeout = (self.response_timeout * 2).min(AGENT_RESPONSE_TIMEOUT);
        } else if connection == ConnectionUse::New {
            let _ = timeout(CONNECT_RETRY_INTERVAL, self.agent.changed()).await;
        }
    }
}

/// The requests that send one batch.
struct Exchange<'a> {
    agent: &'a str,
    /// Taken while a request is on its way: one that broke is not used again.
    connection: &'a mut Option<Connection>,
    response_timeout: Duration,
}

impl Exchange<'_> {
    async fn send(
        mut self,
        batch: &mut Vec<OutcomeNotification>,
        events: &UnboundedSender<GatewayEvent>,
    ) -> Result<(), DiscoveryError> {
        match self.post(batch.iter().map(OutcomeNotification::line).collect()).await {
            Err(DiscoveryError::Status(StatusCode::BAD_REQUEST)) => {}
            result => {
                result?;
                let acknowledged = batch.drain(..).map(|notification| notification.message).collect();
                let _ = events.send(GatewayEvent::OutcomesAcknowledged(acknowledged));
                return Ok(());
            }
        }
        self.send_one_by_one(batch, events).await
    }

    /// One bad line must not hold up the others: that line is dropped.
    async fn send_one_by_one(
        &mut self,
        batch: &mut Vec<OutcomeNotification>,
        events: &UnboundedSender<GatewayEvent>,
    ) -> Result<(), DiscoveryError> {
        while let Some(notification) = batch.last() {
            match self.post(notification.line()).await {
                Err(refused @ DiscoveryError::Status(StatusCode::BAD_REQUEST)) => {
                    error!(id = notification.id, %refused, "notification dropped: the platform rejects it");
                }
                result => result?,
            }
            let _ = events.send(GatewayEvent::OutcomesAcknowledged(vec![notification.message]));
            batch.pop();
        }
        Ok(())
    }

    async fn post(&mut self, lines: String) -> Result<(), DiscoveryError> {
        let request =
            Request::post("/v1/notices").header("Host", self.agent).body(Full::new(Bytes::from(lines)))?;
        let exchange = async {
            let mut connection = match self.connection.take().filter(|connection| !connection.is_closed()) {
                Some(connection) => connection,
                None => connect(self.agent).await?,
            };
            connection.ready().await?;
            let response: Response<Incoming> = connection.send_request(request).await?;
            let status = response.status();
            response.into_body().collect().await?;
            Ok::<_, DiscoveryError>((connection, status))
        };
        let (connection, status) = timeout(self.response_timeout, exchange).await??;
        *self.connection = Some(connection);
        if status == StatusCode::NO_CONTENT {
            Ok(())
        } else {
            Err(DiscoveryError::Status(status))
        }
    }
}
