//! The last recorded state of each worker, so that the records contain only changes.

use crate::policy::{Endpoint, EndpointStatus, Time, WorkerId};
use crate::records::record::RecordedWorkerState;
use std::collections::HashMap;
use std::time::Duration;

/// Last recorded state of each worker.
#[derive(Default)]
pub(super) struct WorkerStates(HashMap<WorkerId, RecordedWorkerState>);

impl WorkerStates {
    /// Returns the state of a worker. It counts as warming up for `warm_up` after its start.
    pub fn classify(
        endpoint: &Endpoint,
        is_disabled: bool,
        now: Time,
        warm_up: Duration,
    ) -> RecordedWorkerState {
        let is_warming_up = || endpoint.started_at.is_some_and(|started_at| now.since(started_at) < warm_up);
        match endpoint.status {
            EndpointStatus::Gone => RecordedWorkerState::Removed,
            EndpointStatus::Draining if is_disabled => RecordedWorkerState::Disabled,
            EndpointStatus::Draining => RecordedWorkerState::Draining,
            EndpointStatus::Active if is_warming_up() => RecordedWorkerState::WarmingUp,
            EndpointStatus::Active => RecordedWorkerState::Active,
        }
    }

    /// Returns the recorded workers that are no longer listed.
    pub fn removed(&self, is_listed: impl Fn(WorkerId) -> bool) -> Vec<WorkerId> {
        self.0.keys().copied().filter(|worker| !is_listed(*worker)).collect()
    }

    /// Stores the state of a worker and returns whether it changed. The removal of a worker that was never recorded is
    /// not a change.
    pub fn update(&mut self, worker: WorkerId, state: RecordedWorkerState) -> bool {
        match state {
            RecordedWorkerState::Removed => self.0.remove(&worker).is_some(),
            state => self.0.insert(worker, state) != Some(state),
        }
    }
}
