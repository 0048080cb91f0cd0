//! Stubs of the peers of a real gateway on loopback: endpoints, discovery's agent and clients; and the gateway's own
//! process. The tests use them as well.
//!
//! The operating system chooses all ports. Each connection to an endpoint or an agent has its own thread, which ends
//! with the connection. A request that cannot be read ends its connection.

mod client;
mod configuration;
pub mod discovery;
mod endpoint;
mod http;
mod process;

pub use client::{encode_command, Client};
pub use configuration::{class, target, Configuration};
pub use discovery::Agent;
pub use endpoint::{serve_calls, Call, StubEvent};
pub use http::serve;
pub use process::{address_in, Process};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks state that the threads of stubs share. A poisoned lock is taken as well, because the state stays consistent
/// when a thread panics.
pub fn locked<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
