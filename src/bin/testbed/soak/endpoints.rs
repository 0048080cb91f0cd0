//! Endpoints of a soak: they serve, refuse, break connections, hang and come back, by chance and as they are told.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::ledger::{is_open, Fate, Ledger};
use crate::stubs::{locked, serve, serve_calls, Call, Seen};

/// Longest time that an ordinary answer takes.
const SERVICE: Duration = Duration::from_millis(60);
/// Longest time that a hanging call is held: longer than any message has.
const HANG: Duration = Duration::from_secs(30);
/// How often a call that takes time looks whether the courier still waits.
const LOOK: Duration = Duration::from_millis(10);

/// How an endpoint behaves just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mood {
    Serving,
    /// Takes calls and answers none.
    Hanging,
    /// Breaks the connection of half of its calls, before or after it has served them.
    Breaking,
    /// Refuses half of its calls, some with a wait.
    Refusing,
    /// Answers half of its calls with what is no answer.
    Spoiling,
}

impl Mood {
    pub const ALL: [Mood; 5] = [Mood::Serving, Mood::Hanging, Mood::Breaking, Mood::Refusing, Mood::Spoiling];

    fn of(number: u8) -> Self {
        Mood::ALL.get(usize::from(number)).copied().unwrap_or(Mood::Serving)
    }
}

/// One endpoint.
pub struct Endpoint {
    pub address: SocketAddr,
    pub destination: u32,
    mood: AtomicU8,
}

impl Endpoint {
    pub fn set(&self, mood: Mood) {
        self.mood.store(mood as u8, Ordering::SeqCst);
    }
}

/// All endpoints, at each of which calls are answered on threads of their own.
pub fn start(
    endpoints: usize,
    destinations: u32,
    max_attempts: usize,
    seed: u64,
    ledger: &Arc<Mutex<Ledger>>,
) -> std::io::Result<Arc<Vec<Endpoint>>> {
    let (send, calls) = channel();
    let mut all = Vec::new();
    for number in 0..endpoints {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let send = send.clone();
        serve(listener, move |stream| serve_calls(number, stream, &send));
        all.push(Endpoint { address, destination: number as u32 % destinations + 1, mood: AtomicU8::new(0) });
    }
    let all = Arc::new(all);
    let (endpoints, ledger) = (all.clone(), ledger.clone());
    thread::spawn(move || dispatch(&calls, &endpoints, max_attempts, seed, &ledger));
    Ok(all)
}

fn dispatch(
    calls: &Receiver<Seen>,
    endpoints: &Arc<Vec<Endpoint>>,
    max_attempts: usize,
    seed: u64,
    ledger: &Arc<Mutex<Ledger>>,
) {
    let mut chance = fastrand::Rng::with_seed(seed);
    while let Ok(seen) = calls.recv() {
        let Seen::Call(call) = seen else { continue };
        let endpoint = &endpoints[call.endpoint];
        let destination = endpoint.destination;
        let Ok(connection) = call.connection.try_clone() else { continue };
        locked(ledger).attempt(&call.id, call.endpoint, destination, max_attempts, connection);
        let mood = Mood::of(endpoint.mood.load(Ordering::SeqCst));
        let chance = chance.fork();
        let ledger = ledger.clone();
        thread::spawn(move || answer(call, destination, mood, chance, &ledger));
    }
}

/// Waits, and tells whether the courier waits too.
fn still_wanted(call: &Call, span: Duration) -> bool {
    let end = Instant::now() + span;
    while is_open(&call.connection) {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(LOOK));
    }
    false
}

fn answer(call: Call, destination: u32, mood: Mood, mut chance: fastrand::Rng, ledger: &Mutex<Ledger>) {
    let id = call.id.clone();
    let span = if mood == Mood::Hanging { HANG } else { SERVICE.mul_f64(chance.f64()) };
    if !still_wanted(&call, span) || mood == Mood::Hanging {
        return locked(ledger).ended(&id, Fate::MayHaveRun);
    }
    let odd = chance.bool();
    match mood {
        Mood::Breaking if odd => {
            locked(ledger).ended(&id, Fate::MayHaveRun);
            call.reset();
        }
        Mood::Spoiling if odd => {
            locked(ledger).ended(&id, Fate::MayHaveRun);
            call.raw(b"HTTP/1.1 2\r\n\r\n");
        }
        Mood::Refusing if odd => {
            let wait = Duration::from_millis(chance.u64(200..1500));
            let told = chance.bool();
            let mut ledger = locked(ledger);
            ledger.ended(&id, Fate::NeverRan);
            if told {
                ledger.told_to_wait(&id, destination, wait);
                call.answer("429 Too Many Requests", &format!("X-Come-Back-Ms: {}\r\n", wait.as_millis()));
            } else {
                call.answer("503 Service Unavailable", "");
            }
        }
        _ => {
            locked(ledger).ended(&id, Fate::Delivered);
            call.answer("200 OK", "");
        }
    }
}
