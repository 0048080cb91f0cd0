//! What stands around a real courier on loopback: endpoints, an agent of discovery, clients, and the courier's own
//! process. The tests use the same. All ports are chosen by the system; what a peer sends is never trusted.

use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What is shared between the threads of stand-ins stays whole, also if one of them has panicked.
pub fn locked<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the stand-ins have seen the courier do.
pub enum Seen {
    Call(Call),
    Notice(String),
}

/// A call out at an endpoint. One that is dropped unanswered hangs.
pub struct Call {
    pub endpoint: usize,
    pub path: String,
    pub id: String,
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    answer: Sender<Option<Vec<u8>>>,
    /// The endpoint's side of the connection that it came on.
    pub connection: TcpStream,
}

impl Call {
    pub fn answer(self, status: &str, headers: &str) {
        self.raw(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n").as_bytes());
    }

    /// Answers with these bytes, whatever they say.
    pub fn raw(self, bytes: &[u8]) {
        let _ = self.answer.send(Some(bytes.to_vec()));
    }

    pub fn reset(self) {
        let _ = self.answer.send(None);
    }
}

struct Request {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        stream.read_line(&mut text).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = text.trim_end().split_once(": ") else { break };
        headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Request { line, headers, body })
}

/// Serves each connection on a thread of its own.
pub fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
}

/// An endpoint on one connection; whoever receives what is seen answers the calls.
pub fn serve_calls(endpoint: usize, stream: TcpStream, seen: &Sender<Seen>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(Request { line, headers, body }) = read_request(&mut input) {
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = headers.iter().find(|(name, _)| name == "x-call-id").map(|(_, id)| id.clone());
        let (answer, answered) = channel();
        let Ok(connection) = out.try_clone() else { return };
        let id = id.unwrap_or_default();
        let call = Call { endpoint, path, id, body, headers, answer, connection };
        if seen.send(Seen::Call(call)).is_err() {
            return;
        }
        match answered.recv() {
            Ok(Some(bytes)) => drop(out.write_all(&bytes)),
            Ok(None) => drop(out.shutdown(Shutdown::Both)),
            // Hangs: until the courier closes.
            Err(_) => drop(input.read(&mut [0])),
        }
    }
}

/// An agent of discovery, and where it is.
pub struct Agent {
    pub state: Arc<Discovery>,
    pub address: SocketAddr,
}

impl Agent {
    pub fn start(seen: &Sender<Seen>) -> io::Result<Self> {
        let state = Arc::new(Discovery::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (shared, seen) = (state.clone(), seen.clone());
        serve(listener, move |stream| serve_discovery(&shared, stream, &seen));
        Ok(Agent { state, address })
    }

    /// Tells all watches some text, whatever it says, and those that open later.
    pub fn tell(&self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        let mut watches = locked(&self.state.watches);
        watches.told.push_str(&chunk);
        for watch in &mut watches.open {
            self.state.bytes.fetch_add(chunk.len() as u64, Ordering::SeqCst);
            let _ = watch.write_all(chunk.as_bytes());
        }
    }
}

impl Agent {
    /// Tells open watches that nothing has changed.
    pub fn beat(&self) {
        for watch in &mut locked(&self.state.watches).open {
            let _ = watch.write_all(b"1\r\n\n\r\n");
        }
    }

