//! What simulated endpoints do with calls: after how long they respond, and with what. It owns no clock and no socket.

use delivery_gateway::{AttemptOutcome, EndpointId, LoadReport, Time};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How endpoints behave.
#[derive(Clone, Debug)]
pub struct Script {
    /// From a call to its response ...
    pub latency: Duration,
    /// ... and up to so much longer, by chance.
    pub jitter: Duration,
    /// From a call to the refusal of a connection by an endpoint that is down.
    pub connect_failure_latency: Duration,
    /// Calls a second that one endpoint serves before it rejects others; no limit if absent.
    pub limit_per_sec: Option<f64>,
    /// The load report of each response.
    pub load_report: Option<LoadReport>,
    /// Endpoints that refuse connections.
    pub down: BTreeSet<EndpointId>,
}

impl Script {
    /// All calls are served, after some time.
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

/// Calls that an endpoint can serve at once.
struct TokenBucket {
    tokens: f64,
    filled_at: Time,
}

impl TokenBucket {
    /// Fills up to the tokens of one second, and takes one if there is one.
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

/// Endpoints that follow a script, with a random source of their own.
pub struct ScriptedEndpoints {
    script: Script,
    random: fastrand::Rng,
    token_buckets: HashMap<EndpointId, TokenBucket>,
}

impl ScriptedEndpoints {
    pub fn new(script: Script, seed: u64) -> Self {
        ScriptedEndpoints { script, random: fastrand::Rng::with_seed(seed), token_buckets: HashMap::new() }
    }

    /// The load report of each response.
    pub fn load_report(&self) -> Option<LoadReport> {
        self.script.load_report
    }

    /// The outcome of a call that is made now, and after how long it is known.
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
