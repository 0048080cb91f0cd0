//! Guards the wire format of the handover messages. Two builds exchange these bytes, so a change of them without a
//! change of [`FORMAT`] would break a handover between the builds.

use bytes::Bytes;
use delivery_gateway::{AttemptOutcome, EndpointId, MessageId};
use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;

use super::messages::{BeginState, ToPredecessor, ToSuccessor, FORMAT};
use crate::events::{AdminOperation, AdminResult, AttemptResult, CallResult, StopReason};

fn assert_bytes<M: Serialize + DeserializeOwned>(message: &M, bytes: &[u8]) {
    assert_eq!(postcard::to_stdvec(message).unwrap(), bytes);
    assert_reencoded::<M>(bytes);
}

/// Asserts that bytes are decoded, and encoded to the same bytes again.
fn assert_reencoded<M: Serialize + DeserializeOwned>(bytes: &[u8]) {
    let message: M = postcard::from_bytes(bytes).unwrap();
    assert_eq!(postcard::to_stdvec(&message).unwrap(), bytes);
}

#[test]
fn messages_to_the_predecessor_keep_their_bytes() {
    assert_eq!(FORMAT, 1);
    let hello = |accepts_reload_requests| ToPredecessor::Hello {
        format: FORMAT,
        fingerprint: 300,
        accepts_reload_requests,
    };
    assert_bytes(&hello(true), b"\x00\x01\xac\x02\x01");
    let cancel = ToPredecessor::CancelCall { message: MessageId(7), reason: StopReason::Withdrawn };
    assert_bytes(&cancel, b"\x01\x07\x01");
    let result = ToPredecessor::AdminResult { request: 300, result: AdminResult::NotRecorded };
    assert_bytes(&result, b"\x02\xac\x02\x02");
}

/// Builds without reload requests send and expect a shorter `Hello`. Neither direction of an upgrade may fail at it.
#[test]
fn a_hello_is_read_across_builds_with_and_without_reload_requests() {
    let older = b"\x00\x01\xac\x02";
    let read = postcard::from_bytes(older).unwrap();
    let expected = |message: &ToPredecessor, accepts: bool| {
        matches!(message, ToPredecessor::Hello { format: FORMAT, fingerprint: 300, accepts_reload_requests }
            if *accepts_reload_requests == accepts)
    };
    assert!(expected(&read, false));
    let newer = ToPredecessor::Hello { format: FORMAT, fingerprint: 300, accepts_reload_requests: true };
    let bytes = postcard::to_stdvec(&newer).unwrap();
    // An older build reads the fields that it knows, and ignores the rest.
    assert!(bytes.starts_with(older));
    assert!(expected(&postcard::from_bytes(&bytes).unwrap(), true));
}

#[test]
fn messages_to_the_successor_keep_their_bytes() {
    assert_bytes(&ToSuccessor::Refused, b"\x00");
    assert_bytes(&ToSuccessor::Begin(BeginState::Snapshot(vec![9, 8])), b"\x01\x00\x02\x09\x08");
    // Constraints: an endpoint with a Retry-After of 2.5 s, and lame duck mode.
    assert_reencoded::<ToSuccessor>(b"\x01\x01\x01\x03s-1\x02\x80\xca\xb5\xee\x01\x01");
    let client = ToSuccessor::ClientConnection {
        buffer: Bytes::from_static(b"PI"),
        served: true,
        time_left: Duration::from_millis(1500),
    };
    assert_bytes(&client, b"\x02\x02PI\x01\x01\x80\xca\xb5\xee\x01");
    let attempt = AttemptResult {
        outcome: AttemptOutcome::Reset,
        latency: Duration::ZERO,
        completes_message: false,
        load_report: None,
    };
    let ended = ToSuccessor::CallEnded {
        endpoint: EndpointId(3),
        messages: vec![MessageId(7)],
        result: CallResult { attempts: vec![attempt], retry_after: None },
    };
    assert_bytes(&ended, b"\x03\x03\x01\x07\x01\x05\x00\x00\x00\x00\x00");
    assert_bytes(&ToSuccessor::AcceptanceNotReceived(MessageId(7)), b"\x04\x07");
    assert_bytes(&ToSuccessor::ReloadConfiguration, b"\x06");
    let operation = AdminOperation::EnableEndpoint("s-1".to_owned());
    assert_bytes(&ToSuccessor::AdminRequest { request: 1, operation }, b"\x05\x01\x01\x03s-1");
}
