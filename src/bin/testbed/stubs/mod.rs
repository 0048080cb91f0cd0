//! Stubs of what surrounds a real gateway, on loopback: endpoints, discovery's agent and clients; and the gateway's own
//! process. The tests use them as well.
//!
//! The system chooses all ports, what a peer sends is never trusted, and each connection has a thread of its own, which
//! ends with the connection.

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

/// Locks what the threads of stubs share. It stays consistent also if one of them has panicked.
pub fn locked<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
