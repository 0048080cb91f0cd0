//! Connections to endpoints: one call each at a time, and how it ended.

pub mod connection;

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use delivery_gateway::socket;
use delivery_gateway::{AttemptOutcome, EndpointId, LoadReport, MessageId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tracing::info;

use crate::events::{AttemptResult, CallResult, StopReason};
use crate::http_client::connection::{Descriptor, Wire, WireStream};
use crate::rate_limited_log::RateLimitedLog;

/// Idle connections are closed after this part of the endpoint's own limit, so that no call meets its closing.
const IDLE_PART: f64 = 0.7;
/// How long a connection rests before it is used again, so that bytes right behind an answer are seen before they
/// could be taken for the next one. A new connection would take longer.
const REST: Duration = Duration::from_millis(5);
/// How long a given-up connection may take to be closed by the other side before it is dropped.
const LINGER: Duration = Duration::from_millis(40);
/// The body of an answer means nothing; a longer one, or a longer wait for its end, is not worth the connection.
const LONGEST_BODY: u64 = 64 << 10;
/// Of a message among several: the names, quotes and commas around its id, key and body.
const BATCHED_REST: usize = 40;
const DRAIN: Duration = Duration::from_millis(500);
/// Longest head of an answer.
const LONGEST_HEAD: usize = 16 << 10;
/// From the first byte of an answer to the end of its head: one that takes longer is broken.
const HEAD: Duration = Duration::from_millis(250);
/// What is reported of a limit beyond these figures is no report.
const MOST_LEFT: f64 = 2.0;
const MOST_LIMIT: f64 = 1e6;
/// A longer wait than this is no wait that anybody can mean.
const LONGEST_WAIT: Duration = Duration::from_secs(600);

/// A message on its way.
#[derive(Clone)]
pub struct OutgoingMessage {
    pub message: MessageId,
    /// Its first byte leaves before this, or it is not sent.
    pub leave_by: Instant,
    /// Its time is over then: no answer delivers it any more.
    pub over: Instant,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

impl OutgoingMessage {
    /// What it adds to the body of a call for several, at most.
    pub fn batched_size(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        self.body.len().div_ceil(3) * 4 + self.id.len() + key + BATCHED_REST
    }
}

/// What a call carries: one message, or several for an endpoint that takes them together.
pub struct Call {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub loads: Vec<OutgoingMessage>,
    pub attempt_timeout: Duration,
}

type Sender = SendRequest<Full<Bytes>>;

/// An open connection. Dropping it closes it.
struct Connection {
    address: SocketAddr,
    sender: Sender,
    wire: Rc<Wire>,
    quit: oneshot::Sender<oneshot::Sender<()>>,
    idle_since: Instant,
    /// When its last call began.
    called: Instant,
}

impl Connection {
    /// Gives up the call that is out: ends the sending side and waits, for a moment, until the endpoint has
    /// closed too. Only then has it let go of the call, so that the slot is free and a next attempt is no
    /// second copy.
    async fn give_up(self) {
        let (done, closed) = oneshot::channel();
        if self.quit.send(done).is_ok() {
            let _ = closed.await;
        }
    }
}

/// Connections used since the last look, for the log.
#[derive(Debug, Default)]
pub struct Used {
    pub opened: u32,
    pub kept: u32,
    /// Calls reset on new connections and on kept ones.
    pub reset: (u32, u32),
}

/// The connections to endpoints. Those that are idle are kept by endpoint, the newest last: an address may belong
/// to another endpoint by now, which must not be given what is left of the one before.
pub struct Pool {
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    /// When idle connections were closed last: one that was still at the end of its call then closes too.
    shut: RefCell<HashMap<EndpointId, Instant>>,
    /// Descriptors in use: idle, with a call, ending an answer, or being given up.
    open: Rc<Cell<usize>>,
    closed: Rc<Notify>,
    connect_timeout: Duration,
    keep: Duration,
    most: usize,
    /// None while another process makes the calls.
    most_idle: Cell<usize>,
    used: RefCell<Used>,
    resets: RefCell<RateLimitedLog>,
    too_late: RefCell<RateLimitedLog>,
}

impl Pool {
    /// At most `most` connections are open at a time, and `most_idle` of them idle.
    pub fn new(
        connect_timeout: Duration,
        connection_idle_timeout: Duration,
        most: usize,
        most_idle: usize,
    ) -> Self {
        Pool {
            idle: RefCell::default(),
            shut: RefCell::default(),
            open: Rc::default(),
            closed: Rc::default(),
            connect_timeout,
            keep: connection_idle_timeout.mul_f64(IDLE_PART),
            most,
            most_idle: Cell::new(most_idle),
            used: RefCell::default(),
            resets: RefCell::default(),
            too_late: RefCell::default(),
        }
    }

    pub fn take_counters(&self) -> Used {
        self.used.take()
    }

    /// Notes a call that was reset: on a connection that had been idle for so long, or on a new one.
    fn note_reset(&self, call: &Call, idle: Option<Duration>, latency: Duration) {
        let mut used = self.used.borrow_mut();
        match idle {
            Some(_) => used.reset.1 += 1,
            None => used.reset.0 += 1,
        }
        if let Some(more) = self.resets.borrow_mut().due() {
            info!(endpoint = call.endpoint.0, ?idle, ?latency, more, "a call was reset");
        }
    }

    /// Closes the idle connections to an endpoint, and those with a call as soon as it ends.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
        self.shut.borrow_mut().insert(endpoint, Instant::now());
    }

    /// Closes the idle connections to all endpoints but some.
    pub fn retain_endpoints(&self, which: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|endpoint, _| which(*endpoint));
    }

    /// Closes what has been idle for too long or was closed by the other side.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| self.usable(c));
        }
        idle.retain(|_, connections| !connections.is_empty());
        self.shut.borrow_mut().retain(|_, at| at.elapsed() < self.keep);
    }

    fn usable(&self, connection: &Connection) -> bool {
        connection.idle_since.elapsed() < self.keep && !connection.sender.is_closed()
    }

    /// A kept connection, once one has rested; none if there is none.
    async fn take(&self, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        loop {
            let rested = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&endpoint)?;
                connections.retain(|c| c.address == address && self.usable(c));
                let oldest = connections.first()?.idle_since;
                if let Some(at) = connections.iter().rposition(|c| c.idle_since.elapsed() >= REST) {
                    return Some(connections.remove(at));
                }
                oldest + REST
            };
            sleep_until(rested).await;
        }
    }

    /// Keeps so many idle connections from now on, and gives the number before.
    pub fn set_max_idle(&self, most: usize) -> usize {
        if most == 0 {
            self.retain_endpoints(|_| false);
        }
        self.most_idle.replace(most)
    }

    /// A descriptor that another process holds for a call of this courier.
    pub fn reserve_descriptor(&self) -> Descriptor {
        Descriptor::new(&self.open, &self.closed)
    }

    fn put(&self, endpoint: EndpointId, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let shut = self.shut.borrow().get(&endpoint).is_some_and(|at| *at >= connection.called);
        if shut || self.most_idle.get() == 0 {
            return;
        }
        if self.idle.borrow().values().map(Vec::len).sum::<usize>() >= self.most_idle.get() {
            self.close_oldest();
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
    }

    /// Closes the connection that has been idle for longest; each list has its oldest first.
    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(at, c)| c.first().map(|c| (c.idle_since, *at))).min();
        if let Some(connections) = oldest.and_then(|(_, at)| idle.get_mut(&at)) {
            connections.remove(0);
        }
    }

    /// A descriptor for one more connection; idle ones give way to it.
    async fn descriptor(&self) -> Descriptor {
        while self.open.get() >= self.most {
            self.close_oldest();
            self.closed.notified().await;
        }
        Descriptor::new(&self.open, &self.closed)
    }

    /// A connection for a call, and whether it is a new one.
    async fn connection(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        until: Instant,
    ) -> Result<(Connection, bool), AttemptOutcome> {
        match self.take(endpoint, address).await {
            Some(kept) => Ok((kept, false)),
            None => Ok((self.open(address, until).await?, true)),
        }
    }

    /// Takes out of a call what may not leave any more, and gives it back.
    fn take_late(&self, call: &mut Call, waited: Duration) -> Vec<MessageId> {
        let (mut late, now) = (Vec::new(), Instant::now());
        call.loads.retain(|load| {
            let in_time = now < load.leave_by;
            if !in_time {
                late.push(load.message);
            }
            in_time
        });
        if !late.is_empty() {
            if let Some(more) = self.too_late.borrow_mut().due() {
                let (endpoint, messages) = (call.endpoint.0, late.len());
                info!(endpoint, messages, ?waited, more, "messages waited too long for a connection");
            }
        }
        late
    }

    async fn open(&self, address: SocketAddr, until: Instant) -> Result<Connection, AttemptOutcome> {
        // Without a descriptor nothing was tried, which says nothing of the endpoint.
        let descriptor =
            timeout_at(until, self.descriptor()).await.map_err(|_| AttemptOutcome::LocalFailure)?;
        match timeout_at(until, connect(address, descriptor)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) if socket::is_of_this_machine(&error) => Err(AttemptOutcome::LocalFailure),
            // Refused, or it never came up: nothing was sent.
            Ok(Err(_)) | Err(_) => Err(AttemptOutcome::ConnectFailed),
        }
    }

    /// Makes one call. `sent` turns true with its first byte. Messages whose time to leave passes before that go
    /// to `too_late` and are no part of the call any more: nothing may go out that has had its final answer.
    pub async fn call(
        self: &Rc<Self>,
        call: &mut Call,
        mut stop: oneshot::Receiver<StopReason>,
        sent: Rc<Cell<bool>>,
        too_late: impl Fn(Vec<MessageId>),
    ) -> CallResult {
        let start = Instant::now();
        let end = start + call.attempt_timeout;
        let ended = |call: &Call, outcome| {
            let (latency, complete) = (start.elapsed(), outcome == AttemptOutcome::Delivered);
            let each =
                vec![AttemptResult { outcome, latency, complete, load_report: None }; call.loads.len()];
            CallResult { attempts: each, retry_after: None }
        };
        loop {
            let until = end.min(start + self.connect_timeout);
            let mut connecting = pin!(self.connection(call.endpoint, call.address, until));
            let (mut connection, fresh) = loop {
                let next = call.loads.iter().map(|load| load.leave_by).min().unwrap_or(end);
                let ready = tokio::select! {
                    biased;
                    reason = &mut stop => return ended(call, never_sent(reason.ok())),
                    ready = &mut connecting => Some(ready),
                    () = sleep_until(next) => None,
                };
                if let Some(Err(outcome)) = ready {
                    return ended(call, outcome);
                }
                let late = self.take_late(call, start.elapsed());
                if !late.is_empty() {
                    too_late(late);
                }
                if call.loads.is_empty() {
                    return ended(call, AttemptOutcome::NotSent);
                }
                if let Some(Ok(ready)) = ready {
                    break ready;
                }
            };
            // A call ends when the time of one of its messages is over, for all of them: the partner may take the
            // whole of it for over by then, and what it still answers delivers nothing.
            let end = call.loads.iter().map(|load| load.over).fold(end, Instant::min);
            let budget = end.saturating_duration_since(Instant::now());
            let Ok(request) = request(call, budget) else { return ended(call, AttemptOutcome::NotSent) };
            let idle = (!fresh).then(|| connection.idle_since.elapsed());
            {
                let mut used = self.used.borrow_mut();
                *if fresh { &mut used.opened } else { &mut used.kept } += 1;
            }
            connection.called = Instant::now();
            let wire = connection.wire.clone();
            wire.begin();
            sent.set(true);
            let end_of_call = tokio::select! {
                biased;
                answer = send(&mut connection.sender, request) => match answer {
                    Ok(response) => return self.read(call, (connection, fresh), response, (start, end)).await,
                    Err(_) => End::Broken,
                },
                () = a_turn_after(end) => End::TimedOut,
                () = wire.head_is_late(HEAD) => End::Broken,
                reason = &mut stop => End::Stopped(reason.ok()),
            };
            let outcome = match end_of_call {
                // Not a byte of it was written: it has never run.
                End::Broken if wire.is_untouched() && !fresh => {
                    // A kept connection that turned out to be closed, or to hold bytes that belong to no call:
                    // it goes out on another one.
                    sent.set(false);
                    continue;
                }
                End::Stopped(reason) if wire.is_untouched() => never_sent(reason),
                End::Broken | End::TimedOut if wire.is_untouched() => AttemptOutcome::ConnectFailed,
                // What the first line says is true, whatever came behind it; for several the body says it.
                _ if matches!(call.loads.as_slice(), [one] if wire.is_served(one.over)) => {
                    AttemptOutcome::Delivered
                }
                End::Broken if wire.is_answered() => AttemptOutcome::MalformedResponse,
                // Some of it was written, and how much of that arrived cannot be told: it may have run.
                End::Broken => {
                    self.note_reset(call, idle, start.elapsed());
                    AttemptOutcome::Reset
                }
                End::TimedOut => AttemptOutcome::Timeout,
                End::Stopped(_) => AttemptOutcome::Cancelled,
            };
            let ended = ended(call, outcome);
            if !matches!(end_of_call, End::Broken) {
                connection.give_up().await;
            }
            return ended;
        }
    }

    /// Reads an answer. That a call never ran is believed only of an answer that is whole; of others the first
    /// line is enough.
    async fn read(
        self: &Rc<Self>,
        call: &Call,
        (connection, fresh): (Connection, bool),
        response: Response<Incoming>,
        (start, end): (Instant, Instant),
    ) -> CallResult {
        let several = call.loads.len() > 1;
        let ended = read_answer(&response, start.elapsed(), several, fresh);
        let all =
            |ended: AttemptResult| CallResult { attempts: vec![ended; call.loads.len()], retry_after: None };
        let delivered = ended.outcome == AttemptOutcome::Delivered;
        let wait = told_wait(&response);
        // Behind a step that took long an answer may have come after the end: it delivers nothing then. That a call
        // never ran, and a wait, stay true.
        let too_late = AttemptResult { outcome: AttemptOutcome::Timeout, complete: false, ..ended };
        let served = call.loads.iter().all(|load| connection.wire.is_served(load.over));
        let rest = finish(self.clone(), call.endpoint, connection, response);
        if ended.outcome == AttemptOutcome::ErrorResponse || (delivered && !several) {
            tokio::task::spawn_local(rest);
            return all(if delivered && !served { too_late } else { ended });
        }
        // The answer for several is the whole of it.
        let by = if delivered { end } else { Instant::now() + DRAIN };
        match timeout_at(by, rest).await {
            Ok(Some(_)) | Err(_) if delivered && Instant::now() >= end => {
                CallResult { retry_after: wait, ..all(too_late) }
            }
            Ok(None) | Err(_) => {
                let spoilt = AttemptResult {
                    outcome: AttemptOutcome::MalformedResponse,
                    complete: false,
                    load_report: None,
                    ..ended
                };
                CallResult { retry_after: wait, ..all(spoilt) }
            }
            Ok(Some(body)) if delivered => {
                let states: Vec<State> = serde_json::from_slice(&body).unwrap_or_default();
                let state = |load: &OutgoingMessage| state_of(&states, &load.id, wait);
                let each = call.loads.iter().map(state);
                let each =
                    each.map(|(outcome, complete)| AttemptResult { outcome, complete, ..ended }).collect();
                CallResult { attempts: each, retry_after: wait }
            }
            Ok(Some(_)) => all(ended),
        }
    }
}

