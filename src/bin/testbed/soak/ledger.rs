//! The ledger of a soak: records all events of each message, and checks them against the rules of the protocol.
//! Clients, endpoints and discovery report the events, and so does the code that starts and stops the gateways'
//! processes; no event is taken from a gateway's log. Violations that are found elsewhere, also in a gateway's log, are
//! recorded here, too. The ledger does not influence the course of the soak.

use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The maximum time from a message's deadline to its final outcome.
const OUTCOME_GRACE: Duration = Duration::from_millis(300);
/// The maximum time from when a restarted gateway is ready to a final outcome that was not yet due when the restart
/// began.
const RESTART_GRACE: Duration = Duration::from_millis(1500);
/// Calls that arrive within this time after a Retry-After or a final outcome were already on their way.
const ARRIVAL_GRACE: Duration = Duration::from_millis(100);
/// The maximum time until a gateway has a change of the endpoint list, from when discovery has the change and can be
/// reached.
const ANNOUNCE_TIME: Duration = Duration::from_secs(6);
/// The maximum time after [`ANNOUNCE_TIME`] until calls to a draining endpoint stop.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// The maximum time from the start of a process until it is ready.
const MAX_READY_TIME: Duration = Duration::from_secs(10);
/// The maximum delay with which a thread observes an event, because many processes share the machine.
const SCHEDULING_DELAY: Duration = Duration::from_millis(700);
/// The number of violations that are reported in full.
const MAX_REPORTED_VIOLATIONS: usize = 20;

/// Whether a message may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second attempt would take effect again.
    NonIdempotent,
    /// A second attempt has no effect within this window after the first attempt that may have run.
    IdempotentWithKey(Duration),
}

/// The state of an attempt at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    InFlight,
    /// The endpoint rejected the attempt.
    NeverRan,
    /// The gateway cannot determine whether the attempt has run.
    MayHaveRun,
    /// The endpoint has served the attempt and responds with success.
    Delivered,
}

struct Attempt {
    begun_at: Instant,
    state: AttemptState,
    /// The endpoint's side of the connection; `None` once the attempt has ended.
    connection: Option<TcpStream>,
}

impl Attempt {
    /// Returns whether the gateway still waits for the attempt: it was not answered and its connection is open.
    fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight && self.connection.as_ref().is_some_and(is_open)
    }
}

/// Returns whether the peer has neither shut down its sending side nor broken the connection.
pub fn is_open(connection: &TcpStream) -> bool {
    let _ = connection.set_nonblocking(true);
    let peeked = connection.peek(&mut [0]);
    let _ = connection.set_nonblocking(false);
    match peeked {
        Ok(count) => count > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

/// The reply that a client has received for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    None,
    Accepted,
    Rejected,
    Failed,
}

struct Message {
    gateway: usize,
    idempotency: Idempotency,
    deadline: Instant,
    reply: Reply,
    attempts: Vec<Attempt>,
    delivered_at: Option<Instant>,
    notified_at: Option<Instant>,
}

impl Message {
    /// Returns the rules of this message that are broken by an attempt arriving at `now`. Each text completes the
    /// sentence "it was sent ...".
    fn rules_broken_by_attempt(&self, now: Instant, max_attempts: usize) -> Vec<String> {
        let mut broken = Vec::new();
        if self.attempts.iter().any(Attempt::is_in_flight) {
            broken.push("while another attempt was in flight".to_owned());
        }
        let first_uncertain = self.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan);
        match (self.idempotency, first_uncertain.map(|attempt| attempt.begun_at)) {
            (Idempotency::NonIdempotent, Some(_)) => broken.push("although it may have run".to_owned()),
            (Idempotency::IdempotentWithKey(window), Some(first))
                if now > first + window + SCHEDULING_DELAY =>
            {
                broken.push(format!("{:?} after its first attempt that may have run", now - first));
            }
            _ => {}
        }
        if self.attempts.len() >= max_attempts {
            broken.push("after its last allowed attempt".to_owned());
        }
        let was_notified = self.notified_at.is_some_and(|at| now > at + ARRIVAL_GRACE);
        if was_notified || self.reply == Reply::Rejected {
            broken.push("after its final outcome".to_owned());
        }
        if now > self.deadline + OUTCOME_GRACE + SCHEDULING_DELAY {
            broken.push("after its deadline".to_owned());
        }
        broken
    }
}

/// A period during which a gateway's process was stopping, absent or starting.
struct Restart {
    begun_at: Instant,
    /// `None` while the restart is in progress.
    ready_at: Option<Instant>,
}

