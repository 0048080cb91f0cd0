//! Parses the elements of an `ENQUEUE` request into an [`EnqueueRequest`], and defines the names of its fields on the
//! wire. Error texts repeat some of these names.

use bytes::Bytes;
use std::time::Duration;
use thiserror::Error;

use super::codec::MAX_MESSAGE_BODY_BYTES;
use crate::events::EnqueueRequest;
use crate::journal::MessageContent;

/// The maximum length of a token, which is an id or an idempotency key.
const MAX_TOKEN_CHARS: usize = 128;

/// Names of the fields on the wire, where they form a list of `name=value` pairs separated by commas.
mod field {
    /// The name of the message's class. Required.
    pub const CLASS: &str = "c";
    /// Absent for messages without a tenant.
    pub const TENANT: &str = "t";
    /// The number of the destination. Required.
    pub const DESTINATION: &str = "dest";
    /// The time left until the deadline of the message, in milliseconds. Required. A longer time than the deadline of
    /// the class allows is cut to that.
    pub const TIME_LEFT: &str = "d";
    /// Required in classes that are idempotent only with a key.
    pub const IDEMPOTENCY_KEY: &str = "k";
    /// `1` where another gateway may have accepted the message before.
    pub const REDELIVERED: &str = "again";
}

/// Why an `ENQUEUE` request is invalid. The client gets the text, and its connection stays open.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EnqueueError {
    /// The request does not have exactly five elements.
    #[error("ENQUEUE takes a key, an id, fields and a body")]
    ElementCount,
    /// The body is longer than [`MAX_MESSAGE_BODY_BYTES`].
    #[error("the body is too long")]
    BodyTooLong,
    /// The ordering key is not a hexadecimal number of up to 64 bits.
    #[error("the key is not hexadecimal")]
    OrderingKey,
    /// The id is empty, longer than [`MAX_TOKEN_CHARS`], or has other characters than letters, digits and `-_.:`, and
    /// so cannot be put into a header and a notification.
    #[error("the id has other characters than an id may have")]
    Id,
    /// The fields are not UTF-8.
    #[error("the fields are not text")]
    Fields,
    /// The idempotency key is empty, longer than [`MAX_TOKEN_CHARS`], or has other characters than letters, digits and
    /// `-_.:`, and so cannot be put into a header.
    #[error("k has other characters than a key may have")]
    IdempotencyKey,
    /// The class is missing.
    #[error("c is missing")]
    MissingClass,
    /// The destination is missing or not a number.
    #[error("dest is missing or no number")]
    Destination,
    /// The time left is missing or not a whole number of milliseconds.
    #[error("d is missing or no number")]
    TimeLeft,
}

/// The text of a request's fields, which is searched at each lookup. Parts without an equals sign are ignored.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// Returns the value of the first field of this name; None if there is none.
    fn get(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(found, _)| *found == name).map(|(_, value)| value)
    }
}

impl TryFrom<&[Bytes]> for EnqueueRequest {
    type Error = EnqueueError;

    /// Parses `ENQUEUE ordering-key id fields body`.
    fn try_from(elements: &[Bytes]) -> Result<Self, EnqueueError> {
        let [_command, ordering_key, id, fields, body] = elements else {
            return Err(EnqueueError::ElementCount);
        };
        if body.len() > MAX_MESSAGE_BODY_BYTES {
            return Err(EnqueueError::BodyTooLong);
        }
        let ordering_key = text(ordering_key)
            .and_then(|key| u64::from_str_radix(key, 16).ok())
            .ok_or(EnqueueError::OrderingKey)?;
        let id = text(id).filter(|id| is_token(id)).ok_or(EnqueueError::Id)?;
        let fields = Fields(text(fields).ok_or(EnqueueError::Fields)?);
        let idempotency_key = fields.get(field::IDEMPOTENCY_KEY);
        if idempotency_key.is_some_and(|key| !is_token(key)) {
            return Err(EnqueueError::IdempotencyKey);
        }
        let class = fields.get(field::CLASS).ok_or(EnqueueError::MissingClass)?;
        let destination = fields
            .get(field::DESTINATION)
            .and_then(|number| number.parse().ok())
            .ok_or(EnqueueError::Destination)?;
        let time_left_ms = fields
            .get(field::TIME_LEFT)
            .and_then(|number| number.parse().ok())
            .ok_or(EnqueueError::TimeLeft)?;
        Ok(EnqueueRequest {
            id: id.to_owned(),
            ordering_key,
            class: class.to_owned(),
            tenant: fields.get(field::TENANT).unwrap_or_default().to_owned(),
            destination,
            time_left: Duration::from_millis(time_left_ms),
            idempotency_key: idempotency_key.map(str::to_owned),
            is_redelivered: fields.get(field::REDELIVERED) == Some("1"),
            // Copied, since a slice would keep the buffer of the whole request in memory.
            body: Bytes::copy_from_slice(body),
        })
    }
}

impl EnqueueRequest {
    /// Returns the content that identifies the message besides its id.
    pub fn content(&self) -> MessageContent<'_> {
        MessageContent {
            ordering_key: self.ordering_key,
            class: &self.class,
            destination: self.destination,
            idempotency_key: self.idempotency_key.as_deref(),
            body: &self.body,
        }
    }
}

fn text(element: &Bytes) -> Option<&str> {
    std::str::from_utf8(element).ok()
}

/// Returns whether a text is a token: not empty, at most [`MAX_TOKEN_CHARS`] long, and only of characters that can be
/// put into a header and a notification unchanged.
fn is_token(text: &str) -> bool {
    (1..=MAX_TOKEN_CHARS).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte))
}
