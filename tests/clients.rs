//! What clients can rely on, misbehaving ones among them, over loopback sockets.

mod environment;

use environment::*;
use std::time::{Duration, Instant};

/// A client gets an error, or is closed, within 3 s of connecting.
const ERROR_TIMEOUT: Duration = Duration::from_secs(3);

/// A client that sends nothing is closed; one that stops within a request gets an error first. Neither keeps its
/// connection slot.
#[test]
fn silent_clients_and_partial_requests_time_out() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut silent = gateway.client().with_read_timeout(ERROR_TIMEOUT);
    let mut half = gateway.client().with_read_timeout(ERROR_TIMEOUT);
    half.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
    assert!(half.read_line().starts_with("-ERR "));
    assert!(half.is_closed());
    assert!(silent.is_closed());
}

/// More connections than there are slots: the silent ones are evicted, and a client with a request is served at once,
/// rather than wait in the listener's queue past the 400 ms that a client waits.
#[test]
fn silent_connections_are_evicted_for_clients_with_requests() {
    let mut environment = TestEnvironment::new(1, 3.0);
    environment.sockets = 256;
    let gateway = environment.start();
    let silent: Vec<Client> = (0..300).map(|_| gateway.client()).collect();
    for number in 0..20 {
        let mut client = gateway.client().with_read_timeout(Duration::from_secs(1));
        assert_eq!(client.enqueue(&format!("g{number}"), "0", "salary", 1, b"x"), "+OK");
        environment.call().answer("200 OK", "");
    }
    drop(silent);
}

/// A client that is within a request when connection slots run short may have sent the rest of it: its connection ends
/// with an error rather than without a word, which would lose the request.
///
/// The gateway is stopped while clients connect and send, so that each connection has its part of a request, or its
/// whole one, before the gateway sees it. One that is accepted before its first byte may be closed without a word.
#[test]
fn partial_requests_that_are_evicted_get_an_error() {
    let mut environment = TestEnvironment::new(1, 3.0);
    // Slots for 48 connections: all that connect at a time fit the listener's queue while the gateway is stopped.
    environment.sockets = 128;
    let gateway = environment.start();
    let (mut partial, mut whole) = (Vec::new(), Vec::new());
    gateway.while_stopped(|| {
        for _ in 0..48 {
            let mut client = gateway.client().with_read_timeout(ERROR_TIMEOUT);
            client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
            partial.push(client);
        }
    });
    // Their clients would have stopped waiting by now, so that they are evicted for others.
    std::thread::sleep(Duration::from_millis(450));
    gateway.while_stopped(|| {
        for _ in 0..20 {
            let mut client = gateway.client().with_read_timeout(ERROR_TIMEOUT);
            client.send_command(&["PING"]);
            whole.push(client);
        }
    });
    whole.iter_mut().for_each(|client| assert_eq!(client.read_line(), "+PONG"));
    for (number, client) in partial.iter_mut().enumerate() {
        let line = client.read_line();
        assert!(line.starts_with("-ERR "), "{line:?} on connection {number}");
    }
}

