//! Events of the core about workers and other gatherers: endpoint lists, operators' requests, load reports, the fleet's
//! size, and the state taken over from the gatherer's other process. Changes of workers' states go to the records.

use super::Core;
use crate::policy::{
    AttemptOutcome, Endpoint, EndpointUpdate, Event, LoadReport, PolicySnapshot, Time, WorkerId,
};
use crate::records::record::{RecordBody, RecordedWorkerState};
use crate::routing::command::Command;
use crate::routing::worker_list::{MAX_REGISTERED_WORKERS, WorkerList};
use crate::routing::worker_registry::{ListOrigin, WorkerListUpdate};
use crate::routing::worker_states::WorkerStates;
use crate::service::DisabledWorkers;
use std::time::Duration;

impl Core {
    /// Returns whether any worker is listed.
    #[must_use]
    pub fn has_workers(&self) -> bool {
        self.workers.len() > 0
    }

    /// Returns the number of listed workers.
    #[must_use]
    pub fn listed_workers(&self) -> usize {
        self.workers.len()
    }

    /// Returns the number of listed workers that are disabled or ejected.
    #[must_use]
    pub fn unavailable_workers(&self) -> usize {
        let ejected = self.policy.ejected_workers().filter(|worker| self.workers.contains(*worker));
        self.workers.count_disabled() + ejected.count()
    }

    /// Returns the name of a worker, if its id is registered.
    #[must_use]
    pub fn worker_name(&self, worker: WorkerId) -> Option<&str> {
        self.workers.registry.name(worker)
    }

    /// Returns the current endpoint list, in the order of names.
    #[must_use]
    pub fn endpoint_list(&self) -> WorkerListUpdate {
        self.workers.to_update()
    }

    /// Returns whether discovery has sent an endpoint list; a cached list does not count.
    #[must_use]
    pub fn has_discovery_list(&self) -> bool {
        self.has_discovery_list
    }

    /// Returns the workers that operators have disabled.
    #[must_use]
    pub fn disabled_workers(&self) -> &DisabledWorkers {
        &self.workers.disabled
    }

    /// Applies an endpoint list or a change of it.
    pub fn apply_endpoint_update(&mut self, now: Time, update: &WorkerListUpdate, origin: ListOrigin) {
        self.counters.listings += 1;
        self.has_discovery_list |= origin == ListOrigin::Discovery;
        let change = self.workers.apply(now, &self.contracts, update);
        self.pending_commands.extend(change.commands);
        self.record_list_update(now, update, &change.endpoints);
        self.workers.forget_unlisted(&self.in_flight);
        let endpoints = change.endpoints.into();
        self.pending_events.push(Event::EndpointUpdate(match (origin, update.complete) {
            (ListOrigin::Cache, _) => EndpointUpdate::Cached(endpoints),
            (ListOrigin::Discovery, true) => EndpointUpdate::Full(endpoints),
            (ListOrigin::Discovery, false) => EndpointUpdate::Delta(endpoints),
        }));
    }

    /// Passes on a load report that did not come with a response. Returns whether the worker is known.
    pub fn on_load_report(&mut self, worker: &str, report: LoadReport) -> bool {
        let Some(worker) = self.workers.registry.get(worker) else { return false };
        self.pending_events.push(Event::HealthCheckFinished {
            worker,
            outcome: AttemptOutcome::Succeeded,
            elapsed: Duration::ZERO,
            load_report: Some(report),
        });
        true
    }

    /// Disables a worker until [`Core::enable_worker`]; endpoint updates don't enable it. Returns false, and changes
    /// nothing, if the worker is not known.
    pub fn disable_worker(&mut self, now: Time, name: &str) -> bool {
        self.update_disabled(now, name, |disabled| disabled.disable(name))
    }

    /// Enables a worker that was disabled. Returns false if the worker is not known.
    pub fn enable_worker(&mut self, now: Time, name: &str) -> bool {
        self.update_disabled(now, name, |disabled| disabled.enable(now, name))
    }

