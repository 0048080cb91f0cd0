//! The environment of a gateway under test, on loopback sockets: endpoints whose every response the test chooses,
//! discovery's agent with the endpoint list and the notifications, clients, and the gateway's own process.
//!
//! What the gateway does is observed in order: [`TestEnvironment::call`] and [`TestEnvironment::notification`] return
//! the next thing and fail where it is another one.
#![allow(dead_code)] // Each test file uses a part of it.

pub mod audit;

#[path = "../../src/bin/testbed/fault_page.rs"]
mod fault_page;
#[path = "../../src/bin/testbed/stubs/mod.rs"]
mod stubs;

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};
use stubs::{address_in, class, encode_command, locked, serve, serve_calls, target, Configuration, Process};

pub use fault_page::{Call as SystemCall, Fault, FaultPage};
pub use stubs::{Agent, Call, Client, StubEvent};

/// Where this names a seed, all gateways of all tests run with the faults below.
const EVERYWHERE_VARIABLE: &str = "FAULTS_EVERYWHERE";
/// Faults that change nothing of what a test may expect.
const EVERYWHERE: [(SystemCall, &[i32]); 9] = [
    (SystemCall::Accept, &[libc::ECONNABORTED, libc::ENFILE, libc::EINTR]),
    (SystemCall::Connect, &[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR]),
    (SystemCall::Socket, &[libc::ENFILE, libc::ENOBUFS]),
    (SystemCall::TcpRead, &[libc::EINTR, SystemCall::SHORT]),
    (SystemCall::TcpWrite, &[libc::EINTR, SystemCall::SHORT]),
    (SystemCall::UnixRead, &[libc::EINTR]),
    (SystemCall::UnixWrite, &[libc::EINTR]),
    (SystemCall::EpollWait, &[libc::EINTR]),
    (SystemCall::StateWrite, &[libc::EINTR, SystemCall::SHORT]),
];
const EVERYWHERE_PART: f64 = 0.1;

/// The idempotency window of the class `brief`.
pub const BRIEF_IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(400);