    /// Breaks all open watches.
    pub fn shut(&self) {
        for watch in locked(&self.state.watches).open.drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}

#[derive(Default)]
pub struct Discovery {
    /// What it answers when asked for the whole list.
    pub list: Mutex<String>,
    pub silent: AtomicBool,
    /// Milliseconds before a watch is answered.
    pub slow: AtomicU64,
    pub hold_notices: AtomicBool,
    /// Connections that fall silent with the next notices on them, which nobody sees.
    pub lost_notices: AtomicU32,
    pub notices: AtomicU32,
    pub watches: Mutex<Watches>,
    /// Watches that it can answer a second, beyond which it refuses; none if all.
    pub capacity: Mutex<Option<Capacity>>,
    pub connections: AtomicU64,
    pub refused: AtomicU64,
    /// Bytes of lists and changes that were told.
    pub bytes: AtomicU64,
}

/// A token bucket of watches, which holds a second's worth.
pub struct Capacity {
    per_s: f64,
    left: f64,
    at: Instant,
}

impl Capacity {
    pub fn new(per_s: f64) -> Self {
        Capacity { per_s, left: per_s, at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * self.per_s).min(self.per_s);
        self.at = now;
        let taken = self.left >= 1.0;
        self.left -= f64::from(u8::from(taken));
        taken
    }
}

/// Open watches, and what was told so far: one that opens later is told it first.
#[derive(Default)]
pub struct Watches {
    pub open: Vec<TcpStream>,
    pub told: String,
}

fn serve_discovery(discovery: &Discovery, stream: TcpStream, seen: &Sender<Seen>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    discovery.connections.fetch_add(1, Ordering::SeqCst);
    while let Some(request) = read_request(&mut input) {
        if request.line.starts_with("POST /v1/notices ") {
            let less = |left: u32| left.checked_sub(1);
            if discovery.lost_notices.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok() {
                while read_request(&mut input).is_some() {}
                return;
            }
            discovery.notices.fetch_add(1, Ordering::SeqCst);
            for line in String::from_utf8_lossy(&request.body).lines() {
                let _ = seen.send(Seen::Notice(line.to_owned()));
            }
            if !discovery.hold_notices.load(Ordering::SeqCst) {
                let _ = out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            }
        } else if request.line.starts_with("GET /v1/endpoints ") {
            let list = locked(&discovery.list);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            discovery.bytes.fetch_add(answer.len() as u64, Ordering::SeqCst);
            let _ = out.write_all(answer.as_bytes());
        } else if !discovery.silent.load(Ordering::SeqCst) {
            if locked(&discovery.capacity).as_mut().is_some_and(|capacity| !capacity.take()) {
                discovery.refused.fetch_add(1, Ordering::SeqCst);
                let _ = out.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            thread::sleep(Duration::from_millis(discovery.slow.load(Ordering::SeqCst)));
            let mut watches = locked(&discovery.watches);
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
            let answer = format!("{head}{}", watches.told);
            discovery.bytes.fetch_add(answer.len() as u64, Ordering::SeqCst);
            let _ = out.write_all(answer.as_bytes());
            if let Ok(watch) = out.try_clone() {
                watches.open.push(watch);
            }
        }
    }
}

/// A class of the settings: its name, effect, window in milliseconds, and whether it keeps its order.
pub fn class(latency_objective: u64, name: &str, idempotency: &str, window: u64, order: bool) -> Value {
    json!({
        "Name": name, "Effect": idempotency, "Group": "all", "RepeatWindow": window * 1_000_000,
        "OneAtATime": order, "Worth": 1.0, "LateShare": 0.5,
        "Aim": latency_objective * 1_000_000_000, "Deadline": latency_objective * 8 * 1_000_000_000,
    })
}

/// An entry of the list, of the one zone and kind that the configuration names.
pub fn target(uid: &str, address: SocketAddr, destination: u32, state: &str, rate: f64) -> Value {
    json!({
        "uid": uid, "endpoint": address.to_string(), "az": "kingston", "model": "banks", "pod_group": destination,
        "state": state, "capacity_hint": rate, "boot_ms": 0,
    })
}

/// What a courier's configuration says.
pub struct Configuration<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub disk_mb: f64,
    pub targets: &'a [Value],
    pub couriers: u32,
    pub classes: &'a [Value],
    pub zone: &'a str,
    pub slots: u32,
    pub batch: u32,
    pub max_pending_messages: u32,
}

impl Configuration<'_> {
    /// Puts it in the place of the one in a folder, in one step.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let config = json!({
            "name": "n0", "listen": self.listen.to_string(), "admin_addr": "127.0.0.1:0",
            "discovery": self.discovery.to_string(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets, "disk_mb": self.disk_mb},
            "known": {"rev": 1, "all": true, "targets": self.targets},
            "settings": {
                "Balancers": self.couriers, "Lanes": self.classes, "MachineTypes": ["banks"], "Zones": [self.zone],
                "Projects": [{"Name": "north", "QuotaPerS": 0.0}, {"Name": "south", "QuotaPerS": 1e6}],
                "OverShareWorth": 0.2,
                "WeightSource": "nominal",
                "FamilyInfo": {"CallsOut": self.slots, "KindBatch": [self.batch], "OwnLimits": [false]},
                "Permissions": {
                    "MostHeld": self.max_pending_messages, "SendCap": 8, "Cancel": true, "ConnIdle": 15_000_000_000_u64,
                    "ConnectTimeout": 5_000_000_000_u64,
                },
                "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 2_000_000_000},
            },
        });
        let new = folder.join("config.new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, folder.join("config.json"))
    }
}

