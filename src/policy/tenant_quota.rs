//! Token buckets for the tenants' quotas at this aggregator. This file only counts; admission decides what
//! follows from an exceeded quota.

use crate::policy::time::seconds;
use crate::policy::{TenantId, Time};
use std::collections::BTreeMap;

/// The token bucket of one tenant.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Number of queries that the tenant may still send now.
    tokens: f64,
    updated_at: Time,
}

/// The token buckets of all tenants that have sent a query.
#[derive(Debug, Default)]
pub(super) struct TenantQuotas(BTreeMap<TenantId, Bucket>);

impl TenantQuotas {
    /// Counts a query of a tenant whose bucket is refilled with `rate_per_s` queries per second and holds
    /// `burst_s` seconds' worth of them. Returns whether the query exceeds the quota. A client's retry
    /// takes no token: the client's first attempt took one.
    pub(super) fn record_query(
        &mut self,
        now: Time,
        tenant: TenantId,
        rate_per_s: f64,
        burst_s: f64,
        is_retry: bool,
    ) -> bool {
        let capacity = (rate_per_s * burst_s).max(1.0);
        let bucket = self.0.entry(tenant).or_insert(Bucket { tokens: capacity, updated_at: now });
        bucket.tokens = (bucket.tokens + rate_per_s * seconds(now.since(bucket.updated_at))).min(capacity);
        bucket.updated_at = now;
        let exceeded = bucket.tokens < 1.0;
        if !exceeded && !is_retry {
            bucket.tokens -= 1.0;
        }
        exceeded
    }

    /// Each tenant's tokens and the time of their last update, as in the hand-over message to a successor.
    pub(super) fn snapshot(&self) -> Vec<(TenantId, f64, Time)> {
        self.0.iter().map(|(tenant, bucket)| (*tenant, bucket.tokens, bucket.updated_at)).collect()
    }

    /// Replaces all buckets by those of a predecessor.
    pub(super) fn restore(&mut self, snapshot: Vec<(TenantId, f64, Time)>) {
        let bucket = |(tenant, tokens, updated_at)| (tenant, Bucket { tokens, updated_at });
        self.0 = snapshot.into_iter().map(bucket).collect();
    }
}
