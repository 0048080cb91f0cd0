//! What became of each message of a soak, and which rules that broke. It knows no socket of a courier's but the
//! endpoint's side of an attempt, and decides nothing of what happens.

use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A final outcome still counts so long after a message's time, ...
const FINAL_OUTCOME: Duration = Duration::from_millis(300);
/// ... and so long after its courier is ready again.
const AFTER_RESTART: Duration = Duration::from_millis(1500);
/// Calls that arrive so soon after a wait was told get through.
const WAIT_GRACE: Duration = Duration::from_millis(100);
/// A change of the list counts as told so long after discovery had it and could be reached, ...
const TOLD: Duration = Duration::from_secs(6);
/// ... and sending stops so long after that.
const STOP_SENDING: Duration = Duration::from_secs(2);
/// A restarted courier is ready within this time.
const READY: Duration = Duration::from_secs(10);
/// How late this machine's threads may see things, as many processes share it.
const NOISE: Duration = Duration::from_millis(700);
/// Rules broken that are told in full.
const MOST_TOLD: usize = 20;

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    NonIdempotent,
    /// Dropped for so long after the first attempt that may have run.
    IdempotentWithKey(Duration),
}

/// How an endpoint ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Open,
    NeverRan,
    MayHaveRun,
    Delivered,
}

struct Attempt {
    began: Instant,
    fate: Fate,
    /// The endpoint's side, until its answer.
    connection: Option<TcpStream>,
}

impl Attempt {
    /// Whether the courier still has it out: its connection is open and it was not answered.
    fn is_out(&self) -> bool {
        self.fate == Fate::Open && self.connection.as_ref().is_some_and(is_open)
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

/// What a client was told of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Nothing,
    Accepted,
    Refused,
    Failed,
}

struct Message {
    courier: usize,
    idempotency: Idempotency,
    deadline: Instant,
    told: Told,
    attempts: Vec<Attempt>,
    delivered: Option<Instant>,
    notified: Option<Instant>,
}

/// A time in which a courier's process was ending, away or starting.
struct Absence {
    began: Instant,
    ready: Option<Instant>,
}

/// An endpoint that is not to be called, since when discovery told so.
type Drained = HashMap<(usize, usize), Instant>;

/// Everything that was seen, by message and by courier.
#[derive(Default)]
pub struct Ledger {
    messages: HashMap<String, Message>,
    absences: HashMap<usize, Vec<Absence>>,
    /// Per courier and destination: from when until when a wait binds.
    retry_after_delays: HashMap<(usize, u32), (Instant, Instant)>,
    drained: Drained,
    broken: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
}

impl Ledger {
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Notes a rule that was broken.
    pub fn breach(&mut self, what: String) {
        self.broken.push(what);
    }

    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    // ---- Clients ----

    /// A client is about to send a message, for the first time or once more.
    pub fn handed_in(&mut self, id: &str, courier: usize, idempotency: Idempotency, left: Duration) {
        if let Some(message) = self.messages.get_mut(id) {
            message.deadline = Instant::now() + left;
            return;
        }
        let message = Message {
            courier,
            idempotency,
            deadline: Instant::now() + left,
            told: Told::Nothing,
            attempts: Vec::new(),
            delivered: None,
            notified: None,
        };
        self.messages.insert(id.to_owned(), message);
        self.count("handed in");
    }

    /// The client has had an answer.
    pub fn answered(&mut self, id: &str, line: &str) {
        let told = match line {
            "+OK" => Told::Accepted,
            _ if line.starts_with("-BUSY") => Told::Refused,
            _ => Told::Failed,
        };
        self.count(match told {
            Told::Accepted => "accepted",
            Told::Refused => "refused",
            _ => "failed at the door",
        });
        if let Some(message) = self.messages.get_mut(id) {
            message.told = told;
        }
    }

    /// Whether a courier's process was ending, away or starting at some time since.
    pub fn was_away(&self, courier: usize, since: Instant) -> bool {
        let absences = self.absences.get(&courier).into_iter().flatten();
        let mut late = absences.filter(|away| away.ready.is_none_or(|ready| ready + NOISE > since));
        late.next().is_some()
    }

    // ---- Endpoints ----