    fn update_disabled(
        &mut self,
        now: Time,
        name: &str,
        update: impl FnOnce(&mut DisabledWorkers) -> bool,
    ) -> bool {
        let Some(worker) = self.workers.registry.get(name) else { return false };
        if !update(&mut self.workers.disabled) {
            return true;
        }
        let state = if self.workers.disabled.is_disabled(name) { "disabled" } else { "enabled" };
        self.pending_commands.push(Command::Log(format!("worker is {state} by an operator: worker={name}")));
        if let Some(listed) = self.workers.get(worker) {
            let endpoint = self.workers.endpoint(&self.contracts, worker, listed);
            self.pending_commands.push(WorkerList::upsert_command(&endpoint, listed));
            self.record_states(now, std::slice::from_ref(&endpoint), Vec::new());
            self.pending_events.push(Event::EndpointUpdate(EndpointUpdate::Delta([endpoint].into())));
        }
        true
    }

    /// Sets how many processes run this gatherer and share its limits and its slow-start budget.
    pub fn set_process_count(&mut self, processes: u32) {
        self.process_count = processes.max(1);
        let gatherer_factor = self.contracts.settings.slow_start_budget_factor;
        self.policy.set_slow_start_budget_factor(gatherer_factor / f64::from(self.process_count));
    }

    /// Sets how many gatherers share the fleet of workers, in place of the configured number. Slow-start budgets,
    /// half-open attempts, tenants' quotas and the rate of discovery polls are divided by it.
    pub fn set_fleet_size(&mut self, gatherers: u32) {
        self.contracts.settings.fleet_size = gatherers.max(1);
        self.policy.set_fleet_size(gatherers);
    }

    /// Returns how many gatherers share the fleet of workers.
    #[must_use]
    pub fn fleet_size(&self) -> u32 {
        self.contracts.settings.fleet_size
    }

    /// Returns the decision module's state about workers, for the process that takes over.
    #[must_use]
    pub fn policy_snapshot(&self) -> PolicySnapshot {
        self.policy.snapshot(|worker| self.workers.registry.name(worker))
    }

    /// Assigns an id to a worker that only the gatherer's other process knows from an endpoint list.
    pub fn register_worker(&mut self, name: &str) {
        self.workers.registry.get_or_insert(name);
    }

    /// Restores the state of the gatherer's other process: its endpoint list, the disabled workers, and the snapshot of
    /// its decision module.
    pub fn restore_from_peer(
        &mut self,
        now: Time,
        list: &WorkerListUpdate,
        disabled: DisabledWorkers,
        snapshot: PolicySnapshot,
    ) {
        let names = snapshot.worker_names().chain(disabled.names());
        names.take(MAX_REGISTERED_WORKERS).for_each(|name| self.register_worker(name));
        self.workers.disabled = disabled;
        self.apply_endpoint_update(now, list, ListOrigin::Cache);
        // The decision module has to process the endpoint list before it can restore the workers' state.
        let commands = self.step(now);
        self.policy.restore(snapshot, |name| self.workers.registry.get(name));
        self.pending_commands.extend(commands);
    }

    /// Records an update of the endpoint list and the changed states of workers.
    fn record_list_update(&mut self, now: Time, update: &WorkerListUpdate, endpoints: &[Endpoint]) {
        if self.metrics.is_none() {
            return;
        }
        let (revision, complete, workers) = (update.revision, update.complete, self.workers.len());
        self.record_events.push(RecordBody::EndpointList { revision, complete, workers });
        let removed = self.recorded_states.removed(|worker| self.workers.contains(worker));
        self.record_states(now, endpoints, removed);
    }

    /// Records the changed states of these workers, and the removal of others.
    fn record_states(&mut self, now: Time, endpoints: &[Endpoint], removed: Vec<WorkerId>) {
        if self.metrics.is_none() {
            return;
        }
        for endpoint in endpoints {
            let is_disabled = self.workers.is_disabled(endpoint.worker);
            let warm_up = self.contracts.settings.warm_up;
            let state = WorkerStates::classify(endpoint, is_disabled, now, warm_up);
            self.record_state(endpoint.worker, state);
        }
        for worker in removed {
            self.record_state(worker, RecordedWorkerState::Removed);
        }
    }

    fn record_state(&mut self, worker: WorkerId, state: RecordedWorkerState) {
        if self.recorded_states.update(worker, state)
            && let Some(name) = self.workers.registry.name(worker)
        {
            self.record_events.push(RecordBody::Worker { worker: name.to_owned(), state });
        }
    }
}
