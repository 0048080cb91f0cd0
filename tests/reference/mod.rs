//! The oracle of the differential test: the decision module as the plain full look-through that it once was, frozen.
//!
//! At each step it looks through everything: all waiting destinations and their messages, all calls, all routes and,
//! at each change of the list, all endpoints. That is slow and plainly right, as nothing can be forgotten that is
//! looked at each time. The product's module looks only at what has changed or come due, and has to decide the same;
//! `same_decisions.rs` plays the same histories to both and compares.
//!
//! `scheduler.rs` and `state.rs` are copies. They are not to be made faster or tidier. A decision that is changed on
//! purpose in `src/scheduler/` is changed here by the same lines, in the same commit, in the form that looks through
//! everything; a difference that the test shows without such a purpose is a fault of the product. The types of
//! `interface.rs` are the product's own. `reached` counts which branches the histories took, and decides nothing.

pub mod scheduler;
pub mod state;

/// What both share: types only.
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

/// Notes that a history came by here.
pub fn reached(place: &'static str) {
    REACHED.with_borrow_mut(|places| *places.entry(place).or_default() += 1);
}

/// How often this thread's histories came by each place.
pub fn all_reached() -> BTreeMap<&'static str, u64> {
    REACHED.with_borrow(Clone::clone)
}
