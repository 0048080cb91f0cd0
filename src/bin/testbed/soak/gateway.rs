//! One gateway of a soak: its folder, its discovery agent, its fault page, and the processes that run it one after
//! another.

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

/// The grace period from SIGTERM to SIGKILL.
const TERM_TO_KILL: Duration = Duration::from_millis(3700);
/// The time from the end of a process to the next start, and from the start of a successor until a failing disk works
/// again.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// The maximum time to wait until a started process logs its listening address, and from its start until the last PING
/// is tried. The reply to one PING may take as long again. A slower process counts as one that never becomes ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// The interval between two checks of a process that starts or ends.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time for which the previous agent keeps serving watches after the gateway is sent SIGHUP for the new address.
const AGENT_OVERLAP: Duration = Duration::from_millis(1500);
/// The system calls that fail while the disk fails. [`Gateway::clear_disk_faults`] clears their faults.
const DISK_CALLS: [Call; 3] = [Call::StateWrite, Call::StateTruncate, Call::StateRename];
/// The text that a gateway logs when its send guard stops an attempt that would break a rule.
const GUARD_LINE: &str = "it would break a delivery rule";

/// How a process is ended before the next one is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// With SIGTERM, and with SIGKILL after a grace period.
    Planned,
    /// With SIGKILL only.
    Killed,
}

/// A gateway of a soak. Its process is killed when this is dropped.
pub struct Gateway {
    pub number: usize,
    folder: PathBuf,
    pub address: SocketAddr,
    agent: Agent,
    pub faults: FaultPage,
    process: Option<Process>,
    ledger: Arc<Mutex<Ledger>>,
    /// The revision of the gateway's endpoint list.
    revision: u32,
    /// Whether the list has an endpoint as draining, by the endpoint's index.
    draining: Vec<bool>,
    /// The channel to which the gateway's agents send the outcome notifications.
    events: Sender<StubEvent>,
    /// The log lines collected from the gateway's processes so far.
    log: Vec<String>,
}

