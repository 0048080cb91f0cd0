//! The one loop that owns the decision module: events in, actions out, timers. It waits for no socket.

use delivery_gateway::discovery::{DiscoveryUpdate, EndpointDirectory, WatchEvent};
use delivery_gateway::*;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{interval, sleep_until, Instant};
use tracing::{debug, error, info, warn};

mod circuit_notes;
mod in_flight;
mod outcomes;
mod reporting;
mod takeover;

pub use takeover::{CarriedOverConstraints, HandoverSnapshot};

use self::circuit_notes::CircuitNoteWriter;
use self::in_flight::{CallHandle, InFlightAttempt, InFlightCalls};
use self::outcomes::DeferredOutcomes;
use self::reporting::{JournalErrorLog, LoadCounters, REPORT_SWEEPS};
use crate::clock::Clock;
use crate::completed_messages::CompletedMessages;
use crate::events::{
    AdminOperation, AdminResult, AttemptResult, CallResult, Channels, EnqueueReply, EnqueueRequest,
    GatewayEvent, OutcomeNotification, ServicePhase, StopReason,
};
use crate::http_client::{Call, OutgoingMessage, Pool};
use crate::journal::{AcceptedRecord, FinalOutcome, Journal, JournalError, PendingMessage, SentRecord};
use crate::rate_limited_log::RateLimitedLog;
use crate::send_guard::{Attempt, Breach, Receiver, SendGuard};

/// Events that one decision takes in at most.
const BATCH: usize = 256;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// From SIGTERM until the process ends at the latest: SIGKILL comes after 3.7 s.
const CLOSING: Duration = Duration::from_millis(3200);
/// From SIGTERM until it ends at the earliest: new connections go on coming for 0.4 s.
const CLOSING_LEAST: Duration = Duration::from_millis(600);

/// Idle connections that are kept, for each call slot: most endpoints have few calls out at a time, so that a
/// courier needs far more connections than slots to keep one ready at each.
pub const IDLE_OF_SLOTS: usize = 4;
/// Rounds in which requests that were read before the end are still answered.
const LAST_ROUNDS: usize = 8;
/// Longest body of a call.
const LONGEST_BODY: usize = 64 << 10;

/// A message that is held.
struct PendingEntry {
    number: u32,
    /// A hand-in after the first one was told that it is held: the first can withdraw it no more.
    shared: bool,
}

/// An attempt that was not made, as its time to leave had passed.
const TOO_LATE: AttemptResult = not_sent(AttemptOutcome::NotSent);
/// An attempt that was not made, as it could not be written down.
const NOT_WRITTEN: AttemptResult = not_sent(AttemptOutcome::LocalFailure);

const fn not_sent(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult { outcome, latency: Duration::ZERO, complete: false, load_report: None }
}

pub struct EventLoop {
    scheduler: Scheduler,
    clock: Clock,
    journal: Journal,
    directory: EndpointDirectory,
    pool: Rc<Pool>,
    /// Idle connections that the pool keeps.
    idle: usize,
    class_names: Vec<String>,
    tenant_names: Vec<String>,
    classes: Vec<Class>,
    max_pending_messages: usize,
    /// The messages held, by their ids.
    pending: HashMap<String, PendingEntry>,
    completed: CompletedMessages,
    in_flight: InFlightCalls,
    events: UnboundedSender<GatewayEvent>,
    notifications: UnboundedSender<OutcomeNotification>,
    watch: watch::Sender<()>,
    phase: watch::Sender<ServicePhase>,
    shutdown: Option<(Instant, Instant)>,
    timer: Option<(Instant, u64)>,
    actions: Vec<Action>,
    counters: LoadCounters,
    circuit_notes: CircuitNoteWriter,
    journal_errors: JournalErrorLog,
    lateness_lines: RateLimitedLog,
    retry_after_lines: RateLimitedLog,
    deferred_outcomes: DeferredOutcomes,
    /// Looks at each attempt once more before it is made.
    guard: SendGuard,
    breach_lines: RateLimitedLog,
    /// When it is next tried to write what could not be written.
    flush_retry_at: Option<Instant>,
}

