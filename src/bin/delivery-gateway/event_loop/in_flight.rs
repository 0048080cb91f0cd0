//! The attempts in flight: which message is in which call, where that call went, and how to stop it.
//!
//! Several messages can share one call; stopping it ends the attempt of each. Nothing here starts a call or judges
//! its result.

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
    /// Where it went.
    pub endpoint: EndpointId,
    /// The messages that share it.
    pub messages: Vec<MessageId>,
    /// Its first byte has left.
    pub(super) sent: bool,
}

/// A call that its messages share, as far as it can be stopped.
pub(super) struct CallHandle {
    stop: Cell<Option<oneshot::Sender<StopReason>>>,
    /// Its first byte has left.
    sent: Rc<Cell<bool>>,
    /// For a call of the predecessor process: stands for the descriptor that it holds there.
    _remote_descriptor: Option<Descriptor>,
}

impl CallHandle {
    /// A call of this process, which sets `sent` and listens to the receiver.
    pub(super) fn new(sent: Rc<Cell<bool>>) -> (Rc<Self>, oneshot::Receiver<StopReason>) {
        CallHandle::stoppable(sent, None)
    }

    /// A call that the predecessor process makes. The receiver gets the reason to stop it there.
    pub(super) fn of_predecessor(
        sent: bool,
        descriptor: Descriptor,
    ) -> (Rc<Self>, oneshot::Receiver<StopReason>) {
        CallHandle::stoppable(Rc::new(Cell::new(sent)), Some(descriptor))
    }

    /// Stands for an attempt that was not made, until its result has been handled.
    pub(super) fn not_started() -> Rc<Self> {
        Rc::new(CallHandle { stop: Cell::default(), sent: Rc::default(), _remote_descriptor: None })
    }

    fn stoppable(
        sent: Rc<Cell<bool>>,
        remote_descriptor: Option<Descriptor>,
    ) -> (Rc<Self>, oneshot::Receiver<StopReason>) {
        let (stop, stopped) = oneshot::channel();
        let handle = CallHandle { stop: Cell::new(Some(stop)), sent, _remote_descriptor: remote_descriptor };
        (Rc::new(handle), stopped)
    }

    fn stop(&self, reason: StopReason) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(reason);
        }
    }

    /// Gives the call up, whatever became of it.
    fn abort(&self) {
        drop(self.stop.take());
    }
}

/// The attempt of one message.
pub(super) struct InFlightAttempt {
    pub(super) endpoint: EndpointId,
    /// Which attempt of the message, from 0.
    pub(super) attempt: u16,
    pub(super) call: Rc<CallHandle>,
}

/// All attempts in flight. A message has one at most.
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

    /// Messages in flight.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    pub(super) fn messages(&self) -> HashSet<MessageId> {
        self.attempts.keys().copied().collect()
    }

    /// Endpoints that are being called.
    pub(super) fn endpoints(&self) -> HashSet<EndpointId> {
        self.attempts.values().map(|attempt| attempt.endpoint).collect()
    }

    /// Stops the call of a message, and with it the attempts of all messages that share it. A call can be withdrawn
    /// only until its first byte has left.
    pub(super) fn stop(&self, message: MessageId, reason: StopReason) {
        if let Some(attempt) = self.attempts.get(&message) {
            if reason == StopReason::Cancelled || !attempt.call.sent.get() {
                attempt.call.stop(reason);
            }
        }
    }

    /// Withdraws the calls to some endpoints that are still connecting: once connected, they would be new work for
    /// an endpoint that is draining, or calls before its `Retry-After` has passed.
    pub(super) fn withdraw(&self, which: impl Fn(EndpointId) -> bool) {
        let unsent = self.attempts.values().filter(|attempt| !attempt.call.sent.get());
        for attempt in unsent.filter(|attempt| which(attempt.endpoint)) {
            attempt.call.stop(StopReason::Withdrawn);
        }
    }

    /// Gives up all calls.
    pub(super) fn abort_all(&self) {
        self.attempts.values().for_each(|attempt| attempt.call.abort());
    }

    /// The calls, each with all of its messages.
    pub(super) fn calls(&self) -> Vec<InFlightCall> {
        let mut calls: Vec<(&Rc<CallHandle>, InFlightCall)> = Vec::new();
        for (message, attempt) in &self.attempts {
            match calls.iter_mut().find(|(handle, _)| Rc::ptr_eq(handle, &attempt.call)) {
                Some((_, call)) => call.messages.push(*message),
                None => {
                    let call = InFlightCall {
                        endpoint: attempt.endpoint,
                        messages: vec![*message],
                        sent: attempt.call.sent.get(),
                    };
                    calls.push((&attempt.call, call));
                }
            }
        }
        calls.into_iter().map(|(_, call)| call).collect()
    }
}
