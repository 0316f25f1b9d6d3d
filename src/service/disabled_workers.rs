//! The set of workers that operators have disabled. Updates from discovery never change it.
//!
//! The set contains names only. `routing` decides which workers exist and what is sent to them.

use crate::policy::{EndpointStatus, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Names of the disabled workers, and the times at which other workers were last enabled again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DisabledWorkers {
    // Outer name: the hand-over message of an upgrade keeps the field's first name.
    #[serde(rename = "out")]
    disabled: BTreeSet<String>,
    // Outer name, as above.
    #[serde(rename = "back")]
    enabled_at: BTreeMap<String, Time>,
}

impl DisabledWorkers {
    /// Disables a worker. Returns false if the worker is disabled already.
    pub fn disable(&mut self, name: &str) -> bool {
        self.enabled_at.remove(name);
        self.disabled.insert(name.to_owned())
    }
    /// Enables a worker, however often it was disabled. Returns false if the worker was not disabled.
    pub fn enable(&mut self, now: Time, name: &str) -> bool {
        let was_disabled = self.disabled.remove(name);
        if was_disabled {
            self.enabled_at.insert(name.to_owned(), now);
        }
        was_disabled
    }
    /// Returns whether a worker is disabled.
    #[must_use]
    pub fn is_disabled(&self, name: &str) -> bool {
        self.disabled.contains(name)
    }
    /// Returns the names of the disabled workers, in alphabetical order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.disabled.iter().map(String::as_str)
    }
    /// Returns the status to use for a worker whose listed status is `listed`: a disabled active worker counts as
    /// draining.
    #[must_use]
    pub fn effective_status(&self, name: &str, listed: EndpointStatus) -> EndpointStatus {
        match listed {
            EndpointStatus::Active if self.is_disabled(name) => EndpointStatus::Draining,
            listed => listed,
        }
    }
    /// Returns the start time to use for a worker whose listed start time is `listed`: not before it was last enabled.
    /// The worker may have been restarted while it was disabled; discovery lists that start seconds late, and until
    /// then the worker would not count as warming up.
    #[must_use]
    pub fn effective_start(&self, name: &str, listed: Option<Time>) -> Option<Time> {
        listed.max(self.enabled_at.get(name).copied())
    }
    /// Drops the times at which workers were enabled, for workers that are not known any longer.
    pub fn retain_start_times(&mut self, is_known: impl Fn(&str) -> bool) {
        self.enabled_at.retain(|name, _| is_known(name));
    }
}
