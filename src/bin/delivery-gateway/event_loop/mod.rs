//! The event loop: the one owner of the gateway's state. It takes in the events of all other parts, lets the scheduler
//! decide, and carries out its actions. It waits for nothing but events and its timers.
//!
//! This module has the loop itself, the dispatch of events and of actions, and the shutdown. Beside it:
//!
//! - [`admission`]: from an enqueue request to its reply.
//! - [`delivery`]: the attempts of messages, from start to recorded result; [`in_flight`] keeps track of them.
//! - [`outcomes`]: final outcomes, recorded and then notified.
//! - [`endpoints`]: changes of the endpoint list; [`operations`]: requests of operators.
//! - [`persisted_circuits`]: what the journal remembers of open circuits.
//! - [`recovery`]: the start from the journal; [`takeover`]: the handover between processes.
//! - [`reporting`]: counters and log lines.
//! - [`catalog`], [`pending_index`]: classes, tenants and pending messages by name.

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
mod takeover;

pub use takeover::{CarriedOverConstraints, HandoverSnapshot};

use delivery_gateway::discovery::EndpointDirectory;
use delivery_gateway::{Action, EndpointId, Event, ParsedSettings, Scheduler, Settings, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{interval, sleep_until, Instant};
use tracing::info;

use self::catalog::Catalog;
use self::in_flight::InFlightCalls;
use self::outcomes::DeferredOutcomes;
use self::pending_index::PendingIndex;
use self::persisted_circuits::PersistedCircuitWriter;
use self::reporting::{JournalErrorLog, LoadCounters, RateLimitedLines, REPORT_SWEEPS};
use crate::clock::Clock;
use crate::completed_messages::CompletedMessages;
use crate::events::{Channels, GatewayEvent, ServicePhase, StopReason};
use crate::http_client::Pool;
use crate::journal::{FinalOutcome, Journal};
use crate::send_guard::SendGuard;

/// Events that one decision takes in at most.
const MAX_EVENTS_PER_STEP: usize = 256;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// From SIGTERM until the process ends at the latest: SIGKILL comes after 3.7 s.
const MAX_SHUTDOWN: Duration = Duration::from_millis(3200);
/// From SIGTERM until the process ends at the earliest: new connections go on arriving for 0.4 s.
const MIN_SHUTDOWN: Duration = Duration::from_millis(600);
/// Rounds in which requests that were read before the end are still answered.
const FINAL_ROUNDS: usize = 8;

/// Idle connections that are kept for each call slot: most endpoints have few calls in flight at a time, so that a
/// gateway needs far more connections than slots to keep one ready at each.
pub const IDLE_CONNECTIONS_PER_SLOT: usize = 4;

/// When the process ends, once shutdown was requested.
#[derive(Clone, Copy)]
struct Shutdown {
    /// From here on it ends as soon as nothing is pending.
    earliest: Instant,
    latest: Instant,
}

/// The timer that the scheduler has set.
#[derive(Clone, Copy)]
struct Timer {
    due: Instant,
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
    completed: CompletedMessages,
    in_flight: InFlightCalls,
    /// Checks each attempt once more before it is made.
    guard: SendGuard,
    persisted_circuits: PersistedCircuitWriter,
    deferred_outcomes: DeferredOutcomes,
    /// When writing what could not be written is tried next.
    flush_retry_at: Option<Instant>,
    timer: Option<Timer>,
    shutdown: Option<Shutdown>,
    /// Kept for its buffer.
    actions: Vec<Action>,
    channels: Channels,
    counters: LoadCounters,
    journal_errors: JournalErrorLog,
    lines: RateLimitedLines,
}

/// Idle connections that the pool keeps. Some descriptors are left for calls, so that these need not wait for idle
/// connections to close.
fn max_idle_connections(settings: &Settings, endpoint_sockets: usize) -> usize {
    let slots = settings.max_in_flight_calls;
    (IDLE_CONNECTIONS_PER_SLOT * slots).min(endpoint_sockets.saturating_sub(slots)).max(1)
}

/// The clock goes on from the journal's last reading, or begins anew and is recorded.
fn start_clock(journal: &mut Journal) -> Clock {
    let clock = Clock::new(journal.clock_reading());
    if !journal.clock_reading().is_some_and(|last| clock.continues(last)) {
        // Where it cannot be written now it is written later; its errors are those of the next records.
        let _ = journal.record_clock(clock.reading());
    }
    clock
}

impl EventLoop {
    /// An event loop that has yet to [`recover`](Self::recover) or to [`resume_from`](Self::resume_from) a snapshot.
    /// `endpoint_sockets` is the number of descriptors for calls and idle connections to endpoints.
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
            completed: CompletedMessages::new(longest_deadline),
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

    /// How long to wait before the endpoint list is watched for the first time.
    pub fn initial_watch_delay(&mut self) -> Duration {
        self.scheduler.initial_watch_delay()
    }

    /// The revision of the endpoint list that the gateway has.
    pub fn endpoints_revision(&self) -> u64 {
        self.journal.state.endpoints_revision
    }

    /// Runs until the process is to end.
    pub async fn run(&mut self, events: &mut UnboundedReceiver<GatewayEvent>) {
        let mut sweep = interval(SWEEP);
        let mut sweeps = 0;
        let mut batch = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        self.decide();
        loop {
            let timer = self.timer.map(|timer| timer.due);
            let never = Instant::now() + SWEEP;
            let end = self.exit_deadline();
            tokio::select! {
                biased;
                _ = events.recv_many(&mut batch, MAX_EVENTS_PER_STEP) => {}
                () = sleep_until(timer.unwrap_or(never)), if timer.is_some() => {}
                () = sleep_until(end.unwrap_or(never)), if end.is_some() => {}
                () = sleep_until(self.flush_retry_at.unwrap_or(never)), if self.flush_retry_at.is_some() => {}
                _ = sweep.tick() => {
                    self.pool.close_expired();
                    sweeps += 1;
                    if sweeps % REPORT_SWEEPS == 0 {
                        self.report();
                    }
                }
            }
            self.step(batch.drain(..));
            if self.may_end() {
                return self.finish(events).await;
            }
        }
    }

    /// Handles events and a timer that is due, decides, and retries what could not be written.
    fn step(&mut self, events: impl Iterator<Item = GatewayEvent>) {
        let begun = Instant::now();
        events.for_each(|event| self.handle(event));
        if let Some(Timer { due, token }) = self.timer.filter(|timer| timer.due <= begun) {
            self.timer = None;
            self.note_lateness(begun - due, "a timer was late");
            self.scheduler.handle(self.clock.now(), Event::TimerFired(token));
        }
        self.decide();
        self.retry_unwritten_records();
        self.note_lateness(begun.elapsed(), "a step took long");
    }

    /// Handles one event. What it leads to is decided later, save for the reply to a client or an operator.
    pub fn handle(&mut self, event: GatewayEvent) {
        let now = self.clock.now();
        match event {
            GatewayEvent::Enqueue(request, reply) => self.answer_enqueue(now, request, reply),
            GatewayEvent::AcceptanceNotReceived(message) => self.withdraw_unacknowledged(now, message),
            GatewayEvent::Discovery(event) => self.discovery_changed(now, event),
            GatewayEvent::CallEnded { endpoint, messages, result } => {
                self.call_ended(now, endpoint, &messages, &result)
            }
            GatewayEvent::OutcomesAcknowledged(messages) => self.outcomes_acknowledged(now, messages),
            GatewayEvent::Admin(operation, reply) => {
                let _ = reply.send(self.operate(now, &operation));
            }
            GatewayEvent::Terminate => self.request_shutdown(now),
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
                None => self.act(now, &group[0]),
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

    fn act(&mut self, now: Time, action: &Action) {
        match *action {
            // A message has one attempt in flight at most.
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
            // These have been started as calls.
            Action::StartAttempt { .. } => {}
        }
    }

    fn request_shutdown(&mut self, now: Time) {
        if self.shutdown.is_some() {
            return;
        }
        let begun = Instant::now();
        info!(
            pending = self.journal.state.pending.len(),
            in_flight = self.in_flight.len(),
            "shutdown requested"
        );
        self.shutdown = Some(Shutdown { earliest: begun + MIN_SHUTDOWN, latest: begun + MAX_SHUTDOWN });
        self.scheduler.handle(now, Event::ShutdownScheduled(now + MAX_SHUTDOWN));
        // Connections that move to another process are served there.
        if *self.channels.phase.borrow() != ServicePhase::HandingOver {
            self.channels.phase.send_replace(ServicePhase::ShuttingDown);
        }
    }

    fn may_end(&self) -> bool {
        let Some(Shutdown { earliest, latest }) = self.shutdown else { return false };
        let now = Instant::now();
        // The next process is to know all that this one does.
        let is_idle =
            self.in_flight.is_empty() && self.journal.state.pending.is_empty() && self.journal.is_flushed();
        now >= latest || (now >= earliest && is_idle)
    }

    /// Answers the requests that have been read but not answered: ending a connection before would lose their
    /// messages. The next process finds them in the journal.
    async fn finish(&mut self, events: &mut UnboundedReceiver<GatewayEvent>) {
        for _ in 0..FINAL_ROUNDS {
            self.process_queued(events);
            // The tasks of the connections write what they were given.
            tokio::task::yield_now().await;
        }
        let flushed = self.journal.flush();
        self.journal_errors.log_failure(flushed);
        info!(
            pending = self.journal.state.pending.len(),
            in_flight = self.in_flight.len(),
            "shutdown completed"
        );
    }
}