/// Far longer than anything here takes; only a failing test waits for so long.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long to watch that nothing happens.
const QUIET: Duration = Duration::from_millis(300);

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The messages of a batch: id, key, body in Base64.
    pub fn batch_messages(&self) -> Vec<(String, Option<String>, String)> {
        assert_eq!(self.path, "/hook/batch");
        let items: Vec<Value> = serde_json::from_slice(&self.body).unwrap();
        let text = |item: &Value, name: &str| item[name].as_str().map(str::to_owned);
        let each = |item| (text(item, "id").unwrap(), text(item, "key"), text(item, "body").unwrap());
        items.iter().map(each).collect()
    }

    /// Answers a batch with the state of each message.
    pub fn answer_batch(self, headers: &str, states: &[(&str, &str)]) {
        let states = states.iter().map(|(id, state)| json!({"id": id, "state": state}));
        let body = Value::from_iter(states).to_string();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.answer_raw((head + &body).as_bytes());
    }

    /// The endpoint's side of the connection, for what arrives on it beside the response.
    pub fn stream(&self) -> TcpStream {
        self.connection.try_clone().unwrap()
    }

    /// The gateway's side of the connection that this call came on.
    pub fn gateway_address(&self) -> SocketAddr {
        self.connection.peer_addr().unwrap()
    }

    /// Whether the gateway has shut down its sending side of this call's connection.
    pub fn is_closed(&self) -> bool {
        let mut connection = &self.connection;
        connection.set_nonblocking(true).unwrap();
        !matches!(connection.read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// A socket that is bound, and its address.
fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// A listener whose accept queue is full.
pub struct HangingListener {
    listener: TcpListener,
    endpoint: usize,
    _fillers: Vec<TcpStream>,
}

pub struct TestEnvironment {
    folder: PathBuf,
    endpoints: Vec<SocketAddr>,
    /// Sockets that are bound and do not listen: connecting to one is rejected, and nobody else gets its
    /// port.
    refusing: Vec<Socket>,
    discovery: Agent,
    seen: Receiver<StubEvent>,
    send: Sender<StubEvent>,
    /// Latency objective of the classes in seconds; their deadline is eight times as long.
    pub latency_objective_secs: u64,
    pub max_pending_messages: u32,
    pub max_in_flight_calls: u32,
    /// Messages that one call may carry.
    pub batch: u32,
    pub sockets: u32,
    pub memory_mb: u32,
    /// Size of the fleet in the settings, and the capacity hint of each endpoint in calls a second.
    pub fleet_size: u32,
    pub capacity_hint: f64,
    /// Each endpoint has a destination of its own, from 1 on.
    pub destination_per_endpoint: bool,
    /// The destination of each endpoint; for those not named here the fields above decide.
    pub destinations: Vec<u32>,
    /// Name of the zone in the settings: processes with different names do not share state.
    pub zone: Cell<&'static str>,
    /// Endpoints in the list of the configuration; all if there are fewer.
    pub listed_endpoints: Cell<usize>,
    /// Where clients connect; the system chooses the port unless it is set.
    pub listen: Cell<SocketAddr>,
    pub disk_mb: f64,
    /// System calls of the gateways that fail; none where they are started without the shim.
    faults: Option<FaultPage>,
    fault_seed: Cell<u64>,
    _cleanup: Cleanup,
}

fn fault_page_path(folder: &Path, seed: u64) -> PathBuf {
    folder.join(format!("faults-{seed}"))
}

/// Removes the folder of an environment at its end.
struct Cleanup(PathBuf);

impl Drop for Cleanup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl TestEnvironment {
    /// Endpoints of destination 1, all serving, and a disk of some size.
    pub fn new(endpoints: usize, disk_mb: f64) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let own =
            format!("delivery-gateway-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(own);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        let (send, seen) = channel();
        let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
        let mut addresses = Vec::new();
        for number in 0..endpoints {
            let listener = bind();
            addresses.push(listener.local_addr().unwrap());
            let send = send.clone();
            serve(listener, move |stream| serve_calls(number, stream, &send));
        }
        let discovery = Agent::start(&send).unwrap();
        let mut environment = TestEnvironment {
            _cleanup: Cleanup(folder.clone()),
            folder,
            endpoints: addresses,
            refusing: Vec::new(),
            discovery,
            seen,
            send,
            latency_objective_secs: 3,
            max_pending_messages: 400,
            max_in_flight_calls: 16,
            batch: 1,
            sockets: 1024,
            memory_mb: 192,
            fleet_size: 1,
            capacity_hint: 1000.0,
            destination_per_endpoint: false,
            destinations: Vec::new(),
            zone: Cell::new("kingston"),
            listed_endpoints: Cell::new(usize::MAX),
            listen: Cell::new(([127, 0, 0, 1], 0).into()),
            disk_mb,
            faults: None,
            fault_seed: Cell::new(0),
        };
        if let Some(seed) = std::env::var(EVERYWHERE_VARIABLE).ok().and_then(|seed| seed.parse().ok()) {
            environment.faults = Some(environment.replace_faults(seed));
            for (call, errors) in EVERYWHERE {
                environment.fail(call, Fault::always(errors).with_ratio(EVERYWHERE_PART));
            }
        }
        environment
    }

    /// An environment in which system calls of the gateways can be made to fail, with long deadlines.
    pub fn with_faults(endpoints: usize, seed: u64) -> Self {
        let mut environment = TestEnvironment::with_long_deadlines(endpoints, 3.0);
        environment.faults = Some(environment.replace_faults(seed));
        environment
    }

    /// Processes that start from now on have faults of their own; those that run keep theirs.
    pub fn replace_faults(&self, seed: u64) -> FaultPage {
        self.fault_seed.set(seed);
        FaultPage::create(&fault_page_path(&self.folder, seed), seed).unwrap()
    }

    pub fn faults(&self) -> &FaultPage {
        self.faults.as_ref().expect("an environment with faults")
    }

    /// Makes a system call of the gateways fail from now on.
    pub fn fail(&self, call: SystemCall, fault: Fault) {
        self.faults().set(call, fault).unwrap();
    }

    /// Environment variables that load the shim into a process.
    fn fault_variables(&self) -> Vec<(&'static str, PathBuf)> {
        if self.faults.is_none() {
            return Vec::new();
        }
        let binary = Path::new(env!("CARGO_BIN_EXE_delivery-gateway"));
        let shim = binary.with_file_name("examples").join("libfault_shim.so");
        assert!(shim.exists(), "the shim is built by `cargo test` or `cargo build --examples`: {shim:?}");
        let page = fault_page_path(&self.folder, self.fault_seed.get());
        vec![("LD_PRELOAD", shim), (fault_page::PAGE_VARIABLE, page)]
    }

    /// A compacted copy that was not renamed to the journal before its process died.
    pub fn write_unfinished_journal_copy(&self) {
        std::fs::write(self.folder.join("state/journal.new"), b"half a copy").unwrap();
    }

    /// An environment with long deadlines.
    pub fn with_long_deadlines(endpoints: usize, disk_mb: f64) -> Self {
        TestEnvironment { latency_objective_secs: 100, ..TestEnvironment::new(endpoints, disk_mb) }
    }

    /// Grows to so many endpoints; the new ones share one address.
    pub fn grow_to(&mut self, endpoints: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.endpoints.resize(endpoints, listener.local_addr().unwrap());
        let send = self.send.clone();
        serve(listener, move |stream| serve_calls(endpoints, stream, &send));
    }

    /// Gives an endpoint an address that rejects connections.
    pub fn reject_connections(&mut self, endpoint: usize) {
        let (socket, address) = bound();
        self.endpoints[endpoint] = address;
        self.refusing.push(socket);
    }

    /// Gives an endpoint an address whose connections are not established, as the accept queue is full, until
    /// the returned listener is released.
    pub fn hang_connections(&mut self, endpoint: usize) -> HangingListener {
        let (socket, address) = bound();
        socket.listen(0).unwrap();
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, QUIET) {
            fillers.push(filler);
        }
        self.endpoints[endpoint] = address;
        HangingListener { listener: socket.into(), endpoint, _fillers: fillers }
    }

    /// Lets pending connections be established.
    pub fn release(&self, hanging: HangingListener) {
        let (send, endpoint) = (self.send.clone(), hanging.endpoint);
        serve(hanging.listener, move |stream| serve_calls(endpoint, stream, &send));
    }

    /// Announces that other endpoints at the same address have replaced one: `times` of them, one after the
    /// other, with ids that contain `number`.
    pub fn announce_replaced(&self, endpoint: usize, number: u32, times: u32) {
        let mut targets = Vec::new();
        let entry = |uid: String, state| {
            let mut target = self.target(endpoint, state);
            target["uid"] = uid.into();
            target
        };
        targets.push(self.target(endpoint, "DELETED"));
        for time in 0..times {
            targets.push(entry(format!("s-{endpoint}-{number}-{time}"), "SERVING"));
            if time + 1 < times {
                targets.push(entry(format!("s-{endpoint}-{number}-{time}"), "DELETED"));
            }
        }
        if number > 0 {
            targets.push(entry(format!("s-{endpoint}-{}-{}", number - 1, times - 1), "DELETED"));
        }
        self.tell(10 + number, &targets);
    }

    fn target(&self, endpoint: usize, state: &str) -> Value {
        let otherwise = if self.destination_per_endpoint { endpoint as u32 + 1 } else { 1 };
        let destination = self.destinations.get(endpoint).copied().unwrap_or(otherwise);
        target(&format!("s-{endpoint}"), self.endpoints[endpoint], destination, state, self.capacity_hint)
    }

    pub fn start(&self) -> RunningGateway<'_> {
        self.start_beside().listening()
    }

    /// Puts a folder where an earlier gateway had bound its Unix socket, so that the next one cannot bind it.
    pub fn refuse_unix_sockets(&self) {
        for entry in std::fs::read_dir(self.folder.join("tmp")).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "sock") {
                std::fs::remove_file(&path).unwrap();
                std::fs::create_dir(&path).unwrap();
            }
        }
    }

    /// Lets the next one bind it after all.
    pub fn permit_unix_sockets(&self) {
        for entry in std::fs::read_dir(self.folder.join("tmp")).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                std::fs::remove_dir(path).unwrap();
            }
        }
    }

    /// Starts a process that may have to wait for another one.
    pub fn start_beside(&self) -> RunningGateway<'_> {
        self.start_process().with_door()
    }

    /// Starts a process that may end at any time.
    pub fn start_process(&self) -> RunningGateway<'_> {
        self.configure(&self.discovery);
        RunningGateway::start(self)
    }

    /// Starts a gateway whose log goes elsewhere, at an address that the environment chooses.
    pub fn start_logging_to(&self, log: Stdio) -> RunningGateway<'_> {
        let (_socket, address) = bound();
        drop(_socket);
        self.listen.set(address);
        self.configure(&self.discovery);
        let binary = Path::new(env!("CARGO_BIN_EXE_delivery-gateway"));
        let process = Process::start_logging_to(binary, &self.folder, &self.fault_variables(), log).unwrap();
        let gateway = RunningGateway { environment: self, process, address, admin: address };
        let end = Instant::now() + PATIENCE;
        while gateway.try_client(PATIENCE).is_err() {
            assert!(Instant::now() < end, "the gateway never listens");
            thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    /// Another agent of discovery, which has an endpoint as draining.
    pub fn agent_with_drain(&self, endpoint: usize) -> Agent {
        let agent = Agent::start(&self.send).unwrap();
        let state = |at| if at == endpoint { "DRAINING" } else { "SERVING" };
        let targets: Vec<Value> = (0..self.endpoints.len()).map(|at| self.target(at, state(at))).collect();
        *locked(&agent.state.list) = json!({"rev": 5, "all": true, "targets": targets}).to_string();
        agent
    }

    /// Replaces the configuration with invalid text.
    pub fn write_invalid_configuration(&self) {
        std::fs::write(self.folder.join("config.json"), "{\"name\":").unwrap();
    }

    /// Writes the configuration, with discovery at some agent.
    pub fn configure(&self, agent: &Agent) {
        let known = self.endpoints.len().min(self.listed_endpoints.get());
        let targets: Vec<Value> = (0..known).map(|at| self.target(at, "SERVING")).collect();
        let classes = [
            class(self.latency_objective_secs, "notice", "idempotency_key", 10_000, true),
            class(
                self.latency_objective_secs,
                "brief",
                "idempotency_key",
                BRIEF_IDEMPOTENCY_WINDOW.as_millis() as u64,
                true,
            ),
            class(self.latency_objective_secs, "salary", "non_idempotent", 0, false),
        ];
        let configuration = Configuration {
            listen: self.listen.get(),
            discovery: agent.address,
            memory_mb: self.memory_mb,
            sockets: self.sockets,
            disk_mb: self.disk_mb,
            targets: &targets,
            fleet_size: self.fleet_size,
            classes: &classes,
            zone: self.zone.get(),
            max_in_flight_calls: self.max_in_flight_calls,
            max_batch_size: self.batch,
            max_pending_messages: self.max_pending_messages,
        };
        configuration.write(&self.folder).unwrap();
    }

    /// The next call or notification of the gateway.
    pub fn next_event(&self) -> StubEvent {
        self.seen.recv_timeout(PATIENCE).expect("the gateway does something")
    }

    /// The next call or notification, if one arrives in time.
    pub fn event_within(&self, limit: Duration) -> Option<StubEvent> {
        self.seen.recv_timeout(limit).ok()
    }

    pub fn call(&self) -> Call {
        match self.next_event() {
            StubEvent::Call(call) => call,
            StubEvent::Notification(line) => panic!("a call was due, not the notification {line}"),
        }
    }

    /// The next call; notifications may be repeated meanwhile.
    pub fn call_among_notifications(&self) -> Call {
        loop {
            if let StubEvent::Call(call) = self.next_event() {
                return call;
            }
        }
    }

    pub fn notification(&self) -> String {
        match self.next_event() {
            StubEvent::Notification(line) => line,
            StubEvent::Call(call) => panic!("a notification was due, not a call for {}", call.id),
        }
    }

    /// Checks that there is no call for a while; notifications may be repeated.
    pub fn expect_no_call(&self) {
        let end = Instant::now() + QUIET;
        while let Ok(seen) = self.seen.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let StubEvent::Call(call) = seen {
                panic!("no call was due, but {} was", call.id);
            }
        }
    }

    pub fn expect_nothing(&self) {
        match self.seen.recv_timeout(QUIET) {
            Ok(StubEvent::Call(call)) => panic!("no call was due, but {} was", call.id),
            Ok(StubEvent::Notification(line)) => panic!("no notification was due, but {line} was"),
            Err(_) => {}
        }
    }

    /// How many requests with notifications an agent has had.
    pub fn notification_requests_at(&self, agent: &Agent) -> u32 {
        agent.state.notification_requests.load(Ordering::SeqCst)
    }

    pub fn hold_notifications(&self, hold: bool) {
        self.discovery.state.is_holding_notifications.store(hold, Ordering::SeqCst);
    }

    /// Makes so many connections fall silent, each with the next notifications on it.
    pub fn lose_notifications(&self, connections: u32) {
        self.discovery.state.connections_to_stall.store(connections, Ordering::SeqCst);
    }

    /// Announces that an endpoint drains.
    pub fn drain(&self, endpoint: usize) {
        self.tell(2, &[self.target(endpoint, "DRAINING")]);
    }

    /// Announces all endpoints, in one line.
    pub fn announce_all(&self, rev: u32) {
        self.tell(rev, &(0..self.endpoints.len()).map(|at| self.target(at, "SERVING")).collect::<Vec<_>>());
    }

    /// The same, indented.
    pub fn indented_drain_update(&self, endpoint: usize) -> String {
        let update = json!({"rev": 2, "all": false, "targets": [self.target(endpoint, "DRAINING")]});
        format!("{update:#}\n")
    }

    /// Announces that an endpoint serves, as a later revision of the list.
    pub fn announce_serving(&self, endpoint: usize, rev: u32) {
        self.tell(rev, &[self.target(endpoint, "SERVING")]);
    }

    /// Announces that an endpoint is removed.
    pub fn remove(&self, endpoint: usize) {
        self.tell(2, &[self.target(endpoint, "DELETED")]);
    }

    fn tell(&self, rev: u32, targets: &[Value]) {
        self.announce_text(&format!("{}\n", json!({"rev": rev, "all": false, "targets": targets})));
    }

    /// Sends some text on the watch, whatever it says.
    pub fn announce_text(&self, text: &str) {
        self.discovery.announce(text);
    }

    /// Makes discovery accept connections and never answer.
    pub fn set_discovery_silent(&self, silent: bool) {
        self.discovery.state.is_ignoring_watches.store(silent, Ordering::SeqCst);
    }

    /// Makes discovery answer watches late.
    pub fn delay_discovery(&self, by: Duration) {
        self.discovery.state.watch_delay_ms.store(by.as_millis() as u64, Ordering::SeqCst);
    }

    /// Waits until discovery has answered a watch.
    pub fn wait_until_watched(&self) {
        let end = Instant::now() + PATIENCE;
        while self.watches() == 0 {
            assert!(Instant::now() < end, "the gateway never watches the endpoint list");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Watches that discovery has answered.
    pub fn watches(&self) -> usize {
        locked(&self.discovery.state.watches).open.len()
    }

    pub fn disk_used_bytes(&self) -> u64 {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap();
        files.map(|file| file.unwrap().metadata().map_or(0, |data| data.len().div_ceil(512) * 512)).sum()
    }

    pub fn append_to_journal(&self, bytes: &[u8]) {
        let path = self.folder.join("state/journal");
        std::fs::OpenOptions::new().append(true).create(true).open(path).unwrap().write_all(bytes).unwrap();
    }

    pub fn journal(&self) -> Vec<u8> {
        std::fs::read(self.folder.join("state/journal")).unwrap()
    }
}

/// A running gateway; it is killed when dropped.
pub struct RunningGateway<'a> {
    environment: &'a TestEnvironment,
    process: Process,
    address: SocketAddr,
    admin: SocketAddr,
}

