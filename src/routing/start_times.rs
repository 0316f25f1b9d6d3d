//! Corrects start times of workers that lie in the future.
//!
//! Discovery gives start times in Unix time. If a wall clock was stepped back, either on this machine before this
//! process read it or on the worker's, a start time can be later than now. Such a start counts as having happened when
//! discovery first sent it, so that the worker's warm-up begins and ends on time.

use crate::policy::{Time, WorkerId};
use std::collections::HashMap;

/// A start time that was in the future when discovery sent it.
#[derive(Clone, Copy)]
struct FutureStart {
    listed_start: Time,
    received_at: Time,
}

/// Start times that were in the future when discovery sent them, by worker.
#[derive(Default)]
pub(super) struct StartTimes(HashMap<WorkerId, FutureStart>);

impl StartTimes {
    /// Applies the start time that discovery lists for a worker. A future start that is already known keeps the time at
    /// which it was first received.
    pub fn update(&mut self, now: Time, worker: WorkerId, listed_start: Option<Time>) {
        let is_known = self.0.get(&worker).is_some_and(|start| Some(start.listed_start) == listed_start);
        match listed_start.filter(|start| *start > now) {
            _ if is_known => {}
            Some(listed_start) => drop(self.0.insert(worker, FutureStart { listed_start, received_at: now })),
            None => drop(self.0.remove(&worker)),
        }
    }

    /// Returns the start time to use for a worker whose listed start time is `listed_start`.
    pub fn effective(&self, worker: WorkerId, listed_start: Option<Time>) -> Option<Time> {
        match self.0.get(&worker) {
            Some(start) if Some(start.listed_start) == listed_start => Some(start.received_at),
            _ => listed_start,
        }
    }

    /// Drops the workers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(WorkerId) -> bool) {
        self.0.retain(|worker, _| is_listed(*worker));
    }
}
