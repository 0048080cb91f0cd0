//! What the two processes of a handover say to each other. The order of variants and of fields is the wire between two
//! builds: what is added goes to the end, and all else raises [`FORMAT`].

use bytes::Bytes;
use delivery_gateway::{EndpointId, MessageId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::event_loop::CarriedOverConstraints;
use crate::events::{AdminOperation, AdminResult, CallResult, StopReason};

/// The version of these messages.
pub const FORMAT: u32 = 1;

/// What the successor, the new process, says.
#[derive(Serialize, Deserialize)]
pub enum ToPredecessor {
    /// It asks for the handover. Processes of the same fingerprint mean the same by a handover snapshot.
    Hello { format: u32, fingerprint: u32 },
    /// An in-flight call is to be cancelled, named by one of its messages.
    CancelCall { message: MessageId, reason: StopReason },
    /// The result of an [`AdminRequest`](ToSuccessor::AdminRequest).
    AdminResult { request: u64, result: AdminResult },
}

/// What the predecessor, the old process, says.
#[derive(Serialize, Deserialize)]
pub enum ToSuccessor {
    /// There is no handover now.
    Refused,
    /// The successor owns the state folder from now on. The descriptors are the listener and the lock.
    Begin(BeginState),
    /// A client's connection; the descriptor is its socket.
    ClientConnection {
        /// What was read of its next request.
        buffer: Bytes,
        /// It has had a request answered.
        served: bool,
        /// What is left of the time in which more must arrive.
        left: Duration,
    },
    /// An in-flight call has ended.
    CallEnded { endpoint: EndpointId, messages: Vec<MessageId>, result: CallResult },
    /// A client disconnected before it was answered that its message was accepted.
    AcceptanceNotReceived(MessageId),
    /// A request that operators have sent to the predecessor's admin endpoint.
    AdminRequest { request: u64, operation: AdminOperation },
}

/// The state that the successor continues from, beside the journal.
#[derive(Serialize, Deserialize)]
pub enum BeginState {
    /// An encoded handover snapshot, for a process of the same fingerprint.
    Snapshot(Vec<u8>),
    /// What else binds a process of another fingerprint.
    Constraints(CarriedOverConstraints),
}
