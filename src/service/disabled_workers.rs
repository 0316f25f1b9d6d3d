//! The workers that operators have disabled. It stands beside discovery's list, and nothing that discovery sends
//! changes it. It owns names only: which workers exist, and what is sent to them, is decided elsewhere.

use crate::policy::{EndpointStatus, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Names of the disabled workers, and when others were last enabled again.
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
    /// Disables a worker; returns false if it is disabled already.
    pub fn disable(&mut self, name: &str) -> bool {
        self.enabled_at.remove(name);
        self.disabled.insert(name.to_owned())
    }
    /// Enables a worker, however often it was disabled; returns false if it was not.
    pub fn enable(&mut self, now: Time, name: &str) -> bool {
        let was_disabled = self.disabled.remove(name);
        if was_disabled {
            self.enabled_at.insert(name.to_owned(), now);
        }
        was_disabled
    }
    /// Whether a worker is disabled.
    #[must_use]
    pub fn is_disabled(&self, name: &str) -> bool {
        self.disabled.contains(name)
    }
    /// The names of the disabled workers, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.disabled.iter().map(String::as_str)
    }
    /// The status that counts for a worker that discovery lists with `listed`: a disabled one counts as draining.
    #[must_use]
    pub fn effective_status(&self, name: &str, listed: EndpointStatus) -> EndpointStatus {
        match listed {
            EndpointStatus::Active if self.is_disabled(name) => EndpointStatus::Draining,
            listed => listed,
        }
    }
    /// The start time that counts for a worker that discovery lists with `listed`: not before it was last enabled. It
    /// may have been restarted while it was disabled; discovery lists that seconds late, and until then the worker
    /// would count as warm.
    #[must_use]
    pub fn effective_start(&self, name: &str, listed: Option<Time>) -> Option<Time> {
        listed.max(self.enabled_at.get(name).copied())
    }
    /// Drops the times at which workers were enabled that are no longer known.
    pub fn retain_start_times(&mut self, is_known: impl Fn(&str) -> bool) {
        self.enabled_at.retain(|name, _| is_known(name));
    }
}
