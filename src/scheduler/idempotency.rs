//! When and where a message may be sent again after an attempt that may have been processed.
//!
//! A message with an idempotency key may be resent under that key inside the window and the deduplication
//! scope of its class; one that isn't idempotent may not be resent at all. Both count from the first
//! uncertain attempt.

use super::state::message::Message;
use crate::model::*;

/// The last part of an idempotency window isn't used, as the call must still arrive inside the window.
const WINDOW_MARGIN_RATIO: f64 = 0.1;

/// Whether another attempt may follow one that may have been processed.
pub fn is_resendable(class: &Class) -> bool {
    class.idempotency != Idempotency::NonIdempotent
}

/// Until when a message with an idempotency key may be resent, whose first uncertain attempt was sent at this
/// time.
pub fn window_end(class: &Class, first_sent_at: Time) -> Time {
    first_sent_at + class.idempotency_window.mul_f64(1.0 - WINDOW_MARGIN_RATIO)
}

/// The last time at which a message may be sent, where that doesn't go by its deadline; [`Time::ZERO`] where
/// it may not be sent again at all.
pub fn last_send_at(settings: &Settings, message: &Message) -> Option<Time> {
    if message.attempts >= settings.max_attempts {
        return Some(Time::ZERO);
    }
    let first = message.first_uncertain_attempt?;
    let class = message.class(settings);
    match class.idempotency {
        Idempotency::NonIdempotent => Some(Time::ZERO),
        Idempotency::IdempotentWithKey => Some(window_end(class, first.sent_at)),
        Idempotency::Idempotent => None,
    }
}

/// Whether a message may go to a zone: where duplicates are dropped by zone, it stays with its first one.
pub fn may_send_to_zone(settings: &Settings, message: &Message, zone: ZoneId) -> bool {
    let class = message.class(settings);
    let is_bound_to_zone = class.idempotency == Idempotency::IdempotentWithKey
        && class.deduplication_scope == DeduplicationScope::Zone;
    message.first_uncertain_attempt.is_none_or(|first| !is_bound_to_zone || first.zone == Some(zone))
}

/// Whether the client may be told that it can safely send the message again, rather than that its delivery
/// failed.
pub fn is_safe_to_reject(settings: &Settings, message: &Message) -> bool {
    match message.class(settings).idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey | Idempotency::NonIdempotent => {
            message.first_uncertain_attempt.is_none() && message.call.is_none()
        }
    }
}
