//! The soak: a few dozen real couriers on loopback, among endpoints, clients and discovery that misbehave, with system
//! calls that fail, a disk that fails and wall clocks that are stepped, two or three troubles at a time, all drawn from
//! one seed. The verdict is the rules of the protocol, kept or broken, as a ledger of all messages tells.

mod clients;
mod endpoints;
mod ledger;

use rustix::io::Errno;
use rustix::process::{kill_process, Pid, Signal};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::fault_page::{Call, Fault, FaultPage, PAGE_VARIABLE};
use crate::stubs::{address_in, class, locked, target, Agent, Client, Configuration, Process, Seen};
use clients::{enqueue_messages, send_malformed_requests, GatewayClients};
use endpoints::{Endpoint, Mood};
use ledger::Ledger;

/// Destinations, of three endpoints each.
const DESTINATIONS: u32 = 4;
const ENDPOINTS: usize = 12;
/// Attempts that the configuration allows a message.
const SEND_CAP: usize = 8;
/// Clients of each courier.
const CLIENTS: u64 = 3;
/// From SIGTERM to SIGKILL, and from there to the next start.
const TERM_TO_KILL: Duration = Duration::from_millis(3700);
const KILL_TO_START: Duration = Duration::from_millis(600);
const READY: Duration = Duration::from_secs(15);
/// What was accepted in the last moment has its end by then.
const LAST_ENDS: Duration = Duration::from_secs(9);
/// System calls that fail all through the soak, and which part of them.
const SOFT_FAULTS: [(Call, &[i32]); 8] = [
    (Call::Accept, &[ECONNABORTED, ENFILE, ENOBUFS, EINTR]),
    (Call::Connect, &[EADDRNOTAVAIL, ENETUNREACH, EINTR]),
    (Call::Socket, &[ENFILE, ENOBUFS]),
    (Call::TcpRead, &[EINTR, Call::SHORT]),
    (Call::TcpWrite, &[EINTR, Call::SHORT]),
    (Call::UnixRead, &[EINTR]),
    (Call::UnixWrite, &[EINTR]),
    (Call::EpollWait, &[EINTR]),
];
const SOFT_PART: f64 = 0.05;
/// System calls that fail while a disk does.
const DISK_CALLS: [Call; 3] = [Call::StateWrite, Call::StateTruncate, Call::StateRename];
const ECONNABORTED: i32 = Errno::CONNABORTED.raw_os_error();
const ENFILE: i32 = Errno::NFILE.raw_os_error();
const ENOBUFS: i32 = Errno::NOBUFS.raw_os_error();
const EINTR: i32 = Errno::INTR.raw_os_error();
const EADDRNOTAVAIL: i32 = Errno::ADDRNOTAVAIL.raw_os_error();
const ENETUNREACH: i32 = Errno::NETUNREACH.raw_os_error();
const ENOSPC: i32 = Errno::NOSPC.raw_os_error();
const EIO: i32 = Errno::IO.raw_os_error();

/// What a soak is to be.
#[derive(Clone)]
pub struct Plan {
    pub seed: u64,
    pub couriers: usize,
    pub length: Duration,
    pub courier: PathBuf,
    pub shim: PathBuf,
    /// Where the logs of couriers go if a rule was broken.
    pub logs: Option<PathBuf>,
}

/// How a soak ended.
pub struct Verdict {
    pub broken: usize,
    pub report: String,
}

/// One courier with its folder, its agents of discovery and its faults.
struct Scheduler {
    number: usize,
    folder: PathBuf,
    address: SocketAddr,
    agent: Agent,
    faults: FaultPage,
    process: Option<Process>,
    ledger: Arc<Mutex<Ledger>>,
    /// The list's version, and which endpoints drain.
    rev: u32,
    draining: Vec<bool>,
    send: std::sync::mpsc::Sender<Seen>,
    logs: Vec<String>,
}

impl Scheduler {
    fn start(&mut self, plan: &Plan, endpoints: &[Endpoint]) -> io::Result<()> {
        self.configure(endpoints)?;
        let started = Instant::now();
        let process = Process::start_with(&plan.courier, &self.folder, &self.variables(plan))?;
        let listening = process.log_times(" listening ", 1, READY);
        let address = listening.ok().and_then(|line| address_in(&line));
        self.process = Some(process);
        let Some(address) = address else {
            locked(&self.ledger).breach(format!("courier {} did not start", self.number));
            return Ok(());
        };
        self.address = address;
        self.answers_ping(started);
        Ok(())
    }

