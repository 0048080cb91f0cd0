//! The stub of discovery's agent: it serves the endpoint list and watches on it, and receives outcome notifications.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::endpoint::StubEvent;
use super::http::{read_request, serve};
use super::locked;

/// A heartbeat of a watch: an HTTP chunk that holds one empty line.
const HEARTBEAT: &str = "1\r\n\n\r\n";

/// An agent that is listening on loopback.
pub struct Agent {
    pub state: Arc<Discovery>,
    pub address: SocketAddr,
}

impl Agent {
    /// Starts an agent. It sends each outcome notification that it receives to `events`.
    ///
    /// # Errors
    /// Returns an error if the agent cannot listen.
    pub fn start(events: &Sender<StubEvent>) -> io::Result<Self> {
        let state = Arc::new(Discovery::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (shared, events) = (state.clone(), events.clone());
        serve(listener, move |stream| shared.serve_connection(stream, &events));
        Ok(Agent { state, address })
    }

    /// Sends text as one chunk on all open watches, and on each watch that opens later. The text is not validated, so
    /// that tests can send malformed lines.
    pub fn announce(&self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        let mut watches = locked(&self.state.watches);
        watches.sent.push_str(&chunk);
        for watch in &mut watches.open {
            self.state.bytes_sent.fetch_add(chunk.len() as u64, Ordering::SeqCst);
            let _ = watch.write_all(chunk.as_bytes());
        }
    }

    /// Sends a heartbeat on all open watches.
    pub fn send_heartbeat(&self) {
        for watch in &mut locked(&self.state.watches).open {
            let _ = watch.write_all(HEARTBEAT.as_bytes());
        }
    }

    /// Closes the connections of all open watches.
    pub fn break_watches(&self) {
        for watch in locked(&self.state.watches).open.drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}

/// The behavior of an agent, which may be changed while it serves, and the counts of what it has done.
#[derive(Default)]
pub struct Discovery {
    /// The body of the response to a request for the complete list, as JSON.
    pub list: Mutex<String>,
    /// Whether the agent leaves requests for a watch unanswered.
    pub is_ignoring_watches: AtomicBool,
    /// The delay before the response to a request for a watch, in milliseconds.
    pub watch_delay_ms: AtomicU64,
    /// Whether the agent leaves notifications unanswered. It still passes them on.
    pub is_holding_notifications: AtomicBool,
    /// The number of connections still to be stalled. A connection is stalled when the next notifications arrive on it:
    /// the agent does not pass them on, and does not respond on the connection any more.
    pub connections_to_stall: AtomicU32,
    /// The number of requests with notifications, without those on stalled connections.
    pub notification_requests: AtomicU32,
    pub watches: Mutex<Watches>,
    /// The rate limit on accepted watches; `None` means no limit. The agent rejects other watches with status 503.
    pub watch_limit: Mutex<Option<WatchTokenBucket>>,
    /// The number of connections accepted.
    pub connections: AtomicU64,
    /// The number of watches rejected.
    pub rejected_watches: AtomicU64,
    /// Bytes of lists and changes sent, with their HTTP heads and chunk framing; later heartbeats are not counted.
    pub bytes_sent: AtomicU64,
}

/// A token bucket that limits watches. It holds at most the tokens of one second.
pub struct WatchTokenBucket {
    per_sec: f64,
    tokens: f64,
    filled_at: Instant,
}

impl WatchTokenBucket {
    /// Returns a full bucket that is refilled with `per_sec` tokens per second.
    pub fn new(per_sec: f64) -> Self {
        WatchTokenBucket { per_sec, tokens: per_sec, filled_at: Instant::now() }
    }

    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let filled = self.tokens + (now - self.filled_at).as_secs_f64() * self.per_sec;
        self.tokens = filled.min(self.per_sec);
        self.filled_at = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(has_token));
        has_token
    }
}

/// The open watches, and everything announced so far, which a watch receives first when it opens later.
#[derive(Default)]
pub struct Watches {
    pub open: Vec<TcpStream>,
    pub sent: String,
}

impl Discovery {
    fn serve_connection(&self, stream: TcpStream, events: &Sender<StubEvent>) {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        self.connections.fetch_add(1, Ordering::SeqCst);
        while let Some(request) = read_request(&mut input) {
            if request.line.starts_with("POST /v1/notices ") {
                if self.stalls_connection() {
                    while read_request(&mut input).is_some() {}
                    return;
                }
                self.receive_notifications(&request.body, &mut output, events);
            } else if request.line.starts_with("GET /v1/endpoints ") {
                self.send_list(&mut output);
            } else if !self.is_ignoring_watches.load(Ordering::SeqCst) {
                self.open_watch(&mut output);
            }
        }
    }

    /// Counts down `connections_to_stall`, and returns whether this connection is one of them.
    fn stalls_connection(&self) -> bool {
        let decrement = |remaining: u32| remaining.checked_sub(1);
        self.connections_to_stall.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
    }

    fn receive_notifications(&self, body: &[u8], output: &mut TcpStream, events: &Sender<StubEvent>) {
        self.notification_requests.fetch_add(1, Ordering::SeqCst);
        for line in String::from_utf8_lossy(body).lines() {
            let _ = events.send(StubEvent::Notification(line.to_owned()));
        }
        if !self.is_holding_notifications.load(Ordering::SeqCst) {
            let _ = output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        }
    }

    fn send_list(&self, output: &mut TcpStream) {
        let list = locked(&self.list);
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        self.bytes_sent.fetch_add(response.len() as u64, Ordering::SeqCst);
        let _ = output.write_all(response.as_bytes());
    }

    fn open_watch(&self, output: &mut TcpStream) {
        if locked(&self.watch_limit).as_mut().is_some_and(|bucket| !bucket.try_take()) {
            self.rejected_watches.fetch_add(1, Ordering::SeqCst);
            let _ = output.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        thread::sleep(Duration::from_millis(self.watch_delay_ms.load(Ordering::SeqCst)));
        let mut watches = locked(&self.watches);
        let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{HEARTBEAT}");
        let response = format!("{head}{}", watches.sent);
        self.bytes_sent.fetch_add(response.len() as u64, Ordering::SeqCst);
        let _ = output.write_all(response.as_bytes());
        if let Ok(watch) = output.try_clone() {
            watches.open.push(watch);
        }
    }
}
