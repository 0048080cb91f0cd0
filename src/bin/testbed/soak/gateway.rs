//! One gateway of a soak: its folder, its agent of discovery, the faults of its process, and the processes that run it
//! one after the other.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::endpoints::Endpoint;
use super::ledger::Ledger;
use super::Plan;
use crate::fault_page::{Call, FaultPage, PAGE_VARIABLE};
use crate::stubs::{address_in, class, locked, target, Agent, Client, Configuration, Process, StubEvent};

/// From SIGTERM to SIGKILL.
const TERM_TO_KILL: Duration = Duration::from_millis(3700);
/// From SIGKILL to the next start.
const KILL_TO_START: Duration = Duration::from_millis(600);
/// A gateway that does not listen, or answer, after this never will.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Between two looks at a process that starts or ends.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// From the change of discovery's address until the agent there before goes away.
const AGENT_MOVE_TIME: Duration = Duration::from_millis(1500);
/// System calls that fail while a disk does.
const DISK_CALLS: [Call; 3] = [Call::StateWrite, Call::StateTruncate, Call::StateRename];
/// Logged by a gateway that stops itself from breaking a rule.
const GUARD_LINE: &str = "it would break a delivery rule";

/// Whether a process is terminated before it is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// By SIGTERM, and only then by SIGKILL.
    Planned,
    /// By SIGKILL alone.
    Killed,
}

/// A gateway of a soak.
pub struct Gateway {
    pub number: usize,
    folder: PathBuf,
    pub address: SocketAddr,
    agent: Agent,
    pub faults: FaultPage,
    process: Option<Process>,
    ledger: Arc<Mutex<Ledger>>,
    /// The revision of its endpoint list.
    revision: u32,
    /// By endpoint: whether the list has it as draining.
    draining: Vec<bool>,
    /// Where its agents pass on outcome notifications.
    seen: Sender<StubEvent>,
    /// The log of the processes that have ended.
    log: Vec<String>,
}

impl Gateway {
    /// A gateway whose process is not started yet.
    ///
    /// # Errors
    /// Its folder, its agent or its page of faults cannot be made.
    pub fn create(
        number: usize,
        folder: PathBuf,
        seed: u64,
        endpoints: &[Endpoint],
        ledger: &Arc<Mutex<Ledger>>,
        seen: &Sender<StubEvent>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(folder.join("state"))?;
        std::fs::create_dir_all(folder.join("tmp"))?;
        let faults = FaultPage::create(&folder.join("faults"), seed)?;
        let agent = Agent::start(seen)?;
        Ok(Gateway {
            number,
            folder,
            address: ([127, 0, 0, 1], 0).into(),
            agent,
            faults,
            process: None,
            ledger: ledger.clone(),
            revision: 1,
            draining: vec![false; endpoints.len()],
            seen: seen.clone(),
            log: Vec::new(),
        })
    }

    /// Starts a process, and waits until it answers.
    ///
    /// # Errors
    /// It cannot be configured or started. One that does not get ready is a broken rule instead.
    pub fn start(&mut self, plan: &Plan, endpoints: &[Endpoint]) -> io::Result<()> {
        self.configure(endpoints)?;
        let started_at = Instant::now();
        let process = self.spawn(plan)?;
        let listening = process.wait_for_log_lines(" listening ", 1, READY_TIMEOUT);
        let address = listening.ok().and_then(|line| address_in(&line));
        self.process = Some(process);
        let Some(address) = address else {
            self.breach("did not start");
            return Ok(());
        };
        self.address = address;
        self.wait_until_ready(started_at);
        Ok(())
    }

    fn spawn(&self, plan: &Plan) -> io::Result<Process> {
        let variables = [
            ("LD_PRELOAD", plan.shim.clone()),
            (PAGE_VARIABLE, self.folder.join("faults")),
            ("DELIVERY_GATEWAY_LOG", PathBuf::from("debug")),
        ];
        Process::start_with(&plan.gateway, &self.folder, &variables)
    }

    fn wait_until_ready(&self, started_at: Instant) {
        while started_at.elapsed() < READY_TIMEOUT {
            let reply = Client::connect(self.address, READY_TIMEOUT).and_then(|mut client| {
                client.try_send(b"*1\r\n$4\r\nPING\r\n")?;
                client.try_read_line()
            });
            if reply.is_ok_and(|line| line == "+PONG") {
                locked(&self.ledger).gateway_ready(self.number, started_at);
                return;
            }
            thread::sleep(LOOK_INTERVAL);
        }
        self.breach("never answered PING");
    }

    /// Notes a rule that this gateway has broken.
    pub fn breach(&self, what: &str) {
        locked(&self.ledger).breach(format!("gateway {} {what}", self.number));
    }

    // ---- Its process ----

