//! The test rig for a sweep of the scheduler: sets up a simulated gateway at a size, and then runs it step by step.
//!
//! In a step, one message is accepted and sent; its response arrives after the script's latency. Steps follow each
//! other at the target's rate of events for one gateway, except where [`step_period`] sets another rate. In
//! [`Kind::ListChange`] a step instead reads one changed entry as a line of the watch, and sends no message. Everything
//! that the sweep does not vary is the same at all its sizes.

use delivery_gateway::*;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::bounds::{NotRun, RunBounds};
use crate::endpoint_script::Script;
use crate::experiment::{Experiment, Kind, Work};
use crate::figures::{Figure, Figures};
use crate::layout::{
    destination, endpoint_id, Layout, ACTIVE_DESTINATIONS, AMPLE_RATE_PER_SEC, WAITING_DESTINATIONS,
};
use crate::list_changes::ListChanges;
use crate::processor_time::processor_time;
use crate::simulated_gateway::SimulatedGateway;

/// The duration of a Retry-After, and half of a deadline, that is longer than any run.
const LONGER_THAN_ANY_RUN: Duration = Duration::from_secs(3600);
/// The number of endpoints to which [`LOADED_DESTINATIONS`] refers.
const LOADED_ENDPOINTS: u64 = 65_536;
/// The number of destinations that wait for a Retry-After in [`Kind::Loaded`], for every [`LOADED_ENDPOINTS`]
/// endpoints.
const LOADED_DESTINATIONS: u64 = 2000;
/// The number of pending messages of each of these destinations.
const LOADED_MESSAGES: u64 = 5;
/// In [`Kind::Down`], one in this number of the destinations that are down has a message that waits.
const DOWN_DESTINATIONS_PER_MESSAGE: u64 = 10;
/// The time from the last success of a destination that is down until its circuit is set up as open.
const DOWN_SINCE: Duration = Duration::from_secs(60);
/// The failure score of a simulated outage, which is sufficient for an open circuit.
const DOWN_FAILURE_SCORE: u32 = 6;
/// The number of call slots in addition to twice those of the calls in flight in [`Kind::CallsInFlight`]. The number of
/// free slots limits the calls of a destination.
const SPARE_SLOTS: usize = 1024;
/// The number of messages that may be pending in addition to twice the sweep's size. Load shedding begins below the
/// limit, and must not occur in any sweep.
const SPARE_MESSAGES: usize = 100_000;
const MAX_ATTEMPTS: u32 = 12;
/// The number of steps from the first responses until measuring begins. Before measuring, the bounds are checked once
/// in this number of steps.
const SETTLING_STEPS: u64 = 20;
/// The number of destinations or messages that are set up between two checks of the bounds.
const SETUP_BETWEEN_CHECKS: u64 = 1024;

/// A simulated gateway that has been set up at a size.
pub struct SchedulerRig {
    pub gateway: SimulatedGateway,
    kind: Kind,
    /// The destinations to which messages are sent in turn.
    destinations: Vec<DestinationId>,
    next_destination: usize,
    /// The simulated time of a step.
    step_period: Duration,
    /// The changes of the endpoint list; `None` except in [`Kind::ListChange`].
    list_changes: Option<ListChanges>,
    /// The memory of the rig itself, in bytes, which does not count as the gateway's.
    pub own_bytes: u64,
    /// The figures that were measured during setup.
    pub figures: Figures,
}