impl<'a> RunningGateway<'a> {
    fn start(environment: &'a TestEnvironment) -> Self {
        let binary = Path::new(env!("CARGO_BIN_EXE_delivery-gateway"));
        let process =
            Process::start_with(binary, &environment.folder, &environment.fault_variables()).unwrap();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        RunningGateway { environment, process, address: nowhere, admin: nowhere }
    }

    /// Waits until its admin endpoint is open.
    fn with_door(mut self) -> Self {
        self.admin = address_in(&self.wait_for_log_line("admin endpoint open")).unwrap();
        self
    }

    /// Waits until it serves or has ended; returns whether it serves.
    pub fn wait_until_listening_or_ended(&mut self) -> bool {
        let end = Instant::now() + PATIENCE;
        while !self.has_logged(" listening ") && !self.has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        self.has_logged(" listening ")
    }

    /// Waits until it serves.
    pub fn listening(mut self) -> Self {
        self.address = address_in(&self.wait_for_log_line("listening")).unwrap();
        self
    }

    /// A connection to the admin endpoint.
    pub fn admin_connection(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    /// Sends a request to the admin endpoint, and returns the status of its response.
    pub fn admin_request(&self, call: &str) -> u16 {
        let mut stream = self.admin_connection();
        let _ = stream.write_all(format!("{call} HTTP/1.1\r\nHost: admin\r\n\r\n").as_bytes());
        status(stream)
    }

    /// Waits for a line of the log that contains some words, and returns it.
    pub fn wait_for_log_line(&self, words: &str) -> String {
        self.wait_for_log_lines(words, 1)
    }

    /// Waits for so many such lines, and returns the last of them.
    pub fn wait_for_log_lines(&self, words: &str, times: usize) -> String {
        self.process
            .wait_for_log_lines(words, times, PATIENCE)
            .unwrap_or_else(|lines| panic!("the log never says '{words}': {lines:#?}"))
    }

    /// Whether a line of the log so far contains some words.
    pub fn has_logged(&self, words: &str) -> bool {
        self.process.has_logged(words)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address, PATIENCE).unwrap()
    }