    fn answers_ping(&self, started: Instant) {
        while started.elapsed() < READY {
            let asked = Client::connect(self.address, READY).and_then(|mut client| {
                client.try_send(b"*1\r\n$4\r\nPING\r\n")?;
                client.try_line()
            });
            if asked.is_ok_and(|line| line == "+PONG") {
                locked(&self.ledger).is_ready(self.number, started);
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        locked(&self.ledger).breach(format!("courier {} never answered PING", self.number));
    }

    fn targets(&self, endpoints: &[Endpoint]) -> Vec<serde_json::Value> {
        (0..endpoints.len()).map(|at| self.target(endpoints, at)).collect()
    }

    fn target(&self, endpoints: &[Endpoint], at: usize) -> serde_json::Value {
        let state = if self.draining[at] { "DRAINING" } else { "SERVING" };
        target(&format!("s-{at}"), endpoints[at].address, endpoints[at].destination, state, 100.0)
    }

    fn configure(&self, endpoints: &[Endpoint]) -> io::Result<()> {
        let targets = self.targets(endpoints);
        let classes = [
            class(1, "salary", "non_idempotent", 0, false),
            class(1, "notice", "idempotency_key", 10_000, false),
            class(1, "brief", "idempotency_key", 400, false),
        ];
        let configuration = Configuration {
            listen: self.address,
            discovery: self.agent.address,
            memory_mb: 64,
            sockets: 256,
            disk_mb: 0.2,
            targets: &targets,
            couriers: 24,
            classes: &classes,
            zone: "kingston",
            slots: 8,
            batch: 1,
            max_pending_messages: 60,
        };
        configuration.write(&self.folder)
    }

    fn signal(&self, signal: Signal) {
        let child = self.process.as_ref().map(|process| process.child.id());
        if let Some(pid) = child.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has ended, which only a signal of the soak's may bring about.
    fn has_exited(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.child.try_wait().is_ok_and(|end| end.is_some()))
    }

    fn restart(&mut self, plan: &Plan, endpoints: &[Endpoint], planned: bool) -> io::Result<()> {
        locked(&self.ledger).leaves(self.number);
        if planned {
            self.signal(Signal::TERM);
            let end = Instant::now() + TERM_TO_KILL;
            while !self.has_exited() && Instant::now() < end {
                thread::sleep(Duration::from_millis(10));
            }
        }
        self.keep_log();
        // Dropped, it is killed.
        self.process = None;
        thread::sleep(KILL_TO_START);
        self.start(plan, endpoints)
    }

    /// Puts another process in this one's place while it serves; nobody may notice.
    fn replace(&mut self, plan: &Plan) -> io::Result<()> {
        let next = Process::start_with(&plan.courier, &self.folder, &self.variables(plan))?;
        self.hand_over_to(next);
        Ok(())
    }

    /// The same with a disk that fails when the next process comes, and is well a moment later.
    fn replace_while_the_disk_fails(&mut self, plan: &Plan) -> io::Result<()> {
        let next = Process::start_with(&plan.courier, &self.folder, &self.variables(plan))?;
        thread::sleep(KILL_TO_START);
        DISK_CALLS.iter().try_for_each(|call| self.faults.clear(*call))?;
        self.hand_over_to(next);
        Ok(())
    }

    fn hand_over_to(&mut self, next: Process) {
        if next.log_times(" listening ", 1, READY).is_err() {
            locked(&self.ledger).breach(format!("courier {} was not handed over", self.number));
        }
        self.signal(Signal::TERM);
        let end = Instant::now() + TERM_TO_KILL;
        while !self.has_exited() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        self.keep_log();
        self.process = Some(next);
        locked(&self.ledger).count("hand-overs");
    }

    fn variables(&self, plan: &Plan) -> Vec<(&'static str, PathBuf)> {
        let page = (PAGE_VARIABLE, self.folder.join("faults"));
        let level = ("DELIVERY_GATEWAY_LOG", PathBuf::from("debug"));
        vec![("LD_PRELOAD", plan.shim.clone()), page, level]
    }

    fn keep_log(&mut self) {
        if let Some(process) = &self.process {
            self.logs.extend(process.lines());
            if process.has_logged("panicked") {
                locked(&self.ledger).breach(format!("courier {} panicked", self.number));
            }
            for line in process.lines().iter().filter(|line| line.contains("a rule would have been broken")) {
                locked(&self.ledger).breach(format!("courier {}: {line}", self.number));
            }
        }
    }

    /// Tells the agent's watches what has changed of some endpoints.
    fn tell(&mut self, endpoints: &[Endpoint], changed: &[usize]) {
        self.rev += 1;
        let targets: Vec<_> = changed.iter().map(|at| self.target(endpoints, *at)).collect();
        let update = serde_json::json!({"rev": self.rev, "all": false, "targets": targets});
        self.agent.announce(&format!("{update}\n"));
        let whole = serde_json::json!({"rev": self.rev, "all": true, "targets": self.targets(endpoints)});
        *locked(&self.agent.state.list) = whole.to_string();
        let mut ledger = locked(&self.ledger);
        for at in changed {
            if self.draining[*at] {
                ledger.drained(self.number, *at);
            } else {
                ledger.serving(self.number, *at);
            }
        }
    }

    /// Moves discovery to another agent, by a new configuration and SIGHUP.
    fn move_discovery(&mut self, endpoints: &[Endpoint]) -> io::Result<()> {
        let agent = Agent::start(&self.send)?;
        let whole = serde_json::json!({"rev": self.rev, "all": true, "targets": self.targets(endpoints)});
        *locked(&agent.state.list) = whole.to_string();
        let old = std::mem::replace(&mut self.agent, agent);
        self.configure(endpoints)?;
        self.signal(Signal::HUP);
        thread::sleep(Duration::from_millis(1500));
        old.state.silent.store(true, Ordering::SeqCst);
        old.break_watches();
        Ok(())
    }

    /// One trouble, drawn by chance.
    fn meet_trouble(
        &mut self,
        plan: &Plan,
        endpoints: &[Endpoint],
        chance: &mut fastrand::Rng,
    ) -> io::Result<()> {
        match chance.u8(..9) {
            8 => self.replace(plan)?,
            0 => self.restart(plan, endpoints, true)?,
            1 => self.restart(plan, endpoints, false)?,
            2 => self.move_discovery(endpoints)?,
            3 => {
                self.agent.state.silent.store(true, Ordering::SeqCst);
                self.agent.break_watches();
                thread::sleep(Duration::from_millis(chance.u64(500..4000)));
                self.agent.state.silent.store(false, Ordering::SeqCst);
                locked(&self.ledger).discovery_returned(self.number);
            }
            4 => {
                let at = chance.usize(..endpoints.len());
                self.draining[at] = !self.draining[at];
                self.tell(endpoints, &[at]);
            }
            5 | 6 => {
                let errors = [[ENOSPC, EIO], [EIO, EIO], [Call::TORN, ENOSPC]];
                let errors = &errors[chance.usize(..errors.len())];
                let part = 0.3 + 0.7 * chance.f64();
                self.faults.set(Call::StateWrite, Fault::always(errors).part(part))?;
                if chance.bool() {
                    self.faults.set(Call::StateTruncate, Fault::always(&[EIO]))?;
                    self.faults.set(Call::StateRename, Fault::always(&[EIO]))?;
                }
                thread::sleep(Duration::from_millis(chance.u64(300..2500)));
                match chance.u8(..4) {
                    0 => self.restart(plan, endpoints, true)?,
                    1 => self.restart(plan, endpoints, false)?,
                    2 => self.replace_while_the_disk_fails(plan)?,
                    _ => {}
                }
                DISK_CALLS.iter().try_for_each(|call| self.faults.clear(*call))?;
            }
            _ => {
                let steps = [0, 3_600_000, -3_600_000, 5_000, -5_000];
                self.faults.step_wall_clock(steps[chance.usize(..steps.len())])?;
            }
        }
        Ok(())
    }

    fn live(
        mut self,
        plan: &Plan,
        endpoints: &[Endpoint],
        over: &AtomicBool,
        mut chance: fastrand::Rng,
    ) -> Self {
        while !over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(chance.u64(200..2500)));
            self.agent.send_heartbeat();
            if self.has_exited() {
                locked(&self.ledger).breach(format!("courier {} ended by itself", self.number));
                let _ = self.restart(plan, endpoints, false);
            } else if let Err(error) = self.meet_trouble(plan, endpoints, &mut chance) {
                locked(&self.ledger).breach(format!("courier {}: the soak failed: {error}", self.number));
            }
        }
        self
    }
}

