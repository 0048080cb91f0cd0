//! The sweeps of the module alone: what a hollow courier is brought to for each size, and what one step of it is.
//!
//! A step is one message taken, sent, and answered by the script's latency later, at the target's pace of events
//! for one courier; while a list changes, it is one changed entry, read as a line of the watch, and no message. All else is as the sweep sets it,
//! and what the sweep does not vary is the same at all its sizes.

use crate::bounds::{Guard, NotRun};
use crate::experiment::{Experiment, Kind};
use crate::processor_time::processor_time;
use crate::report::{Figure, Figures};
use crate::simulated::{reader, Hollow, Script};
use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate, EndpointDirectory};
use delivery_gateway::*;
use std::time::Duration;

/// Destinations that are sent to, where the sweep does not say otherwise; and where very many calls are out.
const WORKED: u64 = 64;
const WORKED_MUCH: u64 = 1024;
/// Destinations at which the messages of `held-spread` wait.
const HOLDING: u64 = 64;
/// Calls a second that a destination takes from all couriers, as told: more than any sweep sends to it.
const AMPLE: f64 = 1e6;
/// The same where little can be sent, and for what is down.
const SCARCE: f64 = 0.1;
const MODEST: f64 = 10.0;
/// Endpoints of the target for each ten destinations.
const ENDPOINTS_OF_TEN: u64 = 23;
/// What waits, waits for longer than any run.
const LONG: Duration = Duration::from_secs(3600);
/// `loaded`: destinations that wait on told waits for so many endpoints, and messages held at each of them.
const LOADED: (u64, u64) = (2000, 65_536);
const LOADED_HELD: u64 = 5;
/// One in so many destinations that are down has a message that waits.
const WAITING_OF_DOWN: u64 = 10;
/// Outages that are set up began so long ago.
const DOWN_FOR: Duration = Duration::from_secs(60);
/// Slots beyond the calls that are out: destinations may have as many calls out as are free.
const SPARE_SLOTS: usize = 1024;
/// Entries that change in turn.
const CHANGING: usize = 256;
/// Steps beyond those until the first answer, and between two looks at the bounds meanwhile.
const SETTLING: u64 = 20;
/// Entries or messages that are set up between two looks at the bounds.
const BETWEEN_LOOKS: u64 = 1024;

/// A hollow courier that has been brought to its size.
pub struct Rig {
    pub hollow: Hollow,
    kind: Kind,
    worked: Vec<DestinationId>,
    /// The next of them, or the next change.
    at: usize,
    period: Duration,
    list: Option<List>,
    /// Bytes that are not the courier's.
    pub own: u64,
    /// What was measured while it was brought to its size.
    pub figures: Figures,
}

/// A list and its changes, in the words of discovery.
struct List {
    directory: EndpointDirectory,
    /// Lines of the watch.
    changes: Vec<Vec<u8>>,
}

impl List {
    /// So many endpoints. Gives what its reader makes of the whole of it, too, and what that took.
    fn new(endpoints: &[Endpoint], settings: &Settings) -> Result<(Self, EndpointUpdate, Figures), NotRun> {
        let failed = |error| NotRun::failed("the list", error);
        let named = |entry: &Endpoint, state: &str| DiscoveredEndpoint {
            uid: format!("s-{:08x}", entry.id.0),
            address: "127.0.0.1:9".into(),
            zone: "kingston".into(),
            kind: "banks".into(),
            destination: entry.destination.0,
            state: state.into(),
            capacity_hint: entry.weight,
        };
        let targets = endpoints.iter().map(|entry| named(entry, "SERVING")).collect();
        let whole =
            serde_json::to_vec(&DiscoveryUpdate { revision: 1, is_snapshot: true, endpoints: targets })
                .map_err(failed)?;
        let mut changes = Vec::new();
        for state in ["DRAINING", "SERVING"] {
            for entry in endpoints.iter().step_by(endpoints.len().div_ceil(CHANGING)) {
                let update =
                    DiscoveryUpdate { revision: 2, is_snapshot: false, endpoints: vec![named(entry, state)] };
                changes.push(serde_json::to_vec(&update).map_err(failed)?);
            }
        }
        let mut directory = reader(settings);
        let begun = processor_time();
        let update: DiscoveryUpdate = serde_json::from_slice(&whole).map_err(failed)?;
        let listing = directory.apply(&update);
        let took = (processor_time() - begun).as_nanos() as f64;
        let figures = Figures::from([(Figure::ListBytes, whole.len() as f64), (Figure::ListNs, took)]);
        Ok((List { directory, changes }, listing, figures))
    }

    fn own(&self) -> u64 {
        self.changes.iter().map(|line| (line.capacity() + size_of::<Vec<u8>>()) as u64).sum()
    }
}

fn destination(number: u64) -> Result<DestinationId, NotRun> {
    number.try_into().map(DestinationId).map_err(|_| NotRun::Destinations(number))
}

