//! Batches, which are calls with several messages to one endpoint, over loopback sockets.

mod environment;

use environment::*;
use std::time::{Duration, Instant};

/// Creates an environment with one call slot and batches of four, so that messages wait together while the slot is in
/// use.
fn one_slot() -> TestEnvironment {
    let mut environment = TestEnvironment::new(1, 3.0);
    (environment.max_batch_size, environment.max_in_flight_calls) = (4, 1);
    environment
}

/// Occupies the call slot with a message, enqueues the others meanwhile, and then completes the first one.
fn enqueue_while_slot_is_in_use(
    environment: &TestEnvironment,
    gateway: &RunningGateway,
    messages: &[(&str, &str)],
) {
    let mut client = gateway.client();
    assert_eq!(client.enqueue("first", "0", "salary", 1, b"x"), "+OK");
    let first = environment.call();
    assert_eq!((first.path.as_str(), first.id.as_str()), ("/hook", "first"));
    for (id, class) in messages {
        assert_eq!(client.enqueue(id, "0", class, 1, id.as_bytes()), "+OK");
    }
    first.answer("200 OK", "");
}

/// Messages that wait for an endpoint that accepts batches share a call. Each has its own outcome, which must not be
/// applied to another one, also when the response has them in another order.
#[test]
fn messages_queued_together_share_a_batch() {
    let environment = one_slot();
    let gateway = environment.start();
    enqueue_while_slot_is_in_use(
        &environment,
        &gateway,
        &[("b1", "salary"), ("b2", "notice,k=k2"), ("b3", "salary"), ("b4", "salary")],
    );
    let call = environment.call();
    assert_eq!(call.header("x-budget").map(|budget| budget.parse::<f64>().is_ok()), Some(true));
    let mut carried = call.batch_messages();
    carried.sort();
    let item =
        |id: &str, key: Option<&str>, body: &str| (id.to_owned(), key.map(str::to_owned), body.to_owned());
    let expected = [
        item("b1", None, "YjE="),
        item("b2", Some("k2"), "YjI="),
        item("b3", None, "YjM="),
        item("b4", None, "YjQ="),
    ];
    assert_eq!(carried, expected);
    call.answer_batch("", &[("b4", "gone"), ("b1", "ok"), ("b3", "error"), ("b2", "error")]);
    // b3 is non-idempotent and may have run, so that it fails. b2 is idempotent and is retried. The others are
    // completed.
    let mut has_failed = false;
    let mut is_retried = false;
    while !(has_failed && is_retried) {
        match environment.next_event() {
            StubEvent::Notification(line) => {
                assert_eq!(line, r#"{"id":"b3","state":"failed"}"#);
                has_failed = true;
            }
            StubEvent::Call(call) => {
                assert_eq!((call.id.as_str(), call.header("idempotency-key")), ("b2", Some("k2")));
                call.answer("200 OK", "");
                is_retried = true;
            }
        }
    }
    environment.expect_nothing();
}

/// A batch response may carry a Retry-After beside the states of its messages; it applies as with any response.
#[test]
fn retry_after_of_a_batch_response_is_observed() {
    let environment = one_slot();
    let gateway = environment.start();
    enqueue_while_slot_is_in_use(&environment, &gateway, &[("w1", "salary"), ("w2", "salary")]);
    let call = environment.call();
    let responded_at = Instant::now();
    call.answer_batch("X-Come-Back-Ms: 700\r\n", &[("w1", "ok"), ("w2", "ok")]);
    gateway.wait_for_log_line("Retry-After received");
    assert_eq!(gateway.client().enqueue("w3", "0", "salary", 1, b"x"), "+OK");
    let call = environment.call();
    assert!(responded_at.elapsed() >= Duration::from_millis(700), "after {:?}", responded_at.elapsed());
    call.answer("200 OK", "");
    environment.expect_nothing();
}

/// The status line of a batch response does not show the outcome of each message. If the body cannot be read, the
/// messages may have run.
#[test]
fn a_batch_with_an_unreadable_response_may_have_run() {
    for (number, response) in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n[",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    ]
    .iter()
    .enumerate()
    {
        let environment = one_slot();
        let gateway = environment.start();
        enqueue_while_slot_is_in_use(&environment, &gateway, &[("s1", "salary"), ("s2", "salary")]);
        let call = environment.call();
        assert_eq!(call.batch_messages().len(), 2);
        let stream = call.stream();
        call.answer_raw(response.as_bytes());
        if number == 1 {
            let _ = stream.shutdown(std::net::Shutdown::Write);
        }
        let mut notifications = [environment.notification(), environment.notification()];
        notifications.sort();
        assert_eq!(notifications, [r#"{"id":"s1","state":"failed"}"#, r#"{"id":"s2","state":"failed"}"#]);
        environment.expect_no_call();
    }
}

/// A message with two states in a batch response may have run. The states of the other messages apply.
#[test]
fn a_message_with_two_states_may_have_run() {
    let environment = one_slot();
    let gateway = environment.start();
    enqueue_while_slot_is_in_use(&environment, &gateway, &[("t1", "salary"), ("t2", "salary")]);
    let call = environment.call();
    assert_eq!(call.batch_messages().len(), 2);
    call.answer_batch("", &[("t1", "ok"), ("t2", "ok"), ("t1", "later")]);
    assert_eq!(environment.notification(), r#"{"id":"t1","state":"failed"}"#);
    environment.expect_nothing();
}

/// A batch times out when the first of its messages expires, since the endpoint may consider the whole call expired at
/// that time. A later response is ignored, and the other messages are retried under their idempotency keys.
#[test]
fn a_batch_times_out_with_its_first_message_to_expire() {
    let environment = one_slot();
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("first", "0", "salary", 1, b"x"), "+OK");
    let first = environment.call();
    for (id, left) in [("short", 1000), ("long", 20_000)] {
        let fields = format!("c=notice,d={left},dest=1,k=k-{id}");
        assert_eq!(client.request(&["ENQUEUE", "0", id, fields.as_str(), "x"]), "+OK");
    }
    first.answer("200 OK", "");
    let batch = environment.call();
    let mut carried: Vec<_> = batch.batch_messages().into_iter().map(|(id, ..)| id).collect();
    carried.sort();
    assert_eq!(carried, ["long", "short"]);
    let budget: f64 = batch.header("x-budget").unwrap().parse().unwrap();
    assert!(budget <= 1.0, "{budget}");
    assert_eq!(environment.notification(), r#"{"id":"short","state":"failed"}"#);
    // The response arrives after the timeout.
    batch.answer_batch("", &[("short", "ok"), ("long", "ok")]);
    let retried = environment.call();
    assert_eq!((retried.id.as_str(), retried.header("idempotency-key")), ("long", Some("k-long")));
    retried.answer("200 OK", "");
    environment.expect_nothing();
}

/// Two messages whose bodies together exceed the size limit of a batch are sent in separate calls.
#[test]
fn messages_too_long_for_one_batch_are_sent_in_separate_calls() {
    let environment = one_slot();
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("first", "0", "salary", 1, b"x"), "+OK");
    let first = environment.call();
    let body = vec![b'x'; 40 << 10];
    for id in ["l1", "l2"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, &body), "+OK");
    }
    first.answer("200 OK", "");
    for _ in 0..2 {
        let call = environment.call();
        assert_eq!((call.path.as_str(), call.body.len()), ("/hook", body.len()));
        call.answer("200 OK", "");
    }
    environment.expect_nothing();
}