impl EventLoop {
    /// A courier that has yet to take up what there is.
    pub fn new(
        mut parsed: ParsedSettings,
        seed: u64,
        mut journal: Journal,
        endpoint_sockets: usize,
        Channels { events, notifications, watch, phase }: Channels,
    ) -> Self {
        parsed.settings.outcomes_need_acknowledgement = true;
        let directory = EndpointDirectory::new(&parsed);
        let settings = parsed.settings;
        // Some are left for calls, so that these need not wait for others to close.
        let idle = (IDLE_OF_SLOTS * settings.max_in_flight_calls)
            .min(endpoint_sockets.saturating_sub(settings.max_in_flight_calls))
            .max(1);
        let guard = SendGuard::new(&settings);
        let clock = Clock::new(journal.clock_reading());
        if !journal.clock_reading().is_some_and(|last| clock.continues(last)) {
            // Where it cannot be written now it is written later; its errors are those of the next records.
            let _ = journal.record_clock(clock.reading());
        }
        let pool = Rc::new(Pool::new(
            settings.connect_timeout,
            settings.connection_idle_timeout,
            endpoint_sockets,
            idle,
        ));
        EventLoop {
            class_names: parsed.class_names,
            tenant_names: parsed.tenant_names,
            classes: settings.classes.clone(),
            max_pending_messages: settings.max_pending_messages,
            completed: CompletedMessages::new(
                settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
            ),
            scheduler: Scheduler::new(settings, seed),
            clock,
            journal,
            directory,
            pool,
            idle,
            pending: HashMap::new(),
            in_flight: InFlightCalls::default(),
            events,
            notifications,
            watch,
            phase,
            shutdown: None,
            timer: None,
            actions: Vec::new(),
            counters: LoadCounters::default(),
            circuit_notes: CircuitNoteWriter::default(),
            journal_errors: JournalErrorLog::default(),
            lateness_lines: RateLimitedLog::default(),
            retry_after_lines: RateLimitedLog::default(),
            deferred_outcomes: DeferredOutcomes::default(),
            guard,
            breach_lines: RateLimitedLog::default(),
            flush_retry_at: None,
        }
    }

    /// After how long to watch the list for the first time.
    pub fn initial_watch_delay(&mut self) -> Duration {
        self.scheduler.initial_watch_delay()
    }

    /// The version of the list that the courier has.
    pub fn endpoints_revision(&self) -> u64 {
        self.journal.state.endpoints_revision
    }

    /// Takes up again all that the journal holds.
    pub fn recover(&mut self, known: &DiscoveryUpdate) {
        let now = self.clock.now();
        self.journal.state.destinations.extend(known.endpoints.iter().map(|target| target.destination));
        let state = &self.journal.state;
        // What was told before the restart counts as told: the list that comes with the start may be older.
        if state.endpoints_revision == 0 || state.endpoints_revision < known.revision {
            let listing = self.directory.apply_snapshot(&known.endpoints);
            self.scheduler.handle(now, Event::EndpointsUpdated(listing));
            let written =
                self.journal.record_endpoints(DiscoveryUpdate { is_snapshot: true, ..known.clone() });
            self.journal_errors.log_failure(written);
        } else {
            let listing = self.directory.apply_snapshot(state.endpoints.values());
            self.scheduler.handle(now, Event::EndpointsUpdated(listing));
        }
        for uid in self.journal.state.disabled_endpoints.clone() {
            self.detach(now, &uid, true);
        }
        for note in self.journal.state.circuits.iter() {
            let endpoint = note.uid.as_ref().and_then(|uid| self.directory.endpoint_id(uid));
            if note.uid.is_some() && endpoint.is_none() {
                continue;
            }
            let outage = CircuitRecord {
                destination: DestinationId(note.destination),
                endpoint,
                last_success_at: self.clock.scheduler_time(note.last_success_ms),
                failure_score: note.failure_score,
                calls_lost: note.calls_lost,
                slow_start_since: note.slow_start_ms.map(|ms| self.clock.scheduler_time(ms)),
                baseline_rate: note.baseline_rate,
            };
            self.scheduler.handle(now, Event::CircuitRestored(outage));
        }
        self.note_all_circuits();
        let held: Vec<u32> = self.journal.state.pending.keys().copied().collect();
        for number in &held {
            self.restore_message(now, *number);
        }
        info!(held = held.len(), rev = self.endpoints_revision(), "the journal was replayed");
    }

