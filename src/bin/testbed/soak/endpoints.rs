//! The endpoints of a soak. They serve or reject calls, break connections or do not respond, at random and according to
//! their current behavior. The result of an attempt is recorded in the ledger before the gateway can observe it, except
//! where the gateway itself closes the connection first.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::ledger::{is_open, AttemptState, Ledger};
use crate::stubs::{locked, serve, serve_calls, Call, StubEvent};

/// The maximum latency of a regular response.
const MAX_LATENCY: Duration = Duration::from_millis(60);
/// The maximum time for which an unanswered call counts as in flight; longer than any message has until its deadline.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(30);
/// The interval between two checks whether the gateway still waits for a call.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    /// Serves all calls.
    Serving,
    /// Accepts calls and answers none.
    Unresponsive,
    /// Breaks the connection of half of its calls, which may or may not have been served.
    Resetting,
    /// Rejects half of its calls, some with a Retry-After.
    Rejecting,
    /// Responds to half of its calls with invalid HTTP.
    Malformed,
}

impl Behavior {
    /// All behaviors, each at the index of its number.
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
    /// The number of its destination, from 1.
    pub destination: u32,
    behavior: AtomicU8,
}

impl Endpoint {
    /// Changes the behavior for calls that arrive from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behavior.store(behavior as u8, Ordering::SeqCst);
    }
}

/// Starts `endpoints` endpoints, distributed evenly over `destinations` destinations. Each call is answered on a thread
/// of its own.
///
/// # Errors
/// Returns an error if an endpoint cannot listen.
pub fn start(
    endpoints: usize,
    destinations: u32,
    max_attempts: usize,
    seed: u64,
    ledger: &Arc<Mutex<Ledger>>,
) -> std::io::Result<Arc<Vec<Endpoint>>> {
    let (send, calls) = channel();
    let mut started = Vec::new();
    for number in 0..endpoints {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let send = send.clone();
        serve(listener, move |stream| serve_calls(number, stream, &send));
        started.push(Endpoint {
            address,
            destination: number as u32 % destinations + 1,
            behavior: AtomicU8::new(0),
        });
    }
    let started = Arc::new(started);
    let (endpoints, ledger) = (started.clone(), ledger.clone());
    thread::spawn(move || dispatch(&calls, &endpoints, max_attempts, seed, &ledger));
    Ok(started)
}

/// Records each call in the ledger, and starts a thread that answers it.
fn dispatch(
    calls: &Receiver<StubEvent>,
    endpoints: &Arc<Vec<Endpoint>>,
    max_attempts: usize,
    seed: u64,
    ledger: &Arc<Mutex<Ledger>>,
) {
    let mut random = fastrand::Rng::with_seed(seed);
    while let Ok(event) = calls.recv() {
        let StubEvent::Call(call) = event else { continue };
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

/// Waits for `duration`, and returns whether the gateway still waits for the call. Returns `false` as soon as the
/// gateway closes the connection.
fn wait_while_connected(call: &Call, duration: Duration) -> bool {
    let end = Instant::now() + duration;
    while is_open(&call.connection) {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return true;
        }
        thread::sleep(remaining.min(POLL_INTERVAL));
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
    if !wait_while_connected(&call, latency) || behavior == Behavior::Unresponsive {
        return locked(ledger).attempt_ended(&id, AttemptState::MayHaveRun);
    }
    let misbehaves = random.bool();
    match behavior {
        Behavior::Resetting if misbehaves => {
            locked(ledger).attempt_ended(&id, AttemptState::MayHaveRun);
            call.reset();
        }
        Behavior::Malformed if misbehaves => {
            locked(ledger).attempt_ended(&id, AttemptState::MayHaveRun);
            call.answer_raw(b"HTTP/1.1 2\r\n\r\n");
        }
        Behavior::Rejecting if misbehaves => {
            let retry_after = Duration::from_millis(random.u64(200..1500));
            let has_retry_after = random.bool();
            let mut ledger = locked(ledger);
            ledger.attempt_ended(&id, AttemptState::NeverRan);
            if has_retry_after {
                ledger.retry_after_sent(&id, destination, retry_after);
                call.answer(
                    "429 Too Many Requests",
                    &format!("X-Come-Back-Ms: {}\r\n", retry_after.as_millis()),
                );
            } else {
                call.answer("503 Service Unavailable", "");
            }
        }
        _ => {
            locked(ledger).attempt_ended(&id, AttemptState::Delivered);
            call.answer("200 OK", "");
        }
    }
}
