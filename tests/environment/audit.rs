//! Audits gateways against the delivery rules, message by message, while endpoints serve, reject and reset calls.
//!
//! The audit panics when a rejected message is sent, when a non-idempotent message that may have run is sent again,
//! when a message is sent more than eight times, when an accepted message has no final outcome in time, when a
//! notification names an unknown message, and when a client that must be answered gets no reply.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::{Duration, Instant};

use super::{Call, RunningGateway, StubEvent, TestEnvironment};

/// Limits how long a client waits for a reply. Real clients wait for less, but a test machine may be busy.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Limits how long [`DeliveryAudit::wait_for_outcomes`] waits for final outcomes.
const OUTCOMES_TIMEOUT: Duration = Duration::from_secs(30);

/// Says whether a client may find its connection closed without a reply. That is permitted where the system reported
/// the connection to the gateway as broken or failed to accept it, and where the gateway is killed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ClientExpectation {
    /// Each request has to get a reply: `+OK` or an error.
    MustBeAnswered,
    MayBeDisconnected,
}

/// The requests, calls and outcomes observed for one message.
#[derive(Default)]
struct Message {
    is_non_idempotent: bool,
    is_accepted: bool,
    is_rejected: bool,
    /// The number of calls that ran or whose outcome the gateway cannot know.
    possibly_run_calls: usize,
    calls: usize,
    is_delivered: bool,
    is_notified: bool,
}

/// Enqueues messages and answers their calls, and checks each call and outcome against the delivery rules.
pub struct DeliveryAudit<'a> {
    environment: &'a TestEnvironment,
    messages: BTreeMap<String, Message>,
    /// The ids of accepted messages without a final outcome.
    pub pending: BTreeSet<String>,
    /// The number of calls for all messages.
    calls: usize,
}

impl<'a> DeliveryAudit<'a> {
    pub fn new(environment: &'a TestEnvironment) -> Self {
        DeliveryAudit { environment, messages: BTreeMap::new(), pending: BTreeSet::new(), calls: 0 }
    }

    /// Enqueues a message under this id on a new connection, and then handles all events that have arrived.
    pub fn enqueue(
        &mut self,
        gateway: &RunningGateway,
        id: &str,
        is_non_idempotent: bool,
        expectation: ClientExpectation,
    ) {
        let class = if is_non_idempotent { "salary" } else { "notice,k=aa" };
        let mut message = Message { is_non_idempotent, ..Message::default() };
        let try_enqueue = || -> io::Result<String> {
            let mut client = gateway.try_client(REPLY_TIMEOUT)?;
            client.send_enqueue(id, "0", class, 1, &[b'x'; 3000]);
            client.try_read_line()
        };
        let reply = try_enqueue();
        match reply {
            Ok(line) if line == "+OK" => {
                message.is_accepted = true;
                self.pending.insert(id.to_owned());
            }
            Ok(line) if line.starts_with('-') => message.is_rejected = true,
            other => {
                assert!(
                    expectation == ClientExpectation::MayBeDisconnected,
                    "{id} got neither +OK nor an error: {other:?}"
                )
            }
        }
        self.messages.insert(id.to_owned(), message);
        self.observe(Duration::ZERO);
    }

    /// Answers calls and records notifications until `limit` has passed, or until no message is pending after one of
    /// them. With a limit of zero it handles all events that have arrived.
    pub fn observe(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while let Some(event) = self.environment.event_within(end.saturating_duration_since(Instant::now())) {
            match event {
                StubEvent::Call(call) => self.serve(call),
                StubEvent::Notification(line) => {
                    let notification: serde_json::Value = serde_json::from_str(&line).unwrap();
                    let id = notification["id"].as_str().unwrap();
                    self.messages
                        .get_mut(id)
                        .unwrap_or_else(|| panic!("notification for an unknown message: {line}"))
                        .is_notified = true;
                    self.pending.remove(id);
                }
            }
            if self.pending.is_empty() && limit > Duration::ZERO {
                return;
            }
        }
    }

    /// Checks that the call is permitted and answers it: of four calls two are served, one is rejected, and the
    /// connection of one is reset. Non-idempotent messages are served instead of reset.
    fn serve(&mut self, call: Call) {
        self.calls += 1;
        let message = self.messages.entry(call.id.clone()).or_default();
        assert!(!message.is_rejected, "{} was sent although its request was rejected", call.id);
        assert!(
            !(message.is_non_idempotent && message.possibly_run_calls > 0),
            "{} is non-idempotent, may have run and was sent again",
            call.id
        );
        message.calls += 1;
        assert!(message.calls <= 8, "{} was sent more than 8 times", call.id);
        match self.calls % 4 {
            1 => call.answer("503 Service Unavailable", ""),
            3 if !message.is_non_idempotent => {
                message.possibly_run_calls += 1;
                call.reset();
            }
            _ => {
                message.possibly_run_calls += 1;
                message.is_delivered = true;
                self.pending.remove(&call.id);
                call.answer("200 OK", "");
            }
        }
    }

    /// Waits until every accepted message has its final outcome; panics after [`OUTCOMES_TIMEOUT`], with `case` in the
    /// text.
    pub fn wait_for_outcomes(&mut self, case: &str) {
        self.observe(OUTCOMES_TIMEOUT);
        assert!(self.pending.is_empty(), "{case}: no final outcome for {:?}", self.pending);
    }
}
