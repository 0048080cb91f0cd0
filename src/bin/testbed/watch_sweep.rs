//! The sweeps of the endpoint watch. Many simulated gateways watch one discovery, with the real directory, the real
//! watch and the real decisions on when to reconnect, in real time and over loopback.
//!
//! The sweeps measure the time until all gateways have a change, both when it is announced on open watches and when all
//! gateways reconnect at once, and the cost to the gateways and to discovery.

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

use crate::bounds::{allocated, NotRun, RunBounds};
use crate::endpoint_script::Script;
use crate::experiment::{Experiment, Kind, Sweep};
use crate::figures::{Figure, Figures, Point};
use crate::fit::median;
use crate::processor_time::processor_time;
use crate::simulated_gateway::{directory_for, SimulatedGateway};
use crate::stubs::discovery::{Discovery, WatchTokenBucket};
use crate::stubs::{locked, target, Agent};

/// The number of file descriptors for a watcher: its own socket, and three of discovery's stub.
const DESCRIPTORS_OF_WATCHER: u64 = 4;
/// The number of file descriptors for the rest of this process.
const OTHER_DESCRIPTORS: u64 = 200;
/// The maximum time from the creation of the watchers until all have their first watch.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum time from the announcement of a change until all watchers have it. When the watches break, the target's
/// time for a change is added.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// The number of changes that are announced on open watches, one after another.
const CHANGES: u64 = 9;
/// The interval between heartbeats on open watches.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum time between two checks of the bounds.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An event that a watcher reports.
enum WatcherProgress {
    /// Its watch is established.
    Watching,
    /// It has applied the list up to this revision.
    Updated(u64),
}

/// One simulated gateway and its watch.
struct Watcher {
    gateway: SimulatedGateway,
    directory: EndpointDirectory,
    begun_at: Instant,
    /// The real time since `begun_at` to which the gateway's clock has advanced.
    advanced_to: Duration,
}

impl Watcher {
    /// Advances the gateway's clock to the current real time.
    fn advance_to_now(&mut self) {
        let now = self.begun_at.elapsed();
        self.gateway.advance(now - self.advanced_to);
        self.advanced_to = now;
    }

