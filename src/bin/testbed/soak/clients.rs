//! The clients of a soak. Well-behaved clients enqueue messages, on connections that are sometimes idle and with
//! commands that are sometimes sent in two parts. Others send malformed requests.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::ledger::{Idempotency, Ledger};
use crate::stubs::{encode_command, locked, Client};

/// Replies that arrive later than this after the command was sent are counted as late in the report.
const LATE_REPLY_TIME: Duration = Duration::from_millis(400);
/// The delay between the two parts of a split command.
const PART_DELAY: Duration = Duration::from_millis(120);
/// The time without a reply after which a gateway counts as unresponsive. It allows for the many processes that share
/// the machine.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum time until a malformed request gets a reply or a closed connection, including scheduling delays of the
/// machine.
const MALFORMED_TIMEOUT: Duration = Duration::from_millis(3700);
/// The length of an idle period of a connection, which is about the time after which gateways close it.
const IDLE_TIME: Duration = Duration::from_millis(2000);

/// The state that the clients of one gateway share.
#[derive(Clone)]
pub struct GatewayClients {
    /// The number of the gateway.
    pub gateway: usize,
    pub address: SocketAddr,
    /// The number of destinations. Their numbers begin at 1.
    pub destinations: u32,
    pub ledger: Arc<Mutex<Ledger>>,
    /// Set when the time of the clients and of the drawn faults is over, which ends the clients.
    pub is_over: Arc<AtomicBool>,
}

/// A class of the configuration.
struct ClassOfMessage {
    name: &'static str,
    idempotency: Idempotency,
    /// Additional fields for the command, each with a leading comma.
    fields: &'static str,
}

const CLASSES: [ClassOfMessage; 3] = [
    ClassOfMessage { name: "salary", idempotency: Idempotency::NonIdempotent, fields: "" },
    ClassOfMessage {
        name: "notice",
        idempotency: Idempotency::IdempotentWithKey(Duration::from_secs(10)),
        fields: ",k=aa",
    },
    ClassOfMessage {
        name: "brief",
        idempotency: Idempotency::IdempotentWithKey(Duration::from_millis(400)),
        fields: ",k=aa",
    },
];

/// Enqueues messages with random pauses until `is_over` is set. A message without a reply is a violation, unless the
/// gateway was restarting or refused the connection.
pub fn enqueue_messages(clients: &GatewayClients, name: &str, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut connection: Option<Client> = None;
    let mut number = 0;
    while !clients.is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{}-{name}-{number}", clients.gateway);
        let sent_at = Instant::now();
        let is_reused = connection.is_some();
        let request = Request::new(clients, &id, &mut random);
        let split_at =
            if random.u8(..) < 32 { random.usize(1..request.bytes.len()) } else { request.bytes.len() };
        if let Err(error) = request.enqueue(clients, &mut connection, split_at) {
            connection = None;
            let is_unresponsive = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            // A request on a reused connection may cross the gateway's close of that connection. It is sent once more
            // on a new one.
            if is_reused
                && !is_unresponsive
                && request.enqueue(clients, &mut connection, request.bytes.len()).is_ok()
            {
                continue;
            }
            connection = None;
            let mut ledger = locked(&clients.ledger);
            if !ledger.was_restarting(clients.gateway, sent_at)
                && error.kind() != ErrorKind::ConnectionRefused
            {
                ledger.record_violation(format!("{id} was not answered: {error}"));
            }
            drop(ledger);
            thread::sleep(Duration::from_millis(100));
        }
        let pause = if random.u8(..) < 8 { IDLE_TIME } else { Duration::from_millis(random.u64(20..300)) };
        thread::sleep(pause);
        if random.u8(..) < 32 {
            connection = None;
        }
    }
}

/// An ENQUEUE command.
struct Request {
    id: String,
    idempotency: Idempotency,
    /// The time from sending to the message's deadline.
    time_left: Duration,
    bytes: Vec<u8>,
}

impl Request {
    fn new(clients: &GatewayClients, id: &str, random: &mut fastrand::Rng) -> Self {
        let class = &CLASSES[random.usize(..CLASSES.len())];
        let time_left = Duration::from_millis(random.u64(600..6000));
        let destination = random.u32(1..=clients.destinations);
        let ClassOfMessage { name, idempotency, fields } = class;
        let fields = format!("c={name},d={},dest={destination}{fields}", time_left.as_millis());
        let body = "x".repeat(random.usize(1..400));
        let bytes = encode_command(&["ENQUEUE", "0", id, fields.as_str(), body.as_str()]);
        Request { id: id.to_owned(), idempotency: *idempotency, time_left, bytes }
    }

    /// Sends the command and reads the reply. The bytes from `split_at` on are sent after [`PART_DELAY`].
    fn enqueue(
        &self,
        clients: &GatewayClients,
        connection: &mut Option<Client>,
        split_at: usize,
    ) -> io::Result<()> {
        let client = reuse_or_connect(clients, connection)?;
        locked(&clients.ledger).message_enqueued(&self.id, clients.gateway, self.idempotency, self.time_left);
        client.try_send(&self.bytes[..split_at])?;
        if split_at < self.bytes.len() {
            thread::sleep(PART_DELAY);
            client.try_send(&self.bytes[split_at..])?;
        }
        read_reply(clients, client, &self.id)
    }
}

fn reuse_or_connect<'a>(
    clients: &GatewayClients,
    connection: &'a mut Option<Client>,
) -> io::Result<&'a mut Client> {
    if connection.is_none() {
        *connection = Some(Client::connect(clients.address, REPLY_TIMEOUT)?);
    }
    connection.as_mut().ok_or_else(|| ErrorKind::NotConnected.into())
}

fn read_reply(clients: &GatewayClients, client: &mut Client, id: &str) -> io::Result<()> {
    let sent_at = Instant::now();
    let line = client.try_read_line()?;
    if line.is_empty() {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let mut ledger = locked(&clients.ledger);
    ledger.reply_received(id, &line);
    if sent_at.elapsed() > LATE_REPLY_TIME {
        ledger.count("late replies");
    }
    Ok(())
}

/// Sends malformed or incomplete requests until `is_over` is set. Each has to get a reply or a closed connection in
/// time.
pub fn send_malformed_requests(clients: &GatewayClients, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !clients.is_over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(random.u64(300..1500)));
        let begun_at = Instant::now();
        let Ok(mut client) = Client::connect(clients.address, MALFORMED_TIMEOUT) else { continue };
        let bytes: &[u8] = match random.u8(..5) {
            0 => b"",
            1 => b"GET / HTTP/1.1\r\n\r\n",
            2 => b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$4\r\nstay",
            3 => b"*1\r\n$99999999\r\n",
            _ => b"*2\r\n$-1\r\n",
        };
        let _ = client.try_send(bytes);
        let is_unresponsive = match client.try_read_line() {
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            Ok(_) => false,
        };
        let mut ledger = locked(&clients.ledger);
        ledger.count("malformed requests");
        if is_unresponsive && !ledger.was_restarting(clients.gateway, begun_at) {
            ledger.record_violation(format!(
                "a malformed request to gateway {} got neither a reply nor a closed connection",
                clients.gateway
            ));
        }
    }
}
