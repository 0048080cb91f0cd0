//! Requests behind one that is refused: each that the gateway reads gets its reply, whatever the refusal was for.

mod environment;

use environment::*;
use std::time::Duration;

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// Limits each read of a client. It is longer than the gateway waits for the rest of a request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of connections with which 128 descriptors have no slot left.
const SLOTS: usize = 48;

/// Sends a request in two parts, of which the second one begins with the rest of it, and further commands. All of them
/// must get a reply after the refusal of the first.
fn expect_replies_behind_refusal(gateway: &RunningGateway, refusal: &str, reply: &str) {
    let mut client = gateway.client().with_read_timeout(REPLY_TIMEOUT);
    client.send(&PING[..PING.len() / 2]);
    assert!(client.read_line().starts_with(refusal));
    client.send(&[&PING[PING.len() / 2..], PING, PING].concat());
    for _ in 0..2 {
        assert!(client.read_line().starts_with(reply));
    }
}

/// A request that is not complete in time was refused, and everything behind it was read and discarded without a reply.
#[test]
fn requests_behind_one_that_timed_out_are_answered() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    expect_replies_behind_refusal(&gateway, "-ERR the request did not", "+PONG");
    // A lame duck answers what it has read before it closes the connection.
    assert_eq!(gateway.admin_request("POST /_lameduck/on"), 200);
    expect_replies_behind_refusal(&gateway, "-ERR the request did not", "-ERR being emptied");
}

/// The payments behind a refused request were lost: read, and neither accepted nor rejected.
#[test]
fn messages_behind_a_refused_request_are_accepted() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client().with_read_timeout(REPLY_TIMEOUT);
    client.send(&PING[..PING.len() / 2]);
    assert!(client.read_line().starts_with("-ERR "));
    client.send(&PING[PING.len() / 2..]);
    assert_eq!(client.enqueue("p1", "0", "salary", 1, b"pay"), "+OK");
    environment.call().answer("200 OK", "");
}

/// The rest of a refused request may never come. The connection ends some time after the refusal.
#[test]
fn a_client_that_never_completes_a_refused_request_is_closed() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client().with_read_timeout(REPLY_TIMEOUT);
    client.send(&PING[..PING.len() / 2]);
    assert!(client.read_line().starts_with("-ERR "));
    assert!(client.is_closed());
}

/// An eviction was decided while a connection was idle, crossed the first bytes of a request, and ended the request at
/// its next wait, however young it was. It has to lapse when the connection is no longer idle.
#[test]
fn an_eviction_lapses_when_a_request_arrives() {
    let mut environment = TestEnvironment::new(1, 3.0);
    environment.sockets = 128;
    let gateway = environment.start();
    let mut resting = gateway.client().with_read_timeout(REPLY_TIMEOUT);
    assert_eq!(resting.request(&["PING"]), "+PONG");
    let mut others: Vec<Client> = (0..SLOTS - 2).map(|_| gateway.client()).collect();
    // The last of them is accepted before its reply.
    assert_eq!(others[SLOTS - 3].request(&["PING"]), "+PONG");
    gateway.while_stopped(|| {
        // The gateway gets the connection that needs a slot first, and evicts the resting one. Then it gets the bytes.
        others.push(gateway.client());
        resting.send(&[PING, &PING[..PING.len() / 2]].concat());
    });
    assert_eq!(resting.read_line(), "+PONG");
    // The gateway has had time to end the second request, of which a part has been read. It evicts another connection.
    assert_eq!(gateway.admin_request("GET /_ready"), 200);
    resting.send(&[&PING[PING.len() / 2..], PING].concat());
    assert_eq!((resting.read_line(), resting.read_line()), ("+PONG".to_owned(), "+PONG".to_owned()));
}
