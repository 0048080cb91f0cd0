//! Passes the event loop's state to a successor process, and continues from the state of a predecessor.
//!
//! A successor with the same fingerprint gets a [`HandoverSnapshot`], and the predecessor finishes its calls in flight.
//! Any other successor continues from the journal, and gets [`CarriedOverConstraints`] for what the journal doesn't
//! hold. The `handover` module has the protocol between the processes.

use delivery_gateway::discovery::EndpointIdTable;
use delivery_gateway::{EndpointId, Event, MessageId, Scheduler, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{timeout, timeout_at, Instant};
use tracing::info;

use super::in_flight::{CallHandle, InFlightCall};
use super::EventLoop;
use crate::clock::Clock;
use crate::events::{EnqueueReply, GatewayEvent, OutcomeNotification, ServicePhase, StopReason};
use crate::journal::ClockReading;

/// The maximum time to wait for aborted calls to end.
const ABORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Constraints for a successor that cannot read a [`HandoverSnapshot`]. The order of fields is the wire format between
/// two builds.
#[derive(Debug, Serialize, Deserialize)]
pub struct CarriedOverConstraints {
    retry_after_delays: Vec<RetryAfterDelay>,
    is_lame_duck: bool,
}

/// A `Retry-After` in force.
#[derive(Debug, Serialize, Deserialize)]
struct RetryAfterDelay {
    /// The uid of an endpoint that it applies to.
    uid: String,
    /// The time until it ends, from the handover.
    delay: Duration,
}

/// The state that a successor with the same fingerprint needs, in addition to the journal, to continue.
#[derive(Serialize, Deserialize)]
pub struct HandoverSnapshot {
    scheduler: Scheduler,
    /// The time from the start of the scheduler's clock to the reading `clock`.
    elapsed: Duration,
    clock: ClockReading,
    endpoint_ids: EndpointIdTable,
    /// Messages for which a later request was acknowledged as well, so that the client of the first one can't withdraw
    /// them.
    shared_messages: Vec<MessageId>,
    /// Calls in flight, which the predecessor finishes.
    calls: Vec<InFlightCall>,
}

impl HandoverSnapshot {
    /// Returns the calls that the predecessor finishes.
    pub fn calls(&self) -> &[InFlightCall] {
        &self.calls
    }
}

impl EventLoop {
    /// Continues from the predecessor's snapshot. The predecessor finishes its calls; `stop` asks it to stop one
    /// of them.
    pub fn resume_from(
        &mut self,
        snapshot: HandoverSnapshot,
        stop: impl Fn(MessageId, StopReason) + Clone + 'static,
    ) {
        let HandoverSnapshot { scheduler, elapsed, clock, endpoint_ids, shared_messages, calls } = snapshot;
        self.scheduler = scheduler.resumed(std::mem::take(&mut self.scheduler));
        self.channels.phase.send_replace(ServicePhase::in_service(self.scheduler.is_lame_duck()));
        self.clock = Clock::resumed(elapsed, clock);
        self.directory.adopt_ids(endpoint_ids);
        self.resume_endpoints();
        self.resume_pending(&shared_messages);
        self.persist_all_circuits();
        calls.into_iter().for_each(|call| self.resume_call(call, stop.clone()));
        info!(
            pending = self.pending.len(),
            in_flight = self.in_flight.len(),
            revision = self.endpoints_revision(),
            "took over from the predecessor"
        );
    }

    fn resume_endpoints(&mut self) {
        let state = &self.journal.state;
        self.directory.apply_snapshot(state.endpoints.values());
        for uid in &state.disabled_endpoints {
            self.directory.set_disabled(uid, true);
        }
    }

    fn resume_pending(&mut self, shared: &[MessageId]) {
        for (number, pending) in &self.journal.state.pending {
            let id = &pending.message.id;
            self.pending.insert(id.clone(), *number);
            if shared.contains(&MessageId(*number)) {
                self.pending.mark_shared(id);
            }
            if let Some(final_outcome) = pending.final_outcome {
                // The predecessor may have sent the notification already. It may arrive twice.
                let message = MessageId(*number);
                let _ = self.channels.notifications.send(OutcomeNotification {
                    message,
                    id: id.clone(),
                    final_outcome,
                });
            }
        }
    }

    fn resume_call(&mut self, call: InFlightCall, stop: impl Fn(MessageId, StopReason) + 'static) {
        let InFlightCall { endpoint, messages, is_sent } = call;
        let (handle, stopped) = CallHandle::of_predecessor(is_sent, self.pool.reserve_descriptor());
        messages.iter().for_each(|message| self.track_attempt(*message, endpoint, &handle));
        let Some(first) = messages.first().copied() else { return };
        tokio::task::spawn_local(async move {
            if let Ok(reason) = stopped.await {
                stop(first, reason);
            }
        });
    }

    /// Encodes the snapshot for a successor. This process must make no decisions while the successor may make them.
    ///
    /// # Errors
    /// The snapshot cannot be encoded.
    pub fn handover_snapshot(&mut self) -> Result<Vec<u8>, postcard::Error> {
        let snapshot = HandoverSnapshot {
            elapsed: self.clock.elapsed(),
            clock: self.clock.reading(),
            endpoint_ids: self.directory.id_table(),
            shared_messages: self.pending.shared_messages(),
            calls: self.in_flight.calls(),
            scheduler: std::mem::take(&mut self.scheduler),
        };
        let bytes = postcard::to_stdvec(&snapshot);
        self.scheduler = snapshot.scheduler;
        bytes
    }

    /// Returns the constraints for a successor with another fingerprint.
    pub fn carried_over_constraints(&self) -> CarriedOverConstraints {
        let by_uid = |(id, delay): (EndpointId, Duration)| {
            Some(RetryAfterDelay { uid: self.directory.uid(id)?.to_owned(), delay })
        };
        let delays = self.scheduler.retry_after_delays(self.clock.now());
        CarriedOverConstraints {
            retry_after_delays: delays.filter_map(by_uid).collect(),
            is_lame_duck: self.scheduler.is_lame_duck(),
        }
    }

    /// Applies the constraints of a predecessor with another fingerprint, after [`recover`](Self::recover). The
    /// predecessor has no calls in flight any more.
    pub fn apply_constraints(&mut self, constraints: CarriedOverConstraints) {
        let now = self.clock.now();
        for RetryAfterDelay { uid, delay } in constraints.retry_after_delays {
            if let Some(endpoint) = self.directory.endpoint_id(&uid) {
                self.scheduler.handle(now, Event::RetryAfter { endpoint, delay });
            }
        }
        self.resume_phase(ServicePhase::in_service(constraints.is_lame_duck));
    }

    /// Enters a phase, such as the one before a handover that has failed, and allows calls again.
    pub fn resume_phase(&mut self, phase: ServicePhase) {
        if self.resume_shutdown() {
            return;
        }
        let now = self.clock.now();
        self.scheduler.handle(now, Event::LameDuck(phase == ServicePhase::LameDuck));
        self.scheduler.handle(now, Event::ShutdownScheduled(Time(u64::MAX)));
        self.channels.phase.send_replace(phase);
    }

    /// Starts no more calls until [`resume_phase`](Self::resume_phase) is called.
    pub fn stop_starting_calls(&mut self) {
        let now = self.clock.now();
        self.scheduler.handle(now, Event::ShutdownScheduled(now));
    }

    /// Returns whether calls are in flight.
    pub fn has_calls_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Aborts the calls in flight, and handles events until all calls have ended, for at most [`ABORT_TIMEOUT`].
    pub async fn abort_calls(&mut self, events: &mut UnboundedReceiver<GatewayEvent>) {
        self.abort_calls_without_waiting();
        let end = Instant::now() + ABORT_TIMEOUT;
        while self.has_calls_in_flight() {
            let Ok(Some(event)) = timeout_at(end, events.recv()).await else { return };
            self.handle(event);
        }
    }

    /// Aborts the calls in flight, and waits until their connections have been released, for at most
    /// [`ABORT_TIMEOUT`]. Records nothing and accepts no message, because another process may have written to the
    /// journal.
    pub async fn abandon_calls(&self, events: &mut UnboundedReceiver<GatewayEvent>) {
        self.abort_calls_without_waiting();
        let mut remaining = self.in_flight_messages();
        let all_ended = async {
            while !remaining.is_empty() {
                match events.recv().await {
                    Some(GatewayEvent::CallEnded { messages, .. }) => {
                        remaining.retain(|message| !messages.contains(message))
                    }
                    Some(GatewayEvent::Enqueue(_, reply)) => drop(reply.send(EnqueueReply::Rejected(None))),
                    Some(_) => {}
                    None => return,
                }
            }
        };
        let _ = timeout(ABORT_TIMEOUT, all_ended).await;
    }

    /// Handles the events that have arrived, without a decision of the scheduler.
    pub fn process_queued(&mut self, events: &mut UnboundedReceiver<GatewayEvent>) {
        while let Ok(event) = events.try_recv() {
            self.handle(event);
        }
    }

    /// Stops a call of this process at the successor's request, unless it has ended, or has been sent and is only to be
    /// withdrawn.
    pub fn cancel_call(&self, message: MessageId, reason: StopReason) {
        self.in_flight.stop(message, reason);
    }

    /// Aborts all calls of this process, without waiting until they have ended.
    pub fn abort_calls_without_waiting(&self) {
        self.in_flight.abort_all();
    }

    /// Returns the messages in flight.
    pub fn in_flight_messages(&self) -> HashSet<MessageId> {
        self.in_flight.messages()
    }

    /// Closes idle connections and keeps no new ones, while another process makes the calls.
    pub fn pause_idle_connections(&self) {
        self.pool.set_max_idle(0);
    }

    /// Keeps idle connections again.
    pub fn resume_idle_connections(&self) {
        self.pool.set_max_idle(self.max_idle_connections);
    }

    /// Returns whether the journal's files hold all records of this process.
    pub fn journal_is_flushed(&self) -> bool {
        self.journal.is_flushed()
    }

    /// Returns whether no other process has written to the journal. False if that cannot be checked.
    pub fn journal_is_untouched(&self) -> bool {
        self.journal.is_untouched()
    }
}
