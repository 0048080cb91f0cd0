//! Bad clients at the smallest limits that a deployment may have: little memory, few descriptors, a part of a core. They
//! must not make the process exceed its memory, and must not keep others from being answered.

mod environment;

use environment::*;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 32;
/// Clients wait this long for a reply.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Operators wait this long for a response.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of connections that a flood of operators keeps open.
const OPEN_OPERATORS: usize = 64;
/// For how long one client sends at full speed.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// The memory that the gateway may gain while one client floods it: tombstones, buffers and the journal's index.
const MAX_FLOOD_GROWTH_KIB: u64 = 6 << 10;
/// The gateway runs for this part of each period, as on a machine that gives it a part of a core.
const PERIOD: Duration = Duration::from_millis(20);
const RUNNING: Duration = Duration::from_millis(8);

fn small_machine(sockets: u32) -> TestEnvironment {
    let mut environment = TestEnvironment::new(1, 3.0);
    (environment.memory_mb, environment.sockets) = (MEMORY_MB, sockets);
    environment.max_pending_messages = 112;
    environment
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

/// The same at the admin endpoint, with heads of very many short headers.
#[test]
fn half_sent_heads_of_hundreds_of_operators_fit_the_memory() {
    let environment = small_machine(256);
    let gateway = environment.start();
    let head = format!("GET /_ready HTTP/1.1\r\n{}", "a:\r\n".repeat(1900));
    let mut connections: Vec<TcpStream> = Vec::new();
    for _ in 0..300 {
        let mut connection = gateway.admin_connection();
        let _ = connection.write_all(head.as_bytes());
        connections.push(connection);
    }
    let asked_at = Instant::now();
    assert_eq!(gateway.admin_request("GET /_ready"), 200);
    assert!(asked_at.elapsed() < OPERATOR_TIMEOUT, "after {:?}", asked_at.elapsed());
    assert_eq!(gateway.client().request(&["PING"]), "+PONG");
    let peak_kib = gateway.peak_memory_kib();
    assert!(peak_kib <= u64::from(MEMORY_MB) << 10, "{peak_kib} KiB");
}

/// A thread that works until it is dropped.
struct Worker {
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Repeats an action until the worker is dropped, or the action returns false.
    fn repeat(mut action: impl FnMut() -> bool + Send + 'static) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = is_stopped.clone();
        let thread = thread::spawn(move || while !stopped.load(Ordering::SeqCst) && action() {});
        Worker { is_stopped, thread: Some(thread) }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let _ = self.thread.take().unwrap().join();
    }
}

/// Gives the gateway a part of a core: stops it for the rest of each period.
fn throttle(gateway: &RunningGateway) -> Worker {
    let process = gateway.process_id() as libc::pid_t;
    // SAFETY: the calls only send signals to the gateway's process.
    Worker::repeat(move || unsafe {
        libc::kill(process, libc::SIGSTOP);
        thread::sleep(PERIOD - RUNNING);
        libc::kill(process, libc::SIGCONT);
        thread::sleep(RUNNING);
        true
    })
}

/// Sends requests on one connection at full speed, and discards the replies. Connects again if the connection ends.
fn flood(gateway: &RunningGateway, mut request: impl FnMut(u64) -> Vec<u8> + Send + 'static) -> [Worker; 2] {
    let address = gateway.address();
    let mut output = TcpStream::connect(address).unwrap();
    let mut input = output.try_clone().unwrap();
    input.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let (send_input, next_input) = std::sync::mpsc::channel::<TcpStream>();
    let mut number = 0;
    let writer = Worker::repeat(move || {
        let mut bytes = Vec::new();
        while bytes.len() < 16 << 10 {
            number += 1;
            bytes.extend(request(number));
        }
        if output.write_all(&bytes).is_err() {
            let Ok(stream) = TcpStream::connect(address) else { return false };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
            let _ = send_input.send(stream.try_clone().unwrap());
            output = stream;
        }
        true
    });
    let reader = Worker::repeat(move || {
        if let Ok(stream) = next_input.try_recv() {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
            input = stream;
        }
        if !matches!(input.read(&mut [0; 65_536]), Ok(1..)) {
            thread::sleep(Duration::from_millis(1));
        }
        true
    });
    [writer, reader]
}

/// Returns the bytes of a request with this number.
type Request = fn(u64) -> Vec<u8>;

/// Delivers the messages that the gateway sends.
fn answer_calls(environment: &TestEnvironment) {
    while let Some(event) = environment.event_within(Duration::ZERO) {
        if let StubEvent::Call(call) = event {
            call.answer("200 OK", "");
        }
    }
}

/// Asks the gateway as sound clients and an operator do, and checks that each gets its answer in time.
fn expect_answers_in_time(gateway: &RunningGateway, flood: &str, number: usize) {
    let asked_at = Instant::now();
    let mut client = gateway.client().with_read_timeout(4 * CLIENT_TIMEOUT);
    let reply = client.request(&["PING"]);
    let waited = asked_at.elapsed();
    assert!(reply == "+PONG" && waited < CLIENT_TIMEOUT, "{flood}: {reply:?} after {waited:?}");
    let asked_at = Instant::now();
    let id = format!("{flood}-{number}").replace(' ', "_");
    let reply = client.enqueue(&id, "0", "salary", 1, b"x");
    let waited = asked_at.elapsed();
    let is_answer = reply == "+OK" || reply.starts_with("-BUSY");
    assert!(is_answer && waited < CLIENT_TIMEOUT, "{flood}: {reply:?} after {waited:?}");
    let asked_at = Instant::now();
    assert_eq!(gateway.admin_request("GET /_ready"), 200);
    assert!(asked_at.elapsed() < OPERATOR_TIMEOUT, "{flood}: after {:?}", asked_at.elapsed());
}

/// Runs a flood beside sound clients on a part of a core, and checks the memory that it takes.
fn expect_harmless(environment: &TestEnvironment, gateway: &RunningGateway, name: &str, flood: Vec<Worker>) {
    let before_kib = gateway.peak_memory_kib();
    let throttle = throttle(gateway);
    let end = Instant::now() + FLOOD_TIME;
    let mut rounds = 0;
    while Instant::now() < end {
        expect_answers_in_time(gateway, name, rounds);
        answer_calls(environment);
        rounds += 1;
    }
    drop((throttle, flood));
    let grown_kib = gateway.peak_memory_kib().saturating_sub(before_kib);
    assert!(grown_kib <= MAX_FLOOD_GROWTH_KIB, "{name}: the peak grew by {grown_kib} KiB");
}

fn enqueue_command(number: u64, key: &str, fields: &str) -> Vec<u8> {
    encode_command(&["ENQUEUE", key, &format!("id{number}"), fields, ""])
}

/// One client that sends small or unsound requests at full speed, also under ever new names, must not delay the answers
/// to others, and must not make the memory grow.
#[test]
fn a_flood_of_one_client_delays_no_other_and_takes_no_memory() {
    let floods: [(&str, Request); 7] = [
        ("health checks", |_| encode_command(&["PING"])),
        ("new commands", |number| encode_command(&[format!("C{number}")])),
        ("too few elements", |number| encode_command(&["ENQUEUE".to_owned(), number.to_string()])),
        ("new classes", |number| {
            enqueue_command(number, "0", &format!("d=9,c=c{number},t=t{number},dest=1"))
        }),
        ("new destinations", |number| {
            enqueue_command(number, "0", &format!("d=9,c=salary,t=t{number},dest={}", number + 2))
        }),
        ("new messages", |number| {
            let fields = format!("d=20000,c=notice,t=t{number},k=k{number},dest=1");
            enqueue_command(number, &format!("{number:x}"), &fields)
        }),
        ("malformed", |_| b"*1\r\n$x\r\n".to_vec()),
    ];
    let environment = small_machine(256);
    let gateway = environment.start();
    for (name, request) in floods {
        expect_harmless(&environment, &gateway, name, flood(&gateway, request).into());
    }
}

/// The same at the admin endpoint, which takes one request on each connection.
#[test]
fn a_flood_of_one_operator_delays_no_other_and_takes_no_memory() {
    let environment = small_machine(256);
    let gateway = environment.start();
    let address = gateway.admin_connection().peer_addr().unwrap();
    for (name, end_of_head) in [("new names", "\r\n\r\n"), ("half a head", "\r\nX")] {
        let (mut number, mut open) = (0, VecDeque::new());
        let flood = Worker::repeat(move || {
            number += 1;
            let Ok(mut connection) = TcpStream::connect(address) else { return false };
            let head = format!("POST /_endpoints/detach?id=new-{number} HTTP/1.1{end_of_head}");
            let _ = connection.write_all(head.as_bytes());
            open.push_back(connection);
            if open.len() > OPEN_OPERATORS {
                open.pop_front();
            }
            // More would fill the listener's queue faster than any process accepts.
            thread::sleep(Duration::from_micros(500));
            true
        });
        expect_harmless(&environment, &gateway, name, vec![flood]);
    }
}
