//! How workers are seen, for the records: it remembers what was recorded of each, so that only changes are.

use crate::policy::*;
use crate::records::record::RecordedWorkerState;
use std::collections::HashMap;
use std::time::Duration;

/// The state in which each worker was last recorded.
#[derive(Default)]
pub(super) struct WorkerStates(HashMap<WorkerId, RecordedWorkerState>);

impl WorkerStates {
    /// The state of a listed worker. `out` is whether it is out by hand, `warm_up` how long a start is held to be cold.
    pub fn of(entry: &Endpoint, out: bool, now: Time, warm_up: Duration) -> RecordedWorkerState {
        match entry.status {
            EndpointStatus::Gone => RecordedWorkerState::Removed,
            EndpointStatus::Draining if out => RecordedWorkerState::Disabled,
            EndpointStatus::Draining => RecordedWorkerState::Draining,
            EndpointStatus::Active if entry.started_at.is_some_and(|since| now.since(since) < warm_up) => {
                RecordedWorkerState::WarmingUp
            }
            EndpointStatus::Active => RecordedWorkerState::Active,
        }
    }

    /// The recorded workers that are not listed any longer.
    pub fn missing(&self, listed: impl Fn(WorkerId) -> bool) -> Vec<WorkerId> {
        self.0.keys().copied().filter(|worker| !listed(*worker)).collect()
    }

    /// Books the state of a worker; whether that is news. The end of one that was never recorded is none.
    pub fn update(&mut self, worker: WorkerId, state: RecordedWorkerState) -> bool {
        match state {
            RecordedWorkerState::Removed => self.0.remove(&worker).is_some(),
            state => self.0.insert(worker, state) != Some(state),
        }
    }
}
