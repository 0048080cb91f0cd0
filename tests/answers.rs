//! Endpoints' responses that are malformed or longer than announced, and endpoints that are added and removed, over
//! loopback sockets.

mod environment;

use environment::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const EMPTY_OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A status line with 200 means delivered, whatever is malformed after it. The connection is not reused.
#[test]
fn a_status_line_with_200_delivers() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    let mut used_connections = Vec::new();
    for (number, response) in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Noise: \u{1}\u{2}\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Endless: xxxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
    ]
    .iter()
    .enumerate()
    {
        assert_eq!(client.enqueue(&format!("d{number}"), "0", "salary", 1, b"x"), "+OK");
        let call = environment.call();
        assert!(!used_connections.contains(&call.gateway_address()), "after {response}");
        used_connections.push(call.gateway_address());
        call.answer_raw(response.as_bytes());
    }
    environment.expect_nothing();
}

/// A call with a malformed response may have been processed, so that its non-idempotent message fails within 1 s and is
/// not sent again. A response proves that a call was not processed only if it is complete.
#[test]
fn a_malformed_response_may_have_been_processed() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    let endless = format!("HTTP/1.1 503 Busy\r\nX-Endless: {}", "x".repeat(100_000));
    for (number, response) in [
        "\u{0}\u{7}noise\u{1}",
        "noise without any end of a line",
        &endless,
        "HTTP/1.1 503 Busy\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 429 Later\r\nX-Come-Back-Ms: 10\r\nContent-Length: x\r\n\r\n",
    ]
    .iter()
    .enumerate()
    {
        let id = format!("s{number}");
        assert_eq!(gateway.client().enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        // After the first failures the gateway delays the next call.
        let call = environment.call();
        let answered_at = Instant::now();
        call.answer_raw(response.as_bytes());
        assert_eq!(environment.notification(), format!(r#"{{"id":"{id}","state":"failed"}}"#));
        assert!(
            answered_at.elapsed() < Duration::from_secs(1),
            "the failure was notified {:?} after {response:.20}",
            answered_at.elapsed()
        );
    }
    environment.expect_no_call();
}

/// An endpoint at its connection limit rejects a new connection with 503 and closes it. The message is retried, and
/// from then on each call closes the connection that it opened, as an idle one would keep the endpoint from accepting
/// others.
#[test]
fn no_idle_connection_is_kept_at_an_endpoint_at_its_connection_limit() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("c1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer_raw(b"HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    for (number, id) in ["c1", "c2", "c3"].iter().enumerate() {
        if number > 0 {
            assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
        }
        let call = environment.call();
        assert_eq!(call.id, *id);
        let mut stream = call.stream();
        call.answer_raw(EMPTY_OK_RESPONSE);
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        assert_eq!(stream.read(&mut [0]).unwrap(), 0, "the connection of {id} is not closed");
    }
    environment.expect_nothing();
}

/// A second response that arrives together with the first one must not be taken for the response to the next call.
#[test]
fn bytes_after_a_response_answer_no_call() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    let two_responses = [EMPTY_OK_RESPONSE, EMPTY_OK_RESPONSE].concat();
    for number in 0..30 {
        assert_eq!(client.enqueue(&format!("b{number}"), "0", "salary", 1, b"x"), "+OK");
        let call = environment.call();
        assert_eq!(call.id, format!("b{number}"));
        call.answer_raw(&two_responses);
    }
    environment.expect_nothing();
}

/// A second response that arrives while the next call is being sent must not answer that call either. The gateway is
/// stopped meanwhile, so that it finds the response and the request for the next call at once.
#[test]
fn bytes_that_race_with_the_next_call_answer_no_call() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    for number in 0..10 {
        assert_eq!(client.enqueue(&format!("r{number}"), "0", "salary", 1, b"x"), "+OK");
        let call = environment.call();
        assert_eq!(call.id, format!("r{number}"));
        let mut stream = call.stream();
        call.answer("200 OK", "");
        // PING is answered after the delivery is recorded, so that the connection is idle.
        assert_eq!(client.request(&["PING"]), "+PONG");
        gateway.while_stopped(|| {
            client.send_enqueue(&format!("q{number}"), "0", "salary", 1, b"x");
            let _ = stream.write_all(EMPTY_OK_RESPONSE);
        });
        assert_eq!(client.read_line(), "+OK");
        let call = environment.call();
        assert_eq!(call.id, format!("q{number}"));
        call.answer("200 OK", "");
    }
    environment.expect_nothing();
}

