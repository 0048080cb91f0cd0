//! Every decision of a courier. Types, events and actions are in `interface.rs`, what it keeps in mind in
//! `books.rs`; nothing is decided there.
//!
//! The ordinary path: a message waits in the queue of its destination; a free call slot goes to the waiting
//! destination with the fewest calls out; a message whose attempt may have run goes again under its one key,
//! inside group, window and attempt limit, after a full-jitter exponential gap. All else guards that path.

use crate::model::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod admission;
mod backoff;
mod call_outcome;
mod circuit_breaker;
mod connection_reuse;
mod derived_settings;
mod idempotency;
mod loss_ratio;
mod maintenance;
mod message_value;
mod operators;
mod ordering;
mod quota;
mod rate_limit;
mod reports;
mod retry;
mod retry_after;
mod slow_start;
mod state;
mod traffic;
mod watch_backoff;

use circuit_breaker::CircuitBreaker;
use connection_reuse::{ConnectionReuse, IdleConnections, NextCall};
use derived_settings::{shortest_objective_secs, warm_up_secs};
use ordering::OrderingKeys;
use quota::TenantQuotas;
use rate_limit::{RateLimit, RatePhase, Token};
use state::queue::{Queue, Seq};
pub use state::ready_index::WorkCounters;
use state::ready_index::{earliest, Agenda, Look};
use state::*;
use watch_backoff::WatchBackoff;
pub use watch_backoff::WATCH_RESPONSE_TIMEOUT;

// ---- Tuned values ----

/// A call is stalled when it was not answered for so many latencies ...
const STALL_LATENCIES: f64 = 3.0;
/// ... and at least for this part of the shortest aim: short pauses of a partner pass unnoticed.
const STALL_AIM: f64 = 0.25;
/// An unsafe call gets so many times that patience before it is called off: what it carries is lost then.
const UNSAFE_PATIENCE: u32 = 2;
/// An endpoint that failed is used last for this part of the overload window at first; doubles with each failure.
const BASE_AVOIDANCE_OF_WINDOW: f64 = 0.1;
/// A message waits for a cheaper route until this part of its aim has passed: the rest is for the call.
const FEE_PATIENCE_OF_AIM: f64 = 0.25;
/// Calls out to a destination in a spell, as a part of the free slots; one at least.
const TRIAL_SLOTS: f64 = 0.25;
/// Share of the messages that may be held above which the least worth are shed.
const SHED_ABOVE: f64 = 0.93;
/// What surely did not run and is handed back before this part of its time costs so much of its worth: its
/// client has waited in vain, where one that is refused at the door has not.
const UNTRIED: (f64, f64) = (0.7, 0.3);
/// While operators empty the courier, clients that have not yet heard of it are served for so long.
const LAME_GRACE: Duration = Duration::from_secs(3);

// ---- State ----

/// A courier: records events in `handle`, acts in `decide`. All that it keeps in mind can be passed on to
/// another process, which goes on with [`Scheduler::resumed`].
#[derive(Default, Serialize, Deserialize)]
pub struct Scheduler {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    rng: fastrand::Rng,
    addresses: BTreeMap<EndpointId, Address>,
    routes: BTreeMap<RouteId, Route>,
    /// Messages not answered, by destination; no empty ones.
    queues: BTreeMap<DestinationId, Queue>,
    last_seq: Seq,
    messages: BTreeMap<MessageId, Message>,
    quotas: TenantQuotas,
    open: usize,
    deadlines: BTreeSet<(Time, MessageId)>,
    ordering: OrderingKeys,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    /// Latency over all destinations: what one that was never called is assumed to need.
    latency: Latency,
    connection_reuse: ConnectionReuse,
    watch_backoff: WatchBackoff,
    /// When this courier ends, if that is known.
    closing: Option<Time>,
    /// When all that waits was last looked at, or need not be.
    last_round: Time,
    /// Endpoints that operators leave out, listed or not.
    detached: BTreeSet<EndpointId>,
    /// Since when operators have been emptying the courier.
    lame_since: Option<Time>,
    #[serde(skip)]
    wake: Option<(Time, u64)>,
    token: u64,
    /// What is to be done, until `decide` hands it over.
    #[serde(skip)]
    actions: Vec<Action>,
    /// What the next steps have to look at.
    #[serde(skip)]
    agenda: Agenda,
}

