//! Messages to be sent, and the request body of a call that carries several of them.

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use delivery_gateway::MessageId;
use serde_json::{json, Value};
use tokio::time::Instant;

/// The bytes that the JSON names, quotes and commas around a message's id, key and body take up in a batch.
const FRAMING_BYTES_PER_MESSAGE: usize = 40;

/// A message that a call carries.
#[derive(Clone)]
pub struct OutgoingMessage {
    /// The number that the gateway gave the message.
    pub message: MessageId,
    /// The message is not sent unless its call has a connection before this time.
    pub send_by: Instant,
    /// A response at or after this time no longer delivers the message.
    pub expires_at: Instant,
    /// The id that the client gave the message.
    pub id: String,
    /// The same for all attempts to deliver the message; None if the client gave none.
    pub idempotency_key: Option<String>,
    /// The body that the client sent, unchanged.
    pub body: Bytes,
}

impl OutgoingMessage {
    /// Returns the maximum number of bytes that the message adds to the body of a batch.
    pub fn batched_size(&self) -> usize {
        let key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        let body_bytes = self.body.len().div_ceil(3) * 4;
        body_bytes + self.id.len() + key_bytes + FRAMING_BYTES_PER_MESSAGE
    }
}

/// Encodes several messages as one request body: a JSON array of objects, each with the message's body in Base64.
pub fn batch_body(messages: &[OutgoingMessage]) -> Bytes {
    let items = messages.iter().map(|message| {
        let mut item = json!({"id": message.id, "body": BASE64_STANDARD.encode(&message.body)});
        if let Some(key) = &message.idempotency_key {
            item["key"] = key.as_str().into();
        }
        item
    });
    Bytes::from(Value::from_iter(items).to_string())
}
