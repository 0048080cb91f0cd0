//! Decodes RESP2 requests, which are arrays of bulk strings, and encodes replies. The size of a request is checked
//! before anything is allocated for it.

use bytes::{Buf, Bytes, BytesMut};
use std::time::Duration;
use thiserror::Error;

use crate::events::EnqueueReply;

/// The maximum number of elements in a request, which are its bulk strings: a command and its arguments.
const MAX_ELEMENTS: usize = 16;
/// The maximum length of an element. The longest element of a request is the body of a message.
pub const MAX_MESSAGE_BODY_BYTES: usize = 64 << 10;
/// The maximum number of bytes in a request besides its longest element: a key, an id, fields and the lines with the
/// lengths.
pub const MAX_BYTES_BESIDE_BODY: usize = 4 << 10;
/// The maximum length of a line that holds a count or a length.
const MAX_LENGTH_LINE_BYTES: usize = 32;
/// The maximum number of bytes in a request.
pub const MAX_REQUEST_BYTES: usize =
    MAX_MESSAGE_BODY_BYTES + MAX_BYTES_BESIDE_BODY + MAX_LENGTH_LINE_BYTES + LINE_END.len();
const LINE_END: &[u8; 2] = b"\r\n";

/// Why bytes cannot be decoded as a request. The start of the next request is then unknown, so the connection has to
/// be closed. The client gets the text.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RespError {
    /// The bytes are not an array of bulk strings.
    #[error("Protocol error: expected an array of bulk strings")]
    Malformed,
    /// The request has more elements or bytes than the limits allow.
    #[error("Protocol error: too long")]
    TooLong,
}

/// A reply to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// The message was accepted, by this request or an earlier one.
    Ok,
    /// The gateway is serving.
    Pong,
    /// The message was rejected. It may be enqueued again, after the duration if there is one.
    Busy(Option<Duration>),
    /// The request is invalid, or cannot be served; with the text for the client.
    Error(&'a str),
}

impl Reply<'_> {
    /// Appends the encoded reply to the bytes to be written.
    pub fn encode(self, output: &mut Vec<u8>) {
        match self {
            Reply::Ok => output.extend_from_slice(b"+OK\r\n"),
            Reply::Pong => output.extend_from_slice(b"+PONG\r\n"),
            Reply::Busy(None) => output.extend_from_slice(b"-BUSY\r\n"),
            Reply::Busy(Some(retry_after)) => {
                output.extend_from_slice(format!("-BUSY {}\r\n", retry_after.as_millis()).as_bytes());
            }
            Reply::Error(text) => output.extend_from_slice(format!("-ERR {text}\r\n").as_bytes()),
        }
    }
}

impl From<&EnqueueReply> for Reply<'static> {
    fn from(reply: &EnqueueReply) -> Self {
        match *reply {
            EnqueueReply::Accepted(_) | EnqueueReply::AlreadyAccepted => Reply::Ok,
            EnqueueReply::Rejected(retry_after) => Reply::Busy(retry_after),
            EnqueueReply::Error(text) => Reply::Error(text),
        }
    }
}

/// Removes the first complete request from the buffer and returns its elements; None while the request is incomplete.
///
/// Only arrays of bulk strings are accepted, so that depth and size are limited before anything is allocated. General
/// RESP decoders recurse as deeply as their input nests.
///
/// # Errors
/// The bytes are not a request, or the request is too long. The buffer is unchanged.
pub fn decode_request(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
    let Some(header) = length_line(buffer, 0, b'*')? else { return Ok(None) };
    if header.value > MAX_ELEMENTS {
        return Err(RespError::TooLong);
    }
    let mut spans = Vec::with_capacity(header.value);
    let mut longest_element = 0;
    let mut position = header.end;
    for _ in 0..header.value {
        let Some(element) = length_line(buffer, position, b'$')? else { return Ok(None) };
        if element.value > MAX_MESSAGE_BODY_BYTES {
            return Err(RespError::TooLong);
        }
        let element_end = element.end + element.value;
        longest_element = longest_element.max(element.value);
        if element_end - longest_element > MAX_BYTES_BESIDE_BODY {
            return Err(RespError::TooLong);
        }
        match buffer.get(element_end..element_end + LINE_END.len()) {
            None => return Ok(None),
            Some(line_end) if line_end == LINE_END => {}
            Some(_) => return Err(RespError::Malformed),
        }
        spans.push(element.end..element_end);
        position = element_end + LINE_END.len();
    }
    let frame = buffer.split_to(position).freeze();
    Ok(Some(spans.into_iter().map(|span| frame.slice(span)).collect()))
}

/// Skips a request without keeping its bytes.
#[derive(Default)]
pub struct RequestSkipper {
    /// The number of elements whose length has not been read. None before the header.
    elements_left: Option<usize>,
    /// The number of bytes left of the current element and its line end.
    bytes_left: usize,
}

impl RequestSkipper {
    /// Removes bytes of the request from the buffer. Returns whether the request has ended; the buffer then begins with
    /// the next request.
    ///
    /// # Errors
    /// The bytes are not a request, or the request is too long.
    pub fn skip(&mut self, buffer: &mut BytesMut) -> Result<bool, RespError> {
        loop {
            let skipped = self.bytes_left.min(buffer.len());
            buffer.advance(skipped);
            self.bytes_left -= skipped;
            if self.bytes_left > 0 || self.elements_left == Some(0) {
                return Ok(self.bytes_left == 0);
            }
            let prefix = if self.elements_left.is_none() { b'*' } else { b'$' };
            let Some(line) = length_line(buffer, 0, prefix)? else { return Ok(false) };
            buffer.advance(line.end);
            match self.elements_left {
                None if line.value > MAX_ELEMENTS => return Err(RespError::TooLong),
                None => self.elements_left = Some(line.value),
                Some(_) if line.value > MAX_MESSAGE_BODY_BYTES => return Err(RespError::TooLong),
                Some(count) => {
                    self.elements_left = Some(count - 1);
                    self.bytes_left = line.value + LINE_END.len();
                }
            }
        }
    }
}

/// A line that holds a count or a length.
struct LengthLine {
    value: usize,
    /// The offset in the buffer of the first byte after the line.
    end: usize,
}

/// Parses the line at offset `start` of the buffer, which must begin with `prefix`; None while the line is incomplete.
fn length_line(buffer: &BytesMut, start: usize, prefix: u8) -> Result<Option<LengthLine>, RespError> {
    let mut line = &buffer[start..];
    match line.first() {
        None => return Ok(None),
        Some(first) if *first != prefix => return Err(RespError::Malformed),
        Some(_) => line.advance(1),
    }
    let Some(newline) = line.iter().take(MAX_LENGTH_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if line.len() < MAX_LENGTH_LINE_BYTES { Ok(None) } else { Err(RespError::Malformed) };
    };
    let digits = line[..newline].strip_suffix(b"\r").ok_or(RespError::Malformed)?;
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(RespError::Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| RespError::Malformed)?;
    let value = digits.parse().map_err(|_| RespError::TooLong)?;
    Ok(Some(LengthLine { value, end: start + newline + 2 }))
}
