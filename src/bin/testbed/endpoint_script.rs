//! Simulated endpoints: determines the outcome and latency of each call. Uses no clock and no socket.

use delivery_gateway::{AttemptOutcome, EndpointId, LoadReport, Time};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The behavior of simulated endpoints.
#[derive(Clone, Debug)]
pub struct Script {
    /// The minimum time from a call to its response.
    pub latency: Duration,
    /// The maximum random time that is added to `latency`, drawn uniformly.
    pub jitter: Duration,
    /// The time from a call to an endpoint that is down until the connection is refused.
    pub connect_failure_latency: Duration,
    /// The calls per second that one endpoint serves; it rejects others. `None` means no limit.
    pub limit_per_sec: Option<f64>,
    /// The load report that each response carries, if any.
    pub load_report: Option<LoadReport>,
    /// Endpoints that refuse connections.
    pub down: BTreeSet<EndpointId>,
}

impl Script {
    /// Returns a script in which every call is served after `latency`.
    pub fn with_latency(latency: Duration) -> Self {
        Script {
            latency,
            jitter: Duration::ZERO,
            connect_failure_latency: latency,
            limit_per_sec: None,
            load_report: None,
            down: BTreeSet::new(),
        }
    }
}

/// The token bucket of an endpoint with a rate limit.
struct TokenBucket {
    tokens: f64,
    filled_at: Time,
}

impl TokenBucket {
    /// Refills the bucket, whose capacity is the tokens of one second but at least one token, and takes a token if
    /// there is one.
    fn try_take(&mut self, now: Time, limit_per_sec: f64) -> bool {
        let filled = self.tokens + (now - self.filled_at).as_secs_f64() * limit_per_sec;
        self.tokens = filled.min(limit_per_sec.max(1.0));
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Endpoints that follow a script. They have their own random number generator.
pub struct ScriptedEndpoints {
    script: Script,
    random: fastrand::Rng,
    token_buckets: HashMap<EndpointId, TokenBucket>,
}

impl ScriptedEndpoints {
    pub fn new(script: Script, seed: u64) -> Self {
        ScriptedEndpoints { script, random: fastrand::Rng::with_seed(seed), token_buckets: HashMap::new() }
    }

    /// Returns the load report that each response carries, if any.
    pub fn load_report(&self) -> Option<LoadReport> {
        self.script.load_report
    }

    /// Returns the outcome of a call made at `now`, and the time until the outcome is known.
    pub fn call(&mut self, now: Time, endpoint: EndpointId) -> (AttemptOutcome, Duration) {
        if self.script.down.contains(&endpoint) {
            return (AttemptOutcome::ConnectFailed, self.script.connect_failure_latency);
        }
        let latency = self.script.latency + self.script.jitter.mul_f64(self.random.f64());
        if let Some(limit_per_sec) = self.script.limit_per_sec {
            let bucket =
                self.token_buckets.entry(endpoint).or_insert(TokenBucket { tokens: 1.0, filled_at: now });
            if !bucket.try_take(now, limit_per_sec) {
                return (AttemptOutcome::Rejected(None), latency);
            }
        }
        (AttemptOutcome::Delivered, latency)
    }
}
