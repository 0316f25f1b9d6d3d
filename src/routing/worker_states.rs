//! The state of each worker as the records have it, so that only changes are recorded.

use crate::policy::{Endpoint, EndpointStatus, Time, WorkerId};
use crate::records::record::RecordedWorkerState;
use std::collections::HashMap;
use std::time::Duration;

/// The state in which each worker was last recorded.
#[derive(Default)]
pub(super) struct WorkerStates(HashMap<WorkerId, RecordedWorkerState>);

impl WorkerStates {
    /// The state of a listed worker. `warm_up` is how long a worker counts as warming up after its start.
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

    /// The recorded workers that are no longer listed.
    pub fn removed(&self, is_listed: impl Fn(WorkerId) -> bool) -> Vec<WorkerId> {
        self.0.keys().copied().filter(|worker| !is_listed(*worker)).collect()
    }

    /// Notes the state of a worker and returns whether it changed. The removal of a worker that was never recorded is
    /// no change.
    pub fn update(&mut self, worker: WorkerId, state: RecordedWorkerState) -> bool {
        match state {
            RecordedWorkerState::Removed => self.0.remove(&worker).is_some(),
            state => self.0.insert(worker, state) != Some(state),
        }
    }
}