/// How a call came to its end without the head of an answer.
#[derive(Clone, Copy)]
enum End {
    Broken,
    TimedOut,
    Stopped(Option<StopReason>),
}

/// A call that was stopped before its first byte never ran.
fn never_sent(reason: Option<StopReason>) -> AttemptOutcome {
    match reason {
        Some(StopReason::Cancelled) => AttemptOutcome::ConnectFailed,
        Some(StopReason::Withdrawn) | None => AttemptOutcome::NotSent,
    }
}

/// Ends at some time, after one turn for the connections: what lies there unread by then is seen first.
async fn a_turn_after(end: Instant) {
    sleep_until(end).await;
    yield_now().await;
}

async fn send(sender: &mut Sender, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
    sender.ready().await?;
    sender.send_request(request).await
}

fn request(call: &Call, budget: Duration) -> hyper::http::Result<Request<Full<Bytes>>> {
    let request = |path| {
        Request::post(path)
            .header("Host", call.address.to_string())
            .header("X-Budget", format!("{:.3}", budget.as_secs_f64()))
    };
    let [load] = call.loads.as_slice() else {
        return request("/hook/batch")
            .header("Content-Type", "application/json")
            .body(Full::new(batch_body(&call.loads)));
    };
    let mut request = request("/hook").header("X-Call-Id", &load.id);
    if let Some(key) = &load.idempotency_key {
        request = request.header("Idempotency-Key", key);
    }
    request.body(Full::new(load.body.clone()))
}

