//! The handover from one process to the next: which state is handed over, and which guarantees hold when either process
//! dies during or after it.

mod environment;

use environment::*;
use std::net::TcpListener;
use std::time::Duration;

/// Limits how long a predecessor may take to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A handover interrupts no client and no call in flight, also when the predecessor has itself taken over before. The
/// listener is handed over with its accept queue, so that new clients reach the successor.
#[test]
fn repeated_handovers_interrupt_no_client_and_no_call() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let mut predecessor = environment.start();
    let (mut idle, mut partial) = (predecessor.client(), predecessor.client());
    assert_eq!(idle.request(&["PING"]), "+PONG");
    for round in 0..3 {
        let id = |name: &str| format!("{name}{round}");
        // Two messages of one ordering key: the second waits for the first, which is in flight during the handover.
        assert_eq!(idle.enqueue(&id("first"), "9", "notice,k=a", 1, b"1"), "+OK");
        let in_flight = environment.call();
        // Connections are closed after 2 s between two requests and after 1 s within one, so that nothing slow may come
        // in between.
        assert_eq!(partial.request(&["PING"]), "+PONG");
        assert_eq!(idle.enqueue(&id("second"), "9", "notice,k=b", 1, b"2"), "+OK");
        partial.send(b"*1\r\n$4\r\nPI");
        let successor = environment.start();
        partial.send(b"NG\r\n");
        assert_eq!(partial.read_line(), "+PONG");
        assert_eq!(idle.enqueue(&id("third"), "0", "salary", 1, b"3"), "+OK");
        assert_eq!(
            (successor.admin_request("GET /_ready"), predecessor.admin_request("GET /_ready")),
            (200, 503)
        );
        predecessor.send_sigterm();
        let third = environment.call();
        assert_eq!(third.id, id("third"));
        third.answer("200 OK", "");
        assert_eq!(successor.client().request(&["PING"]), "+PONG");
        environment.expect_no_call();
        in_flight.answer("200 OK", "");
        let second = environment.call();
        assert_eq!(second.id, id("second"));
        second.answer("200 OK", "");
        assert!(predecessor.wait(EXIT_TIMEOUT).success());
        predecessor = successor;
        (idle, partial) = (predecessor.client(), predecessor.client());
    }
    environment.expect_nothing();
}