    fn restore_message(&mut self, now: Time, number: u32) {
        let Some(held) = self.journal.state.pending.get(&number) else { return };
        let PendingMessage {
            message: ref taken,
            attempts,
            first_uncertain_attempt,
            in_flight,
            final_outcome,
        } = *held;
        let (message, id) = (MessageId(number), taken.id.clone());
        self.pending.insert(id.clone(), PendingEntry { number, shared: false });
        let Some(taken) = self.accepted(number, taken) else {
            warn!(class = taken.class, "a message of a class that is not known any more is given up");
            self.record_final_outcome(message, FinalOutcome::Failed);
            return;
        };
        // An attempt without an outcome may have run, also if its process died before the first byte.
        if in_flight.is_some() {
            let written = self.journal.record_attempt_outcome(number, true);
            self.journal_errors.log_failure(written);
        }
        let first_uncertain_attempt =
            first_uncertain_attempt.or(in_flight).map(|sent| self.sent_attempt(sent));
        let restored = RestoredMessage {
            message: taken,
            attempts,
            first_uncertain_attempt,
            outcome_recorded: final_outcome.is_some(),
        };
        self.scheduler.handle(now, Event::MessageRestored(restored));
        if let Some(final_outcome) = final_outcome {
            let _ = self.notifications.send(OutcomeNotification { message, id, final_outcome });
        }
    }

    fn sent_attempt(&self, sent: SentRecord) -> SentAttempt {
        SentAttempt { sent_at: self.clock.scheduler_time(sent.sent_ms), zone: ZoneId(sent.zone) }
    }

    fn accepted(&self, number: u32, taken: &AcceptedRecord) -> Option<AcceptedMessage> {
        let class = self.class(&taken.class)?;
        Some(AcceptedMessage {
            id: MessageId(number),
            class,
            destination: DestinationId(taken.destination),
            key: (taken.ordering_key != 0).then_some(OrderingKey(taken.ordering_key)),
            deadline: self.clock.scheduler_time(taken.deadline_ms),
            redelivered: taken.redelivered,
            tenant: self.tenant(&taken.tenant),
        })
    }

    fn class(&self, name: &str) -> Option<ClassId> {
        self.class_names.iter().position(|known| known == name).map(|at| ClassId(at as u8))
    }

    /// The place of a tenant in the settings; one that these do not name has no share that it could pass.
    fn tenant(&self, name: &str) -> TenantId {
        let at = self.tenant_names.iter().position(|known| known == name);
        TenantId(at.and_then(|at| u32::try_from(at).ok()).unwrap_or(u32::MAX))
    }