/// A destination together with the gateway that sends to it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct GatewayDestination {
    gateway: usize,
    destination: u32,
}

/// An endpoint together with the gateway that calls it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct GatewayEndpoint {
    gateway: usize,
    endpoint: usize,
}

/// A period during which a destination must not be called.
struct RetryAfter {
    from: Instant,
    until: Instant,
}

/// All recorded events, by message and by gateway, and the violations found.
#[derive(Default)]
pub struct Ledger {
    messages: HashMap<String, Message>,
    restarts: HashMap<usize, Vec<Restart>>,
    retry_afters: HashMap<GatewayDestination, RetryAfter>,
    /// The time from which discovery had each draining endpoint as draining and could be reached by the gateway.
    draining: HashMap<GatewayEndpoint, Instant>,
    violations: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
}

impl Ledger {
    /// Counts an event for the report.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Records a violation of a rule, as a line for the report.
    pub fn record_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Returns the violations recorded so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    // ---- Clients ----

    /// Records that a client is about to send a message, for the first time or again.
    pub fn message_enqueued(
        &mut self,
        id: &str,
        gateway: usize,
        idempotency: Idempotency,
        time_left: Duration,
    ) {
        if let Some(message) = self.messages.get_mut(id) {
            message.deadline = Instant::now() + time_left;
            return;
        }
        let message = Message {
            gateway,
            idempotency,
            deadline: Instant::now() + time_left,
            reply: Reply::None,
            attempts: Vec::new(),
            delivered_at: None,
            notified_at: None,
        };
        self.messages.insert(id.to_owned(), message);
        self.count("enqueued");
    }

    /// Records the reply that a client has received.
    pub fn reply_received(&mut self, id: &str, line: &str) {
        let reply = match line {
            "+OK" => Reply::Accepted,
            _ if line.starts_with("-BUSY") => Reply::Rejected,
            _ => Reply::Failed,
        };
        self.count(match reply {
            Reply::Accepted => "accepted",
            Reply::Rejected => "rejected",
            _ => "failed at admission",
        });
        if let Some(message) = self.messages.get_mut(id) {
            message.reply = reply;
        }
    }

    /// Returns whether a gateway's process was stopping, absent or starting at any time since `since`, or in the
    /// [`SCHEDULING_DELAY`] before it.
    pub fn was_restarting(&self, gateway: usize, since: Instant) -> bool {
        let mut restarts = self.restarts.get(&gateway).into_iter().flatten();
        restarts.any(|restart| restart.ready_at.is_none_or(|ready_at| ready_at + SCHEDULING_DELAY > since))
    }

    // ---- Endpoints ----

    /// Records that an attempt has arrived at an endpoint, and checks it against the rules.
    pub fn attempt_arrived(
        &mut self,
        id: &str,
        endpoint: usize,
        destination: u32,
        max_attempts: usize,
        connection: TcpStream,
    ) {
        let now = Instant::now();
        self.count("attempts");
        let Some(message) = self.messages.get_mut(id) else {
            return self.record_violation(format!("{id} was sent, but no client enqueued it"));
        };
        let mut broken = message.rules_broken_by_attempt(now, max_attempts);
        let gateway = message.gateway;
        message.attempts.push(Attempt {
            begun_at: now,
            state: AttemptState::InFlight,
            connection: Some(connection),
        });
        if let Some(since) = self.draining.get(&GatewayEndpoint { gateway, endpoint }) {
            if now > *since + ANNOUNCE_TIME + DRAIN_GRACE + SCHEDULING_DELAY {
                broken.push(format!(
                    "to endpoint {endpoint}, {:?} after discovery could announce it as draining",
                    now - *since
                ));
            }
        }
        if let Some(RetryAfter { from, until }) =
            self.retry_afters.get(&GatewayDestination { gateway, destination })
        {
            if now > *from + ARRIVAL_GRACE + SCHEDULING_DELAY / 7 && now < *until {
                broken.push(format!("{:?} before the end of a Retry-After", *until - now));
            }
        }
        for rule in broken {
            self.record_violation(format!("{id} was sent {rule}"));
        }
    }

    /// Records how a message's last attempt ended. Has to be called before the gateway can observe the response.
    pub fn attempt_ended(&mut self, id: &str, state: AttemptState) {
        if let Some(message) = self.messages.get_mut(id) {
            if let Some(attempt) = message.attempts.last_mut() {
                attempt.state = state;
                attempt.connection = None;
            }
            if state == AttemptState::Delivered && message.delivered_at.is_none() {
                message.delivered_at = Some(Instant::now());
            }
        }
    }

