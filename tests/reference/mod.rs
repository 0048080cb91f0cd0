//! The reference of the differential test `tests/same_decisions/`: a frozen copy of an earlier scheduler.
//!
//! At each step it visits everything: all waiting destinations and their messages, all calls, all routes and, at each
//! change of the endpoint list, all endpoints. That is slow but easily seen to be correct, as no visit can be missed.
//! The scheduler under test, which is the library's, visits only what has changed or come due, and has to decide the
//! same.
//!
//! `scheduler.rs` and `state.rs` are copies: they share no code with `src/scheduler/`, only the types of events,
//! actions and settings. They are not to be made faster or tidier; their names and comments use its terms. A decision
//! that is changed on purpose in `src/scheduler/` is changed here in the same commit, in the form that visits
//! everything. Any other difference that the test shows is a fault of the scheduler under test. [`reached`] counts
//! which branches the histories took, and decides nothing.

pub mod scheduler;
pub mod state;

/// The library's types of events, actions and settings, under the name that the copies import.
mod interface {
    pub use delivery_gateway::{
        AcceptedMessage, Action, AttemptOutcome, Availability, CapacityHints, CircuitRecord, Class, Decay,
        DeduplicationScope, DestinationId, Endpoint, EndpointId, EndpointUpdate, Event, FinishedAttempt,
        Idempotency, MessageId, OrderingKey, RestoredMessage, RouteStatus, SentAttempt, Settings, TenantId,
        Time, ZoneId,
    };
}

pub use scheduler::Scheduler;

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static REACHED: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Counts one more time that a history of this thread reached a branch or an event.
pub fn reached(name: &'static str) {
    REACHED.with_borrow_mut(|counts| *counts.entry(name).or_default() += 1);
}

/// Returns how often this thread's histories reached each branch and event.
pub fn all_reached() -> BTreeMap<&'static str, u64> {
    REACHED.with_borrow(Clone::clone)
}
