//! Reads the settings of the table in `keys` into [`Settings`].

use super::keys;
use super::values::{Section, SettingError, Values};
use crate::{Class, DeliveryLimits, DestinationKind, Settings, Tenant};

/// The settings of deliveries as read from a configuration: those of the scheduler, the layout of a load report, and
/// the names that clients, endpoint lists and operators use for items that are numbered in the scheduler.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// The settings of the scheduler.
    pub settings: Settings,
    /// The index of the headroom, the ratio of the rate limit that is left, among the values of a load report; None if
    /// load reports do not have it.
    pub headroom_index: Option<usize>,
    /// The index of the rate limit, in calls per second, among the values of a load report; None if load reports do not
    /// have it.
    pub limit_index: Option<usize>,
    /// The names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// The names of the kinds of destination, in the order of [`Settings::destination_kinds`].
    pub kind_names: Vec<String>,
    /// The names of the zones, by [`ZoneId`](crate::ZoneId).
    pub zone_names: Vec<String>,
}

/// Reads all settings. Absent ones have their defaults. Fails at the first invalid value.
pub fn parsed_settings(values: &Values) -> Result<ParsedSettings, SettingError> {
    let root = values.root();
    let settings = settings(values, &root)?;
    let load_report_fields = root.entries(keys::LOAD_REPORT_FIELDS);
    let index_of = |name: &str| load_report_fields.iter().position(|field| *field == name);
    let names = |path: &str| root.entries(path).into_iter().map(str::to_owned).collect();
    Ok(ParsedSettings {
        settings,
        headroom_index: index_of(keys::LOAD_REPORT_HEADROOM),
        limit_index: index_of(keys::LOAD_REPORT_LIMIT),
        class_names: item_names(values, keys::CLASSES)?,
        tenant_names: item_names(values, keys::TENANTS)?,
        kind_names: names(keys::KIND_NAMES),
        zone_names: names(keys::ZONE_NAMES),
    })
}

fn settings(values: &Values, root: &Section) -> Result<Settings, SettingError> {
    Ok(Settings {
        fleet_size: root.get(keys::FLEET_SIZE)?,
        classes: values.items(keys::CLASSES)?.map(|item| class(&item)).collect::<Result<_, _>>()?,
        tenants: values.items(keys::TENANTS)?.map(|item| tenant(&item)).collect::<Result<_, _>>()?,
        destination_kinds: destination_kinds(root)?,
        capacity_hints: root.get(keys::CAPACITY_HINTS)?,
        decay: root.get(keys::DECAY)?,
        zone_costs: zone_costs(root)?,
        max_in_flight_calls: root.get(keys::MAX_IN_FLIGHT_CALLS)?,
        max_pending_messages: root.get(keys::MAX_PENDING_MESSAGES)?,
        max_attempts: root.get(keys::MAX_ATTEMPTS)?,
        allow_cancel: root.get(keys::ALLOW_CANCEL)?,
        allow_hedging: root.get(keys::ALLOW_HEDGING)?,
        // Set by the program that hosts the scheduler, not by the configuration.
        outcomes_need_acknowledgement: Settings::default().outcomes_need_acknowledgement,
        over_quota_value_ratio: root.get(keys::OVER_QUOTA_VALUE_RATIO)?,
        connect_timeout: root.get(keys::CONNECT_TIMEOUT)?,
        connection_idle_timeout: root.get(keys::CONNECTION_IDLE_TIMEOUT)?,
        limits: delivery_limits(root)?,
    })
}

fn delivery_limits(root: &Section) -> Result<DeliveryLimits, SettingError> {
    Ok(DeliveryLimits {
        final_outcome_grace: root.get(keys::FINAL_OUTCOME_GRACE)?,
        cold_capacity_ratio: root.get(keys::COLD_CAPACITY_RATIO)?,
        warm_up: root.get(keys::WARM_UP)?,
        overload_multiple: root.get(keys::OVERLOAD_MULTIPLE)?,
        overload_window: root.get(keys::OVERLOAD_WINDOW)?,
        drain_grace: root.get(keys::DRAIN_GRACE)?,
        ordering_key_hold: root.get(keys::ORDERING_KEY_HOLD)?,
    })
}

fn class(item: &Section) -> Result<Class, SettingError> {
    Ok(Class {
        latency_objective: item.get(keys::class::LATENCY_OBJECTIVE)?,
        deadline: item.get(keys::class::DEADLINE)?,
        idempotency: item.get(keys::class::IDEMPOTENCY)?,
        deduplication_scope: item.get(keys::class::DEDUPLICATION_SCOPE)?,
        idempotency_window: item.get(keys::class::IDEMPOTENCY_WINDOW)?,
        is_ordered: item.get(keys::class::ORDERED)?,
        priority_weight: item.get(keys::class::PRIORITY_WEIGHT)?,
        late_value_ratio: item.get(keys::class::LATE_VALUE_RATIO)?,
    })
}

fn tenant(item: &Section) -> Result<Tenant, SettingError> {
    Ok(Tenant { quota_per_sec: item.get(keys::tenant::QUOTA_PER_SEC)? })
}

/// Reads the kinds of destination from two lists. There are as many kinds as the longer list has entries.
fn destination_kinds(root: &Section) -> Result<Vec<DestinationKind>, SettingError> {
    let batches = root.entries(keys::BATCH_BY_KIND);
    let per_endpoint_limits = root.entries(keys::PER_ENDPOINT_LIMITS_BY_KIND);
    (0..batches.len().max(per_endpoint_limits.len()))
        .map(|index| {
            Ok(DestinationKind {
                max_batch_size: match batches.get(index) {
                    Some(entry) => root.entry(keys::BATCH_BY_KIND, entry)?,
                    None => 1,
                },
                has_per_endpoint_limits: match per_endpoint_limits.get(index) {
                    Some(entry) => root.entry(keys::PER_ENDPOINT_LIMITS_BY_KIND, entry)?,
                    None => false,
                },
            })
        })
        .collect()
}

fn zone_costs(root: &Section) -> Result<Vec<f64>, SettingError> {
    let entries = root.entries(keys::ZONE_COSTS);
    entries.into_iter().map(|entry| root.entry(keys::ZONE_COSTS, entry)).collect()
}

fn item_names(values: &Values, list: &str) -> Result<Vec<String>, SettingError> {
    Ok(values.items(list)?.map(|item| item.text(keys::NAME).to_owned()).collect())
}
