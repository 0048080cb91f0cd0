//! Bad clients at the smallest limits that a deployment may have: little memory, few descriptors, a part of a core. They
//! must not make the process exceed its memory, and must not keep others from being answered.

mod environment;

use environment::*;
use std::net::TcpStream;
use std::time::Duration;

const MEMORY_MB: u32 = 32;
/// Clients wait this long for a reply.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);

fn small_machine(sockets: u32) -> TestEnvironment {
    let mut environment = TestEnvironment::new(1, 3.0);
    (environment.memory_mb, environment.sockets) = (MEMORY_MB, sockets);
    environment.max_pending_messages = 112;
    environment
}

/// While the gateway is held up for a moment, connections wait in its listeners' queues. Those beyond 128 had no room
/// there, and their clients tried again only after 1 s.
#[test]
fn a_burst_of_connections_waits_in_the_queue_while_the_gateway_is_held_up() {
    let environment = small_machine(256);
    let gateway = environment.start();
    let admin = gateway.admin_connection().peer_addr().unwrap();
    for address in [gateway.address(), admin] {
        let mut connections: Vec<TcpStream> = Vec::new();
        gateway.while_stopped(|| {
            for number in 0..300 {
                let connection = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT);
                connections.push(connection.unwrap_or_else(|error| panic!("connection {number}: {error}")));
            }
        });
        assert_eq!(gateway.client().request(&["PING"]), "+PONG");
        assert_eq!(gateway.admin_request("GET /_ready"), 200);
    }
}
