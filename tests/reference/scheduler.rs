//! Every decision of the frozen scheduler. The types of its state are in `state.rs`; events and actions are
//! those of the library, under the name `interface` of `mod.rs`.
//!
//! A message waits in the queue of its destination. A free call slot goes to the waiting destination with the
//! fewest calls in flight. A message whose attempt may have been processed is sent again under the same
//! idempotency key, within its deduplication scope, its idempotency window and the limit of attempts, after
//! an exponential backoff with full jitter. Everything else protects this path.

use super::interface::*;
use super::reached;
use super::state::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

// ---- Constants ----

/// The base of the backoff, as a ratio of the latency objective. It doubles with each attempt made, and is
/// short enough that several retries fit into the objective.
const BASE_BACKOFF_OBJECTIVE_RATIO: f64 = 0.05;
/// The maximum backoff, as a ratio of the latency objective: a retry that waits longer rarely arrives in time.
const MAX_BACKOFF_OBJECTIVE_RATIO: f64 = 0.7;
/// The ratio at the end of an idempotency window that is not used, as the call must still arrive inside the
/// window.
const WINDOW_MARGIN_RATIO: f64 = 0.1;
/// The latency assumed before the first sample, as a ratio of the shortest latency objective.
const INITIAL_LATENCY_OBJECTIVE_RATIO: f64 = 0.1;
/// The minimum weight of the newest sample in the moving average of latencies. The first few samples have a
/// higher weight.
const MIN_LATENCY_GAIN: f64 = 0.15;
/// The timeout of an attempt that another can follow, in latencies (mean plus deviation) of its route.
const TIMEOUT_IN_LATENCIES: f64 = 4.0;
/// The minimum and maximum of that timeout, in latency objectives.
const TIMEOUT_BOUNDS_IN_OBJECTIVES: (f64, f64) = (0.5, 3.0);
/// A call becomes unresponsive after this many latencies (mean plus deviation) of its route.
const UNRESPONSIVE_AFTER_LATENCIES: f64 = 3.0;
/// The minimum time after which a call becomes unresponsive, as a ratio of the shortest latency objective:
/// short pauses of an endpoint are normal.
const MIN_UNRESPONSIVE_AFTER_OBJECTIVE_RATIO: f64 = 0.25;
/// A call with a non-idempotent message is only cancelled after this multiple of
/// [`Scheduler::unresponsive_after`], as the message is lost with it.
const NON_IDEMPOTENT_CANCEL_MULTIPLE: u32 = 2;
/// The initial and the maximum delay between half-open probes, as ratios of the overload window, before
/// jitter. The first is also the base of the time for which an endpoint is avoided after a failure.
const PROBE_DELAY_WINDOW_RATIOS: (f64, f64) = (0.1, 0.6);
/// The maximum demand that counts for the overload budget, as a multiple of the calls served before.
const MAX_DEMAND_BASELINE_MULTIPLE: f64 = 1.5;
/// The number of messages over the length of a slow start below which traffic is low. The overload budget of
/// a gateway with low traffic is at least one call per shortest deadline, as its messages would expire unsent
/// otherwise. Of the gateways with low traffic, only a few have messages for the same destination at the same time.
const LOW_TRAFFIC_MESSAGES: f64 = 2.0;
/// The maximum random delay of a gateway with low traffic after a rejection, in intervals between calls at
/// its rate. Such gateways are many, and must not all call at the same moment.
const LOW_TRAFFIC_MAX_WAIT_CALLS: f64 = 3.0;
/// The minimum ratio of a delay between probes that is left after jitter. Gateways whose calls failed together
/// must not call again together.
const MIN_JITTER_RATIO: f64 = 0.25;
/// The maximum duration of a transient outage, as a ratio of the overload window. A transient outage is not
/// followed by a slow start.
const MAX_TRANSIENT_WINDOW_RATIO: f64 = 0.6;
/// Failure score that opens a closed circuit.
const OPENING_SCORE: u32 = 6;
/// Score of a call that got no connection, which proves that the destination is down.
const SCORE_CERTAIN: u32 = 6;
/// Score of a lost call, an error, or a rejection with headroom left. Two in a row open the circuit, as a gateway
/// with low traffic has few calls; one keeps an open circuit open.
const SCORE_MAJOR: u32 = 3;
/// Score of a rejection by the rate limit, as a single one is normal, and of a response that cannot be parsed.
const SCORE_MINOR: u32 = 1;
/// The ratio of the overload budget that is used. The rest is a margin for rejected calls, batches and random
/// variation.
const USED_BUDGET_RATIO: f64 = 0.8;
/// The ratio of the rate (or of what is used of it, if that is less) that is left after a rejection, by the
/// number of cuts since the last success. From the third cut on only the overload budget is left, as the
/// destination may be unavailable, or all gateways may have to slow down.
const CUT_RATIOS: [f64; 3] = [0.75, 0.5, 0.0];
/// The minimum time between two cuts. Rejections in between do not cut the rate.
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(500);
/// The initial rate of a route, in even shares of the listed limit. The rates of all gateways add up: if they
/// exceeded the limit, no gateway would be served where rejected calls use up the limit as well.
const INITIAL_RATE_EVEN_SHARES: f64 = 1.0;
/// The minimum initial rate of a route, in calls per shortest deadline.
const MIN_INITIAL_CALLS_PER_DEADLINE: f64 = 0.25;
/// The minimum and maximum listed limit, in calls per second. Values outside are moved to the nearer bound.
const LISTED_LIMIT_BOUNDS_PER_SEC: (f64, f64) = (0.1, 1e6);
/// Growth per success of a rate that delays calls, as a ratio of the rate, or of one call per latency
/// objective if that is less. With the cuts, the rate settles at a fixed ratio of rejected calls, however many
/// gateways share the limit.
const GROWTH_RATIO: f64 = 0.08;
/// The maximum additional growth, as a multiple of [`GROWTH_RATIO`]. It applies in full far below an even share
/// of the limit, and less the closer the rate is to that share. An even share is usually available, and
/// without it a gateway that calls rarely would need minutes to get back to its share.
const EXTRA_GROWTH_BELOW_SHARE: f64 = 6.0;
/// The maximum headroom in a rejection by the rate limit. A rejection that reports more has another cause.
const MAX_HEADROOM_AT_LIMIT: f64 = 0.3;
/// Growth per success if the destination reports its headroom: this times the headroom, as a ratio of the
/// rate.
const GROWTH_PER_HEADROOM: f64 = 2.0;
/// The time constant for averaging the rate of sent calls, in seconds.
const SENT_SPAN_SECS: f64 = 1.0;
/// The maximum number of saved tokens, in seconds of the rate; at least one token.
const BURST_SECS: f64 = 0.4;
/// This gateway's share of a tenant's quota, in even shares. It is more than one, as traffic is not spread
/// evenly.
const LOCAL_QUOTA_EVEN_SHARES: f64 = 1.25;
/// The weight of the value that is lost by waiting for one more latency objective, relative to the value
/// itself.
const WAITING_LOSS_WEIGHT: f64 = 2.0;
/// The maximum ratio of lost calls, above the baseline of all routes, at which non-idempotent messages are
/// still sent: their only attempt would be lost that often. Resendable messages show when the ratio has fallen.
const MAX_LOSS_RATIO_ABOVE_BASELINE: f64 = 0.15;
/// Added to the number of calls, so that a single loss among few calls is not a high ratio.
const LOSS_PRIOR_CALLS: f64 = 2.0;
/// The time constant for averaging calls in the loss ratio, in overload windows.
const LOSS_SPAN_IN_OVERLOAD_WINDOWS: f64 = 2.0;
/// How long before its deadline a non-idempotent message is sent whatever the ratio, in latency objectives.
const LAST_ATTEMPT_OBJECTIVES_BEFORE_DEADLINE: f64 = 1.0;
/// How long a message may wait for a cheaper route, as a ratio of its latency objective. The rest of the
/// objective is needed for the call.
const MAX_COST_WAIT_OBJECTIVE_RATIO: f64 = 0.25;
/// The maximum ratio of the free slots that half-open probes of a route may use. One probe is always
/// permitted.
const MAX_PROBE_FREE_SLOTS_RATIO: f64 = 0.25;
/// The ratio of the maximum number of pending messages above which messages of least value are shed.
const SHED_ABOVE_RATIO: f64 = 0.93;
/// Shedding a message early has a cost if no attempt of it may have run: its client has waited in vain, while
/// the client of a rejected message has not. The first number is the end of "early", as a ratio of the
/// deadline; the second is the cost, as a ratio of the message's full value.
const EARLY_SHED_RATIOS: (f64, f64) = (0.7, 0.3);
/// The weight of the newest loss or success in the exponential moving average of a risk of [`ConnectionReuse`].
const RISK_GAIN: f64 = 0.15;
/// The risk from which on idle connections are closed before use: for a message that cannot be resent, which
/// would be lost, and for a resendable one, which would only be late.
const MAX_RISKS: (f64, f64) = (0.03, 0.25);
/// The multiple of the baseline risk that is added to these limits, as that risk varies at random too.
const BASELINE_RISK_MULTIPLE: f64 = 2.0;
/// The minimum time for which a connection counts as idle, as a ratio of the shortest latency objective.
/// Losses on connections used more recently have other causes. From there on each doubling of the idle time
/// has a risk of its own.
const MIN_IDLE_OBJECTIVE_RATIO: f64 = 1.0 / 64.0;
/// While idle connections are closed, one is tried this long after the last loss, in shortest latency
/// objectives.
const PROBE_INTERVAL_IN_OBJECTIVES: f64 = 4.0;
/// How long no connection is kept idle after an endpoint had too many, as each idle one keeps another gateway
/// out, in idle timeouts.
const PAUSE_IN_IDLE_TIMEOUTS: u32 = 3;
/// The delay after the watch broke without a response from discovery.
const WATCH_DELAY_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// The upper ends of the first and of the longest random delay after discovery rejected the watch, per
/// gateway of the fleet. All gateways lose the watch at the same moment, and together they must send fewer
/// requests than discovery can answer, or none of them gets the list again.
const WATCH_REJECTION_DELAYS_PER_GATEWAY: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(1));
/// The maximum delay after a rejection, whatever the size of the fleet. Discovery counts a change as announced
/// after 6 s, even to a gateway that it rejected; 2 s later nothing may be sent to a draining endpoint. The
/// answer itself may take `WATCH_RESPONSE_TIMEOUT`. All gateways reach this maximum together, so they spread
/// over its second half.
const MAX_WATCH_REJECTION_DELAY: Duration = Duration::from_secs(5);
/// The first watch is spread over this time per gateway of the fleet. Discovery answers requests one after the
/// other: if all gateways sent theirs together at their start, most would have timed out before their answer.
const START_SPREAD_PER_GATEWAY: Duration = Duration::from_millis(100);
/// The maximum spread of the first watch, as a ratio of the drain grace period, which keeps running while a
/// gateway is down: a change that was announced then counts as announced.
const MAX_START_SPREAD_DRAIN_GRACE_RATIO: f64 = 0.5;
/// The time for which a lame duck still accepts messages, from clients that have not noticed its state yet.
const LAME_DUCK_GRACE: Duration = Duration::from_secs(3);

