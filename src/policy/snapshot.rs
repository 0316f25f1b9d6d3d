//! Snapshots of what an aggregator has learned, which a successor takes over in a hot restart, and the few
//! values that other modules read or set. This file makes no decisions.
//!
//! A snapshot is part of the hand-over message to a process that may run another version. The serialised
//! name of each field and the form of each tuple must not change.

use crate::policy::client_retries::ClientRetriesSnapshot;
use crate::policy::estimates::{DecayingRate, LatencyModel, QueryArrivals};
use crate::policy::load_reports::{Replica, normalise};
use crate::policy::worker_state::{Ejection, SentCost, WorkerState};
use crate::policy::{Aggregator, ClassId, ShardId, TenantId, Time, WorkerId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What was learned about one worker, identified by its name. The fields are those of [`WorkerState`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerSnapshot {
    name: String,
    /// When the worker's process started about which it was learned.
    #[serde(rename = "since")]
    started_at: Option<Time>,
    #[serde(rename = "cold_from")]
    warming_since: Option<Time>,
    #[serde(rename = "sent")]
    recent_sends: Vec<(Time, f64)>,
    utilization: Option<f64>,
    #[serde(rename = "heard")]
    last_report_at: Option<Time>,
    #[serde(rename = "seen")]
    mean_latency: f64,
    #[serde(rename = "planned")]
    mean_expected_latency: f64,
    #[serde(rename = "last_done")]
    last_success_at: Time,
    #[serde(rename = "spoke")]
    last_response_at: Time,
    #[serde(rename = "silent")]
    unresponsive: bool,
    #[serde(rename = "inferred")]
    ejected_with_zone: bool,
    #[serde(rename = "unreached")]
    connect_failed_at: Option<Time>,
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    #[serde(rename = "lost")]
    failure_rates: Vec<(Option<ClassId>, f64, Time)>,
    /// The earliest time of the next half-open attempt, and the ejection's duration.
    #[serde(rename = "suspect")]
    ejection: Option<(Time, Duration)>,
    #[serde(rename = "served")]
    served_cost_rate: f64,
}

/// What an aggregator has learned: about workers, the weights of each shard's replicas, and for admission.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySnapshot {
    #[serde(rename = "leaves")]
    workers: Vec<WorkerSnapshot>,
    #[serde(rename = "shards")]
    replica_sets: Vec<(ShardId, Vec<(String, f64)>)>,
    #[serde(rename = "shares")]
    tenant_quotas: Vec<(TenantId, f64, Time)>,
    #[serde(flatten)]
    client_retries: ClientRetriesSnapshot,
    #[serde(rename = "model")]
    latency_model: LatencyModel,
    #[serde(rename = "lost")]
    recent_failure_rate: f64,
    #[serde(rename = "gap")]
    query_interval: f64,
    #[serde(rename = "asked")]
    last_query_at: Time,
    #[serde(rename = "answered")]
    last_success_at: Time,
    #[serde(rename = "base")]
    base_latency: Vec<f64>,
}

impl PolicySnapshot {
    /// The names of all workers in the snapshot, including those that are gone.
    pub fn worker_names(&self) -> impl Iterator<Item = &str> {
        self.workers.iter().map(|worker| worker.name.as_str())
    }
}

impl WorkerSnapshot {
    fn new(name: &str, worker: &WorkerState) -> Self {
        let rate = |(class, rate): (&Option<ClassId>, &DecayingRate)| (*class, rate.value, rate.updated_at);
        WorkerSnapshot {
            name: name.to_owned(),
            started_at: worker.endpoint.started_at,
            warming_since: worker.warming_since,
            recent_sends: worker.recent_sends.iter().map(|sent| (sent.at, sent.cost)).collect(),
            utilization: worker.utilization,
            last_report_at: worker.last_report_at,
            mean_latency: worker.mean_latency,
            mean_expected_latency: worker.mean_expected_latency,
            last_success_at: worker.last_success_at,
            last_response_at: worker.last_response_at,
            unresponsive: worker.unresponsive,
            ejected_with_zone: worker.ejected_with_zone,
            connect_failed_at: worker.connect_failed_at,
            consecutive_failures: worker.consecutive_failures,
            failure_rates: worker.failure_rates.iter().map(rate).collect(),
            ejection: worker.ejection.map(|ejection| (ejection.retry_at, ejection.duration)),
            served_cost_rate: worker.served_cost_rate,
        }
    }

    /// Copies the snapshot into a worker's state. If the worker's process has been replaced since, only the
    /// recent sends and the start of the warm-up are taken over.
    fn restore(self, worker: &mut WorkerState) {
        worker.recent_sends = self.recent_sends.into_iter().map(|(at, cost)| SentCost { at, cost }).collect();
        worker.warming_since = worker.warming_since.max(self.warming_since);
        if worker.endpoint.started_at != self.started_at {
            return;
        }
        let rate = |(class, value, updated_at)| (class, DecayingRate { value, updated_at });
        worker.utilization = self.utilization;
        worker.last_report_at = self.last_report_at;
        worker.mean_latency = self.mean_latency;
        worker.mean_expected_latency = self.mean_expected_latency;
        worker.last_success_at = self.last_success_at;
        worker.last_response_at = self.last_response_at;
        worker.unresponsive = self.unresponsive;
        worker.ejected_with_zone = self.ejected_with_zone;
        worker.connect_failed_at = self.connect_failed_at;
        worker.consecutive_failures = self.consecutive_failures;
        worker.failure_rates = self.failure_rates.into_iter().map(rate).collect();
        worker.ejection = self.ejection.map(|(retry_at, duration)| Ejection { retry_at, duration });
        worker.served_cost_rate = self.served_cost_rate;
    }
}

impl Aggregator {
    /// The active workers that are ejected.
    pub fn ejected_workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        let ejected =
            self.workers.iter().filter(|(_, worker)| worker.is_active() && worker.ejection.is_some());
        ejected.map(|(id, _)| *id)
    }

    /// Replaces [`Settings::slow_start_budget_factor`](crate::policy::Settings::slow_start_budget_factor):
    /// while two processes of one aggregator run, they share its budget.
    pub fn set_slow_start_budget_factor(&mut self, factor: f64) {
        self.settings.slow_start_budget_factor = factor;
    }

    /// Replaces [`Settings::fleet_size`](crate::policy::Settings::fleet_size), the number of aggregators
    /// that share the workers; 0 counts as 1.
    pub fn set_fleet_size(&mut self, aggregators: u32) {
        self.settings.fleet_size = aggregators.max(1);
    }

    /// What the aggregator has learned. Workers for which `name` returns `None` are left out.
    #[must_use]
    pub fn snapshot<'a>(&self, name: impl Fn(WorkerId) -> Option<&'a str>) -> PolicySnapshot {
        let worker_snapshot =
            |(id, worker): (&WorkerId, &WorkerState)| Some(WorkerSnapshot::new(name(*id)?, worker));
        let named_weight = |replica: &Replica| Some((name(replica.worker)?.to_owned(), replica.weight));
        let weights = |set: &Vec<Replica>| set.iter().filter_map(named_weight).collect();
        PolicySnapshot {
            workers: self.workers.iter().filter_map(worker_snapshot).collect(),
            replica_sets: self.replica_sets.iter().map(|(shard, set)| (*shard, weights(set))).collect(),
            tenant_quotas: self.tenant_quotas.snapshot(),
            client_retries: self.client_retries.snapshot(),
            latency_model: self.estimates.latency_model.clone(),
            recent_failure_rate: self.estimates.recent_failure_rate,
            query_interval: self.estimates.query_arrivals.mean_interval_s,
            last_query_at: self.estimates.query_arrivals.last_at,
            last_success_at: self.estimates.last_success_at,
            base_latency: self.estimates.base_latency.clone(),
        }
    }

    /// Takes over what a predecessor has learned. Workers that are not in the endpoint list yet are
    /// skipped.
    pub fn restore(&mut self, snapshot: PolicySnapshot, id: impl Fn(&str) -> Option<WorkerId>) {
        for worker in snapshot.workers {
            if let Some(known) = id(&worker.name).and_then(|id| self.workers.get_mut(&id)) {
                worker.restore(known);
            }
        }
        for (shard, weights) in snapshot.replica_sets {
            let Some(set) = self.replica_sets.get_mut(&shard) else { continue };
            for (name, weight) in weights {
                if let Some(id) = id(&name)
                    && let Some(replica) = set.iter_mut().find(|replica| replica.worker == id)
                {
                    replica.weight = weight;
                }
            }
            normalise(set);
        }
        self.tenant_quotas.restore(snapshot.tenant_quotas);
        self.client_retries.restore(snapshot.client_retries);
        if snapshot.base_latency.len() == self.estimates.base_latency.len() {
            self.estimates.base_latency = snapshot.base_latency;
        }
        self.estimates.latency_model = snapshot.latency_model;
        self.estimates.recent_failure_rate = snapshot.recent_failure_rate;
        self.estimates.query_arrivals =
            QueryArrivals { mean_interval_s: snapshot.query_interval, last_at: snapshot.last_query_at };
        self.estimates.last_success_at = snapshot.last_success_at;
    }
}