/// Several messages in one body.
fn batch_body(loads: &[OutgoingMessage]) -> Bytes {
    let items = loads.iter().map(|load| {
        let mut item = json!({"id": load.id, "body": BASE64_STANDARD.encode(&load.body)});
        if let Some(key) = &load.idempotency_key {
            item["key"] = key.as_str().into();
        }
        item
    });
    Bytes::from(Value::from_iter(items).to_string())
}

/// What became of one message of several.
#[derive(Deserialize)]
struct State {
    id: String,
    state: String,
}

/// The outcome for one message, and whether the message is over. What is not told once, in words that are known,
/// may have run.
fn state_of(states: &[State], id: &str, wait: Option<Duration>) -> (AttemptOutcome, bool) {
    let mut told = states.iter().filter(|state| state.id == id).map(|state| state.state.as_str());
    match (told.next(), told.next()) {
        (Some("ok"), None) => (AttemptOutcome::Delivered, true),
        (Some("error"), None) => (AttemptOutcome::ErrorResponse, false),
        (Some("later"), None) => (AttemptOutcome::Rejected(wait), false),
        (Some("gone"), None) => (AttemptOutcome::NotSent, true),
        (Some("exhausted"), None) => (AttemptOutcome::AttemptsExhausted, false),
        _ => (AttemptOutcome::MalformedResponse, false),
    }
}

