//! The sweeps of the endpoint watch: many simulated gateways with the real directory, the real watch and the real
//! decisions on when to reconnect, on real time and loopback, at one discovery.
//!
//! Measured is how long all of them need until they have a change, as it is announced on open watches and as all
//! reconnect at once; and what that costs both sides.

use delivery_gateway::discovery::{DiscoveryUpdate, EndpointDirectory, EndpointWatch, WatchEvent};
use delivery_gateway::*;
use rustix::process::{getrlimit, Resource};
use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet};
use tracing::info;

use crate::bounds::{allocated, Guard, NotRun};
use crate::endpoint_script::Script;
use crate::experiment::{Experiment, Kind, Sweep};
use crate::figures::{Figure, Figures, Point};
use crate::fit::median;
use crate::processor_time::processor_time;
use crate::simulated_gateway::{directory_for, SimulatedGateway};
use crate::stubs::discovery::{Discovery, WatchTokenBucket};
use crate::stubs::{locked, target, Agent};

/// Descriptors of a watcher: its own socket, and three of the stub.
const DESCRIPTORS_OF_WATCHER: u64 = 4;
/// Descriptors of the rest of this process.
const OTHER_DESCRIPTORS: u64 = 200;
/// Longest time until all watch the list for the first time.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time until all have a change that was announced; after a reconnection, beyond the target's time for that.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Changes that are announced on open watches, one after the other.
const CHANGES: u64 = 9;
/// Interval of heartbeats on open watches.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time between two checks of the bounds.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a watcher reports.
enum WatcherProgress {
    /// Its watch is up.
    Watching,
    /// It has applied the list up to this revision.
    Updated(u64),
}

/// One simulated gateway and its watch.
struct Watcher {
    gateway: SimulatedGateway,
    directory: EndpointDirectory,
    begun_at: Instant,
    /// Real time up to which the gateway's clock has advanced.
    advanced: Duration,
}

impl Watcher {
    /// Advances the gateway's clock to the present.
    fn catch_up(&mut self) {
        let now = self.begun_at.elapsed();
        self.gateway.advance(now - self.advanced);
        self.advanced = now;
    }

    /// Follows the endpoint list as the real gateway's event loop does, until the watch ends.
    async fn run(
        mut self,
        agent: watch::Receiver<String>,
        revision: u64,
        progress: mpsc::UnboundedSender<WatcherProgress>,
    ) {
        let (send_event, mut events) = mpsc::unbounded_channel();
        let (request_watch, reconnect) = watch::channel(());
        let initial_delay = self.gateway.initial_watch_delay();
        let notify = move |event| drop(send_event.send(event));
        let watch = EndpointWatch { agent, revision, reconnect };
        tokio::task::spawn_local(watch.run(initial_delay, notify));
        loop {
            let next = self.gateway.next_event_in();
            let event = tokio::select! {
                event = events.recv() => match event {
                    Some(event) => Some(event),
                    None => return,
                },
                () = tokio::time::sleep(next.unwrap_or_default()), if next.is_some() => None,
            };
            self.catch_up();
            if let Some(event) = event {
                self.handle(event, &progress);
            }
            self.gateway.decide();
            if self.gateway.takes_watch_request() {
                request_watch.send_replace(());
            }
        }
    }

    fn handle(&mut self, event: WatchEvent, progress: &mpsc::UnboundedSender<WatcherProgress>) {
        match event {
            WatchEvent::Updated(update) => {
                self.gateway.handle(Event::EndpointsUpdated(self.directory.apply(&update)));
                let _ = progress.send(WatcherProgress::Updated(update.revision));
            }
            WatchEvent::Established => {
                self.gateway.handle(Event::WatchEstablished);
                let _ = progress.send(WatcherProgress::Watching);
            }
            WatchEvent::Broken(update) => self.gateway.handle(Event::EndpointsUpdated(update)),
        }
    }
}

/// Measures a sweep of the watch. Each size has its point, or the reason why it has none.
pub fn sweep(experiment: &Experiment, sweep: &Sweep, guard: &Guard) -> Vec<Point> {
    let point = |size| measure(experiment, sweep.kind(), size, guard);
    sweep.sizes().map(|size| point(size).unwrap_or_else(|reason| Point::not_run(size, &reason))).collect()
}

fn measure(experiment: &Experiment, kind: Kind, size: u64, guard: &Guard) -> Result<Point, NotRun> {
    guard.check()?;
    check_descriptors(size)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| NotRun::failed("the runtime", error))?;
    let agent = Agent::start(&channel().0).map_err(|error| NotRun::failed("discovery's stub", error))?;
    let agent = Arc::new(agent);
    let heartbeats = send_heartbeats(agent.clone());
    let point = LocalSet::new().block_on(&runtime, async {
        let mut fleet = Fleet::new(experiment, size, agent.clone(), guard);
        fleet.begin().await?;
        match kind {
            Kind::WatchersReconnect => fleet.reconnect(experiment).await,
            _ => fleet.follow_changes().await,
        }
    });
    drop(heartbeats);
    agent.break_watches();
    point
}

