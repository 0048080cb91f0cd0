//! Guarantees for clients, also while others are silent, slow or send too much, over loopback sockets.

mod environment;

use environment::*;
use std::time::{Duration, Instant};

/// Limits each read of a client. It is longer than the gateway keeps a connection without a complete request open.
const ERROR_TIMEOUT: Duration = Duration::from_secs(3);

/// Clients that stop sending would occupy connection slots without end. A connection without a request is closed, and
/// one with a partial request gets an error first.
#[test]
fn silent_clients_and_partial_requests_time_out() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut silent = gateway.client().with_read_timeout(ERROR_TIMEOUT);
    let mut partial = gateway.client().with_read_timeout(ERROR_TIMEOUT);
    partial.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
    assert!(partial.read_line().starts_with("-ERR "));
    assert!(partial.is_closed());
    assert!(silent.is_closed());
}

/// With more connections than slots, silent ones are evicted, so that a client with a request is served at once. It
/// would otherwise be in the listener's accept queue for longer than the 400 ms after which a client gives up.
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

/// A client with a partial request may have sent the rest of it when its connection is evicted for lack of slots. It
/// gets an error, as it would lose the request if the connection were closed without a reply.
///
/// The gateway is stopped while clients connect and send, so that each connection has its partial or complete request
/// before the gateway accepts it. A connection that is accepted before its first byte may be closed without a reply.
#[test]
fn partial_requests_that_are_evicted_get_an_error() {
    let mut environment = TestEnvironment::new(1, 3.0);
    // Gives slots for 48 connections. All that connect at a time fit the accept queue while the gateway is stopped.
    environment.sockets = 128;
    let gateway = environment.start();
    let (mut partial, mut complete) = (Vec::new(), Vec::new());
    gateway.while_stopped(|| {
        for _ in 0..48 {
            let mut client = gateway.client().with_read_timeout(ERROR_TIMEOUT);
            client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
            partial.push(client);
        }
    });
    // Clients give up after 400 ms, so that these connections may now be evicted for others.
    std::thread::sleep(Duration::from_millis(450));
    gateway.while_stopped(|| {
        for _ in 0..20 {
            let mut client = gateway.client().with_read_timeout(ERROR_TIMEOUT);
            client.send_command(&["PING"]);
            complete.push(client);
        }
    });
    complete.iter_mut().for_each(|client| assert_eq!(client.read_line(), "+PONG"));
    for (number, client) in partial.iter_mut().enumerate() {
        let line = client.read_line();
        assert!(line.starts_with("-ERR "), "{line:?} on connection {number}");
    }
}

/// A long request that waits for a permit may be the one whose connection is evicted for lack of slots. If it kept its slot
/// until its time limit, no other connection would be evicted meanwhile, and new clients would wait beyond the 400 ms after
/// which they give up.
#[test]
fn an_evicted_request_that_waits_for_a_permit_frees_its_slot() {
    let mut environment = TestEnvironment::new(1, 3.0);
    // Gives slots for 48 connections, and two permits for long requests.
    (environment.sockets, environment.memory_mb) = (128, 1);
    let gateway = environment.start();
    let mut start = b"*2\r\n$7\r\nUNKNOWN\r\n$40000\r\n".to_vec();
    start.resize(6000, b'x');
    // The longest incomplete request comes to wait for a permit, since younger ones are long before it is. There is one more
    // of them than permits, as one may be evicted at once when all slots are occupied.
    let mut waiting = gateway.client().with_read_timeout(ERROR_TIMEOUT);
    waiting.send(&start[..100]);
    assert_eq!(gateway.client().request(&["PING"]), "+PONG");
    let mut others = Vec::new();
    gateway.while_stopped(|| {
        for number in 0..47 {
            let mut client = gateway.client().with_read_timeout(ERROR_TIMEOUT);
            client.send(if number < 3 { &start } else { &start[..100] });
            others.push(client);
        }
    });
    std::thread::sleep(Duration::from_millis(50));
    waiting.send(&start[100..]);
    // Clients give up after 400 ms, so that all these connections may now be evicted for others.
    std::thread::sleep(Duration::from_millis(450));
    let mut served = Vec::new();
    for _ in 0..3 {
        let mut client = gateway.client().with_read_timeout(Duration::from_millis(400));
        // A connection between two requests would be evicted before those with a partial one.
        client.send_command(&["PING"]);
        client.send(&start[..100]);
        assert_eq!(client.read_line(), "+PONG");
        served.push(client);
    }
    assert_eq!(waiting.read_line(), "-BUSY");
}