fn header<'a>(response: &'a Response<Incoming>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

/// The wait that an answer tells, if any.
fn told_wait(response: &Response<Incoming>) -> Option<Duration> {
    let ms = header(response, "X-Come-Back-Ms").and_then(|text| text.trim().parse().ok());
    ms.filter(|ms| *ms > 0).map(|ms| Duration::from_millis(ms).min(LONGEST_WAIT))
}

fn read_answer(
    response: &Response<Incoming>,
    latency: Duration,
    several: bool,
    fresh: bool,
) -> AttemptResult {
    let header = |name: &str| header(response, name);
    let (outcome, complete) = match response.status().as_u16() {
        200 => (AttemptOutcome::Delivered, true),
        429 => (AttemptOutcome::Rejected(told_wait(response)), false),
        // The call was not understood, or too large: none of it has run.
        400 | 413 if several => (AttemptOutcome::NotSent, false),
        503 if header("X-Line-Busy").is_some_and(|text| text.trim() == "1") => {
            (AttemptOutcome::NotSent, false)
        }
        // It is the connection that is turned away, not the call, where it was opened for it and is closed with it.
        503 if fresh
            && header("Connection").is_some_and(|text| text.trim().eq_ignore_ascii_case("close")) =>
        {
            (AttemptOutcome::TooManyConnections, false)
        }
        503 => (AttemptOutcome::Rejected(None), false),
        504 => (AttemptOutcome::AttemptsExhausted, false),
        410 => (AttemptOutcome::NotSent, true),
        // An error, or an answer that nobody knows: it may have run.
        _ => (AttemptOutcome::ErrorResponse, false),
    };
    AttemptResult { outcome, latency, complete, load_report: header("X-Load-Report").and_then(read_report) }
}

