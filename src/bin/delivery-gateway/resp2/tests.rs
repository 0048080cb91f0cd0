//! Tests the decoding of RESP2 requests (round trip, malformed input and limits), the parsing of `ENQUEUE`, and the
//! encoding of replies.

use super::codec::{
    decode_request, Reply, RequestSkipper, RespError, MAX_BYTES_BESIDE_BODY, MAX_MESSAGE_BODY_BYTES,
};
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use std::time::Duration;

use crate::events::{EnqueueReply, EnqueueRequest};

fn encode(elements: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", elements.len()).into_bytes();
    for element in elements {
        bytes.extend(format!("${}\r\n", element.len()).as_bytes());
        bytes.extend(element);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Decodes all complete requests from bytes that arrive in two parts.
fn decode_parts(parts: [&[u8]; 2]) -> Result<Vec<Vec<Bytes>>, RespError> {
    let mut buffer = BytesMut::new();
    let mut requests = Vec::new();
    for part in parts {
        buffer.extend_from_slice(part);
        while let Some(elements) = decode_request(&mut buffer)? {
            requests.push(elements);
        }
    }
    Ok(requests)
}

proptest! {
    /// A request that is skipped ends where one that is decoded ends, however its bytes arrive. The requests behind it
    /// would be misread otherwise.
    #[test]
    fn skipping_ends_at_the_next_request(
        elements in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        behind in prop::collection::vec(any::<u8>(), 0..20),
        part in 1_usize..60,
    ) {
        let request = encode(&elements);
        let mut skipper = RequestSkipper::default();
        let mut buffer = BytesMut::new();
        let mut has_ended = false;
        for bytes in request.chunks(part) {
            prop_assert!(!has_ended, "the request ended before its last byte");
            buffer.extend_from_slice(bytes);
            has_ended = skipper.skip(&mut buffer).unwrap();
        }
        prop_assert!(has_ended && buffer.is_empty());

        buffer.extend_from_slice(&request);
        buffer.extend_from_slice(&behind);
        prop_assert!(RequestSkipper::default().skip(&mut buffer).unwrap());
        prop_assert_eq!(&buffer[..], &behind[..]);
    }

    #[test]
    fn decoding_reverses_encoding_of_requests(
        requests in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..8), 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes: Vec<u8> = requests.iter().flat_map(|elements| encode(elements)).collect();
        let (first, second) = bytes.split_at(cut.index(bytes.len() + 1));
        prop_assert_eq!(decode_parts([first, second]), Ok(requests.iter().map(|elements| elements.iter().map(|element| Bytes::copy_from_slice(element)).collect()).collect()));
    }

    /// Guards against a panic on malformed input, and against a result that depends on how the bytes arrive.
    #[test]
    fn bad_input_fails_the_same_however_it_is_split(
        bytes in prop::collection::vec(prop::sample::select(b"*$-019\r\nPX".to_vec()), 0..60),
        cut in any::<prop::sample::Index>(),
    ) {
        let (first, second) = bytes.split_at(cut.index(bytes.len() + 1));
        prop_assert_eq!(decode_parts([first, second]), decode_parts([&bytes, b""]));
    }
}

/// Guards against requests of many elements that are each within their limit but take up too much memory together.
#[test]
fn a_request_is_bounded_in_total() {
    let body = vec![b'x'; MAX_MESSAGE_BODY_BYTES];
    let request = |other: usize| encode(&[b"ENQUEUE".to_vec(), vec![b'y'; other], body.clone()]);
    assert!(decode_parts([&request(100), b""]).is_ok());
    assert_eq!(decode_parts([&request(MAX_BYTES_BESIDE_BODY), b""]), Err(RespError::TooLong));
}

fn enqueue_request(elements: &[&[u8]]) -> Result<EnqueueRequest, String> {
    let elements: Vec<Bytes> = elements.iter().map(|element| Bytes::copy_from_slice(element)).collect();
    EnqueueRequest::try_from(elements.as_slice()).map_err(|error| error.to_string())
}

/// Guards against swapped fields, and against a second field of the same name that replaces the first.
#[test]
fn the_fields_of_an_enqueue_are_mapped() {
    let fields = b"c=notice,t=t-1,dest=7,d=1500,k=key-1,again=1,c=other";
    let request = enqueue_request(&[b"ENQUEUE", b"ff", b"m-1", fields, b"body"]).unwrap();
    let expected = EnqueueRequest {
        id: "m-1".to_owned(),
        ordering_key: 255,
        class: "notice".to_owned(),
        tenant: "t-1".to_owned(),
        destination: 7,
        time_left: Duration::from_millis(1500),
        idempotency_key: Some("key-1".to_owned()),
        is_redelivered: true,
        body: Bytes::from_static(b"body"),
    };
    assert_eq!(request, expected);
    let request = enqueue_request(&[b"ENQUEUE", b"0", b"m-1", b"c=salary,dest=1,d=0", b""]).unwrap();
    assert_eq!((request.tenant.as_str(), request.idempotency_key, request.is_redelivered), ("", None, false));
}

/// Guards against changed error texts, which clients receive, and against invalid requests that are accepted.
#[test]
fn each_enqueue_error_has_its_text() {
    let good = b"c=notice,dest=1,d=1000";
    let long_body = vec![b'x'; MAX_MESSAGE_BODY_BYTES + 1];
    let cases: [(&[&[u8]], &str); 12] = [
        (&[b"ENQUEUE", b"0", b"m-1", good], "ENQUEUE takes a key, an id, fields and a body"),
        (&[b"ENQUEUE", b"0", b"m-1", good, &long_body], "the body is too long"),
        (&[b"ENQUEUE", b"0x1", b"m-1", good, b""], "the key is not hexadecimal"),
        (&[b"ENQUEUE", b"0", b"", good, b""], "the id has other characters than an id may have"),
        (&[b"ENQUEUE", b"0", b"m/1", good, b""], "the id has other characters than an id may have"),
        (&[b"ENQUEUE", b"0", &[b'm'; 129], good, b""], "the id has other characters than an id may have"),
        (&[b"ENQUEUE", b"0", b"m-1", b"\xff", b""], "the fields are not text"),
        (&[b"ENQUEUE", b"0", b"m-1", b"k=a b", b""], "k has other characters than a key may have"),
        (&[b"ENQUEUE", b"0", b"m-1", b"dest=1,d=1", b""], "c is missing"),
        (&[b"ENQUEUE", b"0", b"m-1", b"c=notice,d=1", b""], "dest is missing or no number"),
        (&[b"ENQUEUE", b"0", b"m-1", b"c=notice,dest=1", b""], "d is missing or no number"),
        (&[b"ENQUEUE", b"0", b"m-1", b"c=notice,dest=1,d=-1", b""], "d is missing or no number"),
    ];
    for (elements, text) in cases {
        assert_eq!(enqueue_request(elements).unwrap_err(), text);
    }
}

#[test]
fn replies_are_encoded() {
    let encoded = |reply: EnqueueReply| {
        let mut output = Vec::new();
        Reply::from(&reply).encode(&mut output);
        String::from_utf8(output).unwrap()
    };
    assert_eq!(encoded(EnqueueReply::Accepted(delivery_gateway::MessageId(1))), "+OK\r\n");
    assert_eq!(encoded(EnqueueReply::AlreadyAccepted), "+OK\r\n");
    assert_eq!(encoded(EnqueueReply::Rejected(None)), "-BUSY\r\n");
    assert_eq!(encoded(EnqueueReply::Rejected(Some(Duration::from_millis(1500)))), "-BUSY 1500\r\n");
    assert_eq!(encoded(EnqueueReply::Error("unknown class")), "-ERR unknown class\r\n");
}