    /// A client whose replies have to arrive in some time.
    pub fn try_client(&self, limit: Duration) -> std::io::Result<Client> {
        Client::connect(self.address, limit)
    }

    /// Whether the process has ended by now.
    pub fn has_ended(&mut self) -> bool {
        self.process.child.try_wait().unwrap().is_some()
    }

    pub fn kill(mut self) -> StoppedGateway<'a> {
        self.process.child.kill().unwrap();
        self.process.child.wait().unwrap();
        StoppedGateway { environment: self.environment }
    }

    pub fn kill_and_restart(self) -> RunningGateway<'a> {
        self.kill().restart()
    }

    /// Stops the process (SIGSTOP) while something is done.
    pub fn while_stopped(&self, act: impl FnOnce()) {
        self.signal("STOP");
        act();
        self.signal("CONT");
    }

    /// Descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.child.id())).unwrap().count()
    }

    /// Resident memory of the process, in KiB.
    pub fn resident_memory_kib(&self) -> u64 {
        self.process.status_value("VmRSS").unwrap()
    }

    /// The most that it ever had, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.process.status_value("VmHWM").unwrap()
    }

    pub fn send_sigterm(&self) {
        self.signal("TERM");
    }

    pub fn send_sighup(&self) {
        self.signal("HUP");
    }

    fn signal(&self, name: &str) {
        let signal = format!("kill -{name} {}", self.process.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &signal]).status().unwrap().success());
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.process.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the process did not end in {limit:?}");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// The status of the response on a connection to the admin endpoint.
pub fn status(mut stream: TcpStream) -> u16 {
    let mut answer = Vec::new();
    // A reset may follow an answer to what was not read to its end.
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.unwrap_or_else(|| panic!("no answer: {answer:?}"))
}

