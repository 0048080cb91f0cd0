//! Computes the fingerprint of a build and the names in its settings, which covers the format and the meaning of a
//! handover snapshot. A snapshot is passed only between processes with the same fingerprint; others continue from the
//! journal.

use delivery_gateway::ParsedSettings;

/// A source file.
pub struct SourceFile {
    /// The path from the package's root.
    pub path: &'static str,
    pub text: &'static str,
}

macro_rules! source_files {
    ($($path:literal,)*) => {
        &[$(SourceFile { path: $path, text: include_str!(concat!("../../../../", $path)) },)*]
    };
}

/// The files that define the format and the meaning of a handover snapshot: all files of the scheduler and of the
/// model, and every other file that defines a type of the snapshot or translates its times.
/// `tests/handover_fingerprint.rs` fails if one is missing.
pub const STATE_SOURCES: &[SourceFile] = source_files![
    "src/bin/delivery-gateway/clock.rs",
    "src/bin/delivery-gateway/event_loop/in_flight.rs",
    "src/bin/delivery-gateway/event_loop/takeover.rs",
    "src/bin/delivery-gateway/journal/clock_file.rs",
    "src/discovery/directory.rs",
    "src/model/action.rs",
    "src/model/attempt.rs",
    "src/model/circuit.rs",
    "src/model/class.rs",
    "src/model/endpoint.rs",
    "src/model/event.rs",
    "src/model/ids.rs",
    "src/model/message.rs",
    "src/model/mod.rs",
    "src/model/settings.rs",
    "src/model/time.rs",
    "src/scheduler/admission.rs",
    "src/scheduler/backoff.rs",
    "src/scheduler/call_outcome.rs",
    "src/scheduler/call_start.rs",
    "src/scheduler/circuit_breaker.rs",
    "src/scheduler/connection_reuse.rs",
    "src/scheduler/derived_settings.rs",
    "src/scheduler/drain.rs",
    "src/scheduler/endpoint_list.rs",
    "src/scheduler/endpoint_selection.rs",
    "src/scheduler/idempotency.rs",
    "src/scheduler/loss_ratio.rs",
    "src/scheduler/maintenance.rs",
    "src/scheduler/message_choice.rs",
    "src/scheduler/message_value.rs",
    "src/scheduler/mod.rs",
    "src/scheduler/ordering.rs",
    "src/scheduler/quota.rs",
    "src/scheduler/rate_limit.rs",
    "src/scheduler/reporting.rs",
    "src/scheduler/restore.rs",
    "src/scheduler/retry.rs",
    "src/scheduler/retry_after.rs",
    "src/scheduler/route.rs",
    "src/scheduler/route_availability.rs",
    "src/scheduler/shutdown.rs",
    "src/scheduler/slot_allocation.rs",
    "src/scheduler/slow_start.rs",
    "src/scheduler/state/call.rs",
    "src/scheduler/state/decaying_rate.rs",
    "src/scheduler/state/endpoint.rs",
    "src/scheduler/state/latency.rs",
    "src/scheduler/state/message.rs",
    "src/scheduler/state/mod.rs",
    "src/scheduler/state/queue.rs",
    "src/scheduler/state/ready_index.rs",
    "src/scheduler/state/route_id.rs",
    "src/scheduler/state/value_decay.rs",
    "src/scheduler/traffic.rs",
    "src/scheduler/unresponsive_calls.rs",
    "src/scheduler/watch_backoff.rs",
];

/// Returns the fingerprint of this build with these settings. It covers the names in the settings, because the ids of
/// classes, tenants, destination kinds and zones must have the same meaning in both processes.
pub fn state_fingerprint(parsed: &ParsedSettings) -> u32 {
    fingerprint(STATE_SOURCES, parsed)
}

/// Returns the fingerprint of a build whose snapshot is defined by `sources`, with these settings.
pub fn fingerprint(sources: &[SourceFile], parsed: &ParsedSettings) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for source in sources {
        hasher.update(source.path.as_bytes());
        hasher.update(source.text.as_bytes());
    }
    let names = (&parsed.class_names, &parsed.tenant_names, &parsed.kind_names, &parsed.zone_names);
    hasher.update(format!("{names:?}").as_bytes());
    hasher.finalize()
}
