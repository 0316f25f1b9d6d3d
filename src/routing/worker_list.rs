//! The workers that discovery lists, and which of them operators have disabled. It turns changes of either into
//! commands for the transport and endpoints for the decision module.

use super::command::Command;
use super::contracts::Contracts;
use super::in_flight::InFlight;
use super::start_times::StartTimes;
use super::worker_registry::{ListedWorker, WorkerListUpdate, WorkerRegistry};
use crate::policy::{CellId, Endpoint, EndpointStatus, Time, WorkerId};
use crate::service::DisabledWorkers;
use std::collections::{HashMap, HashSet};

/// Names of workers that are remembered, listed or not. It is far more than a day of replacements adds.
pub(super) const MAX_REMEMBERED_WORKERS: usize = 4096;

/// What a change of the list leads to.
pub(super) struct WorkerListChange {
    /// An endpoint for each worker that the update names, for the decision module.
    pub endpoints: Vec<Endpoint>,
    /// What the transport is to carry out.
    pub commands: Vec<Command>,
}

/// The list as discovery sent it, and which workers are disabled.
#[derive(Default)]
pub(super) struct WorkerList {
    /// The ids of all workers that were ever listed.
    pub registry: WorkerRegistry,
    /// The workers that operators have disabled.
    pub disabled: DisabledWorkers,
    listed: HashMap<WorkerId, ListedWorker>,
    start_times: StartTimes,
}

impl WorkerList {
    /// The number of listed workers.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether the list names this worker.
    pub fn contains(&self, worker: WorkerId) -> bool {
        self.listed.contains_key(&worker)
    }

    /// A listed worker.
    pub fn get(&self, worker: WorkerId) -> Option<&ListedWorker> {
        self.listed.get(&worker)
    }

    /// Whether new attempts may go to a worker: it is listed as active and not disabled.
    pub fn accepts_work(&self, worker: WorkerId) -> bool {
        self.listed.get(&worker).is_some_and(|listed| {
            self.disabled.effective_status(&listed.name, listed.status) == EndpointStatus::Active
        })
    }

    /// Whether a worker is listed and disabled.
    pub fn is_disabled(&self, worker: WorkerId) -> bool {
        self.listed.get(&worker).is_some_and(|listed| self.disabled.is_disabled(&listed.name))
    }

    /// The number of listed workers that are disabled.
    pub fn count_disabled(&self) -> usize {
        self.listed.values().filter(|listed| self.disabled.is_disabled(&listed.name)).count()
    }

    /// The whole list, in the order of names.
    pub fn to_update(&self) -> WorkerListUpdate {
        let mut workers: Vec<ListedWorker> = self.listed.values().cloned().collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        WorkerListUpdate { revision: 0, complete: true, workers }
    }

    /// Applies what discovery sent.
    pub fn apply(&mut self, now: Time, contracts: &Contracts, update: &WorkerListUpdate) -> WorkerListChange {
        let mut endpoints = Vec::new();
        let mut commands = Vec::new();
        let mut named = HashSet::new();
        for listed in &update.workers {
            let worker = self.registry.get_or_insert(&listed.name);
            named.insert(worker);
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
            let removed = self.listed.extract_if(|worker, _| !named.contains(worker));
            commands.extend(removed.map(|(worker, _)| Command::RemoveWorker { worker }));
        }
        self.start_times.retain(|worker| self.listed.contains_key(&worker));
        WorkerListChange { endpoints, commands }
    }

    /// A worker as the decision module sees it.
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

    /// A listed worker as the transport sees it.
    pub fn upsert_command(endpoint: &Endpoint, listed: &ListedWorker) -> Command {
        Command::UpsertWorker {
            worker: endpoint.worker,
            name: listed.name.clone(),
            address: listed.address.clone(),
            accepts_work: endpoint.status == EndpointStatus::Active,
        }
    }

    /// Forgets the workers that are no longer listed and have no attempt in flight, once more than
    /// [`MAX_REMEMBERED_WORKERS`] are remembered.
    pub fn forget_removed(&mut self, in_flight: &InFlight) {
        let known: Vec<WorkerId> = self.registry.ids().collect();
        if known.len() <= MAX_REMEMBERED_WORKERS {
            return;
        }
        let busy = in_flight.workers();
        let is_unused = |worker: &WorkerId| !self.listed.contains_key(worker) && !busy.contains(worker);
        self.registry.forget(known.into_iter().filter(is_unused));
        self.disabled.retain_start_times(|name| self.registry.get(name).is_some());
    }
}
