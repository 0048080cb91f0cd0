//! The delivery policy: decides which message goes to which endpoint and when, and which messages are
//! rejected, given up or cancelled.
//!
//! A message waits in the queue of its destination. A free call slot goes to the waiting destination with the
//! fewest calls in flight. A message that an attempt did not deliver is retried after a backoff with full
//! jitter, up to the maximum number of attempts and until its deadline. After an attempt that may have been
//! processed, a message with an idempotency key is retried only under the same key, within its deduplication
//! scope and its idempotency window, and a non-idempotent message is not retried. The other rules restrict
//! these calls or choose between them.
//!
//! Each rule has its own module, which owns the rule's constants and, if it has any, its state. `quota`,
//! `idempotency`, `ordering`, `retry`, `message_value`, `connection_reuse`, `watch_backoff`, `drain` and
//! `shutdown` apply to messages, connections, the endpoint list and the process. `retry_after`,
//! `circuit_breaker`, `slow_start`, `rate_limit`, `loss_ratio` and `traffic` apply to a route, and [`Route`]
//! holds their state. No rule reads the state of another, except that `slow_start` reads from `traffic` the
//! rates on which its budget depends.
//!
//! The other modules combine the rules. [`Scheduler::decide`] lists the parts of a decision in their order.
//! `admission` accepts and sheds messages, `route_availability` checks the rules that a call has to pass,
//! `message_choice`, `endpoint_selection` and `slot_allocation` choose what is sent, `call_outcome` updates
//! the rules with the outcome of a call, and `unresponsive_calls` handles calls without a response.

use crate::model::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod admission;
mod backoff;
mod call_outcome;
mod call_start;
mod circuit_breaker;
mod connection_reuse;
mod derived_settings;
mod drain;
mod endpoint_list;
mod endpoint_selection;
mod idempotency;
mod loss_ratio;
mod maintenance;
mod message_choice;
mod message_value;
mod ordering;
mod quota;
mod rate_limit;
mod reporting;
mod restore;
mod retry;
mod retry_after;
mod route;
mod route_availability;
mod shutdown;
mod slot_allocation;
mod slow_start;
mod state;
mod traffic;
mod unresponsive_calls;
mod watch_backoff;

use connection_reuse::ConnectionReuse;
use drain::LameDuck;
use ordering::OrderingKeys;
use quota::TenantQuotas;
use route::Route;
use shutdown::Shutdown;
use state::queue::{Queue, Seq};
use state::ready_index::ReadyIndex;
pub use state::ready_index::WorkCounters;
use state::{Call, CallId, LatencyEstimate, Message, RouteId, TrackedEndpoint};
use watch_backoff::WatchBackoff;
pub use watch_backoff::WATCH_RESPONSE_TIMEOUT;

/// The scheduler of one gateway. It records events in [`Scheduler::handle`] and returns actions from
/// [`Scheduler::decide`]. A step consists of any number of events and the decision that follows them. The
/// state can be handed over to another process, which continues with [`Scheduler::resumed`].
#[derive(Default, Serialize, Deserialize)]
pub struct Scheduler {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    rng: fastrand::Rng,
    /// Listed endpoints, and removed endpoints that still have calls in flight.
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    routes: BTreeMap<RouteId, Route>,
    /// Messages without a final outcome, by destination. Empty queues are removed.
    queues: BTreeMap<DestinationId, Queue>,
    last_seq: Seq,
    messages: BTreeMap<MessageId, Message>,
    /// Number of messages without a final outcome.
    open_messages: usize,
    /// Times at which messages are given up unless they are completed earlier, the earliest first.
    deadlines: BTreeSet<Deadline>,
    /// Calls in flight; each takes one slot.
    calls: BTreeMap<CallId, Call>,
    last_call: CallId,
    /// Latency over all destinations; the initial estimate for a route without samples.
    latency: LatencyEstimate,
    quotas: TenantQuotas,
    ordering: OrderingKeys,
    connection_reuse: ConnectionReuse,
    watch_backoff: WatchBackoff,
    shutdown: Shutdown,
    lame_duck: LameDuck,
    /// Endpoints that operators have disabled, listed or not.
    disabled_endpoints: BTreeSet<EndpointId>,
    /// When [`Scheduler::fill_free_slots`] last ran with a free slot.
    slots_filled_at: Time,
    #[serde(skip)]
    timer: Option<Timer>,
    last_timer_token: u64,
    /// Actions of the current step, until `decide` returns them.
    #[serde(skip)]
    actions: Vec<Action>,
    /// Indexes of what the next steps have to visit.
    #[serde(skip)]
    ready_index: ReadyIndex,
}

