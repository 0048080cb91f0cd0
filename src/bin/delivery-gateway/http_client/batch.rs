//! Messages on their way, and the body of a call that carries several of them.

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use delivery_gateway::MessageId;
use serde_json::{json, Value};
use tokio::time::Instant;

/// Bytes of a message in a batch for the names, quotes and commas around its id, key and body.
const FRAMING_BYTES_PER_MESSAGE: usize = 40;

/// A message on its way.
#[derive(Clone)]
pub struct OutgoingMessage {
    /// Its number in this process.
    pub message: MessageId,
    /// Its first byte leaves before this, or it is not sent.
    pub send_by: Instant,
    /// From here on no response delivers it any more.
    pub expires_at: Instant,
    /// The id that its client gave it.
    pub id: String,
    /// The same for all attempts to deliver it.
    pub idempotency_key: Option<String>,
    /// What its client sent.
    pub body: Bytes,
}

impl OutgoingMessage {
    /// Bytes that it adds to the body of a call for several messages, at most.
    pub fn batched_size(&self) -> usize {
        let key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        let body_bytes = self.body.len().div_ceil(3) * 4;
        body_bytes + self.id.len() + key_bytes + FRAMING_BYTES_PER_MESSAGE
    }
}

/// Several messages in one body: a JSON array, each message with its body in Base64.
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
