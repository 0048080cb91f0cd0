//! The sweeps of the journal. A real gateway accepts messages, is killed, and is started again on its journal. The sweeps
//! measure the time to its first `+PONG`, its memory and its journal.
//!
//! In the sweep of pending messages, the gateway cannot deliver them before the restarts, and the sweep also measures how
//! many it then attempts. In the sweep of tombstones it delivers all, and its journal is compacted before the restarts.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};
use tracing::info;

use crate::bounds::{NotRun, RunBounds};
use crate::experiment::Sweep;
use crate::figures::{Figure, Figures, Point};
use crate::fit::median;
use crate::stubs::{address_in, class, encode_command, serve, serve_calls, target};
use crate::stubs::{Agent, Client, Configuration, Process, StubEvent};

/// The number of destinations of the messages. Each has one endpoint.
const DESTINATIONS: u64 = 64;
/// The maximum number of messages that are sent before their replies are read.
const PIPELINE: u64 = 256;
const BODY: [u8; 100] = [b'x'; 100];
/// The maximum time from the start of a gateway until it accepts connections. The platform has the same limit.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum time, from a restarted gateway's first `+PONG`, for which its attempts are counted.
const ATTEMPTS_TIMEOUT: Duration = Duration::from_secs(12);
/// The interval between two attempts to connect to a gateway that is starting, and the time to respond to calls between
/// two groups of enqueued messages.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);
/// The maximum time for which a stub or the log is awaited between two checks of the bounds.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The number of restarts of each size. Times until ready are the median of the restarts, and the peak memory is their
/// maximum. Messages are delivered after the last restart.
const RESTARTS: usize = 3;
/// The latency objective of a message, in seconds. Its deadline is eight times that, so that no message
/// expires while a size is measured.
const LATENCY_OBJECTIVE_S: u64 = 100;
const DEADLINE_MS: u64 = LATENCY_OBJECTIVE_S * 8 * 1000;
/// The maximum time for a reply to a command.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// The disk space for each message. The journal may contain a message twice during compaction.
const DISK_BYTES_OF_MESSAGE: u64 = 2000;
/// The disk space in addition to that of the messages, in MB.
const SPARE_DISK_MB: f64 = 3.0;
/// The disk space with which a journal is compacted, relative to the journal's size: the file is too large for it, and its
/// compacted copy fits beside the file.
const COMPACTING_DISK_RATIO: f64 = 1.75;

/// What the journals of a sweep contain when the gateways start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalContents {
    Pending,
    Tombstones,
}

impl JournalContents {
    /// Returns how endpoints respond to the calls before the restarts.
    fn response(self) -> Response {
        match self {
            JournalContents::Pending => Response::RetryLater,
            JournalContents::Tombstones => Response::Deliver,
        }
    }
}

