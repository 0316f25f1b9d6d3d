//! The endpoint list, and which of its workers operators have disabled. Changes of either become commands for the
//! transport and endpoints for the decision module.

use super::command::Command;
use super::contracts::Contracts;
use super::in_flight::InFlight;
use super::start_times::StartTimes;
use super::worker_registry::{ListedWorker, WorkerListUpdate, WorkerRegistry};
use crate::policy::{CellId, Endpoint, EndpointStatus, Time, WorkerId};
use crate::service::DisabledWorkers;
use std::collections::{HashMap, HashSet};

/// Number of registered workers, listed or not, above which unlisted ones are forgotten. A day of replacements adds far
/// fewer names.
pub(super) const MAX_REGISTERED_WORKERS: usize = 4096;

/// Consequences of an update of the endpoint list.
pub(super) struct WorkerListChange {
    /// Endpoints for the decision module, one for each worker that the update names.
    pub endpoints: Vec<Endpoint>,
    /// Commands for the transport.
    pub commands: Vec<Command>,
}

/// The endpoint list, and which workers are disabled.
#[derive(Default)]
pub(super) struct WorkerList {
    /// Ids of the workers that are or were listed, until they are forgotten.
    pub registry: WorkerRegistry,
    /// Workers that operators have disabled.
    pub disabled: DisabledWorkers,
    listed: HashMap<WorkerId, ListedWorker>,
    start_times: StartTimes,
}

impl WorkerList {
    /// Returns the number of listed workers.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns whether the worker is listed.
    pub fn contains(&self, worker: WorkerId) -> bool {
        self.listed.contains_key(&worker)
    }

    /// Returns the list entry of a worker.
    pub fn get(&self, worker: WorkerId) -> Option<&ListedWorker> {
        self.listed.get(&worker)
    }

    /// Returns whether a worker may receive new attempts: it is listed as active and not disabled.
    pub fn accepts_work(&self, worker: WorkerId) -> bool {
        self.listed.get(&worker).is_some_and(|listed| {
            self.disabled.effective_status(&listed.name, listed.status) == EndpointStatus::Active
        })
    }

    /// Returns whether a worker is listed and disabled.
    pub fn is_disabled(&self, worker: WorkerId) -> bool {
        self.listed.get(&worker).is_some_and(|listed| self.disabled.is_disabled(&listed.name))
    }

    /// Returns the number of listed workers that are disabled.
    pub fn count_disabled(&self) -> usize {
        self.listed.values().filter(|listed| self.disabled.is_disabled(&listed.name)).count()
    }

    /// Returns the complete list as an update, in the order of names.
    pub fn to_update(&self) -> WorkerListUpdate {
        let mut workers: Vec<ListedWorker> = self.listed.values().cloned().collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        WorkerListUpdate { revision: 0, complete: true, workers }
    }

    /// Applies an update of the list.
    pub fn apply(&mut self, now: Time, contracts: &Contracts, update: &WorkerListUpdate) -> WorkerListChange {
        let mut endpoints = Vec::new();
        let mut commands = Vec::new();
        let mut named_workers = HashSet::new();
        for listed in &update.workers {
            let worker = self.registry.get_or_insert(&listed.name);
            named_workers.insert(worker);
            self.start_times.update(now, worker, listed.started_at);
            let endpoint = self.endpoint(contracts, worker, listed);
            if listed.status == EndpointStatus::Gone {
                self.listed.remove(&worker);
                commands.push(Command::RemoveWorker { worker });
            } else {
                self.listed.insert(worker, listed.clone());
                commands.push(WorkerList::upsert_command(&endpoint, listed));
            }
            endpoints.push(endpoint);
        }
        if update.complete {
            let removed = self.listed.extract_if(|worker, _| !named_workers.contains(worker));
            commands.extend(removed.map(|(worker, _)| Command::RemoveWorker { worker }));
        }
        self.start_times.retain(|worker| self.listed.contains_key(&worker));
        WorkerListChange { endpoints, commands }
    }

    /// Returns the endpoint of a worker for the decision module.
    pub fn endpoint(&self, contracts: &Contracts, worker: WorkerId, listed: &ListedWorker) -> Endpoint {
        let started_at = self.start_times.effective(worker, listed.started_at);
        Endpoint {
            worker,
            zone: contracts.zone(&listed.zone),
            cell: CellId(listed.cell),
            status: self.disabled.effective_status(&listed.name, listed.status),
            units: listed.units,
            started_at: self.disabled.effective_start(&listed.name, started_at),
        }
    }

    /// Returns the transport's command that adds or updates a worker.
    pub fn upsert_command(endpoint: &Endpoint, listed: &ListedWorker) -> Command {
        Command::UpsertWorker {
            worker: endpoint.worker,
            name: listed.name.clone(),
            address: listed.address.clone(),
            accepts_work: endpoint.status == EndpointStatus::Active,
        }
    }

    /// Removes workers from the registry that are not listed and have no attempt in flight, if it contains more than
    /// [`MAX_REGISTERED_WORKERS`].
    pub fn forget_unlisted(&mut self, in_flight: &InFlight) {
        let registered: Vec<WorkerId> = self.registry.ids().collect();
        if registered.len() <= MAX_REGISTERED_WORKERS {
            return;
        }
        let workers_in_flight = in_flight.workers();
        let is_unused =
            |worker: &WorkerId| !self.listed.contains_key(worker) && !workers_in_flight.contains(worker);
        self.registry.forget(registered.into_iter().filter(is_unused));
        self.disabled.retain_start_times(|name| self.registry.get(name).is_some());
    }
}
