//! The event loop: the single owner of the gateway's state. It handles the events of all other parts, asks the
//! scheduler for decisions, and executes its actions. It waits only for events and timers.
//!
//! This module has the loop itself, and the dispatch of events and of actions. Its submodules:
//!
//! - [`admission`]: answers enqueue requests.
//! - [`delivery`]: starts attempts and records their results; [`in_flight`]: tracks attempts in flight.
//! - [`outcomes`]: records final outcomes and sends their notifications.
//! - [`endpoints`]: applies changes of the endpoint list; [`operations`]: executes requests of operators.
//! - [`persisted_circuits`]: writes the state of circuits and of slow starts to the journal.
//! - [`recovery`]: restores the state from the journal; [`takeover`]: passes the state between processes.
//! - [`shutdown`]: decides when the process may exit.
//! - [`reporting`]: counters and log lines.
//! - [`catalog`], [`pending_index`]: look up classes, tenants and pending messages by name.

mod admission;
mod catalog;
mod delivery;
mod endpoints;
mod in_flight;
mod operations;
mod outcomes;
mod pending_index;
mod persisted_circuits;
mod recovery;
mod reporting;
mod shutdown;
mod takeover;

pub use takeover::{CarriedOverConstraints, HandoverSnapshot};

use delivery_gateway::discovery::EndpointDirectory;
use delivery_gateway::{Action, EndpointId, Event, ParsedSettings, Scheduler, Settings, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{interval, sleep_until, Instant};

use self::catalog::Catalog;
use self::in_flight::InFlightCalls;
use self::outcomes::DeferredOutcomes;
use self::pending_index::PendingIndex;
use self::persisted_circuits::PersistedCircuitWriter;
use self::reporting::{JournalErrorLog, LoadCounters, RateLimitedLines, REPORT_SWEEPS};
use self::shutdown::Shutdown;
use crate::clock::Clock;
use crate::events::{Channels, GatewayEvent, StopReason};
use crate::http_client::Pool;
use crate::journal::{FinalOutcome, Journal};
use crate::send_guard::SendGuard;

/// The maximum number of events handled in one step of the loop, before the next decision of the scheduler.
const MAX_EVENTS_PER_STEP: usize = 256;
/// The interval between sweeps. Each closes expired idle connections and forgets old tombstones; every
/// [`REPORT_SWEEPS`]th logs the load.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum time from a message's end for which its tombstone is kept, unless its room is needed. The settings may
/// have had longer deadlines when the message was accepted.
const MIN_TOMBSTONE_RETENTION: Duration = Duration::from_secs(30);

/// The number of idle connections kept per call slot. Most endpoints have few calls in flight at a time, so the gateway
/// needs far more connections than slots to keep one ready at each endpoint.
pub const IDLE_CONNECTIONS_PER_SLOT: usize = 4;

/// A timer set by the scheduler.
#[derive(Clone, Copy)]
struct Timer {
    due: Instant,
    /// Identifies the timer to the scheduler when it fires.
    token: u64,
}

/// The gateway's state, and the loop that changes it.
pub struct EventLoop {
    scheduler: Scheduler,
    clock: Clock,
    journal: Journal,
    directory: EndpointDirectory,
    pool: Rc<Pool>,
    max_idle_connections: usize,
    catalog: Catalog,
    max_pending_messages: usize,
    pending: PendingIndex,
    /// The longest deadline of any class. A client that repeats its request does so before the deadline.
    longest_deadline: Duration,
    in_flight: InFlightCalls,
    /// Checks each attempt against the delivery rules before it is sent.
    guard: SendGuard,
    persisted_circuits: PersistedCircuitWriter,
    deferred_outcomes: DeferredOutcomes,
    /// The time of the next attempt to write what could not be written to the journal. None if everything is written.
    flush_retry_at: Option<Instant>,
    timer: Option<Timer>,
    shutdown: Option<Shutdown>,
    /// Empty between decisions; kept to reuse its allocation.
    actions: Vec<Action>,
    channels: Channels,
    counters: LoadCounters,
    journal_errors: JournalErrorLog,
    lines: RateLimitedLines,
}

/// Returns the maximum number of idle connections in the pool. It leaves descriptors for calls, so that these need not
/// wait for idle connections to close.
fn max_idle_connections(settings: &Settings, endpoint_sockets: usize) -> usize {
    let slots = settings.max_in_flight_calls;
    (IDLE_CONNECTIONS_PER_SLOT * slots).min(endpoint_sockets.saturating_sub(slots)).max(1)
}

/// Starts the clock from the journal's last reading if it can be continued. Otherwise starts it from the wall clock,
/// and records a new reading.
fn start_clock(journal: &mut Journal) -> Clock {
    let clock = Clock::new(journal.clock_reading());
    if !journal.clock_reading().is_some_and(|last| clock.continues(last)) {
        // A failed write is retried by `retry_unwritten_records`, which logs its error.
        let _ = journal.record_clock(clock.reading());
    }
    clock
}

impl EventLoop {
    /// Creates an event loop. Call [`recover`](Self::recover) or [`resume_from`](Self::resume_from) before
    /// [`run`](Self::run). `endpoint_sockets` is the number of descriptors for calls and idle connections to endpoints.
    pub fn new(
        mut parsed: ParsedSettings,
        seed: u64,
        mut journal: Journal,
        endpoint_sockets: usize,
        channels: Channels,
    ) -> Self {
        parsed.settings.outcomes_need_acknowledgement = true;
        let directory = EndpointDirectory::new(&parsed);
        let catalog = Catalog::new(&parsed);
        let settings = parsed.settings;
        let max_idle_connections = max_idle_connections(&settings, endpoint_sockets);
        let guard = SendGuard::new(&settings);
        let clock = start_clock(&mut journal);
        journal.state.tombstones.limit_ends(clock.journal_ms(clock.now()));
        let pool = Pool::new(
            settings.connect_timeout,
            settings.connection_idle_timeout,
            endpoint_sockets,
            max_idle_connections,
        );
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        EventLoop {
            max_pending_messages: settings.max_pending_messages,
            scheduler: Scheduler::new(settings, seed),
            clock,
            journal,
            directory,
            pool: Rc::new(pool),
            max_idle_connections,
            catalog,
            pending: PendingIndex::default(),
            longest_deadline,
            in_flight: InFlightCalls::default(),
            guard,
            persisted_circuits: PersistedCircuitWriter::default(),
            deferred_outcomes: DeferredOutcomes::default(),
            flush_retry_at: None,
            timer: None,
            shutdown: None,
            actions: Vec::new(),
            channels,
            counters: LoadCounters::default(),
            journal_errors: JournalErrorLog::default(),
            lines: RateLimitedLines::default(),
        }
    }

    /// Returns the delay before the endpoint list is first watched.
    pub fn initial_watch_delay(&mut self) -> Duration {
        self.scheduler.initial_watch_delay()
    }

    /// Returns the revision of the gateway's endpoint list.
    pub fn endpoints_revision(&self) -> u64 {
        self.journal.state.endpoints_revision
    }

    /// Runs until the process may exit after a shutdown request.
    pub async fn run(&mut self, events: &mut UnboundedReceiver<GatewayEvent>) {
        self.run_while(events, |event_loop| !event_loop.can_exit()).await;
    }

    /// Runs until the future is dropped, also if the process may exit.
    pub async fn run_on(&mut self, events: &mut UnboundedReceiver<GatewayEvent>) {
        self.run_while(events, |_| true).await;
    }

    /// Runs while the condition holds after a step.
    async fn run_while(
        &mut self,
        events: &mut UnboundedReceiver<GatewayEvent>,
        continues: impl Fn(&EventLoop) -> bool,
    ) {
        let mut sweep = interval(SWEEP_INTERVAL);
        let mut sweeps = 0;
        let mut batch = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        let mut open_requests = self.open_requests();
        self.decide();
        loop {
            let timer = self.timer.map(|timer| timer.due);
            // Disabled branches of `select!` need a time, which is never waited for.
            let unused = Instant::now() + SWEEP_INTERVAL;
            let exit_check = self.next_exit_check();
            let awaits_clients = self.awaits_clients();
            tokio::select! {
                biased;
                _ = events.recv_many(&mut batch, MAX_EVENTS_PER_STEP) => {}
                () = sleep_until(timer.unwrap_or(unused)), if timer.is_some() => {}
                () = sleep_until(exit_check.unwrap_or(unused)), if exit_check.is_some() => {}
                _ = open_requests.wait_for(|open| *open == 0), if awaits_clients => {}
                () = sleep_until(self.flush_retry_at.unwrap_or(unused)), if self.flush_retry_at.is_some() => {}
                _ = sweep.tick() => {
                    self.pool.close_expired();
                    self.forget_old_tombstones();
                    sweeps += 1;
                    if sweeps % REPORT_SWEEPS == 0 {
                        self.report();
                    }
                }
            }
            self.step(batch.drain(..));
            if !continues(self) {
                return;
            }
        }
    }

    /// Forgets tombstones by age: after the longest deadline, but not within [`MIN_TOMBSTONE_RETENTION`] while at most
    /// half of their room is in use.
    fn forget_old_tombstones(&mut self) {
        let retention = if self.journal.state.tombstones.is_half_full() {
            self.longest_deadline
        } else {
            self.longest_deadline.max(MIN_TOMBSTONE_RETENTION)
        };
        let now_ms = self.clock.journal_ms(self.clock.now());
        self.journal.state.tombstones.forget_until(now_ms.saturating_sub(retention.as_millis() as u64));
    }

    /// Handles events and a due timer, executes the scheduler's decisions, and retries failed writes.
    fn step(&mut self, events: impl Iterator<Item = GatewayEvent>) {
        let started_at = Instant::now();
        events.for_each(|event| self.handle(event));
        if let Some(Timer { due, token }) = self.timer.filter(|timer| timer.due <= started_at) {
            self.timer = None;
            self.record_lateness(started_at - due, "a timer of the event loop fired late");
            self.scheduler.handle(self.clock.now(), Event::TimerFired(token));
        }
        self.decide();
        self.retry_unwritten_records();
        self.record_lateness(started_at.elapsed(), "a step of the event loop took too long");
    }

    /// Handles one event. A client or an operator gets its reply at once; other actions follow with the scheduler's
    /// next decision.
    pub fn handle(&mut self, event: GatewayEvent) {
        let now = self.clock.now();
        match event {
            GatewayEvent::Enqueue(request, reply) => self.answer_enqueue(now, request, reply),
            GatewayEvent::AcceptanceNotReceived(message) => self.withdraw_unacknowledged(now, message),
            GatewayEvent::Discovery(event) => self.handle_watch_event(now, event),
            GatewayEvent::CallEnded { endpoint, messages, result } => {
                self.handle_call_ended(now, endpoint, &messages, &result)
            }
            GatewayEvent::OutcomesAcknowledged(messages) => self.complete_acknowledged(now, messages),
            GatewayEvent::Admin(operation, reply) => {
                let _ = reply.send(self.execute_operation(now, &operation));
            }
            GatewayEvent::Terminate => self.request_shutdown(now),
            // A later successor reads the configuration when it enters service.
            GatewayEvent::ReloadRequested => {}
        }
    }

    fn decide(&mut self) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.decide(now, &mut actions);
        // Adjacent attempts at one endpoint share calls.
        let target = |action: &Action| match action {
            Action::StartAttempt { endpoint, .. } => Some(*endpoint),
            _ => None,
        };
        for group in actions.chunk_by(|a, b| target(a).is_some() && target(a) == target(b)) {
            match target(&group[0]) {
                Some(endpoint) => self.start_calls(now, endpoint, group),
                None => self.execute(now, &group[0]),
            }
        }
        actions.clear();
        self.actions = actions;
        self.persist_circuit_changes();
    }

    fn start_calls(&mut self, now: Time, endpoint: EndpointId, attempts: &[Action]) {
        for attempts_of_call in attempts.chunks(self.directory.max_batch_size(endpoint)) {
            self.start_attempts(now, endpoint, attempts_of_call);
        }
    }

    fn execute(&mut self, now: Time, action: &Action) {
        match *action {
            // The message identifies the attempt: it has at most one in flight.
            Action::CancelAttempt { message, .. } => self.in_flight.stop(message, StopReason::Cancelled),
            Action::Reject { message, retry_after } => {
                self.counters.returned += 1;
                let after_ms = retry_after.as_millis() as u64;
                self.record_final_outcome(message, FinalOutcome::Returned { after_ms });
            }
            Action::ReportFailure { message } => {
                self.counters.failed += 1;
                self.record_final_outcome(message, FinalOutcome::Failed);
            }
            Action::SetTimer { after, token } => {
                self.timer = Some(Timer { due: self.clock.instant(now + after), token });
            }
            Action::CloseIdleConnections { endpoint } => self.pool.close_idle(endpoint),
            Action::WatchEndpoints { .. } => self.channels.watch.send_replace(()),
            // `decide` starts these as calls.
            Action::StartAttempt { .. } => {}
        }
    }
}
