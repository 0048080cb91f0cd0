//! A call to an endpoint, and its HTTP request.

use bytes::Bytes;
use delivery_gateway::EndpointId;
use http_body_util::Full;
use hyper::http::request::Builder;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

use super::batch::{batch_body, OutgoingMessage};

/// Paths of a call for one message and for several.
const MESSAGE_PATH: &str = "/hook";
const BATCH_PATH: &str = "/hook/batch";

/// Names of the headers on the wire.
mod header {
    /// Seconds that the endpoint has for the call.
    pub const TIME_BUDGET: &str = "X-Budget";
    pub const MESSAGE_ID: &str = "X-Call-Id";
    pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
}

/// What a call carries: one message, or several for an endpoint that takes them together.
pub struct Call {
    /// Whom it goes to.
    pub endpoint: EndpointId,
    /// Where that is.
    pub address: SocketAddr,
    /// At least one.
    pub messages: Vec<OutgoingMessage>,
    /// From the decision to make the call until its response.
    pub attempt_timeout: Duration,
}

/// Whether a call carries one message or several, which decides what its response says of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// One message.
    Single,
    /// Several messages.
    Batch,
}

impl Call {
    /// Whether it carries one message or several.
    pub fn kind(&self) -> CallKind {
        if self.messages.len() > 1 {
            CallKind::Batch
        } else {
            CallKind::Single
        }
    }

    /// The request for it, with the time that the endpoint has.
    ///
    /// # Errors
    /// A header cannot hold the id or the key of a message.
    pub fn request(&self, time_budget: Duration) -> hyper::http::Result<Request<Full<Bytes>>> {
        let [message] = self.messages.as_slice() else {
            let request = self.post(BATCH_PATH, time_budget).header("Content-Type", "application/json");
            return request.body(Full::new(batch_body(&self.messages)));
        };
        let mut request = self.post(MESSAGE_PATH, time_budget).header(header::MESSAGE_ID, &message.id);
        if let Some(key) = &message.idempotency_key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        request.body(Full::new(message.body.clone()))
    }

    fn post(&self, path: &str, time_budget: Duration) -> Builder {
        Request::post(path)
            .header("Host", self.address.to_string())
            .header(header::TIME_BUDGET, format!("{:.3}", time_budget.as_secs_f64()))
    }
}