/// When a message is given up, unless it is completed earlier. A message in flight may be given up a little
/// later; see [`Scheduler::give_up_expired`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Deadline {
    at: Time,
    message: MessageId,
}

/// The timer that was requested last.
#[derive(Clone, Copy)]
struct Timer {
    at: Time,
    token: u64,
}

impl Scheduler {
    /// Creates a scheduler without messages and endpoints. `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let latency = LatencyEstimate::initial(&settings);
        Scheduler { settings, rng: fastrand::Rng::with_seed(seed), latency, ..Scheduler::default() }
    }

    /// Continues with handed-over state in another process, with the settings and the randomness of a `fresh`
    /// scheduler that has the same settings. All state is kept except the scheduled shutdown, which was that
    /// of the old process.
    pub fn resumed(self, fresh: Scheduler) -> Self {
        let shutdown = Shutdown::default();
        let mut scheduler = Scheduler { settings: fresh.settings, rng: fresh.rng, shutdown, ..self };
        scheduler.rebuild_ready_index();
        scheduler
    }

    /// Records one event. Call [`Scheduler::decide`] after the last event of a step.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated(update) => self.on_endpoints_updated(now, update),
            Event::WatchEstablished => self.watch_backoff.on_established(),
            Event::MessageAccepted(message) => self.on_message_accepted(now, message),
            Event::MessageRestored(message) => self.on_message_restored(now, message),
            Event::CircuitRestored(record) => self.on_circuit_restored(now, record),
            Event::OutcomeAcknowledged(id) => self.on_outcome_acknowledged(id),
            Event::ShutdownScheduled(at) => self.on_shutdown_scheduled(at),
            Event::EndpointDisabled(endpoint) => self.on_endpoint_disabled(endpoint),
            Event::EndpointEnabled(endpoint) => self.on_endpoint_enabled(now, endpoint),
            Event::LameDuck(is_draining) => self.lame_duck.set(now, is_draining),
            Event::RetryAfter { endpoint, delay } => self.on_retry_after(now, endpoint, delay),
            Event::AttemptFinished(finished) => self.on_attempt_finished(now, finished),
            Event::MessageAbandoned(id) => self.complete_message(id),
            Event::TimerFired(token) => self.timer = self.timer.filter(|timer| timer.token != token),
        }
    }

    /// Acts on all recorded events, and appends the resulting actions to `actions`. The calls in this
    /// function are the parts of a decision, in their order.
    pub fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.give_up_expired(now);
        self.shed_load(now);
        let mut next = self.mark_unresponsive_calls(now);
        self.cancel_unresponsive_call(now);
        self.fill_free_slots(now, &mut next);
        self.restart_watch(now, &mut next);
        self.set_timer(now, next);
        actions.append(&mut self.actions);
    }

    /// Returns a random delay to wait before the first watch on the endpoint list, so that gateways that
    /// start together spread their watches.
    pub fn initial_watch_delay(&mut self) -> Duration {
        watch_backoff::initial_delay(&self.settings, self.rng.f64())
    }

    /// Schedules the end of this process, or cancels it. While it is scheduled, each step with a free slot
    /// visits all destinations, as the calls that can still complete in time change all the time.
    fn on_shutdown_scheduled(&mut self, at: Time) {
        self.shutdown.schedule(at);
        self.ready_index.must_visit_all = true;
    }

    /// Requests a timer for the earliest time at which something can be done without an event. Only one timer
    /// is set at a time.
    fn set_timer(&mut self, now: Time, next: Option<Time>) {
        let next_deadline = self.deadlines.first().map(|deadline| deadline.at);
        let Some(at) = next.into_iter().chain(next_deadline).min() else { return };
        if self.timer.is_none_or(|timer| at < timer.at || timer.at <= now) {
            self.last_timer_token += 1;
            self.timer = Some(Timer { at, token: self.last_timer_token });
            self.actions.push(Action::SetTimer { after: at - now, token: self.last_timer_token });
        }
    }
}
