//! The steps of a history, as the simulation runs them.

use super::comparison::Sides;
use super::history::{ms, Behavior, Offset, Scope, Step};
use super::reference::reached;
use super::schedulers::SchedulerPair;
use super::simulation::{PendingMessage, Simulation};
use delivery_gateway::*;
use proptest::test_runner::TestCaseError;
use std::time::Duration;

impl Simulation {
    /// Runs one step. The history says whether a decision follows.
    pub fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Pass { ms: span, late_timers } => self.advance(self.now + ms(span), late_timers, false)?,
            Step::ToTimer(offset) => self.advance_to_timer(offset)?,
            Step::ToRetryAfterEnd(selector, offset) => self.advance_to_retry_after_end(selector, offset)?,
            Step::Accept(ref messages) => {
                for _ in 0..u32::from(messages.count) * u32::from(self.scenario.message_multiplier) {
                    self.accept(messages)?;
                }
            }
            Step::SetBehavior { selector, scope, behavior } => self.set_behavior(selector, scope, behavior),
            Step::Finish { selector, behavior } => self.finish_at_once(selector, behavior),
            Step::RetryAfter(selector, delay_ms) => self.retry_after(selector, ms(delay_ms)),
            Step::Abandon(selector) => self.abandon(selector),
            Step::SetAvailability(selector, availability) => self.set_availability(selector, availability),
            Step::Reopen(selector) => self.reopen(selector),
            Step::SetCapacityHint(selector, hint) => {
                if let Some(id) = self.pick_endpoint(selector) {
                    self.change_endpoint(id, |endpoint| endpoint.capacity_hint = hint);
                }
            }
            Step::NewEndpoint(selector) => self.add_endpoint(selector),
            Step::Snapshot(without_every) => self.remove_some_and_send_snapshot(without_every),
            Step::WatchFails { rejected } => self.fail_watch(rejected),
            Step::Disable(selector) => self.disable(selector),
            Step::Enable(selector) => self.enable(selector),
            Step::LameDuck(on) => {
                reached("lame duck");
                self.handle(Event::LameDuck(on));
            }
            Step::Shutdown(after_ms) => self.schedule_shutdown(after_ms),
            Step::Restart => self.restart()?,
            Step::HandOver => self.hand_over()?,
            Step::Query(destination) => self.query(destination % self.scenario.destinations)?,
        }
        Ok(())
    }

    /// Advances to a moment near the one when the timers fire. If it is after that one, the timers fire late.
    fn advance_to_timer(&mut self, offset: Offset) -> Result<(), TestCaseError> {
        let Some((first, last)) = self.timer_times() else { return Ok(()) };
        reached(match offset.0 {
            0 => "at the timer",
            ..0 => "just before the timer",
            _ => "just after the timer",
        });
        let at = if offset.is_before() { first } else { last };
        self.advance(offset.from(at), offset.is_after(), offset.is_before())
    }

    /// Advances to a moment near the end of a Retry-After. If it is after the end, timers fire late.
    fn advance_to_retry_after_end(&mut self, selector: usize, offset: Offset) -> Result<(), TestCaseError> {
        let ends: Vec<Time> = self.retry_after_ends.iter().copied().collect();
        let Some(end) = pick(&ends, selector) else { return Ok(()) };
        reached(match offset.0 {
            0 => "at the end of a Retry-After",
            ..0 => "just before the end of a Retry-After",
            _ => "just after the end of a Retry-After",
        });
        self.advance(offset.from(*end), offset.is_after(), offset.is_before())
    }

    fn set_behavior(&mut self, selector: usize, scope: Scope, behavior: Behavior) {
        let Some(id) = self.pick_endpoint(selector) else { return };
        let chosen = &self.endpoints[&id];
        let is_affected = |endpoint: &&Endpoint| match scope {
            Scope::Endpoint => endpoint.id == chosen.id,
            Scope::Destination => endpoint.destination == chosen.destination,
            Scope::Zone => endpoint.zone == chosen.zone,
            Scope::All => true,
        };
        let affected = self.endpoints.values().filter(is_affected).map(|endpoint| endpoint.id.0);
        self.behaviors.extend(affected.map(|id| (id, behavior)));
    }

    /// Ends an attempt in flight now, with the outcome of this behavior. With a slow or unresponsive one it times out.
    fn finish_at_once(&mut self, selector: usize, behavior: Behavior) {
        let ids: Vec<u32> = self.in_flight.keys().copied().collect();
        let Some(&message) = pick(&ids, selector) else { return };
        let endpoint = self.in_flight[&message].endpoint;
        let response = self.response(behavior, message, endpoint, Duration::ZERO);
        let attempt = self.in_flight.get_mut(&message).expect("in flight");
        attempt.outcome = response.outcome;
        attempt.load_report = response.load_report;
        self.finish(message);
    }

    fn retry_after(&mut self, selector: usize, delay: Duration) {
        let Some(id) = self.pick_endpoint(selector) else { return };
        reached("Retry-After of a delivery");
        self.retry_after_ends.insert(self.now + delay);
        self.handle(Event::RetryAfter { endpoint: EndpointId(id), delay });
    }

    fn abandon(&mut self, selector: usize) {
        let open = self.pending.iter().filter(|(_, pending)| !pending.is_closed);
        let open: Vec<u32> = open.map(|(id, _)| *id).collect();
        let Some(&message) = pick(&open, selector) else { return };
        reached("message abandoned");
        self.pending.get_mut(&message).expect("pending").is_closed = true;
        self.handle(Event::MessageAbandoned(MessageId(message)));
        self.forget_if_completed(message);
    }

    fn pick_endpoint(&self, selector: usize) -> Option<u32> {
        let ids: Vec<u32> = self.endpoints.keys().copied().collect();
        pick(&ids, selector).copied()
    }

    /// Changes an endpoint, and sends the change in a delta.
    fn change_endpoint(&mut self, id: u32, change: impl FnOnce(&mut Endpoint)) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        change(endpoint);
        let endpoint = endpoint.clone();
        self.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![endpoint])));
    }

    fn set_availability(&mut self, selector: usize, availability: Availability) {
        let Some(id) = self.pick_endpoint(selector) else { return };
        match availability {
            Availability::Ready => {}
            Availability::Draining => reached("endpoint drained"),
            Availability::Removed => reached("endpoint removed"),
        }
        self.change_endpoint(id, |endpoint| endpoint.availability = availability);
    }

    fn reopen(&mut self, selector: usize) {
        let draining =
            self.endpoints.values().filter(|endpoint| endpoint.availability == Availability::Draining);
        let ids: Vec<u32> = draining.map(|endpoint| endpoint.id.0).collect();
        if let Some(&id) = pick(&ids, selector) {
            self.change_endpoint(id, |endpoint| endpoint.availability = Availability::Ready);
        }
    }

    /// Lists a copy of an endpoint under a new id. Every other time it replaces a removed endpoint, if there is one.
    fn add_endpoint(&mut self, selector: usize) {
        let all: Vec<u32> = self.endpoints.keys().copied().collect();
        let is_removed = |id: &u32| self.endpoints[id].availability == Availability::Removed;
        let removed: Vec<u32> = all.iter().copied().filter(is_removed).collect();
        let ids = if selector.is_multiple_of(2) && !removed.is_empty() { removed } else { all };
        let Some(original) = pick(&ids, selector).map(|id| self.endpoints[id].clone()) else { return };
        if original.availability == Availability::Removed {
            reached("endpoint back under a new id");
            self.endpoints.remove(&original.id.0);
        }
        self.last_endpoint += 1;
        let id = self.last_endpoint;
        let endpoint = Endpoint { id: EndpointId(id), availability: Availability::Ready, ..original };
        self.endpoints.insert(id, endpoint);
        self.change_endpoint(id, |_| ());
    }

    fn remove_some_and_send_snapshot(&mut self, without_every: Option<usize>) {
        reached("snapshot");
        for (index, endpoint) in self.endpoints.values_mut().enumerate() {
            if without_every.is_some_and(|every| index % every == 1) {
                endpoint.availability = Availability::Removed;
            }
        }
        self.send_snapshot();
    }

    fn fail_watch(&mut self, rejected: bool) {
        let (name, update) = if rejected {
            ("watch rejected", EndpointUpdate::WatchRejected)
        } else {
            ("watch failed", EndpointUpdate::WatchFailed)
        };
        reached(name);
        self.handle(Event::EndpointsUpdated(update));
    }

    fn disable(&mut self, selector: usize) {
        let Some(id) = self.pick_endpoint(selector) else { return };
        reached("endpoint disabled");
        self.disabled.insert(id);
        self.handle(Event::EndpointDisabled(EndpointId(id)));
    }

    fn enable(&mut self, selector: usize) {
        let ids: Vec<u32> = self.disabled.iter().copied().collect();
        let Some(&id) = pick(&ids, selector) else { return };
        self.disabled.remove(&id);
        self.handle(Event::EndpointEnabled(EndpointId(id)));
    }

    fn schedule_shutdown(&mut self, after_ms: Option<u64>) {
        if after_ms.is_none() {
            reached("shutdown cancelled");
        }
        let at = after_ms.map_or(Time(u64::MAX), |after_ms| self.now + ms(after_ms));
        self.handle(Event::ShutdownScheduled(at));
    }

    /// Hands over to a successor. The predecessor first decides on the events since its last decision.
    fn hand_over(&mut self) -> Result<(), TestCaseError> {
        reached("handover");
        self.decide()?;
        self.processes += 1;
        let placeholder = SchedulerPair::new(&self.settings, 0);
        let schedulers = std::mem::replace(&mut self.schedulers, placeholder);
        self.schedulers = schedulers.handed_over(&self.settings, self.scenario.seed ^ self.processes)?;
        self.timers = Sides { tested: None, reference: None };
        Ok(())
    }

    /// Starts a new process after a kill. It restores the messages and circuits that the old one recorded; calls that
    /// were in flight have ended without a response.
    fn restart(&mut self) -> Result<(), TestCaseError> {
        reached("restart");
        self.decide()?;
        let circuits = self.compare_circuits()?;
        self.break_calls_in_flight();
        self.processes += 1;
        self.schedulers = SchedulerPair::new(&self.settings, self.scenario.seed ^ self.processes);
        self.recorded_circuits.clear();
        self.timers = Sides { tested: None, reference: None };
        self.watch_established_at = None;
        let tested = self.schedulers.tested.initial_watch_delay();
        let reference = self.schedulers.reference.initial_watch_delay();
        if tested != reference {
            return Err(self.difference("initial watch delays", &tested, &reference));
        }
        self.restore_messages();
        self.send_snapshot();
        for circuit in circuits {
            reached("circuit restored");
            self.handle(Event::CircuitRestored(circuit));
        }
        for id in self.disabled.clone() {
            self.handle(Event::EndpointDisabled(EndpointId(id)));
        }
        Ok(())
    }

    fn break_calls_in_flight(&mut self) {
        for (message, attempt) in std::mem::take(&mut self.in_flight) {
            let sent = self.sent_attempt(&attempt);
            if let Some(pending) = self.pending.get_mut(&message) {
                pending.first_uncertain_attempt.get_or_insert(sent);
            }
        }
    }

    /// Restores the messages in the order in which they were accepted, which is that of their ids.
    fn restore_messages(&mut self) {
        self.pending.retain(|_, pending| !pending.is_closed || pending.acknowledged_at.is_some());
        let restored: Vec<RestoredMessage> = self.pending.values().map(restored).collect();
        for message in restored {
            reached("message restored");
            self.handle(Event::MessageRestored(message));
        }
    }
}

fn restored(pending: &PendingMessage) -> RestoredMessage {
    RestoredMessage {
        message: pending.accepted.clone(),
        attempts: pending.attempts,
        first_uncertain_attempt: pending.first_uncertain_attempt,
        has_final_outcome: pending.is_closed,
    }
}

fn pick<T>(items: &[T], selector: usize) -> Option<&T> {
    items.get(selector.checked_rem(items.len())?)
}
