//! The subject of a sweep of the scheduler: a simulated gateway that is brought to a size, and then stepped.
//!
//! A step is one message accepted, sent, and responded to after the script's latency, at the rate of events that the
//! target has for one gateway; while a list changes, it is one changed entry, read as a line of the watch, and no
//! message. What the sweep does not vary is the same at all its sizes.

use delivery_gateway::*;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::bounds::{Guard, NotRun};
use crate::endpoint_script::Script;
use crate::experiment::{Experiment, Kind, Work};
use crate::figures::{Figure, Figures};
use crate::layout::{
    destination, endpoint_id, Layout, ACTIVE_DESTINATIONS, AMPLE_RATE, WAITING_DESTINATIONS,
};
use crate::list_changes::ListChanges;
use crate::processor_time::processor_time;
use crate::simulated_gateway::SimulatedGateway;

/// A Retry-After, and half of a deadline, that outlasts any run.
const BEYOND_ANY_RUN: Duration = Duration::from_secs(3600);
/// [`Kind::Loaded`]: of so many endpoints ...
const LOADED_ENDPOINTS: u64 = 65_536;
/// ... so many destinations wait for a Retry-After ...
const LOADED_DESTINATIONS: u64 = 2000;
/// ... with so many messages each.
const LOADED_MESSAGES: u64 = 5;
/// [`Kind::Down`]: one in so many destinations that are down has a message that waits.
const DOWN_WITH_MESSAGE: u64 = 10;
/// How long ago outages began that are set up.
const DOWN_SINCE: Duration = Duration::from_secs(60);
/// Failure score of an outage that is set up: enough for an open circuit.
const DOWN_FAILURE_SCORE: u32 = 6;
/// Call slots beyond the calls in flight: destinations may have as many calls as slots are free.
const SPARE_SLOTS: usize = 1024;
/// Messages that may be pending beyond twice those of the sweep: shedding begins below the limit, and is no part of any
/// sweep.
const SPARE_MESSAGES: usize = 100_000;
const MAX_ATTEMPTS: u32 = 12;
/// Steps beyond those until the first response, and between two checks of the bounds meanwhile.
const SETTLING_STEPS: u64 = 20;
/// Entries or messages that are set up between two checks of the bounds.
const SETUP_BETWEEN_CHECKS: u64 = 1024;

/// A simulated gateway that has been brought to a size.
pub struct SchedulerRig {
    pub gateway: SimulatedGateway,
    kind: Kind,
    /// Destinations that messages are sent to in turn.
    destinations: Vec<DestinationId>,
    next_destination: usize,
    /// Simulated time of a step.
    period: Duration,
    list_changes: Option<ListChanges>,
    /// Bytes that are the rig's and not the gateway's.
    pub own_bytes: u64,
    /// What was measured while it was brought to its size.
    pub figures: Figures,
}

impl SchedulerRig {
    /// Brings a gateway to a size.
    pub fn build(experiment: &Experiment, kind: Kind, size: u64, guard: &Guard) -> Result<Self, NotRun> {
        let Layout { endpoints, active_destinations } = Layout::of(kind, size)?;
        let settings = settings(experiment, kind, size);
        let script = script(&experiment.work, kind, size, &endpoints);
        let mut gateway = SimulatedGateway::new(settings.clone(), experiment.seed, script);
        let mut list_changes = None;
        let mut figures = Figures::new();
        if kind == Kind::ListChange {
            let list = ListChanges::read(&endpoints, &settings)?;
            drop(endpoints);
            figures = handle_snapshot(&mut gateway, list.snapshot, list.figures);
            list_changes = Some(list.changes);
        } else {
            gateway.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints)));
        }
        let mut destinations: Vec<DestinationId> =
            (0..active_destinations).map(destination).collect::<Result<_, _>>()?;
        if kind == Kind::Loaded {
            destinations.drain(..loaded_destinations(size) as usize);
        }
        let own_bytes = list_changes.as_ref().map_or(0, ListChanges::bytes)
            + (destinations.capacity() * size_of::<DestinationId>()) as u64;
        let mut rig = SchedulerRig {
            gateway,
            kind,
            destinations,
            next_destination: 0,
            period: period(experiment, kind, size),
            list_changes,
            own_bytes,
            figures,
        };
        rig.bring_to(size, guard)?;
        Ok(rig)
    }

    fn bring_to(&mut self, size: u64, guard: &Guard) -> Result<(), NotRun> {
        match self.kind {
            Kind::QueuesRetryAfter | Kind::QueuesTokenBucket | Kind::Down => {
                for number in 0..size {
                    check_at_times(number, guard)?;
                    self.make_wait(number)?;
                }
            }
            Kind::PendingSpread => {
                for number in ACTIVE_DESTINATIONS..ACTIVE_DESTINATIONS + WAITING_DESTINATIONS {
                    self.retry_after(number)?;
                }
                for number in 0..size {
                    check_at_times(number, guard)?;
                    let waiting = ACTIVE_DESTINATIONS + number % WAITING_DESTINATIONS;
                    self.gateway.enqueue(destination(waiting)?);
                }
            }
            Kind::PendingAtOne => {
                for number in 0..size {
                    check_at_times(number, guard)?;
                    self.gateway.enqueue(destination(0)?);
                }
            }
            Kind::Loaded => {
                for number in 0..loaded_destinations(size) {
                    self.retry_after(Layout::first_endpoint_of(number))?;
                    for _ in 0..LOADED_MESSAGES {
                        self.gateway.enqueue(destination(number)?);
                    }
                }
            }
            _ => {}
        }
        self.gateway.decide();
        Ok(())
    }

    /// The endpoint at an index has its destination wait.
    fn retry_after(&mut self, index: u64) -> Result<(), NotRun> {
        let endpoint = endpoint_id(index)?;
        self.gateway.handle(Event::RetryAfter { endpoint, delay: BEYOND_ANY_RUN });
        Ok(())
    }

    /// Makes one more destination one of those that the sweep counts.
    fn make_wait(&mut self, number: u64) -> Result<(), NotRun> {
        let waiting = destination(ACTIVE_DESTINATIONS + number)?;
        let mut has_message = true;
        match self.kind {
            Kind::QueuesRetryAfter => self.retry_after(ACTIVE_DESTINATIONS + number)?,
            Kind::Down => {
                self.open_circuit(waiting);
                has_message = number.is_multiple_of(DOWN_WITH_MESSAGE);
            }
            _ => {}
        }
        if has_message {
            self.gateway.enqueue(waiting);
        }
        Ok(())
    }

    fn open_circuit(&mut self, destination: DestinationId) {
        let record = CircuitRecord {
            destination,
            endpoint: None,
            last_success_at: self.gateway.now() - DOWN_SINCE,
            failure_score: DOWN_FAILURE_SCORE,
            has_lost_calls: Some(true),
            slow_start_since: None,
            baseline_per_sec: 0.0,
        };
        self.gateway.handle(Event::CircuitRestored(record));
    }

    /// Takes one step.
    pub fn step(&mut self) -> Result<(), NotRun> {
        self.gateway.advance(self.period);
        if let Some(changes) = &mut self.list_changes {
            let update = changes.apply_next()?;
            self.gateway.handle(Event::EndpointsUpdated(update));
            changes.remove_unlisted_endpoints();
        } else {
            self.gateway.enqueue(self.destinations[self.next_destination]);
            self.next_destination = (self.next_destination + 1) % self.destinations.len();
        }
        self.gateway.decide();
        Ok(())
    }

    /// Steps until the first responses have arrived, so that as many calls are in flight as will be from then on.
    pub fn settle(&mut self, latency: Duration, guard: &Guard) -> Result<(), NotRun> {
        let steps = (latency.as_secs_f64() / self.period.as_secs_f64() * 1.1) as u64 + SETTLING_STEPS;
        for step in 0..steps {
            if step % SETTLING_STEPS == 0 {
                guard.check()?;
            }
            self.step()?;
        }
        Ok(())
    }

    /// Checks that the steps did what they are measured for.
    ///
    /// # Errors
    /// [`NotRun::Work`] if fewer than four in five messages were delivered.
    pub fn check(&self, delivered_before: u64, steps: u64) -> Result<(), NotRun> {
        let done = self.gateway.counts.delivered - delivered_before;
        if self.kind == Kind::ListChange || done * 10 >= steps * 8 {
            Ok(())
        } else {
            Err(NotRun::Work { done, steps })
        }
    }
}

