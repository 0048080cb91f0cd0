//! The sweeps of the watch: many hollow couriers with the real list reader, the real watch and the real decisions on
//! when to ask again, on real time and loopback, at one discovery. Measured is how long all of them need to have a
//! change, as it is told to open watches, and as all come back at once; and what that costs both sides.

use crate::bounds::{allocated, Guard, NotRun};
use crate::endpoint_script::Script;
use crate::experiment::{Experiment, Kind, Sweep};
use crate::figures::{Figure, Figures, Point};
use crate::fit::median;
use crate::processor_time::processor_time;
use crate::simulated_gateway::{directory_for, SimulatedGateway};
use crate::stubs::discovery::Capacity;
use crate::stubs::{locked, target, Agent};
use delivery_gateway::discovery::{DiscoveryUpdate, EndpointDirectory, EndpointWatch, WatchEvent};
use delivery_gateway::*;
use rustix::process::{getrlimit, Resource};
use serde_json::{json, Value};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tracing::info;

/// Descriptors of a watcher: its own socket, and three of the stand-in.
const DESCRIPTORS: u64 = 4;
const OTHER_DESCRIPTORS: u64 = 200;
/// Until all watch for the first time, and beyond the time within which a change has to be in force.
const FIRST: Duration = Duration::from_secs(15);
const BEYOND: Duration = Duration::from_secs(4);
/// Changes that are told to open watches, one after the other.
const CHANGES: u64 = 9;
/// Open watches hear that often that nothing has changed.
const BEAT: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(50);

/// What a watcher has heard.
enum WatcherProgress {
    Watching,
    /// A version of the list, which it has taken in.
    Has(u64),
}

/// One hollow courier and its watch.
struct Watcher {
    gateway: SimulatedGateway,
    directory: EndpointDirectory,
    begun: Instant,
    passed: Duration,
}

impl Watcher {
    /// Lets the module's clock come up to the present.
    fn catch_up(&mut self) {
        let now = self.begun.elapsed();
        self.gateway.advance(now - self.passed);
        self.passed = now;
    }

    /// Follows the list as the real courier's loop does.
    async fn run(
        mut self,
        agent: watch::Receiver<String>,
        rev: u64,
        heard: mpsc::UnboundedSender<WatcherProgress>,
    ) {
        let (news, mut told) = mpsc::unbounded_channel();
        let (ask_again, again) = watch::channel(());
        let first = self.gateway.initial_watch_delay();
        let tell = move |what| drop(news.send(what));
        tokio::task::spawn_local(EndpointWatch { agent, revision: rev, reconnect: again }.run(first, tell));
        loop {
            let wake = self.gateway.next_event_in();
            let what = tokio::select! {
                what = told.recv() => match what {
                    Some(what) => Some(what),
                    None => return,
                },
                () = tokio::time::sleep(wake.unwrap_or_default()), if wake.is_some() => None,
            };
            self.catch_up();
            match what {
                Some(WatchEvent::Updated(update)) => {
                    self.gateway.handle(Event::EndpointsUpdated(self.directory.apply(&update)));
                    let _ = heard.send(WatcherProgress::Has(update.revision));
                }
                Some(WatchEvent::Established) => {
                    self.gateway.handle(Event::WatchEstablished);
                    let _ = heard.send(WatcherProgress::Watching);
                }
                Some(WatchEvent::Broken(why)) => self.gateway.handle(Event::EndpointsUpdated(why)),
                None => {}
            }
            self.gateway.decide();
            if self.gateway.takes_watch_request() {
                ask_again.send_replace(());
            }
        }
    }
}

pub fn sweep(experiment: &Experiment, sweep: &Sweep, guard: &Guard) -> Vec<Point> {
    let sizes = sweep.sizes.iter().map(|size| *size.get_ref());
    let point = |size| one(experiment, sweep.kind(), size, guard);
    sizes.map(|size| point(size).unwrap_or_else(|why| Point::not_run(size, &why))).collect()
}

