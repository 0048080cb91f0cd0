//! What a response says: its status and headers, and the states of the messages that one call carried. The themed
//! names on the wire are mapped here, once, to the terms of [`AttemptOutcome`].

use delivery_gateway::{AttemptOutcome, LoadReport};
use hyper::body::Incoming;
use hyper::Response;
use serde::Deserialize;
use std::time::Duration;

use super::connection::ConnectionOrigin;
use super::request::CallKind;
use crate::events::AttemptResult;

/// Names of the headers on the wire.
mod header {
    /// Milliseconds for which the endpoint is to be left alone.
    pub const RETRY_AFTER_MS: &str = "X-Come-Back-Ms";
    /// `1` where the destination has no capacity for the call, which has not run.
    pub const NOT_STARTED: &str = "X-Line-Busy";
    /// How much of its rate limit the endpoint has left, as `x0=headroom,x1=limit`.
    pub const LOAD_REPORT: &str = "X-Load-Report";
    pub const CONNECTION: &str = "Connection";
}

/// Names of the fields of a load report on the wire.
mod load_report_field {
    pub const HEADROOM: &str = "x0";
    pub const LIMIT_PER_SEC: &str = "x1";
}

/// Longer waits are cut to this.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// A load report beyond these figures is ignored.
const MAX_HEADROOM: f64 = 2.0;
const MAX_LIMIT_PER_SEC: f64 = 1e6;

/// The headers of a response, as text.
#[derive(Clone, Copy)]
pub struct Headers<'a>(&'a Response<Incoming>);

impl<'a> Headers<'a> {
    /// The headers of this response.
    pub fn of(response: &'a Response<Incoming>) -> Self {
        Headers(response)
    }

    /// The first header of this name; none if it is not text.
    fn get(self, name: &str) -> Option<&'a str> {
        self.0.headers().get(name).and_then(|value| value.to_str().ok())
    }

    /// How long the endpoint is to be left alone, if the response says so.
    pub fn retry_after(self) -> Option<Duration> {
        let ms: u64 = self.get(header::RETRY_AFTER_MS)?.trim().parse().ok()?;
        (ms > 0).then(|| Duration::from_millis(ms).min(MAX_RETRY_AFTER))
    }

    /// Whether the end of the body is given in two ways, of which one may be wrong.
    pub fn has_ambiguous_length(self) -> bool {
        let headers = self.0.headers();
        headers.contains_key("content-length") && headers.contains_key("transfer-encoding")
    }

    fn load_report(self) -> Option<LoadReport> {
        self.get(header::LOAD_REPORT).and_then(parse_load_report)
    }

    fn says_not_started(self) -> bool {
        self.get(header::NOT_STARTED).is_some_and(|text| text.trim() == "1")
    }

    fn closes_connection(self) -> bool {
        self.get(header::CONNECTION).is_some_and(|text| text.trim().eq_ignore_ascii_case("close"))
    }
}

/// The outcome of one message, as the endpoint reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageOutcome {
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Whether the message is completed, so that no further attempt is made.
    pub completes_message: bool,
}

impl MessageOutcome {
    fn completed(outcome: AttemptOutcome) -> Self {
        MessageOutcome { outcome, completes_message: true }
    }

    fn open(outcome: AttemptOutcome) -> Self {
        MessageOutcome { outcome, completes_message: false }
    }
}

/// Reads status and headers: the result for each message of the call, unless the body says otherwise.
pub fn read_head(
    response: &Response<Incoming>,
    latency: Duration,
    kind: CallKind,
    origin: ConnectionOrigin,
) -> AttemptResult {
    let headers = Headers::of(response);
    let MessageOutcome { outcome, completes_message } =
        outcome_of_status(response.status().as_u16(), headers, kind, origin);
    AttemptResult { outcome, latency, completes_message, load_report: headers.load_report() }
}

fn outcome_of_status(
    status: u16,
    headers: Headers<'_>,
    kind: CallKind,
    origin: ConnectionOrigin,
) -> MessageOutcome {
    match status {
        200 => MessageOutcome::completed(AttemptOutcome::Delivered),
        429 => MessageOutcome::open(AttemptOutcome::Rejected(headers.retry_after())),
        // The call was not understood, or too large: none of it has run.
        400 | 413 if kind == CallKind::Batch => MessageOutcome::open(AttemptOutcome::NotSent),
        503 if headers.says_not_started() => MessageOutcome::open(AttemptOutcome::NotSent),
        // The connection is refused rather than the call, where it was opened for the call and is closed with it.
        503 if origin == ConnectionOrigin::New && headers.closes_connection() => {
            MessageOutcome::open(AttemptOutcome::TooManyConnections)
        }
        503 => MessageOutcome::open(AttemptOutcome::Rejected(None)),
        // The endpoint counts the attempts of the message as used up.
        504 => MessageOutcome::open(AttemptOutcome::AttemptsExhausted),
        // The endpoint no longer wants the message: no final outcome is owed.
        410 => MessageOutcome::completed(AttemptOutcome::NotSent),
        // An error, or an unknown status: the call may have run.
        _ => MessageOutcome::open(AttemptOutcome::ErrorResponse),
    }
}

/// Reads a load report; none where a figure is missing or out of range.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let value = |name: &str| -> Option<f64> {
        let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
        fields.filter(|(field, _)| *field == name).find_map(|(_, value)| value.trim().parse().ok())
    };
    let headroom = value(load_report_field::HEADROOM)?;
    let limit_per_sec = value(load_report_field::LIMIT_PER_SEC)?;
    let is_sound =
        (0.0..=MAX_HEADROOM).contains(&headroom) && (0.0..=MAX_LIMIT_PER_SEC).contains(&limit_per_sec);
    is_sound.then_some(LoadReport { headroom, limit_per_sec })
}

/// The states of the messages of a batch, from the body of its response.
pub struct BatchStates(Vec<MessageState>);

/// One message in the body of a response to a batch. Its state stays text: an unknown one does not invalidate the
/// others.
#[derive(Deserialize)]
struct MessageState {
    id: String,
    state: String,
}

impl BatchStates {
    /// Reads a body; one that cannot be read has a state for no message.
    pub fn parse(body: &[u8]) -> Self {
        BatchStates(serde_json::from_slice(body).unwrap_or_default())
    }

    /// The outcome of the message with this id. A message without a state, with an unknown one, or with two may have
    /// run. `retry_after` is that of the response.
    pub fn outcome_of(&self, id: &str, retry_after: Option<Duration>) -> MessageOutcome {
        let mut states = self.0.iter().filter(|state| state.id == id).map(|state| state.state.as_str());
        let (Some(state), None) = (states.next(), states.next()) else {
            return MessageOutcome::open(AttemptOutcome::MalformedResponse);
        };
        match state {
            "ok" => MessageOutcome::completed(AttemptOutcome::Delivered),
            "error" => MessageOutcome::open(AttemptOutcome::ErrorResponse),
            "later" => MessageOutcome::open(AttemptOutcome::Rejected(retry_after)),
            "gone" => MessageOutcome::completed(AttemptOutcome::NotSent),
            "exhausted" => MessageOutcome::open(AttemptOutcome::AttemptsExhausted),
            _ => MessageOutcome::open(AttemptOutcome::MalformedResponse),
        }
    }
}
