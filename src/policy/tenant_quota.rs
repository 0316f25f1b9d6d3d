//! How much of their shares tenants have left at this gatherer. Accounting only: what follows is decided
//! elsewhere.

use crate::policy::time::seconds;
use crate::policy::{TenantId, Time};
use std::collections::BTreeMap;

/// Queries that each tenant has left, and when that was last reckoned.
#[derive(Debug, Default)]
pub struct TenantShares(BTreeMap<TenantId, (f64, Time)>);

impl TenantShares {
    /// Books a query of a tenant that may ask `rate` a second, and `burst` seconds' worth of that at once;
    /// whether it goes beyond its share. A client's retry belongs to its first try, and uses up nothing.
    pub fn exceeded(&mut self, now: Time, tenant: TenantId, rate: f64, burst: f64, retry: bool) -> bool {
        let most = (rate * burst).max(1.0);
        let (left, at) = self.0.entry(tenant).or_insert((most, now));
        *left = (*left + rate * seconds(now.since(*at))).min(most);
        *at = now;
        let exceeded = *left < 1.0;
        if !exceeded && !retry {
            *left -= 1.0;
        }
        exceeded
    }

    /// What tenants have left, for a successor.
    pub fn known(&self) -> Vec<(TenantId, f64, Time)> {
        self.0.iter().map(|(tenant, (left, at))| (*tenant, *left, *at)).collect()
    }

    /// Takes over what a predecessor has booked.
    pub fn take_over(&mut self, known: Vec<(TenantId, f64, Time)>) {
        self.0 = known.into_iter().map(|(tenant, left, at)| (tenant, (left, at))).collect();
    }
}
