//! Quotas of the tenants: a token bucket each, of which the node has an equal share.

use crate::interface::*;

/// Requests within a quota that may come in a burst at one node of many; with fewer, none would ever fit.
const MIN_BURST: f64 = 4.0;

/// Requests that a tenant may still send within its quota.
struct TokenBucket {
    tokens: f64,
    /// When tokens were last added, in milliseconds.
    refilled_at: f64,
}

/// The token buckets of all tenants that have a quota.
pub(super) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
    /// The node's share of each quota, in requests per second.
    rates_per_s: Vec<f64>,
}

impl TenantQuotas {
    pub(super) fn new(settings: &DecisionSettings) -> Self {
        let share = |quota: &f64| quota / settings.nodes as f64;
        let full = |_: &f64| TokenBucket { tokens: f64::INFINITY, refilled_at: 0.0 };
        Self {
            buckets: settings.quotas_per_s.iter().map(full).collect(),
            rates_per_s: settings.quotas_per_s.iter().map(share).collect(),
        }
    }

    /// Takes a token for a request of a tenant; whether there was one. A tenant without a quota always has one.
    pub(super) fn try_acquire(&mut self, now: f64, tenant: usize) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else { return true };
        let rate = self.rates_per_s[tenant];
        let refill = rate * (now - bucket.refilled_at).max(0.0) / 1000.0;
        bucket.tokens = (bucket.tokens + refill).min(rate.max(MIN_BURST));
        bucket.refilled_at = now;
        let available = bucket.tokens >= 1.0;
        if available {
            bucket.tokens -= 1.0;
        }
        available
    }
}
