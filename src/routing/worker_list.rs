//! The workers that discovery lists, and which of them operators have disabled, whatever it says. It turns news of either
//! into orders for the transport and entries for the module.

use super::command::Command;
use super::contracts::Contracts;
use super::in_flight::InFlight;
use super::start_times::StartTimes;
use super::worker_registry::{ListedWorker, WorkerListUpdate, WorkerRegistry};
use crate::policy::*;
use crate::service::DisabledWorkers;
use std::collections::{HashMap, HashSet};

/// Workers that may be remembered after they have gone: far more than a day replaces.
pub(super) const MOST_NAMES: usize = 4096;

/// The list as discovery tells it, and who is out by hand.
#[derive(Default)]
pub(super) struct WorkerList {
    /// The ids of all that were ever listed.
    pub registry: WorkerRegistry,
    /// Who is out by hand.
    pub bans: DisabledWorkers,
    listed: HashMap<WorkerId, ListedWorker>,
    /// Starts that lie in the future.
    starts: StartTimes,
}

impl WorkerList {
    /// Workers in the list.
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

    /// Whether new work may go to a worker: it is listed, serves, and is not out by hand.
    pub fn serves(&self, worker: WorkerId) -> bool {
        let listed = self.listed.get(&worker);
        listed.is_some_and(|member| {
            self.bans.effective_status(&member.name, member.status) == EndpointStatus::Active
        })
    }

    /// Whether a listed worker is out by hand.
    pub fn is_out(&self, worker: WorkerId) -> bool {
        self.listed.get(&worker).is_some_and(|member| self.bans.is_disabled(&member.name))
    }

    /// Listed workers that are out by hand.
    pub fn count_out(&self) -> usize {
        self.listed.values().filter(|member| self.bans.is_disabled(&member.name)).count()
    }

    /// The whole list, by name.
    pub fn listing(&self) -> WorkerListUpdate {
        let mut members: Vec<ListedWorker> = self.listed.values().cloned().collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        WorkerListUpdate { revision: 0, complete: true, workers: members }
    }

    /// Takes news of discovery: an entry for each member that it names, and what the transport is to do.
    pub fn take(
        &mut self,
        now: Time,
        contracts: &Contracts,
        listing: &WorkerListUpdate,
    ) -> (Vec<Endpoint>, Vec<Command>) {
        let mut entries = Vec::new();
        let mut orders = Vec::new();
        let mut named = HashSet::new();
        for member in &listing.workers {
            let worker = self.registry.id(&member.name);
            named.insert(worker);
            self.starts.learn(now, worker, member.started_at);
            let entry = self.entry(contracts, worker, member);
            if member.status == EndpointStatus::Gone {
                self.listed.remove(&worker);
                orders.push(Command::RemoveWorker { worker });
            } else {
                self.listed.insert(worker, member.clone());
                orders.push(WorkerList::order(&entry, member));
            }
            entries.push(entry);
        }
        if listing.complete {
            let gone = self.listed.extract_if(|worker, _| !named.contains(worker));
            orders.extend(gone.map(|(worker, _)| Command::RemoveWorker { worker }));
        }
        self.starts.retain(|worker| self.listed.contains_key(&worker));
        (entries, orders)
    }

    /// An entry as the module is told of it.
    pub fn entry(&self, contracts: &Contracts, worker: WorkerId, member: &ListedWorker) -> Endpoint {
        Endpoint {
            worker: worker,
            zone: contracts.zone(&member.zone),
            cell: CellId(member.cell),
            status: self.bans.effective_status(&member.name, member.status),
            units: member.units,
            started_at: self.bans.effective_start(&member.name, self.starts.held(worker, member.started_at)),
        }
    }

    /// What the transport is told of a listed worker.
    pub fn order(entry: &Endpoint, member: &ListedWorker) -> Command {
        Command::UpsertWorker {
            worker: entry.worker,
            name: member.name.clone(),
            address: member.address.clone(),
            accepts_work: entry.status == EndpointStatus::Active,
        }
    }

    /// Forgets the names of workers that are no longer listed and have no attempt out, once there are too many.
    pub fn forget_gone(&mut self, in_flight: &InFlight) {
        let known: Vec<WorkerId> = self.registry.all().collect();
        if known.len() <= MOST_NAMES {
            return;
        }
        let busy = in_flight.workers();
        let idle = |worker: &WorkerId| !self.listed.contains_key(worker) && !busy.contains(worker);
        self.registry.forget(known.into_iter().filter(idle));
        self.bans.forget(|name| self.registry.known(name).is_some());
    }
}
