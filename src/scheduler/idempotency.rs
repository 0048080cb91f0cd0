//! Idempotency rules: when and to which zone a message may be sent again after an attempt that may have been
//! processed.
//!
//! A message with an idempotency key may be resent under that key inside the window and the deduplication
//! scope of its class, both of which its first uncertain attempt determines. A non-idempotent message may not
//! be resent after an uncertain attempt. The message holds that attempt; this module has no state.

use super::state::message::Message;
use crate::model::*;

/// The ratio of an idempotency window that is left unused at its end, as the call must still arrive inside
/// the window.
const WINDOW_MARGIN_RATIO: f64 = 0.1;

/// Returns whether another attempt may follow one that may have been processed.
pub fn is_resendable(class: &Class) -> bool {
    class.idempotency != Idempotency::NonIdempotent
}

/// Returns until when a message with an idempotency key may be resent if its first uncertain attempt was
/// started at `first_sent_at`.
pub fn window_end(class: &Class, first_sent_at: Time) -> Time {
    first_sent_at + class.idempotency_window.mul_f64(1.0 - WINDOW_MARGIN_RATIO)
}

/// Returns the last time at which a message may be sent. None if only its deadline limits that;
/// [`Time::ZERO`] if it may not be sent again at all.
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

/// Returns whether a message may be sent to a zone. With deduplication per zone, retries stay in the zone of
/// the first uncertain attempt; if that zone is not known, there is no retry.
pub fn may_send_to_zone(settings: &Settings, message: &Message, zone: ZoneId) -> bool {
    let class = message.class(settings);
    let is_bound_to_zone = class.idempotency == Idempotency::IdempotentWithKey
        && class.deduplication_scope == DeduplicationScope::Zone;
    message.first_uncertain_attempt.is_none_or(|first| !is_bound_to_zone || first.zone == Some(zone))
}

/// Returns whether the final outcome may be "returned", after which the client can safely enqueue the message
/// again, rather than "failed".
pub fn is_safe_to_reject(settings: &Settings, message: &Message) -> bool {
    match message.class(settings).idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey | Idempotency::NonIdempotent => {
            message.first_uncertain_attempt.is_none() && message.call.is_none()
        }
    }
}
