//! Divides the process's resource limits between its parts. Each part stays within its share, and closes its own idle
//! connections to do so.

use crate::config::ResourceLimits;
use crate::event_loop::IDLE_CONNECTIONS_PER_SLOT;
use crate::resp2::ClientLimits;

/// The descriptors reserved for files, the runtime, the listener, discovery and notifications.
const OTHER_DESCRIPTORS: usize = 32;
/// The number of descriptors per idle client connection. Clients limit themselves to a third of the descriptors, and
/// half of those may be idle.
const DESCRIPTORS_PER_IDLE_CLIENT: usize = 6;
/// The maximum number of long requests that are read at the same time, per MB of memory. A long request has more than a
/// few KiB and at most 68 KiB. Together they take up to about an eighth of the memory.
const LONG_REQUESTS_PER_MB: f64 = 2.0;

/// The shares of the gateway's parts.
pub struct ResourceBudget {
    /// The limits of clients' connections.
    pub clients: ClientLimits,
    /// The maximum number of descriptors for endpoints: calls in flight, calls that are ending, and idle connections.
    pub endpoint_sockets: usize,
}

impl ResourceBudget {
    /// Divides the limits. Endpoints get at most half of the descriptors that are not reserved.
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
