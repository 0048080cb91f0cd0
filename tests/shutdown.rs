//! The end of a process: each request of which it has read a part gets a reply before its connection is closed, and no
//! client delays the end beyond its bound.

mod environment;

use environment::*;
use std::thread;
use std::time::{Duration, Instant};

/// The limit for each read of a client, and for the exit. The platform kills a process 3.7 s after SIGTERM.
const KILL_TIMEOUT: Duration = Duration::from_millis(3700);
/// A process with nothing left to do exits this long after SIGTERM.
const EARLIEST_EXIT: Duration = Duration::from_millis(600);
/// The first bytes of a request that is too long to be read without a permit.
const LONG_REQUEST_START: usize = 6000;
/// The first bytes of a request that is read without a permit so far.
const SHORT_REQUEST_START: usize = 100;
/// The length of the longest element of that request.
const LONG_ELEMENT: usize = 40_000;

/// Connects a client, on whose connection a request has been answered.
fn served_client(gateway: &RunningGateway) -> Client {
    let mut client = gateway.client().with_read_timeout(KILL_TIMEOUT);
    assert_eq!(client.request(&["PING"]), "+PONG");
    client
}

/// Returns the first [`LONG_REQUEST_START`] bytes of a long request, which is rejected when it is complete.
fn long_request_start() -> Vec<u8> {
    let mut start = format!("*2\r\n$7\r\nUNKNOWN\r\n${LONG_ELEMENT}\r\n").into_bytes();
    start.resize(LONG_REQUEST_START, b'x');
    start
}

/// Returns the bytes that follow [`long_request_start`].
fn rest_of_long_request() -> Vec<u8> {
    let header = format!("*2\r\n$7\r\nUNKNOWN\r\n${LONG_ELEMENT}\r\n").len();
    let mut rest = vec![b'x'; header + LONG_ELEMENT - LONG_REQUEST_START];
    rest.extend(b"\r\n");
    rest
}

/// Connects clients that hold all `permits` for long requests: each sends the start of one and stays.
fn hold_long_request_permits(gateway: &RunningGateway, permits: usize) -> Vec<Client> {
    let clients = (0..permits).map(|_| {
        let mut client = served_client(gateway);
        client.send(&long_request_start());
        client
    });
    let clients = clients.collect();
    // Answered after the bytes above have been read, which had arrived before.
    served_client(gateway);
    clients
}

/// Creates an environment whose gateways have two permits for long requests.
fn with_two_permits() -> TestEnvironment {
    let mut environment = TestEnvironment::with_long_deadlines(1, 3.0);
    environment.memory_mb = 1;
    environment
}

/// A request that is half read at SIGTERM is behind an answered one, so that its client would take a closed connection
/// for a lost message. It gets a reply, though nothing else keeps the process from its exit.
#[test]
fn a_half_read_request_gets_a_reply_before_the_exit() {
    let environment = TestEnvironment::new(1, 3.0);
    let mut gateway = environment.start();
    let mut client = served_client(&gateway);
    // Both arrive at once, so that the time limit of the request ends later than the earliest exit.
    gateway.while_stopped(|| {
        client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
        gateway.send_sigterm();
    });
    let reply = client.read_line();
    assert!(reply.starts_with("-ERR "), "{reply:?}");
    assert!(client.is_closed());
    assert!(gateway.wait(KILL_TIMEOUT).success());
}

/// A complete long request waits for its permit while bad clients hold all of them. The process may not exit before it
/// has accepted the message. The next process delivers it.
#[test]
fn a_long_request_that_waits_for_a_permit_is_accepted_before_the_exit() {
    let environment = with_two_permits();
    let mut gateway = environment.start();
    let bad = hold_long_request_permits(&gateway, 2);
    let mut client = served_client(&gateway);
    gateway.while_stopped(|| {
        client.send_enqueue("long", "0", "salary", 1, &[b'x'; 8 << 10]);
        gateway.send_sigterm();
    });
    assert_eq!(client.read_line(), "+OK");
    for mut client in bad {
        assert!(client.read_line().starts_with('-'));
    }
    assert!(gateway.wait(KILL_TIMEOUT).success());
    let _next = environment.start();
    let call = environment.call();
    assert_eq!(call.id, "long");
    call.answer("200 OK", "");
}

/// A bad client that stays connected after its error must not keep its permit for as long, since the requests of others
/// would wait for it beyond their time limit.
#[test]
fn a_refused_long_request_frees_its_permit() {
    let environment = with_two_permits();
    let gateway = environment.start();
    let mut bad = hold_long_request_permits(&gateway, 2);
    for client in &mut bad {
        assert!(client.read_line().starts_with("-ERR "));
    }
    let mut client = served_client(&gateway);
    assert_eq!(client.enqueue("long", "0", "salary", 1, &[b'x'; 8 << 10]), "+OK");
    environment.call().answer("200 OK", "");
    drop(bad);
}

