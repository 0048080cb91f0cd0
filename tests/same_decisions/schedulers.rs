//! The scheduler under test and the reference, which handle the same events.

use super::reference;
use delivery_gateway::*;
use proptest::test_runner::TestCaseError;

pub struct SchedulerPair {
    /// The scheduler under test.
    pub tested: Scheduler,
    pub reference: reference::Scheduler,
}

impl SchedulerPair {
    pub fn new(settings: &Settings, seed: u64) -> Self {
        SchedulerPair {
            tested: Scheduler::new(settings.clone(), seed),
            reference: reference::Scheduler::new(settings.clone(), seed),
        }
    }

    pub fn handle(&mut self, now: Time, event: Event) {
        self.tested.handle(now, event.clone());
        self.reference.handle(now, event);
    }

    /// Hands both over to other processes, serialized as in a handover.
    pub fn handed_over(self, settings: &Settings, seed: u64) -> Result<Self, TestCaseError> {
        let successor = SchedulerPair::new(settings, seed);
        let bytes = postcard::to_stdvec(&self.tested).map_err(not_handed_over)?;
        let tested: Scheduler = postcard::from_bytes(&bytes).map_err(not_handed_over)?;
        let bytes = postcard::to_stdvec(&self.reference).map_err(not_handed_over)?;
        let reference: reference::Scheduler = postcard::from_bytes(&bytes).map_err(not_handed_over)?;
        Ok(SchedulerPair {
            tested: tested.resumed(successor.tested),
            reference: reference.resumed(successor.reference),
        })
    }
}

fn not_handed_over(error: postcard::Error) -> TestCaseError {
    TestCaseError::fail(format!("cannot be handed over: {error}"))
}
