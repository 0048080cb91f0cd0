//! What an endpoint makes of a call.

use super::history::{ms, Behavior};
use delivery_gateway::*;
use std::time::Duration;

/// What an attempt comes to, and after how long.
pub struct Response {
    pub takes: Duration,
    pub outcome: AttemptOutcome,
    pub load_report: Option<LoadReport>,
}

impl Response {
    fn new(takes: Duration, outcome: AttemptOutcome) -> Self {
        Response { takes, outcome, load_report: None }
    }

    fn with_headroom(self, headroom: f64, limit_per_sec: f64) -> Self {
        Response { load_report: Some(LoadReport { headroom, limit_per_sec }), ..self }
    }
}

/// The response of an endpoint that behaves so. `draw` is the random number of the attempt.
pub fn respond(behavior: Behavior, draw: u64, weight: f64, attempt_timeout: Duration) -> Response {
    let soon = ms(15 + 5 * (draw % 8));
    let delivered = || Response::new(soon, AttemptOutcome::Delivered);
    let rejected = |retry_after| Response::new(soon, AttemptOutcome::Rejected(retry_after));
    match behavior {
        Behavior::Healthy => delivered(),
        Behavior::Reporting => delivered().with_headroom((draw % 11) as f64 / 10.0, weight),
        Behavior::OverLimit if draw.is_multiple_of(3) => delivered(),
        Behavior::OverLimit if draw.is_multiple_of(2) => rejected(None).with_headroom(0.0, weight),
        Behavior::OverLimit => rejected(None),
        Behavior::Closed => rejected(None).with_headroom(0.8, weight),
        Behavior::RetryAfter(wait_ms) => rejected(Some(ms(wait_ms))),
        Behavior::ConnectionRefused => Response::new(ms(1), AttemptOutcome::ConnectFailed),
        Behavior::Slow(takes_ms) if attempt_timeout > ms(takes_ms) => {
            Response::new(ms(takes_ms), AttemptOutcome::Delivered)
        }
        Behavior::Unresponsive | Behavior::Slow(_) => Response::new(attempt_timeout, AttemptOutcome::Timeout),
        Behavior::Lossy if draw.is_multiple_of(2) => Response::new(soon, AttemptOutcome::Reset),
        Behavior::Lossy => delivered(),
        Behavior::ErrorResponses => Response::new(soon, AttemptOutcome::ErrorResponse),
        Behavior::UncommonOutcomes => Response::new(soon, uncommon_outcome(draw)),
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
