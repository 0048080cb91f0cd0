//! The sweep of the journal: a real gateway accepts messages that it cannot deliver, is killed, and starts again on
//! what it left. Measured is the time to its first `+PONG`, and how many of the messages it then attempts.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};
use tracing::info;

use crate::bounds::{Guard, NotRun};
use crate::experiment::Sweep;
use crate::figures::{Figure, Figures, Point};
use crate::fit::median;
use crate::stubs::{address_in, class, encode_command, serve, serve_calls, target};
use crate::stubs::{Agent, Client, Configuration, Process, StubEvent};

/// Destinations that the messages are for, one endpoint each.
const DESTINATIONS: u64 = 64;
/// Messages that are enqueued before their replies are read.
const PIPELINE: u64 = 256;
const BODY: [u8; 100] = [b'x'; 100];
/// A gateway that is not ready after this never will be; the platform's own limit.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a restarted gateway may take to attempt all messages.
const ATTEMPTS_TIMEOUT: Duration = Duration::from_secs(12);
/// Between two attempts to connect to a gateway that starts.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);
/// Longest time between two checks of the bounds.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Restarts of each size, whose median counts; after the last one messages are delivered.
const RESTARTS: usize = 3;
/// Latency objective of a message. Its deadline is eight times that, far beyond any run.
const LATENCY_OBJECTIVE_S: u64 = 100;
const DEADLINE_MS: u64 = LATENCY_OBJECTIVE_S * 8 * 1000;
/// Longest time for a reply to a command.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Disk for each message: the journal may hold it twice while it is compacted.
const DISK_BYTES_OF_MESSAGE: u64 = 2000;
/// Disk beyond that, in MB.
const SPARE_DISK_MB: f64 = 3.0;

/// A folder for a gateway's files, which is removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(size: u64) -> Result<Self, NotRun> {
        let path = std::env::temp_dir().join(format!("testbed-{}-{size}", std::process::id()));
        let folder = Folder(path);
        for part in ["state", "tmp"] {
            std::fs::create_dir_all(folder.0.join(part))
                .map_err(|error| NotRun::failed("a folder for the gateway", error))?;
        }
        Ok(folder)
    }

    fn journal_bytes(&self) -> u64 {
        std::fs::metadata(self.0.join("state/journal")).map_or(0, |data| data.len())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// How endpoints respond to calls.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Response {
    Deliver,
    /// Reject, with a Retry-After of an hour.
    RetryLater,
}

/// Stubs of endpoints and of discovery, for all sizes.
struct Stubs {
    seen: Receiver<StubEvent>,
    agent: Agent,
    /// One address for all endpoints.
    endpoints: SocketAddr,
}

impl Stubs {
    fn start() -> Result<Self, NotRun> {
        let failed = |error| NotRun::failed("a stub", error);
        let (send, seen) = channel();
        let agent = Agent::start(&send).map_err(failed)?;
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let endpoints = listener.local_addr().map_err(failed)?;
        serve(listener, move |stream| serve_calls(0, stream, &send));
        Ok(Stubs { seen, agent, endpoints })
    }

    /// Writes the configuration of a gateway that listens at an address.
    fn configure(&self, folder: &Folder, listen: SocketAddr, size: u64) -> Result<(), NotRun> {
        let entry = |number: u32| target(&format!("s-{number}"), self.endpoints, number, "SERVING", 1e6);
        let targets: Vec<_> = (1..=DESTINATIONS as u32).map(entry).collect();
        let configuration = Configuration {
            listen,
            discovery: self.agent.address,
            // Memory is measured, and the run's own bound holds.
            memory_mb: 1 << 16,
            sockets: 1024,
            disk_mb: (size * DISK_BYTES_OF_MESSAGE) as f64 / 1e6 + SPARE_DISK_MB,
            targets: &targets,
            fleet_size: 1,
            classes: &[class(LATENCY_OBJECTIVE_S, "notice", "idempotency_key", 600_000, false)],
            zone: "kingston",
            max_in_flight_calls: DESTINATIONS as u32,
            max_batch_size: 1,
            // Shedding begins below the limit.
            max_pending_messages: 2 * size as u32,
        };
        configuration.write(&folder.0).map_err(|error| NotRun::failed("the configuration", error))
    }