    /// Runs until the process is to end.
    pub async fn run(&mut self, events: &mut UnboundedReceiver<GatewayEvent>) {
        let mut sweep = interval(SWEEP);
        let mut sweeps = 0;
        let mut batch = Vec::with_capacity(BATCH);
        self.decide();
        loop {
            let wake = self.timer.map(|(at, _)| at);
            let never = Instant::now() + SWEEP;
            let end = self.shutdown.map(|(_, last)| last);
            tokio::select! {
                biased;
                _ = events.recv_many(&mut batch, BATCH) => {}
                () = sleep_until(wake.unwrap_or(never)), if wake.is_some() => {}
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
            let begun = Instant::now();
            for input in batch.drain(..) {
                self.handle(input);
            }
            if let Some((at, token)) = self.timer.filter(|(at, _)| *at <= begun) {
                self.timer = None;
                self.note_lateness(begun - at, "a timer was late");
                self.scheduler.handle(self.clock.now(), Event::TimerFired(token));
            }
            self.decide();
            self.retry_unwritten_records();
            self.note_lateness(begun.elapsed(), "a step took long");
            if self.may_end() {
                return self.finish(events).await;
            }
        }
    }

    /// Answers the requests that have been read but not answered: ending a connection before would lose their
    /// messages. The next process finds them in the journal.
    async fn finish(&mut self, events: &mut UnboundedReceiver<GatewayEvent>) {
        for _ in 0..LAST_ROUNDS {
            while let Ok(input) = events.try_recv() {
                self.handle(input);
            }
            // The tasks of the connections write what they were given.
            tokio::task::yield_now().await;
        }
        let written = self.journal.flush();
        self.journal_errors.log_failure(written);
        info!(held = self.journal.state.pending.len(), out = self.in_flight.len(), "the courier ends");
    }

    fn may_end(&self) -> bool {
        let Some((least, last)) = self.shutdown else { return false };
        let now = Instant::now();
        // The next process is to know all that this one does.
        let idle =
            self.in_flight.is_empty() && self.journal.state.pending.is_empty() && self.journal.is_flushed();
        now >= last || (now >= least && idle)
    }

    pub fn handle(&mut self, input: GatewayEvent) {
        let now = self.clock.now();
        match input {
            GatewayEvent::Enqueue(enqueue, reply) => {
                let id = enqueue.id.clone();
                let answer = self.enqueue(now, enqueue);
                debug!(id, ?answer, "a message was handed in");
                if let Err(EnqueueReply::Accepted(message)) = reply.send(answer) {
                    self.unheard(now, message);
                }
            }
            GatewayEvent::AcceptanceNotReceived(message) => self.unheard(now, message),
            GatewayEvent::Discovery(WatchEvent::Updated(update)) => self.listed(now, update),
            GatewayEvent::Discovery(WatchEvent::Established) => {
                self.scheduler.handle(now, Event::WatchEstablished)
            }
            GatewayEvent::Discovery(WatchEvent::Broken(why)) => {
                self.scheduler.handle(now, Event::EndpointsUpdated(why))
            }
            GatewayEvent::CallEnded { endpoint, messages, result: ended } => {
                self.call_ended(now, endpoint, &messages, &ended)
            }
            GatewayEvent::OutcomesAcknowledged(messages) => self.outcomes_acknowledged(now, messages),
            GatewayEvent::Admin(operation, done) => {
                let _ = done.send(self.operate(now, &operation));
            }
            GatewayEvent::Terminate if self.shutdown.is_some() => {}
            GatewayEvent::Terminate => {
                let begun = Instant::now();
                info!(held = self.journal.state.pending.len(), out = self.in_flight.len(), "told to end");
                self.shutdown = Some((begun + CLOSING_LEAST, begun + CLOSING));
                self.scheduler.handle(now, Event::ShutdownScheduled(now + CLOSING));
                // What moves to another process is in better hands there.
                if *self.phase.borrow() != ServicePhase::HandingOver {
                    self.phase.send_replace(ServicePhase::ShuttingDown);
                }
            }
        }
    }

    /// Does what operators ask. The yes is true from then on, also for the next process.
    fn operate(&mut self, now: Time, operation: &AdminOperation) -> AdminResult {
        match operation {
            AdminOperation::DisableEndpoint(uid) | AdminOperation::EnableEndpoint(uid) => {
                let out = matches!(operation, AdminOperation::DisableEndpoint(_));
                let was_out = self.journal.state.disabled_endpoints.contains(uid);
                if !was_out && !self.journal.state.endpoints.contains_key(uid) {
                    return AdminResult::UnknownEndpoint;
                }
                if out == was_out {
                    return AdminResult::Done;
                }
                if let Err(error) = self.journal.record_endpoint_disabled(uid, out) {
                    self.journal_errors.log_failure(Err(error));
                    return AdminResult::NotRecorded;
                }
                info!(uid, out, "operators have changed what is left out");
                self.detach(now, uid, out);
            }
            AdminOperation::LameDuck(on) => {
                info!(on, held = self.journal.state.pending.len(), "operators have told to empty, or not to");
                self.scheduler.handle(now, Event::LameDuck(*on));
                let phase = if *on { ServicePhase::LameDuck } else { ServicePhase::Serving };
                self.phase.send_if_modified(|known| {
                    let other = *known != phase
                        && !matches!(*known, ServicePhase::ShuttingDown | ServicePhase::HandingOver);
                    if other {
                        *known = phase;
                    }
                    other
                });
            }
        }
        AdminResult::Done
    }

    fn detach(&mut self, now: Time, uid: &str, out: bool) {
        let endpoint = self.directory.set_disabled(uid, out);
        self.scheduler.handle(
            now,
            if out { Event::EndpointDisabled(endpoint) } else { Event::EndpointEnabled(endpoint) },
        );
        self.in_flight.withdraw(|other| out && other == endpoint);
        self.forget_gone();
    }

    fn enqueue(&mut self, now: Time, enqueue: EnqueueRequest) -> EnqueueReply {
        let Some(class) = self.class(&enqueue.class) else { return EnqueueReply::Error("unknown class") };
        if let Some(known) = self.pending.get_mut(&enqueue.id) {
            // Sent once more on a new connection; or by somebody else, to whom the id does not belong.
            let held = self.journal.state.pending.get(&known.number);
            if !held.is_some_and(|held| enqueue.is_same(&held.message)) {
                return EnqueueReply::Error("the id is in use for another message");
            }
            known.shared = true;
            return EnqueueReply::AlreadyAccepted;
        }
        match self.completed.matches(&enqueue) {
            Some(true) => return EnqueueReply::AlreadyAccepted,
            Some(false) => return EnqueueReply::Error("the id was that of another message"),
            None => {}
        }
        let destination = DestinationId(enqueue.destination);
        if !self.journal.state.destinations.contains(&enqueue.destination) {
            return EnqueueReply::Error("unknown destination");
        }
        let class = &self.classes[usize::from(class.0)];
        if class.idempotency == Idempotency::IdempotentWithKey && enqueue.idempotency_key.is_none() {
            return EnqueueReply::Error("k is missing");
        }
        let most = class.deadline;
        let taken = AcceptedRecord {
            id: enqueue.id,
            ordering_key: enqueue.ordering_key,
            class: enqueue.class,
            tenant: enqueue.tenant,
            destination: enqueue.destination,
            idempotency_key: enqueue.idempotency_key,
            deadline_ms: self.clock.journal_ms(now + enqueue.time_left.min(most)),
            redelivered: enqueue.redelivered,
            body: enqueue.body,
        };
        let full = self.journal.state.pending.len() >= self.max_pending_messages;
        if full || !self.accepted(0, &taken).is_some_and(|new| self.scheduler.admits(now, &new)) {
            self.counters.rejected += 1;
            return EnqueueReply::Rejected(Some(self.scheduler.suggested_retry_after(now, destination)));
        }
        let id = taken.id.clone();
        match self.journal.accept(taken) {
            Ok(number) => {
                self.counters.accepted += 1;
                self.pending.insert(id, PendingEntry { number, shared: false });
                let taken = self.journal.state.pending.get(&number).map(|held| &held.message);
                if let Some(accepted) = taken.and_then(|taken| self.accepted(number, taken)) {
                    self.scheduler.handle(now, Event::MessageAccepted(accepted));
                }
                EnqueueReply::Accepted(MessageId(number))
            }
            Err(error) => {
                let is_written = !matches!(error, JournalError::TornTail) && self.journal.has_torn_tail();
                self.journal_errors.log_failure(Err(error));
                if is_written {
                    // The next process may find it accepted: who is refused would hand it in again.
                    return EnqueueReply::Error("the disk fails");
                }
                self.counters.rejected += 1;
                EnqueueReply::Rejected(Some(self.scheduler.suggested_retry_after(now, destination)))
            }
        }
    }

    /// A message of which its client never heard that it was taken on: nobody waits for its end, unless another
    /// hand-in of it was answered meanwhile.
    fn unheard(&mut self, now: Time, message: MessageId) {
        let id = self.journal.state.pending.get(&message.0).map(|held| &held.message.id);
        if id.and_then(|id| self.pending.get(id)).is_some_and(|known| !known.shared) {
            self.forget_message(message);
            self.scheduler.handle(now, Event::MessageAbandoned(message));
        }
    }

    fn listed(&mut self, now: Time, update: DiscoveryUpdate) {
        // A watch that begins anew often has nothing new to tell.
        if update.endpoints.is_empty() && !update.is_snapshot {
            return;
        }
        let listing = self.directory.apply(&update);
        self.scheduler.handle(now, Event::EndpointsUpdated(listing));
        let (rev, changed) = (update.revision, update.endpoints.len());
        let written = self.journal.record_endpoints(update);
        self.journal_errors.log_failure(written);
        info!(rev, changed, "the list has changed");
        self.pool.retain_endpoints(|endpoint| self.directory.is_open(endpoint));
        self.in_flight.withdraw(|endpoint| !self.directory.is_open(endpoint));
        self.forget_gone();
    }

    /// Forgets the endpoints that are gone, once none of their calls is out.
    fn forget_gone(&mut self) {
        if self.directory.has_removed() {
            let called = self.in_flight.endpoints();
            self.directory.forget_removed(|endpoint| called.contains(&endpoint));
        }
    }

    fn call_ended(&mut self, now: Time, endpoint: EndpointId, messages: &[MessageId], ended: &CallResult) {
        let CallResult { attempts: each, retry_after: wait } = ended;
        if let Some(wait) = *wait {
            self.told_to_wait(endpoint, wait);
            self.scheduler.handle(now, Event::RetryAfter { endpoint, delay: wait });
        }
        // The module judges an endpoint by the last outcome of a call: those that say nothing of it come first.
        let mut each: Vec<(MessageId, AttemptResult)> =
            messages.iter().copied().zip(each.iter().copied()).collect();
        each.sort_by_key(|(_, ended)| {
            !matches!(ended.outcome, AttemptOutcome::NotSent | AttemptOutcome::AttemptsExhausted)
        });
        for (message, ended) in each {
            self.ended(now, message, endpoint, ended);
        }
    }

    fn told_to_wait(&mut self, endpoint: EndpointId, wait: Duration) {
        let destination = self.directory.destination(endpoint);
        if let Some(to) = self.receiver(endpoint) {
            self.guard.told_to_wait(self.clock.now(), &to, wait);
        }
        if let Some(more) = self.retry_after_lines.due() {
            info!(?destination, ?wait, more, "told to wait");
        }
        self.in_flight.withdraw(|other| self.directory.destination(other) == destination);
    }

    fn ended(&mut self, now: Time, message: MessageId, endpoint: EndpointId, ended: AttemptResult) {
        let Some(out) = self.in_flight.remove(message) else { return };
        if let Some(held) = self.journal.state.pending.get(&message.0) {
            let (id, outcome, latency) = (&held.message.id, ended.outcome, ended.latency);
            debug!(
                id,
                attempt = out.attempt,
                endpoint = endpoint.0,
                ?outcome,
                ?latency,
                "an attempt has ended"
            );
        }
        if let AttemptOutcome::Rejected(Some(wait)) = ended.outcome {
            self.told_to_wait(endpoint, wait);
        }
        if ended.complete {
            self.counters.delivered += u32::from(ended.outcome == AttemptOutcome::Delivered);
            self.complete_message(message);
        } else {
            let written = match ended.outcome {
                AttemptOutcome::LocalFailure => self.journal.record_attempt_not_sent(message.0),
                outcome => self.journal.record_attempt_outcome(message.0, !outcome.was_not_processed()),
            };
            self.journal_errors.log_failure(written);
        }
        self.scheduler.handle(
            now,
            Event::AttemptFinished(FinishedAttempt {
                message,
                endpoint,
                attempt: out.attempt,
                outcome: ended.outcome,
                latency: ended.latency,
                complete: ended.complete,
                load_report: ended.load_report,
            }),
        );
        if self.directory.is_removed(endpoint) {
            self.forget_gone();
        }
    }

    fn decide(&mut self) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.decide(now, &mut actions);
        // What the module sends to one endpoint in one go shares calls.
        let target = |action: &Action| match action {
            Action::StartAttempt { endpoint, .. } => Some(*endpoint),
            _ => None,
        };
        for group in actions.chunk_by(|a, b| target(a).is_some() && target(a) == target(b)) {
            match target(&group[0]) {
                Some(endpoint) => {
                    for call in group.chunks(self.directory.max_batch(endpoint)) {
                        self.route(now, endpoint, call);
                    }
                }
                None => self.act(now, &group[0]),
            }
        }
        actions.clear();
        self.actions = actions;
        self.note_circuit_changes();
    }