/// Reads notices of all couriers.
fn read_notifications(notices: &Receiver<Seen>, ledger: &Mutex<Ledger>) {
    while let Ok(seen) = notices.recv() {
        let Seen::Notification(line) = seen else { continue };
        let notice: Result<serde_json::Value, _> = serde_json::from_str(&line);
        match notice.as_ref().ok().and_then(|notice| notice["id"].as_str()) {
            Some(id) => locked(ledger).notified(id),
            None => locked(ledger).breach(format!("a notice cannot be read: {line}")),
        }
    }
}

/// Changes the endpoints' moods until the soak is over: at most two endpoints of three misbehave.
fn change_moods(endpoints: &[Endpoint], over: &AtomicBool, mut chance: fastrand::Rng) {
    while !over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(chance.u64(200..1200)));
        let endpoint = &endpoints[chance.usize(..endpoints.len())];
        let mood = if chance.bool() { Mood::Serving } else { Mood::ALL[chance.usize(..Mood::ALL.len())] };
        endpoint.set(mood);
    }
    endpoints.iter().for_each(|endpoint| endpoint.set(Mood::Serving));
}

fn begin(
    plan: &Plan,
    folder: &Path,
    endpoints: &[Endpoint],
    ledger: &Arc<Mutex<Ledger>>,
) -> io::Result<Vec<Scheduler>> {
    let (send, notices) = channel();
    let heard = ledger.clone();
    thread::spawn(move || read_notifications(&notices, &heard));
    let mut couriers = Vec::new();
    for number in 0..plan.couriers {
        let folder = folder.join(format!("n{number}"));
        std::fs::create_dir_all(folder.join("state"))?;
        std::fs::create_dir_all(folder.join("tmp"))?;
        let faults = FaultPage::create(&folder.join("faults"), plan.seed.wrapping_add(number as u64))?;
        for (call, errors) in SOFT_FAULTS {
            faults.set(call, Fault::always(errors).part(SOFT_PART))?;
        }
        let agent = Agent::start(&send)?;
        let mut courier = Scheduler {
            number,
            folder,
            address: ([127, 0, 0, 1], 0).into(),
            agent,
            faults,
            process: None,
            ledger: ledger.clone(),
            rev: 1,
            draining: vec![false; endpoints.len()],
            send: send.clone(),
            logs: Vec::new(),
        };
        courier.start(plan, endpoints)?;
        couriers.push(courier);
    }
    Ok(couriers)
}