    /// Responds to calls until so many messages were attempted, or for some time; gives how many were.
    fn respond(
        &self,
        response: Response,
        messages: usize,
        patience: Duration,
        guard: &Guard,
    ) -> Result<usize, NotRun> {
        let end = Instant::now() + patience;
        let mut attempted = HashSet::new();
        while attempted.len() < messages && Instant::now() < end {
            guard.check()?;
            match self.seen.recv_timeout(CHECK_INTERVAL) {
                Ok(StubEvent::Call(call)) => {
                    attempted.insert(call.id.clone());
                    match response {
                        Response::Deliver => call.answer("200 OK", ""),
                        Response::RetryLater => {
                            call.answer("429 Too Many Requests", "X-Come-Back-Ms: 3600000\r\n");
                        }
                    }
                }
                Ok(StubEvent::Notification(_)) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        Ok(attempted.len())
    }
}

/// Measures the sweep. Each size has its point, or the reason why it has none.
pub fn sweep(sweep: &Sweep, gateway: &Path, guard: &Guard) -> Vec<Point> {
    let stubs = Stubs::start();
    let point = |size: u64| measure(stubs.as_ref().map_err(Clone::clone)?, gateway, size, guard);
    sweep.sizes().map(|size| point(size).unwrap_or_else(|reason| Point::not_run(size, &reason))).collect()
}

fn measure(stubs: &Stubs, gateway: &Path, size: u64, guard: &Guard) -> Result<Point, NotRun> {
    guard.check()?;
    let folder = Folder::new(size)?;
    let address = fill_journal(stubs, gateway, &folder, size, guard)?;
    let journal_bytes = folder.journal_bytes();
    // The same address, as its clients know no other.
    stubs.configure(&folder, address, size)?;
    let mut ready_ms = Vec::new();
    let mut ready_cpu_ns = Vec::new();
    let mut peak_memory_kib = 0;
    let mut last = None;
    for _ in 0..RESTARTS {
        // The one before has to have ended first.
        drop(last.take());
        // Nor may its last calls count as attempts of the next one.
        stubs.respond(Response::RetryLater, usize::MAX, CHECK_INTERVAL, guard)?;
        let ready = restart(gateway, &folder, address, guard)?;
        ready_ms.push(ready.ms);
        ready_cpu_ns.push(ready.cpu_ns);
        peak_memory_kib = peak_memory_kib.max(ready.peak_memory_kib);
        last = Some(ready);
    }
    let begun_at = Instant::now();
    let attempted = stubs.respond(Response::Deliver, size as usize, ATTEMPTS_TIMEOUT, guard)?;
    let took = begun_at.elapsed();
    drop(last);
    info!(size, journal_bytes, attempted, ?took, "restarted");
    let figures = [
        (Figure::ReadyMs, median(&mut ready_ms)),
        (Figure::ReadyCpuNs, median(&mut ready_cpu_ns)),
        (Figure::ProcessBytes, Some((peak_memory_kib << 10) as f64)),
        (Figure::JournalBytes, Some(journal_bytes as f64)),
        (Figure::AttemptedRatio, Some(attempted as f64 / size as f64)),
        (Figure::AllAttemptedMs, (attempted as u64 == size).then_some(took.as_secs_f64() * 1e3)),
    ];
    let figures = figures.into_iter().filter_map(|(figure, value)| Some((figure, value?)));
    Ok(Point::ran(size, Figures::from_iter(figures)))
}

/// Has a gateway accept the messages, kills it, and gives the address at which it listened.
fn fill_journal(
    stubs: &Stubs,
    gateway: &Path,
    folder: &Folder,
    size: u64,
    guard: &Guard,
) -> Result<SocketAddr, NotRun> {
    stubs.configure(folder, ([127, 0, 0, 1], 0).into(), size)?;
    let process = start(gateway, folder)?;
    let address = listening_address(&process, guard)?;
    enqueue_messages(stubs, address, size, guard, &process)?;
    Ok(address)
}

fn start(gateway: &Path, folder: &Folder) -> Result<Process, NotRun> {
    Process::start(gateway, &folder.0).map_err(|error| NotRun::failed("the gateway cannot be started", error))
}

/// Waits until a gateway has logged where it listens.
fn listening_address(process: &Process, guard: &Guard) -> Result<SocketAddr, NotRun> {
    let end = Instant::now() + READY_TIMEOUT;
    while Instant::now() < end {
        guard.check()?;
        if let Ok(line) = process.wait_for_log_lines("listening", 1, CHECK_INTERVAL) {
            let no_address = || NotRun::Failed("the gateway logs no address".to_owned());
            return address_in(&line).ok_or_else(no_address);
        }
    }
    Err(NotRun::Failed(format!("the gateway does not come up within {READY_TIMEOUT:?}")))
}

/// Enqueues the messages, and has each destination reject calls with a Retry-After.
fn enqueue_messages(
    stubs: &Stubs,
    address: SocketAddr,
    size: u64,
    guard: &Guard,
    process: &Process,
) -> Result<(), NotRun> {
    let failed = |error| NotRun::failed("enqueueing", error);
    let mut client = Client::connect(address, REPLY_TIMEOUT).map_err(failed)?;
    let mut enqueued = 0;
    while enqueued < size {
        let count = PIPELINE.min(size - enqueued);
        let commands: Vec<u8> = (enqueued..enqueued + count).flat_map(enqueue_command).collect();
        client.try_send(&commands).map_err(failed)?;
        for _ in 0..count {
            let reply = client.try_read_line().map_err(failed)?;
            if reply != "+OK" {
                return Err(NotRun::Failed(format!("a message was answered '{reply}'")));
            }
        }
        enqueued += count;
        stubs.respond(Response::RetryLater, DESTINATIONS as usize, CONNECT_INTERVAL, guard)?;
        check_with_process(guard, process)?;
    }
    // Calls that are still on their way arrive at once.
    stubs.respond(Response::RetryLater, DESTINATIONS as usize, 4 * CHECK_INTERVAL, guard)?;
    Ok(())
}

fn enqueue_command(number: u64) -> Vec<u8> {
    let id = format!("m{number:015}");
    let destination = 1 + number % DESTINATIONS;
    let fields = format!("d={DEADLINE_MS},c=notice,k=k{number},dest={destination}");
    encode_command(&[b"ENQUEUE", &b"0"[..], id.as_bytes(), fields.as_bytes(), &BODY])
}

/// Checks the bounds of the run, with the memory of a gateway.
fn check_with_process(guard: &Guard, process: &Process) -> Result<(), NotRun> {
    guard.check_with(process.status_value("VmRSS").unwrap_or(0) << 10)
}

/// A restarted gateway, as of its first `+PONG`.
struct ReadyGateway {
    /// It is killed when this is dropped.
    _process: Process,
    ms: f64,
    cpu_ns: f64,
    peak_memory_kib: u64,
}

/// Starts a gateway on what the one before left, and waits until it serves.
fn restart(
    gateway: &Path,
    folder: &Folder,
    address: SocketAddr,
    guard: &Guard,
) -> Result<ReadyGateway, NotRun> {
    let begun_at = Instant::now();
    let process = start(gateway, folder)?;
    let mut client = loop {
        match Client::connect(address, REPLY_TIMEOUT) {
            Ok(client) => break client,
            Err(error) if begun_at.elapsed() > READY_TIMEOUT => {
                return Err(NotRun::failed("the gateway", error));
            }
            Err(_) => {
                check_with_process(guard, &process)?;
                thread::sleep(CONNECT_INTERVAL);
            }
        }
    };
    client.try_send(&encode_command(&["PING"])).map_err(|error| NotRun::failed("PING", error))?;
    let reply = client.try_read_line().map_err(|error| NotRun::failed("PING", error))?;
    if reply != "+PONG" {
        return Err(NotRun::Failed(format!("PING was answered '{reply}'")));
    }
    let ms = begun_at.elapsed().as_secs_f64() * 1e3;
    let cpu_ns = processor_time_ns(&process)?;
    let peak_memory_kib = process.status_value("VmHWM").unwrap_or(0);
    Ok(ReadyGateway { _process: process, ms, cpu_ns, peak_memory_kib })
}

/// Processor time that a process has used so far.
fn processor_time_ns(process: &Process) -> Result<f64, NotRun> {
    let schedule = std::fs::read_to_string(format!("/proc/{}/schedstat", process.child.id()));
    let spent = schedule.ok().and_then(|text| text.split(' ').next()?.parse().ok());
    spent.ok_or_else(|| NotRun::Failed("the gateway's processor time cannot be read".to_owned()))
}