/// A long request that gets no permit in time is refused, and its client may have sent more behind it. If the connection
/// were closed with the refusal, these requests would be lost.
#[test]
fn requests_behind_a_refused_long_request_are_answered() {
    let environment = with_two_permits();
    let gateway = environment.start();
    let mut client = served_client(&gateway);
    let start = long_request_start();
    client.send(&start[..SHORT_REQUEST_START]);
    // Answered after these bytes have been read. The time limit of the request then ends before those of the holders.
    served_client(&gateway);
    thread::sleep(Duration::from_millis(100));
    let holders = hold_long_request_permits(&gateway, 2);
    client.send(&start[SHORT_REQUEST_START..]);
    client.send(&rest_of_long_request());
    client.send_enqueue("behind", "0", "salary", 1, b"x");
    assert_eq!(client.read_line(), "-BUSY");
    assert_eq!(client.read_line(), "+OK");
    let call = environment.call();
    assert_eq!(call.id, "behind");
    call.answer("200 OK", "");
    drop(holders);
}

/// During an upgrade too, a request that waits for a permit of the predecessor gets its reply: the predecessor has no
/// other reason to stay after SIGTERM.
#[test]
fn a_long_request_that_waits_for_a_permit_is_accepted_over_a_handover() {
    let environment = with_two_permits();
    let mut predecessor = environment.start();
    let mut bad = hold_long_request_permits(&predecessor, 2);
    // The bad clients stay with the predecessor once they are refused.
    for client in &mut bad {
        assert!(client.read_line().starts_with("-ERR "));
    }
    let mut client = served_client(&predecessor);
    client.send_enqueue("long", "0", "salary", 1, &[b'x'; 8 << 10]);
    let _successor = environment.start();
    predecessor.send_sigterm();
    assert!(predecessor.wait(KILL_TIMEOUT).success());
    assert_eq!(client.read_line(), "+OK");
    environment.call().answer("200 OK", "");
    drop(bad);
}

/// Connections may wait in the listener's queue when the process may exit, because bad clients occupy all slots. They are
/// accepted, and their requests answered, as are the requests of the bad clients.
#[test]
fn requests_in_the_accept_queue_are_answered_before_the_exit() {
    let mut environment = TestEnvironment::new(1, 3.0);
    // Gives slots for 48 connections. All that connect at a time fit the accept queue while the gateway is stopped.
    environment.sockets = 128;
    let mut gateway = environment.start();
    let (mut partial, mut queued) = (Vec::new(), Vec::new());
    gateway.send_sigterm();
    gateway.wait_for_log_line("shutdown requested");
    gateway.while_stopped(|| {
        for _ in 0..48 {
            let mut client = gateway.client().with_read_timeout(KILL_TIMEOUT);
            client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
            partial.push(client);
        }
        for _ in 0..20 {
            let mut client = gateway.client().with_read_timeout(KILL_TIMEOUT);
            client.send_command(&["PING"]);
            queued.push(client);
        }
        // The gateway may exit as soon as it continues.
        thread::sleep(EARLIEST_EXIT);
    });
    for (number, client) in queued.iter_mut().enumerate() {
        assert_eq!(client.try_read_line().ok().as_deref(), Some("+PONG"), "queued connection {number}");
    }
    for (number, client) in partial.iter_mut().enumerate() {
        let reply = client.try_read_line().unwrap_or_default();
        assert!(reply.starts_with('-'), "{reply:?} on the connection {number} with a partial request");
    }
    assert!(gateway.wait(KILL_TIMEOUT).success());
}

/// A client that begins the next request with the end of each one always has an open request. It may not delay the exit
/// until SIGKILL, which would cut off calls and replies, and its last request is refused instead of dropped. The same holds
/// for the one that the client has begun with the rest of the refused one, if that was still read.
#[test]
fn a_client_that_always_has_an_open_request_does_not_delay_the_exit() {
    let environment = TestEnvironment::new(1, 3.0);
    let mut gateway = environment.start();
    let mut client = served_client(&gateway);
    let mut signalled_at = Instant::now();
    gateway.while_stopped(|| {
        client.send(b"*1\r\n$4\r\nPI");
        gateway.send_sigterm();
        signalled_at = Instant::now();
    });
    let mut last_reply = String::from("+PONG");
    while last_reply == "+PONG" {
        client.send(b"NG\r\n*1\r\n$4\r\nPI");
        last_reply = client.read_line();
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(last_reply, "-BUSY");
    let begun_since = client.try_read_line().unwrap_or_default();
    assert!(begun_since == "-BUSY" || begun_since.is_empty(), "{begun_since:?}");
    assert!(client.is_closed());
    assert!(gateway.wait(KILL_TIMEOUT.saturating_sub(signalled_at.elapsed())).success());
    assert!(signalled_at.elapsed() > EARLIEST_EXIT);
}
