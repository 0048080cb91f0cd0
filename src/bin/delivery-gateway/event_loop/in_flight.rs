//! Tracks the attempts in flight: the call and the endpoint of each message, and the handle that stops the call.
//!
//! Several messages can share one call; stopping it ends the attempt of each. This module neither starts calls nor
//! handles their results.

use delivery_gateway::{EndpointId, MessageId};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;

use crate::events::StopReason;
use crate::http_client::Descriptor;

/// A call in flight, as a successor process needs it.
#[derive(Debug, Serialize, Deserialize)]
pub struct InFlightCall {
    pub endpoint: EndpointId,
    /// The messages that share the call.
    pub messages: Vec<MessageId>,
    /// Whether the first byte of the request has been sent or is about to be.
    pub(super) is_sent: bool,
}

/// A handle that stops a call. The messages of the call share it.
pub(super) struct CallHandle {
    stop: Cell<Option<oneshot::Sender<StopReason>>>,
    /// Whether the first byte of the request has been sent or is about to be.
    is_sent: Rc<Cell<bool>>,
    /// For a call of the predecessor process: counts the descriptor that the call uses there.
    _remote_descriptor: Option<Descriptor>,
}

impl CallHandle {
    /// Creates the handle of a call of this process. The call sets `is_sent`, and stops when the receiver gets a reason
    /// or the handle aborts the call.
    pub(super) fn new(is_sent: Rc<Cell<bool>>) -> (Rc<Self>, oneshot::Receiver<StopReason>) {
        CallHandle::stoppable(is_sent, None)
    }

    /// Creates the handle of a call of the predecessor process. The receiver gets the reason to stop the call there.
    pub(super) fn of_predecessor(
        is_sent: bool,
        descriptor: Descriptor,
    ) -> (Rc<Self>, oneshot::Receiver<StopReason>) {
        CallHandle::stoppable(Rc::new(Cell::new(is_sent)), Some(descriptor))
    }

    /// Creates the handle of an attempt that was not sent. It is used until the attempt's result has been handled.
    pub(super) fn not_started() -> Rc<Self> {
        Rc::new(CallHandle { stop: Cell::default(), is_sent: Rc::default(), _remote_descriptor: None })
    }

    fn stoppable(
        is_sent: Rc<Cell<bool>>,
        remote_descriptor: Option<Descriptor>,
    ) -> (Rc<Self>, oneshot::Receiver<StopReason>) {
        let (stop, stopped) = oneshot::channel();
        let handle =
            CallHandle { stop: Cell::new(Some(stop)), is_sent, _remote_descriptor: remote_descriptor };
        (Rc::new(handle), stopped)
    }

    fn stop(&self, reason: StopReason) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(reason);
        }
    }

    /// Aborts a call of this process, whether or not its request has been sent. A call of the predecessor process
    /// continues there.
    fn abort(&self) {
        drop(self.stop.take());
    }
}

/// The attempt of one message.
pub(super) struct InFlightAttempt {
    pub(super) endpoint: EndpointId,
    /// The index of the attempt among those of its message, from 0.
    pub(super) attempt: u16,
    pub(super) call: Rc<CallHandle>,
}

/// All attempts in flight. A message has at most one.
#[derive(Default)]
pub(super) struct InFlightCalls {
    attempts: HashMap<MessageId, InFlightAttempt>,
}

impl InFlightCalls {
    pub(super) fn insert(&mut self, message: MessageId, attempt: InFlightAttempt) {
        self.attempts.insert(message, attempt);
    }

    pub(super) fn remove(&mut self, message: MessageId) -> Option<InFlightAttempt> {
        self.attempts.remove(&message)
    }

    pub(super) fn contains(&self, message: MessageId) -> bool {
        self.attempts.contains_key(&message)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the number of messages in flight.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    pub(super) fn messages(&self) -> HashSet<MessageId> {
        self.attempts.keys().copied().collect()
    }

    /// Returns the endpoints with calls in flight.
    pub(super) fn endpoints(&self) -> HashSet<EndpointId> {
        self.attempts.values().map(|attempt| attempt.endpoint).collect()
    }

    /// Stops the call of a message, which ends the attempts of all messages that share the call. A call that is sent
    /// can be cancelled, but no longer withdrawn.
    pub(super) fn stop(&self, message: MessageId, reason: StopReason) {
        if let Some(attempt) = self.attempts.get(&message) {
            if reason == StopReason::Cancelled || !attempt.call.is_sent.get() {
                attempt.call.stop(reason);
            }
        }
    }

    /// Withdraws the calls that are still connecting to the selected endpoints. Once connected, they would be new work
    /// for an endpoint that is draining, removed or disabled, or calls before its `Retry-After` has passed.
    pub(super) fn withdraw(&self, is_selected: impl Fn(EndpointId) -> bool) {
        let unsent = self.attempts.values().filter(|attempt| !attempt.call.is_sent.get());
        for attempt in unsent.filter(|attempt| is_selected(attempt.endpoint)) {
            attempt.call.stop(StopReason::Withdrawn);
        }
    }

    /// Aborts all calls of this process.
    pub(super) fn abort_all(&self) {
        self.attempts.values().for_each(|attempt| attempt.call.abort());
    }

    /// Returns the calls in flight, each with all of its messages.
    pub(super) fn calls(&self) -> Vec<InFlightCall> {
        let mut calls: Vec<(&Rc<CallHandle>, InFlightCall)> = Vec::new();
        for (message, attempt) in &self.attempts {
            match calls.iter_mut().find(|(handle, _)| Rc::ptr_eq(handle, &attempt.call)) {
                Some((_, call)) => call.messages.push(*message),
                None => {
                    let call = InFlightCall {
                        endpoint: attempt.endpoint,
                        messages: vec![*message],
                        is_sent: attempt.call.is_sent.get(),
                    };
                    calls.push((&attempt.call, call));
                }
            }
        }
        calls.into_iter().map(|(_, call)| call).collect()
    }
}
