//! The admin endpoint: disabled endpoints and lame duck mode, over loopback sockets and in the scheduler alone.

mod common;
mod environment;

use common::{accepted, endpoint, idempotent, ms, settings, StartedAttempt, TestBench};
use delivery_gateway::{Action, AttemptOutcome, ClassId, DestinationKind, Event, Settings};
use environment::*;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

#[test]
fn malformed_admin_requests_get_a_plain_error() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    assert_eq!(gateway.admin_request("GET /_ready"), 200);
    for (request, status) in [
        ("GET /", 404),
        ("GET /_readyx", 404),
        ("POST /_ready", 405),
        ("GET /_lameduck/on", 405),
        ("DELETE /_endpoints/detach?id=s-0", 405),
        ("POST /_endpoints/detach", 400),
        ("POST /_endpoints/detach?uid=s-0", 400),
        ("POST /_endpoints/detach?id=s-0&id=s-1", 400),
        ("POST /_endpoints/detach?id=s-7", 404),
        ("POST /_endpoints/attach?id=", 404),
        ("nonsense", 400),
    ] {
        assert_eq!(gateway.admin_request(request), status, "{request}");
    }
    let mut truncated = gateway.admin_connection();
    truncated.write_all(b"GET /_ready HTTP/1.1\r\nHo").unwrap();
    truncated.shutdown(Shutdown::Write).unwrap();
    assert_eq!(response_status(truncated), 400);
    let mut long = gateway.admin_connection();
    let _ = long.write_all(format!("GET /_ready HTTP/1.1\r\nX: {}", "x".repeat(20_000)).as_bytes());
    assert_eq!(response_status(long), 431);
}

/// Clients with incomplete requests could occupy all connections of the admin endpoint. They are evicted for others.
#[test]
fn slow_admin_clients_are_evicted() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    // 16 connections are as many as the admin endpoint serves at a time.
    let slow: Vec<_> = (0..16)
        .map(|_| {
            let mut stream = gateway.admin_connection();
            stream.write_all(b"POST /_lameduck/on HTTP/1.1\r\n").unwrap();
            stream
        })
        .collect();
    // Without evictions it would respond only after all slow connections had timed out.
    assert_eq!(gateway.admin_request("GET /_ready"), 200);
    assert_eq!(gateway.client().request(&["PING"]), "+PONG");
    let mut slow = slow.into_iter();
    assert_eq!(slow.next().map(response_status), Some(408));
    // The newest connection is still open.
    let mut last = slow.next_back().unwrap();
    last.write_all(b"\r\n").unwrap();
    assert_eq!(response_status(last), 200);
}

