//! The soak: a few dozen real gateways on loopback, among endpoints, clients and discovery that misbehave, with system
//! calls and disks that fail and wall clocks that are stepped, two or three faults at a time, all drawn from one seed.
//!
//! - `gateway` is one gateway with its processes, its folder and its discovery.
//! - `faults` draws what happens to gateways and endpoints.
//! - `endpoints` respond to calls, `clients` enqueue messages.
//! - `ledger` follows every message, and notes each rule of the protocol that was broken.

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

/// Destinations, which share the endpoints evenly.
const DESTINATIONS: u32 = 4;
const ENDPOINTS: usize = 12;
/// Attempts that the configuration allows a message.
const MAX_ATTEMPTS: usize = 8;
const CLIENTS_PER_GATEWAY: u64 = 3;
/// From the end of the faults until every accepted message must have its final outcome.
const LAST_OUTCOMES: Duration = Duration::from_secs(9);

/// What a soak is to be.
#[derive(Clone)]
pub struct Plan {
    /// The seed of all randomness.
    pub seed: u64,
    /// Gateways that run at a time.
    pub gateways: usize,
    /// For how long there are clients and faults.
    pub length: Duration,
    /// The gateway's binary.
    pub gateway: PathBuf,
    /// The shim that lets system calls fail.
    pub shim: PathBuf,
    /// Where the gateways' logs go if a rule was broken.
    pub logs: Option<PathBuf>,
}

/// The result of a soak.
pub struct SoakResult {
    /// Rules that were broken.
    pub broken: usize,
    /// Counts and broken rules, for people.
    pub report: String,
}

/// Runs one soak.
///
/// # Errors
/// The soak itself cannot be set up, or its logs not be written.
pub fn run(plan: &Arc<Plan>) -> io::Result<SoakResult> {
    let folder =
        std::env::temp_dir().join(format!("delivery-gateway-soak-{}-{}", std::process::id(), plan.seed));
    std::fs::create_dir_all(&folder)?;
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let endpoints = endpoints::start(ENDPOINTS, DESTINATIONS, MAX_ATTEMPTS, random.u64(..), &ledger)?;
    let gateways = start_gateways(plan, &folder, &endpoints, &ledger)?;
    let over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&gateways, &ledger, &over, &mut random);
    let behaviors = {
        let (endpoints, over, random) = (endpoints.clone(), over.clone(), random.fork());
        thread::spawn(move || change_behaviors(&endpoints, &over, random))
    };
    let faults = start_faults(gateways, plan, &endpoints, &over, &mut random);
    thread::sleep(plan.length);
    over.store(true, Ordering::SeqCst);
    clients.into_iter().chain([behaviors]).for_each(|thread| drop(thread.join()));
    let mut gateways: Vec<Gateway> = faults.into_iter().filter_map(|thread| thread.join().ok()).collect();
    thread::sleep(LAST_OUTCOMES);
    gateways.iter_mut().for_each(Gateway::keep_log);
    locked(&ledger).close();
    let counts = fault_counts(&gateways)?;
    let ledger = locked(&ledger);
    if !ledger.broken().is_empty() {
        write_logs(plan, &gateways)?;
    }
    let report = format!("seed {}: {}faults: {counts}\n", plan.seed, ledger.report());
    drop(gateways);
    std::fs::remove_dir_all(&folder)?;
    Ok(SoakResult { broken: ledger.broken().len(), report })
}

fn start_gateways(
    plan: &Plan,
    folder: &Path,
    endpoints: &[Endpoint],
    ledger: &Arc<Mutex<Ledger>>,
) -> io::Result<Vec<Gateway>> {
    let (seen, notifications) = channel();
    let reader_ledger = ledger.clone();
    thread::spawn(move || read_notifications(&notifications, &reader_ledger));
    let mut gateways = Vec::new();
    for number in 0..plan.gateways {
        let folder = folder.join(format!("n{number}"));
        let seed = plan.seed.wrapping_add(number as u64);
        let mut gateway = Gateway::create(number, folder, seed, endpoints, ledger, &seen)?;
        set_background_faults(&gateway.faults)?;
        gateway.start(plan, endpoints)?;
        gateways.push(gateway);
    }
    Ok(gateways)
}

fn start_clients(
    gateways: &[Gateway],
    ledger: &Arc<Mutex<Ledger>>,
    over: &Arc<AtomicBool>,
    random: &mut fastrand::Rng,
) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for gateway in gateways {
        let clients = GatewayClients {
            gateway: gateway.number,
            address: gateway.address,
            destinations: DESTINATIONS,
            ledger: ledger.clone(),
            over: over.clone(),
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
    over: &Arc<AtomicBool>,
    random: &mut fastrand::Rng,
) -> Vec<JoinHandle<Gateway>> {
    let mut threads = Vec::new();
    for gateway in gateways {
        let (plan, endpoints, over) = (plan.clone(), endpoints.clone(), over.clone());
        let random = random.fork();
        threads.push(thread::spawn(move || inject_faults(gateway, &plan, &endpoints, &over, random)));
    }
    threads
}

/// Reads the outcome notifications of all gateways.
fn read_notifications(notifications: &Receiver<StubEvent>, ledger: &Mutex<Ledger>) {
    while let Ok(seen) = notifications.recv() {
        let StubEvent::Notification(line) = seen else { continue };
        let notification: Result<serde_json::Value, _> = serde_json::from_str(&line);
        match notification.as_ref().ok().and_then(|notification| notification["id"].as_str()) {
            Some(id) => locked(ledger).notified(id),
            None => locked(ledger).breach(format!("a notification is unreadable: {line}")),
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