    fn act(&mut self, now: Time, action: &Action) {
        match *action {
            Action::CancelAttempt { message, .. } => {
                // A message has one attempt out at most. The others of its call end with it.
                self.in_flight.stop(message, StopReason::Cancelled);
            }
            Action::Reject { message, retry_after } => {
                self.counters.returned += 1;
                self.record_final_outcome(
                    message,
                    FinalOutcome::Returned { after_ms: retry_after.as_millis() as u64 },
                );
            }
            Action::ReportFailure { message } => {
                self.counters.failed += 1;
                self.record_final_outcome(message, FinalOutcome::Failed);
            }
            Action::SetTimer { after, token } => self.timer = Some((self.clock.instant(now + after), token)),
            Action::CloseIdleConnections { endpoint } => self.pool.close_idle(endpoint),
            Action::WatchEndpoints { .. } => self.watch.send_replace(()),
            // Routes have gone out as calls.
            Action::StartAttempt { .. } => {}
        }
    }

    /// Sends messages to an endpoint in one call; in more where their bodies are too long for one.
    fn route(&mut self, now: Time, endpoint: EndpointId, routes: &[Action]) {
        let address = self.directory.address(endpoint);
        let zone = self.directory.zone(endpoint).0;
        let (mut carried, mut size) = (Vec::new(), 0);
        // The module's times count from its decision, not from when the call's task gets its turn.
        let decided = self.clock.instant(now);
        for route in routes {
            let Action::StartAttempt { message, attempt_timeout, send_within, .. } = *route else { continue };
            let load = self.journal.state.pending.get(&message.0).map(|held| OutgoingMessage {
                message,
                leave_by: decided + send_within,
                over: self.clock.instant(self.clock.scheduler_time(held.message.deadline_ms)),
                id: held.message.id.clone(),
                idempotency_key: held.message.idempotency_key.clone(),
                body: held.message.body.clone(),
            });
            if let Err(breach) = self.may_send(now, message, endpoint) {
                self.forbid(message, endpoint, breach);
                continue;
            }
            // An attempt that the next process would not know of is not made.
            let written = self
                .journal
                .record_attempt(message.0, SentRecord { sent_ms: self.clock.journal_ms(now), zone });
            let is_written = written.is_ok();
            self.journal_errors.log_failure(written);
            let Some((load, address)) = load.zip(address).filter(|_| is_written) else {
                self.not_made(message, endpoint, if is_written { TOO_LATE } else { NOT_WRITTEN });
                continue;
            };
            if size + load.batched_size() > LONGEST_BODY && !carried.is_empty() {
                self.call(endpoint, address, std::mem::take(&mut carried));
                size = 0;
            }
            size += load.batched_size();
            carried.push((load, attempt_timeout));
        }
        if let Some(address) = address.filter(|_| !carried.is_empty()) {
            self.call(endpoint, address, carried);
        }
    }

