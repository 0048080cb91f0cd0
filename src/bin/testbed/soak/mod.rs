//! The soak: runs a few dozen real gateways on loopback among misbehaving endpoints, clients and discovery. System
//! calls and disks fail and wall clocks are stepped, with two or three kinds of faults at a time. The faults that are
//! injected, and when, are drawn from one seed.
//!
//! - `gateway` owns one gateway with its processes, its folder and its discovery agent.
//! - `faults` draws the faults of gateways and the behavior of endpoints.
//! - `endpoints` respond to calls, `clients` enqueue messages.
//! - `ledger` tracks every message, and records each violation of the protocol's rules.

mod clients;
mod endpoints;
mod faults;
mod gateway;
mod ledger;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::stubs::{locked, StubEvent};
use clients::{enqueue_messages, send_malformed_requests, GatewayClients};
use endpoints::Endpoint;
use faults::{change_behaviors, fault_counts, inject_faults, set_background_faults};
use gateway::Gateway;
use ledger::Ledger;

/// The number of destinations. Each has the same number of endpoints.
const DESTINATIONS: u32 = 4;
const ENDPOINTS: usize = 12;
/// The number of attempts per message that the configuration allows.
const MAX_ATTEMPTS: usize = 8;
const CLIENTS_PER_GATEWAY: u64 = 3;
/// The time from the end of the clients and of the drawn faults until every accepted message must have its final
/// outcome. The background faults continue.
const OUTCOME_WAIT: Duration = Duration::from_secs(9);

/// The parameters of a soak.
#[derive(Clone)]
pub struct Plan {
    /// The seed of all randomness.
    pub seed: u64,
    /// The number of gateways that run at the same time.
    pub gateways: usize,
    /// The time from the start of the clients until they stop sending messages and no further fault is drawn.
    pub length: Duration,
    /// The path of the gateway's binary.
    pub gateway: PathBuf,
    /// The path of the fault shim's library.
    pub shim: PathBuf,
    /// The folder to which the gateways' logs are written if a rule was broken; `None` writes none.
    pub logs: Option<PathBuf>,
}

/// The result of a soak.
pub struct SoakResult {
    /// The number of violations of the protocol's rules.
    pub violations: usize,
    /// The counts and violations as text.
    pub report: String,
}

/// Runs one soak.
///
/// # Errors
/// Returns an error if the soak cannot be set up, the faults cannot be counted, the logs cannot be written or the
/// soak's folder cannot be removed. Violations are not an error here.
pub fn run(plan: &Arc<Plan>) -> io::Result<SoakResult> {
    let folder =
        std::env::temp_dir().join(format!("delivery-gateway-soak-{}-{}", std::process::id(), plan.seed));
    std::fs::create_dir_all(&folder)?;
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let endpoints = endpoints::start(ENDPOINTS, DESTINATIONS, MAX_ATTEMPTS, random.u64(..), &ledger)?;
    let gateways = start_gateways(plan, &folder, &endpoints, &ledger)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&gateways, &ledger, &is_over, &mut random);
    let behaviors = {
        let (endpoints, is_over, random) = (endpoints.clone(), is_over.clone(), random.fork());
        thread::spawn(move || change_behaviors(&endpoints, &is_over, random))
    };
    let faults = start_faults(gateways, plan, &endpoints, &is_over, &mut random);
    thread::sleep(plan.length);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().chain([behaviors]).for_each(|thread| drop(thread.join()));
    let mut gateways: Vec<Gateway> = faults.into_iter().filter_map(|thread| thread.join().ok()).collect();
    thread::sleep(OUTCOME_WAIT);
    gateways.iter_mut().for_each(Gateway::collect_log);
    locked(&ledger).check_final_outcomes();
    let counts = fault_counts(&gateways)?;
    let ledger = locked(&ledger);
    if !ledger.violations().is_empty() {
        write_logs(plan, &gateways)?;
    }
    let report = format!("seed {}: {}faults: {counts}\n", plan.seed, ledger.report());
    drop(gateways);
    std::fs::remove_dir_all(&folder)?;
    Ok(SoakResult { violations: ledger.violations().len(), report })
}

fn start_gateways(
    plan: &Plan,
    folder: &Path,
    endpoints: &[Endpoint],
    ledger: &Arc<Mutex<Ledger>>,
) -> io::Result<Vec<Gateway>> {
    let (events, notifications) = channel();
    let reader_ledger = ledger.clone();
    thread::spawn(move || read_notifications(&notifications, &reader_ledger));
    let mut gateways = Vec::new();
    for number in 0..plan.gateways {
        let folder = folder.join(format!("n{number}"));
        let seed = plan.seed.wrapping_add(number as u64);
        let mut gateway = Gateway::create(number, folder, seed, endpoints, ledger, &events)?;
        set_background_faults(&gateway.faults)?;
        gateway.start(plan, endpoints)?;
        gateways.push(gateway);
    }
    Ok(gateways)
}

fn start_clients(
    gateways: &[Gateway],
    ledger: &Arc<Mutex<Ledger>>,
    is_over: &Arc<AtomicBool>,
    random: &mut fastrand::Rng,
) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for gateway in gateways {
        let clients = GatewayClients {
            gateway: gateway.number,
            address: gateway.address,
            destinations: DESTINATIONS,
            ledger: ledger.clone(),
            is_over: is_over.clone(),
        };
        for number in 0..CLIENTS_PER_GATEWAY {
            let (clients, seed) = (clients.clone(), random.u64(..));
            threads.push(thread::spawn(move || enqueue_messages(&clients, &number.to_string(), seed)));
        }
        let seed = random.u64(..);
        threads.push(thread::spawn(move || send_malformed_requests(&clients, seed)));
    }
    threads
}

fn start_faults(
    gateways: Vec<Gateway>,
    plan: &Arc<Plan>,
    endpoints: &Arc<Vec<Endpoint>>,
    is_over: &Arc<AtomicBool>,
    random: &mut fastrand::Rng,
) -> Vec<JoinHandle<Gateway>> {
    let mut threads = Vec::new();
    for gateway in gateways {
        let (plan, endpoints, is_over) = (plan.clone(), endpoints.clone(), is_over.clone());
        let random = random.fork();
        threads.push(thread::spawn(move || inject_faults(gateway, &plan, &endpoints, &is_over, random)));
    }
    threads
}

/// Records the outcome notifications of all gateways, until all senders are dropped.
fn read_notifications(notifications: &Receiver<StubEvent>, ledger: &Mutex<Ledger>) {
    while let Ok(event) = notifications.recv() {
        let StubEvent::Notification(line) = event else { continue };
        let notification: Result<serde_json::Value, _> = serde_json::from_str(&line);
        match notification.as_ref().ok().and_then(|notification| notification["id"].as_str()) {
            Some(id) => locked(ledger).notification_received(id),
            None => locked(ledger).record_violation(format!("a notification is unreadable: {line}")),
        }
    }
}

fn write_logs(plan: &Plan, gateways: &[Gateway]) -> io::Result<()> {
    let Some(logs) = &plan.logs else { return Ok(()) };
    std::fs::create_dir_all(logs)?;
    for gateway in gateways {
        let file = logs.join(format!("seed-{}-n{}.log", plan.seed, gateway.number));
        std::fs::write(file, gateway.log())?;
    }
    Ok(())
}
