//! Makes one call: acquires a connection, sends the messages of the call, and reports the outcome of each.
//!
//! A call that may have run at the endpoint is never reported as not sent. A call has not run only if no byte of it was
//! written, or if a complete response says so.

use bytes::Bytes;
use delivery_gateway::{AttemptOutcome, EndpointId, MessageId};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::Response;
use std::cell::Cell;
use std::ops::ControlFlow;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use super::connection::{Connection, ConnectionOrigin};
use super::pool::{AcquiredConnection, Pool};
use super::request::{Call, CallKind};
use super::response::{read_head, BatchStates, Headers};
use super::wire::Wire;
use crate::events::{AttemptResult, CallResult, StopReason};

/// The time limit from the first byte of a response, or of an interim one before it, to the end of the response's head.
/// After it the connection counts as broken.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest response body that is read. The body of a response for one message carries no information, and reading a
/// longer one only to reuse the connection is not worthwhile.
const MAX_RESPONSE_BODY_BYTES: u64 = 64 << 10;
/// The time limit for reading a response body. After it the connection is closed rather than reused.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

impl Pool {
    /// Makes one call and returns the result of each of its messages. `stop` cancels the call. `sent` becomes true just
    /// before the call is written. Messages that pass their `send_by` before that are removed from the call and passed
    /// to `too_late`: a message that has had its final outcome must not be sent.
    pub async fn call(
        self: &Rc<Self>,
        call: &mut Call,
        stop: oneshot::Receiver<StopReason>,
        sent: Rc<Cell<bool>>,
        too_late: impl Fn(Vec<MessageId>),
    ) -> CallResult {
        let started = Instant::now();
        let deadline = started + call.attempt_timeout;
        let mut ongoing = OngoingCall { pool: self, call, stop, sent, started, deadline };
        loop {
            let acquired = match ongoing.connect(&too_late).await {
                Ok(acquired) => acquired,
                Err(outcome) => return ongoing.result(outcome),
            };
            if let ControlFlow::Break(result) = ongoing.send(acquired).await {
                return result;
            }
        }
    }
}

/// A call in progress.
struct OngoingCall<'a> {
    pool: &'a Rc<Pool>,
    call: &'a mut Call,
    stop: oneshot::Receiver<StopReason>,
    sent: Rc<Cell<bool>>,
    started: Instant,
    deadline: Instant,
}

/// The first event after the request was passed to the connection.
enum CallEvent {
    /// The head of a response has arrived.
    Head(Response<Incoming>),
    Ended(EndWithoutHead),
}

/// Why a call ended without the head of a response.
#[derive(Clone, Copy)]
enum EndWithoutHead {
    /// The connection broke, or the response's head was not complete within [`HEAD_TIMEOUT`].
    Broken,
    /// The attempt timeout passed, or a message of the call expired.
    TimedOut,
    /// The call was stopped. None if the `stop` sender was dropped because no one waits for the result.
    Stopped(Option<StopReason>),
}