/// The endpoint with a place in the list.
fn endpoint_id(place: u64) -> Result<EndpointId, NotRun> {
    let number = u32::try_from(place + 1).map_err(|error| NotRun::failed("too many endpoints", error))?;
    Ok(EndpointId(number))
}

/// Destinations that wait in `loaded`.
fn loaded(endpoints: u64) -> u64 {
    endpoints * LOADED.0 / LOADED.1
}

fn entry(place: u64, to: u64, weight: f64) -> Result<Endpoint, NotRun> {
    Ok(Endpoint {
        id: endpoint_id(place)?,
        zone: ZoneId(0),
        kind: DestinationKindId(0),
        destination: destination(to)?,
        mode: Availability::Ready,
        weight,
    })
}

/// What differs between sweeps: endpoints by destination and weight, the first `worked` destinations of which are
/// sent to.
struct Layout {
    entries: Vec<Endpoint>,
    worked: u64,
}

impl Layout {
    /// Destinations of one endpoint each: those sent to, then others.
    fn apart(worked: u64, others: u64, weight: f64) -> Result<Self, NotRun> {
        let weight_of = |n| if n < worked { AMPLE } else { weight };
        let entries = (0..worked + others).map(|n| entry(n, n, weight_of(n))).collect::<Result<_, _>>()?;
        Ok(Layout { entries, worked })
    }

    /// So many endpoints, all sent to.
    fn shared(endpoints: u64) -> Result<Self, NotRun> {
        let to = |n: u64| n * 10 / ENDPOINTS_OF_TEN;
        let entries = (0..endpoints).map(|n| entry(n, to(n), AMPLE)).collect::<Result<_, _>>()?;
        Ok(Layout { entries, worked: to(endpoints.saturating_sub(1)) + 1 })
    }
}

fn settings(experiment: &Experiment, slots: usize, held: u64) -> Settings {
    let class = Class { deadline: LONG * 2, ..Class::default() };
    Settings {
        fleet_size: experiment.target.couriers as u32,
        classes: vec![class],
        max_in_flight_calls: slots,
        // Shedding begins below the limit, and is no part of any sweep.
        max_pending_messages: 2 * held as usize + 100_000,
        max_attempts: 12,
        ..Settings::default()
    }
}