fn settings(experiment: &Experiment, kind: Kind, size: u64) -> Settings {
    let calls_in_flight = if kind == Kind::CallsInFlight { 2 * size as usize } else { 0 };
    Settings {
        fleet_size: experiment.target.gateways as u32,
        classes: vec![Class { deadline: BEYOND_ANY_RUN * 2, ..Class::default() }],
        max_in_flight_calls: calls_in_flight + SPARE_SLOTS,
        max_pending_messages: 2 * size as usize + SPARE_MESSAGES,
        max_attempts: MAX_ATTEMPTS,
        ..Settings::default()
    }
}

fn script(work: &Work, kind: Kind, size: u64, endpoints: &[Endpoint]) -> Script {
    let down = match kind {
        Kind::Down => {
            let others = endpoints.iter().skip(ACTIVE_DESTINATIONS as usize);
            others.take(size as usize).map(|endpoint| endpoint.id).collect()
        }
        _ => BTreeSet::new(),
    };
    Script {
        latency: work.latency(),
        jitter: Duration::from_millis(work.jitter_ms),
        connect_failure_latency: Duration::from_millis(*work.down_ms.get_ref()),
        limit_per_sec: work.limit_per_s,
        // Nothing is left of the limit, so that the learnt rate does not grow.
        load_report: (kind == Kind::PendingAtOne)
            .then_some(LoadReport { headroom: 0.0, limit_per_sec: AMPLE_RATE }),
        down,
    }
}

/// Simulated time of a step.
fn period(experiment: &Experiment, kind: Kind, size: u64) -> Duration {
    match kind {
        // As many calls are in flight as are sent in the time that one takes.
        Kind::CallsInFlight => experiment.work.latency().div_f64(size as f64),
        // As many messages are accepted as can be sent, so that the queue stays as it is.
        Kind::PendingAtOne => Duration::from_secs_f64((AMPLE_RATE / experiment.target.gateways).recip()),
        _ => Duration::from_secs_f64(experiment.target.event_ns() / 1e9),
    }
}

/// Hands a complete list to the scheduler; the time that this takes adds to that of reading the list.
fn handle_snapshot(
    gateway: &mut SimulatedGateway,
    snapshot: EndpointUpdate,
    mut figures: Figures,
) -> Figures {
    let begun_at = processor_time();
    gateway.handle(Event::EndpointsUpdated(snapshot));
    let took = (processor_time() - begun_at).as_nanos() as f64;
    figures.entry(Figure::ListNs).and_modify(|reading| *reading += took);
    figures
}

/// Destinations that wait in [`Kind::Loaded`].
fn loaded_destinations(endpoints: u64) -> u64 {
    endpoints * LOADED_DESTINATIONS / LOADED_ENDPOINTS
}

/// Checks the bounds now and then while something is set up.
fn check_at_times(number: u64, guard: &Guard) -> Result<(), NotRun> {
    if number.is_multiple_of(SETUP_BETWEEN_CHECKS) {
        guard.check()?;
    }
    Ok(())
}