    /// Whether an attempt may be made, by the rules alone; what the journal does not hold is seen to elsewhere.
    fn may_send(&mut self, now: Time, message: MessageId, endpoint: EndpointId) -> Result<(), Breach> {
        let Some(held) = self.journal.state.pending.get(&message.0) else { return Ok(()) };
        let Some((class, to)) = self.class(&held.message.class).zip(self.receiver(endpoint)) else {
            return Ok(());
        };
        let class = &self.classes[usize::from(class.0)];
        let deadline = self.clock.scheduler_time(held.message.deadline_ms);
        // One of a courier that died may have run there at any time since it was handed in.
        let again = held.message.redelivered && class.idempotency == Idempotency::IdempotentWithKey;
        let elsewhere = again.then(|| SentAttempt { sent_at: deadline - class.deadline, zone: to.zone });
        let first = held.first_uncertain_attempt.or(held.in_flight).map(|sent| self.sent_attempt(sent));
        let attempt = Attempt {
            class,
            already_out: self.in_flight.contains(message),
            ended: held.final_outcome.is_some(),
            deadline,
            attempts: held.attempts,
            may_have_run: elsewhere.or(first),
            to,
        };
        self.guard.check(now, &attempt)
    }

    fn receiver(&self, endpoint: EndpointId) -> Option<Receiver> {
        Some(Receiver {
            endpoint,
            destination: self.directory.destination(endpoint)?,
            zone: self.directory.zone(endpoint),
            is_open: self.directory.is_open(endpoint),
            is_apart: self.directory.has_own_limits(endpoint),
        })
    }

