//! The endpoint list: applies its updates, derives the replica set of each shard, and schedules the
//! subscription to the list. Workers' health is judged elsewhere.

use crate::policy::load_reports::{Replica, normalise};
use crate::policy::outlier_detection::{MAX_EJECTION_TIME, MIN_EJECTION_TIME};
use crate::policy::worker_state::WorkerState;
use crate::policy::{
    Aggregator, Endpoint, EndpointStatus, EndpointUpdate, Settings, ShardId, Time, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Backoff after the first failure of the subscription; each further failure doubles it.
const MIN_BACKOFF: Duration = MIN_EJECTION_TIME;
/// Upper bound of the backoff, before jitter.
const MAX_BACKOFF: Duration = MAX_EJECTION_TIME;
/// Upper bound of the random share that is added to a backoff, so that aggregators whose subscriptions
/// failed together do not retry together.
const BACKOFF_JITTER: f64 = 0.5;

/// The schedule of subscriptions to the endpoint list: at the start, and after each failure with backoff.
#[derive(Default)]
pub(super) struct Subscription {
    /// When to subscribe next; `None` while subscribed, or if the list is pushed without a subscription.
    subscribe_at: Option<Time>,
    backoff: Duration,
}

impl Subscription {
    pub(super) fn new(settings: &Settings) -> Self {
        Subscription { subscribe_at: settings.poll_discovery.then_some(Time(0)), backoff: MIN_BACKOFF }
    }

    /// Whether it is time to subscribe. Returns `true` once for each scheduled time.
    pub(super) fn take_due(&mut self, now: Time) -> bool {
        self.subscribe_at.take_if(|at| *at <= now).is_some()
    }

    fn succeeded(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    fn failed(&mut self, now: Time, settings: &Settings, random: &mut fastrand::Rng) {
        let wait = self.backoff.mul_f64(1.0 + BACKOFF_JITTER * random.f64());
        self.subscribe_at = settings.poll_discovery.then_some(now.after(wait));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

impl Aggregator {
    /// Applies an update of the endpoint list, or the failure of the subscription. Workers that are missing
    /// from a full list are marked as gone.
    pub(super) fn apply_endpoint_update(&mut self, update: EndpointUpdate) {
        let (endpoints, is_full_list) = match update {
            EndpointUpdate::Failed => {
                return self.subscription.failed(self.now, &self.settings, &mut self.random);
            }
            EndpointUpdate::Delta(endpoints) => (endpoints, false),
            EndpointUpdate::Full(endpoints) | EndpointUpdate::Cached(endpoints) => (endpoints, true),
        };
        self.subscription.succeeded();
        if is_full_list {
            let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
            for (_, worker) in self.workers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                worker.endpoint.status = EndpointStatus::Gone;
            }
        }
        endpoints.iter().for_each(|endpoint| self.apply_endpoint(endpoint));
        self.rebuild_replica_sets();
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        let now = self.now;
        let recent_start = endpoint.started_at.filter(|at| now.since(*at) < self.settings.warm_up);
        let worker = self.workers.entry(endpoint.worker).or_insert_with(|| WorkerState::new(now));
        if worker.endpoint.started_at != endpoint.started_at && recent_start.is_some() {
            // A new process runs there: the old process's ejection, failures and latency don't apply to it.
            worker.warming_since = worker.warming_since.max(recent_start);
            worker.reinstate();
            worker.mean_latency = worker.mean_expected_latency;
        }
        worker.endpoint = endpoint.clone();
    }

    /// Rebuilds the set of active replicas of each shard. Replicas that stay in the set keep their weight
    /// in proportion to each other; new ones start with an even weight.
    fn rebuild_replica_sets(&mut self) {
        let previous_sets = std::mem::take(&mut self.replica_sets);
        for (shard, workers) in active_replicas(&self.workers, &self.settings) {
            let even_weight = 1.0 / workers.len().max(1) as f64;
            let previous_set = previous_sets.get(&shard);
            let weight_of = |id: WorkerId| {
                let replica = previous_set.and_then(|set| set.iter().find(|replica| replica.worker == id));
                replica.map_or(even_weight, |replica| replica.weight)
            };
            let mut set: Vec<Replica> =
                workers.into_iter().map(|id| Replica { worker: id, weight: weight_of(id) }).collect();
            normalise(&mut set);
            self.replica_sets.insert(shard, set);
        }
    }
}

/// The active workers that hold each shard, in the order of their ids. Shard `s` is held by the workers of
/// `cells_per_shard` consecutive cells from cell `s`, or by every worker if there are no cells. The workers
/// are grouped by cell first, so that the cost does not grow with the square of the list's length.
fn active_replicas(
    workers: &BTreeMap<WorkerId, WorkerState>,
    settings: &Settings,
) -> BTreeMap<ShardId, Vec<WorkerId>> {
    let cell_of = |index: u32| index.checked_rem(settings.cells).unwrap_or(0);
    let mut by_cell: BTreeMap<u32, Vec<WorkerId>> = BTreeMap::new();
    for (id, worker) in workers.iter().filter(|(_, worker)| worker.is_active()) {
        by_cell.entry(cell_of(worker.endpoint.cell.0)).or_default().push(*id);
    }
    let cells_per_shard = if settings.cells == 0 { 1 } else { settings.cells_per_shard.min(settings.cells) };
    let replicas_of = |shard: u32| {
        let holding_cells =
            (0..cells_per_shard).filter_map(|offset| by_cell.get(&cell_of(cell_of(shard) + offset)));
        let mut ids: Vec<WorkerId> = holding_cells.flatten().copied().collect();
        ids.sort_unstable();
        (ShardId(shard), ids)
    };
    (0..settings.shards).map(replicas_of).collect()
}
