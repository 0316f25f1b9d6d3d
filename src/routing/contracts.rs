//! The configured contracts: classes, tenants with their quotas, zones, and the limits of the broker.
//!
//! [`Contracts`] owns the mapping from configured names to the decision module's ids. The names never change after the
//! configuration is read.

use crate::policy::{Class, ClassId, Settings, TenantId, ZoneId};
use std::time::Duration;

/// Limits of the broker and of its connections to workers.
#[derive(Clone, Debug)]
pub struct BrokerLimits {
    /// Maximum number of queries and parts, added up, that may be open at once.
    pub max_open_requests: usize,
    /// Time after which a connection that is not established counts as failed.
    pub connect_timeout: Duration,
    /// Time after which a server closes an idle connection.
    pub connection_idle_timeout: Duration,
    /// Maximum number of parts in flight on one connection.
    pub max_parts_per_connection: usize,
    /// Time after a worker is listed as draining or gone within which it may still receive new attempts.
    pub drain_grace: Duration,
    /// Whether gatherers may exchange membership messages with each other.
    pub may_gossip: bool,
}

/// The decision module's settings, with the configured names of its ids.
#[derive(Clone, Debug)]
pub struct Contracts {
    /// Settings of the decision module: class contracts, budgets, shard layout and permitted actions.
    pub settings: Settings,
    /// Class names, in the order of `settings.classes`.
    pub classes: Vec<String>,
    /// Tenant names, in the order of `settings.tenants`.
    pub tenants: Vec<String>,
    /// Zone names, in the order of their ids.
    pub zones: Vec<String>,
    /// Limits of the broker and its connections.
    pub limits: BrokerLimits,
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Contracts {
    /// Returns the id and contract of the class with this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        let index = index_of(&self.classes, name)?;
        Some((ClassId(index), self.settings.classes.get(index)?))
    }
    /// Returns the id of the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        index_of(&self.tenants, name).map(TenantId)
    }
    /// Returns the id of the zone with this name. All names that are not configured share one id, `u32::MAX`.
    #[must_use]
    pub fn zone(&self, name: &str) -> ZoneId {
        ZoneId(index_of(&self.zones, name).and_then(|index| u32::try_from(index).ok()).unwrap_or(u32::MAX))
    }
}
