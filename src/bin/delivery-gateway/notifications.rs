//! Sends notifications of final outcomes to the platform through discovery's agent. One request carries many, and each
//! notification is sent until it is acknowledged: a duplicate does no harm, but a lost one does.
//!
//! A notification is dropped only if the platform rejects it with 400 in a request of its own. Any other failure is
//! retried without end.

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

/// The initial timeout of a request, including a connect if it needs one. After it the batch is sent again on another
/// connection, since the connection may be dead while the agent still works, and the timeout doubles up to
/// [`AGENT_RESPONSE_TIMEOUT`].
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// The pause after a failure on a new connection, unless the failure was a timeout.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of notifications in one request.
const MAX_BATCH: usize = 200;

impl OutcomeNotification {
    /// Encodes the notification as one line of a request's body.
    fn to_line(&self) -> String {
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

/// Sends notifications until each is acknowledged, and ends when `queue` or `gate` is closed. When the agent's address
/// changes, those that are not acknowledged yet go to the new address. Nothing is sent while another task holds the
/// permit of `gate`.
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
                    // The next request also carries what has been queued meanwhile.
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

/// Whether a request was sent on a new connection or a reused one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionUse {
    New,
    Reused,
}

enum SendResult {
    Acknowledged,
    /// The agent's address changed before its response. The batch has to be sent to the new address.
    AgentChanged,
    Failed {
        error: DiscoveryError,
        connection: ConnectionUse,
    },
}

/// Sends batches to the agent, and owns the connection and the state of the retries.
struct NotificationSender {
    agent: AgentAddress,
    events: UnboundedSender<GatewayEvent>,
    gate: Arc<Semaphore>,
    connection: Option<Connection>,
    response_timeout: Duration,
    is_failing: bool,
}

impl NotificationSender {
    /// Sends a batch once, and removes what is acknowledged or dropped from it.
    ///
    /// # Errors
    /// The gate was closed, and nothing is sent any more.
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

    /// Closes the connection, so that the next try uses a new one, and logs the first failure of a series. After a
    /// timeout it doubles the timeout. After another failure on a new connection it pauses for
    /// [`CONNECT_RETRY_INTERVAL`], or until the agent's address changes.
    async fn back_off(&mut self, reason: DiscoveryError, connection: ConnectionUse, waiting: usize) {
        self.connection = None;
        if !self.is_failing {
            warn!(%reason, waiting, "the agent did not acknowledge notifications; retrying");
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
    /// Taken during a request, and put back only after its response, so that a broken connection is not reused.
    connection: &'a mut Option<Connection>,
    response_timeout: Duration,
}

impl Exchange<'_> {
    /// Sends the batch in one request or, if the platform rejects that with 400, one by one.
    async fn send(
        mut self,
        batch: &mut Vec<OutcomeNotification>,
        events: &UnboundedSender<GatewayEvent>,
    ) -> Result<(), DiscoveryError> {
        match self.post(batch.iter().map(OutcomeNotification::to_line).collect()).await {
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

    /// Sends each notification in a request of its own, and drops those that are rejected with 400, so that one invalid
    /// line does not block the others.
    async fn send_one_by_one(
        &mut self,
        batch: &mut Vec<OutcomeNotification>,
        events: &UnboundedSender<GatewayEvent>,
    ) -> Result<(), DiscoveryError> {
        while let Some(notification) = batch.last() {
            match self.post(notification.to_line()).await {
                Err(refused @ DiscoveryError::Status(StatusCode::BAD_REQUEST)) => {
                    error!(id = notification.id, %refused, "the platform rejected a notification; dropping it");
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
