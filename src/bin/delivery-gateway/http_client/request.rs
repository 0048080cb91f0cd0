//! Builds the HTTP request of a call to an endpoint.

use bytes::Bytes;
use delivery_gateway::EndpointId;
use http_body_util::Full;
use hyper::http::request::Builder;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

use super::batch::{batch_body, OutgoingMessage};

/// Path of a call that carries one message.
const MESSAGE_PATH: &str = "/hook";
/// Path of a call that carries several messages.
const BATCH_PATH: &str = "/hook/batch";

/// Names of the request headers on the wire.
mod header {
    /// The time that the endpoint has for the call, in seconds with three decimal places.
    pub const TIME_BUDGET: &str = "X-Budget";
    pub const MESSAGE_ID: &str = "X-Call-Id";
    pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
}

/// A call to be made: one message, or several for an endpoint that accepts batches.
pub struct Call {
    /// The endpoint that the call goes to.
    pub endpoint: EndpointId,
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The messages of the call, at least one.
    pub messages: Vec<OutgoingMessage>,
    /// The time limit from the start of the call, before it has a connection, until its response.
    pub attempt_timeout: Duration,
}

/// Whether a call carries one message or several, which determines how the outcome of each is read from the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// One message, whose outcome is in the status and headers.
    Single,
    /// Several messages, whose states are in the body of a 200 response.
    Batch,
}

impl Call {
    /// Returns whether the call carries one message or several.
    pub fn kind(&self) -> CallKind {
        if self.messages.len() > 1 {
            CallKind::Batch
        } else {
            CallKind::Single
        }
    }

    /// Builds the HTTP request of the call. `time_budget` is the time that the endpoint has for it.
    ///
    /// # Errors
    /// The message's id or idempotency key is not a valid header value.
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
