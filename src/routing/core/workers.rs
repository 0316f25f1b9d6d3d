//! What the core hears of workers and of other gatherers: discovery's lists, operators' calls, load reports, what another
//! process of this gatherer knew; and what the records are told of it.

use super::Core;
use crate::policy::PolicySnapshot;
use crate::policy::*;
use crate::records::record::{RecordBody, RecordedWorkerState};
use crate::routing::command::Command;
use crate::routing::worker_list::{MOST_NAMES, WorkerList};
use crate::routing::worker_registry::WorkerListUpdate;
use crate::routing::worker_states::WorkerStates;
use crate::service::DisabledWorkers;
use std::time::Duration;

impl Core {
    /// Whether it knows of any worker.
    pub fn has_workers(&self) -> bool {
        self.workers.len() > 0
    }

    /// Workers in the list.
    pub fn listed_workers(&self) -> usize {
        self.workers.len()
    }

    /// Listed workers that are out by hand, or get nothing but trials.
    pub fn avoided_workers(&self) -> usize {
        let suspects = self.module.ejected_workers().filter(|worker| self.workers.contains(*worker));
        self.workers.count_out() + suspects.count()
    }

    /// The name of a worker that was ever listed.
    pub fn worker_name(&self, worker: WorkerId) -> Option<&str> {
        self.workers.registry.name(worker)
    }

    /// The list as discovery last told it.
    pub fn endpoint_list(&self) -> WorkerListUpdate {
        self.workers.listing()
    }

    /// Whether discovery itself has told a list.
    pub fn has_discovery_list(&self) -> bool {
        self.heard_discovery
    }

    /// Who is out by hand.
    pub fn disabled_workers(&self) -> &DisabledWorkers {
        &self.workers.bans
    }

    /// News from discovery; `cached` for the list as last held.
    pub fn apply_endpoint_update(&mut self, now: Time, listing: &WorkerListUpdate, cached: bool) {
        self.counters.listings += 1;
        self.heard_discovery |= !cached;
        let (entries, orders) = self.workers.take(now, &self.contracts, listing);
        self.orders.extend(orders);
        self.record_list(now, listing, &entries);
        self.workers.forget_gone(&self.in_flight);
        self.events.push(Event::EndpointUpdate(match (cached, listing.complete) {
            (true, _) => EndpointUpdate::Cached(entries.into()),
            (false, true) => EndpointUpdate::Full(entries.into()),
            (false, false) => EndpointUpdate::Delta(entries.into()),
        }));
    }

    /// A load report that came by itself, not with an answer.
    pub fn on_load_report(&mut self, worker: &str, report: LoadReport) -> bool {
        let Some(leaf) = self.workers.registry.known(worker) else { return false };
        let (outcome, elapsed) = (AttemptOutcome::Succeeded, Duration::ZERO);
        self.events.push(Event::HealthCheckFinished {
            worker: leaf,
            outcome,
            elapsed,
            load_report: Some(report),
        });
        true
    }

    /// Takes a worker out by hand until [`Core::enable`], whatever the list says meanwhile; false if no list ever named
    /// it, and then nothing changes.
    pub fn disable_worker(&mut self, now: Time, name: &str) -> bool {
        self.by_hand(now, name, |bans| bans.disable(name))
    }

    /// Takes a worker back that was taken out by hand; false if no list ever named it.
    pub fn enable_worker(&mut self, now: Time, name: &str) -> bool {
        self.by_hand(now, name, |bans| bans.enable(now, name))
    }

    fn by_hand(&mut self, now: Time, name: &str, change: impl FnOnce(&mut DisabledWorkers) -> bool) -> bool {
        let Some(worker) = self.workers.registry.known(name) else { return false };
        if !change(&mut self.workers.bans) {
            return true;
        }
        let place = if self.workers.bans.is_disabled(name) { "out" } else { "back" };
        self.orders.push(Command::Log(format!("worker {name} is {place} by hand")));
        if let Some(member) = self.workers.get(worker) {
            let entry = self.workers.entry(&self.contracts, worker, member);
            self.orders.push(WorkerList::order(&entry, member));
            self.record_states(now, std::slice::from_ref(&entry), Vec::new());
            self.events.push(Event::EndpointUpdate(EndpointUpdate::Delta([entry].into())));
        }
        true
    }

    /// So many processes are this one gatherer, and share what it may hold and push.
    pub fn set_process_count(&mut self, processes: u32) {
        self.processes = processes.max(1);
        let whole = self.contracts.settings.slow_start_budget_factor;
        self.module.set_slow_start_budget_factor(whole / f64::from(self.processes));
    }

    /// So many gatherers share the fleet: in place of the settings' number, for cold workers, trials of suspects, tenants'
    /// quotas and calls to discovery.
    pub fn set_fleet_size(&mut self, gatherers: u32) {
        self.contracts.settings.fleet_size = gatherers.max(1);
        self.module.set_fleet_size(gatherers);
    }

    /// How many share it.
    pub fn fleet_size(&self) -> u32 {
        self.contracts.settings.fleet_size
    }

    /// What the module has learned.
    pub fn policy_snapshot(&self) -> PolicySnapshot {
        self.module.snapshot(|worker| self.workers.registry.name(worker))
    }

    /// A worker that a list named to another process of this gatherer.
    pub fn register_worker(&mut self, name: &str) {
        self.workers.registry.id(name);
    }

    /// Takes over what another process of this gatherer knew: its list, who is out by hand, what its module learned.
    pub fn take_over(
        &mut self,
        now: Time,
        list: &WorkerListUpdate,
        bans: DisabledWorkers,
        learned: PolicySnapshot,
    ) {
        learned
            .worker_names()
            .chain(bans.names())
            .take(MOST_NAMES)
            .for_each(|name| self.register_worker(name));
        self.workers.bans = bans;
        self.apply_endpoint_update(now, list, true);
        // The module has to know the leaves before it is told of them.
        let orders = self.step(now);
        self.module.restore(learned, |name| self.workers.registry.known(name));
        self.orders.extend(orders);
    }

    /// Tells the records what a list has changed.
    fn record_list(&mut self, now: Time, listing: &WorkerListUpdate, entries: &[Endpoint]) {
        if self.metrics.is_none() {
            return;
        }
        let (revision, complete, workers) = (listing.revision, listing.complete, self.workers.len());
        self.record_events.push(RecordBody::EndpointList { revision, complete, workers });
        let gone = self.states.missing(|worker| self.workers.contains(worker));
        self.record_states(now, entries, gone);
    }

    /// Tells the records how these workers are seen now, where that has changed, and which are gone.
    fn record_states(&mut self, now: Time, entries: &[Endpoint], gone: Vec<WorkerId>) {
        if self.metrics.is_none() {
            return;
        }
        for entry in entries {
            let out = self.workers.is_out(entry.worker);
            let warm_up = self.contracts.settings.warm_up;
            self.record_state(entry.worker, WorkerStates::of(entry, out, now, warm_up));
        }
        for worker in gone {
            self.record_state(worker, RecordedWorkerState::Removed);
        }
    }

    fn record_state(&mut self, worker: WorkerId, state: RecordedWorkerState) {
        if self.states.update(worker, state)
            && let Some(name) = self.workers.registry.name(worker)
        {
            self.record_events.push(RecordBody::Worker { worker: name.to_owned(), state });
        }
    }
}
