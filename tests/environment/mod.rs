//! Runs a gateway under test on loopback sockets, with endpoints whose responses the test chooses, discovery's agent
//! with the endpoint list and the notifications, clients, and the gateway's own process.
//!
//! Calls and notifications of the gateway arrive as events in one order. [`TestEnvironment::call`] and
//! [`TestEnvironment::notification`] return the next event and panic if it is of the other kind or does not arrive.
#![allow(dead_code)] // Each test file uses only a part of this module.

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
use stubs::{address_in, class, locked, serve, serve_calls, target, Configuration, Process};

pub use fault_page::{Call as SystemCall, Fault, FaultPage};
pub use stubs::{encode_command, Agent, Call, Client, StubEvent};

/// The environment variable with the seed of faults. If it holds a number, gateways run with `TRANSIENT_FAULTS`, except
/// in tests that set faults of their own.
const FAULT_SEED_VARIABLE: &str = "FAULTS_EVERYWHERE";
/// The faults that a gateway has to handle without a visible difference, so that every test has to pass with them.
const TRANSIENT_FAULTS: [(SystemCall, &[i32]); 9] = [
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
/// The ratio of the calls listed in `TRANSIENT_FAULTS` that fail.
const TRANSIENT_FAULT_RATIO: f64 = 0.1;

/// The idempotency window of messages of the class `brief`.
pub const BRIEF_IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(400);

/// Limits each wait for the gateway that has no limit of its own. It is far longer than the gateway takes for anything
/// that tests wait for, so that only a failing test reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// The time without an event after which a test concludes that none will follow. A connect that takes longer counts as
/// hanging.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Returns id, idempotency key and Base64 body of each message of a batch.
    pub fn batch_messages(&self) -> Vec<(String, Option<String>, String)> {
        assert_eq!(self.path, "/hook/batch");
        let items: Vec<Value> = serde_json::from_slice(&self.body).unwrap();
        let text = |item: &Value, name: &str| item[name].as_str().map(str::to_owned);
        let each = |item| (text(item, "id").unwrap(), text(item, "key"), text(item, "body").unwrap());
        items.iter().map(each).collect()
    }

    /// Answers a batch with the given state of each message. `headers` are header lines that end with CRLF.
    pub fn answer_batch(self, headers: &str, states: &[(&str, &str)]) {
        let states = states.iter().map(|(id, state)| json!({"id": id, "state": state}));
        let body = Value::from_iter(states).to_string();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.answer_raw((head + &body).as_bytes());
    }

    /// Returns the endpoint's side of the connection, to send or read bytes besides the response.
    pub fn stream(&self) -> TcpStream {
        self.connection.try_clone().unwrap()
    }

    /// Returns the gateway's address on the connection of this call, which identifies the connection.
    pub fn gateway_address(&self) -> SocketAddr {
        self.connection.peer_addr().unwrap()
    }

    /// Returns whether the gateway has closed or reset this call's connection, or shut down its sending side. The
    /// gateway must not have sent further bytes on it.
    pub fn is_closed(&self) -> bool {
        let mut connection = &self.connection;
        connection.set_nonblocking(true).unwrap();
        !matches!(connection.read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// Binds a socket to a port that the system chooses, without listening; returns it with its address.
fn bind_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// A listener whose accept queue is full, so that connections to it are not established.
pub struct HangingListener {
    listener: TcpListener,
    endpoint: usize,
    _fillers: Vec<TcpStream>,
}

/// The stubs of a test and the folder with the configuration and the state of its gateways. The folder is removed when
/// the environment is dropped.
pub struct TestEnvironment {
    folder: PathBuf,
    endpoints: Vec<SocketAddr>,
    /// Sockets that are bound and do not listen. Connections to them are refused, and no other process can get their
    /// ports.
    refusing: Vec<Socket>,
    discovery: Agent,
    events: Receiver<StubEvent>,
    event_sender: Sender<StubEvent>,
    /// The latency objective of all classes in seconds. Their deadline is eight times as long.
    pub latency_objective_secs: u64,
    pub max_pending_messages: u32,
    pub max_in_flight_calls: u32,
    /// The maximum number of messages in one call.
    pub max_batch_size: u32,
    /// The maximum number of descriptors of the gateway.
    pub sockets: u32,
    pub memory_mb: u32,
    /// The number of gateways in the fleet.
    pub fleet_size: u32,
    /// The capacity hint of each endpoint, in calls per second.
    pub capacity_hint: f64,
    /// Whether each endpoint has a destination of its own, numbered from 1. If not, all have destination 1.
    pub destination_per_endpoint: bool,
    /// The destinations of the first endpoints. `destination_per_endpoint` decides for endpoints beyond its end.
    pub destinations: Vec<u32>,
    /// The name of the zone in the settings. Processes with different zone names have different fingerprints, so that
    /// a successor does not take over the predecessor's state but reads the journal.
    pub zone: Cell<&'static str>,
    /// The maximum number of endpoints in the list of the configuration.
    pub listed_endpoints: Cell<usize>,
    /// The address that gateways listen on for clients. The system chooses the port if it is 0.
    pub listen: Cell<SocketAddr>,
    pub disk_mb: f64,
    /// The faults of gateways that are started before the test calls [`Self::replace_faults`]. None if gateways are
    /// started without the fault shim.
    faults: Option<FaultPage>,
    /// The seed of the faults of gateways that are started next, which names the file of their fault page.
    fault_seed: Cell<u64>,
    _cleanup: Cleanup,
}

fn fault_page_path(folder: &Path, seed: u64) -> PathBuf {
    folder.join(format!("faults-{seed}"))
}

/// Removes the folder of an environment when it is dropped.
struct Cleanup(PathBuf);

impl Drop for Cleanup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl TestEnvironment {
    /// Starts that many endpoints, all serving destination 1, and discovery's agent. `disk_mb` limits the journal.
    pub fn new(endpoints: usize, disk_mb: f64) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let folder_name =
            format!("delivery-gateway-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(folder_name);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        let (event_sender, events) = channel();
        let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
        let mut addresses = Vec::new();
        for number in 0..endpoints {
            let listener = bind();
            addresses.push(listener.local_addr().unwrap());
            let event_sender = event_sender.clone();
            serve(listener, move |stream| serve_calls(number, stream, &event_sender));
        }
        let discovery = Agent::start(&event_sender).unwrap();
        let mut environment = TestEnvironment {
            _cleanup: Cleanup(folder.clone()),
            folder,
            endpoints: addresses,
            refusing: Vec::new(),
            discovery,
            events,
            event_sender,
            latency_objective_secs: 3,
            max_pending_messages: 400,
            max_in_flight_calls: 16,
            max_batch_size: 1,
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
        if let Some(seed) = std::env::var(FAULT_SEED_VARIABLE).ok().and_then(|seed| seed.parse().ok()) {
            environment.faults = Some(environment.replace_faults(seed));
            for (call, errors) in TRANSIENT_FAULTS {
                environment.fail(call, Fault::always(errors).with_ratio(TRANSIENT_FAULT_RATIO));
            }
        }
        environment
    }

    /// Creates an environment with long deadlines whose gateways run with the fault shim, so that [`Self::fail`] can
    /// make their system calls fail. The seed decides which calls fail where a fault has a ratio.
    pub fn with_faults(endpoints: usize, seed: u64) -> Self {
        let mut environment = TestEnvironment::with_long_deadlines(endpoints, 3.0);
        environment.faults = Some(environment.replace_faults(seed));
        environment
    }

    /// Creates a new page of faults for processes that start later; running processes keep theirs, and
    /// [`Self::faults`] stays as it is. The seed also names the page's file, so that it must differ from the
    /// seeds of running processes.
    pub fn replace_faults(&self, seed: u64) -> FaultPage {
        self.fault_seed.set(seed);
        FaultPage::create(&fault_page_path(&self.folder, seed), seed).unwrap()
    }

    pub fn faults(&self) -> &FaultPage {
        self.faults.as_ref().expect("the environment has no faults")
    }

    /// Makes a system call of the gateways that use [`Self::faults`] fail from now on. Panics without the fault shim.
    pub fn fail(&self, call: SystemCall, fault: Fault) {
        self.faults().set(call, fault).unwrap();
    }

    /// Returns the environment variables that load the fault shim into a process; none without faults.
    fn fault_variables(&self) -> Vec<(&'static str, PathBuf)> {
        if self.faults.is_none() {
            return Vec::new();
        }
        let binary = Path::new(env!("CARGO_BIN_EXE_delivery-gateway"));
        let shim = binary.with_file_name("examples").join("libfault_shim.so");
        assert!(shim.exists(), "{shim:?} is missing: `cargo test` or `cargo build --examples` builds it");
        let page = fault_page_path(&self.folder, self.fault_seed.get());
        vec![("LD_PRELOAD", shim), (fault_page::PAGE_VARIABLE, page)]
    }

    /// Writes what a process leaves behind that is killed during a compaction: an incomplete copy of the journal that
    /// was not renamed.
    pub fn write_unfinished_journal_copy(&self) {
        std::fs::write(self.folder.join("state/journal.new"), b"half a copy").unwrap();
    }

    /// Creates an environment with a latency objective of 100 s instead of 3 s, and so class deadlines of 800 s.
    pub fn with_long_deadlines(endpoints: usize, disk_mb: f64) -> Self {
        TestEnvironment { latency_objective_secs: 100, ..TestEnvironment::new(endpoints, disk_mb) }
    }

    /// Adds endpoints up to the given number. The new ones share one address.
    pub fn grow_to(&mut self, endpoints: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.endpoints.resize(endpoints, listener.local_addr().unwrap());
        let event_sender = self.event_sender.clone();
        serve(listener, move |stream| serve_calls(endpoints, stream, &event_sender));
    }

    /// Gives an endpoint an address that refuses connections.
    pub fn reject_connections(&mut self, endpoint: usize) {
        let (socket, address) = bind_socket();
        self.endpoints[endpoint] = address;
        self.refusing.push(socket);
    }

    /// Gives an endpoint an address with a full accept queue: connections to it are not established until the returned
    /// listener is passed to [`Self::release`].
    pub fn hang_connections(&mut self, endpoint: usize) -> HangingListener {
        let (socket, address) = bind_socket();
        socket.listen(0).unwrap();
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, QUIET_PERIOD) {
            fillers.push(filler);
        }
        self.endpoints[endpoint] = address;
        HangingListener { listener: socket.into(), endpoint, _fillers: fillers }
    }

    /// Accepts the pending connections of the listener and serves the calls on them.
    pub fn release(&self, hanging: HangingListener) {
        let (event_sender, endpoint) = (self.event_sender.clone(), hanging.endpoint);
        serve(hanging.listener, move |stream| serve_calls(endpoint, stream, &event_sender));
    }

    /// Announces that an endpoint was removed and replaced at its address by `times` endpoints, one after the other.
    /// Only the last one remains. `round` is counted from 0 without gaps: it is a part of the uids and of the revision,
    /// and the last endpoint of the round before is removed too.
    pub fn announce_replaced(&self, endpoint: usize, round: u32, times: u32) {
        let mut targets = Vec::new();
        let entry = |uid: String, state| {
            let mut target = self.target(endpoint, state);
            target["uid"] = uid.into();
            target
        };
        targets.push(self.target(endpoint, "DELETED"));
        for time in 0..times {
            targets.push(entry(format!("s-{endpoint}-{round}-{time}"), "SERVING"));
            if time + 1 < times {
                targets.push(entry(format!("s-{endpoint}-{round}-{time}"), "DELETED"));
            }
        }
        if round > 0 {
            targets.push(entry(format!("s-{endpoint}-{}-{}", round - 1, times - 1), "DELETED"));
        }
        self.announce_delta(10 + round, &targets);
    }

    fn target(&self, endpoint: usize, state: &str) -> Value {
        let default_destination = if self.destination_per_endpoint { endpoint as u32 + 1 } else { 1 };
        let destination = self.destinations.get(endpoint).copied().unwrap_or(default_destination);
        target(&format!("s-{endpoint}"), self.endpoints[endpoint], destination, state, self.capacity_hint)
    }

    /// Starts a gateway and waits until it listens.
    pub fn start(&self) -> RunningGateway<'_> {
        self.start_beside().listening()
    }

    /// Puts a folder where an earlier gateway had bound its Unix socket, so that the next gateway cannot bind its own.
    pub fn refuse_unix_sockets(&self) {
        for entry in std::fs::read_dir(self.folder.join("tmp")).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "sock") {
                std::fs::remove_file(&path).unwrap();
                std::fs::create_dir(&path).unwrap();
            }
        }
    }

    /// Removes the folders of [`Self::refuse_unix_sockets`], so that the socket can be bound again.
    pub fn permit_unix_sockets(&self) {
        for entry in std::fs::read_dir(self.folder.join("tmp")).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                std::fs::remove_dir(path).unwrap();
            }
        }
    }

    /// Starts a gateway beside a running one, and waits only until its admin endpoint is open: it may have to wait for
    /// the handover before it listens.
    pub fn start_beside(&self) -> RunningGateway<'_> {
        self.start_process().wait_for_admin_endpoint()
    }

    /// Starts a gateway without waiting for anything, for tests in which it may end at any time.
    pub fn start_process(&self) -> RunningGateway<'_> {
        self.configure(&self.discovery);
        RunningGateway::start(self)
    }

    /// Starts a gateway with another destination for its log, and waits until it accepts connections. The environment
    /// chooses its address, which it cannot read from the log. The address of its admin endpoint stays unknown.
    pub fn start_logging_to(&self, log: Stdio) -> RunningGateway<'_> {
        let (_socket, address) = bind_socket();
        drop(_socket);
        self.listen.set(address);
        self.configure(&self.discovery);
        let binary = Path::new(env!("CARGO_BIN_EXE_delivery-gateway"));
        let process = Process::start_logging_to(binary, &self.folder, &self.fault_variables(), log).unwrap();
        let gateway = RunningGateway { environment: self, process, address, admin: address };
        let end = Instant::now() + STEP_TIMEOUT;
        while gateway.try_client(STEP_TIMEOUT).is_err() {
            assert!(Instant::now() < end, "the gateway does not listen within {STEP_TIMEOUT:?}");
            thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    /// Starts another agent of discovery, whose snapshot of revision 5 has one endpoint as draining and the others as
    /// serving.
    pub fn agent_with_drain(&self, endpoint: usize) -> Agent {
        self.start_agent_with_drain(endpoint, &self.event_sender)
    }

    /// Does the same as [`Self::agent_with_drain`], but the notifications that the agent receives arrive on the returned
    /// channel instead of in the environment's events. So they can't be taken for those of another agent.
    pub fn separate_agent_with_drain(&self, endpoint: usize) -> (Agent, Receiver<StubEvent>) {
        let (sender, notifications) = channel();
        (self.start_agent_with_drain(endpoint, &sender), notifications)
    }

    fn start_agent_with_drain(&self, endpoint: usize, events: &Sender<StubEvent>) -> Agent {
        let agent = Agent::start(events).unwrap();
        let state = |at| if at == endpoint { "DRAINING" } else { "SERVING" };
        let targets: Vec<Value> = (0..self.endpoints.len()).map(|at| self.target(at, state(at))).collect();
        *locked(&agent.state.list) = json!({"rev": 5, "all": true, "targets": targets}).to_string();
        agent
    }

    /// Replaces the configuration by invalid JSON.
    pub fn write_invalid_configuration(&self) {
        std::fs::write(self.folder.join("config.json"), "{\"name\":").unwrap();
    }

    /// Writes the configuration, with the given agent as discovery.
    pub fn configure(&self, agent: &Agent) {
        let listed = self.endpoints.len().min(self.listed_endpoints.get());
        let targets: Vec<Value> = (0..listed).map(|at| self.target(at, "SERVING")).collect();
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
            max_batch_size: self.max_batch_size,
            max_pending_messages: self.max_pending_messages,
        };
        configuration.write(&self.folder).unwrap();
    }

    /// Returns the next call or notification of the gateway.
    pub fn next_event(&self) -> StubEvent {
        self.events.recv_timeout(STEP_TIMEOUT).expect("no call or notification arrived within 20 s")
    }

    /// Returns the next call or notification, or None if none arrives within the limit.
    pub fn event_within(&self, limit: Duration) -> Option<StubEvent> {
        self.events.recv_timeout(limit).ok()
    }

    /// Returns the next event, which has to be a call.
    pub fn call(&self) -> Call {
        match self.next_event() {
            StubEvent::Call(call) => call,
            StubEvent::Notification(line) => panic!("expected a call, got the notification {line}"),
        }
    }

    /// Returns the next call and drops notifications before it, which the gateway may repeat.
    pub fn call_among_notifications(&self) -> Call {
        loop {
            if let StubEvent::Call(call) = self.next_event() {
                return call;
            }
        }
    }

    /// Returns the JSON line of the next event, which has to be a notification.
    pub fn notification(&self) -> String {
        match self.next_event() {
            StubEvent::Notification(line) => line,
            StubEvent::Call(call) => panic!("expected a notification, got a call for {}", call.id),
        }
    }

    /// Checks that no call arrives within [`QUIET_PERIOD`]. Notifications may, since the gateway repeats them.
    pub fn expect_no_call(&self) {
        let end = Instant::now() + QUIET_PERIOD;
        while let Ok(event) = self.events.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let StubEvent::Call(call) = event {
                panic!("expected no call, got one for {}", call.id);
            }
        }
    }

    /// Checks that neither a call nor a notification arrives within [`QUIET_PERIOD`].
    pub fn expect_nothing(&self) {
        match self.events.recv_timeout(QUIET_PERIOD) {
            Ok(StubEvent::Call(call)) => panic!("expected no call, got one for {}", call.id),
            Ok(StubEvent::Notification(line)) => panic!("expected no notification, got {line}"),
            Err(_) => {}
        }
    }

    /// Returns the number of requests with notifications that an agent has received, except on stalled connections.
    pub fn notification_requests_at(&self, agent: &Agent) -> u32 {
        agent.state.notification_requests.load(Ordering::SeqCst)
    }

    /// Makes discovery leave further notifications without acknowledgement, or acknowledge further ones again. They
    /// arrive as events in both cases.
    pub fn hold_notifications(&self, hold: bool) {
        self.discovery.state.is_holding_notifications.store(hold, Ordering::SeqCst);
    }

    /// Makes discovery stall that many connections, each from its next notifications on: it reads them without an event
    /// or a reply.
    pub fn lose_notifications(&self, connections: u32) {
        self.discovery.state.connections_to_stall.store(connections, Ordering::SeqCst);
    }

    /// Announces that an endpoint is draining, as revision 2 of the list.
    pub fn drain(&self, endpoint: usize) {
        self.announce_delta(2, &[self.target(endpoint, "DRAINING")]);
    }

    /// Announces that all endpoints are serving, as one delta.
    pub fn announce_all(&self, rev: u32) {
        self.announce_delta(
            rev,
            &(0..self.endpoints.len()).map(|at| self.target(at, "SERVING")).collect::<Vec<_>>(),
        );
    }

    /// Returns the update of [`Self::drain`] as indented JSON.
    pub fn indented_drain_update(&self, endpoint: usize) -> String {
        let update = json!({"rev": 2, "all": false, "targets": [self.target(endpoint, "DRAINING")]});
        format!("{update:#}\n")
    }

    /// Announces that an endpoint is serving, as the given revision of the list.
    pub fn announce_serving(&self, endpoint: usize, rev: u32) {
        self.announce_delta(rev, &[self.target(endpoint, "SERVING")]);
    }

    /// Announces that an endpoint is removed, as revision 2 of the list.
    pub fn remove(&self, endpoint: usize) {
        self.announce_delta(2, &[self.target(endpoint, "DELETED")]);
    }

    fn announce_delta(&self, rev: u32, targets: &[Value]) {
        self.announce_text(&format!("{}\n", json!({"rev": rev, "all": false, "targets": targets})));
    }

    /// Sends a text on the watch, which need not be a valid update.
    pub fn announce_text(&self, text: &str) {
        self.discovery.announce(text);
    }

    /// Makes discovery leave new watch requests without a response, or answer them again.
    pub fn set_discovery_silent(&self, silent: bool) {
        self.discovery.state.is_ignoring_watches.store(silent, Ordering::SeqCst);
    }

    /// Makes discovery answer each watch only after a delay.
    pub fn delay_discovery(&self, by: Duration) {
        self.discovery.state.watch_delay_ms.store(by.as_millis() as u64, Ordering::SeqCst);
    }

    /// Waits until discovery has answered a watch.
    pub fn wait_until_watched(&self) {
        let end = Instant::now() + STEP_TIMEOUT;
        while self.watches() == 0 {
            assert!(Instant::now() < end, "the gateway does not watch the endpoint list");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the number of watches that discovery has answered.
    pub fn watches(&self) -> usize {
        locked(&self.discovery.state.watches).open.len()
    }

    /// Returns the total size of the files in the state folder in bytes, each rounded up to a multiple of 512.
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

/// A running gateway. It is killed when dropped.
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
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        RunningGateway { environment, process, address: unset, admin: unset }
    }

    /// Waits until the admin endpoint is open, and reads its address from the log.
    fn wait_for_admin_endpoint(mut self) -> Self {
        self.admin = address_in(&self.wait_for_log_line("admin endpoint open")).unwrap();
        self
    }

    /// Waits until the gateway listens, its process has ended or [`STEP_TIMEOUT`] has passed. Returns whether it has
    /// listened.
    pub fn wait_until_listening_or_ended(&mut self) -> bool {
        let end = Instant::now() + STEP_TIMEOUT;
        while !self.has_logged(" listening ") && !self.has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        self.has_logged(" listening ")
    }

    /// Waits until the gateway listens, and reads its address from the log.
    pub fn listening(mut self) -> Self {
        self.address = address_in(&self.wait_for_log_line("listening")).unwrap();
        self
    }

    /// Connects to the admin endpoint.
    pub fn admin_connection(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin).unwrap();
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        stream
    }

    /// Sends a request with the given method and path to the admin endpoint. Returns the status of its response.
    pub fn admin_request(&self, method_and_path: &str) -> u16 {
        let mut stream = self.admin_connection();
        let _ = stream.write_all(format!("{method_and_path} HTTP/1.1\r\nHost: admin\r\n\r\n").as_bytes());
        response_status(stream)
    }

    /// Waits for a line of the log that contains `words`, and returns it.
    pub fn wait_for_log_line(&self, words: &str) -> String {
        self.wait_for_log_lines(words, 1)
    }

    /// Waits for `times` lines of the log that contain `words`, and returns the last of them.
    pub fn wait_for_log_lines(&self, words: &str, times: usize) -> String {
        self.process
            .wait_for_log_lines(words, times, STEP_TIMEOUT)
            .unwrap_or_else(|lines| panic!("the log has fewer than {times} lines with '{words}': {lines:#?}"))
    }

    /// Returns whether a line of the log so far contains `words`.
    pub fn has_logged(&self, words: &str) -> bool {
        self.process.has_logged(words)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address, STEP_TIMEOUT).unwrap()
    }

    /// Connects a client. `limit` applies to each read of a reply, not to connecting.
    pub fn try_client(&self, limit: Duration) -> std::io::Result<Client> {
        Client::connect(self.address, limit)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.child.try_wait().unwrap().is_some()
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(mut self) -> StoppedGateway<'a> {
        self.process.child.kill().unwrap();
        self.process.child.wait().unwrap();
        StoppedGateway { environment: self.environment }
    }

    pub fn kill_and_restart(self) -> RunningGateway<'a> {
        self.kill().restart()
    }

    /// Runs `action` while the process is stopped with SIGSTOP.
    pub fn while_stopped(&self, action: impl FnOnce()) {
        self.signal("STOP");
        action();
        self.signal("CONT");
    }

    /// Returns the id of the process.
    pub fn process_id(&self) -> u32 {
        self.process.child.id()
    }

    /// Returns the address on which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.child.id())).unwrap().count()
    }

    /// Returns the resident memory of the process in KiB.
    pub fn resident_memory_kib(&self) -> u64 {
        self.process.status_value("VmRSS").unwrap()
    }

    /// Returns the peak resident memory of the process in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.process.status_value("VmHWM").unwrap()
    }

    pub fn send_sigterm(&self) {
        self.signal("TERM");
    }

    pub fn send_sighup(&self) {
        self.signal("HUP");
    }

    pub fn send_sigkill(&self) {
        self.signal("KILL");
    }

    fn signal(&self, name: &str) {
        let signal = format!("kill -{name} {}", self.process.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &signal]).status().unwrap().success());
    }

    /// Waits for the process to exit, and returns its status. Panics after `limit`.
    pub fn wait(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.process.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the process did not end within {limit:?}");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Reads the response on a connection to the admin endpoint to its end, and returns its status.
pub fn response_status(mut stream: TcpStream) -> u16 {
    let mut response = Vec::new();
    // A reset may follow the response where the gateway has not read the request to its end.
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response).into_owned();
    let status = response.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.unwrap_or_else(|| panic!("no status line in {response:?}"))
}

