//! What operators ask at the admin endpoint. A success holds from then on, also for the next process.

use delivery_gateway::{Event, Time};
use tracing::info;

use super::EventLoop;
use crate::events::{AdminOperation, AdminResult, ServicePhase};

impl EventLoop {
    pub(super) fn operate(&mut self, now: Time, operation: &AdminOperation) -> AdminResult {
        match operation {
            AdminOperation::DisableEndpoint(uid) => self.operate_endpoint(now, uid, true),
            AdminOperation::EnableEndpoint(uid) => self.operate_endpoint(now, uid, false),
            AdminOperation::LameDuck(on) => {
                self.set_lame_duck(now, *on);
                AdminResult::Done
            }
        }
    }

    fn operate_endpoint(&mut self, now: Time, uid: &str, out: bool) -> AdminResult {
        let was_out = self.journal.state.disabled_endpoints.contains(uid);
        if !was_out && !self.journal.state.endpoints.contains_key(uid) {
            return AdminResult::UnknownEndpoint;
        }
        if out == was_out {
            return AdminResult::Done;
        }
        let recorded = self.journal.record_endpoint_disabled(uid, out);
        if !self.journal_errors.log_failure(recorded) {
            return AdminResult::NotRecorded;
        }
        info!(uid, out, "operators have changed what is left out");
        if out {
            self.disable_endpoint(now, uid);
        } else {
            self.enable_endpoint(now, uid);
        }
        AdminResult::Done
    }

    fn set_lame_duck(&mut self, now: Time, on: bool) {
        info!(on, held = self.journal.state.pending.len(), "operators have told to empty, or not to");
        self.scheduler.handle(now, Event::LameDuck(on));
        let phase = if on { ServicePhase::LameDuck } else { ServicePhase::Serving };
        self.phase.send_if_modified(|current| {
            // A process that is ending, or handing over, goes on with that.
            let may_change = !matches!(*current, ServicePhase::ShuttingDown | ServicePhase::HandingOver);
            let changed = may_change && *current != phase;
            if changed {
                *current = phase;
            }
            changed
        });
    }
}