impl Scheduler {
    /// A courier that knows only its settings; `seed` is its one source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let latency = Latency::initial(&settings);
        Scheduler { settings, rng: fastrand::Rng::with_seed(seed), latency, ..Scheduler::default() }
    }

    /// Goes on in another process, in the place of a `fresh` courier with the same settings: nothing that
    /// happened is forgotten but that the old process is to end.
    pub fn resumed(self, fresh: Scheduler) -> Self {
        let mut courier = Scheduler { settings: fresh.settings, rng: fresh.rng, closing: None, ..self };
        courier.rebuild_agenda();
        courier
    }

    /// Records one event. Call [`Scheduler::decide`] after the last one of a batch.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated(listing) => self.on_listing(now, listing),
            Event::WatchEstablished => self.watch_backoff.on_established(),
            Event::MessageAccepted(message) => self.on_accept(now, message),
            Event::MessageRestored(message) => self.on_restored(now, message),
            Event::CircuitRestored(outage) => self.on_recalled(now, outage),
            Event::OutcomeAcknowledged(id) => {
                if let Some(message) = self.messages.get_mut(&id) {
                    message.awaits_acknowledgement = false;
                }
                self.forget_if_over(id);
            }
            Event::ShutdownScheduled(at) => self.on_closing(at),
            Event::EndpointDisabled(endpoint) => self.on_detach(endpoint),
            Event::EndpointEnabled(endpoint) => self.on_attach(now, endpoint),
            Event::LameDuck(on) => self.lame_since = on.then(|| self.lame_since.unwrap_or(now)),
            Event::RetryAfter { endpoint, delay } => self.on_told_wait(now, endpoint, delay),
            Event::AttemptFinished(finished) => self.on_finished(now, finished),
            Event::MessageAbandoned(id) => self.close(id),
            Event::TimerFired(token) => self.wake = self.wake.filter(|(_, set)| *set != token),
        }
    }

    /// When a client does well to come again with a message for this destination: what waits there has to go
    /// out first, and a told wait to pass.
    pub fn suggested_retry_after(&mut self, now: Time, to: DestinationId) -> Duration {
        let waiting = self.queues.get(&to).map_or(0, Queue::len) as f64;
        let routes: Vec<RouteId> = self.routes.range(RouteId::all_of(to)).map(|(id, _)| *id).collect();
        let pace: f64 = routes.iter().map(|id| self.pace(now, *id)).sum();
        let wait =
            routes.iter().map(|id| self.routes[id].retry_after.remaining(now)).min().unwrap_or_default();
        retry_after::suggested_delay(shortest_objective_secs(&self.settings), waiting, pace, wait)
    }

    /// After how long to watch the list for the first time: couriers that start together spread.
    pub fn initial_watch_delay(&mut self) -> Duration {
        watch_backoff::initial_delay(&self.settings, self.rng.f64())
    }

    /// Acts on all that was recorded.
    pub fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.answer_due(now);
        self.shed(now);
        let mut next = self.note_stalls(now);
        self.free_pinned_slot(now);
        self.send_ready(now, &mut next);
        self.watch_again(now, &mut next);
        self.set_wake(now, next);
        actions.append(&mut self.actions);
    }

    // ---- Events ----

    fn on_listing(&mut self, now: Time, listing: EndpointUpdate) {
        let entries = match listing {
            EndpointUpdate::WatchFailed => {
                self.watch_backoff.on_failed(now);
                return;
            }
            EndpointUpdate::WatchRejected => {
                self.watch_backoff.on_rejected(now, &self.settings, self.rng.f64());
                return;
            }
            EndpointUpdate::Delta(entries) => entries,
            EndpointUpdate::Snapshot(entries) => {
                // What a whole list does not name is gone: it gets nothing new from now on.
                for address in self.addresses.values_mut() {
                    address.entry.mode = Availability::Removed;
                }
                self.agenda.gone = self.addresses.keys().copied().collect();
                self.agenda.all = true;
                entries
            }
        };
        self.agenda.work.endpoints += entries.len() as u64;
        for entry in entries {
            let known = self.addresses.get(&entry.id).map(|address| address.entry.destination);
            if entry.mode == Availability::Removed && known.is_none() {
                continue;
            }
            known.into_iter().chain([entry.destination]).for_each(|to| self.touch(to));
            if entry.mode == Availability::Removed {
                self.agenda.gone.insert(entry.id);
            } else {
                self.agenda.gone.remove(&entry.id);
            }
            let batch_size =
                self.settings.destination_kinds.get(usize::from(entry.kind.0)).map_or(1, |k| k.batch.max(1));
            let chance = self.rng.f64();
            let route = self.routes.entry(self.route_of(&entry)).or_insert_with(|| Route {
                rate_limit: RateLimit::new(now, &self.settings, &entry, chance),
                latency: self.latency,
                circuit: CircuitBreaker::new(now),
                ..Route::default()
            });
            route.rate_limit.adopt_listed_limit(&self.settings, &entry);
            route.batch_size = batch_size;
            if let Some(known) = self.addresses.get_mut(&entry.id) {
                known.entry = entry;
                continue;
            }
            route.endpoints.push(entry.id);
            let (id, preference, avoid_until) = (entry.id, self.rng.u32(..), Time::ZERO);
            let address = Address { entry, calls_out: 0, preference, failures: 0, avoid_until, used: None };
            self.addresses.insert(id, address);
        }
        self.agenda.work.endpoints += self.agenda.gone.len() as u64;
        let over = |id: &&EndpointId| self.addresses.get(id).is_none_or(|a| a.calls_out == 0);
        for id in self.agenda.gone.iter().filter(over).copied().collect::<Vec<_>>() {
            self.forget_address(id);
        }
    }

    /// Watches the list again once its gap has passed.
    fn watch_again(&mut self, now: Time, next: &mut Option<Time>) {
        if self.watch_backoff.take_due(now) {
            self.actions.push(Action::WatchEndpoints { active: true });
        }
        earliest(next, self.watch_backoff.retry_at());
    }

    fn on_accept(&mut self, now: Time, taken: AcceptedMessage) {
        let over_quota = self.quotas.charge(&self.settings, now, taken.tenant);
        let Some(mut message) = Message::new(&self.settings, now, taken, over_quota) else { return };
        self.last_seq += 1;
        message.seq = self.last_seq;
        let taken = &message.accepted;
        if let Some(key) = message.ordering_key(&self.settings) {
            self.ordering.push(key, taken.id);
        }
        self.deadlines.insert((taken.deadline, taken.id));
        let standing = self.standing(&message);
        self.queues.entry(taken.destination).or_default().push(message.seq, taken.id, standing);
        self.open += 1;
        self.touch(message.accepted.destination);
        self.note_demand(now, message.accepted.destination);
        self.messages.insert(message.accepted.id, message);
    }

    /// Takes a message up again after a restart. Calls that were out then broke with the old process at the
    /// latest, so that keys rest from now on.
    fn on_restored(&mut self, now: Time, restored: RestoredMessage) {
        let id = restored.message.id;
        self.ordering.hold_all(now + self.settings.limits.ordering_key_hold);
        self.agenda.all = true;
        self.on_accept(now, restored.message);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.attempts = restored.attempts;
        if let Some(SentAttempt { sent_at, zone }) = restored.first_uncertain_attempt {
            let restored = UncertainAttempt { sent_at, zone: Some(zone) };
            message.first_uncertain_attempt = message.first_uncertain_attempt.or(Some(restored));
        }
        let answered = restored.outcome_recorded;
        message.awaits_acknowledgement |= answered;
        self.restand(id);
        if answered {
            self.close(id);
        } else if let Some(end) =
            self.messages.get(&id).and_then(|m| idempotency::last_send_at(&self.settings, m))
        {
            self.deadlines.insert((end.max(now), id));
        }
    }

    fn on_recalled(&mut self, now: Time, outage: CircuitRecord) {
        self.touch(outage.destination);
        let chance = self.rng.f64();
        let id = RouteId { destination: outage.destination, endpoint: outage.endpoint };
        let Some(route) = self.routes.get_mut(&id) else { return };
        self.agenda.circuit_records.insert(id);
        route.circuit.restore(&outage);
        route.traffic.restore_baseline(outage.baseline_rate);
        route.slow_start.restore(outage.slow_start_since);
        if route.slow_start.is_active() {
            route.rate_limit.drain();
        }
        if outage.calls_lost.is_some() {
            route.schedule_probe(now, &self.settings, chance);
        }
    }

    fn on_told_wait(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        let Some(id) = self.addresses.get(&endpoint).map(|a| self.route_of(&a.entry)) else { return };
        self.touch(id.destination);
        if let Some(route) = self.routes.get_mut(&id) {
            route.retry_after.extend(now + wait);
        }
    }

    fn on_finished(&mut self, now: Time, finished: FinishedAttempt) {
        // A wait binds from the batch that tells it, whichever message of a call brings it, and whatever
        // became of that message.
        if let AttemptOutcome::Rejected(Some(wait)) = finished.outcome {
            self.on_told_wait(now, finished.endpoint, wait);
        }
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call_id) = message.call.take() else { return };
        let to = message.accepted.destination;
        self.touch(to);
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let class = message.class(&self.settings);
        let was_not_processed = finished.outcome.was_not_processed();
        if finished.outcome == AttemptOutcome::LocalFailure {
            message.attempts = message.attempts.saturating_sub(1);
        }
        if finished.outcome == AttemptOutcome::AttemptsExhausted {
            message.attempts = self.settings.max_attempts;
        }
        if !was_not_processed && message.first_uncertain_attempt.is_none() {
            message.first_uncertain_attempt =
                Some(UncertainAttempt { sent_at: call.sent, zone: Some(call.zone) });
        }
        message.not_before =
            now + retry::backoff_delay(class.latency_objective, message.attempts, self.rng.f64());
        // A call that may still be running lets its key rest before the next message of the key.
        let unsettled = !was_not_processed
            && !matches!(finished.outcome, AttemptOutcome::Delivered | AttemptOutcome::ErrorResponse);
        if let Some(key) = message.ordering_key(&self.settings).filter(|_| unsettled) {
            self.ordering.hold(now, key, now + self.settings.limits.ordering_key_hold);
        }
        // Only a call's last outcome counts for the route: its messages share one fate.
        call.unanswered -= 1;
        if call.unanswered == 0 {
            if let Some(call) = self.calls.remove(&call_id) {
                self.end_call(now, call_id, call, &finished);
            }
        }
        self.restand(finished.message);
        if finished.complete {
            self.close(finished.message);
        } else if let Some(end) =
            self.messages.get(&finished.message).and_then(|m| idempotency::last_send_at(&self.settings, m))
        {
            // What can never be sent again is answered at once: it would only fill what may be held and keep
            // its order key from the messages behind it.
            self.deadlines.insert((end.max(now), finished.message));
        }
        self.forget_if_over(finished.message);
    }

    /// Frees the slot of a call and lets address, connections and route learn from its outcome.
    fn end_call(&mut self, now: Time, id: u64, call: Call, finished: &FinishedAttempt) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.calls.remove(&id);
        }
        self.agenda.hanging.remove(&id);
        let lost = matches!(
            finished.outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        );
        let explained_by_idle = lost && self.connection_reuse.explains_loss(&self.settings, call.idle);
        if lost && !call.stalled {
            self.connection_reuse.record_loss(now, &self.settings, call.idle);
        } else if finished.outcome == AttemptOutcome::Delivered {
            self.connection_reuse.record_success(now, &self.settings, call.idle);
        }
        if finished.outcome == AttemptOutcome::TooManyConnections {
            self.connection_reuse.on_too_many_connections(now, &self.settings);
        }
        let rules = &self.settings.limits;
        if let Some(address) = self.addresses.get_mut(&call.to) {
            address.calls_out = address.calls_out.saturating_sub(1);
            match finished.outcome {
                AttemptOutcome::Delivered => (address.used, address.failures) = (Some(now), 0),
                AttemptOutcome::Rejected(_) => address.used = Some(now),
                _ if explained_by_idle => {}
                AttemptOutcome::ConnectFailed
                | AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::ErrorResponse => {
                    address.failures += 1;
                    let gap = backoff::exponential(
                        rules.overload_window,
                        BASE_AVOIDANCE_OF_WINDOW,
                        address.failures,
                    )
                    .min(rules.warm_up);
                    address.avoid_until = now + gap.mul_f64(self.rng.f64());
                }
                AttemptOutcome::MalformedResponse
                | AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
                | AttemptOutcome::AttemptsExhausted
                | AttemptOutcome::TooManyConnections
                | AttemptOutcome::LocalFailure => {}
            }
            if self.connection_reuse.is_paused(now) {
                address.used = None;
                self.actions.push(Action::CloseIdleConnections { endpoint: call.to });
            }
            if address.calls_out == 0 && address.entry.mode == Availability::Removed {
                self.forget_address(call.to);
            }
        }
        let noted = self.is_noted(call.route);
        if !explained_by_idle {
            self.learn(now, finished, &call);
        }
        if noted || self.is_noted(call.route) {
            self.agenda.circuit_records.insert(call.route);
        }
        self.plan_stall(call.route);
    }

    // ---- Health and pace ----

    /// Marks the calls that have been silent for too long, and says when the next one will have been.
    fn note_stalls(&mut self, now: Time) -> Option<Time> {
        while let Some(id) = self.agenda.stalls.due(now) {
            let call = self.oldest_not_stalled(id).and_then(|call| Some((call, self.calls.get_mut(&call)?)));
            if let Some((call_id, call)) = call {
                call.stalled = true;
                let idle = call.idle;
                self.agenda.hanging.insert(call_id);
                self.connection_reuse.record_loss(now, &self.settings, idle);
            }
            self.plan_stall(id);
        }
        self.agenda.stalls.first()
    }

    fn stall_patience(&self, id: RouteId) -> Duration {
        let usual = self.routes.get(&id).map_or(0.0, |route| route.latency.multiple_secs(STALL_LATENCIES));
        Duration::from_secs_f64(usual.max(shortest_objective_secs(&self.settings) * STALL_AIM))
    }

    /// When a route may take one more call: now, later, or only after some outcome (none). What else would
    /// change that goes to `look`.
    fn route_free_at(&mut self, now: Time, id: RouteId, look: &mut Look) -> Option<Time> {
        let stall = self.stall_patience(id);
        let slots_free = self.slots_free();
        let rate = self.pace(now, id);
        let route = self.routes.get_mut(&id)?;
        route.rate_limit.settle(self.last_round);
        if route.retry_after.is_pending(now) {
            earliest(&mut look.change, route.slow_start.ends_at(&self.settings));
            return Some(route.retry_after.until());
        }
        // A slow start speeds up from moment to moment.
        look.always |= route.slow_start.is_active();
        if self.closing.is_some_and(|end| now + stall > end) {
            return None;
        }
        // Hung or dead destinations answer nothing: the silence itself opens the circuit, long before a
        // time-out would, so that only few calls are risked.
        let oldest = route.calls.first().and_then(|call| self.calls.get(call)).map(|call| call.sent);
        if let (false, Some(sent)) = (route.circuit.is_open(), oldest) {
            let silent = route.circuit.silent_at(sent, stall);
            if now >= silent {
                route.circuit.open_on_silence(now, sent, stall);
                self.agenda.circuit_records.insert(id);
            } else {
                earliest(&mut look.change, Some(silent));
            }
        }
        if let Some(next_probe_at) = route.circuit.next_probe_at() {
            // Trials that hang must not gather until they pin the slots of the healthy.
            let least = ((route.calls.len() + 1) as f64 / TRIAL_SLOTS).ceil() as usize;
            let free = route.calls.is_empty() || look.needs_slots(least, slots_free);
            return free.then_some(next_probe_at);
        }
        // Bulkhead: no destination has more calls out than slots are left for all others.
        if !route.calls.is_empty() && !look.needs_slots(route.calls.len() + 1, slots_free) {
            return None;
        }
        let phase = if route.slow_start.is_active() { RatePhase::SlowStart } else { RatePhase::Steady };
        match route.rate_limit.next_token(now, rate, phase) {
            Token::Available => Some(now),
            Token::Due { due, recheck_at, is_exact } => {
                look.always |= !is_exact;
                earliest(&mut look.change, Some(recheck_at));
                Some(due)
            }
        }
    }

    /// Calls a second that this courier may send a route now.
    fn pace(&mut self, now: Time, id: RouteId) -> f64 {
        let Some(route) = self.routes.get_mut(&id) else { return 1.0 };
        if route.slow_start.finish_if_warm(now, &self.settings) {
            self.agenda.circuit_records.insert(id);
        }
        route.rate_per_sec(now, &self.settings)
    }

    // ---- Choice ----

    /// Fills free slots: each to the waiting destination with fewest calls out; of those with equally many,
    /// to the one whose best message is worth most for its time. `next` tells when to look again.
    fn send_ready(&mut self, now: Time, next: &mut Option<Time>) {
        if self.slots_free() == 0 {
            return;
        }
        let mut due = self.agenda.due(now, self.slots_free());
        if self.closing.is_some() || std::mem::take(&mut self.agenda.all) {
            due.extend(self.queues.keys());
        }
        let mut ready: Vec<(DestinationId, f64)> = Vec::new();
        for to in due {
            ready.extend(self.look_at(now, to, next).map(|(.., value)| (to, value)));
        }
        earliest(next, self.agenda.next_wake());
        while self.slots_free() > 0 {
            let order = |a: &(DestinationId, f64), b: &(DestinationId, f64)| {
                self.calls_to(a.0).cmp(&self.calls_to(b.0)).then(b.1.total_cmp(&a.1))
            };
            let Some(place) = (0..ready.len()).min_by(|a, b| order(&ready[*a], &ready[*b])) else { break };
            // Slots have gone since: what was free may not be so now.
            let (to, _) = ready.swap_remove(place);
            let Some((route, endpoint, message, _)) = self.look_at(now, to, next) else { continue };
            self.send_call(now, route, endpoint, message);
            ready.extend(self.look_at(now, to, next).map(|(.., value)| (to, value)));
        }
        self.last_round = now;
    }

    /// The best message of a destination that may be sent now, by which route and endpoint, and its worth for
    /// the time that a slot is taken; if none, `look` tells when that may be.
    fn candidate(&mut self, now: Time, to: DestinationId, look: &mut Look) -> Option<Candidate> {
        let mut routes: Vec<(f64, RouteId)> =
            self.routes.range(RouteId::all_of(to)).map(|(id, _)| (self.fee(*id), *id)).collect();
        routes.sort_by(|a, b| a.0.total_cmp(&b.0));
        // The cheapest route that is sound but not free now: its fee, when it is free, messages a second.
        let mut cheaper: Option<(f64, Time, f64)> = None;
        for (fee, route) in routes {
            let free = self.route_free_at(now, route, look);
            if free.is_none_or(|at| at > now) {
                earliest(&mut look.wake, free);
                let pace = self.pace(now, route);
                let ready = |e: &EndpointId| self.addresses.get(e).is_some_and(|a| self.is_open(a));
                let sound = |r: &&Route| !r.is_recovering() && r.endpoints.iter().any(ready);
                let sound = self.routes.get(&route).filter(sound);
                if let (None, Some(at), Some(sound)) = (cheaper, free, sound) {
                    cheaper = Some((fee, at, pace * sound.batch_size as f64));
                }
                continue;
            }
            let open = self.routes[&route].endpoints.iter().filter_map(|e| self.addresses.get(e));
            let zones: Vec<_> = open.filter(|a| self.is_open(a)).map(|a| a.entry.zone).collect();
            let Some((message, worth)) = self.pick(now, route, &zones, look) else { continue };
            if let Some((_, at, pace)) = cheaper.filter(|(least, ..)| *least < fee) {
                // Only if all that waits can go that way in time: else what this route could take is lost.
                let queue = self.queues.get(&to).map_or(0, Queue::len) as f64;
                let served =
                    at + Duration::from_secs_f64((queue / pace.max(0.001)).min(warm_up_secs(&self.settings)));
                let m = self.messages.get(&message);
                if m.is_some_and(|m| {
                    served
                        < m.enqueued_at
                            + m.class(&self.settings).latency_objective.mul_f64(FEE_PATIENCE_OF_AIM)
                }) {
                    // Which message is best, and so how long it may wait, goes by the moment.
                    (look.always, look.wake) = (true, look.wake.into_iter().chain([at]).min());
                    continue;
                }
            }
            let Some(endpoint) = self.address_for(now, route, message) else { continue };
            let takes = self.routes[&route].latency.mean_secs().max(0.001);
            return Some((route, endpoint, message, worth / takes));
        }
        None
    }

    /// What a message by this route costs; only routes apart have a fee.
    fn fee(&self, id: RouteId) -> f64 {
        let zone = id
            .endpoint
            .and_then(|endpoint| self.addresses.get(&endpoint))
            .map(|a| usize::from(a.entry.zone.0));
        zone.and_then(|zone| self.settings.zone_costs.get(zone)).copied().unwrap_or(0.0)
    }

    /// The waiting message of most worth that may go to these locations now. A trial goes by repeatability.
    fn pick(&mut self, now: Time, route: RouteId, zones: &[ZoneId], look: &mut Look) -> Picked {
        let trial = self.routes.get(&route).is_some_and(|r| r.circuit.is_open());
        // What is lost on all routes alike is no reason to wait.
        let baseline = self.connection_reuse.baseline_risk();
        let loses =
            self.routes.get_mut(&route).is_some_and(|r| r.losses.is_high(now, &self.settings, baseline));
        let mut best: Option<(bool, f64, MessageId)> = None;
        let some = self.best_of_many(now, route.destination, loses);
        let going = |m: &&Message| zones.iter().any(|zone| idempotency::may_go_to(&self.settings, m, *zone));
        let all = if some.is_some() { None } else { self.queues.get(&route.destination) };
        let looked_at = some.into_iter().flatten().chain(all.into_iter().flat_map(Queue::ids));
        for message in looked_at.filter_map(|m| self.messages.get(&m)).filter(going) {
            let at = self.sendable_at(now, message);
            if at.is_none_or(|at| at > now) {
                earliest(&mut look.wake, at);
                // When its window ends first, nothing is to be done at that time any more.
                let over = idempotency::last_send_at(&self.settings, message)
                    .map(|end| end + Duration::from_nanos(1));
                earliest(&mut look.change, over.filter(|_| at.is_some()));
                continue;
            }
            let last_try =
                loss_ratio::last_attempt_at(message.class(&self.settings), message.accepted.deadline);
            if loses && !idempotency::is_resendable(message.class(&self.settings)) && now < last_try {
                let fading = now + loss_ratio::recheck_delay(&self.settings);
                (look.always, look.wake) = (true, look.wake.into_iter().chain([fading.min(last_try)]).min());
                continue;
            }
            let fit = !trial || idempotency::is_resendable(message.class(&self.settings));
            let worth = message_value::current(&self.settings, now, message);
            if best.is_none_or(|(best_fit, most, _)| (fit, worth) > (best_fit, most)) {
                best = Some((fit, worth, message.accepted.id));
            }
        }
        best.map(|(_, worth, id)| (id, worth))
    }

    /// The one gate for every send: when this message may be sent; none if not before some event, or never.
    fn sendable_at(&self, now: Time, message: &Message) -> Option<Time> {
        if message.completed
            || message.call.is_some()
            || idempotency::last_send_at(&self.settings, message).is_some_and(|end| now > end)
        {
            return None;
        }
        let Some(key) = message.ordering_key(&self.settings) else { return Some(message.not_before) };
        let turn = self.ordering.earliest_send(key, message.accepted.id, message.attempts > 0)?;
        Some(message.not_before.max(turn))
    }

    /// The address of a route with the fewest calls out, sick ones last; inside the group of a repeat. Ties
    /// go by a preference drawn once: where each courier has few calls, all would pick the same one.
    fn address_for(&self, now: Time, id: RouteId, message: MessageId) -> Option<EndpointId> {
        let message = self.messages.get(&message)?;
        let endpoints = self.routes.get(&id)?.endpoints.iter();
        endpoints
            .filter_map(|endpoint| self.addresses.get(endpoint))
            .filter(|a| self.is_open(a) && idempotency::may_go_to(&self.settings, message, a.entry.zone))
            .min_by_key(|a| (a.avoid_until > now, a.calls_out, a.failures, a.preference))
            .map(|a| a.entry.id)
    }

    /// One call: the message that was picked and, where a call may carry more, others that wait.
    fn send_call(&mut self, now: Time, id: RouteId, to: EndpointId, first: MessageId) {
        let idle = self.idle_connection(now, to, first);
        let Some(address) = self.addresses.get_mut(&to) else { return };
        address.calls_out += 1;
        let zone = address.entry.zone;
        let Some(route) = self.routes.get_mut(&id) else { return };
        route.rate_limit.take_token(now);
        route.circuit.on_call_sent();
        let room = if route.circuit.probe_may_be_lost() { 1 } else { route.batch_size };
        route.schedule_probe(now, &self.settings, self.rng.f64());
        self.last_call += 1;
        route.calls.insert(self.last_call);
        let mut carried = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            let attempt_timeout = self.attempt_timeout(now, id, message);
            let last = self.messages.get(&message).and_then(|m| idempotency::last_send_at(&self.settings, m));
            if let Some(m) = self.messages.get_mut(&message) {
                // What shares its call may wait longer for the connection than this one has time.
                let send_within = last.map_or(m.accepted.deadline, |end| end.min(m.accepted.deadline)) - now;
                m.attempts += 1;
                m.call = Some(self.last_call);
                self.actions.push(Action::StartAttempt {
                    message,
                    endpoint: to,
                    attempt_timeout,
                    send_within,
                });
            }
            self.restand(message);
            carried.push(message);
            next = if carried.len() == room {
                None
            } else {
                self.pick(now, id, &[zone], &mut Look::default()).map(|(m, _)| m)
            };
        }
        let (route, sent, unanswered, stalled, called_off) = (id, now, carried.len(), false, false);
        let call = Call { route, to, zone, sent, carried, unanswered, idle, stalled, called_off };
        self.calls.insert(self.last_call, call);
        self.plan_stall(id);
    }

    /// How long the connection has been idle that the next call to an endpoint would use. Where idle ones are
    /// dropped unseen, they are closed first; now and then one is tried, with a message that can be repeated.
    fn idle_connection(&mut self, now: Time, to: EndpointId, first: MessageId) -> Option<Duration> {
        let address = self.addresses.get(&to)?;
        let idle = now - address.used.filter(|used| now - *used < self.settings.connection_idle_timeout)?;
        let no_other_call = address.calls_out == 0;
        let resendable =
            self.messages.get(&first).is_some_and(|m| idempotency::is_resendable(m.class(&self.settings)));
        let next_call = NextCall { idle, no_other_call, resendable };
        match self.connection_reuse.decide(now, &self.settings, &next_call) {
            IdleConnections::Reuse(idle) => idle,
            IdleConnections::Close => {
                self.actions.push(Action::CloseIdleConnections { endpoint: to });
                None
            }
        }
    }

    /// The time-out of the next attempt of a message by a route.
    fn attempt_timeout(&self, now: Time, id: RouteId, message: MessageId) -> Duration {
        let Some(message) = self.messages.get(&message) else { return Duration::ZERO };
        let Some(route) = self.routes.get(&id) else { return message.accepted.deadline - now };
        retry::attempt_timeout(&self.settings, now, message, &route.latency)
    }

    /// All slots taken while messages wait: the oldest call that hangs is called off, an unsafe one later.
    fn free_pinned_slot(&mut self, now: Time) {
        if !self.settings.allow_cancel || self.slots_free() > 0 || self.open <= self.calls.len() {
            return;
        }
        let hanging = |call: &&Call| {
            let mut carried = call.carried.iter().filter_map(|m| self.messages.get(m));
            let safe = carried.all(|m| idempotency::is_resendable(m.class(&self.settings)));
            let patience = self.stall_patience(call.route) * if safe { 1 } else { UNSAFE_PATIENCE };
            now - call.sent > patience
        };
        // One that hangs is stalled first.
        let mut stalled = self.agenda.hanging.iter().filter_map(|id| Some((*id, self.calls.get(id)?)));
        let Some((id, _)) = stalled.find(|(_, call)| hanging(call)) else { return };
        self.agenda.hanging.remove(&id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.called_off = true;
        for message in &call.carried {
            if let Some(m) = self.messages.get(message).filter(|m| m.call == Some(id)) {
                self.actions
                    .push(Action::CancelAttempt { message: *message, attempt: (m.attempts - 1) as u16 });
            }
        }
    }

    // ---- Settings and timers ----

    fn route_of(&self, entry: &Endpoint) -> RouteId {
        let apart = self
            .settings
            .destination_kinds
            .get(usize::from(entry.kind.0))
            .is_some_and(|k| k.per_endpoint_limits);
        RouteId { destination: entry.destination, endpoint: apart.then_some(entry.id) }
    }

    fn slots_free(&self) -> usize {
        self.settings.max_in_flight_calls.saturating_sub(self.calls.len())
    }

    /// One timer is outstanding: the earliest moment at which something could be done without an event.
    fn set_wake(&mut self, now: Time, next: Option<Time>) {
        let due = self.deadlines.first().map(|(due, _)| *due);
        let Some(at) = [next, due].into_iter().flatten().min() else { return };
        if self.wake.is_none_or(|(set, _)| at < set || set <= now) {
            self.token += 1;
            self.wake = Some((at, self.token));
            self.actions.push(Action::SetTimer { after: at - now, token: self.token });
        }
    }
}
