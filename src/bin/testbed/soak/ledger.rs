//! The ledger of a soak: everything that was seen of each message, and which rules of the protocol that broke. It learns
//! from clients, endpoints and discovery alone, and decides nothing of what happens.

use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A final outcome is in time so long after a message's deadline, ...
const OUTCOME_GRACE: Duration = Duration::from_millis(300);
/// ... and so long after its gateway is ready again.
const RESTART_GRACE: Duration = Duration::from_millis(1500);
/// Calls that arrive so soon after a Retry-After, or after a final outcome, were already on their way.
const ARRIVAL_GRACE: Duration = Duration::from_millis(100);
/// A change of the endpoint list counts as announced so long after discovery had it and could be reached, ...
const ANNOUNCED: Duration = Duration::from_secs(6);
/// ... and calls stop so long after that.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// A restarted gateway is ready within this time.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// How late this machine's threads may see things, as many processes share it.
const NOISE: Duration = Duration::from_millis(700);
/// Broken rules that are reported in full.
const MAX_REPORTED: usize = 20;

/// What sending a message a second time does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It takes effect once more.
    NonIdempotent,
    /// Nothing, for so long after the first attempt that may have run.
    IdempotentWithKey(Duration),
}

/// What an endpoint did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is in flight.
    InFlight,
    /// Rejected it.
    NeverRan,
    /// It may have run; the gateway cannot know.
    MayHaveRun,
    /// Served it, and said so.
    Delivered,
}

struct Attempt {
    begun_at: Instant,
    fate: Fate,
    /// The endpoint's side of the connection, until its response.
    connection: Option<TcpStream>,
}

impl Attempt {
    /// Whether the gateway still waits for it: its connection is open and it was not answered.
    fn is_in_flight(&self) -> bool {
        self.fate == Fate::InFlight && self.connection.as_ref().is_some_and(is_open)
    }
}

/// Whether the other side has neither ended its sending nor broken the connection.
pub fn is_open(connection: &TcpStream) -> bool {
    let _ = connection.set_nonblocking(true);
    let peeked = connection.peek(&mut [0]);
    let _ = connection.set_nonblocking(false);
    match peeked {
        Ok(count) => count > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

/// The reply that a client has had.
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
    /// Which of the message's own rules an attempt breaks that arrives now; each completes "it was sent ...".
    fn rules_broken_by_attempt(&self, now: Instant, max_attempts: usize) -> Vec<String> {
        let mut broken = Vec::new();
        if self.attempts.iter().any(Attempt::is_in_flight) {
            broken.push("while another attempt was in flight".to_owned());
        }
        let first_run = self.attempts.iter().find(|attempt| attempt.fate != Fate::NeverRan);
        match (self.idempotency, first_run.map(|attempt| attempt.begun_at)) {
            (Idempotency::NonIdempotent, Some(_)) => broken.push("though it may have run".to_owned()),
            (Idempotency::IdempotentWithKey(window), Some(first)) if now > first + window + NOISE => {
                broken.push(format!("{:?} after its first attempt", now - first));
            }
            _ => {}
        }
        if self.attempts.len() >= max_attempts {
            broken.push("after its last attempt".to_owned());
        }
        let was_notified = self.notified_at.is_some_and(|at| now > at + ARRIVAL_GRACE);
        if was_notified || self.reply == Reply::Rejected {
            broken.push("after its final outcome".to_owned());
        }
        if now > self.deadline + OUTCOME_GRACE + NOISE {
            broken.push("after its deadline".to_owned());
        }
        broken
    }
}

/// A time in which a gateway's process was stopping, absent or starting.
struct Restart {
    begun_at: Instant,
    ready_at: Option<Instant>,
}

/// A destination, as one gateway knows it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct AtDestination {
    gateway: usize,
    destination: u32,
}

/// An endpoint, as one gateway knows it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct AtEndpoint {
    gateway: usize,
    endpoint: usize,
}

/// A time in which a destination is not to be called.
struct RetryAfter {
    from: Instant,
    until: Instant,
}

/// Everything that was seen, by message and by gateway.
#[derive(Default)]
pub struct Ledger {
    messages: HashMap<String, Message>,
    restarts: HashMap<usize, Vec<Restart>>,
    retry_afters: HashMap<AtDestination, RetryAfter>,
    /// Endpoints that drain, since when discovery has them so.
    draining: HashMap<AtEndpoint, Instant>,
    broken: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
}

impl Ledger {
    /// Counts an event for the report.
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Notes a rule that was broken.
    pub fn breach(&mut self, what: String) {
        self.broken.push(what);
    }

    /// The rules that were broken so far.
    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    // ---- Clients ----

    /// A client is about to send a message, for the first time or once more.
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