/// Bytes that arrive a little later, while nothing waits on the connection, must not answer the next call. The system of
/// an endpoint holds small writes back until the response is acknowledged, which the gateway's system would only do with
/// the next call: on a connection that has carried several calls, the bytes would always follow it.
#[test]
fn bytes_on_an_idle_connection_answer_no_call() {
    for surplus in [EMPTY_OK_RESPONSE, b"noise", b"\r\n", b"HTTP/1.1 2"] {
        let environment = TestEnvironment::new(1, 3.0);
        let gateway = environment.start();
        let mut client = gateway.client();
        let (connection, mut stream) = deliver_on_reused_connection(&environment, &mut client);
        stream.write_all(surplus).unwrap();
        assert_eq!(client.enqueue("next", "0", "salary", 1, b"x"), "+OK");
        let call = environment.call();
        // On the same connection, the bytes would be its response.
        assert_ne!(call.gateway_address(), connection);
        call.answer("200 OK", "");
        environment.expect_nothing();
    }
}

/// Delivers messages until one of them has been sent on the connection of the one before it. Returns the same as
/// [`deliver`] for that connection.
fn deliver_on_reused_connection(
    environment: &TestEnvironment,
    client: &mut Client,
) -> (SocketAddr, TcpStream) {
    let mut previous = deliver(environment, client, "d0").0;
    for number in 1..100 {
        let delivered_at = Instant::now();
        while delivered_at.elapsed() < Duration::from_millis(20) {
            assert_eq!(client.request(&["PING"]), "+PONG");
        }
        let (connection, stream) = deliver(environment, client, &format!("d{number}"));
        if connection == previous {
            // Gives the connection the time to become idle.
            assert_eq!(client.request(&["PING"]), "+PONG");
            return (connection, stream);
        }
        previous = connection;
    }
    panic!("no connection was reused");
}

/// Delivers a message. Returns the gateway's address and the endpoint's side of the connection. What is written there
/// follows the response.
fn deliver(environment: &TestEnvironment, client: &mut Client, id: &str) -> (SocketAddr, TcpStream) {
    assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
    let call = environment.call();
    assert_eq!(call.id, id);
    let (gateway_address, mut stream) = (call.gateway_address(), call.stream());
    stream.write_all(EMPTY_OK_RESPONSE).unwrap();
    // Has the stub go on to the next request.
    call.answer_raw(b"");
    (gateway_address, stream)
}

/// Bytes that are on their way when the next call is sent would be taken for its response. While endpoints are known to
/// send more than belongs to a response, a connection rests for 100 ms before it is reused, and a call that cannot wait
/// for that opens another one.
#[test]
fn connections_rest_for_longer_after_surplus_bytes() {
    const REST: Duration = Duration::from_millis(100);
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    let (mut connection, mut stream) = deliver(&environment, &mut client, "first");
    stream.write_all(EMPTY_OK_RESPONSE).unwrap();
    // The gateway notices the bytes at the latest when it would reuse the connection.
    for number in 0..2 {
        let (next, _) = deliver(&environment, &mut client, &format!("next{number}"));
        assert_ne!(next, connection);
        connection = next;
    }
    for number in 0..20 {
        let (connection, _) = deliver(&environment, &mut client, &format!("a{number}"));
        let answered_at = Instant::now();
        // Gives a rest of 5 ms the time to pass.
        while answered_at.elapsed() < REST / 10 {
            assert_eq!(client.request(&["PING"]), "+PONG");
        }
        let (next, _) = deliver(&environment, &mut client, &format!("b{number}"));
        let rested = answered_at.elapsed();
        assert!(next != connection || rested >= REST, "reused after {rested:?}");
    }
}