impl Gateway {
    /// Creates a gateway whose process is not started yet.
    ///
    /// # Errors
    /// Returns an error if its folder, its agent or its fault page cannot be created.
    pub fn create(
        number: usize,
        folder: PathBuf,
        seed: u64,
        endpoints: &[Endpoint],
        ledger: &Arc<Mutex<Ledger>>,
        events: &Sender<StubEvent>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(folder.join("state"))?;
        std::fs::create_dir_all(folder.join("tmp"))?;
        let faults = FaultPage::create(&folder.join("faults"), seed)?;
        let agent = Agent::start(events)?;
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
            events: events.clone(),
            log: Vec::new(),
        })
    }

    /// Starts a process, and waits until it replies to PING.
    ///
    /// # Errors
    /// Returns an error if the process cannot be configured or started. A process that does not become ready is
    /// recorded as a violation instead.
    pub fn start(&mut self, plan: &Plan, endpoints: &[Endpoint]) -> io::Result<()> {
        self.configure(endpoints)?;
        let started_at = Instant::now();
        let process = self.spawn(plan)?;
        let listening = process.wait_for_log_lines(" listening ", 1, READY_TIMEOUT);
        let address = listening.ok().and_then(|line| address_in(&line));
        self.process = Some(process);
        let Some(address) = address else {
            self.record_violation("did not log its listening address in time");
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
            thread::sleep(POLL_INTERVAL);
        }
        self.record_violation("did not reply to PING in time");
    }

    /// Records that this gateway has broken a rule, or that the injection of a fault has failed. `text` is the
    /// predicate of a sentence about the gateway.
    pub fn record_violation(&self, text: &str) {
        locked(&self.ledger).record_violation(format!("gateway {} {text}", self.number));
    }

    // ---- Its process ----

    fn signal(&self, signal: Signal) {
        let child = self.process.as_ref().map(|process| process.child.id());
        if let Some(pid) = child.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has exited. An exit that the soak didn't cause is a violation.
    pub fn has_exited(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| process.child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Sends SIGTERM to the process, and waits until it exits or the grace period is over.
    fn terminate(&mut self) {
        self.signal(Signal::TERM);
        let end = Instant::now() + TERM_TO_KILL;
        while !self.has_exited() && Instant::now() < end {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Ends the process and starts the next one.
    ///
    /// # Errors
    /// Returns the errors of [`Gateway::start`].
    pub fn restart(&mut self, plan: &Plan, endpoints: &[Endpoint], restart: Restart) -> io::Result<()> {
        locked(&self.ledger).gateway_stops(self.number);
        if restart == Restart::Planned {
            self.terminate();
        }
        self.collect_log();
        // Dropping the process kills it.
        self.process = None;
        thread::sleep(RESTART_DELAY);
        self.start(plan, endpoints)
    }

    /// Starts another process that takes over from the serving one. The handover must not disturb any client.
    ///
    /// # Errors
    /// Returns an error if the next process cannot be started.
    pub fn hand_over(&mut self, plan: &Plan) -> io::Result<()> {
        let next = self.spawn(plan)?;
        self.hand_over_to(next);
        Ok(())
    }

    /// Hands over like [`Gateway::hand_over`], with a disk that fails when the next process starts and works again
    /// after [`RESTART_DELAY`]. The caller has set the faults.
    ///
    /// # Errors
    /// Returns an error if the next process cannot be started or the faults cannot be cleared.
    pub fn hand_over_while_disk_fails(&mut self, plan: &Plan) -> io::Result<()> {
        let next = self.spawn(plan)?;
        thread::sleep(RESTART_DELAY);
        self.clear_disk_faults()?;
        self.hand_over_to(next);
        Ok(())
    }

    fn hand_over_to(&mut self, next: Process) {
        if next.wait_for_log_lines(" listening ", 1, READY_TIMEOUT).is_err() {
            self.record_violation("was not handed over: the next process did not listen in time");
        }
        self.terminate();
        self.collect_log();
        self.process = Some(next);
        locked(&self.ledger).count("hand-overs");
    }

    /// Clears the faults of the disk.
    ///
    /// # Errors
    /// Returns an error if the fault page cannot be written.
    pub fn clear_disk_faults(&self) -> io::Result<()> {
        DISK_CALLS.iter().try_for_each(|call| self.faults.clear(*call))
    }

    /// Adds the process's log to the collected log, and records a violation for a panic and for each attempt that the
    /// send guard stopped.
    pub fn collect_log(&mut self) {
        let Some(process) = &self.process else { return };
        let lines = process.lines();
        if process.has_logged("panicked") {
            self.record_violation("panicked");
        }
        for line in lines.iter().filter(|line| line.contains(GUARD_LINE)) {
            locked(&self.ledger).record_violation(format!("gateway {}: {line}", self.number));
        }
        self.log.extend(lines);
    }

    /// Returns the collected log.
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

    /// Sends a heartbeat on the gateway's watches.
    pub fn send_heartbeat(&self) {
        self.agent.send_heartbeat();
    }

    /// Changes an endpoint in the list from serving to draining, or back, and announces the change.
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

    /// Breaks the watches, and waits for `duration`. Requests for new watches that arrive within it are never answered.
    pub fn silence_discovery(&self, duration: Duration) {
        self.agent.state.is_ignoring_watches.store(true, Ordering::SeqCst);
        self.agent.break_watches();
        thread::sleep(duration);
        self.agent.state.is_ignoring_watches.store(false, Ordering::SeqCst);
        locked(&self.ledger).discovery_reachable_again(self.number);
    }

    /// Moves discovery to a new agent, by a new configuration and SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the agent cannot be started or the configuration cannot be written.
    pub fn move_discovery(&mut self, endpoints: &[Endpoint]) -> io::Result<()> {
        let agent = Agent::start(&self.events)?;
        *locked(&agent.state.list) = self.snapshot(endpoints);
        let previous = std::mem::replace(&mut self.agent, agent);
        self.configure(endpoints)?;
        self.signal(Signal::HUP);
        thread::sleep(AGENT_OVERLAP);
        previous.state.is_ignoring_watches.store(true, Ordering::SeqCst);
        previous.break_watches();
        Ok(())
    }
}
