//! When workers are held to have started, where what discovery says of it cannot be: no worker starts in the future.
//!
//! Starts are told in Unix time. A wall clock that was stepped back, here before this process read it or at the worker,
//! puts them after now. Such a start is held to have been as it was first told, so that its worker grows warm in its time.

use crate::policy::{Time, WorkerId};
use std::collections::HashMap;

/// A start that was told before it could have been.
#[derive(Clone, Copy)]
struct Early {
    listed: Time,
    told: Time,
}

/// Such starts, by worker.
#[derive(Default)]
pub(super) struct StartTimes(HashMap<WorkerId, Early>);

impl StartTimes {
    /// Discovery lists this start of a worker.
    pub fn learn(&mut self, now: Time, worker: WorkerId, listed: Option<Time>) {
        let known = self.0.get(&worker).is_some_and(|early| Some(early.listed) == listed);
        match listed.filter(|listed| *listed > now) {
            _ if known => {}
            Some(listed) => drop(self.0.insert(worker, Early { listed, told: now })),
            None => drop(self.0.remove(&worker)),
        }
    }

    /// When a worker is held to have started, of which the list says this.
    pub fn held(&self, worker: WorkerId, listed: Option<Time>) -> Option<Time> {
        match self.0.get(&worker) {
            Some(early) if Some(early.listed) == listed => Some(early.told),
            _ => listed,
        }
    }

    /// Forgets workers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(WorkerId) -> bool) {
        self.0.retain(|worker, _| is_listed(*worker));
    }
}