/// A folder for a gateway's files. It is removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(size: u64) -> Result<Self, NotRun> {
        let path = std::env::temp_dir().join(format!("testbed-{}-{size}", std::process::id()));
        let folder = Folder(path);
        for part in ["state", "tmp"] {
            std::fs::create_dir_all(folder.0.join(part))
                .map_err(|error| NotRun::failed("cannot create a folder for the gateway", error))?;
        }
        Ok(folder)
    }

    fn journal_bytes(&self) -> u64 {
        std::fs::metadata(self.0.join("state/journal")).map_or(0, |data| data.len())
    }

    /// Returns the number of the journal's file, which a compaction replaces.
    fn journal_file(&self) -> Option<u64> {
        std::fs::metadata(self.0.join("state/journal")).ok().map(|data| data.ino())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The response of endpoints to calls.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Response {
    Deliver,
    /// Rejects the call with a Retry-After of an hour.
    RetryLater,
}

/// The stubs of endpoints and discovery, which all sizes share.
struct Stubs {
    events: Receiver<StubEvent>,
    agent: Agent,
    /// The address that all endpoints share.
    endpoints: SocketAddr,
}

impl Stubs {
    fn start() -> Result<Self, NotRun> {
        let failed = |error| NotRun::failed("cannot start a stub", error);
        let (send, events) = channel();
        let agent = Agent::start(&send).map_err(failed)?;
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let endpoints = listener.local_addr().map_err(failed)?;
        serve(listener, move |stream| serve_calls(0, stream, &send));
        Ok(Stubs { events, agent, endpoints })
    }

    /// Writes the configuration of a gateway that listens on `listen`.
    fn configure(&self, folder: &Folder, listen: SocketAddr, size: u64, disk_mb: f64) -> Result<(), NotRun> {
        let entry = |number: u32| target(&format!("s-{number}"), self.endpoints, number, "SERVING", 1e6);
        let targets: Vec<_> = (1..=DESTINATIONS as u32).map(entry).collect();
        let configuration = Configuration {
            listen,
            discovery: self.agent.address,
            // No limit in practice: the sweep measures memory, and the bounds of the run limit it.
            memory_mb: 1 << 16,
            sockets: 1024,
            disk_mb,
            targets: &targets,
            fleet_size: 1,
            classes: &[class(LATENCY_OBJECTIVE_S, "notice", "idempotency_key", 600_000, false)],
            zone: "kingston",
            max_in_flight_calls: DESTINATIONS as u32,
            max_batch_size: 1,
            // Load shedding begins below the limit, and must not affect the sweep.
            max_pending_messages: 2 * size as u32,
        };
        configuration
            .write(&folder.0)
            .map_err(|error| NotRun::failed("cannot write the gateway's configuration", error))
    }

    /// Responds to calls until `messages` different messages were attempted or `timeout` has passed. Returns the number
    /// of messages that were attempted.
    fn respond(
        &self,
        response: Response,
        messages: usize,
        timeout: Duration,
        bounds: &RunBounds,
    ) -> Result<usize, NotRun> {
        let end = Instant::now() + timeout;
        let mut attempted = HashSet::new();
        while attempted.len() < messages && Instant::now() < end {
            bounds.check()?;
            match self.events.recv_timeout(CHECK_INTERVAL) {
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

/// Measures the sweep. Returns a point for each size, with its figures or the reason why it was not run.
pub fn sweep(sweep: &Sweep, contents: JournalContents, gateway: &Path, bounds: &RunBounds) -> Vec<Point> {
    let stubs = Stubs::start();
    let point = |size: u64| measure(stubs.as_ref().map_err(Clone::clone)?, contents, gateway, size, bounds);
    sweep.sizes().map(|size| point(size).unwrap_or_else(|reason| Point::not_run(size, &reason))).collect()
}

/// Returns the disk space for a journal that is not compacted before it has all messages, in MB.
fn ample_disk_mb(size: u64) -> f64 {
    (size * DISK_BYTES_OF_MESSAGE) as f64 / 1e6 + SPARE_DISK_MB
}

fn measure(
    stubs: &Stubs,
    contents: JournalContents,
    gateway: &Path,
    size: u64,
    bounds: &RunBounds,
) -> Result<Point, NotRun> {
    bounds.check()?;
    let folder = Folder::new(size)?;
    let address = fill_journal(stubs, contents, gateway, &folder, size, bounds)?;
    if contents == JournalContents::Tombstones {
        compact_journal(stubs, gateway, &folder, address, size, bounds)?;
    }
    let journal_bytes = folder.journal_bytes();
    // The restarted gateways listen on the same address, because clients connect to that address.
    stubs.configure(&folder, address, size, ample_disk_mb(size))?;
    let mut ready_ms = Vec::new();
    let mut ready_cpu_ns = Vec::new();
    let mut peak_memory_kib = 0;
    let mut last = None;
    for _ in 0..RESTARTS {
        // The previous process has to end before the next one starts.
        drop(last.take());
        // Calls that the previous process has sent must not count as attempts of the next one.
        stubs.respond(Response::RetryLater, usize::MAX, CHECK_INTERVAL, bounds)?;
        let ready = restart(gateway, &folder, address, bounds)?;
        ready_ms.push(ready.ready_ms);
        ready_cpu_ns.push(ready.cpu_ns);
        peak_memory_kib = peak_memory_kib.max(ready.peak_memory_kib);
        last = Some(ready);
    }
    let mut figures = Figures::from([
        (Figure::ProcessBytes, (peak_memory_kib << 10) as f64),
        (Figure::JournalBytes, journal_bytes as f64),
    ]);
    figures.extend(median(&mut ready_ms).map(|ready_ms| (Figure::ReadyMs, ready_ms)));
    figures.extend(median(&mut ready_cpu_ns).map(|cpu_ns| (Figure::ReadyCpuNs, cpu_ns)));
    if contents == JournalContents::Pending {
        figures.extend(measure_attempts(stubs, size, bounds)?);
    }
    drop(last);
    Ok(Point::ran(size, figures))
}

/// Delivers the messages that the last restarted gateway attempts, and measures how many these are and how long it takes.
fn measure_attempts(stubs: &Stubs, size: u64, bounds: &RunBounds) -> Result<Figures, NotRun> {
    let begun_at = Instant::now();
    let attempted = stubs.respond(Response::Deliver, size as usize, ATTEMPTS_TIMEOUT, bounds)?;
    let took = begun_at.elapsed();
    info!(size, attempted, ?took, "messages attempted after the last restart");
    let mut figures = Figures::from([(Figure::AttemptedRatio, attempted as f64 / size as f64)]);
    if attempted as u64 == size {
        figures.insert(Figure::AllAttemptedMs, took.as_secs_f64() * 1e3);
    }
    Ok(figures)
}

/// Has a gateway compact the journal, by a disk that the file is too large for and one further message.
fn compact_journal(
    stubs: &Stubs,
    gateway: &Path,
    folder: &Folder,
    address: SocketAddr,
    size: u64,
    bounds: &RunBounds,
) -> Result<(), NotRun> {
    let (before, file_before) = (folder.journal_bytes(), folder.journal_file());
    stubs.configure(folder, address, size, before as f64 * COMPACTING_DISK_RATIO / 1e6)?;
    let ready = restart(gateway, folder, address, bounds)?;
    let last_message = size..size + 1;
    enqueue_messages(stubs, Response::Deliver, address, last_message, bounds, &ready.process)?;
    let after = folder.journal_bytes();
    info!(size, before, after, "journal compacted");
    if folder.journal_file() == file_before {
        return Err(NotRun::Failed(format!("the journal of {before} bytes was not compacted")));
    }
    Ok(())
}

/// Starts a gateway, enqueues the messages, and kills the gateway. Returns the address on which it listened.
fn fill_journal(
    stubs: &Stubs,
    contents: JournalContents,
    gateway: &Path,
    folder: &Folder,
    size: u64,
    bounds: &RunBounds,
) -> Result<SocketAddr, NotRun> {
    stubs.configure(folder, ([127, 0, 0, 1], 0).into(), size, ample_disk_mb(size))?;
    let process = start(gateway, folder)?;
    let address = listening_address(&process, bounds)?;
    enqueue_messages(stubs, contents.response(), address, 0..size, bounds, &process)?;
    Ok(address)
}

fn start(gateway: &Path, folder: &Folder) -> Result<Process, NotRun> {
    Process::start(gateway, &folder.0).map_err(|error| NotRun::failed("cannot start the gateway", error))
}

/// Waits until a gateway has logged the address on which it listens, and returns the address.
fn listening_address(process: &Process, bounds: &RunBounds) -> Result<SocketAddr, NotRun> {
    let end = Instant::now() + READY_TIMEOUT;
    while Instant::now() < end {
        bounds.check()?;
        if let Ok(line) = process.wait_for_log_lines("listening", 1, CHECK_INTERVAL) {
            let no_address = || NotRun::Failed("the gateway's listening line has no address".to_owned());
            return address_in(&line).ok_or_else(no_address);
        }
    }
    Err(NotRun::Failed(format!("the gateway did not listen within {READY_TIMEOUT:?}")))
}

/// Enqueues the messages with these numbers. Endpoints deliver all, or reject calls with a Retry-After, so that the
/// messages stay pending.
fn enqueue_messages(
    stubs: &Stubs,
    response: Response,
    address: SocketAddr,
    numbers: Range<u64>,
    bounds: &RunBounds,
    process: &Process,
) -> Result<(), NotRun> {
    let failed = |error| NotRun::failed("cannot enqueue messages", error);
    let mut client = Client::connect(address, REPLY_TIMEOUT).map_err(failed)?;
    let mut enqueued = numbers.start;
    while enqueued < numbers.end {
        let count = PIPELINE.min(numbers.end - enqueued);
        let commands: Vec<u8> = (enqueued..enqueued + count).flat_map(enqueue_command).collect();
        client.try_send(&commands).map_err(failed)?;
        for _ in 0..count {
            let reply = client.try_read_line().map_err(failed)?;
            if reply != "+OK" {
                return Err(NotRun::Failed(format!("the reply to ENQUEUE was '{reply}' instead of '+OK'")));
            }
        }
        enqueued += count;
        match response {
            Response::Deliver => deliver(stubs, count, bounds)?,
            Response::RetryLater => {
                stubs.respond(response, DESTINATIONS as usize, CONNECT_INTERVAL, bounds)?;
            }
        }
        check_with_process(bounds, process)?;
    }
    // Also responds to calls that are still on their way, which arrive within a short time.
    stubs.respond(response, DESTINATIONS as usize, 4 * CHECK_INTERVAL, bounds)?;
    Ok(())
}

/// Delivers messages until this number of different ones has been attempted.
fn deliver(stubs: &Stubs, count: u64, bounds: &RunBounds) -> Result<(), NotRun> {
    let attempted = stubs.respond(Response::Deliver, count as usize, ATTEMPTS_TIMEOUT, bounds)?;
    if (attempted as u64) < count {
        return Err(NotRun::Failed(format!("only {attempted} of {count} messages were attempted")));
    }
    Ok(())
}

fn enqueue_command(number: u64) -> Vec<u8> {
    let id = format!("m{number:015}");
    let destination = 1 + number % DESTINATIONS;
    let fields = format!("d={DEADLINE_MS},c=notice,k=k{number},dest={destination}");
    encode_command(&[b"ENQUEUE", &b"0"[..], id.as_bytes(), fields.as_bytes(), &BODY])
}

/// Checks the bounds of the run, and counts the resident memory of a gateway towards the memory bound.
fn check_with_process(bounds: &RunBounds, process: &Process) -> Result<(), NotRun> {
    bounds.check_with(process.status_value("VmRSS").unwrap_or(0) << 10)
}

/// A restarted gateway, and its figures at its first `+PONG`.
struct ReadyGateway {
    /// Killed when this is dropped.
    process: Process,
    ready_ms: f64,
    cpu_ns: f64,
    peak_memory_kib: u64,
}

/// Starts a gateway on the files that the previous process left, and waits until it replies to PING.
fn restart(
    gateway: &Path,
    folder: &Folder,
    address: SocketAddr,
    bounds: &RunBounds,
) -> Result<ReadyGateway, NotRun> {
    let begun_at = Instant::now();
    let process = start(gateway, folder)?;
    let mut client = loop {
        match Client::connect(address, REPLY_TIMEOUT) {
            Ok(client) => break client,
            Err(error) if begun_at.elapsed() > READY_TIMEOUT => {
                return Err(NotRun::failed("cannot connect to the restarted gateway", error));
            }
            Err(_) => {
                check_with_process(bounds, &process)?;
                thread::sleep(CONNECT_INTERVAL);
            }
        }
    };
    client.try_send(&encode_command(&["PING"])).map_err(|error| NotRun::failed("no reply to PING", error))?;
    let reply = client.try_read_line().map_err(|error| NotRun::failed("no reply to PING", error))?;
    if reply != "+PONG" {
        return Err(NotRun::Failed(format!("the reply to PING was '{reply}' instead of '+PONG'")));
    }
    let ready_ms = begun_at.elapsed().as_secs_f64() * 1e3;
    let cpu_ns = processor_time_ns(&process)?;
    let peak_memory_kib = process.status_value("VmHWM").unwrap_or(0);
    Ok(ReadyGateway { process, ready_ms, cpu_ns, peak_memory_kib })
}

/// Returns the processor time that a process has used so far, in nanoseconds.
fn processor_time_ns(process: &Process) -> Result<f64, NotRun> {
    let schedule = std::fs::read_to_string(format!("/proc/{}/schedstat", process.child.id()));
    let spent = schedule.ok().and_then(|text| text.split(' ').next()?.parse().ok());
    spent.ok_or_else(|| NotRun::Failed("cannot read the gateway's processor time".to_owned()))
}