    /// Records a Retry-After, which applies to the whole destination of the endpoint that sent it. It is dropped when
    /// the gateway restarts, because a new process does not have it.
    pub fn retry_after_sent(&mut self, id: &str, destination: u32, delay: Duration) {
        if let Some(message) = self.messages.get(id) {
            let now = Instant::now();
            let at = GatewayDestination { gateway: message.gateway, destination };
            let current = self.retry_afters.entry(at).or_insert(RetryAfter { from: now, until: now });
            if now + delay > current.until {
                *current = RetryAfter { from: now, until: now + delay };
            }
        }
    }

    // ---- Discovery ----

    /// Records that discovery's agent was notified of a message's final outcome.
    pub fn notification_received(&mut self, id: &str) {
        self.count("notifications");
        let Some(message) = self.messages.get_mut(id) else {
            return self.record_violation(format!("a notification named {id}, which no client enqueued"));
        };
        message.notified_at.get_or_insert_with(Instant::now);
    }

    /// Records that discovery has an endpoint as draining from now on.
    pub fn endpoint_drains(&mut self, gateway: usize, endpoint: usize) {
        self.draining.insert(GatewayEndpoint { gateway, endpoint }, Instant::now());
    }

    /// Records that discovery has an endpoint as serving from now on.
    pub fn endpoint_serves(&mut self, gateway: usize, endpoint: usize) {
        self.draining.remove(&GatewayEndpoint { gateway, endpoint });
    }

    /// Records that a gateway can reach discovery again. The gateway's time to apply pending changes begins now.
    pub fn discovery_reachable_again(&mut self, gateway: usize) {
        let now = Instant::now();
        let own = self.draining.iter_mut().filter(|(at, _)| at.gateway == gateway);
        own.for_each(|(_, since)| *since = now);
    }

    // ---- Processes ----

    /// Records that a gateway's process is about to be terminated or killed.
    pub fn gateway_stops(&mut self, gateway: usize) {
        self.restarts.entry(gateway).or_default().push(Restart { begun_at: Instant::now(), ready_at: None });
    }

    /// Records that the process started at `started_at` has replied to PING, and checks how long that took.
    pub fn gateway_ready(&mut self, gateway: usize, started_at: Instant) {
        let now = Instant::now();
        if let Some(restart) = self.restarts.entry(gateway).or_default().last_mut() {
            restart.ready_at = Some(now);
        }
        self.retry_afters.retain(|at, _| at.gateway != gateway);
        self.count("starts");
        if now > started_at + MAX_READY_TIME {
            self.record_violation(format!("gateway {gateway} was ready only after {:?}", now - started_at));
        }
    }

    // ---- The end ----

    /// Returns when a message's final outcome is due, with the time that restarts add.
    fn outcome_due_at(&self, message: &Message) -> Instant {
        let mut outcome_due_at = message.deadline + OUTCOME_GRACE;
        for restart in self.restarts.get(&message.gateway).into_iter().flatten() {
            if let Some(ready_at) = restart.ready_at.filter(|_| restart.begun_at <= outcome_due_at) {
                outcome_due_at = outcome_due_at.max(ready_at + RESTART_GRACE);
            }
        }
        outcome_due_at + SCHEDULING_DELAY
    }

    /// Checks that each accepted message had its final outcome in time, and counts the delivered messages.
    pub fn check_final_outcomes(&mut self) {
        let mut broken = Vec::new();
        let mut delivered = 0;
        for (id, message) in &self.messages {
            delivered += u64::from(message.delivered_at.is_some());
            if message.reply != Reply::Accepted {
                continue;
            }
            let outcome_due_at = self.outcome_due_at(message);
            let outcome_at = [message.delivered_at, message.notified_at].into_iter().flatten().min();
            match outcome_at {
                None => broken.push(format!("{id} was accepted and has no final outcome")),
                Some(at) if at > outcome_due_at => {
                    broken.push(format!("{id} had its final outcome {:?} late", at - outcome_due_at));
                }
                Some(_) => {}
            }
        }
        self.counts.insert("delivered", delivered);
        self.violations.extend(broken);
    }

    /// Returns the counts and the violations as text.
    pub fn report(&self) -> String {
        let counts: Vec<String> = self.counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
        let mut text = format!("{}\n", counts.join(", "));
        for line in self.violations.iter().take(MAX_REPORTED_VIOLATIONS) {
            text.push_str(&format!("BROKEN: {line}\n"));
        }
        if self.violations.len() > MAX_REPORTED_VIOLATIONS {
            text.push_str(&format!("BROKEN: {} more\n", self.violations.len() - MAX_REPORTED_VIOLATIONS));
        }
        text
    }
}
