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

/// The start of a request with a long body, of which half follows.
fn half_of_a_long_request(number: usize) -> Vec<u8> {
    let id = format!("long{number}");
    let mut bytes = encode_command(&["ENQUEUE", "0", &id, "d=20000,c=salary,dest=1", &"x".repeat(60_000)]);
    bytes.truncate(32_000);
    bytes
}

/// The start of a request whose fields are as many as fit a request, and as short as possible.
fn many_short_fields(number: usize) -> Vec<u8> {
    let fields = "a=,".repeat(1200);
    let id = format!("short{number}");
    let mut bytes = encode_command(&["ENQUEUE", "0", &id, &fields, &"x".repeat(60_000)]);
    bytes.truncate(20_000);
    bytes
}

/// The start of a request with as many elements as a request may have.
fn many_short_elements(_: usize) -> Vec<u8> {
    let mut bytes = encode_command(&vec!["x".repeat(250); 16]);
    bytes.truncate(4_050);
    bytes
}

/// Hundreds of clients that stop half way through a request, or send it slowly, hold what has been read of it in the
/// gateway's memory, all at the same time. The peak has to stay within the limit, and others have to be served.
#[test]
fn half_sent_requests_of_hundreds_of_clients_fit_the_memory() {
    for sockets in [256, 1024] {
        let environment = small_machine(sockets);
        let gateway = environment.start();
        for request in [half_of_a_long_request, many_short_fields, many_short_elements] {
            let clients: Vec<Client> =
                (0..600).map_while(|_| gateway.try_client(CLIENT_TIMEOUT).ok()).collect();
            let mut clients: Vec<(Client, Vec<u8>)> =
                clients.into_iter().enumerate().map(|(number, client)| (client, request(number))).collect();
            // Writes in pieces, so that all of them are within a request for as long as possible.
            for piece in 0..8 {
                for (client, bytes) in &mut clients {
                    let size = bytes.len() / 8;
                    client.send(&bytes[piece * size..(piece + 1) * size]);
                }
            }
            let mut sound = gateway.client();
            assert_eq!(sound.request(&["PING"]), "+PONG");
            let peak_kib = gateway.peak_memory_kib();
            assert!(peak_kib <= u64::from(MEMORY_MB) << 10, "{peak_kib} KiB with {sockets} descriptors");
            assert!(gateway.descriptors() <= sockets as usize);
        }
    }
}

/// All at the same time: hundreds of clients with the start of a request, and others with most of a long one. Each
/// connection had a buffer of twice the size that it reads, and one of 4 KiB besides that was only used in passing. Long
/// requests may take an eighth of the memory, and all connections together a quarter.
#[test]
fn long_requests_beside_half_sent_ones_fit_their_share_of_the_memory() {
    let environment = small_machine(1024);
    let gateway = environment.start();
    let before_kib = gateway.peak_memory_kib();
    let mut clients: Vec<Client> = (0..850).map(|_| gateway.client()).collect();
    gateway.while_stopped(|| {
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("long{number}");
            let request = match number % 4 {
                0 => encode_command(&["ENQUEUE", "0", &id, "d=20000,c=salary,dest=1", &"x".repeat(65_000)]),
                _ => encode_command(&vec!["x".repeat(250); 16]),
            };
            let length = if number % 4 == 0 { 64_000 } else { 4_090 };
            let _ = client.stream.get_ref().set_nonblocking(true);
            let _ = client.try_send(&request[..length]);
            client.stream.get_ref().set_nonblocking(false).unwrap();
        }
    });
    // The time limit of a request: by then all clients' bytes have been read that the gateway reads.
    assert!(clients[1].read_line().starts_with("-ERR "));
    let grown_kib = gateway.peak_memory_kib() - before_kib;
    let limit_kib = u64::from(MEMORY_MB / 8 + MEMORY_MB / 4) << 10;
    assert!(grown_kib <= limit_kib, "the peak grew by {grown_kib} KiB, of at most {limit_kib} KiB");
}
