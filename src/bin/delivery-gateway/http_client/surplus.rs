//! Decides for how long a connection rests between two calls.
//!
//! An endpoint may send bytes that belong to no call: a second copy of a response, or noise behind it. Such bytes end
//! their connection wherever they are noticed. Those that arrive only after the next call has been sent would be taken
//! for its response. So a connection rests for as long as bytes that follow a response may be on their way, and for
//! longer while endpoints are known to send such bytes later than that.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum rest.
const MIN_REST: Duration = Duration::from_millis(5);
/// The maximum time for which a call waits for the end of a rest instead of opening a new connection.
pub const MAX_REST_WAIT: Duration = Duration::from_millis(10);
/// The maximum round trip that a rest allows for. A connect may take longer for other reasons.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(100);
/// The minimum rest while endpoints send surplus bytes.
const MIN_REST_AFTER_SURPLUS: Duration = Duration::from_millis(250);
/// The time for which surplus bytes are remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// When an endpoint last sent surplus bytes.
#[derive(Default)]
pub struct SurplusBytes {
    last_seen: Cell<Option<Instant>>,
}

impl SurplusBytes {
    /// Records that an endpoint has sent surplus bytes.
    pub fn record(&self) {
        self.last_seen.set(Some(Instant::now()));
    }

    /// Returns how long a connection rests that took `connect_time` to be opened. An endpoint's system may hold small
    /// writes back until the response is acknowledged, so that they arrive a round trip later.
    pub fn rest(&self, connect_time: Duration) -> Duration {
        let rest = MIN_REST + connect_time.min(MAX_ROUND_TRIP);
        match self.last_seen.get() {
            Some(seen) if seen.elapsed() < MEMORY => rest.max(MIN_REST_AFTER_SURPLUS),
            _ => rest,
        }
    }
}