fn one(experiment: &Experiment, kind: Kind, size: u64, guard: &Guard) -> Result<Point, NotRun> {
    guard.check()?;
    let needed = DESCRIPTORS * size + OTHER_DESCRIPTORS;
    if let Some(most) = getrlimit(Resource::Nofile).current.filter(|most| *most < needed) {
        return Err(NotRun::Failed(format!("it needs {needed} descriptors, of which {most} are allowed")));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| NotRun::failed("the runtime", error))?;
    let agent = Agent::start(&channel().0).map_err(|error| NotRun::failed("discovery's stand-in", error))?;
    let agent = Arc::new(agent);
    let beats = beat(agent.clone());
    let point = LocalSet::new().block_on(&runtime, async {
        let mut fleet = Fleet::new(experiment, size, agent.clone(), guard);
        fleet.begin().await?;
        match kind {
            Kind::WatchersReconnect => fleet.suggested_retry_after(experiment).await,
            _ => fleet.hear().await,
        }
    });
    drop(beats);
    agent.break_watches();
    point
}

/// Tells open watches that nothing has changed, until the returned end is dropped.
fn beat(agent: Arc<Agent>) -> std::sync::mpsc::Sender<()> {
    let (end, ended) = channel();
    thread::spawn(move || {
        while ended.recv_timeout(BEAT) == Err(RecvTimeoutError::Timeout) {
            agent.send_heartbeat();
        }
    });
    end
}

/// The watchers of one size.
struct Fleet<'a> {
    size: u64,
    agent: Arc<Agent>,
    guard: &'a Guard,
    heard: mpsc::UnboundedReceiver<WatcherProgress>,
    watchers: Vec<tokio::task::JoinHandle<()>>,
    /// Keeps the agent's address told.
    _address: watch::Sender<String>,
    targets: Vec<Value>,
    rev: u64,
    memory: u64,
    first_ms: f64,
}

impl<'a> Fleet<'a> {
    fn new(experiment: &Experiment, size: u64, agent: Arc<Agent>, guard: &'a Guard) -> Self {
        let before = allocated();
        let (hear, heard) = mpsc::unbounded_channel();
        let (address, addresses) = watch::channel(agent.address.to_string());
        let nowhere = ([127, 0, 0, 1], 9).into();
        let entries = *experiment.discovery.entries.get_ref() as u32;
        let targets: Vec<Value> =
            (1..=entries).map(|to| target(&format!("s-{to}"), nowhere, to, "SERVING", 10.0)).collect();
        let known = json!({"rev": 1, "all": true, "targets": targets});
        // What is written here can be read.
        let known: Rc<DiscoveryUpdate> = Rc::new(serde_json::from_value(known).unwrap_or_default());
        let settings = Settings { fleet_size: size as u32, ..Settings::default() };
        let mut watchers = Vec::new();
        for number in 0..size {
            let script = Script::with_latency(experiment.work.latency());
            let mut gateway = SimulatedGateway::new(settings.clone(), experiment.seed + number, script);
            let mut directory = directory_for(&settings);
            gateway.handle(Event::EndpointsUpdated(directory.apply(&known)));
            let watcher = Watcher { gateway, directory, begun: Instant::now(), passed: Duration::ZERO };
            watchers.push(tokio::task::spawn_local(watcher.run(addresses.clone(), 1, hear.clone())));
        }
        let memory = allocated().saturating_sub(before);
        Fleet {
            size,
            agent,
            guard,
            heard,
            watchers,
            _address: address,
            targets,
            rev: 1,
            memory,
            first_ms: f64::NAN,
        }
    }

    /// Waits until so many watchers are heard to have got there; gives how many did in time.
    async fn until(
        &mut self,
        got: impl Fn(&WatcherProgress) -> bool,
        patience: Duration,
    ) -> Result<u64, NotRun> {
        let end = Instant::now() + patience;
        let mut count = 0;
        while count < self.size && Instant::now() < end {
            self.guard.check()?;
            if let Ok(Some(heard)) = tokio::time::timeout(LOOK, self.heard.recv()).await {
                count += u64::from(got(&heard));
            }
        }
        Ok(count)
    }

    async fn begin(&mut self) -> Result<(), NotRun> {
        let begun = Instant::now();
        let watching = self.until(|heard| matches!(heard, WatcherProgress::Watching), FIRST).await?;
        if watching < self.size {
            return Err(NotRun::Failed(format!("{watching} of {} watch after {FIRST:?}", self.size)));
        }
        self.first_ms = millis(begun.elapsed());
        info!(watchers = self.size, first_ms = self.first_ms, "all watch");
        Ok(())
    }