/// The time until a message's deadline counts from the last byte of its request, also while the connection waits for a
/// slot. The gateway subtracts the longest possible wait, as the final outcome would otherwise be late by the actual
/// wait.
#[test]
fn time_waiting_for_a_connection_slot_counts() {
    let mut environment = TestEnvironment::new(1, 3.0);
    environment.sockets = 256;
    environment.reject_connections(0);
    let gateway = environment.start();
    let (mut partial, mut sent_at) = (Vec::new(), Instant::now());
    let mut delayed = None;
    // The bytes of these clients have arrived when their connections are accepted, so that they count as partial
    // requests from the start and occupy all slots.
    gateway.while_stopped(|| {
        for _ in 0..128 {
            let mut client = gateway.client();
            client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
            partial.push(client);
        }
        sent_at = Instant::now();
        let mut client = gateway.client();
        client.send_command(&["ENQUEUE", "0", "w1", "c=salary,d=1000,dest=1", "x"]);
        delayed = Some(client);
    });
    assert_eq!(delayed.unwrap().read_line(), "+OK");
    let waited = sent_at.elapsed();
    assert!(environment.notification().contains(r#""id":"w1","state":"returned""#));
    let (took, tolerance) = (sent_at.elapsed(), Duration::from_millis(300));
    assert!(took < Duration::from_secs(1) + tolerance, "after {took:?}, of which {waited:?} for a slot");
}

/// Clients that stay connected after a request could use up the descriptors. They may keep a sixth of them as idle
/// connections: the longest idle one is closed for each further one, and the newest one stays.
#[test]
fn the_longest_idle_connections_are_evicted() {
    let mut environment = TestEnvironment::new(1, 3.0);
    environment.sockets = 256;
    let gateway = environment.start();
    let mut connected: Vec<Client> =
        (0..80).map(|_| gateway.client().with_read_timeout(Duration::from_secs(1))).collect();
    for client in &mut connected {
        assert_eq!(client.request(&["PING"]), "+PONG");
    }
    assert!(connected[..30].iter_mut().all(Client::is_closed));
    assert_eq!(connected[79].request(&["PING"]), "+PONG");
}

/// Closing a connection with unread bytes resets it, which discards a reply that the client has not read yet. An error
/// has to arrive, however many bytes the client sends after it.
#[test]
fn an_error_reply_arrives_while_a_huge_value_is_sent() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nb1\r\n$3\r\nc=x\r\n$60000000\r\n");
    let part = vec![b'x'; 1 << 20];
    (0..60).for_each(|_| client.try_send(&part).unwrap());
    assert!(client.read_line().starts_with("-ERR "));
    assert!(client.is_closed());
}

/// One client with 2000 commands at once must not delay the others. Each of its commands is answered.
#[test]
fn pipelined_commands_are_all_answered_and_delay_no_other_client() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut pipelining = gateway.client();
    pipelining.send(&b"*1\r\n$8\r\nFLUSHALL\r\n".repeat(2000));
    let mut client = gateway.client();
    assert_eq!(client.enqueue("f1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("200 OK", "");
    (0..2000).for_each(|_| assert!(pipelining.read_line().starts_with("-ERR ")));
    assert_eq!(pipelining.request(&["PING"]), "+PONG");
}

/// The id of a pending message belongs to that message. The same message again counts as already accepted and is not
/// sent twice, and another message under its id is an error.
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

/// The id of a completed message does not become free: endpoints would reject another message under it, and each call
/// that carries it.
#[test]
fn a_completed_id_belongs_to_its_message() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("o1", "9", "notice,k=o1", 1, b"1"), "+OK");
    environment.call().answer("200 OK", "");
    // The next message of the ordering key is sent only after the first one is completed.
    assert_eq!(client.enqueue("o2", "9", "notice,k=o2", 1, b"1"), "+OK");
    let call = environment.call();
    assert_eq!(call.id, "o2");
    assert!(client.enqueue("o1", "9", "notice,k=o1", 1, b"other").starts_with("-ERR "));
    assert_eq!(client.enqueue("o1", "9", "notice,k=o1", 1, b"1"), "+OK");
    call.answer("500 No", "");
    environment.call().answer("200 OK", "");
    environment.expect_nothing();
}

/// A destination that was never in the endpoint list is an error. One that has lost its endpoints may get others, so
/// that its messages are accepted.
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

/// A message of a class with idempotency keys could not be retried safely without its key.
#[test]
fn messages_of_keyed_classes_need_an_idempotency_key() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    assert!(gateway.client().enqueue("k1", "9", "notice", 1, b"1").starts_with("-ERR "));
    environment.expect_no_call();
}

/// Clients may still connect to a lame duck. The first request on each new connection gets a reply.
#[test]
fn a_lame_duck_answers_each_first_request() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    assert_eq!(gateway.admin_request("POST /_lameduck/on"), 200);
    for round in 0..5000 {
        // The connection is established before its request is sent.
        let mut client = gateway.client();
        let reply = client.request(&["PING"]);
        assert!(reply.starts_with("-ERR "), "{reply:?} in round {round}");
    }
}