fn read_report(text: &str) -> Option<LoadReport> {
    let value = |name: &str| -> Option<f64> {
        let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
        fields.filter(|(field, _)| *field == name).find_map(|(_, value)| value.trim().parse().ok())
    };
    let (left, limit) = (value("x0")?, value("x1")?);
    let sound = (0.0..=MOST_LEFT).contains(&left) && (0.0..=MOST_LIMIT).contains(&limit);
    sound.then_some(LoadReport { headroom: left, limit_per_sec: limit })
}

/// Reads the rest of an answer, so that its connection can be used again: the body; none where it is not whole.
async fn finish(
    pool: Rc<Pool>,
    endpoint: EndpointId,
    mut connection: Connection,
    answer: Response<Incoming>,
) -> Option<Bytes> {
    if answer.body().size_hint().lower() > LONGEST_BODY {
        return None;
    }
    // Where its end is told in two ways, one of them may be wrong.
    let headers = answer.headers();
    let two_ends = headers.contains_key("content-length") && headers.contains_key("transfer-encoding");
    let body = Limited::new(answer.into_body(), LONGEST_BODY as usize).collect();
    let body = timeout(DRAIN, body).await.ok()?.ok()?.to_bytes();
    if !two_ends {
        tokio::task::spawn_local(async move {
            // Ready once all of the answer is read, and closed when something came behind it: the connection's
            // own task has looked by then.
            if let Ok(Ok(())) = timeout(DRAIN, connection.sender.ready()).await {
                yield_now().await;
                if connection.wire.is_quiet() {
                    pool.put(endpoint, connection);
                }
            }
        });
    }
    Some(body)
}