/// Bytes that arrive shortly after a response could not be told from the next response if the next call had already
/// been sent. A connection pauses for 5 ms after a response before it is reused.
#[test]
fn a_connection_pauses_between_two_calls() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("m0", "0", "salary", 1, b"x"), "+OK");
    let mut call = environment.call();
    for number in 1..10 {
        let (connection, answered_at) = (call.gateway_address(), Instant::now());
        call.answer("200 OK", "");
        // The connection is idle or about to be. Only a reused one has to pause.
        assert_eq!(client.enqueue(&format!("m{number}"), "0", "salary", 1, b"x"), "+OK");
        call = environment.call();
        let pause = answered_at.elapsed();
        assert!(
            call.gateway_address() != connection || pause >= Duration::from_millis(5),
            "reused after {pause:?}"
        );
    }
    call.answer("200 OK", "");
    environment.expect_nothing();
}

/// Interim responses must not be taken for the final one: they are skipped, and the connection is kept. An endless
/// series of them counts as no response.
#[test]
fn interim_responses_are_skipped() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    let hint = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    assert_eq!(client.enqueue("e1", "0", "salary", 1, b"x"), "+OK");
    let call = environment.call();
    let connection = call.gateway_address();
    call.answer_raw(&[hint.repeat(3).as_bytes(), EMPTY_OK_RESPONSE].concat());
    environment.expect_nothing();
    assert_eq!(client.enqueue("e2", "0", "salary", 1, b"x"), "+OK");
    let call = environment.call();
    assert_eq!(call.gateway_address(), connection);
    call.answer_raw(hint.repeat(200).as_bytes());
    assert_eq!(environment.notification(), r#"{"id":"e2","state":"failed"}"#);
}

/// Connections belong to an endpoint, not to its address. A new endpoint at the address of a removed one gets its own
/// connections, and keeps them when the endpoint list changes again.
#[test]
fn a_reused_address_gets_connections_of_its_own() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    environment.remove(1);
    gateway.wait_for_log_line("endpoint list updated");
    let mut deliver = |id: &str| {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = environment.call();
        let connection = call.gateway_address();
        call.answer("200 OK", "");
        environment.expect_nothing();
        connection
    };
    let old_connection = deliver("a1");
    environment.announce_replaced(0, 0, 1);
    gateway.wait_for_log_lines("endpoint list updated", 2);
    let new_connection = deliver("a2");
    assert_ne!(new_connection, old_connection);
    environment.remove(1);
    gateway.wait_for_log_lines("endpoint list updated", 3);
    assert_eq!(deliver("a3"), new_connection);
}

/// Endpoints that are replaced again and again would let the memory grow if removed ones were kept. It may grow by less
/// than 1500 KiB over 15 000 replacements.
#[test]
fn removed_endpoints_free_their_memory() {
    const TIMES: u32 = 1000;
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let replace = |rounds: std::ops::Range<u32>| {
        for round in rounds {
            environment.announce_replaced(0, round, TIMES);
            gateway.wait_for_log_lines("endpoint list updated", round as usize + 1);
        }
        gateway.resident_memory_kib()
    };
    // The buffers grow in the first rounds.
    let before = replace(0..5);
    let after = replace(5..20);
    assert!(after < before + 1500, "{before} KiB before, {after} KiB after");
}

/// Idle connections to many endpoints could exceed the descriptor limit, and are evicted instead.
#[test]
fn descriptors_stay_within_their_limit() {
    let mut environment = TestEnvironment::with_long_deadlines(40, 3.0);
    (environment.destination_per_endpoint, environment.sockets) = (true, 44);
    let gateway = environment.start();
    let mut client = gateway.client();
    for destination in 1..=40 {
        assert_eq!(client.enqueue(&format!("n{destination}"), "0", "salary", destination, b"x"), "+OK");
        environment.call().answer("200 OK", "");
        assert!(gateway.descriptors() <= 44, "{} descriptors", gateway.descriptors());
    }
}
