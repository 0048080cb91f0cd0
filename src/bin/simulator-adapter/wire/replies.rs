//! Defines and encodes the replies to a batch. Durations are in nanoseconds.

use super::records::InstanceId;

/// A reply: an action that a scheduler requests, or the report of its panic.
#[derive(Clone, Debug, PartialEq)]
#[allow(dead_code)] // The codec has all replies; the scheduler requests no probes, notes, log lines or fetches.
pub enum Reply {
    /// Send a message to an endpoint. An attempt timeout of 0 means none.
    StartAttempt { instance: InstanceId, message: u32, endpoint: u32, attempt_timeout: u64 },
    /// Return a message to its client, which may enqueue it again after `retry_after`.
    Reject { instance: InstanceId, message: u32, retry_after: u64 },
    /// Report that a message has failed.
    ReportFailure { instance: InstanceId, message: u32 },
    /// Cancel an attempt. `attempt` is its index among those of the message, from 0.
    CancelAttempt { instance: InstanceId, message: u32, attempt: u16 },
    /// Fire a timer after a duration from now, with the token in the record of its firing.
    SetTimer { instance: InstanceId, after: u64, token: u64 },
    /// Probe an endpoint.
    Probe { instance: InstanceId, endpoint: u32 },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections { instance: InstanceId, endpoint: u32 },
    /// Send a note to another scheduler.
    SendNote { instance: InstanceId, peer: u16, text: Vec<u8> },
    /// Write a line to the log.
    Log { instance: InstanceId, text: String },
    /// The scheduler has panicked.
    Panic { instance: InstanceId, text: String },
    /// Start or end a watch on the endpoint list.
    WatchEndpoints { instance: InstanceId, active: bool },
    /// Fetch the whole endpoint list once.
    FetchEndpoints { instance: InstanceId },
}

/// The first byte of each type of reply.
mod reply_code {
    pub const START_ATTEMPT: u8 = 10;
    pub const REJECT: u8 = 20;
    pub const REPORT_FAILURE: u8 = 30;
    pub const CANCEL_ATTEMPT: u8 = 40;
    pub const SET_TIMER: u8 = 50;
    pub const PROBE: u8 = 60;
    pub const CLOSE_IDLE_CONNECTIONS: u8 = 70;
    pub const SEND_NOTE: u8 = 80;
    pub const LOG: u8 = 90;
    pub const PANIC: u8 = 100;
    pub const WATCH_ENDPOINTS: u8 = 110;
    pub const FETCH_ENDPOINTS: u8 = 120;
}

/// The size of the length field before the replies of a frame.
const LENGTH_BYTES: usize = 4;

/// Encodes replies as one frame: the length, and the replies one after the other.
pub fn write_frame(replies: &[Reply]) -> Vec<u8> {
    let mut out = vec![0; LENGTH_BYTES];
    for reply in replies {
        write_reply(&mut out, reply);
    }
    let length = u32::try_from(out.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
    out[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    out
}

/// Appends one reply.
pub fn write_reply(out: &mut Vec<u8>, reply: &Reply) {
    match reply {
        Reply::StartAttempt { instance, message, endpoint, attempt_timeout } => {
            write_head(out, reply_code::START_ATTEMPT, *instance);
            out.extend(message.to_be_bytes());
            out.extend(endpoint.to_be_bytes());
            out.extend(attempt_timeout.to_be_bytes());
        }
        Reply::Reject { instance, message, retry_after } => {
            write_head(out, reply_code::REJECT, *instance);
            out.extend(message.to_be_bytes());
            out.extend(retry_after.to_be_bytes());
        }
        Reply::ReportFailure { instance, message } => {
            write_head(out, reply_code::REPORT_FAILURE, *instance);
            out.extend(message.to_be_bytes());
        }
        Reply::CancelAttempt { instance, message, attempt } => {
            write_head(out, reply_code::CANCEL_ATTEMPT, *instance);
            out.extend(message.to_be_bytes());
            out.extend(attempt.to_be_bytes());
        }
        Reply::SetTimer { instance, after, token } => {
            write_head(out, reply_code::SET_TIMER, *instance);
            out.extend(after.to_be_bytes());
            out.extend(token.to_be_bytes());
        }
        Reply::Probe { instance, endpoint } => {
            write_head(out, reply_code::PROBE, *instance);
            out.extend(endpoint.to_be_bytes());
        }
        Reply::CloseIdleConnections { instance, endpoint } => {
            write_head(out, reply_code::CLOSE_IDLE_CONNECTIONS, *instance);
            out.extend(endpoint.to_be_bytes());
        }
        Reply::SendNote { instance, peer, text } => {
            write_head(out, reply_code::SEND_NOTE, *instance);
            out.extend(peer.to_be_bytes());
            write_text(out, text);
        }
        Reply::Log { instance, text } => {
            write_head(out, reply_code::LOG, *instance);
            write_text(out, text.as_bytes());
        }
        Reply::Panic { instance, text } => {
            write_head(out, reply_code::PANIC, *instance);
            write_text(out, text.as_bytes());
        }
        Reply::WatchEndpoints { instance, active } => {
            write_head(out, reply_code::WATCH_ENDPOINTS, *instance);
            out.push(u8::from(*active));
        }
        Reply::FetchEndpoints { instance } => write_head(out, reply_code::FETCH_ENDPOINTS, *instance),
    }
}

fn write_head(out: &mut Vec<u8>, code: u8, instance: InstanceId) {
    out.push(code);
    out.extend(instance.to_be_bytes());
}

/// Appends a text after its length in two bytes. A text of more than 65,535 bytes is truncated.
fn write_text(out: &mut Vec<u8>, text: &[u8]) {
    let length = u16::try_from(text.len()).unwrap_or(u16::MAX);
    out.extend(length.to_be_bytes());
    out.extend(&text[..usize::from(length)]);
}