async fn connect(address: SocketAddr, descriptor: Descriptor) -> io::Result<Connection> {
    let stream = socket::connect(address).await?;
    let wire = Rc::new(Wire::new(stream, descriptor));
    let io = TokioIo::new(WireStream(wire.clone()));
    let handshake = http1::Builder::new().title_case_headers(true).max_buf_size(LONGEST_HEAD).handshake(io);
    let (sender, mut connection) = handshake.await.map_err(io::Error::other)?;
    let (quit, told) = oneshot::channel::<oneshot::Sender<()>>();
    tokio::task::spawn_local(async move {
        let done = tokio::select! {
            // First, as a given-up answer would also end the connection, without the wait for the other side.
            biased;
            done = told => done,
            _ = &mut connection => return,
        };
        if let Ok(done) = done {
            let stream = connection.into_parts().io.into_inner();
            let _ = timeout(LINGER, stream.close()).await;
            let _ = done.send(());
        }
    });
    let now = Instant::now();
    Ok(Connection { address, sender, wire, quit, idle_since: now, called: now })
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    fn load(number: u32, leave_by: Instant, over: Instant) -> OutgoingMessage {
        let (id, idempotency_key, body) = (format!("m{number}"), None, Bytes::new());
        OutgoingMessage { message: MessageId(number), leave_by, over, id, idempotency_key, body }
    }

    /// Makes a call to an endpoint that answers with this, and holds this thread up until some time after. What it
    /// was asked, what left too late, and how the call ended for each message.
    async fn call_answered(
        loads: Vec<OutgoingMessage>,
        answer: &'static [u8],
        held_up: Option<Instant>,
    ) -> (String, Vec<MessageId>, Vec<(MessageId, AttemptOutcome)>) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let asked = tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = vec![0; 4096];
            let length = stream.read(&mut request).await.unwrap();
            stream.write_all(answer).await.unwrap();
            if let Some(until) = held_up {
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
            }
            request.truncate(length);
            // Open for as long as the courier wants it.
            while stream.read(&mut [0; 64]).await.is_ok_and(|count| count > 0) {}
            String::from_utf8(request).unwrap()
        });
        let mut call =
            Call { endpoint: EndpointId(1), address, loads, attempt_timeout: Duration::from_secs(60) };
        let late = RefCell::new(Vec::new());
        let (_stop, stopped) = oneshot::channel();
        let pool = Rc::new(Pool::new(Duration::from_secs(60), Duration::from_secs(60), 2, 2));
        let too_late = |messages| late.borrow_mut().extend::<Vec<MessageId>>(messages);
        let ended = pool.call(&mut call, stopped, Rc::default(), too_late).await;
        drop(pool);
        let outcomes = ended.attempts.iter().map(|ended| ended.outcome);
        let each = call.loads.iter().map(|load| load.message).zip(outcomes).collect();
        (asked.await.unwrap(), late.take(), each)
    }

    fn run<T>(test: impl std::future::Future<Output = T>) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, test)
    }

    const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    /// The time of a message runs on while its call waits for its turn: what has passed by then is not sent, and what
    /// shares the call is.
    #[test]
    fn what_ran_out_before_its_call_had_its_turn_is_not_sent() {
        run(async {
            let (decided, far) = (Instant::now(), Instant::now() + Duration::from_secs(60));
            let loads = vec![load(1, decided, far), load(2, far, far)];
            let (asked, late, each) = call_answered(loads, SERVED, None).await;
            assert_eq!((late, each), (vec![MessageId(1)], vec![(MessageId(2), AttemptOutcome::Delivered)]));
            assert!(asked.contains("X-Call-Id: m2\r\n"));
        });
    }

    /// An answer that comes when the time of a message is over delivers nothing, also when it and the end are seen in
    /// one step: a step may take long.
    #[test]
    fn an_answer_after_the_end_is_none() {
        run(async {
            let (soon, far) =
                (Instant::now() + Duration::from_millis(500), Instant::now() + Duration::from_secs(60));
            let (_, late, each) = call_answered(vec![load(1, far, soon)], SERVED, Some(soon)).await;
            assert_eq!((late, each), (vec![], vec![(MessageId(1), AttemptOutcome::Timeout)]));
            let each_ok = b"HTTP/1.1 200 OK\r\nContent-Length: 51\r\n\r\n\
                [{\"id\":\"m1\",\"state\":\"ok\"},{\"id\":\"m2\",\"state\":\"ok\"}]";
            let soon = Instant::now() + Duration::from_millis(500);
            let loads = vec![load(1, far, far), load(2, far, soon)];
            let (_, late, each) = call_answered(loads, each_ok, Some(soon)).await;
            let timed_out = |number| (MessageId(number), AttemptOutcome::Timeout);
            assert_eq!((late, each), (vec![], vec![timed_out(1), timed_out(2)]));
            // A wait binds all the same, and what was refused never ran.
            let soon = Instant::now() + Duration::from_millis(500);
            let refused = b"HTTP/1.1 429 Later\r\nX-Come-Back-Ms: 900\r\nContent-Length: 0\r\n\r\n";
            let (_, late, each) = call_answered(vec![load(1, far, soon)], refused, Some(soon)).await;
            let told = AttemptOutcome::Rejected(Some(Duration::from_millis(900)));
            assert_eq!((late, each), (vec![], vec![(MessageId(1), told)]));
            // In time, the same answer delivers both.
            let (_, _, each) = call_answered(vec![load(1, far, far), load(2, far, far)], each_ok, None).await;
            assert_eq!(
                each,
                [(MessageId(1), AttemptOutcome::Delivered), (MessageId(2), AttemptOutcome::Delivered)]
            );
        });
    }

    #[test]
    fn reports_that_make_no_sense_are_ignored() {
        assert_eq!(read_report("x0=0.4,x1=25"), Some(LoadReport { headroom: 0.4, limit_per_sec: 25.0 }));
        for text in
            ["", "x0=0.4", "x0=-1,x1=25", "x0=0.4,x1=-3", "x0=0.4,x1=1e30", "x0=nan,x1=25", "x0=7e5,x1=2"]
        {
            assert_eq!(read_report(text), None, "{text}");
        }
    }
}