    /// An attempt has arrived, and is judged.
    pub fn attempt(
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
            return self.breach(format!("{id} was sent, and nobody handed it in"));
        };
        let mut broken = Vec::new();
        let first_run = message.attempts.iter().find(|a| a.fate != Fate::NeverRan).map(|a| a.began);
        if message.attempts.iter().any(Attempt::is_out) {
            broken.push("while another attempt was out".to_owned());
        }
        match (message.idempotency, first_run) {
            (Idempotency::NonIdempotent, Some(_)) => broken.push("though it may have run".to_owned()),
            (Idempotency::IdempotentWithKey(window), Some(first)) if now > first + window + NOISE => {
                broken.push(format!("{:?} after its first attempt", now - first));
            }
            _ => {}
        }
        if message.attempts.len() >= max_attempts {
            broken.push("after its last attempt".to_owned());
        }
        if message.notified.is_some_and(|at| now > at + WAIT_GRACE) || message.told == Told::Refused {
            broken.push("after its final outcome".to_owned());
        }
        if now > message.deadline + FINAL_OUTCOME + NOISE {
            broken.push("after its time".to_owned());
        }
        let courier = message.courier;
        message.attempts.push(Attempt { began: now, fate: Fate::Open, connection: Some(connection) });
        if let Some(told) = self.drained.get(&(courier, endpoint)) {
            if now > *told + TOLD + STOP_SENDING + NOISE {
                broken.push(format!("to endpoint {endpoint}, {:?} after it was to drain", now - *told));
            }
        }
        if let Some((from, until)) = self.retry_after_delays.get(&(courier, destination)) {
            if now > *from + WAIT_GRACE + NOISE / 7 && now < *until {
                broken.push(format!("{:?} inside a told wait", *until - now));
            }
        }
        for what in broken {
            self.breach(format!("{id} was sent {what}"));
        }
    }

    /// The endpoint is about to end its last attempt.
    pub fn ended(&mut self, id: &str, fate: Fate) {
        if let Some(message) = self.messages.get_mut(id) {
            if let Some(attempt) = message.attempts.last_mut() {
                attempt.fate = fate;
                attempt.connection = None;
            }
            if fate == Fate::Delivered && message.delivered.is_none() {
                message.delivered = Some(Instant::now());
            }
        }
    }

    /// An endpoint has told a courier to keep its destination waiting. A new process starts without it.
    pub fn told_to_wait(&mut self, id: &str, destination: u32, wait: Duration) {
        if let Some(message) = self.messages.get(id) {
            let now = Instant::now();
            let bound = self.retry_after_delays.entry((message.courier, destination)).or_insert((now, now));
            if now + wait > bound.1 {
                *bound = (now, now + wait);
            }
        }
    }

    // ---- Discovery ----

    /// A courier was notified of a final outcome by its platform's side.
    pub fn notified(&mut self, id: &str) {
        self.count("notices");
        let Some(message) = self.messages.get_mut(id) else {
            return self.breach(format!("a notice told of {id}, which nobody handed in"));
        };
        message.notified.get_or_insert_with(Instant::now);
    }

    pub fn drained(&mut self, courier: usize, endpoint: usize) {
        self.drained.insert((courier, endpoint), Instant::now());
    }

    pub fn serving(&mut self, courier: usize, endpoint: usize) {
        self.drained.remove(&(courier, endpoint));
    }

    /// Discovery can be reached again: what it has counts from now.
    pub fn discovery_returned(&mut self, courier: usize) {
        let now = Instant::now();
        self.drained.iter_mut().filter(|((of, _), _)| *of == courier).for_each(|(_, told)| *told = now);
    }

    // ---- Processes ----

    /// A courier's process is told to end, or killed.
    pub fn leaves(&mut self, courier: usize) {
        self.absences.entry(courier).or_default().push(Absence { began: Instant::now(), ready: None });
    }

    /// Its next process has answered.
    pub fn is_ready(&mut self, courier: usize, started: Instant) {
        let now = Instant::now();
        if let Some(away) = self.absences.entry(courier).or_default().last_mut() {
            away.ready = Some(now);
        }
        self.retry_after_delays.retain(|(of, _), _| *of != courier);
        self.count("starts");
        if now > started + READY {
            self.breach(format!("courier {courier} was ready only after {:?}", now - started));
        }
    }

    // ---- The verdict ----

    /// When a message's final outcome is due, restarts included.
    fn due(&self, message: &Message) -> Instant {
        let mut due = message.deadline + FINAL_OUTCOME;
        for away in self.absences.get(&message.courier).into_iter().flatten() {
            if let Some(ready) = away.ready.filter(|_| away.began <= due) {
                due = due.max(ready + AFTER_RESTART);
            }
        }
        due + NOISE
    }

    /// Looks for accepted messages that have no end, or had it late.
    pub fn close(&mut self) {
        let mut broken = Vec::new();
        let mut delivered = 0;
        for (id, message) in &self.messages {
            delivered += u64::from(message.delivered.is_some());
            if message.told != Told::Accepted {
                continue;
            }
            let due = self.due(message);
            let end = [message.delivered, message.notified].into_iter().flatten().min();
            match end {
                None => broken.push(format!("{id} was accepted and has no end")),
                Some(end) if end > due => broken.push(format!("{id} had its end {:?} late", end - due)),
                Some(_) => {}
            }
        }
        self.counts.insert("delivered", delivered);
        self.broken.extend(broken);
    }

    /// Figures and broken rules, for people.
    pub fn report(&self) -> String {
        let counts: Vec<String> = self.counts.iter().map(|(what, count)| format!("{what} {count}")).collect();
        let mut text = format!("{}\n", counts.join(", "));
        for line in self.broken.iter().take(MOST_TOLD) {
            text.push_str(&format!("BROKEN: {line}\n"));
        }
        if self.broken.len() > MOST_TOLD {
            text.push_str(&format!("BROKEN: {} more\n", self.broken.len() - MOST_TOLD));
        }
        text
    }
}