/// Plays one soak to its end.
///
/// # Errors
/// The soak itself cannot be set up.
pub fn run(plan: &Arc<Plan>) -> io::Result<Verdict> {
    let folder =
        std::env::temp_dir().join(format!("delivery-gateway-soak-{}-{}", std::process::id(), plan.seed));
    std::fs::create_dir_all(&folder)?;
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let mut chance = fastrand::Rng::with_seed(plan.seed);
    let endpoints = endpoints::start(ENDPOINTS, DESTINATIONS, SEND_CAP, chance.u64(..), &ledger)?;
    let couriers = begin(plan, &folder, &endpoints, &ledger)?;
    let over = Arc::new(AtomicBool::new(false));
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    for courier in &couriers {
        let site = GatewayClients {
            courier: courier.number,
            address: courier.address,
            destinations: DESTINATIONS,
            ledger: ledger.clone(),
            over: over.clone(),
        };
        for number in 0..CLIENTS {
            let (site, seed) = (site.clone(), chance.u64(..));
            clients.push(thread::spawn(move || enqueue_messages(&site, &number.to_string(), seed)));
        }
        let seed = chance.u64(..);
        clients.push(thread::spawn(move || send_malformed_requests(&site, seed)));
    }
    let moods = {
        let (endpoints, over, chance) = (endpoints.clone(), over.clone(), chance.fork());
        thread::spawn(move || change_moods(&endpoints, &over, chance))
    };
    let lives: Vec<JoinHandle<Scheduler>> = couriers
        .into_iter()
        .map(|courier| {
            let (plan, endpoints, over, chance) =
                (plan.clone(), endpoints.clone(), over.clone(), chance.fork());
            thread::spawn(move || courier.live(&plan, &endpoints, &over, chance))
        })
        .collect();
    thread::sleep(plan.length);
    over.store(true, Ordering::SeqCst);
    clients.into_iter().chain([moods]).for_each(|thread| drop(thread.join()));
    let mut couriers: Vec<Scheduler> = lives.into_iter().filter_map(|life| life.join().ok()).collect();
    thread::sleep(LAST_ENDS);
    couriers.iter_mut().for_each(Scheduler::keep_log);
    locked(&ledger).close();
    let hits = hits(&couriers)?;
    let ledger = locked(&ledger);
    if let Some(logs) = plan.logs.as_ref().filter(|_| !ledger.broken().is_empty()) {
        std::fs::create_dir_all(logs)?;
        for courier in &couriers {
            let log = logs.join(format!("seed-{}-n{}.log", plan.seed, courier.number));
            std::fs::write(log, courier.logs.join("\n"))?;
        }
    }
    let report = format!("seed {}: {}faults: {hits}\n", plan.seed, ledger.report());
    drop(couriers);
    std::fs::remove_dir_all(&folder)?;
    Ok(Verdict { broken: ledger.broken().len(), report })
}

/// How often each call was made and failed, over all couriers.
fn hits(couriers: &[Scheduler]) -> io::Result<String> {
    let mut all = Vec::new();
    for call in Call::ALL {
        let (mut calls, mut hits) = (0, 0);
        for courier in couriers {
            let counted = courier.faults.counted(call)?;
            calls += counted.calls;
            hits += counted.hits;
        }
        if hits > 0 {
            all.push(format!("{call:?} {hits} of {calls}"));
        }
    }
    Ok(all.join(", "))
}