impl SchedulerRig {
    /// Sets up a gateway at a size.
    ///
    /// # Errors
    /// Returns an error if a bound of the run is reached, or if the size cannot be set up.
    pub fn build(experiment: &Experiment, kind: Kind, size: u64, bounds: &RunBounds) -> Result<Self, NotRun> {
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
            step_period: step_period(experiment, kind, size),
            list_changes,
            own_bytes,
            figures,
        };
        rig.set_up(size, bounds)?;
        Ok(rig)
    }

    /// Adds the destinations that wait and the pending messages of the sweep.
    fn set_up(&mut self, size: u64, bounds: &RunBounds) -> Result<(), NotRun> {
        match self.kind {
            Kind::QueuesRetryAfter | Kind::QueuesTokenBucket | Kind::Down => {
                for number in 0..size {
                    check_periodically(number, bounds)?;
                    self.add_waiting_destination(number)?;
                }
            }
            Kind::PendingSpread => {
                for number in ACTIVE_DESTINATIONS..ACTIVE_DESTINATIONS + WAITING_DESTINATIONS {
                    self.apply_retry_after(number)?;
                }
                for number in 0..size {
                    check_periodically(number, bounds)?;
                    let waiting = ACTIVE_DESTINATIONS + number % WAITING_DESTINATIONS;
                    self.gateway.enqueue(destination(waiting)?);
                }
            }
            Kind::PendingAtOne => {
                for number in 0..size {
                    check_periodically(number, bounds)?;
                    self.gateway.enqueue(destination(0)?);
                }
            }
            Kind::Loaded => {
                for number in 0..loaded_destinations(size) {
                    self.apply_retry_after(Layout::first_endpoint_of(number))?;
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

    /// Makes a destination wait for a Retry-After of its endpoint at `index`.
    fn apply_retry_after(&mut self, index: u64) -> Result<(), NotRun> {
        let endpoint = endpoint_id(index)?;
        self.gateway.handle(Event::RetryAfter { endpoint, delay: LONGER_THAN_ANY_RUN });
        Ok(())
    }

    /// Adds a destination that waits or is down, by the kind of the sweep. `number` counts them from 0.
    fn add_waiting_destination(&mut self, number: u64) -> Result<(), NotRun> {
        let waiting = destination(ACTIVE_DESTINATIONS + number)?;
        let mut has_message = true;
        match self.kind {
            Kind::QueuesRetryAfter => self.apply_retry_after(ACTIVE_DESTINATIONS + number)?,
            Kind::Down => {
                self.open_circuit(waiting);
                has_message = number.is_multiple_of(DOWN_DESTINATIONS_PER_MESSAGE);
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

    /// Runs one step.
    ///
    /// # Errors
    /// Returns an error if a change of the endpoint list cannot be decoded.
    pub fn step(&mut self) -> Result<(), NotRun> {
        self.gateway.advance(self.step_period);
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

    /// Runs steps until the first responses have arrived. From then on the number of calls in flight stays constant.
    ///
    /// # Errors
    /// Returns an error if a bound of the run is reached or a step fails.
    pub fn settle(&mut self, latency: Duration, bounds: &RunBounds) -> Result<(), NotRun> {
        let steps = (latency.as_secs_f64() / self.step_period.as_secs_f64() * 1.1) as u64 + SETTLING_STEPS;
        for step in 0..steps {
            if step % SETTLING_STEPS == 0 {
                bounds.check()?;
            }
            self.step()?;
        }
        Ok(())
    }

    /// Checks that the gateway delivered messages during the measured steps. [`Kind::ListChange`] sends none, and
    /// always passes.
    ///
    /// # Errors
    /// Returns [`NotRun::Work`] if fewer than four messages were delivered for every five steps.
    pub fn check_deliveries(&self, delivered_before: u64, steps: u64) -> Result<(), NotRun> {
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
        classes: vec![Class { deadline: LONGER_THAN_ANY_RUN * 2, ..Class::default() }],
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
        // The headroom is zero, so that the learned rate does not grow.
        load_report: (kind == Kind::PendingAtOne)
            .then_some(LoadReport { headroom: 0.0, limit_per_sec: AMPLE_RATE_PER_SEC }),
        down,
    }
}

/// Returns the simulated time of a step.
fn step_period(experiment: &Experiment, kind: Kind, size: u64) -> Duration {
    match kind {
        // `size` calls are sent during the latency of one call, so that this number of calls is in flight.
        Kind::CallsInFlight => experiment.work.latency().div_f64(size as f64),
        // Messages are accepted at the rate at which they can be sent, so that the queue length stays constant.
        Kind::PendingAtOne => {
            Duration::from_secs_f64((AMPLE_RATE_PER_SEC / experiment.target.gateways).recip())
        }
        _ => Duration::from_secs_f64(experiment.target.event_ns() / 1e9),
    }
}

/// Passes a complete list to the scheduler, and adds the processor time to that of reading the list in `figures`.
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

/// Returns the number of destinations that wait in [`Kind::Loaded`].
fn loaded_destinations(endpoints: u64) -> u64 {
    endpoints * LOADED_DESTINATIONS / LOADED_ENDPOINTS
}

/// Checks the bounds during setup, once in [`SETUP_BETWEEN_CHECKS`] calls. `number` counts the calls.
fn check_periodically(number: u64, bounds: &RunBounds) -> Result<(), NotRun> {
    if number.is_multiple_of(SETUP_BETWEEN_CHECKS) {
        bounds.check()?;
    }
    Ok(())
}
