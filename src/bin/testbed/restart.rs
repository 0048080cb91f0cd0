//! The sweep of the journal: a real courier takes messages that it can't deliver, is killed, and starts again on what
//! it left. Measured is the time to its first `+PONG`, and how much of what it held it still tries.

use crate::bounds::{Guard, NotRun};
use crate::experiment::Sweep;
use crate::figures::{Figure, Figures, Point};
use crate::fit::median;
use crate::stubs::{address_in, class, command, serve, serve_calls, target};
use crate::stubs::{Agent, Client, Configuration, Process, Seen};
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};
use tracing::info;

/// Destinations that the messages are for, one endpoint each.
const DESTINATIONS: u64 = 64;
/// Messages handed in before their answers are read.
const AT_A_TIME: u64 = 256;
const BODY: [u8; 100] = [b'x'; 100];
/// A courier that is not ready after this never will be; the platform's own limit.
const READY: Duration = Duration::from_secs(30);
/// How long a restarted courier may take to try what it holds.
const TRIES: Duration = Duration::from_secs(12);
/// Between two looks at whether a courier listens, or whether to go on.
const LOOK: Duration = Duration::from_millis(1);
const SLOW_LOOK: Duration = Duration::from_millis(50);
/// Restarts of each size whose times are told by their median; the last one may deliver.
const RESTARTS: usize = 3;
/// Seconds of a message's aim; its deadline is eight times that, far beyond any run.
const AIM_S: u64 = 100;
const ANSWER: Duration = Duration::from_secs(10);
/// Disk for each message: its journal may hold it twice while it is compacted.
const DISK_A_MESSAGE: u64 = 2000;

/// A folder of the run, which goes with it.
struct Folder(PathBuf);

