//! The value of sending a message now, by which messages are chosen and shed. This module has no state.

use super::idempotency;
use super::state::message::Message;
use super::state::value_decay::RemainingValue;
use crate::model::{Settings, Time};

/// The weight of the value that is lost by waiting for one more latency objective, relative to the value
/// itself.
const WAITING_LOSS_WEIGHT: f64 = 2.0;

/// Returns the value of a message that is delivered within its latency objective.
pub fn full(settings: &Settings, message: &Message) -> f64 {
    let quota_ratio = if message.is_over_quota { settings.over_quota_value_ratio } else { 1.0 };
    message.class(settings).priority_weight * quota_ratio
}

/// Returns the value of sending a message now: its remaining value, plus twice the part of it that would be
/// lost by waiting for one more latency objective. So a message that is about to be late or to expire goes
/// before an equally valuable one that can wait.
pub fn current(settings: &Settings, now: Time, message: &Message) -> f64 {
    let class = message.class(settings);
    let last_send_secs =
        idempotency::last_send_at(settings, message).map(|at| (at - message.enqueued_at).as_secs_f64());
    let ratio_at = |age_secs: f64| match last_send_secs {
        // A retry that must be sent before its idempotency window ends has no value after that. A message
        // that may not be sent again has none at all.
        Some(last_secs) if age_secs > last_secs => 0.0,
        _ => RemainingValue::at_age(class, settings.decay, age_secs).ratio,
    };
    let age_secs = (now - message.enqueued_at).as_secs_f64();
    let ratio_now = ratio_at(age_secs);
    let ratio_later = ratio_at(age_secs + class.latency_objective.as_secs_f64());
    full(settings, message) * ((1.0 + WAITING_LOSS_WEIGHT) * ratio_now - WAITING_LOSS_WEIGHT * ratio_later)
}
