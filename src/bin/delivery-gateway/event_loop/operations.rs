//! What operators ask at the admin endpoint. A disabled endpoint is in the journal before the request succeeds, and
//! stays disabled after a restart. The lame duck lasts until the process ends, or is handed over.

use delivery_gateway::{Event, Time};
use tracing::info;

use super::EventLoop;
use crate::events::{AdminOperation, AdminResult, ServicePhase};

/// What operators do to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointSwitch {
    Disable,
    Enable,
}

impl EventLoop {
    pub(super) fn operate(&mut self, now: Time, operation: &AdminOperation) -> AdminResult {
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
        let disable = switch == EndpointSwitch::Disable;
        let is_disabled = self.journal.state.disabled_endpoints.contains(uid);
        if !is_disabled && !self.journal.state.endpoints.contains_key(uid) {
            return AdminResult::UnknownEndpoint;
        }
        if disable == is_disabled {
            return AdminResult::Done;
        }
        let recorded = self.journal.record_endpoint_disabled(uid, disable);
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
            // Neither a shutdown nor a handover is interrupted.
            let may_change = !matches!(*current, ServicePhase::ShuttingDown | ServicePhase::HandingOver);
            let changed = may_change && *current != phase;
            if changed {
                *current = phase;
            }
            changed
        });
    }
}
