//! The endpoint list, and the replica set of each shard.

use crate::policy::estimates::INITIAL_COST_S;
use crate::policy::load_reports::normalise;
use crate::policy::outlier_detection::{MAX_EJECTION_TIME, MIN_EJECTION_TIME};
use crate::policy::worker_state::WorkerState;
use crate::policy::{Aggregator, EndpointStatus, EndpointUpdate, Settings, ShardId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

impl Aggregator {
    pub(super) fn apply_endpoint_update(&mut self, news: EndpointUpdate) {
        let (entries, complete) = match news {
            EndpointUpdate::Failed => {
                let wait = self.subscribe_backoff.mul_f64(1.0 + 0.5 * self.random.f64());
                self.subscribe_at = self.settings.poll_discovery.then_some(self.now.after(wait));
                self.subscribe_backoff = (self.subscribe_backoff * 2).min(MAX_EJECTION_TIME);
                return;
            }
            EndpointUpdate::Delta(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Cached(entries) => (entries, true),
        };
        self.subscribe_backoff = MIN_EJECTION_TIME;
        if complete {
            let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
            for (_, worker) in self.workers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                worker.endpoint.status = EndpointStatus::Gone;
            }
        }
        for entry in entries.iter() {
            let fresh = entry.started_at.filter(|since| self.now.since(*since) < self.settings.warm_up);
            let worker = self.workers.entry(entry.worker).or_insert_with(|| WorkerState {
                mean_latency: INITIAL_COST_S,
                mean_expected_latency: INITIAL_COST_S,
                passes_health_checks: true,
                last_success_at: self.now,
                next_health_check_at: self.now,
                ..WorkerState::default()
            });
            if worker.endpoint.started_at != entry.started_at && fresh.is_some() {
                // A new process: what was held against the old one is void.
                worker.warming_since = worker.warming_since.max(fresh);
                worker.reinstate();
                worker.mean_latency = worker.mean_expected_latency;
            }
            worker.endpoint = entry.clone();
        }
        self.rebuild_replica_sets();
    }

    /// The active replicas of each shard; those that stay keep their multiplier.
    pub(super) fn rebuild_replica_sets(&mut self) {
        let before = std::mem::take(&mut self.replica_sets);
        for (shard, held) in holders(&self.workers, &self.settings) {
            let mut row: Vec<(WorkerId, f64)> = held.into_iter().map(|id| (id, 1.0)).collect();
            let even = 1.0 / row.len().max(1) as f64;
            for (id, m) in &mut row {
                let known = before.get(&shard).and_then(|row| row.iter().find(|known| known.0 == *id));
                *m = known.map_or(even, |known| known.1);
            }
            normalise(&mut row);
            self.replica_sets.insert(shard, row);
        }
    }
}

/// The active leaves that hold each shard, by id: shard `s` lies in `span` cells in a row from cell `s`, or
/// with every leaf where there are no cells. Goes by cells, so that a list of many leaves does not cost their
/// square.
pub fn holders(
    workers: &BTreeMap<WorkerId, WorkerState>,
    settings: &Settings,
) -> BTreeMap<ShardId, Vec<WorkerId>> {
    let cell_of = |at: u32| at.checked_rem(settings.cells).unwrap_or(0);
    let mut by_cell: BTreeMap<u32, Vec<WorkerId>> = BTreeMap::new();
    for (id, worker) in workers.iter().filter(|(_, worker)| worker.endpoint.status == EndpointStatus::Active)
    {
        by_cell.entry(cell_of(worker.endpoint.cell.0)).or_default().push(*id);
    }
    let steps = if settings.cells == 0 { 1 } else { settings.cells_per_shard.min(settings.cells) };
    let held = |shard: u32| {
        let cells = (0..steps).filter_map(|step| by_cell.get(&cell_of(cell_of(shard) + step)));
        let mut ids: Vec<WorkerId> = cells.flatten().copied().collect();
        ids.sort_unstable();
        (ShardId(shard), ids)
    };
    (0..settings.shards).map(held).collect()
}