    /// The client has had a reply.
    pub fn replied(&mut self, id: &str, line: &str) {
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

    /// Whether a gateway's process was stopping, absent or starting at some time since.
    pub fn was_restarting(&self, gateway: usize, since: Instant) -> bool {
        let mut restarts = self.restarts.get(&gateway).into_iter().flatten();
        restarts.any(|restart| restart.ready_at.is_none_or(|ready_at| ready_at + NOISE > since))
    }

    // ---- Endpoints ----

    /// An attempt has arrived at an endpoint; whether it keeps the rules is checked.
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
            return self.breach(format!("{id} was sent, and nobody enqueued it"));
        };
        let mut broken = message.rules_broken_by_attempt(now, max_attempts);
        let gateway = message.gateway;
        message.attempts.push(Attempt { begun_at: now, fate: Fate::InFlight, connection: Some(connection) });
        if let Some(since) = self.draining.get(&AtEndpoint { gateway, endpoint }) {
            if now > *since + ANNOUNCED + DRAIN_GRACE + NOISE {
                broken.push(format!("to endpoint {endpoint}, {:?} after it was to drain", now - *since));
            }
        }
        if let Some(RetryAfter { from, until }) =
            self.retry_afters.get(&AtDestination { gateway, destination })
        {
            if now > *from + ARRIVAL_GRACE + NOISE / 7 && now < *until {
                broken.push(format!("{:?} before the end of a Retry-After", *until - now));
            }
        }
        for rule in broken {
            self.breach(format!("{id} was sent {rule}"));
        }
    }

    /// The endpoint is about to end the message's last attempt.
    pub fn attempt_ended(&mut self, id: &str, fate: Fate) {
        if let Some(message) = self.messages.get_mut(id) {
            if let Some(attempt) = message.attempts.last_mut() {
                attempt.fate = fate;
                attempt.connection = None;
            }
            if fate == Fate::Delivered && message.delivered_at.is_none() {
                message.delivered_at = Some(Instant::now());
            }
        }
    }

    /// An endpoint has rejected an attempt with a Retry-After, which binds its destination. A new process does not know
    /// of it.
    pub fn retry_after(&mut self, id: &str, destination: u32, delay: Duration) {
        if let Some(message) = self.messages.get(id) {
            let now = Instant::now();
            let at = AtDestination { gateway: message.gateway, destination };
            let bound = self.retry_afters.entry(at).or_insert(RetryAfter { from: now, until: now });
            if now + delay > bound.until {
                *bound = RetryAfter { from: now, until: now + delay };
            }
        }
    }

    // ---- Discovery ----

    /// Discovery's agent was notified of a message's final outcome.
    pub fn notified(&mut self, id: &str) {
        self.count("notifications");
        let Some(message) = self.messages.get_mut(id) else {
            return self.breach(format!("a notification named {id}, which nobody enqueued"));
        };
        message.notified_at.get_or_insert_with(Instant::now);
    }

    /// Discovery has an endpoint as draining from now on.
    pub fn endpoint_drains(&mut self, gateway: usize, endpoint: usize) {
        self.draining.insert(AtEndpoint { gateway, endpoint }, Instant::now());
    }

    /// Discovery has an endpoint as serving from now on.
    pub fn endpoint_serves(&mut self, gateway: usize, endpoint: usize) {
        self.draining.remove(&AtEndpoint { gateway, endpoint });
    }

    /// A gateway can reach discovery again: what discovery has counts from now.
    pub fn discovery_returned(&mut self, gateway: usize) {
        let now = Instant::now();
        let own = self.draining.iter_mut().filter(|(at, _)| at.gateway == gateway);
        own.for_each(|(_, since)| *since = now);
    }

    // ---- Processes ----

    /// A gateway's process is told to end, or killed.
    pub fn gateway_stops(&mut self, gateway: usize) {
        self.restarts.entry(gateway).or_default().push(Restart { begun_at: Instant::now(), ready_at: None });
    }

    /// Its next process, started at some time, has answered.
    pub fn gateway_ready(&mut self, gateway: usize, started_at: Instant) {
        let now = Instant::now();
        if let Some(restart) = self.restarts.entry(gateway).or_default().last_mut() {
            restart.ready_at = Some(now);
        }
        self.retry_afters.retain(|at, _| at.gateway != gateway);
        self.count("starts");
        if now > started_at + READY_LIMIT {
            self.breach(format!("gateway {gateway} was ready only after {:?}", now - started_at));
        }
    }

    // ---- The end ----

    /// When a message's final outcome is due, restarts included.
    fn due(&self, message: &Message) -> Instant {
        let mut due = message.deadline + OUTCOME_GRACE;
        for restart in self.restarts.get(&message.gateway).into_iter().flatten() {
            if let Some(ready_at) = restart.ready_at.filter(|_| restart.begun_at <= due) {
                due = due.max(ready_at + RESTART_GRACE);
            }
        }
        due + NOISE
    }

    /// Checks that each accepted message has had its final outcome, and in time.
    pub fn close(&mut self) {
        let mut broken = Vec::new();
        let mut delivered = 0;
        for (id, message) in &self.messages {
            delivered += u64::from(message.delivered_at.is_some());
            if message.reply != Reply::Accepted {
                continue;
            }
            let due = self.due(message);
            let outcome_at = [message.delivered_at, message.notified_at].into_iter().flatten().min();
            match outcome_at {
                None => broken.push(format!("{id} was accepted and has no final outcome")),
                Some(at) if at > due => {
                    broken.push(format!("{id} had its final outcome {:?} late", at - due));
                }
                Some(_) => {}
            }
        }
        self.counts.insert("delivered", delivered);
        self.broken.extend(broken);
    }

    /// Counts and broken rules, for people.
    pub fn report(&self) -> String {
        let counts: Vec<String> = self.counts.iter().map(|(what, count)| format!("{what} {count}")).collect();
        let mut text = format!("{}\n", counts.join(", "));
        for line in self.broken.iter().take(MAX_REPORTED) {
            text.push_str(&format!("BROKEN: {line}\n"));
        }
        if self.broken.len() > MAX_REPORTED {
            text.push_str(&format!("BROKEN: {} more\n", self.broken.len() - MAX_REPORTED));
        }
        text
    }
}
