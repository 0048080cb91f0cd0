//! A gateway among endpoints that serve, reject and reset calls, audited by the delivery rules, message by message.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::{Duration, Instant};

use super::{Call, RunningGateway, StubEvent, TestEnvironment};

/// Longer than a gateway takes for a reply; real clients wait for less, but the machine may be busy.
const ANSWER: Duration = Duration::from_secs(3);
/// Every accepted message has its outcome by then.
const ENDS: Duration = Duration::from_secs(30);

/// Whether a client may find its connection closed without a reply: where the system reported the connection as broken
/// to the gateway, or failed to accept it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ClientExpectation {
    AreAnswered,
    MayBeDisconnected,
}

/// What is known of one message.
#[derive(Default)]
struct Message {
    is_non_idempotent: bool,
    accepted: bool,
    refused: bool,
    /// Calls that ran, or whose outcome nobody knows.
    may_have_run: usize,
    calls: usize,
    delivered: bool,
    notified: bool,
}

/// Audits gateways among endpoints that serve, reject and reset calls.
pub struct DeliveryAudit<'a> {
    environment: &'a TestEnvironment,
    messages: BTreeMap<String, Message>,
    /// Ids of accepted messages without an outcome so far.
    pub pending: BTreeSet<String>,
    calls: usize,
}

impl<'a> DeliveryAudit<'a> {
    pub fn new(environment: &'a TestEnvironment) -> Self {
        DeliveryAudit { environment, messages: BTreeMap::new(), pending: BTreeSet::new(), calls: 0 }
    }

    /// Enqueues a message under this id on a new connection.
    pub fn enqueue(
        &mut self,
        gateway: &RunningGateway,
        id: &str,
        is_non_idempotent: bool,
        clients: ClientExpectation,
    ) {
        let class = if is_non_idempotent { "salary" } else { "notice,k=aa" };
        let mut message = Message { is_non_idempotent, ..Message::default() };
        let ask = || -> io::Result<String> {
            let mut client = gateway.try_client(ANSWER)?;
            client.send_enqueue(id, "0", class, 1, &[b'x'; 3000]);
            client.try_read_line()
        };
        let answer = ask();
        match answer {
            Ok(line) if line == "+OK" => {
                message.accepted = true;
                self.pending.insert(id.to_owned());
            }
            Ok(line) if line.starts_with('-') => message.refused = true,
            other => {
                assert!(clients == ClientExpectation::MayBeDisconnected, "{id} was not answered: {other:?}")
            }
        }
        self.messages.insert(id.to_owned(), message);
        self.observe(Duration::ZERO);
    }

    /// Observes calls and notifications, for so long at most or until no message is pending any more.
    pub fn observe(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while let Some(seen) = self.environment.event_within(end.saturating_duration_since(Instant::now())) {
            match seen {
                StubEvent::Call(call) => self.serve(call),
                StubEvent::Notification(line) => {
                    let notification: serde_json::Value = serde_json::from_str(&line).unwrap();
                    let id = notification["id"].as_str().unwrap();
                    self.messages.get_mut(id).unwrap_or_else(|| panic!("nobody's notice: {line}")).notified =
                        true;
                    self.pending.remove(id);
                }
            }
            if self.pending.is_empty() && limit > Duration::ZERO {
                return;
            }
        }
    }

    /// Serves two calls of four; one is rejected, and the connection of one is reset.
    fn serve(&mut self, call: Call) {
        self.calls += 1;
        let message = self.messages.entry(call.id.clone()).or_default();
        assert!(!message.refused, "{} was sent though its client was refused", call.id);
        assert!(
            !(message.is_non_idempotent && message.may_have_run > 0),
            "{} may have run, and came again",
            call.id
        );
        message.calls += 1;
        assert!(message.calls <= 8, "{} has had all its attempts", call.id);
        match self.calls % 4 {
            1 => call.answer("503 Service Unavailable", ""),
            3 if !message.is_non_idempotent => {
                message.may_have_run += 1;
                call.reset();
            }
            _ => {
                message.may_have_run += 1;
                message.delivered = true;
                self.pending.remove(&call.id);
                call.answer("200 OK", "");
            }
        }
    }

    /// Waits until every accepted message has its outcome.
    pub fn wait_for_outcomes(&mut self, what: &str) {
        self.observe(ENDS);
        assert!(self.pending.is_empty(), "{what}: no end for {:?}", self.pending);
    }
}
