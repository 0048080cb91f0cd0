//! The stub of discovery's agent: endpoint lists, watches on them, and outcome notifications.

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

/// A chunk with one empty line.
const HEARTBEAT: &str = "1\r\n\n\r\n";

/// An agent that listens, and its address.
pub struct Agent {
    pub state: Arc<Discovery>,
    pub address: SocketAddr,
}

impl Agent {
    /// Starts an agent; the outcome notifications that it receives go to `seen`.
    ///
    /// # Errors
    /// It cannot listen.
    pub fn start(seen: &Sender<StubEvent>) -> io::Result<Self> {
        let state = Arc::new(Discovery::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (shared, seen) = (state.clone(), seen.clone());
        serve(listener, move |stream| shared.serve_connection(stream, &seen));
        Ok(Agent { state, address })
    }

    /// Sends some text, whatever it says, on all watches, and on those that open later.
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

    /// Breaks all open watches.
    pub fn break_watches(&self) {
        for watch in locked(&self.state.watches).open.drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}

/// What an agent responds with, and what it has seen.
#[derive(Default)]
pub struct Discovery {
    /// The response to a request for the complete list.
    pub list: Mutex<String>,
    /// Whether requests for a watch go unanswered.
    pub is_ignoring_watches: AtomicBool,
    /// Milliseconds before a watch is answered.
    pub watch_delay_ms: AtomicU64,
    /// Whether notifications go unanswered.
    pub is_holding_notifications: AtomicBool,
    /// Connections that fall silent with the next notifications on them, which nobody sees.
    pub connections_to_stall: AtomicU32,
    /// Requests with notifications.
    pub notification_requests: AtomicU32,
    pub watches: Mutex<Watches>,
    /// Watches that it accepts a second; no limit if absent.
    pub watch_limit: Mutex<Option<WatchTokenBucket>>,
    /// Connections that it has accepted.
    pub connections: AtomicU64,
    /// Watches that it has rejected.
    pub rejected_watches: AtomicU64,
    /// Bytes of lists and changes that it has sent.
    pub bytes_sent: AtomicU64,
}

/// A token bucket of watches, which holds those of one second.
pub struct WatchTokenBucket {
    per_sec: f64,
    tokens: f64,
    filled_at: Instant,
}

impl WatchTokenBucket {
    /// A full bucket.
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

/// Open watches, and what has been sent so far: a watch that opens later gets it first.
#[derive(Default)]
pub struct Watches {
    pub open: Vec<TcpStream>,
    pub sent: String,
}

impl Discovery {
    fn serve_connection(&self, stream: TcpStream, seen: &Sender<StubEvent>) {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        self.connections.fetch_add(1, Ordering::SeqCst);
        while let Some(request) = read_request(&mut input) {
            if request.line.starts_with("POST /v1/notices ") {
                if self.loses_connection() {
                    while read_request(&mut input).is_some() {}
                    return;
                }
                self.receive_notifications(&request.body, &mut output, seen);
            } else if request.line.starts_with("GET /v1/endpoints ") {
                self.send_list(&mut output);
            } else if !self.is_ignoring_watches.load(Ordering::SeqCst) {
                self.open_watch(&mut output);
            }
        }
    }

    /// Whether this is one of the connections that fall silent.
    fn loses_connection(&self) -> bool {
        let less = |left: u32| left.checked_sub(1);
        self.connections_to_stall.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok()
    }

    fn receive_notifications(&self, body: &[u8], output: &mut TcpStream, seen: &Sender<StubEvent>) {
        self.notification_requests.fetch_add(1, Ordering::SeqCst);
        for line in String::from_utf8_lossy(body).lines() {
            let _ = seen.send(StubEvent::Notification(line.to_owned()));
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