impl OngoingCall<'_> {
    /// Waits for a connection, and meanwhile removes messages whose `send_by` passes from the call.
    async fn connect(
        &mut self,
        too_late: &impl Fn(Vec<MessageId>),
    ) -> Result<AcquiredConnection, AttemptOutcome> {
        let connect_by = self.deadline.min(self.started + self.pool.connect_timeout());
        let mut acquiring = pin!(self.pool.acquire(self.call.endpoint, self.call.address, connect_by));
        loop {
            let next_too_late =
                self.call.messages.iter().map(|message| message.send_by).min().unwrap_or(self.deadline);
            let acquired = tokio::select! {
                biased;
                reason = &mut self.stop => return Err(outcome_if_stopped_unsent(reason.ok())),
                acquired = &mut acquiring => Some(acquired?),
                () = sleep_until(next_too_late) => None,
            };
            let late = self.remove_too_late();
            if !late.is_empty() {
                too_late(late);
            }
            if self.call.messages.is_empty() {
                return Err(AttemptOutcome::NotSent);
            }
            if let Some(acquired) = acquired {
                return Ok(acquired);
            }
        }
    }

    /// Removes the messages whose `send_by` has passed, and returns them.
    fn remove_too_late(&mut self) -> Vec<MessageId> {
        let waited = self.started.elapsed();
        let now = Instant::now();
        let mut late = Vec::new();
        self.call.messages.retain(|message| {
            let is_in_time = now < message.send_by;
            if !is_in_time {
                late.push(message.message);
            }
            is_in_time
        });
        if !late.is_empty() {
            self.pool.log_too_late(self.call.endpoint, late.len(), waited);
        }
        late
    }

    /// Sends the call on a connection. Returns `Continue` if the connection was stale and the call has to be sent on
    /// another one.
    async fn send(&mut self, acquired: AcquiredConnection) -> ControlFlow<CallResult> {
        let AcquiredConnection { mut connection, origin } = acquired;
        // The call ends for all of its messages when the first of them expires: from then on the endpoint may treat the
        // whole call as expired, and its response delivers nothing.
        let expiries = self.call.messages.iter().map(|message| message.expires_at);
        let deadline = expiries.fold(self.deadline, Instant::min);
        let time_budget = deadline.saturating_duration_since(Instant::now());
        let Ok(request) = self.call.request(time_budget) else {
            return ControlFlow::Break(self.result(AttemptOutcome::NotSent));
        };
        let idle_time = match origin {
            ConnectionOrigin::New => None,
            ConnectionOrigin::Reused => Some(connection.idle_since.elapsed()),
        };
        self.pool.count_call(origin);
        connection.call_began = Instant::now();
        let wire = connection.wire.clone();
        wire.begin_call();
        self.sent.set(true);
        let event = tokio::select! {
            biased;
            response = connection.send(request) => match response {
                Ok(response) => CallEvent::Head(response),
                Err(_) => CallEvent::Ended(EndWithoutHead::Broken),
            },
            () = sleep_until_and_yield(deadline) => CallEvent::Ended(EndWithoutHead::TimedOut),
            () = wire.head_timeout(HEAD_TIMEOUT) => CallEvent::Ended(EndWithoutHead::Broken),
            reason = &mut self.stop => CallEvent::Ended(EndWithoutHead::Stopped(reason.ok())),
        };
        let end = match event {
            CallEvent::Head(response) => {
                let acquired = AcquiredConnection { connection, origin };
                return ControlFlow::Break(self.read_response(acquired, response, deadline).await);
            }
            CallEvent::Ended(end) => end,
        };
        let is_broken = matches!(end, EndWithoutHead::Broken);
        if is_broken && wire.is_call_unwritten() && origin == ConnectionOrigin::Reused {
            // The reused connection was closed already, or held bytes that belong to no call. The call has not run, and
            // is sent on another connection.
            self.sent.set(false);
            return ControlFlow::Continue(());
        }
        let result = self.result(self.outcome_without_head(end, &wire, idle_time));
        if !is_broken {
            connection.abort().await;
        }
        ControlFlow::Break(result)
    }

    fn outcome_without_head(
        &self,
        end: EndWithoutHead,
        wire: &Wire,
        idle_time: Option<Duration>,
    ) -> AttemptOutcome {
        match end {
            // No byte of the call was written, so it has not run.
            EndWithoutHead::Stopped(reason) if wire.is_call_unwritten() => outcome_if_stopped_unsent(reason),
            EndWithoutHead::Broken | EndWithoutHead::TimedOut if wire.is_call_unwritten() => {
                AttemptOutcome::ConnectFailed
            }
            // The status line counts even if the rest of the response is broken or missing. A batch needs the body,
            // which alone has the states of its messages.
            _ if matches!(self.call.messages.as_slice(), [one] if wire.was_served_before(one.expires_at)) => {
                AttemptOutcome::Delivered
            }
            EndWithoutHead::Broken if wire.has_response_begun() => AttemptOutcome::MalformedResponse,
            // Some bytes were written, and it is unknown how many of them arrived: the call may have run.
            EndWithoutHead::Broken => {
                self.pool.count_reset(self.call.endpoint, idle_time, self.started.elapsed());
                AttemptOutcome::Reset
            }
            EndWithoutHead::TimedOut => AttemptOutcome::Timeout,
            EndWithoutHead::Stopped(_) => AttemptOutcome::Cancelled,
        }
    }

    /// Reads the rest of a response. A response that says that the call has not run, or that has the states of a batch,
    /// counts only if it is complete; for other responses the head is enough.
    async fn read_response(
        &self,
        acquired: AcquiredConnection,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> CallResult {
        let AcquiredConnection { connection, origin } = acquired;
        let kind = self.call.kind();
        let head = read_head(&response, self.started.elapsed(), kind, origin);
        let is_delivered = head.outcome == AttemptOutcome::Delivered;
        let retry_after = Headers::of(&response).retry_after();
        // If this thread was blocked for long, the response may have arrived after the deadline, and delivers nothing.
        // Its Retry-After, and a statement that the call has not run, are still valid.
        let timed_out = AttemptResult { outcome: AttemptOutcome::Timeout, completes_message: false, ..head };
        let in_time =
            self.call.messages.iter().all(|message| connection.wire.was_served_before(message.expires_at));
        let rest = finish_response(self.pool.clone(), self.call.endpoint, connection, response);
        if head.outcome == AttemptOutcome::ErrorResponse || (is_delivered && kind == CallKind::Single) {
            tokio::task::spawn_local(rest);
            return self.same_for_all(if is_delivered && !in_time { timed_out } else { head }, None);
        }
        // Only a complete response has the states of a batch's messages.
        let body_by = if is_delivered { deadline } else { Instant::now() + BODY_TIMEOUT };
        match timeout_at(body_by, rest).await {
            Ok(Some(_)) | Err(_) if is_delivered && Instant::now() >= deadline => {
                self.same_for_all(timed_out, retry_after)
            }
            Ok(None) | Err(_) => {
                let malformed = AttemptResult {
                    outcome: AttemptOutcome::MalformedResponse,
                    completes_message: false,
                    load_report: None,
                    ..head
                };
                self.same_for_all(malformed, retry_after)
            }
            Ok(Some(body)) if is_delivered => self.batch_result(head, &body, retry_after),
            Ok(Some(_)) => self.same_for_all(head, None),
        }
    }

    /// Returns the result of a batch by the states in the body of its response.
    fn batch_result(&self, head: AttemptResult, body: &[u8], retry_after: Option<Duration>) -> CallResult {
        let states = BatchStates::parse(body);
        let results = self.call.messages.iter().map(|message| {
            let state = states.outcome_of(&message.id, retry_after);
            AttemptResult { outcome: state.outcome, completes_message: state.completes_message, ..head }
        });
        CallResult { attempts: results.collect(), retry_after }
    }

    /// Returns the result of a call that ends now, with the same outcome for each of its messages.
    fn result(&self, outcome: AttemptOutcome) -> CallResult {
        let result = AttemptResult {
            outcome,
            latency: self.started.elapsed(),
            completes_message: outcome == AttemptOutcome::Delivered,
            load_report: None,
        };
        self.same_for_all(result, None)
    }

    fn same_for_all(&self, result: AttemptResult, retry_after: Option<Duration>) -> CallResult {
        CallResult { attempts: vec![result; self.call.messages.len()], retry_after }
    }
}

