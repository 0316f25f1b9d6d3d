//! What the teams have agreed on, by name: classes with their contracts, tenants with their shares, zones, and the
//! limits within which the broker serves them.

use crate::policy::*;
use std::time::Duration;

/// Limits of the broker itself and of the connections that carry its parts.
#[derive(Clone, Debug)]
pub struct BrokerLimits {
    /// Queries and parts that may be open at once.
    pub max_open_requests: usize,
    /// A connection that is not up by then counts as refused.
    pub connect_timeout: Duration,
    /// A server closes a connection that is idle for this long.
    pub connection_idle_timeout: Duration,
    /// Parts that one connection carries at once.
    pub max_parts_per_connection: usize,
    /// Nothing new goes to a server so long after it is told of as draining or gone.
    pub drain_grace: Duration,
    /// Gatherers may talk with each other.
    pub may_gossip: bool,
}

/// The names behind the module's numbers, and the settings that go with them.
#[derive(Clone, Debug)]
pub struct Contracts {
    /// What the module is told: contracts of the classes, budgets, layout, rules.
    pub settings: Settings,
    /// Class names, in the order of `settings.classes`.
    pub classes: Vec<String>,
    /// Tenant names, in the order of `settings.tenants`.
    pub tenants: Vec<String>,
    /// Zone names.
    pub zones: Vec<String>,
    /// Limits of the broker.
    pub limits: BrokerLimits,
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Contracts {
    /// The class of this name, with its contract.
    pub fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        let at = place(&self.classes, name)?;
        Some((ClassId(at), self.settings.classes.get(at)?))
    }
    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        place(&self.tenants, name).map(TenantId)
    }
    /// The zone of this name; a zone that nobody listed is like none of the others.
    pub fn zone(&self, name: &str) -> ZoneId {
        ZoneId(place(&self.zones, name).and_then(|at| u32::try_from(at).ok()).unwrap_or(u32::MAX))
    }
}