pub struct StoppedGateway<'a> {
    environment: &'a TestEnvironment,
}

impl<'a> StoppedGateway<'a> {
    pub fn restart(self) -> RunningGateway<'a> {
        RunningGateway::start(self.environment).with_door().listening()
    }
}

impl Client {
    pub fn send(&mut self, bytes: &[u8]) {
        // A gateway that rejects bad input may close before all of it is written.
        let _ = self.try_send(bytes);
    }

    /// Shuts down the sending side.
    pub fn shutdown_write(&mut self) {
        self.stream.get_mut().shutdown(Shutdown::Write).unwrap();
    }

    /// Limits how long a read may take.
    pub fn with_read_timeout(self, limit: Duration) -> Self {
        self.stream.get_ref().set_read_timeout(Some(limit)).unwrap();
        self
    }

    pub fn read_line(&mut self) -> String {
        self.try_read_line().unwrap()
    }

    pub fn request<W: AsRef<[u8]>>(&mut self, words: &[W]) -> String {
        self.send_command(words);
        self.read_line()
    }

    /// Sends a command without waiting for its reply.
    pub fn send_command<W: AsRef<[u8]>>(&mut self, words: &[W]) {
        self.send(&encode_command(words));
    }

    /// Enqueues a message; `class` may carry further fields.
    pub fn enqueue(&mut self, id: &str, key: &str, class: &str, destination: u32, body: &[u8]) -> String {
        self.send_enqueue(id, key, class, destination, body);
        self.read_line()
    }

    /// Sends a request to enqueue without waiting for its reply.
    pub fn send_enqueue(&mut self, id: &str, key: &str, class: &str, destination: u32, body: &[u8]) {
        let fields = format!("d=20000,c={class},dest={destination}");
        self.send_command(&[b"ENQUEUE", key.as_bytes(), id.as_bytes(), fields.as_bytes(), body]);
    }

    /// Whether the gateway closes the connection without a reply.
    pub fn is_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}
