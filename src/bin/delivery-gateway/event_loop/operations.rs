//! Executes the requests of operators at the admin endpoint.
//!
//! Disabling an endpoint is recorded in the journal before the request succeeds, and stays in force across a restart.
//! Lame duck mode lasts until operators switch it off or the process ends; a handover passes it on to the successor.

use delivery_gateway::{Event, Time};
use tracing::info;

use super::EventLoop;
use crate::events::{AdminOperation, AdminResult, ServicePhase};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointSwitch {
    Disable,
    Enable,
}

impl EventLoop {
    pub(super) fn execute_operation(&mut self, now: Time, operation: &AdminOperation) -> AdminResult {
        match operation {
            AdminOperation::DisableEndpoint(uid) => self.switch_endpoint(now, uid, EndpointSwitch::Disable),
            AdminOperation::EnableEndpoint(uid) => self.switch_endpoint(now, uid, EndpointSwitch::Enable),
            AdminOperation::LameDuck(on) => {
                self.set_lame_duck(now, *on);
                AdminResult::Done
            }
        }
    }

    fn switch_endpoint(&mut self, now: Time, uid: &str, switch: EndpointSwitch) -> AdminResult {
        let disables = switch == EndpointSwitch::Disable;
        let is_disabled = self.journal.state.disabled_endpoints.contains(uid);
        if !is_disabled && !self.journal.state.endpoints.contains_key(uid) {
            return AdminResult::UnknownEndpoint;
        }
        if disables == is_disabled {
            return AdminResult::Done;
        }
        let recorded = self.journal.record_endpoint_disabled(uid, disables);
        if !self.journal_errors.log_failure(recorded) {
            return AdminResult::NotRecorded;
        }
        info!(uid, ?switch, "endpoint switched by operators");
        match switch {
            EndpointSwitch::Disable => self.disable_endpoint(now, uid),
            EndpointSwitch::Enable => self.enable_endpoint(now, uid),
        }
        AdminResult::Done
    }

    fn set_lame_duck(&mut self, now: Time, on: bool) {
        info!(on, pending = self.journal.state.pending.len(), "lame duck mode switched by operators");
        self.scheduler.handle(now, Event::LameDuck(on));
        let phase = ServicePhase::in_service(on);
        self.channels.phase.send_if_modified(|current| {
            // Lame duck mode doesn't interrupt a shutdown or a handover.
            let can_change = matches!(*current, ServicePhase::Serving | ServicePhase::LameDuck);
            let has_changed = can_change && *current != phase;
            if has_changed {
                *current = phase;
            }
            has_changed
        });
    }
}