    /// Runs the watch and steps the scheduler as the real gateway's event loop does, until the watch ends.
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
            self.advance_to_now();
            if let Some(event) = event {
                self.handle(event, &progress);
            }
            self.gateway.decide();
            if self.gateway.take_watch_request() {
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

/// Measures a sweep of the watch. Returns a point for each size, with its figures or the reason why it was not run.
pub fn sweep(experiment: &Experiment, sweep: &Sweep, bounds: &RunBounds) -> Vec<Point> {
    let point = |size| measure(experiment, sweep.kind(), size, bounds);
    sweep.sizes().map(|size| point(size).unwrap_or_else(|reason| Point::not_run(size, &reason))).collect()
}

fn measure(experiment: &Experiment, kind: Kind, size: u64, bounds: &RunBounds) -> Result<Point, NotRun> {
    bounds.check()?;
    check_descriptors(size)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| NotRun::failed("cannot create the async runtime", error))?;
    let agent =
        Agent::start(&channel().0).map_err(|error| NotRun::failed("cannot start discovery's stub", error))?;
    let agent = Arc::new(agent);
    let heartbeats = send_heartbeats(agent.clone());
    let point = LocalSet::new().block_on(&runtime, async {
        let mut fleet = Fleet::new(experiment, size, agent.clone(), bounds);
        fleet.wait_for_first_watches().await?;
        match kind {
            Kind::WatchersReconnect => fleet.reconnect(experiment).await,
            _ => fleet.follow_changes().await,
        }
    });
    drop(heartbeats);
    agent.break_watches();
    point
}

/// Returns an error if the watchers need more file descriptors than this process may open.
fn check_descriptors(size: u64) -> Result<(), NotRun> {
    let needed = DESCRIPTORS_OF_WATCHER * size + OTHER_DESCRIPTORS;
    match getrlimit(Resource::Nofile).current {
        Some(allowed) if allowed < needed => Err(NotRun::Failed(format!(
            "the size needs {needed} file descriptors, but the limit is {allowed}"
        ))),
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

/// The counts of discovery's stub at one time.
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

/// The watchers of one size. They end when this is dropped.
struct Fleet<'a> {
    size: u64,
    agent: Arc<Agent>,
    bounds: &'a RunBounds,
    progress: mpsc::UnboundedReceiver<WatcherProgress>,
    watchers: Vec<JoinHandle<()>>,
    /// Provides the watchers with the agent's address. The watches end when this is dropped.
    _agent_address: watch::Sender<String>,
    /// The entries of the endpoint list.
    entries: Vec<Value>,
    /// The current revision of the endpoint list.
    revision: u64,
    /// The memory that was allocated to create all watchers.
    memory_bytes: u64,
    /// Not a number until [`Fleet::wait_for_first_watches`] has succeeded.
    first_watch_ms: f64,
}

impl<'a> Fleet<'a> {
    /// Starts the watchers, which already have the complete list.
    fn new(experiment: &Experiment, size: u64, agent: Arc<Agent>, bounds: &'a RunBounds) -> Self {
        let before = allocated();
        let (report, progress) = mpsc::unbounded_channel();
        let (agent_address, addresses) = watch::channel(agent.address.to_string());
        let entries = list_entries(*experiment.discovery.entries.get_ref() as u32);
        let revision = 1;
        let list = json!({"rev": revision, "all": true, "targets": entries});
        // Decoding cannot fail, because the list was encoded above.
        let list: DiscoveryUpdate = serde_json::from_value(list).unwrap_or_default();
        let settings = Settings { fleet_size: size as u32, ..Settings::default() };
        let mut watchers = Vec::new();
        for number in 0..size {
            let script = Script::with_latency(experiment.work.latency());
            let mut gateway = SimulatedGateway::new(settings.clone(), experiment.seed + number, script);
            let mut directory = directory_for(&settings);
            gateway.handle(Event::EndpointsUpdated(directory.apply(&list)));
            let watcher =
                Watcher { gateway, directory, begun_at: Instant::now(), advanced_to: Duration::ZERO };
            let run = watcher.run(addresses.clone(), revision, report.clone());
            watchers.push(tokio::task::spawn_local(run));
        }
        let memory_bytes = allocated().saturating_sub(before);
        Fleet {
            size,
            agent,
            bounds,
            progress,
            watchers,
            _agent_address: agent_address,
            entries,
            revision,
            memory_bytes,
            first_watch_ms: f64::NAN,
        }
    }

    /// Waits until `watchers` awaited progress reports have arrived or `timeout` has passed. Returns the number of
    /// reports that arrived in time.
    async fn wait_for(
        &mut self,
        watchers: u64,
        is_awaited: impl Fn(&WatcherProgress) -> bool,
        timeout: Duration,
    ) -> Result<u64, NotRun> {
        let end = Instant::now() + timeout;
        let mut count = 0;
        while count < watchers && Instant::now() < end {
            self.bounds.check()?;
            if let Ok(Some(progress)) = tokio::time::timeout(CHECK_INTERVAL, self.progress.recv()).await {
                count += u64::from(is_awaited(&progress));
            }
        }
        Ok(count)
    }

    /// Waits until `watchers` watchers have the current revision of the list or `timeout` has passed. Returns the
    /// number of watchers that got it in time.
    async fn wait_for_update(&mut self, watchers: u64, timeout: Duration) -> Result<u64, NotRun> {
        let revision = self.revision;
        let is_update = move |progress: &WatcherProgress| match progress {
            WatcherProgress::Updated(own) => *own == revision,
            WatcherProgress::Watching => false,
        };
        self.wait_for(watchers, is_update, timeout).await
    }

    /// Waits until all watchers have their first watch.
    async fn wait_for_first_watches(&mut self) -> Result<(), NotRun> {
        let begun_at = Instant::now();
        let is_watching = |progress: &WatcherProgress| matches!(progress, WatcherProgress::Watching);
        let watching = self.wait_for(self.size, is_watching, FIRST_WATCH_TIMEOUT).await?;
        if watching < self.size {
            let reason = format!(
                "only {watching} of {} watchers have a watch after {FIRST_WATCH_TIMEOUT:?}",
                self.size
            );
            return Err(NotRun::Failed(reason));
        }
        self.first_watch_ms = millis(begun_at.elapsed());
        info!(watchers = self.size, first_watch_ms = self.first_watch_ms, "all watchers have a watch");
        Ok(())
    }

    /// Changes the state of one entry, increments the revision, and returns the change as a line of the watch.
    fn change_entry(&mut self) -> String {
        let index = self.revision as usize % self.entries.len();
        self.revision += 1;
        let entry = &mut self.entries[index];
        let state = if entry["state"] == "SERVING" { "DRAINING" } else { "SERVING" };
        entry["state"] = state.into();
        format!("{}\n", json!({"rev": self.revision, "all": false, "targets": [entry]}))
    }

    /// Measures changes that are announced on open watches, one after another.
    async fn follow_changes(mut self) -> Result<Point, NotRun> {
        let mut all_updated_ms = Vec::new();
        let mut watchers_ns = Vec::new();
        let before = DiscoveryCounts::of(&self.agent.state);
        for _ in 0..CHANGES {
            let line = self.change_entry();
            let begun_at = Instant::now();
            let processor_time_before = processor_time();
            let agent = self.agent.clone();
            let announcing = thread::spawn(move || agent.announce(&line));
            let updated = self.wait_for_update(self.size, CHANGE_TIMEOUT).await?;
            all_updated_ms.push(millis(begun_at.elapsed()));
            watchers_ns.push((processor_time() - processor_time_before).as_nanos() as f64);
            let _ = announcing.join();
            if updated < self.size {
                return Err(NotRun::Failed(format!(
                    "only {updated} of {} watchers have the change after {CHANGE_TIMEOUT:?}",
                    self.size
                )));
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
        Ok(Point::ran(self.size, measured_figures(figures)))
    }

    /// Measures a change that happens just as all watches break, at a discovery that limits new watches per second.
    async fn reconnect(mut self, experiment: &Experiment) -> Result<Point, NotRun> {
        let state = self.agent.state.clone();
        let before = DiscoveryCounts::of(&state);
        let watches_per_s = *experiment.discovery.watches_per_s.get_ref() as f64;
        *locked(&state.watch_limit) = Some(WatchTokenBucket::new(watches_per_s));
        let line = self.change_entry();
        let begun_at = Instant::now();
        self.agent.break_watches();
        self.agent.announce(&line);
        let in_force = Duration::from_secs_f64(experiment.target.in_force_s);
        let in_time = self.wait_for_update(self.size, in_force).await?;
        let late = match self.size - in_time {
            0 => 0,
            remaining => self.wait_for_update(remaining, CHANGE_TIMEOUT).await?,
        };
        let took_ms = millis(begun_at.elapsed());
        let after = DiscoveryCounts::of(&state);
        info!(watchers = self.size, in_time, late, took_ms, "reconnection of the watchers measured");
        let figures = [
            (Figure::AllUpdatedMs, Some(took_ms)),
            (Figure::InForceRatio, Some(in_time as f64 / self.size as f64)),
            (Figure::Connections, Some(after.connections - before.connections)),
            (Figure::Rejections, Some(after.rejections - before.rejections)),
            (Figure::SentBytes, Some(after.bytes_sent - before.bytes_sent)),
        ];
        let never_updated = self.size - in_time - late;
        let note = (never_updated > 0).then(|| {
            format!("{never_updated} watchers did not get the change: 'all updated' is a lower bound")
        });
        Ok(Point { note, ..Point::ran(self.size, measured_figures(figures)) })
    }
}

impl Drop for Fleet<'_> {
    fn drop(&mut self) {
        self.watchers.iter().for_each(|watcher| watcher.abort());
    }
}

/// Returns `count` entries of an endpoint list. No calls are made to them.
fn list_entries(count: u32) -> Vec<Value> {
    let address = ([127, 0, 0, 1], 9).into();
    let entry = |number| target(&format!("s-{number}"), address, number, "SERVING", 10.0);
    (1..=count).map(entry).collect()
}

/// Drops figures that were not measured.
fn measured_figures(figures: impl IntoIterator<Item = (Figure, Option<f64>)>) -> Figures {
    figures.into_iter().filter_map(|(figure, value)| Some((figure, value?))).collect()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