impl Rig {
    /// Brings a courier to a size.
    pub fn build(experiment: &Experiment, kind: Kind, size: u64, guard: &Guard) -> Result<Self, NotRun> {
        let work = &experiment.work;
        let Layout { entries, worked } = match kind {
            Kind::Endpoints | Kind::Loaded | Kind::ListChange => Layout::shared(size)?,
            Kind::QueuesTokenBucket => Layout::apart(WORKED, size, SCARCE)?,
            Kind::QueuesToldWait | Kind::Down => Layout::apart(WORKED, size, MODEST)?,
            Kind::HeldSpread => Layout::apart(WORKED, HOLDING, MODEST)?,
            Kind::HeldAtOne => Layout::apart(1, 0, AMPLE)?,
            Kind::CallsOut => Layout::apart(WORKED_MUCH, 0, AMPLE)?,
            Kind::Watchers | Kind::WatchersReturn | Kind::Journal => {
                return Err(NotRun::Failed(format!("{kind} is no sweep of the module")))
            }
        };
        let pace = AMPLE / experiment.target.couriers;
        let period = match kind {
            // As many calls are out as go in the time that one takes.
            Kind::CallsOut => work.latency().div_f64(size as f64),
            // What is taken is what can be sent, so that the queue stays as it is.
            Kind::HeldAtOne => Duration::from_secs_f64(pace.recip()),
            _ => Duration::from_secs_f64(experiment.target.event_ns() / 1e9),
        };
        let slots = if kind == Kind::CallsOut { 2 * size as usize } else { 0 } + SPARE_SLOTS;
        let script = Script {
            latency: work.latency(),
            jitter: Duration::from_millis(work.jitter_ms),
            down_after: Duration::from_millis(*work.down_ms.get_ref()),
            limit: work.limit_per_s,
            // Nothing is left of the limit, so that the pace does not grow.
            load_report: (kind == Kind::HeldAtOne)
                .then_some(LoadReport { headroom: 0.0, limit_per_sec: AMPLE }),
            down: match kind {
                Kind::Down => {
                    entries.iter().skip(WORKED as usize).take(size as usize).map(|e| e.id).collect()
                }
                _ => Default::default(),
            },
        };
        let settings = settings(experiment, slots, size);
        let mut hollow = Hollow::new(settings.clone(), experiment.seed, script);
        let (mut list, mut figures) = (None, Figures::new());
        if kind == Kind::ListChange {
            let (read, listing, measured) = List::new(&entries, &settings)?;
            (list, figures) = (Some(read), measured);
            drop(entries);
            let begun = processor_time();
            hollow.tell(Event::EndpointsUpdated(listing));
            let took = (processor_time() - begun).as_nanos() as f64;
            figures.entry(Figure::ListNs).and_modify(|reading| *reading += took);
        } else {
            hollow.tell(Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries)));
        }
        let mut worked: Vec<DestinationId> = (0..worked).map(destination).collect::<Result<_, _>>()?;
        if kind == Kind::Loaded {
            worked.drain(..loaded(size) as usize);
        }
        let own =
            list.as_ref().map_or(0, List::own) + (worked.capacity() * size_of::<DestinationId>()) as u64;
        let mut rig = Rig { hollow, kind, worked, at: 0, period, list, own, figures };
        rig.bring_to(size, guard)?;
        Ok(rig)
    }

    fn bring_to(&mut self, size: u64, guard: &Guard) -> Result<(), NotRun> {
        match self.kind {
            Kind::QueuesToldWait | Kind::QueuesTokenBucket | Kind::Down => {
                for number in 0..size {
                    if number % BETWEEN_LOOKS == 0 {
                        guard.check()?;
                    }
                    self.hold_up(number)?;
                }
            }
            Kind::HeldSpread => {
                for number in WORKED..WORKED + HOLDING {
                    self.told_wait(number)?;
                }
                for number in 0..size {
                    if number % BETWEEN_LOOKS == 0 {
                        guard.check()?;
                    }
                    self.hollow.hand_in(destination(WORKED + number % HOLDING)?);
                }
            }
            Kind::HeldAtOne => {
                for number in 0..size {
                    if number % BETWEEN_LOOKS == 0 {
                        guard.check()?;
                    }
                    self.hollow.hand_in(destination(0)?);
                }
            }
            Kind::Loaded => {
                for number in 0..loaded(size) {
                    // The first endpoint of the destination.
                    self.told_wait((number * ENDPOINTS_OF_TEN).div_ceil(10))?;
                    for _ in 0..LOADED_HELD {
                        self.hollow.hand_in(destination(number)?);
                    }
                }
            }
            _ => {}
        }
        self.hollow.decide();
        Ok(())
    }

    /// An endpoint tells its destination to wait.
    fn told_wait(&mut self, number: u64) -> Result<(), NotRun> {
        self.hollow.tell(Event::RetryAfter { endpoint: endpoint_id(number)?, delay: LONG });
        Ok(())
    }

    /// Makes one more destination one of those that the sweep counts.
    fn hold_up(&mut self, number: u64) -> Result<(), NotRun> {
        let to = destination(WORKED + number)?;
        let mut retry_after_delays = true;
        match self.kind {
            Kind::QueuesToldWait => self.told_wait(WORKED + number)?,
            Kind::Down => {
                let outage = CircuitRecord {
                    destination: to,
                    endpoint: None,
                    last_success_at: self.hollow.now() - DOWN_FOR,
                    failure_score: 6,
                    calls_lost: Some(true),
                    slow_start_since: None,
                    baseline_rate: 0.0,
                };
                self.hollow.tell(Event::CircuitRestored(outage));
                retry_after_delays = number.is_multiple_of(WAITING_OF_DOWN);
            }
            _ => {}
        }
        if retry_after_delays {
            self.hollow.hand_in(to);
        }
        Ok(())
    }

    pub fn step(&mut self) -> Result<(), NotRun> {
        self.hollow.pass(self.period);
        if let Some(List { directory, changes }) = &mut self.list {
            // As the watch and the real loop take one in.
            let update: DiscoveryUpdate = serde_json::from_slice(&changes[self.at])
                .map_err(|error| NotRun::failed("the list", error))?;
            self.hollow.tell(Event::EndpointsUpdated(directory.apply(&update)));
            directory.forget_removed(|_| false);
            self.at = (self.at + 1) % changes.len();
        } else {
            self.hollow.hand_in(self.worked[self.at]);
            self.at = (self.at + 1) % self.worked.len();
        }
        self.hollow.decide();
        Ok(())
    }

    /// Steps until the first answers have come, so that as many calls are out as will be from then on.
    pub fn settle(&mut self, latency: Duration, guard: &Guard) -> Result<(), NotRun> {
        let steps = (latency.as_secs_f64() / self.period.as_secs_f64() * 1.1) as u64 + SETTLING;
        for step in 0..steps {
            if step % SETTLING == 0 {
                guard.check()?;
            }
            self.step()?;
        }
        Ok(())
    }

    /// Whether the steps did what they are measured for.
    pub fn check(&self, delivered: u64, steps: u64) -> Result<(), NotRun> {
        let done = self.hollow.counts.delivered - delivered;
        if self.kind == Kind::ListChange || done * 10 >= steps * 8 {
            Ok(())
        } else {
            Err(NotRun::Work { done, steps })
        }
    }
}
