//! Maps a response to outcomes: its status and headers, and the states of the messages that a batch carried.
//!
//! The names that the wire uses for headers and states of a response are defined here; the rest of the gateway uses
//! [`AttemptOutcome`].

use delivery_gateway::{AttemptOutcome, LoadReport};
use hyper::body::Incoming;
use hyper::{Response, Version};
use serde::Deserialize;
use std::time::Duration;

use super::connection::ConnectionOrigin;
use super::request::CallKind;
use crate::events::AttemptResult;

/// Names of the response headers on the wire.
mod header {
    /// Retry-After in milliseconds: no call is to be sent to the endpoint for this time.
    pub const RETRY_AFTER_MS: &str = "X-Come-Back-Ms";
    /// `1` on a 503 if the destination had no capacity for the call, which has not run.
    pub const NOT_STARTED: &str = "X-Line-Busy";
    /// The endpoint's load report, as `x0=headroom,x1=limit`: the ratio of its rate limit that is left, and the limit
    /// in calls per second.
    pub const LOAD_REPORT: &str = "X-Load-Report";
    pub const CONNECTION: &str = "Connection";
}

/// Names of the fields in the load report header.
mod load_report_field {
    pub const HEADROOM: &str = "x0";
    pub const LIMIT_PER_SEC: &str = "x1";
}

/// A longer Retry-After is cut to this.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// A load report with a headroom or a limit above these is ignored.
const MAX_HEADROOM: f64 = 2.0;
const MAX_LIMIT_PER_SEC: f64 = 1e6;

/// Reads the headers of a response as text.
#[derive(Clone, Copy)]
pub struct Headers<'a>(&'a Response<Incoming>);

impl<'a> Headers<'a> {
    /// Borrows the headers of this response.
    pub fn of(response: &'a Response<Incoming>) -> Self {
        Headers(response)
    }

    /// Returns the first header of this name; None if there is none or it is not text.
    fn get(self, name: &str) -> Option<&'a str> {
        self.0.headers().get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the Retry-After of the response, at most [`MAX_RETRY_AFTER`]; None if it is absent, zero or not a whole
    /// number.
    pub fn retry_after(self) -> Option<Duration> {
        let ms: u64 = self.get(header::RETRY_AFTER_MS)?.trim().parse().ok()?;
        (ms > 0).then(|| Duration::from_millis(ms).min(MAX_RETRY_AFTER))
    }

    /// Returns whether both Content-Length and Transfer-Encoding are present. One of them may be wrong, so the end of
    /// the body is uncertain and the connection must not be reused.
    pub fn has_ambiguous_length(self) -> bool {
        let headers = self.0.headers();
        headers.contains_key("content-length") && headers.contains_key("transfer-encoding")
    }

    fn load_report(self) -> Option<LoadReport> {
        self.get(header::LOAD_REPORT).and_then(parse_load_report)
    }

    fn is_not_started(self) -> bool {
        self.get(header::NOT_STARTED).is_some_and(|text| text.trim() == "1")
    }

    /// Returns whether the endpoint keeps the connection open after the response.
    pub fn keep_connection_alive(self) -> bool {
        self.0.version() == Version::HTTP_11 && !self.closes_connection()
    }

    fn closes_connection(self) -> bool {
        self.get(header::CONNECTION).is_some_and(|text| text.trim().eq_ignore_ascii_case("close"))
    }
}

/// The outcome of one message as the endpoint reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageOutcome {
    /// The outcome of the attempt to deliver the message.
    pub outcome: AttemptOutcome,
    /// Whether the message is completed and gets no further attempt.
    pub completes_message: bool,
}

impl MessageOutcome {
    /// An outcome that completes the message.
    fn completed(outcome: AttemptOutcome) -> Self {
        MessageOutcome { outcome, completes_message: true }
    }

    /// An outcome after which the message may get further attempts.
    fn open(outcome: AttemptOutcome) -> Self {
        MessageOutcome { outcome, completes_message: false }
    }
}

/// Maps status and headers to the result of each message of the call. For a batch with status 200 the states in the
/// body replace it.
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
        // The endpoint could not parse the batch, or it was too large: none of it has run.
        400 | 413 if kind == CallKind::Batch => MessageOutcome::open(AttemptOutcome::NotSent),
        503 if headers.is_not_started() => MessageOutcome::open(AttemptOutcome::NotSent),
        // A 503 that closes a connection opened for this call refuses the connection rather than the call.
        503 if origin == ConnectionOrigin::New && headers.closes_connection() => {
            MessageOutcome::open(AttemptOutcome::TooManyConnections)
        }
        503 => MessageOutcome::open(AttemptOutcome::Rejected(None)),
        // By the endpoint's count, the message has no attempts left.
        504 => MessageOutcome::open(AttemptOutcome::AttemptsExhausted),
        // The endpoint no longer accepts the message, which is completed without a final outcome.
        410 => MessageOutcome::completed(AttemptOutcome::NotSent),
        // An error or an unknown status: the call may have run.
        _ => MessageOutcome::open(AttemptOutcome::ErrorResponse),
    }
}

/// Parses a load report. Returns None if a value is missing, not a number or out of range.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let value = |name: &str| -> Option<f64> {
        let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
        fields.filter(|(field, _)| *field == name).find_map(|(_, value)| value.trim().parse().ok())
    };
    let headroom = value(load_report_field::HEADROOM)?;
    let limit_per_sec = value(load_report_field::LIMIT_PER_SEC)?;
    let is_in_range =
        (0.0..=MAX_HEADROOM).contains(&headroom) && (0.0..=MAX_LIMIT_PER_SEC).contains(&limit_per_sec);
    is_in_range.then_some(LoadReport { headroom, limit_per_sec })
}

/// The states of a batch's messages, from the body of its response.
pub struct BatchStates(Vec<MessageState>);

/// The state of one message in the response to a batch. The state is kept as text, so that an unknown one does not
/// invalidate the others.
#[derive(Deserialize)]
struct MessageState {
    id: String,
    state: String,
}

impl BatchStates {
    /// Parses the body of a response. A body that cannot be parsed counts as one without any states.
    pub fn parse(body: &[u8]) -> Self {
        BatchStates(serde_json::from_slice(body).unwrap_or_default())
    }

    /// Returns the outcome of the message with this id. A message without a state, with an unknown state, or with two
    /// states may have run. `retry_after` is the Retry-After of the response.
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