    /// The next change of one entry, as a line of the watch.
    fn change(&mut self) -> String {
        let at = self.rev as usize % self.targets.len();
        self.rev += 1;
        let entry = &mut self.targets[at];
        let state = if entry["state"] == "SERVING" { "DRAINING" } else { "SERVING" };
        entry["state"] = state.into();
        format!("{}\n", json!({"rev": self.rev, "all": false, "targets": [entry]}))
    }

    /// Changes are told to open watches.
    async fn hear(mut self) -> Result<Point, NotRun> {
        let (mut all, mut cpu) = (Vec::new(), Vec::new());
        let bytes = self.agent.state.bytes_sent.load(Ordering::SeqCst);
        for _ in 0..CHANGES {
            let line = self.change();
            let (begun, spent) = (Instant::now(), processor_time());
            let agent = self.agent.clone();
            let telling = thread::spawn(move || agent.announce(&line));
            let rev = self.rev;
            let has =
                move |heard: &WatcherProgress| matches!(heard, WatcherProgress::Has(own) if *own == rev);
            let have = self.until(has, BEYOND).await?;
            all.push(millis(begun.elapsed()));
            cpu.push((processor_time() - spent).as_nanos() as f64);
            let _ = telling.join();
            if have < self.size {
                return Err(NotRun::Failed(format!("{have} of {} have the change", self.size)));
            }
        }
        let bytes = (self.agent.state.bytes_sent.load(Ordering::SeqCst) - bytes) as f64 / CHANGES as f64;
        let figures = [
            (Figure::FirstWatchMs, Some(self.first_ms)),
            (Figure::AllUpdatedMs, median(&mut all)),
            (Figure::WatchersNs, median(&mut cpu)),
            (Figure::SentBytes, Some(bytes)),
            (Figure::MemoryBytes, Some(self.memory as f64)),
        ];
        Ok(Point::ran(self.size, present(figures)))
    }

    /// All watches break at once, and a change comes just then.
    async fn suggested_retry_after(mut self, experiment: &Experiment) -> Result<Point, NotRun> {
        let state = self.agent.state.clone();
        let counted = || {
            let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::SeqCst) as f64;
            (count(&state.connections), count(&state.rejected_watches), count(&state.bytes_sent))
        };
        let before = counted();
        let per_s = *experiment.discovery.watches_per_s.get_ref() as f64;
        *locked(&state.capacity) = Some(Capacity::new(per_s));
        let line = self.change();
        let begun = Instant::now();
        self.agent.break_watches();
        self.agent.announce(&line);
        let rev = self.rev;
        let has = move |heard: &WatcherProgress| matches!(heard, WatcherProgress::Has(own) if *own == rev);
        let in_force = Duration::from_secs_f64(experiment.target.in_force_s);
        let in_time = self.until(has, in_force).await?;
        let mut have = in_time;
        if have < self.size {
            let left = self.size;
            self.size -= have;
            have += self.until(has, BEYOND).await?;
            self.size = left;
        }
        let took = millis(begun.elapsed());
        let after = counted();
        info!(watchers = self.size, in_time, have, took, "came back");
        let figures = [
            (Figure::AllUpdatedMs, Some(took)),
            (Figure::InForceRatio, Some(in_time as f64 / self.size as f64)),
            (Figure::Connections, Some(after.0 - before.0)),
            (Figure::Rejections, Some(after.1 - before.1)),
            (Figure::SentBytes, Some(after.2 - before.2)),
        ];
        let late = self.size - have;
        let note =
            (late > 0).then(|| format!("{late} did not have it even then: 'all have it' is a lower bound"));
        Ok(Point { note, ..Point::ran(self.size, present(figures)) })
    }
}

impl Drop for Fleet<'_> {
    fn drop(&mut self) {
        self.watchers.iter().for_each(|watcher| watcher.abort());
    }
}

fn present(figures: impl IntoIterator<Item = (Figure, Option<f64>)>) -> Figures {
    figures.into_iter().filter_map(|(figure, value)| Some((figure, value?))).collect()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