/// A disabled endpoint must not be enabled by the endpoint list, by a repeated request or by a restart, but only by the
/// operator.
#[test]
fn a_disabled_endpoint_gets_nothing_until_it_is_enabled() {
    let environment = TestEnvironment::with_long_deadlines(2, 3.0);
    let mut gateway = environment.start();
    assert_eq!(gateway.admin_request("POST /_endpoints/detach?id=s-0"), 200);
    assert_eq!(gateway.admin_request("POST /_endpoints/detach?id=s-0"), 200);
    environment.remove(0);
    gateway.wait_for_log_line("endpoint list updated");
    environment.announce_serving(0, 3);
    gateway.wait_for_log_lines("endpoint list updated", 2);
    for round in 0..2 {
        // Both endpoints are idle: if endpoint 0 were not disabled, some of these messages would go to it.
        let mut client = gateway.client();
        for number in 0..4 {
            let id = format!("d{round}{number}");
            assert_eq!(client.enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        }
        // After a kill there may be notifications as well, for calls whose responses had not been read.
        let calls: Vec<Call> = (0..4).map(|_| environment.call_among_notifications()).collect();
        assert!(calls.iter().all(|call| call.endpoint == 1));
        calls.into_iter().for_each(|call| call.answer("200 OK", ""));
        assert_eq!(gateway.admin_request("POST /_endpoints/detach?id=s-1"), 200);
        assert_eq!(gateway.client().enqueue(&format!("w{round}"), "0", "salary", 1, b"x"), "+OK");
        environment.expect_no_call();
        if round == 0 {
            gateway = gateway.kill_and_restart();
            environment.expect_no_call();
        }
        assert_eq!(gateway.admin_request("POST /_endpoints/attach?id=s-1"), 200);
        environment.call_among_notifications().answer("200 OK", "");
    }
    assert_eq!(gateway.admin_request("POST /_endpoints/detach?id=s-1"), 200);
    assert_eq!(gateway.admin_request("POST /_endpoints/attach?id=s-0"), 200);
    assert_eq!(gateway.admin_request("POST /_endpoints/attach?id=s-0"), 200);
    assert_eq!(gateway.client().enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    let call = environment.call_among_notifications();
    assert_eq!(call.endpoint, 0);
    call.answer("200 OK", "");
}

/// A call may still be connecting when its endpoint is disabled. It must not be sent once its connection is
/// established.
#[test]
fn disabling_an_endpoint_withdraws_calls_that_are_connecting() {
    let mut environment = TestEnvironment::new(2, 3.0);
    let hanging = environment.hang_connections(0);
    let gateway = environment.start();
    let mut client = gateway.client();
    // One message goes to each endpoint, since the endpoint without a call in flight is chosen.
    for id in ["c1", "c2"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
    }
    let first = environment.call();
    assert_eq!(first.endpoint, 1);
    assert_eq!(gateway.admin_request("POST /_endpoints/detach?id=s-0"), 200);
    environment.release(hanging);
    let second = environment.call();
    assert_eq!(second.endpoint, 1);
    assert_ne!(first.id, second.id);
    first.answer("200 OK", "");
    second.answer("200 OK", "");
}

/// A lame duck fails its health check, closes client connections without losing a request that has begun, delivers its
/// pending messages, and can return to service.
#[test]
fn a_lame_duck_releases_its_clients_and_returns_to_service() {
    let environment = TestEnvironment::with_long_deadlines(1, 3.0);
    let gateway = environment.start();
    let (mut idle, mut partial) = (gateway.client(), gateway.client());
    assert_eq!(idle.enqueue("l1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = environment.call();
    assert_eq!(partial.request(&["PING"]), "+PONG");
    partial.send(b"*1\r\n$4\r\nPI");
    assert_eq!(gateway.admin_request("POST /_lameduck/on"), 200);
    assert_eq!(gateway.admin_request("POST /_lameduck/on"), 200);
    assert!(idle.is_closed());
    // A request that has begun is answered before its connection is closed.
    partial.send(b"NG\r\n");
    assert!(partial.read_line().starts_with("-ERR"));
    assert!(partial.is_closed());
    // So is the first request on a connection that clients open before they notice the failed health check.
    let mut late = gateway.client();
    assert_eq!(late.enqueue("l2", "0", "salary", 1, b"x"), "+OK");
    assert!(late.is_closed());
    assert_eq!(gateway.admin_request("GET /_ready"), 503);
    in_flight.answer("200 OK", "");
    environment.call().answer("200 OK", "");
    assert_eq!(gateway.admin_request("POST /_lameduck/off"), 200);
    let mut client = gateway.client();
    assert_eq!(client.request(&["PING"]), "+PONG");
    assert_eq!(client.request(&["PING"]), "+PONG");
    assert_eq!(gateway.admin_request("GET /_ready"), 200);
    environment.expect_nothing();
}

/// Clients need time to notice a lame duck, so that it accepts messages during a grace period, and none after it. The
/// grace period begins with the first request for the mode; a repeated request does not extend it.
#[test]
fn a_lame_duck_accepts_nothing_after_its_grace_period() {
    let mut bench = TestBench::new(settings(vec![idempotent()]), vec![endpoint(11, 3)]);
    bench.handle(Event::LameDuck(true));
    let class = (ClassId(0), &idempotent());
    let admits =
        |bench: &mut TestBench| bench.scheduler.admits(bench.now, &accepted(bench.now, 1, class, 3, None));
    assert!(admits(&mut bench));
    bench.now = bench.now + ms(2000);
    bench.handle(Event::LameDuck(true));
    bench.now = bench.now + ms(1500);
    assert!(!admits(&mut bench));
    bench.handle(Event::LameDuck(false));
    assert!(admits(&mut bench));
}

/// An endpoint may have been restarted while it was disabled, so that it gets a slow start when it is enabled.
#[test]
fn an_enabled_endpoint_gets_a_slow_start() {
    let kinds = vec![DestinationKind { max_batch_size: 1, has_per_endpoint_limits: true }];
    let mut bench = TestBench::new(
        Settings { destination_kinds: kinds, max_in_flight_calls: 64, ..settings(vec![idempotent()]) },
        vec![endpoint(11, 3), endpoint(12, 4)],
    );
    bench.handle(Event::EndpointDisabled(delivery_gateway::EndpointId(11)));
    let actions = bench.decide();
    assert!(
        actions.contains(&Action::CloseIdleConnections { endpoint: delivery_gateway::EndpointId(11) }),
        "{actions:?}"
    );
    (1..=40).for_each(|id| bench.accept(id, 0, 3, None));
    assert_eq!(bench.start_attempts(), []);
    bench.handle(Event::EndpointEnabled(delivery_gateway::EndpointId(11)));
    // An endpoint that was never disabled gets no slow start.
    bench.handle(Event::EndpointEnabled(delivery_gateway::EndpointId(12)));
    (41..=60).for_each(|id| bench.accept(id, 0, 4, None));
    let (mut slow_start_calls, mut other_calls) = (0, 0);
    let end = bench.now + Duration::from_secs(1);
    while bench.now < end {
        for StartedAttempt { message, endpoint: at, .. } in bench.start_attempts() {
            *(if at == 11 { &mut slow_start_calls } else { &mut other_calls }) += 1;
            bench.finish(message, at, AttemptOutcome::Delivered, ms(5));
        }
        bench.now = bench.now + ms(5);
    }
    // The maximum is what the overload limit lets one gateway send in a second: 2.0 x 100/s, starting at 20%.
    assert!(
        (1..=40).contains(&slow_start_calls) && other_calls == 20,
        "{slow_start_calls} calls to the enabled endpoint and {other_calls} to the other one"
    );
    assert!(bench.scheduler.circuit_records().any(|record| record.slow_start_since.is_some()));
}
