//! Endpoints of a soak: they serve, reject, break connections and stop responding, at random and as their behavior
//! says.
//! What each did with an attempt goes to the ledger before the gateway can know it.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::ledger::{is_open, Fate, Ledger};
use crate::stubs::{locked, serve, serve_calls, Call, StubEvent};

/// Longest time of an ordinary response.
const MAX_LATENCY: Duration = Duration::from_millis(60);
/// Longest time that a call is left unanswered: longer than any message has.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(30);
/// Between two looks at whether the gateway still waits for a call.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    /// Serves all calls.
    Serving,
    /// Accepts calls and answers none.
    Unresponsive,
    /// Breaks the connection of half of its calls, served or not.
    Resetting,
    /// Rejects half of its calls, some with a Retry-After.
    Rejecting,
    /// Responds to half of its calls with what is no HTTP.
    Malformed,
}

impl Behavior {
    /// Each behavior, by its number.
    pub const ALL: [Behavior; 5] = [
        Behavior::Serving,
        Behavior::Unresponsive,
        Behavior::Resetting,
        Behavior::Rejecting,
        Behavior::Malformed,
    ];

    fn from_number(number: u8) -> Self {
        Behavior::ALL.get(usize::from(number)).copied().unwrap_or(Behavior::Serving)
    }
}

/// An endpoint.
pub struct Endpoint {
    pub address: SocketAddr,
    /// The number of its destination.
    pub destination: u32,
    behavior: AtomicU8,
}

impl Endpoint {
    /// Changes how it behaves with calls from now on.
    pub fn set(&self, behavior: Behavior) {
        self.behavior.store(behavior as u8, Ordering::SeqCst);
    }
}

/// Starts endpoints, which answer each call on a thread of its own.
///
/// # Errors
/// An endpoint cannot listen.
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
        all.push(Endpoint {
            address,
            destination: number as u32 % destinations + 1,
            behavior: AtomicU8::new(0),
        });
    }
    let all = Arc::new(all);
    let (endpoints, ledger) = (all.clone(), ledger.clone());
    thread::spawn(move || dispatch(&calls, &endpoints, max_attempts, seed, &ledger));
    Ok(all)
}

/// Notes each call in the ledger, and has it answered.
fn dispatch(
    calls: &Receiver<StubEvent>,
    endpoints: &Arc<Vec<Endpoint>>,
    max_attempts: usize,
    seed: u64,
    ledger: &Arc<Mutex<Ledger>>,
) {
    let mut random = fastrand::Rng::with_seed(seed);
    while let Ok(seen) = calls.recv() {
        let StubEvent::Call(call) = seen else { continue };
        let endpoint = &endpoints[call.endpoint];
        let destination = endpoint.destination;
        let Ok(connection) = call.connection.try_clone() else { continue };
        locked(ledger).attempt_arrived(&call.id, call.endpoint, destination, max_attempts, connection);
        let behavior = Behavior::from_number(endpoint.behavior.load(Ordering::SeqCst));
        let random = random.fork();
        let ledger = ledger.clone();
        thread::spawn(move || answer(call, destination, behavior, random, &ledger));
    }
}

/// Waits, and says whether the gateway still waits for the call then.
fn wait_while_wanted(call: &Call, duration: Duration) -> bool {
    let end = Instant::now() + duration;
    while is_open(&call.connection) {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(LOOK_INTERVAL));
    }
    false
}

fn answer(
    call: Call,
    destination: u32,
    behavior: Behavior,
    mut random: fastrand::Rng,
    ledger: &Mutex<Ledger>,
) {
    let id = call.id.clone();
    let latency = if behavior == Behavior::Unresponsive {
        UNRESPONSIVE_TIME
    } else {
        MAX_LATENCY.mul_f64(random.f64())
    };
    if !wait_while_wanted(&call, latency) || behavior == Behavior::Unresponsive {
        return locked(ledger).attempt_ended(&id, Fate::MayHaveRun);
    }
    let misbehaves = random.bool();
    match behavior {
        Behavior::Resetting if misbehaves => {
            locked(ledger).attempt_ended(&id, Fate::MayHaveRun);
            call.reset();
        }
        Behavior::Malformed if misbehaves => {
            locked(ledger).attempt_ended(&id, Fate::MayHaveRun);
            call.answer_raw(b"HTTP/1.1 2\r\n\r\n");
        }
        Behavior::Rejecting if misbehaves => {
            let retry_after = Duration::from_millis(random.u64(200..1500));
            let has_retry_after = random.bool();
            let mut ledger = locked(ledger);
            ledger.attempt_ended(&id, Fate::NeverRan);
            if has_retry_after {
                ledger.retry_after(&id, destination, retry_after);
                call.answer(
                    "429 Too Many Requests",
                    &format!("X-Come-Back-Ms: {}\r\n", retry_after.as_millis()),
                );
            } else {
                call.answer("503 Service Unavailable", "");
            }
        }
        _ => {
            locked(ledger).attempt_ended(&id, Fate::Delivered);
            call.answer("200 OK", "");
        }
    }
}