/// A request's time runs from its last byte on, also while its connection waits for a slot: the longest that it can
/// have waited is subtracted, or its final outcome would be as much too late.
#[test]
fn time_waiting_for_a_connection_slot_counts() {
    let mut environment = TestEnvironment::new(1, 3.0);
    environment.sockets = 256;
    environment.reject_connections(0);
    let gateway = environment.start();
    let (mut halves, mut begun) = (Vec::new(), Instant::now());
    let mut delayed = None;
    // What they send is there when they are accepted: they are within a request from the start, and occupy all slots.
    gateway.while_stopped(|| {
        for _ in 0..128 {
            let mut half = gateway.client();
            half.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
            halves.push(half);
        }
        begun = Instant::now();
        let mut client = gateway.client();
        client.send_command(&["ENQUEUE", "0", "w1", "c=salary,d=1000,dest=1", "x"]);
        delayed = Some(client);
    });
    assert_eq!(delayed.unwrap().read_line(), "+OK");
    let waited = begun.elapsed();
    assert!(environment.notification().contains(r#""id":"w1","state":"returned""#));
    let (took, late) = (begun.elapsed(), Duration::from_millis(300));
    assert!(took < Duration::from_secs(1) + late, "after {took:?}, of which {waited:?} for a slot");
}

/// Clients that send one request and stay connected do not use up the idle connections that clients may keep, a sixth
/// of the descriptors: the longest idle one is closed for each further one, and the last one stays.
#[test]
fn the_longest_idle_connections_are_evicted() {
    let mut environment = TestEnvironment::new(1, 3.0);
    environment.sockets = 256;
    let gateway = environment.start();
    let mut stayed: Vec<Client> =
        (0..80).map(|_| gateway.client().with_read_timeout(Duration::from_secs(1))).collect();
    for client in &mut stayed {
        assert_eq!(client.request(&["PING"]), "+PONG");
    }
    assert!(stayed[..30].iter_mut().all(Client::is_closed));
    assert_eq!(stayed[79].request(&["PING"]), "+PONG");
}

/// The error arrives, however much the client goes on sending: closing with bytes unread resets the connection,
/// which throws away what the client has not read yet.
#[test]
fn an_error_arrives_behind_a_huge_value() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nb1\r\n$3\r\nc=x\r\n$60000000\r\n");
    let part = vec![b'x'; 1 << 20];
    (0..60).for_each(|_| client.try_send(&part).unwrap());
    assert!(client.read_line().starts_with("-ERR "));
    assert!(client.is_closed());
}

/// Hundreds of commands at once are each answered, and others are served meanwhile.
#[test]
fn pipelined_commands_are_all_answered_and_delay_nobody() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut flood = gateway.client();
    flood.send(&b"*1\r\n$8\r\nFLUSHALL\r\n".repeat(2000));
    let mut client = gateway.client();
    assert_eq!(client.enqueue("f1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("200 OK", "");
    (0..2000).for_each(|_| assert!(flood.read_line().starts_with("-ERR ")));
    assert_eq!(flood.request(&["PING"]), "+PONG");
}

/// The id of a pending message belongs to it: the same message once more is already accepted, and another one under
/// its id is an error.
#[test]
fn a_pending_id_belongs_to_its_message() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("i1", "9", "notice,k=i1", 1, b"1"), "+OK");
    let call = environment.call();
    assert!(gateway.client().enqueue("i1", "9", "notice,k=i1", 1, b"other").starts_with("-ERR "));
    assert!(gateway.client().enqueue("i1", "0", "salary", 1, b"1").starts_with("-ERR "));
    assert_eq!(gateway.client().enqueue("i1", "9", "notice,k=i1", 1, b"1"), "+OK");
    call.answer("200 OK", "");
    environment.expect_nothing();
}

/// Nor does the id become free when its message is completed: endpoints would reject another message under it, and
/// every call that carries it.
#[test]
fn a_completed_id_belongs_to_its_message() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("o1", "9", "notice,k=o1", 1, b"1"), "+OK");
    environment.call().answer("200 OK", "");
    // The first message is completed once the next one of its key has been sent.
    assert_eq!(client.enqueue("o2", "9", "notice,k=o2", 1, b"1"), "+OK");
    let call = environment.call();
    assert_eq!(call.id, "o2");
    assert!(client.enqueue("o1", "9", "notice,k=o1", 1, b"other").starts_with("-ERR "));
    assert_eq!(client.enqueue("o1", "9", "notice,k=o1", 1, b"1"), "+OK");
    call.answer("500 No", "");
    environment.call().answer("200 OK", "");
    environment.expect_nothing();
}

/// A destination that was never in the endpoint list is an error; one that has lost its endpoints may get others.
#[test]
fn unknown_destinations_are_errors_and_empty_ones_are_not() {
    let mut environment = TestEnvironment::with_long_deadlines(2, 3.0);
    environment.destination_per_endpoint = true;
    let gateway = environment.start();
    environment.remove(1);
    gateway.wait_for_log_line("endpoint list updated");
    let mut client = gateway.client();
    assert!(client.enqueue("d9", "0", "salary", 9, b"x").starts_with("-ERR "));
    assert_eq!(client.enqueue("d2", "0", "salary", 2, b"x"), "+OK");
    drop(client);
    let gateway = gateway.kill_and_restart();
    assert_eq!(gateway.client().enqueue("d3", "0", "salary", 2, b"x"), "+OK");
    assert!(gateway.client().enqueue("d8", "0", "salary", 8, b"x").starts_with("-ERR "));
    environment.expect_no_call();
}

/// Without its idempotency key a message of a keyed class could not be retried safely.
#[test]
fn messages_of_keyed_classes_need_an_idempotency_key() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    assert!(gateway.client().enqueue("k1", "9", "notice", 1, b"1").starts_with("-ERR "));
    environment.expect_no_call();
}

/// While the gateway is a lame duck, each new connection may still bring its first request, and gets a reply.
#[test]
fn a_lame_duck_answers_each_first_request() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    assert_eq!(gateway.admin_request("POST /_lameduck/on"), 200);
    for round in 0..5000 {
        // The connection is up before its request comes.
        let mut client = gateway.client();
        let answer = client.request(&["PING"]);
        assert!(answer.starts_with("-ERR "), "{answer:?} in round {round}");
    }
}
