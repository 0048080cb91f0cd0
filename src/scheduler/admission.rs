//! Admission and load shedding: which messages are accepted, and which accepted ones are given their final answer
//! before they were delivered, because their time is over or because the gateway is nearly full.

use super::*;

impl Scheduler {
    /// Whether a new message is taken on, rather than refused: nearly full, only if it is worth more than
    /// what has to go for it and what that costs.
    pub fn admits(&mut self, now: Time, taken: &AcceptedMessage) -> bool {
        let leaving = self.lame_since.is_some_and(|since| now - since >= LAME_GRACE);
        if leaving || self.open < self.most_open() {
            return !leaving;
        }
        let over_quota = self.quotas.is_exhausted(&self.settings, now, taken.tenant);
        let worth = Message::new(&self.settings, now, taken.clone(), over_quota)
            .map(|m| message_value::current(&self.settings, now, &m));
        let early = |m: &Message| now < m.enqueued_at + m.class(&self.settings).deadline.mul_f64(UNTRIED.0);
        let price =
            |m: &Message| if m.first_uncertain_attempt.is_none() && early(m) { UNTRIED.1 } else { 0.0 };
        let costs = |m: &Message| price(m) * message_value::full(&self.settings, m);
        let takes = self.least(now).is_none_or(|(least, m)| worth.is_some_and(|w| w > least + costs(m)));
        if !takes {
            self.note_demand(now, taken.destination);
        }
        takes
    }

    /// The final answer that a message may be given now; none while an attempt may still deliver it.
    pub(super) fn permitted_answer(&mut self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|m| !m.completed)?;
        let to = message.accepted.destination;
        let refusable = idempotency::is_safe_to_reject(&self.settings, message);
        Some(if refusable {
            Action::Reject { message: id, retry_after: self.suggested_retry_after(now, to) }
        } else {
            Action::ReportFailure { message: id }
        })
    }

    pub(super) fn answer(&mut self, now: Time, id: MessageId) {
        let action = self.permitted_answer(now, id);
        if let Some(message) = self.messages.get_mut(&id).filter(|_| action.is_some()) {
            message.awaits_acknowledgement = self.settings.outcomes_need_acknowledgement;
        }
        self.actions.extend(action);
        self.close(id);
    }

    /// Every message has a deadline that answers it in time; one that is out is left half of the slack.
    pub(super) fn answer_due(&mut self, now: Time) {
        while let Some(&(due, id)) = self.deadlines.first().filter(|(due, _)| *due <= now) {
            self.deadlines.remove(&(due, id));
            let Some(message) = self.messages.get(&id).filter(|m| !m.completed) else { continue };
            let last_call = message.accepted.deadline + self.settings.limits.final_outcome_grace / 2;
            if message.call.is_some() && now < last_call {
                self.deadlines.insert((last_call, id));
            } else {
                self.answer(now, id);
            }
        }
    }

    /// Nearly full: the least worth go, before new messages are turned away unseen.
    pub(super) fn shed(&mut self, now: Time) {
        while self.open > self.most_open() {
            let Some(id) = self.least(now).map(|(_, m)| m.accepted.id) else { return };
            self.answer(now, id);
        }
    }

    pub(super) fn most_open(&self) -> usize {
        (self.settings.max_pending_messages as f64 * SHED_ABOVE) as usize
    }

    /// The message of least worth that could be handed back.
    pub(super) fn least(&self, now: Time) -> Option<(f64, &Message)> {
        let idle = self.messages.values().filter(|m| !m.completed && m.call.is_none());
        idle.map(|m| (message_value::current(&self.settings, now, m), m))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.accepted.id.cmp(&a.1.accepted.id)))
    }
}