/// Retry-After delays and disabled endpoints apply in the successor too. The predecessor's admin endpoint forwards
/// requests to it.
#[test]
fn retry_after_delays_and_disabled_endpoints_are_handed_over() {
    let mut environment = TestEnvironment::with_long_deadlines(2, 3.0);
    environment.destination_per_endpoint = true;
    let predecessor = environment.start();
    let mut client = predecessor.client();
    assert_eq!(client.enqueue("w1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("429 Too Many Requests", "X-Come-Back-Ms: 500000\r\n");
    predecessor.wait_for_log_line("Retry-After received");
    assert_eq!(predecessor.admin_request("POST /_endpoints/detach?id=s-1"), 200);
    let successor = environment.start();
    assert_eq!(client.enqueue("w2", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(client.enqueue("w3", "0", "salary", 2, b"x"), "+OK");
    environment.expect_no_call();
    assert_eq!(predecessor.admin_request("POST /_endpoints/attach?id=s-9"), 404);
    assert_eq!(predecessor.admin_request("POST /_endpoints/attach?id=s-1"), 200);
    let call = environment.call();
    assert_eq!(call.id, "w3");
    call.answer("200 OK", "");
    drop(successor);
}

/// The successor of a lame duck is a lame duck too, until operators switch the mode off.
#[test]
fn lame_duck_mode_is_handed_over() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let predecessor = environment.start();
    assert_eq!(predecessor.admin_request("POST /_lameduck/on"), 200);
    let successor = environment.start();
    assert!(successor.client().request(&["PING"]).starts_with("-ERR"));
    assert_eq!(successor.admin_request("POST /_lameduck/off"), 200);
    assert_eq!(successor.client().request(&["PING"]), "+PONG");
}

/// The predecessor still has the connections of its calls, so that the successor has to cancel them through it. The
/// cancelled call is one that is still connecting to an endpoint that is being disabled.
#[test]
fn the_successor_cancels_calls_of_the_predecessor() {
    let mut environment = TestEnvironment::new(2, 3.0);
    let hanging = environment.hang_connections(0);
    let predecessor = environment.start();
    let mut client = predecessor.client();
    for id in ["c1", "c2"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
    }
    let first = environment.call();
    assert_eq!(first.endpoint, 1);
    let successor = environment.start();
    assert_eq!(successor.admin_request("POST /_endpoints/detach?id=s-0"), 200);
    environment.release(hanging);
    let second = environment.call();
    assert_eq!(second.endpoint, 1);
    assert_ne!(first.id, second.id);
    first.answer("200 OK", "");
    second.answer("200 OK", "");
    environment.expect_nothing();
}

/// If the predecessor is killed while it finishes its calls, they may have run. Their non-idempotent messages fail and
/// the others are retried, but not before the predecessor has ended.
#[test]
fn in_flight_calls_of_a_killed_predecessor_count_as_uncertain() {
    let environment = TestEnvironment::with_long_deadlines(2, 3.0);
    let predecessor = environment.start();
    let mut client = predecessor.client();
    assert_eq!(client.enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    let _non_idempotent_call = environment.call();
    assert_eq!(client.enqueue("k1", "5", "notice,k=k1", 1, b"x"), "+OK");
    let _idempotent_call = environment.call();
    let successor = environment.start();
    assert_eq!(successor.admin_request("GET /_ready"), 200);
    environment.expect_nothing();
    predecessor.kill();
    let (mut notifications, mut calls) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        match environment.next_event() {
            StubEvent::Call(call) => calls.push(call),
            StubEvent::Notification(line) => notifications.push(line),
        }
    }
    assert_eq!(notifications, [r#"{"id":"u1","state":"failed"}"#]);
    assert_eq!(calls.iter().map(|call| call.id.as_str()).collect::<Vec<_>>(), ["k1"]);
    calls.into_iter().for_each(|call| call.answer("200 OK", ""));
    assert_eq!(successor.client().request(&["PING"]), "+PONG");
}

/// The predecessor drops calls that are still in flight when it exits. The successor counts them as reset, since an
/// endpoint may have processed them.
#[test]
fn calls_in_flight_at_the_predecessors_exit_are_dropped() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let mut predecessor = environment.start();
    assert_eq!(predecessor.client().enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = environment.call();
    let _successor = environment.start();
    predecessor.send_sigterm();
    assert!(predecessor.wait(EXIT_TIMEOUT).success());
    assert!(in_flight.is_closed());
    assert_eq!(environment.notification(), r#"{"id":"u1","state":"failed"}"#);
}

/// If the successor dies before it has written to the journal, the predecessor resumes service with its own state and
/// its calls in flight.
#[test]
fn the_predecessor_continues_if_the_successor_dies_at_once() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let predecessor = environment.start();
    let mut client = predecessor.client();
    assert_eq!(client.enqueue("k1", "9", "notice,k=a", 1, b"1"), "+OK");
    let in_flight = environment.call();
    assert_eq!(client.enqueue("k2", "9", "notice,k=b", 1, b"2"), "+OK");
    environment.start().kill();
    assert!(predecessor.wait_for_log_line("resuming service").contains("journal_untouched=true"));
    environment.expect_no_call();
    in_flight.answer("200 OK", "");
    let second = environment.call();
    assert_eq!(second.id, "k2");
    second.answer("200 OK", "");
    assert_eq!(predecessor.admin_request("GET /_ready"), 200);
    assert_eq!(predecessor.client().enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("200 OK", "");
    // A later handover is possible.
    assert_eq!(environment.start().client().request(&["PING"]), "+PONG");
}

/// If the successor dies after it has written to the journal, the predecessor recovers the state from there. It drops
/// its own calls before it retries them, so that no message has two calls in flight.
#[test]
fn the_predecessor_recovers_from_the_journal_of_a_dead_successor() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let predecessor = environment.start();
    let mut client = predecessor.client();
    assert_eq!(client.enqueue("k1", "9", "notice,k=a", 1, b"1"), "+OK");
    let first = environment.call();
    let successor = environment.start();
    assert_eq!(client.enqueue("k2", "9", "notice,k=b", 1, b"2"), "+OK");
    assert_eq!(client.enqueue("u1", "0", "salary", 1, b"3"), "+OK");
    let other = environment.call();
    assert_eq!(other.id, "u1");
    successor.kill();
    assert!(predecessor.wait_for_log_line("resuming service").contains("journal_untouched=false"));
    let (mut notifications, mut order) = (Vec::new(), Vec::new());
    while notifications.is_empty() || order.len() < 2 {
        match environment.next_event() {
            StubEvent::Call(call) => {
                // The predecessor drops the first call of k1 before it retries it.
                assert!(first.is_closed());
                order.push(call.id.clone());
                call.answer("200 OK", "");
            }
            StubEvent::Notification(line) => notifications.push(line),
        }
    }
    assert_eq!(notifications, [r#"{"id":"u1","state":"failed"}"#]);
    assert_eq!(order, ["k1", "k2"]);
    assert_eq!(predecessor.client().request(&["PING"]), "+PONG");
    environment.expect_nothing();
}

/// A successor with another fingerprint cannot use the predecessor's state and continues from the journal. Calls in
/// flight finish first; clients, Retry-After delays and disabled endpoints are handed over.
#[test]
fn a_successor_of_another_build_continues_from_the_journal() {
    let mut environment = TestEnvironment::with_long_deadlines(3, 3.0);
    environment.destination_per_endpoint = true;
    let mut predecessor = environment.start();
    let mut client = predecessor.client();
    assert_eq!(client.enqueue("w1", "0", "salary", 2, b"x"), "+OK");
    environment.call().answer("429 Too Many Requests", "X-Come-Back-Ms: 500000\r\n");
    predecessor.wait_for_log_line("Retry-After received");
    assert_eq!(predecessor.admin_request("POST /_endpoints/detach?id=s-2"), 200);
    assert_eq!(client.enqueue("k1", "9", "notice,k=a", 1, b"1"), "+OK");
    let in_flight = environment.call();
    environment.zone.set("elsewhere");
    let successor = environment.start_beside();
    predecessor.wait_for_log_line("finishing calls before the handover");
    // The predecessor still accepts messages, but starts no call.
    assert_eq!(client.enqueue("k2", "9", "notice,k=b", 1, b"2"), "+OK");
    assert_eq!(client.enqueue("u3", "0", "salary", 3, b"3"), "+OK");
    assert_eq!(client.enqueue("w2", "0", "salary", 2, b"x"), "+OK");
    in_flight.answer("200 OK", "");
    let successor = successor.listening();
    assert_eq!(
        (successor.admin_request("GET /_ready"), predecessor.admin_request("GET /_ready")),
        (200, 503)
    );
    predecessor.send_sigterm();
    assert!(predecessor.wait(EXIT_TIMEOUT).success());
    let second = environment.call();
    assert_eq!(second.id, "k2");
    second.answer("200 OK", "");
    assert_eq!(client.request(&["PING"]), "+PONG");
    environment.expect_no_call();
    assert_eq!(successor.admin_request("POST /_endpoints/attach?id=s-2"), 200);
    let third = environment.call();
    assert_eq!(third.id, "u3");
    third.answer("200 OK", "");
    environment.expect_nothing();
}

/// A call that does not finish while the predecessor waits for it is dropped before the successor continues.
#[test]
fn an_unresponsive_call_does_not_delay_a_successor_of_another_build() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let predecessor = environment.start();
    assert_eq!(predecessor.client().enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = environment.call();
    environment.zone.set("elsewhere");
    let successor = environment.start();
    assert!(in_flight.is_closed());
    assert_eq!(environment.notification(), r#"{"id":"u1","state":"failed"}"#);
    assert_eq!(successor.client().request(&["PING"]), "+PONG");
}

/// The previous process may release its lock a moment before its address, so that the next process waits for the
/// address.
#[test]
fn an_address_that_is_still_in_use_is_waited_for() {
    let environment = TestEnvironment::new(1, 3.0);
    let previous = TcpListener::bind("127.0.0.1:0").unwrap();
    environment.listen.set(previous.local_addr().unwrap());
    let gateway = environment.start_beside();
    gateway.wait_for_log_line("address still in use");
    assert_eq!(gateway.admin_request("GET /_ready"), 503);
    drop(previous);
    let gateway = gateway.listening();
    assert_eq!(gateway.client().request(&["PING"]), "+PONG");
    assert_eq!(gateway.admin_request("GET /_ready"), 200);
}

/// A gateway that cannot bind its Unix socket logs that no handover is possible, and serves nevertheless.
#[test]
fn without_unix_sockets_the_gateway_serves() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    environment.start().kill();
    environment.refuse_unix_sockets();
    let gateway = environment.start();
    gateway.wait_for_log_line("no handover is possible");
    let mut client = gateway.client();
    assert_eq!(client.enqueue("one", "9", "notice,k=a", 1, b"1"), "+OK");
    assert_eq!(environment.call().id, "one");
}

/// A gateway that could not bind its Unix socket at the start retries, so that a later handover is possible.
#[test]
fn a_handover_is_possible_as_soon_as_its_socket_can_be_bound() {
    let environment = TestEnvironment::new(1, 3.0);
    let stopped = environment.start().kill();
    environment.refuse_unix_sockets();
    let predecessor = stopped.restart();
    predecessor.wait_for_log_line("no handover is possible");
    environment.permit_unix_sockets();
    let successor = environment.start_beside().listening();
    assert!(successor.has_logged("took over from the predecessor"));
}
