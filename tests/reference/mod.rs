//! The reference of the differential test `tests/same_decisions/`: the scheduler as it once was, frozen.
//!
//! At each step it looks through everything: all waiting destinations and their messages, all calls, all routes and, at
//! each change of the endpoint list, all endpoints. That is slow and easily seen to be right, as nothing that is looked
//! at each time can be forgotten. The product's scheduler looks only at what has changed or come due, and has to decide
//! the same.
//!
//! `scheduler.rs` and `state.rs` are copies, and keep the names that the code had when they were made. They are not to
//! be made faster or tidier. When a decision is changed on purpose in `src/scheduler/`, the same change is made here, in
//! the same commit, in the form that looks through everything. A difference that the test shows without such a purpose
//! is a fault of the product. The types of events and actions are the product's own. [`reached`] counts which branches
//! the histories took, and decides nothing.

pub mod scheduler;
pub mod state;

/// The types that both schedulers share, under the name that the copies import.
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

/// Counts that a history reached a branch or an event.
pub fn reached(what: &'static str) {
    REACHED.with_borrow_mut(|counts| *counts.entry(what).or_default() += 1);
}

/// How often this thread's histories reached each branch and event.
pub fn all_reached() -> BTreeMap<&'static str, u64> {
    REACHED.with_borrow(Clone::clone)
}
