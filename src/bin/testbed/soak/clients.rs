//! Clients of a soak: proper ones, on connections that rest, that are pipelined or that come in parts, and bad ones.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::ledger::{Idempotency, Ledger};
use crate::stubs::{command, locked, Client};

/// How long a client waits for its answer.
const ANSWER: Duration = Duration::from_millis(400);
/// Between two parts of a request.
const PART: Duration = Duration::from_millis(120);
/// How long one waits here before the courier is said to be silent: the machine is shared.
const PATIENCE: Duration = Duration::from_secs(2);
/// A peer that sends no proper request is owed an error or a close within this time, and what the machine adds.
const BAD_PEER: Duration = Duration::from_millis(3700);
/// A connection rests for so long at times, about where couriers close it.
const REST: Duration = Duration::from_millis(2000);

/// What the clients of one courier know.
#[derive(Clone)]
pub struct GatewayClients {
    pub courier: usize,
    pub address: SocketAddr,
    pub destinations: u32,
    pub ledger: Arc<Mutex<Ledger>>,
    pub over: Arc<AtomicBool>,
}

/// The classes of the configuration: name, effect, and what each needs in its fields.
pub const CLASSES: [(&str, Idempotency, &str); 3] = [
    ("salary", Idempotency::NonIdempotent, ""),
    ("notice", Idempotency::IdempotentWithKey(Duration::from_secs(10)), ",k=aa"),
    ("brief", Idempotency::IdempotentWithKey(Duration::from_millis(400)), ",k=aa"),
];

/// Hands in messages until the soak is over.
pub fn enqueue_messages(site: &GatewayClients, name: &str, seed: u64) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut kept: Option<Client> = None;
    let mut number = 0;
    while !site.over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{}-{name}-{number}", site.courier);
        let asked = Instant::now();
        let rested = kept.is_some();
        let request = Request::new(site, &id, &mut chance);
        let cut = if chance.u8(..) < 32 { chance.usize(1..request.bytes.len()) } else { request.bytes.len() };
        if let Err(error) = request.enqueue(site, &mut kept, cut) {
            kept = None;
            let silent = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            // What crosses the end of a resting connection comes once more on a new one.
            if rested && !silent && request.enqueue(site, &mut kept, request.bytes.len()).is_ok() {
                continue;
            }
            kept = None;
            let mut ledger = locked(&site.ledger);
            if !ledger.was_away(site.courier, asked) && error.kind() != ErrorKind::ConnectionRefused {
                ledger.breach(format!("{id} was not answered: {error}"));
            }
            drop(ledger);
            thread::sleep(Duration::from_millis(100));
        }
        let rest = if chance.u8(..) < 8 { REST } else { Duration::from_millis(chance.u64(20..300)) };
        thread::sleep(rest);
        if chance.u8(..) < 32 {
            kept = None;
        }
    }
}

/// A message on its way in.
struct Request {
    id: String,
    idempotency: Idempotency,
    left: Duration,
    bytes: Vec<u8>,
}

impl Request {
    fn new(site: &GatewayClients, id: &str, chance: &mut fastrand::Rng) -> Self {
        let (class, idempotency, more) = CLASSES[chance.usize(..CLASSES.len())];
        let left = Duration::from_millis(chance.u64(600..6000));
        let destination = chance.u32(1..=site.destinations);
        let fields = format!("c={class},d={},dest={destination}{more}", left.as_millis());
        let body = "x".repeat(chance.usize(1..400));
        let bytes = command(&["ENQUEUE", "0", id, fields.as_str(), body.as_str()]);
        Request { id: id.to_owned(), idempotency, left, bytes }
    }

    /// Sends it, the part behind the cut a moment later, and hears the answer.
    fn enqueue(&self, site: &GatewayClients, kept: &mut Option<Client>, cut: usize) -> io::Result<()> {
        let client = connected(site, kept)?;
        locked(&site.ledger).handed_in(&self.id, site.courier, self.idempotency, self.left);
        client.try_send(&self.bytes[..cut])?;
        if cut < self.bytes.len() {
            thread::sleep(PART);
            client.try_send(&self.bytes[cut..])?;
        }
        heard(site, client, &self.id)
    }
}

fn connected<'a>(site: &GatewayClients, kept: &'a mut Option<Client>) -> io::Result<&'a mut Client> {
    if kept.is_none() {
        *kept = Some(Client::connect(site.address, PATIENCE)?);
    }
    kept.as_mut().ok_or_else(|| ErrorKind::NotConnected.into())
}

fn heard(site: &GatewayClients, client: &mut Client, id: &str) -> io::Result<()> {
    let asked = Instant::now();
    let line = client.try_line()?;
    if line.is_empty() {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let mut ledger = locked(&site.ledger);
    ledger.answered(id, &line);
    if asked.elapsed() > ANSWER {
        ledger.count("answered late");
    }
    Ok(())
}

/// Sends what is no proper request, and waits for the error or the close that it is owed.
pub fn send_malformed_requests(site: &GatewayClients, seed: u64) {
    let mut chance = fastrand::Rng::with_seed(seed);
    while !site.over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(chance.u64(300..1500)));
        let began = Instant::now();
        let Ok(mut client) = Client::connect(site.address, BAD_PEER) else { continue };
        let bytes: &[u8] = match chance.u8(..5) {
            0 => b"",
            1 => b"GET / HTTP/1.1\r\n\r\n",
            2 => b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$4\r\nstay",
            3 => b"*1\r\n$99999999\r\n",
            _ => b"*2\r\n$-1\r\n",
        };
        let _ = client.try_send(bytes);
        let silent = match client.try_line() {
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            Ok(_) => false,
        };
        let mut ledger = locked(&site.ledger);
        ledger.count("bad peers");
        if silent && !ledger.was_away(site.courier, began) {
            ledger.breach(format!("a bad peer of courier {} was left with neither", site.courier));
        }
    }
}
