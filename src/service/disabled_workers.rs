//! Workers that operators have taken out by hand: a fact beside discovery's list, which no news undoes.

use crate::policy::{EndpointStatus, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Names of workers that are out by hand, and when others were last taken back.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DisabledWorkers {
    out: BTreeSet<String>,
    back: BTreeMap<String, Time>,
}

impl DisabledWorkers {
    /// Takes a worker out; false if it is out already.
    pub fn disable(&mut self, name: &str) -> bool {
        self.back.remove(name);
        self.out.insert(name.to_owned())
    }
    /// Takes a worker back, however often it was taken out; false if it was not out.
    pub fn enable(&mut self, now: Time, name: &str) -> bool {
        let was = self.out.remove(name);
        if was {
            self.back.insert(name.to_owned(), now);
        }
        was
    }
    /// Whether a worker is out.
    pub fn is_disabled(&self, name: &str) -> bool {
        self.out.contains(name)
    }
    /// All that are out.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.out.iter().map(String::as_str)
    }
    /// What holds for a worker of which the list says this.
    pub fn effective_status(&self, name: &str, listed: EndpointStatus) -> EndpointStatus {
        match listed {
            EndpointStatus::Active if self.is_disabled(name) => EndpointStatus::Draining,
            listed => listed,
        }
    }
    /// When a worker is held to have started, of which the list says this. Guards against a worker that was restarted
    /// while it was out: the list says so seconds late, and until then it would be taken for warm.
    pub fn effective_start(&self, name: &str, listed: Option<Time>) -> Option<Time> {
        listed.max(self.back.get(name).copied())
    }
    /// Forgets when workers were taken back that no list names any longer.
    pub fn forget(&mut self, known: impl Fn(&str) -> bool) {
        self.back.retain(|name, _| known(name));
    }
}