/// Returns the outcome of a call that was stopped before its first byte, and so has not run.
fn outcome_if_stopped_unsent(reason: Option<StopReason>) -> AttemptOutcome {
    match reason {
        Some(StopReason::Cancelled) => AttemptOutcome::ConnectFailed,
        Some(StopReason::Withdrawn) | None => AttemptOutcome::NotSent,
    }
}

/// Sleeps until a time, and then lets the tasks of the connections run once, so that bytes that arrived before the time
/// are read first.
async fn sleep_until_and_yield(time: Instant) {
    sleep_until(time).await;
    yield_now().await;
}

/// Reads the rest of a response, and returns its connection to the pool unless other bytes follow or the body's length
/// is ambiguous. Returns the body; None if it is incomplete, too long, or not read within [`BODY_TIMEOUT`].
async fn finish_response(
    pool: Rc<Pool>,
    endpoint: EndpointId,
    connection: Connection,
    response: Response<Incoming>,
) -> Option<Bytes> {
    if response.body().size_hint().lower() > MAX_RESPONSE_BODY_BYTES {
        return None;
    }
    let headers = Headers::of(&response);
    let has_ambiguous_length = headers.has_ambiguous_length();
    let is_kept_alive = headers.keep_connection_alive();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BODY_BYTES as usize).collect();
    let body = timeout(BODY_TIMEOUT, body).await.ok()?.ok()?.to_bytes();
    connection.wire.end_call();
    connection.wire.acknowledge();
    if !has_ambiguous_length && is_kept_alive {
        tokio::task::spawn_local(return_connection(pool, endpoint, connection));
    }
    Some(body)
}

/// Returns a connection to the pool once its response has been read completely. It is closed if other bytes follow.
async fn return_connection(pool: Rc<Pool>, endpoint: EndpointId, mut connection: Connection) {
    // If other bytes followed, the connection's own task has closed it before it is ready again.
    let is_ready = matches!(timeout(BODY_TIMEOUT, connection.ready()).await, Ok(Ok(())));
    yield_now().await;
    let is_open = connection.wire.is_open_without_unread_bytes();
    match (is_ready, is_open) {
        (true, true) => pool.put_back(endpoint, connection),
        (false, true) => connection.wire.record_surplus(),
        (_, false) => {}
    }
}