pub struct StoppedGateway<'a> {
    environment: &'a TestEnvironment,
}

impl<'a> StoppedGateway<'a> {
    /// Starts the next gateway with the configuration as it is, and waits until it listens.
    pub fn restart(self) -> RunningGateway<'a> {
        RunningGateway::start(self.environment).wait_for_admin_endpoint().listening()
    }
}

impl Client {
    /// Sends bytes and ignores errors.
    pub fn send(&mut self, bytes: &[u8]) {
        // A gateway that rejects bad input may close the connection before all of it is written.
        let _ = self.try_send(bytes);
    }

    /// Shuts down the sending side of the connection.
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

    /// Sends a command and returns its reply.
    pub fn request<W: AsRef<[u8]>>(&mut self, words: &[W]) -> String {
        self.send_command(words);
        self.read_line()
    }

    /// Sends a command without waiting for its reply.
    pub fn send_command<W: AsRef<[u8]>>(&mut self, words: &[W]) {
        self.send(&encode_command(words));
    }

    /// Enqueues a message whose deadline is in 20 s and returns the reply. `class` may carry further fields, as in
    /// `notice,k=1`.
    pub fn enqueue(&mut self, id: &str, key: &str, class: &str, destination: u32, body: &[u8]) -> String {
        self.send_enqueue(id, key, class, destination, body);
        self.read_line()
    }

    /// Sends the request of [`Self::enqueue`] without waiting for its reply.
    pub fn send_enqueue(&mut self, id: &str, key: &str, class: &str, destination: u32, body: &[u8]) {
        let fields = format!("d=20000,c={class},dest={destination}");
        self.send_command(&[b"ENQUEUE", key.as_bytes(), id.as_bytes(), fields.as_bytes(), body]);
    }

    /// Waits for the gateway's next byte, and returns whether it closes or resets the connection instead. A read that
    /// times out counts as an open connection.
    pub fn is_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}