// ---- State ----

/// The frozen scheduler of one gateway. It records events in [`Scheduler::handle`] and returns actions from
/// [`Scheduler::decide`]. Its state can be handed over to another process, which continues with
/// [`Scheduler::resumed`].
#[derive(Default, Serialize, Deserialize)]
pub struct Scheduler {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    rng: fastrand::Rng,
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    routes: BTreeMap<RouteId, Route>,
    /// Messages without a final outcome, by destination. Empty queues are removed.
    queues: BTreeMap<DestinationId, Vec<MessageId>>,
    messages: BTreeMap<MessageId, Message>,
    /// The quota that a tenant had left when it was last charged, in messages, and that time.
    quota_balances: BTreeMap<TenantId, (f64, Time)>,
    /// Number of messages without a final outcome.
    open_messages: usize,
    deadlines: BTreeSet<(Time, MessageId)>,
    ordering_keys: BTreeMap<OrderingKey, Vec<MessageId>>,
    key_holds: BTreeMap<OrderingKey, Time>,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    /// Latency over all destinations; the initial estimate for a route without samples.
    latency: LatencyEstimate,
    connection_reuse: ConnectionReuse,
    /// Until this time no connections are kept idle.
    reuse_paused_until: Time,
    /// After a restart no ordering key is used before this time, as any of them may have had a call in
    /// flight.
    all_keys_held_until: Time,
    /// Number of rejections since the watch was last established.
    watch_rejections: u32,
    /// When the next watch request is due; None if no request is due.
    watch_retry_at: Option<Time>,
    /// When this process ends, if that is scheduled.
    shutdown_at: Option<Time>,
    /// Endpoints that operators have disabled, listed or not.
    disabled_endpoints: BTreeSet<EndpointId>,
    /// Since when operators have been draining this gateway.
    lame_duck_since: Option<Time>,
    #[serde(skip)]
    timer: Option<(Time, u64)>,
    last_timer_token: u64,
    /// Actions of the current step, until `decide` returns them.
    #[serde(skip)]
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler without messages and endpoints. `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let initial_secs = shortest_objective_secs(&settings) * INITIAL_LATENCY_OBJECTIVE_RATIO;
        let latency = LatencyEstimate { mean_secs: initial_secs, deviation_secs: initial_secs, samples: 0 };
        Scheduler { settings, rng: fastrand::Rng::with_seed(seed), latency, ..Scheduler::default() }
    }

    /// Continues in another process, with the settings and the randomness of a `fresh` scheduler that has the
    /// same settings. All state is kept except the scheduled shutdown, which was that of the old process.
    pub fn resumed(self, fresh: Scheduler) -> Self {
        Scheduler { settings: fresh.settings, rng: fresh.rng, shutdown_at: None, ..self }
    }

    /// Returns the remaining time of each Retry-After, with one endpoint of its route.
    pub fn retry_after_delays(&self, now: Time) -> impl Iterator<Item = (EndpointId, Duration)> + '_ {
        let waiting = self.routes.values().filter(move |route| route.retry_after_until > now);
        waiting.filter_map(move |route| Some((*route.endpoints.first()?, route.retry_after_until - now)))
    }

    /// Records one event. Call [`Scheduler::decide`] after the last event of a step.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated(update) => self.on_endpoints_updated(now, update),
            Event::WatchEstablished => (self.watch_rejections, self.watch_retry_at) = (0, None),
            Event::MessageAccepted(message) => self.on_message_accepted(now, message),
            Event::MessageRestored(message) => self.on_message_restored(now, message),
            Event::CircuitRestored(record) => self.on_circuit_restored(now, record),
            Event::OutcomeAcknowledged(id) => {
                if let Some(message) = self.messages.get_mut(&id) {
                    message.awaits_acknowledgement = false;
                }
                self.delete_if_settled(id);
            }
            Event::ShutdownScheduled(at) => self.shutdown_at = Some(at),
            Event::EndpointDisabled(endpoint) => self.on_endpoint_disabled(endpoint),
            Event::EndpointEnabled(endpoint) => self.on_endpoint_enabled(now, endpoint),
            Event::LameDuck(is_draining) => {
                self.lame_duck_since = is_draining.then(|| self.lame_duck_since.unwrap_or(now))
            }
            Event::RetryAfter { endpoint, delay } => self.on_retry_after(now, endpoint, delay),
            Event::AttemptFinished(finished) => self.on_attempt_finished(now, finished),
            Event::MessageAbandoned(id) => self.complete_message(id),
            Event::TimerFired(token) => self.timer = self.timer.filter(|(_, set_token)| *set_token != token),
        }
    }

    /// Returns whether the tokens of some route reach a whole number within `within` before or after `now`:
    /// rounding may then change a decision. This is not part of the frozen scheduler: the test moves its steps
    /// away from such moments.
    pub fn is_on_token_edge(&self, now: Time, within: Duration) -> bool {
        self.routes.values().filter(|route| route.refilled_at < now).any(|route| {
            let tokens = route.tokens + (now - route.refilled_at).as_secs_f64() * route.rate_per_sec;
            let burst = (route.rate_per_sec * BURST_SECS).max(1.0);
            let near = within.as_secs_f64() * route.rate_per_sec;
            let is_full = tokens > burst + near;
            !is_full && tokens > 0.5 && (tokens - tokens.round()).abs() <= near
        })
    }

    /// Returns the circuit records of all routes that have one, to be kept across a restart.
    pub fn circuit_records(&self) -> impl Iterator<Item = CircuitRecord> + '_ {
        let has_history = |route: &Route| {
            route.failure_score > 0 || route.open_circuit.is_some() || route.slow_start_since.is_some()
        };
        self.routes.iter().filter(move |(_, route)| has_history(route)).map(|(id, route)| CircuitRecord {
            destination: id.0,
            endpoint: id.1,
            last_success_at: route.open_circuit.as_ref().map_or(route.last_success_at, |open| open.since),
            failure_score: route.failure_score,
            has_lost_calls: route.open_circuit.as_ref().map(|open| open.has_lost_calls),
            slow_start_since: route.slow_start_since,
            baseline_per_sec: route.baseline_per_sec,
        })
    }

    /// Returns how long a client should wait before it enqueues a rejected message for this destination again:
    /// until the messages that wait there can have been sent and the Retry-After has passed; within the bounds
    /// of a backoff.
    pub fn suggested_retry_after(&mut self, now: Time, destination: DestinationId) -> Duration {
        let objective = Duration::from_secs_f64(shortest_objective_secs(&self.settings));
        let waiting_messages = self.queues.get(&destination).map_or(0, Vec::len) as f64;
        let routes: Vec<RouteId> = self.routes.range(routes_of(destination)).map(|(id, _)| *id).collect();
        let rate_per_sec: f64 = routes.iter().map(|id| self.rate_per_sec(now, *id)).sum();
        let shortest_wait =
            routes.iter().map(|id| self.routes[id].retry_after_until - now).min().unwrap_or_default();
        let backlog = Duration::from_secs_f64(
            (waiting_messages / rate_per_sec.max(0.001)).min(objective.as_secs_f64()),
        );
        shortest_wait.max(backlog).clamp(
            objective.mul_f64(BASE_BACKOFF_OBJECTIVE_RATIO),
            objective.mul_f64(MAX_BACKOFF_OBJECTIVE_RATIO),
        )
    }

    /// Returns whether to accept a new message rather than reject it. If the gateway is nearly full, a message
    /// is accepted only if its value is higher than that of the message to be shed for it plus the cost of
    /// shedding that one.
    pub fn admits(&mut self, now: Time, accepted: &AcceptedMessage) -> bool {
        let is_lame_duck = self.lame_duck_since.is_some_and(|since| now - since >= LAME_DUCK_GRACE);
        reached(if is_lame_duck { "lame duck rejects" } else { "new message" });
        if is_lame_duck || self.open_messages < self.max_open_messages() {
            return !is_lame_duck;
        }
        let is_over_quota =
            self.quota_remaining(now, accepted.tenant).is_some_and(|remaining| remaining < 1.0);
        let value =
            self.new_message(now, accepted.clone(), is_over_quota).map(|m| self.current_value(now, &m));
        let is_early =
            |m: &Message| now < m.enqueued_at + self.class(m).deadline.mul_f64(EARLY_SHED_RATIOS.0);
        let cost_ratio = |m: &Message| {
            if m.first_uncertain_attempt.is_none() && is_early(m) {
                EARLY_SHED_RATIOS.1
            } else {
                0.0
            }
        };
        let shed_cost = |m: &Message| cost_ratio(m) * self.full_value(m);
        let is_accepted = self
            .least_valuable(now)
            .is_none_or(|(least, m)| value.is_some_and(|value| value > least + shed_cost(m)));
        reached(if is_accepted { "more valuable than the least" } else { "nearly full" });
        if !is_accepted {
            self.record_demand(now, accepted.destination);
        }
        is_accepted
    }

    /// Returns a random delay to wait before the first watch on the endpoint list, so that gateways that start
    /// together spread their watches.
    pub fn initial_watch_delay(&mut self) -> Duration {
        let max_delay = self.settings.limits.drain_grace.mul_f64(MAX_START_SPREAD_DRAIN_GRACE_RATIO);
        START_SPREAD_PER_GATEWAY.mul_f64(fleet_size(&self.settings)).min(max_delay).mul_f64(self.rng.f64())
    }

    /// Returns the destination with the most messages without a final outcome, in flight or not, their number
    /// and the status of the destination's routes; None if there is no such message.
    pub fn longest_queue(&mut self, now: Time) -> Option<(DestinationId, usize, Vec<RouteStatus>)> {
        let (destination, queue) = self.queues.iter().max_by_key(|(_, queue)| queue.len())?;
        let (destination, waiting) = (*destination, queue.len());
        let routes: Vec<RouteId> = self.routes.range(routes_of(destination)).map(|(id, _)| *id).collect();
        let status = |id: RouteId| {
            let rate_per_sec = self.rate_per_sec(now, id);
            let route = &self.routes[&id];
            let (wait, is_open) = (route.retry_after_until - now, route.open_circuit.is_some());
            RouteStatus {
                endpoint: id.1,
                in_flight: route.calls.len(),
                rate_limit_per_sec: rate_per_sec,
                retry_after: wait,
                circuit_open: is_open,
            }
        };
        Some((destination, waiting, routes.into_iter().map(status).collect()))
    }

    /// Acts on all recorded events, and appends the resulting actions to `actions`.
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

    // ---- Events ----

    fn on_endpoints_updated(&mut self, now: Time, update: EndpointUpdate) {
        let entries = match update {
            EndpointUpdate::WatchFailed => {
                self.watch_retry_at = Some(now + WATCH_DELAY_AFTER_FAILURE);
                return;
            }
            EndpointUpdate::WatchRejected => {
                let (first, longest) = WATCH_REJECTION_DELAYS_PER_GATEWAY;
                let max_delay = exponential_backoff(first, 1.0, self.watch_rejections)
                    .min(longest)
                    .mul_f64(fleet_size(&self.settings));
                let random_fraction = self.rng.f64();
                self.watch_retry_at = Some(if max_delay > MAX_WATCH_REJECTION_DELAY {
                    now + MAX_WATCH_REJECTION_DELAY.mul_f64(0.5 + 0.5 * random_fraction)
                } else {
                    now + max_delay.mul_f64(random_fraction)
                });
                self.watch_rejections += 1;
                return;
            }
            EndpointUpdate::Delta(entries) => entries,
            EndpointUpdate::Snapshot(entries) => {
                // An endpoint that is not in the snapshot gets no new calls from now on.
                for tracked in self.endpoints.values_mut() {
                    tracked.entry.availability = Availability::Removed;
                }
                entries
            }
        };
        for entry in entries {
            if entry.availability == Availability::Removed && !self.endpoints.contains_key(&entry.id) {
                continue;
            }
            let limit_per_sec = self.assumed_limit_per_sec(&entry);
            let latency = self.latency;
            let batch_size = self
                .settings
                .destination_kinds
                .get(usize::from(entry.kind.0))
                .map_or(1, |kind| kind.max_batch_size.max(1));
            // The first calls of all gateways must not come at the same moment: each comes at a random point
            // within the interval between two calls. An unlisted limit has to be explored, and a listed one
            // that is far too low must not hold messages back.
            let (is_listed, random_fraction) = (self.listed_limit_per_sec(&entry).is_some(), self.rng.f64());
            let share = if is_listed {
                (INITIAL_RATE_EVEN_SHARES / fleet_size(&self.settings)).min(1.0)
            } else {
                1.0
            };
            let min_rate_per_sec = MIN_INITIAL_CALLS_PER_DEADLINE / shortest_deadline_secs(&self.settings);
            let (initial_rate_per_sec, initial_tokens) =
                ((limit_per_sec * share).max(min_rate_per_sec), 1.0 - random_fraction * (1.0 - share));
            let route = self.routes.entry(self.route_of(&entry)).or_insert_with(|| {
                let (rate_per_sec, tokens, refilled_at, latency, last_success_at) =
                    (initial_rate_per_sec, initial_tokens, now, latency, now);
                Route { rate_per_sec, tokens, refilled_at, latency, last_success_at, ..Route::default() }
            });
            (route.limit_per_sec, route.batch_size) = (limit_per_sec, batch_size);
            if let Some(tracked) = self.endpoints.get_mut(&entry.id) {
                if (tracked.entry.availability, entry.availability)
                    == (Availability::Draining, Availability::Ready)
                {
                    reached("endpoint reopened");
                }
                tracked.entry = entry;
                continue;
            }
            route.endpoints.push(entry.id);
            let (id, tie_breaker, avoid_until) = (entry.id, self.rng.u32(..), Time::ZERO);
            let tracked = TrackedEndpoint {
                entry,
                calls_in_flight: 0,
                tie_breaker,
                failures: 0,
                avoid_until,
                connection_used_at: None,
            };
            self.endpoints.insert(id, tracked);
        }
        let removed = self.endpoints.values().filter(|tracked| {
            tracked.entry.availability == Availability::Removed && tracked.calls_in_flight == 0
        });
        for id in removed.map(|tracked| tracked.entry.id).collect::<Vec<_>>() {
            reached("endpoint deleted");
            self.delete_endpoint(id);
        }
    }

    /// Restarts the watch on the list once its backoff has elapsed.
    fn restart_watch(&mut self, now: Time, next: &mut Option<Time>) {
        if self.watch_retry_at.take_if(|at| *at <= now).is_some() {
            self.actions.push(Action::WatchEndpoints { is_active: true });
        }
        keep_earliest(next, self.watch_retry_at);
    }

    /// Deletes a removed endpoint that has no call in flight. The state of its route stays, except if the
    /// endpoint was a route of its own.
    fn delete_endpoint(&mut self, id: EndpointId) {
        let Some(tracked) = self.endpoints.remove(&id) else { return };
        let route_id = self.route_of(&tracked.entry);
        if let Some(route) = self.routes.get_mut(&route_id) {
            route.endpoints.retain(|endpoint| *endpoint != id);
            if route_id.1.is_some() {
                reached("route deleted");
                self.routes.remove(&route_id);
            }
        }
    }

    fn on_message_accepted(&mut self, now: Time, accepted: AcceptedMessage) {
        let is_over_quota = self.charge_quota(now, accepted.tenant);
        let Some(message) = self.new_message(now, accepted, is_over_quota) else { return };
        let accepted = &message.accepted;
        if let (true, Some(key)) = (self.class(&message).is_ordered, accepted.key) {
            self.ordering_keys.entry(key).or_default().push(accepted.id);
        }
        self.deadlines.insert((accepted.deadline, accepted.id));
        self.queues.entry(accepted.destination).or_default().push(accepted.id);
        self.open_messages += 1;
        self.record_demand(now, message.accepted.destination);
        self.messages.insert(message.accepted.id, message);
    }

    fn record_demand(&mut self, now: Time, destination: DestinationId) {
        for (_, route) in self.routes.range_mut(routes_of(destination)) {
            route.demand.per_sec(now, warm_up_secs(&self.settings), 1.0);
        }
    }

    fn new_message(&self, now: Time, accepted: AcceptedMessage, is_over_quota: bool) -> Option<Message> {
        let class = self.settings.classes.get(usize::from(accepted.class.0))?;
        let enqueued_at = accepted.deadline - class.deadline;
        // A gateway that died may have sent a message with an idempotency key at any time since it was
        // enqueued.
        let may_have_run = accepted.is_redelivered && class.idempotency == Idempotency::IdempotentWithKey;
        Some(Message {
            enqueued_at,
            is_over_quota,
            was_restored_in_time: false,
            attempts: 0,
            call: None,
            first_uncertain_attempt: may_have_run.then_some((enqueued_at, None)),
            not_before: now,
            is_completed: false,
            awaits_acknowledgement: false,
            accepted,
        })
    }

    /// Accepts a message again that was pending before a restart. The old process may have had calls in flight
    /// until its end, so all ordering keys are held from now on.
    fn on_message_restored(&mut self, now: Time, restored: RestoredMessage) {
        let id = restored.message.id;
        self.all_keys_held_until = now + self.settings.limits.ordering_key_hold;
        self.on_message_accepted(now, restored.message);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.attempts = restored.attempts;
        let deadline = self.settings.classes[usize::from(message.accepted.class.0)].deadline;
        message.was_restored_in_time = message.accepted.deadline - now >= deadline / 2;
        if let Some(SentAttempt { sent_at, zone }) = restored.first_uncertain_attempt {
            message.first_uncertain_attempt = message.first_uncertain_attempt.or(Some((sent_at, Some(zone))));
        }
        if restored.has_final_outcome {
            message.awaits_acknowledgement = true;
            self.complete_message(id);
        } else if let Some(last_send_at) = self.messages.get(&id).and_then(|m| self.last_send_at(m)) {
            self.deadlines.insert((last_send_at.max(now), id));
        }
    }

    fn on_circuit_restored(&mut self, now: Time, record: CircuitRecord) {
        let (settings, random_fraction) = (&self.settings, self.rng.f64());
        let Some(route) = self.routes.get_mut(&RouteId(record.destination, record.endpoint)) else { return };
        (route.last_success_at, route.failure_score) = (record.last_success_at, record.failure_score);
        (route.slow_start_since, route.baseline_per_sec) = (record.slow_start_since, record.baseline_per_sec);
        if route.slow_start_since.is_some() {
            route.tokens = 0.0;
        }
        if let Some(has_lost_calls) = record.has_lost_calls {
            route.open_circuit = Some(OpenInterval {
                since: record.last_success_at,
                has_failures: true,
                has_lost_calls,
                ..OpenInterval::default()
            });
            route.schedule_probe(now, settings, random_fraction);
        }
    }

    /// Counts one message of a tenant, and returns whether it is over quota. A quota applies to all gateways
    /// together, but no gateway sees what the others accept: messages above the share assumed for this gateway
    /// are over quota, and are not charged.
    fn charge_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(remaining) = self.quota_remaining(now, tenant) else { return false };
        let is_over_quota = remaining < 1.0;
        self.quota_balances.insert(tenant, (if is_over_quota { remaining } else { remaining - 1.0 }, now));
        is_over_quota
    }

    /// Returns the remaining quota of a tenant, in messages; None if the tenant has no quota.
    fn quota_remaining(&self, now: Time, tenant: TenantId) -> Option<f64> {
        let quota_per_sec = self.settings.tenants.get(tenant.0 as usize)?.quota_per_sec;
        let local_per_sec = quota_per_sec * (LOCAL_QUOTA_EVEN_SHARES / fleet_size(&self.settings)).min(1.0);
        let (messages, at) = self.quota_balances.get(&tenant).copied().unwrap_or((local_per_sec, now));
        Some((messages + (now - at).as_secs_f64() * local_per_sec).min(local_per_sec))
    }

    fn on_retry_after(&mut self, now: Time, endpoint: EndpointId, delay: Duration) {
        let route = self.endpoints.get(&endpoint).map(|tracked| self.route_of(&tracked.entry));
        if let Some(route) = route.and_then(|id| self.routes.get_mut(&id)) {
            route.retry_after_until = route.retry_after_until.max(now + delay);
        }
    }

    fn on_endpoint_disabled(&mut self, endpoint: EndpointId) {
        if self.disabled_endpoints.insert(endpoint) {
            self.actions.push(Action::CloseIdleConnections { endpoint });
        }
    }

    /// Permits calls to an endpoint again, with a slow start: it may have been restarted at any time since it
    /// was disabled. Earlier failures are no evidence of its present state.
    fn on_endpoint_enabled(&mut self, now: Time, endpoint: EndpointId) {
        if !self.disabled_endpoints.remove(&endpoint) {
            return;
        }
        reached("endpoint enabled again");
        let Some(tracked) = self.endpoints.get_mut(&endpoint) else { return };
        (tracked.failures, tracked.avoid_until, tracked.connection_used_at) = (0, now, None);
        let id = self.endpoints.get(&endpoint).map(|tracked| self.route_of(&tracked.entry));
        if let Some(route) = id.and_then(|id| self.routes.get_mut(&id)) {
            (route.open_circuit, route.failure_score, route.slow_start_since) = (None, 0, Some(now));
            (route.refilled_at, route.tokens) = (now, 0.0);
        }
    }

    /// Returns whether an endpoint may get new calls.
    fn is_eligible(&self, tracked: &TrackedEndpoint) -> bool {
        tracked.entry.availability == Availability::Ready
            && !self.disabled_endpoints.contains(&tracked.entry.id)
    }

    fn on_attempt_finished(&mut self, now: Time, finished: FinishedAttempt) {
        // The first message of a call whose outcome has a Retry-After puts it into force, whatever the state of
        // that message.
        if let AttemptOutcome::Rejected(Some(delay)) = finished.outcome {
            self.on_retry_after(now, finished.endpoint, delay);
        }
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call_id) = message.call.take() else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let class = &self.settings.classes[usize::from(message.accepted.class.0)];
        let was_not_processed = finished.outcome.was_not_processed();
        if finished.outcome == AttemptOutcome::LocalFailure {
            message.attempts = message.attempts.saturating_sub(1);
        }
        if finished.outcome == AttemptOutcome::AttemptsExhausted {
            message.attempts = self.settings.max_attempts;
        }
        if !was_not_processed && message.first_uncertain_attempt.is_none() {
            message.first_uncertain_attempt = Some((call.sent_at, Some(call.zone)));
        }
        let backoff =
            exponential_backoff(class.latency_objective, BASE_BACKOFF_OBJECTIVE_RATIO, message.attempts)
                .min(class.latency_objective.mul_f64(MAX_BACKOFF_OBJECTIVE_RATIO));
        message.not_before = now + backoff.mul_f64(self.rng.f64());
        // After a call that may still be running, its ordering key is held before the next message of the key
        // is sent.
        let may_still_run = !was_not_processed
            && !matches!(finished.outcome, AttemptOutcome::Delivered | AttemptOutcome::ErrorResponse);
        if let (true, true, Some(key)) = (may_still_run, class.is_ordered, message.accepted.key) {
            self.key_holds.retain(|_, until| *until > now);
            self.key_holds.insert(key, now + self.settings.limits.ordering_key_hold);
        }
        // The messages of a call share its outcome: only the last one counts for the route.
        call.unfinished_attempts -= 1;
        if call.unfinished_attempts == 0 {
            if let Some(call) = self.calls.remove(&call_id) {
                self.complete_call(now, call_id, call, &finished);
            }
        }
        if finished.completes_message {
            self.complete_message(finished.message);
        } else if let Some(last_send_at) =
            self.messages.get(&finished.message).and_then(|m| self.last_send_at(m))
        {
            // A message that can never be sent again gets its final outcome at once: it would only use up
            // capacity and block the messages behind it in the order of its key.
            self.deadlines.insert((last_send_at.max(now), finished.message));
        }
        self.delete_if_settled(finished.message);
    }

    /// Returns the last time at which a message may be sent. None if only its deadline limits that;
    /// [`Time::ZERO`] if it may not be sent again at all.
    fn last_send_at(&self, message: &Message) -> Option<Time> {
        let class = self.class(message);
        match (message.first_uncertain_attempt, class.idempotency) {
            _ if message.attempts >= self.settings.max_attempts => {
                reached("attempt limit");
                Some(Time::ZERO)
            }
            (Some(_), Idempotency::NonIdempotent) => Some(Time::ZERO),
            (Some((first, _)), Idempotency::IdempotentWithKey) => Some(window_end(class, first)),
            _ => None,
        }
    }

    /// Frees the slot of a call, and updates connection reuse, endpoint and route with its outcome.
    fn complete_call(&mut self, now: Time, id: u64, call: Call, finished: &FinishedAttempt) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.calls.remove(&id);
        }
        let is_lost = matches!(
            finished.outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        );
        let risk = call
            .connection_idle
            .and_then(|idle| self.idle_bucket(idle))
            .map_or(0.0, |bucket| self.connection_reuse.idle_risks[bucket]);
        let is_idle_connection_loss =
            is_lost && risk > MAX_RISKS.0 + self.connection_reuse.baseline_risk * BASELINE_RISK_MULTIPLE;
        if !(is_lost && call.is_unresponsive) {
            self.record_connection_outcome(
                now,
                call.connection_idle,
                is_lost,
                finished.outcome == AttemptOutcome::Delivered,
            );
        }
        if finished.outcome == AttemptOutcome::TooManyConnections {
            self.reuse_paused_until = now + self.settings.connection_idle_timeout * PAUSE_IN_IDLE_TIMEOUTS;
        }
        let limits = &self.settings.limits;
        if let Some(tracked) = self.endpoints.get_mut(&call.endpoint) {
            tracked.calls_in_flight = tracked.calls_in_flight.saturating_sub(1);
            match finished.outcome {
                AttemptOutcome::Delivered => (tracked.connection_used_at, tracked.failures) = (Some(now), 0),
                AttemptOutcome::Rejected(_) => tracked.connection_used_at = Some(now),
                _ if is_idle_connection_loss => {}
                AttemptOutcome::ConnectFailed
                | AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::ErrorResponse => {
                    tracked.failures += 1;
                    let avoidance = exponential_backoff(
                        limits.overload_window,
                        PROBE_DELAY_WINDOW_RATIOS.0,
                        tracked.failures,
                    )
                    .min(limits.warm_up);
                    tracked.avoid_until = now + avoidance.mul_f64(self.rng.f64());
                }
                AttemptOutcome::MalformedResponse
                | AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
                | AttemptOutcome::AttemptsExhausted
                | AttemptOutcome::TooManyConnections
                | AttemptOutcome::LocalFailure => {}
            }
            if self.reuse_paused_until > now {
                tracked.connection_used_at = None;
                self.actions.push(Action::CloseIdleConnections { endpoint: call.endpoint });
            }
            if tracked.calls_in_flight == 0 && tracked.entry.availability == Availability::Removed {
                self.delete_endpoint(call.endpoint);
            }
        }
        if !is_idle_connection_loss {
            self.update_route(now, finished, &call);
        }
    }

    /// Updates the risk of reusing connections. A loss on an idle connection suggests that such connections
    /// are dropped without notice; a delivery on one that was idle for as long suggests that they are not.
    fn record_connection_outcome(
        &mut self,
        now: Time,
        idle: Option<Duration>,
        is_lost: bool,
        is_delivered: bool,
    ) {
        if !is_lost && !is_delivered {
            return;
        }
        let bucket = idle.and_then(|idle| self.idle_bucket(idle));
        let connection_reuse = &mut self.connection_reuse;
        let risk = bucket
            .map_or(&mut connection_reuse.baseline_risk, |bucket| &mut connection_reuse.idle_risks[bucket]);
        *risk += RISK_GAIN * (f64::from(u8::from(is_lost)) - *risk);
        if bucket.is_some() {
            let interval_secs = if is_lost {
                shortest_objective_secs(&self.settings) * PROBE_INTERVAL_IN_OBJECTIVES
            } else {
                0.0
            };
            connection_reuse.next_probe_at = now + Duration::from_secs_f64(interval_secs);
        }
    }

    /// Returns the bucket of an idle time; None if it is too short to count as idle.
    fn idle_bucket(&self, idle: Duration) -> Option<usize> {
        let doublings = (idle.as_secs_f64()
            / (shortest_objective_secs(&self.settings) * MIN_IDLE_OBJECTIVE_RATIO))
            .log2();
        (doublings >= 0.0).then(|| (doublings as usize).min(IDLE_BUCKETS - 1))
    }

    // ---- Circuit breaker, slow start and rate limit ----

    /// Updates a route with the outcome of one of its calls.
    fn update_route(&mut self, now: Time, finished: &FinishedAttempt, call: &Call) {
        let (settings, random_fraction) = (&self.settings, self.rng.f64());
        let waiting_messages = self.queues.get(&call.route.0).map_or(0, Vec::len) as f64;
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        if let Some(limit_per_sec) = finished
            .load_report
            .map(|report| report.limit_per_sec)
            .filter(|limit_per_sec| *limit_per_sec > 0.0)
        {
            route.limit_per_sec = limit_per_sec;
        }
        // A timeout is a sample too, of at least its duration. Without it, attempt timeouts would stay too short
        // while the destination is slow, and each retry would arrive while the previous attempt is still running.
        if matches!(
            finished.outcome,
            AttemptOutcome::Delivered | AttemptOutcome::Timeout | AttemptOutcome::Cancelled
        ) {
            if route.latency.samples == 0 {
                route.latency = LatencyEstimate { samples: 0, ..self.latency };
            }
            route.latency.record(finished.latency, MIN_LATENCY_GAIN);
        }
        // A lost call does not count where another call has succeeded since it was sent. Errors and resets do
        // not count while the route has a healthy endpoint. Missing responses do, as usually all endpoints of
        // a route stall at once.
        let disabled_endpoints = &self.disabled_endpoints;
        let is_healthy = |tracked: &TrackedEndpoint| {
            tracked.entry.availability == Availability::Ready
                && tracked.failures == 0
                && !disabled_endpoints.contains(&tracked.entry.id)
        };
        let no_success_since = call.sent_at >= route.last_success_at;
        let no_healthy_endpoint = no_success_since
            && !route.endpoints.iter().filter_map(|id| self.endpoints.get(id)).any(is_healthy);
        let max_transient_outage = settings.limits.overload_window.mul_f64(MAX_TRANSIENT_WINDOW_RATIO);
        let span_secs = settings.limits.overload_window.as_secs_f64() * LOSS_SPAN_IN_OVERLOAD_WINDOWS;
        match finished.outcome {
            outcome if outcome.was_not_processed() => {}
            AttemptOutcome::Delivered => drop(route.delivered.per_sec(now, span_secs, 1.0)),
            _ => drop(route.lost.per_sec(now, span_secs, 1.0)),
        }
        match finished.outcome {
            AttemptOutcome::Delivered => {
                self.latency.record(finished.latency, MIN_LATENCY_GAIN);
                let served_per_sec = route.served.per_sec(now, warm_up_secs(settings), 0.0);
                let is_recovering = route.open_circuit.is_some() || route.slow_start_since.is_some();
                route.baseline_per_sec =
                    if is_recovering { served_per_sec.max(route.baseline_per_sec) } else { served_per_sec };
                route.served.count += 1.0;
                // A destination without success for a while may be cold: it gets a slow start. The outage
                // counts from the last success, so that it is recognized by gateways that saw only its end.
                if route
                    .open_circuit
                    .as_ref()
                    .is_some_and(|open| open.has_failures && now - open.since > max_transient_outage)
                {
                    reached("slow start begins");
                    route.slow_start_since = Some(now);
                    route.tokens = 0.0;
                }
                let headroom = finished
                    .load_report
                    .filter(|report| report.limit_per_sec > 0.0)
                    .map(|report| report.headroom.clamp(0.0, 1.0));
                if route.is_binding {
                    let below_share = 1.0
                        - route.rate_per_sec * fleet_size(settings)
                            / route.limit_per_sec.max(LISTED_LIMIT_BOUNDS_PER_SEC.0);
                    let ratio = GROWTH_RATIO * (1.0 + EXTRA_GROWTH_BELOW_SHARE * below_share.clamp(0.0, 1.0));
                    let growth_per_sec =
                        ratio * route.rate_per_sec.min(shortest_objective_secs(settings).recip());
                    let growth_per_sec = headroom.map_or(growth_per_sec, |headroom| {
                        GROWTH_PER_HEADROOM * headroom * route.rate_per_sec
                    });
                    route.rate_per_sec += growth_per_sec;
                }
                route.open_circuit = None;
                (route.failure_score, route.cuts_since_success) = (0, 0);
                route.last_success_at = now;
                return;
            }
            // The destination is closed, and has announced when it is back. All rejected messages wait for
            // that moment: in one case 480 of 490 calls came together and overloaded the destination. So the
            // slow start begins there, with no tokens saved up, and the first call of each gateway is at a
            // random point within the interval between two of its calls.
            AttemptOutcome::Rejected(Some(wait)) if wait > max_transient_outage => {
                reached("return announced");
                (route.open_circuit, route.slow_start_since) = (None, Some(route.retry_after_until));
                (route.refilled_at, route.tokens) = (route.retry_after_until, random_fraction);
                return;
            }
            AttemptOutcome::Rejected(_) => {
                // With headroom left, the destination is closed, or hangs with a full queue.
                let has_headroom = finished.load_report.is_some_and(|report| {
                    report.limit_per_sec > 0.0 && report.headroom > MAX_HEADROOM_AT_LIMIT
                });
                route.failure_score += if has_headroom { SCORE_MAJOR } else { SCORE_MINOR };
                if now - route.last_cut_at > MIN_CUT_INTERVAL {
                    let ratio = CUT_RATIOS[route.cuts_since_success.min(CUT_RATIOS.len() - 1)];
                    route.cuts_since_success += 1;
                    // A burst of messages must not be sent at the ordinary rate for a long time. Where a call
                    // carries many messages, waiting messages go together, and one call per latency objective
                    // is enough.
                    let objective_call_per_sec = shortest_objective_secs(settings).recip();
                    let (waiting_messages, max_sent_per_sec) = if route.batch_size > 1 {
                        (0.0, objective_call_per_sec)
                    } else {
                        (waiting_messages, f64::MAX)
                    };
                    let sent_per_sec =
                        route.sent_calls.per_sec(now, SENT_SPAN_SECS, 0.0).min(max_sent_per_sec);
                    let demand_per_sec = route.demand.per_sec(now, warm_up_secs(settings), 0.0);
                    let used_per_sec = sent_per_sec
                        .max(demand_per_sec)
                        .max(route.limit_per_sec / fleet_size(settings))
                        .max(waiting_messages * objective_call_per_sec);
                    let floor_per_sec = route.overload_budget_per_sec(now, settings, 0.0);
                    route.rate_per_sec = (ratio * route.rate_per_sec.min(used_per_sec))
                        .max(floor_per_sec.min(route.rate_per_sec));
                    route.last_cut_at = now;
                }
                // The delay is random, so that gateways that were rejected together do not call again together.
                let spread_calls =
                    if route.has_low_traffic(now, settings) { LOW_TRAFFIC_MAX_WAIT_CALLS } else { 1.0 };
                route.tokens = route.tokens.min(-random_fraction * spread_calls);
            }
            AttemptOutcome::ErrorResponse | AttemptOutcome::Reset if no_healthy_endpoint => {
                route.failure_score += SCORE_MAJOR
            }
            // The destination is up, but may be failing most calls.
            AttemptOutcome::MalformedResponse if no_success_since => route.failure_score += SCORE_MINOR,
            AttemptOutcome::ConnectFailed if no_success_since => route.failure_score += SCORE_CERTAIN,
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled if no_success_since => {
                route.failure_score += SCORE_MAJOR
            }
            _ => {}
        }
        if route.failure_score >= OPENING_SCORE
            || (route.open_circuit.is_some() && route.failure_score >= SCORE_MAJOR)
        {
            let open_circuit = route
                .open_circuit
                .get_or_insert(OpenInterval { since: route.last_success_at, ..OpenInterval::default() });
            reached("failures open the circuit");
            open_circuit.has_failures = true;
            open_circuit.has_lost_calls |= !matches!(finished.outcome, AttemptOutcome::Rejected(_));
            route.schedule_probe(now, settings, random_fraction);
            route.slow_start_since = None;
        }
    }

    /// Marks the calls that have become unresponsive. Returns when the next call will.
    fn mark_unresponsive_calls(&mut self, now: Time) -> Option<Time> {
        let mut next = None;
        for id in
            self.calls.iter().filter(|(_, call)| !call.is_unresponsive).map(|(id, _)| *id).collect::<Vec<_>>()
        {
            let at = self.calls[&id].sent_at + self.unresponsive_after(self.calls[&id].route);
            if at > now {
                keep_earliest(&mut next, Some(at));
            } else if let Some(call) = self.calls.get_mut(&id) {
                reached("unresponsive call");
                call.is_unresponsive = true;
                let connection_idle = call.connection_idle;
                self.record_connection_outcome(now, connection_idle, true, false);
            }
        }
        next
    }

    fn unresponsive_after(&self, id: RouteId) -> Duration {
        let typical_secs = self
            .routes
            .get(&id)
            .map_or(0.0, |route| route.latency.multiple_secs(UNRESPONSIVE_AFTER_LATENCIES));
        Duration::from_secs_f64(
            typical_secs
                .max(shortest_objective_secs(&self.settings) * MIN_UNRESPONSIVE_AFTER_OBJECTIVE_RATIO),
        )
    }

    /// Returns when a route may take one more call: now, later, or only after some event (None). The rules
    /// apply in this order: Retry-After, shutdown, circuit breaker, bulkhead, rate limit.
    fn route_free_at(&mut self, now: Time, id: RouteId) -> Option<Time> {
        let unresponsive_after = self.unresponsive_after(id);
        let free_slots = self.free_slots();
        let rate_per_sec = self.rate_per_sec(now, id);
        let route = self.routes.get_mut(&id)?;
        if route.retry_after_until > now {
            reached("Retry-After pending");
            return Some(route.retry_after_until);
        }
        if self.shutdown_at.is_some_and(|end| now + unresponsive_after > end) {
            reached("shutdown pending");
            return None;
        }
        // A destination that hangs or is down does not respond: the missing response itself opens the
        // circuit, long before the attempt times out, so that few calls are lost.
        let oldest_sent_at =
            route.calls.first().and_then(|call| self.calls.get(call)).map(|call| call.sent_at);
        if let (None, Some(sent_at)) = (&route.open_circuit, oldest_sent_at) {
            if now - sent_at.max(route.last_success_at) >= unresponsive_after {
                reached("missing response opens the circuit");
                let (since, next_probe_at) = (route.last_success_at.min(sent_at), now + unresponsive_after);
                route.open_circuit = Some(OpenInterval {
                    since,
                    next_probe_at,
                    has_lost_calls: true,
                    ..OpenInterval::default()
                });
            }
        }
        if let Some(open_circuit) = &route.open_circuit {
            // Unresponsive probes must not use up the slots of healthy destinations.
            let max_probes = ((free_slots as f64 * MAX_PROBE_FREE_SLOTS_RATIO) as usize).max(1);
            if route.calls.len() >= max_probes {
                reached("no slot for a probe");
            }
            return (route.calls.len() < max_probes).then_some(open_circuit.next_probe_at);
        }
        // Bulkhead: no route has more calls in flight than slots are free for all others.
        if !route.calls.is_empty() && route.calls.len() >= free_slots.max(1) {
            reached("bulkhead");
            return None;
        }
        let burst = if route.slow_start_since.is_some() { 1.0 } else { (rate_per_sec * BURST_SECS).max(1.0) };
        let passed_secs = (now - route.refilled_at).as_secs_f64();
        route.tokens = (route.tokens + passed_secs * rate_per_sec).min(burst);
        route.refilled_at = now;
        route.is_binding = route.tokens < 1.0;
        if route.is_binding {
            reached("no token");
            let max_wait_secs = if route.slow_start_since.is_some() { 10.0 } else { 3600.0 };
            return Some(
                now + Duration::from_secs_f64(
                    ((1.0 - route.tokens) / rate_per_sec).clamp(0.001, max_wait_secs),
                ),
            );
        }
        Some(now)
    }

    /// Returns the calls per second that this gateway may send by a route now. Ends a slow start whose time has
    /// elapsed.
    fn rate_per_sec(&mut self, now: Time, id: RouteId) -> f64 {
        let Some(route) = self.routes.get_mut(&id) else { return 1.0 };
        let Some(slow_start_since) = route.slow_start_since else { return route.rate_per_sec };
        let warm_up_progress = (now - slow_start_since).as_secs_f64() / warm_up_secs(&self.settings);
        reached(if warm_up_progress >= 1.0 { "slow start over" } else { "slow start" });
        if warm_up_progress >= 1.0 {
            route.slow_start_since = None;
            return route.rate_per_sec;
        }
        route.overload_budget_per_sec(now, &self.settings, warm_up_progress).min(route.rate_per_sec)
    }

    // ---- Choice of messages, routes and endpoints ----

    /// Fills free slots: each goes to the waiting destination with the fewest calls in flight; of several, to
    /// the one whose best message has the highest value per second of its call. Lowers `next` to the time of
    /// the next visit if that is earlier.
    fn fill_free_slots(&mut self, now: Time, next: &mut Option<Time>) {
        let mut ready: Vec<(DestinationId, f64)> = Vec::new();
        if self.free_slots() == 0 && self.open_messages > self.calls.len() {
            reached("no slot");
        }
        if self.free_slots() > 0 {
            for destination in self.queues.keys().copied().collect::<Vec<_>>() {
                ready.extend(
                    self.find_candidate(now, destination, next)
                        .map(|(.., value_per_sec)| (destination, value_per_sec)),
                );
            }
        }
        while self.free_slots() > 0 {
            let order = |a: &(DestinationId, f64), b: &(DestinationId, f64)| {
                self.calls_in_flight_to(a.0).cmp(&self.calls_in_flight_to(b.0)).then(b.1.total_cmp(&a.1))
            };
            let Some(first) = (0..ready.len()).min_by(|a, b| order(&ready[*a], &ready[*b])) else { break };
            // Other calls have started since the destination was found ready, so it may have to wait now.
            let (destination, _) = ready.swap_remove(first);
            let Some((route, endpoint, message, _)) = self.find_candidate(now, destination, next) else {
                continue;
            };
            self.start_call(now, route, endpoint, message);
            ready.extend(
                self.find_candidate(now, destination, next)
                    .map(|(.., value_per_sec)| (destination, value_per_sec)),
            );
        }
    }

    fn calls_in_flight_to(&self, destination: DestinationId) -> usize {
        self.routes.range(routes_of(destination)).map(|(_, route)| route.calls.len()).sum()
    }

    /// Returns the best message of a destination that may be sent now, by the cheapest route that can take it,
    /// with its endpoint and its value per second for which the call occupies its slot. If there is none,
    /// lowers `next` to when there may be one.
    fn find_candidate(
        &mut self,
        now: Time,
        destination: DestinationId,
        next: &mut Option<Time>,
    ) -> Option<Candidate> {
        let mut routes: Vec<(f64, RouteId)> =
            self.routes.range(routes_of(destination)).map(|(id, _)| (self.cost(*id), *id)).collect();
        routes.sort_by(|a, b| a.0.total_cmp(&b.0));
        // The cheapest healthy route that can take a call later, but not now: its cost, when it is free, and the
        // messages per second that it can take.
        let mut cheaper_route: Option<(f64, Time, f64)> = None;
        for (cost, route) in routes {
            let free_at = self.route_free_at(now, route);
            if free_at.is_none_or(|at| at > now) {
                keep_earliest(next, free_at);
                let calls_per_sec = self.rate_per_sec(now, route);
                let is_eligible =
                    |id: &EndpointId| self.endpoints.get(id).is_some_and(|tracked| self.is_eligible(tracked));
                let is_healthy = |route: &&Route| {
                    route.open_circuit.is_none()
                        && route.slow_start_since.is_none()
                        && route.endpoints.iter().any(is_eligible)
                };
                let healthy = self.routes.get(&route).filter(is_healthy);
                if let (None, Some(free_at), Some(healthy)) = (cheaper_route, free_at, healthy) {
                    cheaper_route = Some((cost, free_at, calls_per_sec * healthy.batch_size as f64));
                }
                continue;
            }
            let endpoints = self.routes[&route].endpoints.iter().filter_map(|id| self.endpoints.get(id));
            let zones: Vec<_> = endpoints
                .filter(|tracked| self.is_eligible(tracked))
                .map(|tracked| tracked.entry.zone)
                .collect();
            let Some((message, value)) = self.choose_message(now, route, &zones, next) else { continue };
            if let Some((_, free_at, messages_per_sec)) =
                cheaper_route.filter(|(least_cost, ..)| *least_cost < cost)
            {
                // The message waits only if that route can deliver the whole queue in time: otherwise the
                // capacity of this route would be wasted.
                let waiting_messages = self.queues.get(&destination).map_or(0, Vec::len) as f64;
                let served_at = free_at
                    + Duration::from_secs_f64(
                        (waiting_messages / messages_per_sec.max(0.001)).min(warm_up_secs(&self.settings)),
                    );
                let chosen = self.messages.get(&message);
                if chosen.is_some_and(|message| {
                    served_at
                        < message.enqueued_at
                            + self.class(message).latency_objective.mul_f64(MAX_COST_WAIT_OBJECTIVE_RATIO)
                }) {
                    reached("waits for a cheaper route");
                    keep_earliest(next, Some(free_at));
                    continue;
                }
            }
            let Some(endpoint) = self.select_endpoint(now, route, message) else { continue };
            let call_secs = self.routes[&route].latency.mean_secs.max(0.001);
            return Some((route, endpoint, message, value / call_secs));
        }
        None
    }

    /// Returns the cost of a message by a route. Only an endpoint that is a route of its own has a cost.
    fn cost(&self, id: RouteId) -> f64 {
        let zone =
            id.1.and_then(|endpoint| self.endpoints.get(&endpoint))
                .map(|tracked| usize::from(tracked.entry.zone.0));
        zone.and_then(|zone| self.settings.zone_costs.get(zone)).copied().unwrap_or(0.0)
    }

    /// Returns the message of highest value that may be sent by a route to one of `zones` now. If there is
    /// none, lowers `next` to when there may be one. A half-open probe prefers a resendable message.
    fn choose_message(
        &mut self,
        now: Time,
        route: RouteId,
        zones: &[ZoneId],
        next: &mut Option<Time>,
    ) -> ChosenMessage {
        let is_probe = self.routes.get(&route).is_some_and(|route| route.open_circuit.is_some());
        // Losses that all routes have in common are no reason to wait.
        let max_ratio = MAX_LOSS_RATIO_ABOVE_BASELINE + self.connection_reuse.baseline_risk;
        let has_high_loss = self
            .routes
            .get_mut(&route)
            .is_some_and(|route| route.loss_ratio(now, &self.settings) > max_ratio);
        let mut best: Option<(bool, f64, MessageId)> = None;
        let may_send_there =
            |message: &&Message| zones.iter().any(|zone| self.may_send_to_zone(message, *zone));
        let queue = self.queues.get(&route.0).into_iter().flatten();
        for message in queue.filter_map(|id| self.messages.get(id)).filter(may_send_there) {
            let send_at = self.earliest_send_at(now, message);
            if send_at.is_none_or(|send_at| send_at > now) {
                keep_earliest(next, send_at);
                continue;
            }
            let last_attempt_at = message.accepted.deadline
                - self.class(message).latency_objective.mul_f64(LAST_ATTEMPT_OBJECTIVES_BEFORE_DEADLINE);
            if has_high_loss && !self.is_resendable(message) && now < last_attempt_at {
                reached("non-idempotent message waits out losses");
                let recheck_at = now
                    + self
                        .settings
                        .limits
                        .overload_window
                        .mul_f64(LOSS_SPAN_IN_OVERLOAD_WINDOWS * MAX_LOSS_RATIO_ABOVE_BASELINE);
                keep_earliest(next, Some(recheck_at.min(last_attempt_at)));
                continue;
            }
            let is_preferred = !is_probe || self.is_resendable(message);
            let value = self.current_value(now, message);
            if best.is_none_or(|(best_preferred, best_value, _)| {
                (is_preferred, value) > (best_preferred, best_value)
            }) {
                best = Some((is_preferred, value, message.accepted.id));
            }
        }
        best.map(|(_, value, id)| (id, value))
    }

    fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[usize::from(message.accepted.class.0)]
    }

    fn is_resendable(&self, message: &Message) -> bool {
        self.class(message).idempotency != Idempotency::NonIdempotent
    }

    /// Returns when a message may be sent: the condition that every attempt has to meet. None if that depends
    /// on some event, or if the message may never be sent again.
    fn earliest_send_at(&self, now: Time, message: &Message) -> Option<Time> {
        if message.is_completed
            || message.call.is_some()
            || self.last_send_at(message).is_some_and(|last| now > last)
        {
            if !message.is_completed && message.call.is_none() {
                reached("may not be sent again");
            }
            return None;
        }
        let class = self.class(message);
        let mut send_at = message.not_before;
        if let (true, Some(key)) = (class.is_ordered, message.accepted.key) {
            if self.ordering_keys.get(&key).and_then(|pending| pending.first()) != Some(&message.accepted.id)
            {
                reached("ordering key not in turn");
                return None;
            }
            send_at = send_at.max(self.all_keys_held_until);
            // A hold binds the next messages of the key, not the one whose attempt may still be running.
            if message.attempts == 0 {
                send_at = send_at.max(self.key_holds.get(&key).copied().unwrap_or(Time::ZERO));
                if send_at > now && send_at > message.not_before {
                    reached("ordering key held");
                }
            }
        }
        Some(send_at)
    }

    /// Returns the value that a message still has, weighed with what waiting would lose: messages on time go
    /// before late ones, those about to be late before fresh ones, and those about to expire before those
    /// that can wait.
    fn current_value(&self, now: Time, message: &Message) -> f64 {
        // A retry has no value after the end of its idempotency window.
        let last_send_age_secs =
            self.last_send_at(message).map(|last| (last - message.enqueued_at).as_secs_f64());
        let class = self.class(message);
        let (objective_secs, deadline_secs) =
            (class.latency_objective.as_secs_f64(), class.deadline.as_secs_f64());
        let ratio = |age_secs: f64| {
            if age_secs > deadline_secs || last_send_age_secs.is_some_and(|last| age_secs > last) {
                return 0.0;
            }
            let late_secs = (age_secs - objective_secs).max(0.0);
            match self.settings.decay {
                Decay::Linear => {
                    1.0 - (1.0 - class.late_value_ratio) * late_secs
                        / (deadline_secs - objective_secs).max(0.001)
                }
                Decay::Halving => (-late_secs / objective_secs.max(0.001)).exp2().max(class.late_value_ratio),
            }
        };
        let age_secs = (now - message.enqueued_at).as_secs_f64();
        self.full_value(message)
            * ((1.0 + WAITING_LOSS_WEIGHT) * ratio(age_secs)
                - WAITING_LOSS_WEIGHT * ratio(age_secs + objective_secs))
    }

    /// Returns the value of a message on time.
    fn full_value(&self, message: &Message) -> f64 {
        let ratio = if message.is_over_quota { self.settings.over_quota_value_ratio } else { 1.0 };
        self.class(message).priority_weight * ratio
    }

    /// Returns whether a message may be sent to a zone. With deduplication per zone, retries stay in the zone of
    /// the first uncertain attempt.
    fn may_send_to_zone(&self, message: &Message, zone: ZoneId) -> bool {
        let class = self.class(message);
        let is_bound_to_zone = class.idempotency == Idempotency::IdempotentWithKey
            && class.deduplication_scope == DeduplicationScope::Zone;
        let may_send = message
            .first_uncertain_attempt
            .is_none_or(|(_, first_zone)| !is_bound_to_zone || first_zone == Some(zone));
        if !may_send {
            reached("outside the deduplication scope");
        }
        may_send
    }

    /// Returns the endpoint of a route for a message: inside the deduplication scope of a retry, the one with
    /// the fewest calls in flight; endpoints to be avoided come last. Ties go by each gateway's own random
    /// order, as otherwise all gateways with few calls would choose the same endpoint.
    fn select_endpoint(&self, now: Time, id: RouteId, message: MessageId) -> Option<EndpointId> {
        let message = self.messages.get(&message)?;
        let endpoints = self.routes.get(&id)?.endpoints.iter();
        endpoints
            .filter_map(|endpoint| self.endpoints.get(endpoint))
            .filter(|tracked| self.is_eligible(tracked) && self.may_send_to_zone(message, tracked.entry.zone))
            .min_by_key(|tracked| {
                (tracked.avoid_until > now, tracked.calls_in_flight, tracked.failures, tracked.tie_breaker)
            })
            .map(|tracked| tracked.entry.id)
    }

    /// Starts a call with the message `first` and, if a call can carry more, further waiting messages.
    fn start_call(&mut self, now: Time, id: RouteId, endpoint: EndpointId, first: MessageId) {
        let connection_idle = self.prepare_connection(now, endpoint, first);
        let Some(tracked) = self.endpoints.get_mut(&endpoint) else { return };
        tracked.calls_in_flight += 1;
        let zone = tracked.entry.zone;
        let Some(route) = self.routes.get_mut(&id) else { return };
        route.tokens -= 1.0;
        route.sent_calls.per_sec(now, SENT_SPAN_SECS, 1.0);
        let mut max_messages = route.batch_size;
        if let Some(open_circuit) = &mut route.open_circuit {
            reached("half-open probe");
            open_circuit.probes_sent += 1;
            // A probe that can only be rejected carries a full batch, as a rejection does not harm its messages.
            if open_circuit.has_lost_calls {
                max_messages = 1;
            }
        }
        route.schedule_probe(now, &self.settings, self.rng.f64());
        self.last_call += 1;
        route.calls.insert(self.last_call);
        let mut messages = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            let attempt_timeout = self.attempt_timeout(now, id, message);
            let last_send_at = self.messages.get(&message).and_then(|m| self.last_send_at(m));
            if let Some(m) = self.messages.get_mut(&message) {
                // `send_within` is set per message, as other messages of the call may have more time until the
                // connection is open.
                let send_within =
                    last_send_at.map_or(m.accepted.deadline, |last| last.min(m.accepted.deadline)) - now;
                m.attempts += 1;
                m.call = Some(self.last_call);
                self.actions.push(Action::StartAttempt { message, endpoint, attempt_timeout, send_within });
            }
            messages.push(message);
            next = if messages.len() == max_messages {
                None
            } else {
                self.choose_message(now, id, &[zone], &mut None).map(|(m, _)| m)
            };
        }
        if messages.len() > 1 {
            reached("batch");
        }
        let (route, sent_at, unfinished_attempts, is_unresponsive, is_cancelled) =
            (id, now, messages.len(), false, false);
        let call = Call {
            route,
            endpoint,
            zone,
            sent_at,
            messages,
            unfinished_attempts,
            connection_idle,
            is_unresponsive,
            is_cancelled,
        };
        self.calls.insert(self.last_call, call);
    }

    /// Returns how long the connection of the next call to an endpoint has been idle; None if the call opens a
    /// new one, or if that is not certain. Closes the idle connections first if reusing one is too risky, except
    /// that now and then one is tried with a resendable message.
    fn prepare_connection(&mut self, now: Time, endpoint: EndpointId, first: MessageId) -> Option<Duration> {
        let tracked = self.endpoints.get(&endpoint)?;
        let idle = now
            - tracked
                .connection_used_at
                .filter(|used_at| now - *used_at < self.settings.connection_idle_timeout)?;
        // While another call is in flight, the next one may use a connection that has been idle for longer, so
        // the highest risk from this idle time on counts.
        let is_only_call = tracked.calls_in_flight == 0;
        let is_resendable = self.messages.get(&first).is_some_and(|m| self.is_resendable(m));
        let max_risk = if is_resendable { MAX_RISKS.1 } else { MAX_RISKS.0 };
        let bucket = self.idle_bucket(idle).unwrap_or(if is_only_call { IDLE_BUCKETS } else { 0 });
        let connection_reuse = &mut self.connection_reuse;
        let idle_risks = &connection_reuse.idle_risks[bucket..];
        let risk = if is_only_call {
            idle_risks.first().copied()
        } else {
            idle_risks.iter().copied().reduce(f64::max)
        };
        if risk.unwrap_or(0.0) < max_risk + connection_reuse.baseline_risk * BASELINE_RISK_MULTIPLE {
            return is_only_call.then_some(idle);
        }
        if is_resendable && is_only_call && now >= connection_reuse.next_probe_at {
            connection_reuse.next_probe_at = now
                + Duration::from_secs_f64(
                    shortest_objective_secs(&self.settings) * PROBE_INTERVAL_IN_OBJECTIVES,
                );
            return Some(idle);
        }
        reached("idle connection closed");
        self.actions.push(Action::CloseIdleConnections { endpoint });
        None
    }

    /// Returns the timeout of the next attempt, by the latency of its route. If no other attempt could follow,
    /// the attempt has all the time until the message's deadline, as its timeout would be final.
    fn attempt_timeout(&self, now: Time, id: RouteId, message: MessageId) -> Duration {
        let Some(message) = self.messages.get(&message) else { return Duration::ZERO };
        let class = self.class(message);
        let remaining = message.accepted.deadline - now;
        let Some(route) = self.routes.get(&id) else { return remaining };
        let typical_secs = route.latency.multiple_secs(TIMEOUT_IN_LATENCIES);
        let objective_secs = class.latency_objective.as_secs_f64();
        let timeout = Duration::from_secs_f64(typical_secs.clamp(
            objective_secs * TIMEOUT_BOUNDS_IN_OBJECTIVES.0,
            objective_secs * TIMEOUT_BOUNDS_IN_OBJECTIVES.1,
        ));
        let first_sent_at = message.first_uncertain_attempt.map_or(now, |(first_sent_at, _)| first_sent_at);
        let is_last = message.attempts + 1 >= self.settings.max_attempts
            || class.idempotency == Idempotency::NonIdempotent
            || (class.idempotency == Idempotency::IdempotentWithKey
                && now + timeout > window_end(class, first_sent_at));
        let timeout = if is_last { remaining } else { timeout };
        timeout.min(remaining)
    }

    /// Cancels the oldest unresponsive call if no slot is free and messages wait. A call with a non-idempotent
    /// message is cancelled later.
    fn cancel_unresponsive_call(&mut self, now: Time) {
        if !self.settings.allow_cancel || self.free_slots() > 0 || self.open_messages <= self.calls.len() {
            return;
        }
        let can_be_cancelled = |call: &Call| {
            let mut messages = call.messages.iter().filter_map(|m| self.messages.get(m));
            let is_resendable_call = messages.all(|m| self.is_resendable(m));
            let cancel_after = self.unresponsive_after(call.route)
                * if is_resendable_call { 1 } else { NON_IDEMPOTENT_CANCEL_MULTIPLE };
            !call.is_cancelled && now - call.sent_at > cancel_after
        };
        let Some(id) = self.calls.iter().find(|(_, call)| can_be_cancelled(call)).map(|(id, _)| *id) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        reached("call cancelled");
        call.is_cancelled = true;
        for message in &call.messages {
            if let Some(m) = self.messages.get(message).filter(|m| m.call == Some(id)) {
                self.actions
                    .push(Action::CancelAttempt { message: *message, attempt: (m.attempts - 1) as u16 });
            }
        }
    }

    // ---- Final outcomes ----

    /// Returns the final outcome that a message may get now; None if it has one already.
    fn final_outcome(&mut self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|m| !m.is_completed)?;
        let destination = message.accepted.destination;
        let is_safe_to_reject = match self.class(message).idempotency {
            Idempotency::Idempotent => true,
            _ => message.first_uncertain_attempt.is_none() && message.call.is_none(),
        };
        Some(if is_safe_to_reject {
            Action::Reject { message: id, retry_after: self.suggested_retry_after(now, destination) }
        } else {
            Action::ReportFailure { message: id }
        })
    }

    fn give_up(&mut self, now: Time, id: MessageId) {
        let outcome = self.final_outcome(now, id);
        if let Some(message) = self.messages.get_mut(&id).filter(|_| outcome.is_some()) {
            message.awaits_acknowledgement = self.settings.outcomes_need_acknowledgement;
        }
        self.actions.extend(outcome);
        self.complete_message(id);
    }

    /// Gives up the messages whose deadline, or last time for sending, has passed. A message in flight may
    /// still be delivered during the first half of the grace time for final outcomes.
    fn give_up_expired(&mut self, now: Time) {
        while let Some(&(at, id)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, id));
            let Some(message) = self.messages.get(&id).filter(|m| !m.is_completed) else { continue };
            let give_up_at = message.accepted.deadline + self.settings.limits.final_outcome_grace / 2;
            if message.call.is_some() && now < give_up_at {
                self.deadlines.insert((give_up_at, id));
            } else {
                self.give_up(now, id);
            }
        }
    }

    /// Gives up the messages of least value while the gateway is nearly full, before new messages have to be
    /// rejected whatever their value.
    fn shed_load(&mut self, now: Time) {
        while self.open_messages > self.max_open_messages() {
            let Some(id) = self.least_valuable(now).map(|(_, m)| m.accepted.id) else { return };
            reached("message shed");
            self.give_up(now, id);
        }
    }

    fn max_open_messages(&self) -> usize {
        (self.settings.max_pending_messages as f64 * SHED_ABOVE_RATIO) as usize
    }

    /// Returns the message of least value that is not in flight, with its value; of several the youngest.
    fn least_valuable(&self, now: Time) -> Option<(f64, &Message)> {
        let is_protected = |m: &Message| m.was_restored_in_time && m.attempts == 0;
        let waiting =
            self.messages.values().filter(|m| !m.is_completed && m.call.is_none() && !is_protected(m));
        waiting
            .map(|m| (self.current_value(now, m), m))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.accepted.id.cmp(&a.1.accepted.id)))
    }

    fn complete_message(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|m| !m.is_completed) {
            message.is_completed = true;
            self.open_messages -= 1;
            self.deadlines.remove(&(message.accepted.deadline, id));
            remove_from(&mut self.queues, message.accepted.destination, id);
        }
        self.delete_if_settled(id);
    }

    /// Deletes a message that has its final outcome, awaits no acknowledgement of it and has no attempt in
    /// flight. Until then it keeps its ordering key.
    fn delete_if_settled(&mut self, id: MessageId) {
        if self
            .messages
            .get(&id)
            .is_none_or(|m| !m.is_completed || m.awaits_acknowledgement || m.call.is_some())
        {
            return;
        }
        if let Some(key) = self.messages.remove(&id).and_then(|m| m.accepted.key) {
            remove_from(&mut self.ordering_keys, key, id);
        }
    }

    // ---- Settings and timers ----

    fn route_of(&self, entry: &Endpoint) -> RouteId {
        let has_own_limits = self
            .settings
            .destination_kinds
            .get(usize::from(entry.kind.0))
            .is_some_and(|kind| kind.has_per_endpoint_limits);
        RouteId(entry.destination, has_own_limits.then_some(entry.id))
    }

    fn assumed_limit_per_sec(&self, entry: &Endpoint) -> f64 {
        self.listed_limit_per_sec(entry).unwrap_or(self.settings.max_in_flight_calls as f64)
    }

    /// Returns the limit that the endpoint list has for an endpoint, in calls per second over all gateways;
    /// None if it has none.
    fn listed_limit_per_sec(&self, entry: &Endpoint) -> Option<f64> {
        let is_listed = self.settings.capacity_hints != CapacityHints::Ignored && entry.capacity_hint > 0.0;
        is_listed
            .then(|| entry.capacity_hint.clamp(LISTED_LIMIT_BOUNDS_PER_SEC.0, LISTED_LIMIT_BOUNDS_PER_SEC.1))
    }

    fn free_slots(&self) -> usize {
        self.settings.max_in_flight_calls.saturating_sub(self.calls.len())
    }

    /// Requests a timer for the earliest time at which something can be done without an event. Only one timer
    /// is set at a time.
    fn set_timer(&mut self, now: Time, next: Option<Time>) {
        let next_deadline = self.deadlines.first().map(|(at, _)| *at);
        let Some(at) = [next, next_deadline].into_iter().flatten().min() else { return };
        if self.timer.is_none_or(|(set_at, _)| at < set_at || set_at <= now) {
            self.last_timer_token += 1;
            self.timer = Some((at, self.last_timer_token));
            self.actions.push(Action::SetTimer { after: at - now, token: self.last_timer_token });
        }
    }
}

/// Returns the ids that the routes of a destination can have.
fn routes_of(destination: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    RouteId(destination, None)..=RouteId(destination, Some(EndpointId(u32::MAX)))
}

impl Route {
    /// Returns whether this gateway has too few messages for the route to estimate a rate
    /// ([`LOW_TRAFFIC_MESSAGES`]).
    fn has_low_traffic(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand.per_sec(now, warm_up_secs(settings), 0.0) * warm_up_secs(settings) < LOW_TRAFFIC_MESSAGES
    }

    /// Returns the ratio of recent calls that may have run without success.
    fn loss_ratio(&mut self, now: Time, settings: &Settings) -> f64 {
        let span_secs = settings.limits.overload_window.as_secs_f64() * LOSS_SPAN_IN_OVERLOAD_WINDOWS;
        let (delivered, lost) = (
            self.delivered.per_sec(now, span_secs, 0.0) * span_secs,
            self.lost.per_sec(now, span_secs, 0.0) * span_secs,
        );
        lost / (lost + delivered + LOSS_PRIOR_CALLS)
    }

    /// Returns this gateway's share of the calls that a recovering destination may get, in calls per second;
    /// `warm_up_progress` runs from 0 to 1 over a slow start. The share follows the calls that this gateway had
    /// served before, and is at least an even share. The calls that all gateways had served add up to the
    /// capacity of the destination, whatever the number of waiting messages; their demand does not, and was
    /// thirty times the limit in one case (h1c8921). The budget is the maximum rate during a slow start and the
    /// minimum rate after a cut, and it delays half-open probes.
    fn overload_budget_per_sec(&mut self, now: Time, settings: &Settings, warm_up_progress: f64) -> f64 {
        let demand_per_sec = self.demand.per_sec(now, warm_up_secs(settings), 0.0);
        let min_per_sec =
            if self.has_low_traffic(now, settings) { shortest_deadline_secs(settings).recip() } else { 0.0 };
        let expected_per_sec =
            demand_per_sec.clamp(self.baseline_per_sec, self.baseline_per_sec * MAX_DEMAND_BASELINE_MULTIPLE);
        let share_per_sec = expected_per_sec.max(self.limit_per_sec / fleet_size(settings));
        let capacity_ratio = settings.limits.cold_capacity_ratio
            + (1.0 - settings.limits.cold_capacity_ratio) * warm_up_progress;
        (share_per_sec * capacity_ratio * settings.limits.overload_multiple * USED_BUDGET_RATIO)
            .max(min_per_sec)
    }

    /// Schedules the next half-open probe if the circuit is open: after a growing delay with jitter, and within
    /// this gateway's share of the overload budget, as rejected probes alone can use up a small limit (issue
    /// i2aa64d).
    fn schedule_probe(&mut self, now: Time, settings: &Settings, random_fraction: f64) {
        let budget_delay =
            Duration::from_secs_f64(self.overload_budget_per_sec(now, settings, 0.0).max(0.001).recip());
        let Some(open) = &mut self.open_circuit else { return };
        let (window, (base_ratio, max_ratio)) = (settings.limits.overload_window, PROBE_DELAY_WINDOW_RATIOS);
        let delay = exponential_backoff(window, base_ratio, open.probes_sent).min(window.mul_f64(max_ratio));
        let jitter = MIN_JITTER_RATIO + random_fraction * (1.0 - MIN_JITTER_RATIO);
        // The delay starts after a Retry-After, so that gateways that wait for the same one do not call together.
        open.next_probe_at = now.max(self.retry_after_until) + delay.max(budget_delay).mul_f64(jitter);
    }
}

/// Returns the number of gateways that share the destinations, at least one. An even share of a common limit
/// is the limit divided by this.
fn fleet_size(settings: &Settings) -> f64 {
    f64::from(settings.fleet_size.max(1))
}

/// Returns until when a message with an idempotency key may be resent if its first uncertain attempt was sent
/// at `first_sent_at`.
fn window_end(class: &Class, first_sent_at: Time) -> Time {
    first_sent_at + class.idempotency_window.mul_f64(1.0 - WINDOW_MARGIN_RATIO)
}

fn keep_earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}

/// Returns `base_ratio` times `unit`, doubled with each attempt, 16 times at most.
fn exponential_backoff(unit: Duration, base_ratio: f64, attempts: u32) -> Duration {
    unit.mul_f64(base_ratio * f64::from(attempts.min(16)).exp2())
}

/// Returns the shortest latency objective of any class, in seconds; at least one millisecond.
fn shortest_objective_secs(settings: &Settings) -> f64 {
    let shortest = settings.classes.iter().map(|class| class.latency_objective).min();
    shortest.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// Returns the shortest deadline of any class, in seconds; at least one second.
fn shortest_deadline_secs(settings: &Settings) -> f64 {
    let shortest = settings.classes.iter().map(|class| class.deadline).min();
    shortest.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(1.0)
}

/// Returns the length of a slow start, in seconds; at least one second.
fn warm_up_secs(settings: &Settings) -> f64 {
    settings.limits.warm_up.as_secs_f64().max(1.0)
}