    /// Does not make an attempt that would break a rule.
    fn forbid(&mut self, message: MessageId, endpoint: EndpointId, breach: Breach) {
        if let Some(more) = self.breach_lines.due() {
            let id = self.journal.state.pending.get(&message.0).map(|held| &held.message.id);
            error!(?id, endpoint = endpoint.0, %breach, more, "a rule would have been broken: not sent");
        }
        // One that is out has its outcome still to come.
        if breach != Breach::AlreadyOut {
            self.not_made(message, endpoint, TOO_LATE);
        }
    }

    fn not_made(&mut self, message: MessageId, endpoint: EndpointId, ended: AttemptResult) {
        self.track_attempt(message, endpoint, &CallHandle::not_started());
        let ended = CallResult { attempts: vec![ended], retry_after: None };
        let _ =
            self.events.send(GatewayEvent::CallEnded { endpoint, messages: vec![message], result: ended });
    }

    fn track_attempt(&mut self, message: MessageId, endpoint: EndpointId, call: &Rc<CallHandle>) {
        let attempts = self.journal.state.pending.get(&message.0).map_or(0, |held| held.attempts);
        let attempt = attempts.saturating_sub(1) as u16;
        self.in_flight.insert(message, InFlightAttempt { endpoint, attempt, call: call.clone() });
    }

