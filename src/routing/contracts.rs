//! What the teams have agreed on, by name: classes with their contracts, tenants with their quotas, zones, and the
//! limits within which the broker serves them.
//!
//! It owns the mapping from configured names to the decision module's ids and never changes after it was built.

use crate::policy::{Class, ClassId, Settings, TenantId, ZoneId};
use std::time::Duration;

/// Limits of the broker and of the connections that carry its attempts.
#[derive(Clone, Debug)]
pub struct BrokerLimits {
    /// Queries and parts, added up, that may be open at once.
    pub max_open_requests: usize,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Duration,
    /// A server closes a connection that is idle for this long.
    pub connection_idle_timeout: Duration,
    /// Parts that one connection carries at once.
    pub max_parts_per_connection: usize,
    /// How long after a worker was listed as draining or gone it may still receive new attempts.
    pub drain_grace: Duration,
    /// Gatherers may exchange messages with each other.
    pub may_gossip: bool,
}

/// The names behind the decision module's ids, and the settings that go with them.
#[derive(Clone, Debug)]
pub struct Contracts {
    /// The decision module's settings: contracts of the classes, budgets, layout, rules.
    pub settings: Settings,
    /// Class names, in the order of `settings.classes`.
    pub classes: Vec<String>,
    /// Tenant names, in the order of `settings.tenants`.
    pub tenants: Vec<String>,
    /// Zone names, in the order of their ids.
    pub zones: Vec<String>,
    /// Limits of the broker.
    pub limits: BrokerLimits,
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Contracts {
    /// The class of this name, with its contract.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        let index = index_of(&self.classes, name)?;
        Some((ClassId(index), self.settings.classes.get(index)?))
    }
    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        index_of(&self.tenants, name).map(TenantId)
    }
    /// The zone of this name. All names that are not configured share one id, which is no configured zone's.
    #[must_use]
    pub fn zone(&self, name: &str) -> ZoneId {
        ZoneId(index_of(&self.zones, name).and_then(|index| u32::try_from(index).ok()).unwrap_or(u32::MAX))
    }
}
