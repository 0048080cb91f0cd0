//! How the process's limits are shared out: each part keeps to its own share, and evicts idle connections inside it.

use crate::config::ResourceLimits;
use crate::event_loop::IDLE_CONNECTIONS_PER_SLOT;
use crate::resp2::ClientLimits;

/// Descriptors for files, the runtime, the listener, discovery and notifications.
const OTHER_DESCRIPTORS: usize = 32;
/// Clients hold a third of the descriptors at most: half of that may be idle.
const DESCRIPTORS_PER_IDLE_CLIENT: usize = 6;
/// Requests of more than a few KiB, of 68 KiB at most, that are read at a time: an eighth of the memory.
const LONG_REQUESTS_PER_MB: f64 = 2.0;

/// The shares of the parts.
pub struct ResourceBudget {
    /// What clients' connections may take.
    pub clients: ClientLimits,
    /// Descriptors for endpoints: calls in flight, calls that are ending, and idle connections.
    pub endpoint_sockets: usize,
}

impl ResourceBudget {
    /// At most half of the descriptors goes to endpoints.
    pub fn new(limits: &ResourceLimits, call_slots: usize) -> Self {
        let shared = limits.descriptors.saturating_sub(OTHER_DESCRIPTORS);
        let endpoint_sockets = ((2 + IDLE_CONNECTIONS_PER_SLOT) * call_slots).min(shared / 2).max(1);
        let clients = ClientLimits {
            connections: shared.saturating_sub(endpoint_sockets).max(2),
            idle: (limits.descriptors / DESCRIPTORS_PER_IDLE_CLIENT).max(1),
            long_requests: (limits.memory_mb * LONG_REQUESTS_PER_MB) as usize,
        };
        ResourceBudget { clients, endpoint_sockets }
    }
}