    fn signal(&self, signal: Signal) {
        let child = self.process.as_ref().map(|process| process.child.id());
        if let Some(pid) = child.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has exited, which only a signal of the soak's may bring about.
    pub fn has_exited(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| process.child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Tells the process to end, and gives it the time for that.
    fn terminate(&mut self) {
        self.signal(Signal::TERM);
        let end = Instant::now() + TERM_TO_KILL;
        while !self.has_exited() && Instant::now() < end {
            thread::sleep(LOOK_INTERVAL);
        }
    }

    /// Ends the process and starts the next one.
    ///
    /// # Errors
    /// As those of [`Gateway::start`].
    pub fn restart(&mut self, plan: &Plan, endpoints: &[Endpoint], restart: Restart) -> io::Result<()> {
        locked(&self.ledger).gateway_stops(self.number);
        if restart == Restart::Planned {
            self.terminate();
        }
        self.keep_log();
        // Dropped, it is killed.
        self.process = None;
        thread::sleep(KILL_TO_START);
        self.start(plan, endpoints)
    }

    /// Has another process take over from this one while it serves; no client may notice.
    ///
    /// # Errors
    /// The next process cannot be started.
    pub fn hand_over(&mut self, plan: &Plan) -> io::Result<()> {
        let next = self.spawn(plan)?;
        self.hand_over_to(next);
        Ok(())
    }

    /// The same with a disk that fails when the next process starts, and works again a moment later.
    ///
    /// # Errors
    /// The next process cannot be started, or the faults not be cleared.
    pub fn hand_over_while_disk_fails(&mut self, plan: &Plan) -> io::Result<()> {
        let next = self.spawn(plan)?;
        thread::sleep(KILL_TO_START);
        self.clear_disk_faults()?;
        self.hand_over_to(next);
        Ok(())
    }

    fn hand_over_to(&mut self, next: Process) {
        if next.wait_for_log_lines(" listening ", 1, READY_TIMEOUT).is_err() {
            self.breach("was not handed over");
        }
        self.terminate();
        self.keep_log();
        self.process = Some(next);
        locked(&self.ledger).count("hand-overs");
    }

    /// Lets the system calls succeed again that a failing disk lets fail.
    ///
    /// # Errors
    /// The page of faults cannot be written.
    pub fn clear_disk_faults(&self) -> io::Result<()> {
        DISK_CALLS.iter().try_for_each(|call| self.faults.clear(*call))
    }

    /// Keeps the process's log, and notes the broken rules that it tells of.
    pub fn keep_log(&mut self) {
        let Some(process) = &self.process else { return };
        let lines = process.lines();
        if process.has_logged("panicked") {
            self.breach("panicked");
        }
        for line in lines.iter().filter(|line| line.contains(GUARD_LINE)) {
            locked(&self.ledger).breach(format!("gateway {}: {line}", self.number));
        }
        self.log.extend(lines);
    }

    /// The kept log.
    pub fn log(&self) -> String {
        self.log.join("\n")
    }

    // ---- Its discovery ----

    fn configure(&self, endpoints: &[Endpoint]) -> io::Result<()> {
        let targets = self.entries(endpoints);
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
            fleet_size: 24,
            classes: &classes,
            zone: "kingston",
            max_in_flight_calls: 8,
            max_batch_size: 1,
            max_pending_messages: 60,
        };
        configuration.write(&self.folder)
    }

    fn entries(&self, endpoints: &[Endpoint]) -> Vec<Value> {
        (0..endpoints.len()).map(|index| self.entry(endpoints, index)).collect()
    }

    fn entry(&self, endpoints: &[Endpoint], index: usize) -> Value {
        let state = if self.draining[index] { "DRAINING" } else { "SERVING" };
        let endpoint = &endpoints[index];
        target(&format!("s-{index}"), endpoint.address, endpoint.destination, state, 100.0)
    }

    fn snapshot(&self, endpoints: &[Endpoint]) -> String {
        json!({"rev": self.revision, "all": true, "targets": self.entries(endpoints)}).to_string()
    }

    /// Sends a heartbeat on its watches.
    pub fn send_heartbeat(&self) {
        self.agent.send_heartbeat();
    }

    /// Begins to drain an endpoint, or ends that.
    pub fn toggle_draining(&mut self, endpoints: &[Endpoint], index: usize) {
        self.draining[index] = !self.draining[index];
        self.revision += 1;
        let entries = [self.entry(endpoints, index)];
        let update = json!({"rev": self.revision, "all": false, "targets": entries});
        self.agent.announce(&format!("{update}\n"));
        *locked(&self.agent.state.list) = self.snapshot(endpoints);
        let mut ledger = locked(&self.ledger);
        if self.draining[index] {
            ledger.endpoint_drains(self.number, index);
        } else {
            ledger.endpoint_serves(self.number, index);
        }
    }

    /// Breaks the watches, and leaves requests for new ones unanswered for some time.
    pub fn silence_discovery(&self, duration: Duration) {
        self.agent.state.is_ignoring_watches.store(true, Ordering::SeqCst);
        self.agent.break_watches();
        thread::sleep(duration);
        self.agent.state.is_ignoring_watches.store(false, Ordering::SeqCst);
        locked(&self.ledger).discovery_returned(self.number);
    }

    /// Moves discovery to another agent, by a new configuration and SIGHUP.
    ///
    /// # Errors
    /// The agent cannot be started, or the configuration not be written.
    pub fn move_discovery(&mut self, endpoints: &[Endpoint]) -> io::Result<()> {
        let agent = Agent::start(&self.seen)?;
        *locked(&agent.state.list) = self.snapshot(endpoints);
        let previous = std::mem::replace(&mut self.agent, agent);
        self.configure(endpoints)?;
        self.signal(Signal::HUP);
        thread::sleep(AGENT_MOVE_TIME);
        previous.state.is_ignoring_watches.store(true, Ordering::SeqCst);
        previous.break_watches();
        Ok(())
    }
}
