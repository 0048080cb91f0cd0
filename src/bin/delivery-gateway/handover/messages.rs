//! The messages between the two processes of a handover. The order of variants and of fields is the wire format between
//! two builds. Additions go to the end, which keeps the bytes of existing variants and fields; any other change has to
//! raise [`FORMAT`].
//!
//! A reader ignores bytes after the last field that its build expects. A message with a variant that its build doesn't
//! have, or one that ends before the last expected field, counts as malformed and ends the connection. So a new variant
//! is sent only to a process that has said that it knows it, and a new field of a `Hello` may be missing. A field added
//! before other bytes of a message, also in a nested type, shifts these, so that they may be misread.

use bytes::Bytes;
use delivery_gateway::{EndpointId, MessageId};
use serde::{Deserialize, Deserializer, Serialize};
use std::time::Duration;

use crate::event_loop::CarriedOverConstraints;
use crate::events::{AdminOperation, AdminResult, CallResult, StopReason};

/// The version of the message format.
pub const FORMAT: u32 = 1;

/// Messages from the successor, which is the new process.
#[derive(Serialize, Deserialize)]
pub enum ToPredecessor {
    /// Asks for the handover. Must be the first message. Processes with the same fingerprint can exchange a handover
    /// snapshot.
    Hello {
        format: u32,
        fingerprint: u32,
        /// Whether the successor's build knows [`ToSuccessor::ReloadConfiguration`]. False if the message ends before
        /// this field, as that of an older build does.
        #[serde(deserialize_with = "false_if_missing")]
        accepts_reload_requests: bool,
    },
    /// Stops an in-flight call of the predecessor, which is identified by one of its messages.
    CancelCall { message: MessageId, reason: StopReason },
    /// The result of an [`AdminRequest`](ToSuccessor::AdminRequest).
    AdminResult { request: u64, result: AdminResult },
}

/// Reads the last field of a message, which messages of older builds lack.
fn false_if_missing<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    Ok(bool::deserialize(deserializer).unwrap_or_default())
}

/// Messages from the predecessor, which is the old process.
#[derive(Serialize, Deserialize)]
pub enum ToSuccessor {
    /// Refuses the handover for now. The successor may ask again.
    Refused,
    /// Makes the successor the owner of the state folder. The descriptors are the listener and the lock, in this order.
    Begin(BeginState),
    /// Transfers a client's connection. The descriptor is its socket.
    ClientConnection {
        /// The bytes read of its next request.
        buffer: Bytes,
        /// Whether a request on it has been answered.
        served: bool,
        /// The time that is left for more bytes to arrive, from the transfer.
        time_left: Duration,
    },
    /// An in-flight call has ended for these messages; see [`GatewayEvent`](crate::events::GatewayEvent::CallEnded).
    CallEnded { endpoint: EndpointId, messages: Vec<MessageId>, result: CallResult },
    /// A client disconnected before it received the reply that its message was accepted.
    AcceptanceNotReceived(MessageId),
    /// A request of an operator at the predecessor's admin endpoint. `request` identifies it in the result.
    AdminRequest { request: u64, operation: AdminOperation },
    /// The configuration file may have been replaced: the predecessor got SIGHUP. Sent only if the successor's `Hello`
    /// says that it accepts this message.
    ReloadConfiguration,
}

/// The state that the successor needs in addition to the journal.
#[derive(Serialize, Deserialize)]
pub enum BeginState {
    /// An encoded handover snapshot, for a process with the same fingerprint.
    Snapshot(Vec<u8>),
    /// Constraints for a process with another fingerprint.
    Constraints(CarriedOverConstraints),
}