/// Whether this process may have as many descriptors as the watchers need.
fn check_descriptors(size: u64) -> Result<(), NotRun> {
    let needed = DESCRIPTORS_OF_WATCHER * size + OTHER_DESCRIPTORS;
    match getrlimit(Resource::Nofile).current {
        Some(allowed) if allowed < needed => {
            Err(NotRun::Failed(format!("it needs {needed} descriptors, of which {allowed} are allowed")))
        }
        _ => Ok(()),
    }
}

/// Sends heartbeats on open watches until the returned sender is dropped.
fn send_heartbeats(agent: Arc<Agent>) -> std::sync::mpsc::Sender<()> {
    let (end, ended) = channel();
    thread::spawn(move || {
        while ended.recv_timeout(HEARTBEAT_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            agent.send_heartbeat();
        }
    });
    end
}

/// What discovery's stub has counted.
struct DiscoveryCounts {
    connections: f64,
    rejections: f64,
    bytes_sent: f64,
}

impl DiscoveryCounts {
    fn of(discovery: &Discovery) -> Self {
        DiscoveryCounts {
            connections: discovery.connections.load(Ordering::SeqCst) as f64,
            rejections: discovery.rejected_watches.load(Ordering::SeqCst) as f64,
            bytes_sent: discovery.bytes_sent.load(Ordering::SeqCst) as f64,
        }
    }
}

/// The watchers of one size. They end when it is dropped.
struct Fleet<'a> {
    size: u64,
    agent: Arc<Agent>,
    guard: &'a Guard,
    progress: mpsc::UnboundedReceiver<WatcherProgress>,
    watchers: Vec<JoinHandle<()>>,
    /// The watches end when this is dropped.
    _agent_address: watch::Sender<String>,
    /// The entries of the endpoint list.
    entries: Vec<Value>,
    revision: u64,
    memory_bytes: u64,
    first_watch_ms: f64,
}

impl<'a> Fleet<'a> {
    /// Starts the watchers, which know the list already.
    fn new(experiment: &Experiment, size: u64, agent: Arc<Agent>, guard: &'a Guard) -> Self {
        let before = allocated();
        let (report, progress) = mpsc::unbounded_channel();
        let (agent_address, addresses) = watch::channel(agent.address.to_string());
        let entries = list_entries(*experiment.discovery.entries.get_ref() as u32);
        let revision = 1;
        let list = json!({"rev": revision, "all": true, "targets": entries});
        // What is written here can be read.
        let list: DiscoveryUpdate = serde_json::from_value(list).unwrap_or_default();
        let settings = Settings { fleet_size: size as u32, ..Settings::default() };
        let mut watchers = Vec::new();
        for number in 0..size {
            let script = Script::with_latency(experiment.work.latency());
            let mut gateway = SimulatedGateway::new(settings.clone(), experiment.seed + number, script);
            let mut directory = directory_for(&settings);
            gateway.handle(Event::EndpointsUpdated(directory.apply(&list)));
            let watcher = Watcher { gateway, directory, begun_at: Instant::now(), advanced: Duration::ZERO };
            let run = watcher.run(addresses.clone(), revision, report.clone());
            watchers.push(tokio::task::spawn_local(run));
        }
        let memory_bytes = allocated().saturating_sub(before);
        Fleet {
            size,
            agent,
            guard,
            progress,
            watchers,
            _agent_address: agent_address,
            entries,
            revision,
            memory_bytes,
            first_watch_ms: f64::NAN,
        }
    }

    /// Waits until so many watchers have reported some progress, and gives how many did in time.
    async fn wait_for(
        &mut self,
        watchers: u64,
        is_awaited: impl Fn(&WatcherProgress) -> bool,
        patience: Duration,
    ) -> Result<u64, NotRun> {
        let end = Instant::now() + patience;
        let mut count = 0;
        while count < watchers && Instant::now() < end {
            self.guard.check()?;
            if let Ok(Some(progress)) = tokio::time::timeout(CHECK_INTERVAL, self.progress.recv()).await {
                count += u64::from(is_awaited(&progress));
            }
        }
        Ok(count)
    }

    /// The same, until they have the present revision of the list.
    async fn wait_for_update(&mut self, watchers: u64, patience: Duration) -> Result<u64, NotRun> {
        let revision = self.revision;
        let is_update = move |progress: &WatcherProgress| match progress {
            WatcherProgress::Updated(own) => *own == revision,
            WatcherProgress::Watching => false,
        };
        self.wait_for(watchers, is_update, patience).await
    }

