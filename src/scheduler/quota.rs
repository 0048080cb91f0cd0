//! Tenant quotas: decides which messages are over their tenant's quota. Such messages are not stopped, but
//! have a lower value.
//!
//! A quota applies to all gateways together, but no gateway sees what the others accept. Each gateway
//! enforces its own share with a token bucket that holds one second of the share.

use super::derived_settings::fleet_size;
use crate::model::{Settings, TenantId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// This gateway's share of a quota, in even shares. It is more than one, as traffic is not spread evenly.
const LOCAL_QUOTA_EVEN_SHARES: f64 = 1.25;

/// The token buckets of the tenants at this gateway.
#[derive(Default, Serialize, Deserialize)]
pub struct TenantQuotas {
    balances: BTreeMap<TenantId, Balance>,
}

/// The content of a token bucket when it was last charged.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct Balance {
    messages: f64,
    updated_at: Time,
}

impl TenantQuotas {
    /// Counts one message of a tenant, and returns whether it is over quota. A message over quota takes no
    /// token.
    pub fn charge(&mut self, settings: &Settings, now: Time, tenant: TenantId) -> bool {
        let Some(remaining) = self.remaining(settings, now, tenant) else { return false };
        let is_over_quota = remaining < 1.0;
        let messages = if is_over_quota { remaining } else { remaining - 1.0 };
        self.balances.insert(tenant, Balance { messages, updated_at: now });
        is_over_quota
    }

    /// Returns whether one more message of a tenant would be over quota.
    pub fn is_exhausted(&self, settings: &Settings, now: Time, tenant: TenantId) -> bool {
        self.remaining(settings, now, tenant).is_some_and(|remaining| remaining < 1.0)
    }

    /// Returns the remaining quota, in messages; none if the tenant has no quota.
    fn remaining(&self, settings: &Settings, now: Time, tenant: TenantId) -> Option<f64> {
        let quota_per_sec = settings.tenants.get(tenant.0 as usize)?.quota_per_sec;
        let local_per_sec = quota_per_sec * (LOCAL_QUOTA_EVEN_SHARES / fleet_size(settings)).min(1.0);
        let full = Balance { messages: local_per_sec, updated_at: now };
        let balance = self.balances.get(&tenant).copied().unwrap_or(full);
        let refilled = balance.messages + (now - balance.updated_at).as_secs_f64() * local_per_sec;
        Some(refilled.min(local_per_sec))
    }
}
