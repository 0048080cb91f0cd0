//! Tests one call against a stub endpoint, with messages that expire before or during the call, and the parsing of load
//! reports.

use super::response::parse_load_report;
use super::{Call, OutgoingMessage, Pool};
use bytes::Bytes;
use delivery_gateway::{AttemptOutcome, EndpointId, LoadReport, MessageId};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;
use tokio::time::Instant;

fn outgoing(number: u32, send_by: Instant, expires_at: Instant) -> OutgoingMessage {
    OutgoingMessage {
        message: MessageId(number),
        send_by,
        expires_at,
        id: format!("m{number}"),
        idempotency_key: None,
        body: Bytes::new(),
    }
}

/// Makes a call to a stub endpoint that sends this response, and then blocks the thread until `blocked_until`. Returns
/// the request, the messages that were too late to be sent, and the outcome of each message of the call.
async fn call_with_response(
    messages: Vec<OutgoingMessage>,
    response: &'static [u8],
    blocked_until: Option<Instant>,
) -> (String, Vec<MessageId>, Vec<(MessageId, AttemptOutcome)>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let length = stream.read(&mut request).await.unwrap();
        stream.write_all(response).await.unwrap();
        if let Some(until) = blocked_until {
            std::thread::sleep(until.saturating_duration_since(Instant::now()));
        }
        request.truncate(length);
        // Keeps the connection open until the client closes it.
        while stream.read(&mut [0; 64]).await.is_ok_and(|count| count > 0) {}
        String::from_utf8(request).unwrap()
    });
    let mut call =
        Call { endpoint: EndpointId(1), address, messages, attempt_timeout: Duration::from_secs(60) };
    let late = RefCell::new(Vec::new());
    let (_stop, stopped) = oneshot::channel();
    let pool = Rc::new(Pool::new(Duration::from_secs(60), Duration::from_secs(60), 2, 2));
    let too_late = |messages| late.borrow_mut().extend::<Vec<MessageId>>(messages);
    let result = pool.call(&mut call, stopped, Rc::default(), too_late).await;
    drop(pool);
    let outcomes = result.attempts.iter().map(|attempt| attempt.outcome);
    let each = call.messages.iter().map(|message| message.message).zip(outcomes).collect();
    (request.await.unwrap(), late.take(), each)
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Guards against sending a message whose `send_by` passed while its call waited to be sent. The other message of the
/// call must still be sent.
#[test]
fn a_message_too_late_before_its_call_is_sent_is_left_out() {
    run(async {
        let (passed, far) = (Instant::now(), Instant::now() + Duration::from_secs(60));
        let messages = vec![outgoing(1, passed, far), outgoing(2, far, far)];
        let (request, late, each) = call_with_response(messages, DELIVERED, None).await;
        assert_eq!((late, each), (vec![MessageId(1)], vec![(MessageId(2), AttemptOutcome::Delivered)]));
        assert!(request.contains("X-Call-Id: m2\r\n"));
    });
}

/// Guards against a late response that counts as a delivery. If the thread is blocked across the deadline, the response
/// and the deadline are seen in the same turn of the runtime.
#[test]
fn a_response_after_the_deadline_delivers_nothing() {
    run(async {
        let (soon, far) =
            (Instant::now() + Duration::from_millis(500), Instant::now() + Duration::from_secs(60));
        let (_, late, each) = call_with_response(vec![outgoing(1, far, soon)], DELIVERED, Some(soon)).await;
        assert_eq!((late, each), (vec![], vec![(MessageId(1), AttemptOutcome::Timeout)]));
        let each_ok = b"HTTP/1.1 200 OK\r\nContent-Length: 51\r\n\r\n\
            [{\"id\":\"m1\",\"state\":\"ok\"},{\"id\":\"m2\",\"state\":\"ok\"}]";
        let soon = Instant::now() + Duration::from_millis(500);
        let messages = vec![outgoing(1, far, far), outgoing(2, far, soon)];
        let (_, late, each) = call_with_response(messages, each_ok, Some(soon)).await;
        let timed_out = |number| (MessageId(number), AttemptOutcome::Timeout);
        assert_eq!((late, each), (vec![], vec![timed_out(1), timed_out(2)]));
        // A late rejection still counts, with its Retry-After: the call has not run.
        let soon = Instant::now() + Duration::from_millis(500);
        let refused = b"HTTP/1.1 429 Later\r\nX-Come-Back-Ms: 900\r\nContent-Length: 0\r\n\r\n";
        let (_, late, each) = call_with_response(vec![outgoing(1, far, soon)], refused, Some(soon)).await;
        let rejected = AttemptOutcome::Rejected(Some(Duration::from_millis(900)));
        assert_eq!((late, each), (vec![], vec![(MessageId(1), rejected)]));
        // The same response delivers both messages if it arrives in time.
        let (_, _, each) =
            call_with_response(vec![outgoing(1, far, far), outgoing(2, far, far)], each_ok, None).await;
        assert_eq!(
            each,
            [(MessageId(1), AttemptOutcome::Delivered), (MessageId(2), AttemptOutcome::Delivered)]
        );
    });
}

/// Guards against an implausible load report of an endpoint that would set the rate limit.
#[test]
fn load_reports_out_of_range_are_ignored() {
    assert_eq!(parse_load_report("x0=0.4,x1=25"), Some(LoadReport { headroom: 0.4, limit_per_sec: 25.0 }));
    for text in ["", "x0=0.4", "x0=-1,x1=25", "x0=0.4,x1=-3", "x0=0.4,x1=1e30", "x0=nan,x1=25", "x0=7e5,x1=2"]
    {
        assert_eq!(parse_load_report(text), None, "{text}");
    }
}