impl Folder {
    fn new(size: u64) -> Result<Self, NotRun> {
        let path = std::env::temp_dir().join(format!("lab-{}-{size}", std::process::id()));
        let folder = Folder(path);
        for part in ["state", "tmp"] {
            std::fs::create_dir_all(folder.0.join(part))
                .map_err(|error| NotRun::failed("a folder for the courier", error))?;
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

/// Endpoints and discovery, for all sizes.
struct Surroundings {
    seen: Receiver<Seen>,
    agent: Agent,
    endpoints: SocketAddr,
}

impl Surroundings {
    fn new() -> Result<Self, NotRun> {
        let failed = |error| NotRun::failed("a stand-in", error);
        let (send, seen) = channel();
        let agent = Agent::start(&send).map_err(failed)?;
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let endpoints = listener.local_addr().map_err(failed)?;
        serve(listener, move |stream| serve_calls(0, stream, &send));
        Ok(Surroundings { seen, agent, endpoints })
    }

    fn configure(&self, folder: &Folder, listen: SocketAddr, size: u64) -> Result<(), NotRun> {
        let destinations = 1..=DESTINATIONS as u32;
        let targets: Vec<_> =
            destinations.map(|to| target(&format!("s-{to}"), self.endpoints, to, "SERVING", 1e6)).collect();
        let configuration = Configuration {
            listen,
            discovery: self.agent.address,
            // What it takes is measured, and the bound of the run holds.
            memory_mb: 1 << 16,
            sockets: 1024,
            disk_mb: (size * DISK_A_MESSAGE) as f64 / 1e6 + 3.0,
            targets: &targets,
            couriers: 1,
            classes: &[class(AIM_S, "notice", "idempotency_key", 600_000, false)],
            zone: "kingston",
            slots: DESTINATIONS as u32,
            batch: 1,
            // Shedding begins below the limit.
            max_pending_messages: 2 * size as u32,
        };
        configuration.write(&folder.0).map_err(|error| NotRun::failed("the configuration", error))
    }

    /// What the endpoints see is answered: deliveries are taken, or told to wait for an hour. Ends when `enough`
    /// messages were tried, or after a while; gives how many were.
    fn answer(
        &self,
        deliver: bool,
        enough: usize,
        patience: Duration,
        guard: &Guard,
    ) -> Result<usize, NotRun> {
        let end = Instant::now() + patience;
        let mut tried = HashSet::new();
        while tried.len() < enough && Instant::now() < end {
            guard.check()?;
            match self.seen.recv_timeout(SLOW_LOOK) {
                Ok(Seen::Call(call)) => {
                    tried.insert(call.id.clone());
                    if deliver {
                        call.answer("200 OK", "");
                    } else {
                        call.answer("429 Too Many Requests", "X-Come-Back-Ms: 3600000\r\n");
                    }
                }
                Ok(Seen::Notification(_)) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        Ok(tried.len())
    }
}

/// A restarted courier, as of its first `+PONG`.
struct Ready {
    /// Lives as long as this.
    _process: Process,
    ms: f64,
    cpu_ns: f64,
    peak: u64,
}

pub fn sweep(sweep: &Sweep, courier: &Path, guard: &Guard) -> Vec<Point> {
    let surroundings = Surroundings::new();
    let point = |size: u64| {
        let surroundings = surroundings.as_ref().map_err(Clone::clone)?;
        one(surroundings, courier, size, guard)
    };
    let sizes = sweep.sizes.iter().map(|size| *size.get_ref());
    sizes.map(|size| point(size).unwrap_or_else(|why| Point::not_run(size, &why))).collect()
}

fn one(surroundings: &Surroundings, courier: &Path, size: u64, guard: &Guard) -> Result<Point, NotRun> {
    guard.check()?;
    let folder = Folder::new(size)?;
    surroundings.configure(&folder, ([127, 0, 0, 1], 0).into(), size)?;
    let process = start(courier, &folder)?;
    let line = listening(&process, guard)?;
    let address =
        address_in(&line).ok_or_else(|| NotRun::Failed("the courier tells no address".to_owned()))?;
    fill(surroundings, address, size, guard, &process)?;
    drop(process);
    let journal = folder.journal_bytes();
    // The same address, as its clients know no other.
    surroundings.configure(&folder, address, size)?;
    let (mut ms, mut cpu, mut peak) = (Vec::new(), Vec::new(), 0);
    let mut last = None;
    for _ in 0..RESTARTS {
        // The one before has to be gone first.
        drop(last.take());
        // Nor may its last calls count as tries of the next one.
        surroundings.answer(false, usize::MAX, SLOW_LOOK, guard)?;
        let ready = restart(courier, &folder, address, guard)?;
        ms.push(ready.ms);
        cpu.push(ready.cpu_ns);
        peak = peak.max(ready.peak);
        last = Some(ready);
    }
    let begun = Instant::now();
    let tried = surroundings.answer(true, size as usize, TRIES, guard)?;
    let took = begun.elapsed();
    drop(last);
    info!(size, journal, tried, ?took, "restarted");
    let figures = [
        (Figure::ReadyMs, median(&mut ms)),
        (Figure::ReadyCpuNs, median(&mut cpu)),
        (Figure::ProcessBytes, Some((peak << 10) as f64)),
        (Figure::JournalBytes, Some(journal as f64)),
        (Figure::AttemptedRatio, Some(tried as f64 / size as f64)),
        (Figure::AllAttemptedMs, (tried as u64 == size).then_some(took.as_secs_f64() * 1e3)),
    ];
    let figures = figures.into_iter().filter_map(|(figure, value)| Some((figure, value?)));
    Ok(Point::ran(size, Figures::from_iter(figures)))
}

/// Waits for the line of the log that tells where a courier listens.
fn listening(process: &Process, guard: &Guard) -> Result<String, NotRun> {
    let end = Instant::now() + READY;
    while Instant::now() < end {
        guard.check()?;
        if let Ok(line) = process.log_times("listening", 1, SLOW_LOOK) {
            return Ok(line);
        }
    }
    Err(NotRun::Failed(format!("the courier does not come up within {READY:?}")))
}

fn start(courier: &Path, folder: &Folder) -> Result<Process, NotRun> {
    Process::start(courier, &folder.0).map_err(|error| NotRun::failed("the courier cannot be started", error))
}

/// Hands the messages in, and has each destination tell a wait.
fn fill(
    surroundings: &Surroundings,
    address: SocketAddr,
    size: u64,
    guard: &Guard,
    process: &Process,
) -> Result<(), NotRun> {
    let failed = |error| NotRun::failed("handing in", error);
    let mut client = Client::connect(address, ANSWER).map_err(failed)?;
    let mut number = 0;
    while number < size {
        let some = AT_A_TIME.min(size - number);
        let mut bytes = Vec::new();
        for number in number..number + some {
            let (id, to) = (format!("m{number:015}"), 1 + number % DESTINATIONS);
            let fields = format!("d={},c=notice,k=k{number},dest={to}", AIM_S * 8000);
            bytes.extend(command(&[b"ENQUEUE", &b"0"[..], id.as_bytes(), fields.as_bytes(), &BODY]));
        }
        client.try_send(&bytes).map_err(failed)?;
        for _ in 0..some {
            let answer = client.try_line().map_err(failed)?;
            if answer != "+OK" {
                return Err(NotRun::Failed(format!("a message was answered '{answer}'")));
            }
        }
        number += some;
        surroundings.answer(false, DESTINATIONS as usize, LOOK, guard)?;
        guard.check_with(process.status_value("VmRSS").unwrap_or(0) << 10)?;
    }
    // Calls that are still on their way come at once.
    surroundings.answer(false, DESTINATIONS as usize, 4 * SLOW_LOOK, guard)?;
    Ok(())
}

/// Starts a courier on what the one before left, and waits until it serves.
fn restart(courier: &Path, folder: &Folder, address: SocketAddr, guard: &Guard) -> Result<Ready, NotRun> {
    let begun = Instant::now();
    let process = start(courier, folder)?;
    let mut client = loop {
        match Client::connect(address, ANSWER) {
            Ok(client) => break client,
            Err(error) if begun.elapsed() > READY => return Err(NotRun::failed("the courier", error)),
            Err(_) => {
                guard.check_with(process.status_value("VmRSS").unwrap_or(0) << 10)?;
                thread::sleep(LOOK);
            }
        }
    };
    client.try_send(&command(&["PING"])).map_err(|error| NotRun::failed("PING", error))?;
    let answer = client.try_line().map_err(|error| NotRun::failed("PING", error))?;
    if answer != "+PONG" {
        return Err(NotRun::Failed(format!("PING was answered '{answer}'")));
    }
    let ms = begun.elapsed().as_secs_f64() * 1e3;
    let schedule = std::fs::read_to_string(format!("/proc/{}/schedstat", process.child.id()));
    let cpu = schedule.ok().and_then(|text| text.split(' ').next()?.parse().ok());
    let cpu_ns =
        cpu.ok_or_else(|| NotRun::Failed("the courier's processor time cannot be told".to_owned()))?;
    let peak = process.status_value("VmHWM").unwrap_or(0);
    Ok(Ready { _process: process, ms, cpu_ns, peak })
}