    fn call(&mut self, endpoint: EndpointId, address: SocketAddr, carried: Vec<(OutgoingMessage, Duration)>) {
        let sent = Rc::new(Cell::new(false));
        let (handle, stopped) = CallHandle::new(sent.clone());
        // One call waits once: for as long as any of its messages may.
        let attempt_timeout =
            carried.iter().map(|(_, attempt_timeout)| *attempt_timeout).max().unwrap_or_default();
        let loads: Vec<OutgoingMessage> = carried.into_iter().map(|(load, _)| load).collect();
        loads.iter().for_each(|load| self.track_attempt(load.message, endpoint, &handle));
        self.counters.calls += 1;
        for load in &loads {
            debug!(
                id = load.id,
                endpoint = endpoint.0,
                ?attempt_timeout,
                shared = loads.len(),
                "an attempt begins"
            );
        }
        let mut call = Call { endpoint, address, loads, attempt_timeout };
        let (pool, inputs) = (self.pool.clone(), self.events.clone());
        tokio::task::spawn_local(async move {
            let too_late = |messages: Vec<MessageId>| {
                let ended = CallResult { attempts: vec![TOO_LATE; messages.len()], retry_after: None };
                let _ = inputs.send(GatewayEvent::CallEnded { endpoint, messages, result: ended });
            };
            let ended = pool.call(&mut call, stopped, sent, too_late).await;
            let messages = call.loads.iter().map(|load| load.message).collect();
            let _ = inputs.send(GatewayEvent::CallEnded { endpoint, messages, result: ended });
        });
    }
}
