//! The response of an endpoint to an attempt, by the endpoint's behavior.

use super::history::{ms, Behavior};
use delivery_gateway::*;
use std::time::Duration;

/// The outcome of an attempt, its load report, and the time from its start to the response.
pub struct Response {
    pub duration: Duration,
    pub outcome: AttemptOutcome,
    pub load_report: Option<LoadReport>,
}

impl Response {
    fn new(duration: Duration, outcome: AttemptOutcome) -> Self {
        Response { duration, outcome, load_report: None }
    }

    fn with_headroom(self, headroom: f64, limit_per_sec: f64) -> Self {
        Response { load_report: Some(LoadReport { headroom, limit_per_sec }), ..self }
    }
}

/// Returns the response of an endpoint. `draw` is the attempt's random number; `capacity_hint` is the endpoint's, in
/// calls a second.
pub fn respond(behavior: Behavior, draw: u64, capacity_hint: f64, attempt_timeout: Duration) -> Response {
    let latency = ms(15 + 5 * (draw % 8));
    let delivered = || Response::new(latency, AttemptOutcome::Delivered);
    let rejected = |retry_after| Response::new(latency, AttemptOutcome::Rejected(retry_after));
    match behavior {
        Behavior::Healthy => delivered(),
        Behavior::Reporting => delivered().with_headroom((draw % 11) as f64 / 10.0, capacity_hint),
        Behavior::OverLimit if draw.is_multiple_of(3) => delivered(),
        Behavior::OverLimit if draw.is_multiple_of(2) => rejected(None).with_headroom(0.0, capacity_hint),
        Behavior::OverLimit => rejected(None),
        Behavior::Closed => rejected(None).with_headroom(0.8, capacity_hint),
        Behavior::RetryAfter(wait_ms) => rejected(Some(ms(wait_ms))),
        Behavior::ConnectionRefused => Response::new(ms(1), AttemptOutcome::ConnectFailed),
        Behavior::Slow(duration_ms) if attempt_timeout > ms(duration_ms) => {
            Response::new(ms(duration_ms), AttemptOutcome::Delivered)
        }
        Behavior::Unresponsive | Behavior::Slow(_) => Response::new(attempt_timeout, AttemptOutcome::Timeout),
        Behavior::Lossy if draw.is_multiple_of(2) => Response::new(latency, AttemptOutcome::Reset),
        Behavior::Lossy => delivered(),
        Behavior::ErrorResponses => Response::new(latency, AttemptOutcome::ErrorResponse),
        Behavior::UncommonOutcomes => Response::new(latency, uncommon_outcome(draw)),
    }
}

fn uncommon_outcome(draw: u64) -> AttemptOutcome {
    const UNCOMMON: [AttemptOutcome; 7] = [
        AttemptOutcome::MalformedResponse,
        AttemptOutcome::TooManyConnections,
        AttemptOutcome::NotSent,
        AttemptOutcome::LocalFailure,
        AttemptOutcome::AttemptsExhausted,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Rejected(Some(Duration::ZERO)),
    ];
    UNCOMMON[(draw % UNCOMMON.len() as u64) as usize]
}