#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// A courier's process; it is killed when dropped.
pub struct Process {
    pub child: Child,
    log: Arc<Log>,
}

impl Process {
    /// Starts a courier on the configuration, the state and the temporary files of a folder.
    pub fn start(binary: &Path, folder: &Path) -> io::Result<Self> {
        Process::start_with(binary, folder, &[])
    }

    /// Starts it with further variables in its environment.
    pub fn start_with(binary: &Path, folder: &Path, variables: &[(&str, PathBuf)]) -> io::Result<Self> {
        Process::start_logging_to(binary, folder, variables, Stdio::piped())
    }

    /// Starts it with its log elsewhere; only one that is piped here is read.
    pub fn start_logging_to(
        binary: &Path,
        folder: &Path,
        variables: &[(&str, PathBuf)],
        log: Stdio,
    ) -> io::Result<Self> {
        let mut child = Command::new(binary)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .env("BALANCER_STATE", folder.join("state"))
            .env("TMPDIR", folder.join("tmp"))
            .env("BALANCER_CONFIG", folder.join("config.json"))
            .stderr(log)
            .spawn()?;
        let log = Arc::new(Log::default());
        if let Some(errors) = child.stderr.take() {
            let shared = log.clone();
            thread::spawn(move || {
                for line in BufReader::new(errors).lines().map_while(Result::ok) {
                    locked(&shared.lines).push(line);
                    shared.more.notify_all();
                }
            });
        }
        Ok(Process { child, log })
    }

    /// Waits for so many lines of the log that hold some words, and returns the last of them; all lines if they
    /// do not come in time.
    pub fn log_times(&self, words: &str, times: usize, patience: Duration) -> Result<String, Vec<String>> {
        let end = Instant::now() + patience;
        let mut lines = locked(&self.log.lines);
        loop {
            let mut held = lines.iter().filter(|line| line.contains(words));
            if let Some(line) = times.checked_sub(1).and_then(|before| held.nth(before)) {
                return Ok(line.clone());
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(lines.clone());
            }
            let waited = self.log.more.wait_timeout(lines, left);
            lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Whether a line of the log so far holds some words.
    pub fn has_logged(&self, words: &str) -> bool {
        locked(&self.log.lines).iter().any(|line| line.contains(words))
    }

    /// All lines of the log so far.
    pub fn lines(&self) -> Vec<String> {
        locked(&self.log.lines).clone()
    }

    /// A figure of the process's status, in the unit that it has there.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The address that a line of the log tells.
pub fn address_in(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once("address=")?;
    rest.split_whitespace().next()?.parse().ok()
}

/// A client's connection.
pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Client { stream: BufReader::new(stream) })
    }

    pub fn try_send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// The next line, without its end; an empty one at the end of the connection.
    pub fn try_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        Ok(line.trim_end().to_owned())
    }
}

/// A command in the form in which it goes over the wire.
pub fn command<W: AsRef<[u8]>>(words: &[W]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words.iter().map(AsRef::as_ref) {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(word);
        bytes.extend(b"\r\n");
    }
    bytes
}
