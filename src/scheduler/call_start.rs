//! Starts calls: chooses the messages of a call, and whether it reuses a connection.

use super::connection_reuse::{IdleConnections, NextCall};
use super::idempotency;
use super::retry;
use super::state::ready_index::Revisit;
use super::state::{Call, CallId, RouteId};
use super::Scheduler;
use crate::model::*;
use std::time::Duration;

impl Scheduler {
    /// Starts a call with `first_message` and, if a call can carry more, further waiting messages.
    pub(super) fn start_call(
        &mut self,
        now: Time,
        route_id: RouteId,
        endpoint_id: EndpointId,
        first_message: MessageId,
    ) {
        let connection_idle_time = self.prepare_connection(now, endpoint_id, first_message);
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else { return };
        endpoint.calls_in_flight += 1;
        let zone = endpoint.entry.zone;
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        route.rate_limit.take_token(now);
        route.circuit.on_call_sent();
        let max_messages = if route.circuit.probe_may_be_lost() { 1 } else { route.batch_size };
        route.schedule_probe(now, &self.settings, self.rng.f64());
        self.last_call = self.last_call.next();
        let call_id = self.last_call;
        route.calls.insert(call_id);
        let mut messages = Vec::new();
        let mut next = Some(first_message);
        while let Some(message) = next {
            self.start_attempt(now, call_id, route_id, endpoint_id, message);
            messages.push(message);
            next = if messages.len() == max_messages {
                None
            } else {
                self.choose_message(now, route_id, &[zone], &mut Revisit::default()).map(|chosen| chosen.id)
            };
        }
        let call = Call {
            route: route_id,
            endpoint: endpoint_id,
            zone,
            sent_at: now,
            unfinished_attempts: messages.len(),
            messages,
            connection_idle_time,
            is_unresponsive: false,
            is_cancelled: false,
        };
        self.calls.insert(call_id, call);
        self.schedule_response_check(route_id);
    }

    fn start_attempt(
        &mut self,
        now: Time,
        call_id: CallId,
        route_id: RouteId,
        endpoint: EndpointId,
        message_id: MessageId,
    ) {
        let Some(message) = self.messages.get_mut(&message_id) else { return };
        let deadline = message.accepted.deadline;
        let attempt_timeout = match self.routes.get(&route_id) {
            Some(route) => retry::attempt_timeout(&self.settings, now, message, &route.latency),
            None => deadline - now,
        };
        // `send_within` is set per message, as other messages of the call may have more time until the
        // connection is open.
        let last_send_at = idempotency::last_send_at(&self.settings, message);
        let send_within = last_send_at.map_or(deadline, |last| last.min(deadline)) - now;
        message.attempts += 1;
        message.call = Some(call_id);
        let message = message_id;
        self.actions.push(Action::StartAttempt { message, endpoint, attempt_timeout, send_within });
        self.update_queue_state(message_id);
    }

    /// Closes the idle connections to an endpoint if reusing one is too risky. Returns how long the
    /// connection of the next call has been idle, if that is certain.
    fn prepare_connection(
        &mut self,
        now: Time,
        endpoint_id: EndpointId,
        first_message: MessageId,
    ) -> Option<Duration> {
        let endpoint = self.endpoints.get(&endpoint_id)?;
        let idle = now - endpoint.connection_used_at?;
        if idle >= self.settings.connection_idle_timeout {
            return None;
        }
        let message = self.messages.get(&first_message);
        let call = NextCall {
            idle,
            is_only_call: endpoint.calls_in_flight == 0,
            is_resendable: message
                .is_some_and(|message| idempotency::is_resendable(message.class(&self.settings))),
        };
        match self.connection_reuse.decide(now, &self.settings, &call) {
            IdleConnections::Reuse(idle) => idle,
            IdleConnections::Close => {
                self.actions.push(Action::CloseIdleConnections { endpoint: endpoint_id });
                None
            }
        }
    }
}