    /// Waits until all watch the list.
    async fn begin(&mut self) -> Result<(), NotRun> {
        let begun_at = Instant::now();
        let is_watching = |progress: &WatcherProgress| matches!(progress, WatcherProgress::Watching);
        let watching = self.wait_for(self.size, is_watching, FIRST_WATCH_TIMEOUT).await?;
        if watching < self.size {
            let reason = format!("{watching} of {} watch after {FIRST_WATCH_TIMEOUT:?}", self.size);
            return Err(NotRun::Failed(reason));
        }
        self.first_watch_ms = millis(begun_at.elapsed());
        info!(watchers = self.size, first_watch_ms = self.first_watch_ms, "all watch");
        Ok(())
    }

    /// The next change of one entry, as a line of the watch.
    fn change(&mut self) -> String {
        let index = self.revision as usize % self.entries.len();
        self.revision += 1;
        let entry = &mut self.entries[index];
        let state = if entry["state"] == "SERVING" { "DRAINING" } else { "SERVING" };
        entry["state"] = state.into();
        format!("{}\n", json!({"rev": self.revision, "all": false, "targets": [entry]}))
    }

    /// Measures changes that are announced on open watches.
    async fn follow_changes(mut self) -> Result<Point, NotRun> {
        let mut all_updated_ms = Vec::new();
        let mut watchers_ns = Vec::new();
        let before = DiscoveryCounts::of(&self.agent.state);
        for _ in 0..CHANGES {
            let line = self.change();
            let begun_at = Instant::now();
            let processor_time_before = processor_time();
            let agent = self.agent.clone();
            let announcing = thread::spawn(move || agent.announce(&line));
            let updated = self.wait_for_update(self.size, CHANGE_TIMEOUT).await?;
            all_updated_ms.push(millis(begun_at.elapsed()));
            watchers_ns.push((processor_time() - processor_time_before).as_nanos() as f64);
            let _ = announcing.join();
            if updated < self.size {
                return Err(NotRun::Failed(format!("{updated} of {} have the change", self.size)));
            }
        }
        let after = DiscoveryCounts::of(&self.agent.state);
        let figures = [
            (Figure::FirstWatchMs, Some(self.first_watch_ms)),
            (Figure::AllUpdatedMs, median(&mut all_updated_ms)),
            (Figure::WatchersNs, median(&mut watchers_ns)),
            (Figure::SentBytes, Some((after.bytes_sent - before.bytes_sent) / CHANGES as f64)),
            (Figure::MemoryBytes, Some(self.memory_bytes as f64)),
        ];
        Ok(Point::ran(self.size, present(figures)))
    }

    /// Measures a change that happens just as all watches break at once, at a discovery of limited capacity.
    async fn reconnect(mut self, experiment: &Experiment) -> Result<Point, NotRun> {
        let state = self.agent.state.clone();
        let before = DiscoveryCounts::of(&state);
        let watches_per_s = *experiment.discovery.watches_per_s.get_ref() as f64;
        *locked(&state.watch_limit) = Some(WatchTokenBucket::new(watches_per_s));
        let line = self.change();
        let begun_at = Instant::now();
        self.agent.break_watches();
        self.agent.announce(&line);
        let in_force = Duration::from_secs_f64(experiment.target.in_force_s);
        let in_time = self.wait_for_update(self.size, in_force).await?;
        let late = match self.size - in_time {
            0 => 0,
            left => self.wait_for_update(left, CHANGE_TIMEOUT).await?,
        };
        let took_ms = millis(begun_at.elapsed());
        let after = DiscoveryCounts::of(&state);
        info!(watchers = self.size, in_time, late, took_ms, "reconnected");
        let figures = [
            (Figure::AllUpdatedMs, Some(took_ms)),
            (Figure::InForceRatio, Some(in_time as f64 / self.size as f64)),
            (Figure::Connections, Some(after.connections - before.connections)),
            (Figure::Rejections, Some(after.rejections - before.rejections)),
            (Figure::SentBytes, Some(after.bytes_sent - before.bytes_sent)),
        ];
        let never = self.size - in_time - late;
        let note =
            (never > 0).then(|| format!("{never} did not have it even then: 'all updated' is a lower bound"));
        Ok(Point { note, ..Point::ran(self.size, present(figures)) })
    }
}

impl Drop for Fleet<'_> {
    fn drop(&mut self) {
        self.watchers.iter().for_each(|watcher| watcher.abort());
    }
}

/// So many entries of an endpoint list, which nobody calls.
fn list_entries(count: u32) -> Vec<Value> {
    let address = ([127, 0, 0, 1], 9).into();
    let entry = |number| target(&format!("s-{number}"), address, number, "SERVING", 10.0);
    (1..=count).map(entry).collect()
}

fn present(figures: impl IntoIterator<Item = (Figure, Option<f64>)>) -> Figures {
    figures.into_iter().filter_map(|(figure, value)| Some((figure, value?))).collect()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
