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
mod connection_reuse;
mod derived_settings;
mod idempotency;
mod maintenance;
mod message_value;
mod operators;
mod ordering;
mod quota;
mod reports;
mod retry;
mod state;
mod watch_backoff;

use connection_reuse::{ConnectionReuse, IdleConnections, NextCall};
use derived_settings::{fleet_size, shortest_deadline_secs, shortest_objective_secs, warm_up_secs};
use ordering::OrderingKeys;
use quota::TenantQuotas;
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
/// First gap between trial calls, as a part of the fall window, and the longest one; both are jittered.
const TRIAL_GAPS_OF_FALL: (f64, f64) = (0.1, 0.6);
/// Own demand counts towards the fall budget up to so many times what was served here before.
const DEMAND_OF_SERVED: f64 = 1.5;
/// With fewer messages than this over a cold return's length a courier is light: it waits for a deadline at
/// most, lest its messages run out untried, and such couriers are few enough at any one destination.
const LIGHT: f64 = 2.0;
/// After a refusal its next call comes by chance within so many calls of its pace more, for they are many.
const LIGHT_SPREAD: f64 = 3.0;
/// Shortest part of a gap that chance may leave: who failed together must not come back together.
const TRIAL_JITTER_FROM: f64 = 0.25;
/// A spell without success shorter than this part of the fall window needs no slow start.
const BLIP_OF_FALL: f64 = 0.6;
/// Evidence that opens a spell, and what each outcome adds: no connection says that it is down, a lost call
/// or an error hints at it (two in a row, as a light courier has few), single refusals are everyday life.
const SPELL_AFTER: u32 = 6;
const EVIDENCE_NO_CONNECTION: u32 = 6;
const EVIDENCE_LOST: u32 = 3;
const EVIDENCE_REFUSED: u32 = 1;
/// Part of the fall budget that is used: refused calls, batches and chance need the rest.
const FALL_BUDGET_USED: f64 = 0.8;
/// On `full` the rate falls to this part of what was sent of late, at most once in `CUT_EVERY`: twice without
/// a success, then to the part of the fall budget, as it may be an outage, or all may have to slow down.
const RATE_CUTS: [f64; 3] = [0.75, 0.5, 0.0];
const CUT_EVERY: Duration = Duration::from_millis(500);
/// Rate of a route at first, in even parts of the told one: what all begin with adds up, and where refused
/// calls use the limit up as well, more than the limit means that nobody is served.
const FIRST_RATE: f64 = 1.0;
/// ... but at least so many calls until the shortest deadline.
const FIRST_LEAST: f64 = 0.25;
/// Told rates outside these bounds count as the nearest of them.
const TOLD_RATES: (f64, f64) = (0.1, 1e6);
/// Growth of a rate that binds with each answer, as a part of itself or of one call an aim: with the cuts it
/// settles where a fixed part of the calls is refused, however many couriers share the limit.
const RATE_GROWTH: f64 = 0.08;
/// ... and up to so many times more, the further it is below the even part of what is told: that much there
/// mostly is, and a courier that calls seldom would take minutes to get back to it.
const BELOW_GROWTH: f64 = 6.0;
/// A refusal with more than this share of the limit left, as told, is not for the limit.
const ROOM_LEFT: f64 = 0.3;
/// Growth where the share of the limit that is left is told: so many times that share.
const TOLD_GROWTH: f64 = 2.0;
/// What was sent of late: calls over about so many seconds.
const LATE_S: f64 = 1.0;
/// Tokens that may be saved up, in seconds of the rate; one call at least.
const BURST_S: f64 = 0.4;
/// A token is waited for at least and at most so many seconds at a time.
const TOKEN_GAPS: (f64, f64) = (0.001, 3600.0);
/// ... and at most so many in a slow start, whose pace grows meanwhile.
const RAMP_GAP: f64 = 10.0;
/// An unsafe message waits where this share more than usual of the calls of late may have run without being
/// served: so often would its one try be lost, while those that can be repeated show when that is over.
const UNSAFE_LOSS: f64 = 0.15;
/// ... where losses count against so many served calls more than there were, ...
const UNSAFE_LOSS_PRIOR: f64 = 2.0;
/// ... and fade over so many fall windows. The last try goes this part of the aim before the deadline.
const UNSAFE_LOSS_FALLS: f64 = 2.0;
const UNSAFE_LAST_AIM: f64 = 1.0;
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
    usual: Latency,
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
        let usual = Latency::initial(&settings);
        Scheduler { settings, rng: fastrand::Rng::with_seed(seed), usual, ..Scheduler::default() }
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
        let objective = Duration::from_secs_f64(shortest_objective_secs(&self.settings));
        let waiting = self.queues.get(&to).map_or(0, Queue::len) as f64;
        let routes: Vec<RouteId> = self.routes.range(routes_of(to)).map(|(id, _)| *id).collect();
        let pace: f64 = routes.iter().map(|id| self.pace(now, *id)).sum();
        let wait = routes.iter().map(|id| self.routes[id].told_wait - now).min().unwrap_or_default();
        let backlog = Duration::from_secs_f64((waiting / pace.max(0.001)).min(objective.as_secs_f64()));
        wait.max(backlog).clamp(retry::base_backoff(objective), retry::max_backoff(objective))
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
            let weight = self.weight_of(&entry);
            let usual = self.usual;
            let batch =
                self.settings.destination_kinds.get(usize::from(entry.kind.0)).map_or(1, |k| k.batch.max(1));
            // Nor may the first calls of all come at once: each begins somewhere inside a call of its pace.
            // What is not told has to be tried, and what is told far too low must not hold messages back.
            let (told, chance) = (self.told_rate(&entry).is_some(), self.rng.f64());
            let part = if told { (FIRST_RATE / fleet_size(&self.settings)).min(1.0) } else { 1.0 };
            let least = FIRST_LEAST / shortest_deadline_secs(&self.settings);
            let (first, token) = ((weight * part).max(least), 1.0 - chance * (1.0 - part));
            let route = self.routes.entry(self.route_of(&entry)).or_insert_with(|| {
                let (rate, tokens, filled, latency, last_answer) = (first, token, now, usual, now);
                Route { rate, tokens, filled, latency, last_answer, ..Route::default() }
            });
            (route.weight, route.batch) = (weight, batch);
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
        let (settings, chance) = (&self.settings, self.rng.f64());
        let id = RouteId(outage.destination, outage.endpoint);
        let Some(route) = self.routes.get_mut(&id) else { return };
        self.agenda.circuit_records.insert(id);
        (route.last_answer, route.failure_score) = (outage.last_success_at, outage.failure_score);
        (route.returned, route.share) = (outage.slow_start_since, outage.baseline_rate);
        if route.returned.is_some() {
            route.tokens = 0.0;
        }
        if let Some(lost) = outage.calls_lost {
            route.spell =
                Some(Spell { began: outage.last_success_at, failed: true, lost, ..Spell::default() });
            route.plan_trial(now, settings, chance);
        }
    }

    fn on_told_wait(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        let Some(id) = self.addresses.get(&endpoint).map(|a| self.route_of(&a.entry)) else { return };
        self.touch(id.0);
        if let Some(route) = self.routes.get_mut(&id) {
            route.told_wait = route.told_wait.max(now + wait);
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
            route.out.remove(&id);
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
                    let gap =
                        backoff::exponential(rules.overload_window, TRIAL_GAPS_OF_FALL.0, address.failures)
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

    /// Health and pace of a route, from the outcome of one call.
    fn learn(&mut self, now: Time, finished: &FinishedAttempt, call: &Call) {
        let (settings, chance) = (&self.settings, self.rng.f64());
        let waiting = self.queues.get(&call.route.0).map_or(0, Queue::len) as f64;
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        if let Some(limit) = finished.load_report.map(|a| a.limit_per_sec).filter(|limit| *limit > 0.0) {
            route.weight = limit;
        }
        // A time-out is a sample too, of at least its length: else it would stay too short all through a slow
        // spell, and each repeat would meet the first call still running.
        if matches!(
            finished.outcome,
            AttemptOutcome::Delivered | AttemptOutcome::Timeout | AttemptOutcome::Cancelled
        ) {
            route.latency.record_starting_from(&self.usual, finished.latency);
        }
        // With a success since it was sent, a lost call says nothing of the route. Nor do errors and resets
        // while an endpoint is left that did not fail; silence does, as a hang mostly takes all.
        let detached = &self.detached;
        let sound = |a: &Address| {
            a.entry.mode == Availability::Ready && a.failures == 0 && !detached.contains(&a.entry.id)
        };
        let alone = call.sent >= route.last_answer;
        let all_sick = alone && !route.endpoints.iter().filter_map(|id| self.addresses.get(id)).any(sound);
        let blip = settings.limits.overload_window.mul_f64(BLIP_OF_FALL);
        let span = settings.limits.overload_window.as_secs_f64() * UNSAFE_LOSS_FALLS;
        match finished.outcome {
            outcome if outcome.was_not_processed() => {}
            AttemptOutcome::Delivered => drop(route.kept.rate(now, span, 1.0)),
            _ => drop(route.lost.rate(now, span, 1.0)),
        }
        match finished.outcome {
            AttemptOutcome::Delivered => {
                self.usual.record(finished.latency);
                let served = route.served.rate(now, warm_up_secs(settings), 0.0);
                let sick = route.spell.is_some() || route.returned.is_some();
                route.share = if sick { served.max(route.share) } else { served };
                route.served.count += 1.0;
                // A destination that gave no success for a while may be cold: it gets a slow start. Couriers
                // that saw only the end of an outage are covered by counting from the last success.
                if route.spell.as_ref().is_some_and(|s| s.failed && now - s.began > blip) {
                    route.returned = Some(now);
                    route.tokens = 0.0;
                }
                let left = finished
                    .load_report
                    .filter(|a| a.limit_per_sec > 0.0)
                    .map(|a| a.headroom.clamp(0.0, 1.0));
                if route.bound {
                    let below = 1.0 - route.rate * fleet_size(settings) / route.weight.max(TOLD_RATES.0);
                    let part = RATE_GROWTH * (1.0 + BELOW_GROWTH * below.clamp(0.0, 1.0));
                    let growth = part * route.rate.min(shortest_objective_secs(settings).recip());
                    let growth = left.map_or(growth, |left| TOLD_GROWTH * left * route.rate);
                    route.rate += growth;
                }
                route.spell = None;
                (route.failure_score, route.cuts) = (0, 0);
                route.last_answer = now;
                return;
            }
            // Shut, and told until when: all whom the door refused come back at one moment (issue of later
            // mandeville: 480 of 490 calls at the fall). So the slow start begins there, by chance inside a
            // call of its pace, and nothing is saved up behind the door.
            AttemptOutcome::Rejected(Some(wait)) if wait > blip => {
                (route.spell, route.returned) = (None, Some(route.told_wait));
                (route.filled, route.tokens) = (route.told_wait, chance);
                return;
            }
            AttemptOutcome::Rejected(_) => {
                // Refused though there is room inside the limit: it is shut or hangs with its queue full.
                let room =
                    finished.load_report.is_some_and(|a| a.limit_per_sec > 0.0 && a.headroom > ROOM_LEFT);
                route.failure_score += if room { EVIDENCE_LOST } else { EVIDENCE_REFUSED };
                if now - route.last_cut > CUT_EVERY {
                    let cut = RATE_CUTS[route.cuts.min(RATE_CUTS.len() - 1)];
                    route.cuts += 1;
                    // A clump must not wait at the pace of usual days until it has run out; where a call
                    // carries many, what waits goes together, and a call an aim is enough.
                    let an_aim = shortest_objective_secs(settings).recip();
                    let (waiting, most) = if route.batch > 1 { (0.0, an_aim) } else { (waiting, f64::MAX) };
                    let late = route.sent.rate(now, LATE_S, 0.0).min(most);
                    let own = route.demand.rate(now, warm_up_secs(settings), 0.0);
                    let late = late.max(own).max(route.weight / fleet_size(settings)).max(waiting * an_aim);
                    let slowest = route.fall_part(now, settings, 0.0);
                    route.rate = (cut * route.rate.min(late)).max(slowest.min(route.rate));
                    route.last_cut = now;
                }
                // By chance, as all that were refused together would come back together.
                let spread = if route.is_light(now, settings) { LIGHT_SPREAD } else { 1.0 };
                route.tokens = route.tokens.min(-chance * spread);
            }
            AttemptOutcome::ErrorResponse | AttemptOutcome::Reset if all_sick => {
                route.failure_score += EVIDENCE_LOST
            }
            // It is up, and may yet be failing most calls.
            AttemptOutcome::MalformedResponse if alone => route.failure_score += EVIDENCE_REFUSED,
            AttemptOutcome::ConnectFailed if alone => route.failure_score += EVIDENCE_NO_CONNECTION,
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled if alone => {
                route.failure_score += EVIDENCE_LOST
            }
            _ => {}
        }
        if route.failure_score >= SPELL_AFTER
            || (route.spell.is_some() && route.failure_score >= EVIDENCE_LOST)
        {
            let spell = route.spell.get_or_insert(Spell { began: route.last_answer, ..Spell::default() });
            spell.failed = true;
            spell.lost |= !matches!(finished.outcome, AttemptOutcome::Rejected(_));
            route.plan_trial(now, settings, chance);
            route.returned = None;
        }
    }

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
        let cold = Duration::from_secs_f64(warm_up_secs(&self.settings));
        let route = self.routes.get_mut(&id)?;
        route.settle(self.last_round, burst(route.rate));
        if route.told_wait > now {
            earliest(&mut look.change, route.returned.map(|returned| returned + cold));
            return Some(route.told_wait);
        }
        // A slow start speeds up from moment to moment.
        look.always |= route.returned.is_some();
        if self.closing.is_some_and(|end| now + stall > end) {
            return None;
        }
        // Hung or dead destinations answer nothing: the silence itself opens the circuit, long before a
        // time-out would, so that only few calls are risked.
        let oldest = route.out.first().and_then(|call| self.calls.get(call)).map(|call| call.sent);
        if let (None, Some(sent)) = (&route.spell, oldest) {
            let silent = sent.max(route.last_answer) + stall;
            if now >= silent {
                let (began, next_trial) = (route.last_answer.min(sent), now + stall);
                route.spell = Some(Spell { began, next_trial, lost: true, ..Spell::default() });
                self.agenda.circuit_records.insert(id);
            } else {
                earliest(&mut look.change, Some(silent));
            }
        }
        if let Some(spell) = &route.spell {
            // Trials that hang must not gather until they pin the slots of the healthy.
            let least = ((route.out.len() + 1) as f64 / TRIAL_SLOTS).ceil() as usize;
            let free = route.out.is_empty() || look.needs_slots(least, slots_free);
            return free.then_some(spell.next_trial);
        }
        // Bulkhead: no destination has more calls out than slots are left for all others.
        if !route.out.is_empty() && !look.needs_slots(route.out.len() + 1, slots_free) {
            return None;
        }
        let burst = if route.returned.is_some() { 1.0 } else { burst(rate) };
        route.fill(now, rate, burst);
        route.filling = true;
        route.bound = route.tokens < 1.0;
        if route.bound {
            let left = (1.0 - route.tokens) / rate;
            let longest = if route.returned.is_some() { RAMP_GAP } else { TOKEN_GAPS.1 };
            let gap = left.clamp(TOKEN_GAPS.0, longest);
            let due = now + Duration::from_secs_f64(gap);
            // What is nearer than a gap may be is looked at at each step.
            look.always |= left < gap;
            earliest(&mut look.change, Some(due - Duration::from_secs_f64(TOKEN_GAPS.0)));
            return Some(due);
        }
        Some(now)
    }

    /// Calls a second that this courier may send a route now.
    fn pace(&mut self, now: Time, id: RouteId) -> f64 {
        let Some(route) = self.routes.get_mut(&id) else { return 1.0 };
        let Some(returned) = route.returned else { return route.rate };
        let warmth = (now - returned).as_secs_f64() / warm_up_secs(&self.settings);
        if warmth >= 1.0 {
            route.returned = None;
            self.agenda.circuit_records.insert(id);
            return route.rate;
        }
        route.fall_part(now, &self.settings, warmth).min(route.rate)
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
            self.routes.range(routes_of(to)).map(|(id, _)| (self.fee(*id), *id)).collect();
        routes.sort_by(|a, b| a.0.total_cmp(&b.0));
        // The cheapest route that is sound but not free now: its fee, when it is free, messages a second.
        let mut cheaper: Option<(f64, Time, f64)> = None;
        for (fee, route) in routes {
            let free = self.route_free_at(now, route, look);
            if free.is_none_or(|at| at > now) {
                earliest(&mut look.wake, free);
                let pace = self.pace(now, route);
                let ready = |e: &EndpointId| self.addresses.get(e).is_some_and(|a| self.is_open(a));
                let sound =
                    |r: &&Route| r.spell.is_none() && r.returned.is_none() && r.endpoints.iter().any(ready);
                let sound = self.routes.get(&route).filter(sound);
                if let (None, Some(at), Some(sound)) = (cheaper, free, sound) {
                    cheaper = Some((fee, at, pace * sound.batch as f64));
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
        let zone =
            id.1.and_then(|endpoint| self.addresses.get(&endpoint)).map(|a| usize::from(a.entry.zone.0));
        zone.and_then(|zone| self.settings.zone_costs.get(zone)).copied().unwrap_or(0.0)
    }

    /// The waiting message of most worth that may go to these locations now. A trial goes by repeatability.
    fn pick(&mut self, now: Time, route: RouteId, zones: &[ZoneId], look: &mut Look) -> Picked {
        let trial = self.routes.get(&route).is_some_and(|r| r.spell.is_some());
        // What is lost on all routes alike is no reason to wait.
        let bearable = UNSAFE_LOSS + self.connection_reuse.baseline_risk();
        let loses = self.routes.get_mut(&route).is_some_and(|r| r.share_lost(now, &self.settings) > bearable);
        let mut best: Option<(bool, f64, MessageId)> = None;
        let some = self.best_of_many(now, route.0, loses);
        let going = |m: &&Message| zones.iter().any(|zone| idempotency::may_go_to(&self.settings, m, *zone));
        let all = if some.is_some() { None } else { self.queues.get(&route.0) };
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
            let last_try = message.accepted.deadline
                - message.class(&self.settings).latency_objective.mul_f64(UNSAFE_LAST_AIM);
            if loses && !idempotency::is_resendable(message.class(&self.settings)) && now < last_try {
                let fading =
                    now + self.settings.limits.overload_window.mul_f64(UNSAFE_LOSS_FALLS * UNSAFE_LOSS);
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
        route.tokens -= 1.0;
        route.sent.rate(now, LATE_S, 1.0);
        let mut room = route.batch;
        if let Some(spell) = &mut route.spell {
            spell.trials += 1;
            // What is only refused comes back unharmed, so that a trial may carry all that a call can.
            if spell.lost {
                room = 1;
            }
        }
        route.plan_trial(now, &self.settings, self.rng.f64());
        self.last_call += 1;
        route.out.insert(self.last_call);
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
        RouteId(entry.destination, apart.then_some(entry.id))
    }

    fn weight_of(&self, entry: &Endpoint) -> f64 {
        self.told_rate(entry).unwrap_or(self.settings.max_in_flight_calls as f64)
    }

    /// What the list tells of the calls a second that all couriers may make, if it does.
    fn told_rate(&self, entry: &Endpoint) -> Option<f64> {
        let told = self.settings.weights != WeightSource::Silent && entry.weight > 0.0;
        told.then(|| entry.weight.clamp(TOLD_RATES.0, TOLD_RATES.1))
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

/// The routes of a destination.
fn routes_of(to: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    RouteId(to, None)..=RouteId(to, Some(EndpointId(u32::MAX)))
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

impl Route {
    /// Whether this courier has too few messages here for a figure of its own (`LIGHT`).
    fn is_light(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand.rate(now, warm_up_secs(settings), 0.0) * warm_up_secs(settings) < LIGHT
    }

    /// The share of the calls of late that may have run without being served.
    fn share_lost(&mut self, now: Time, settings: &Settings) -> f64 {
        let span = settings.limits.overload_window.as_secs_f64() * UNSAFE_LOSS_FALLS;
        let (kept, lost) = (self.kept.rate(now, span, 0.0) * span, self.lost.rate(now, span, 0.0) * span);
        lost / (lost + kept + UNSAFE_LOSS_PRIOR)
    }

    /// This courier's part of what all may send together, a second, so that a destination survives a return;
    /// `warmth` runs from 0 to 1 over a cold one. It goes by what was served here before, which adds up to
    /// what the destination can do however many want it (own demand does not: hunted day h1c8921, thirty
    /// times the limit), or by the even part. Trials, slow starts and last cuts share this one budget.
    fn fall_part(&mut self, now: Time, settings: &Settings, warmth: f64) -> f64 {
        let demand = self.demand.rate(now, warm_up_secs(settings), 0.0);
        let least = if self.is_light(now, settings) { shortest_deadline_secs(settings).recip() } else { 0.0 };
        let own = demand.clamp(self.share, self.share * DEMAND_OF_SERVED);
        let part = own.max(self.weight / fleet_size(settings));
        let share =
            settings.limits.cold_capacity_ratio + (1.0 - settings.limits.cold_capacity_ratio) * warmth;
        (part * share * settings.limits.overload_multiple * FALL_BUDGET_USED).max(least)
    }

    /// Sets when the next trial call of a spell may go: at growing, jittered gaps, and by this courier's part
    /// of the fall budget; trials that are refused can also use up a small limit by themselves (i2aa64d).
    fn plan_trial(&mut self, now: Time, settings: &Settings, chance: f64) {
        let own = Duration::from_secs_f64(self.fall_part(now, settings, 0.0).max(0.001).recip());
        let Some(spell) = &mut self.spell else { return };
        let (fall, (first, longest)) = (settings.limits.overload_window, TRIAL_GAPS_OF_FALL);
        let gap = backoff::exponential(fall, first, spell.trials).min(fall.mul_f64(longest));
        let jitter = TRIAL_JITTER_FROM + chance * (1.0 - TRIAL_JITTER_FROM);
        // Behind a told wait no gap runs out: who waits together must not come back together.
        spell.next_trial = now.max(self.told_wait) + gap.max(own).mul_f64(jitter);
    }
}
