//! What an aggregator has learned, as others may read it, and as a successor takes it over. Nothing here
//! decides.

use crate::policy::client_retries::KnownPatience;
use crate::policy::estimates::LatencyModel;
use crate::policy::load_reports::normalise;
use crate::policy::worker_state::WorkerState;
use crate::policy::{Aggregator, ClassId, EndpointStatus, ShardId, TenantId, Time, WorkerId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What was learned of one worker, by its name. It travels in the hand-over message to a process that may be
/// of another version: each renamed field keeps the name that the message has always had.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerSnapshot {
    name: String,
    /// The start of the process of which it was learned.
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
    #[serde(rename = "suspect")]
    ejection: Option<(Time, Duration)>,
    #[serde(rename = "served")]
    served_cost_rate: f64,
}

/// What was learned of workers, of the weights of each shard's replicas, and for admission. Renamed fields
/// keep their names in the hand-over message, as in [`WorkerSnapshot`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySnapshot {
    #[serde(rename = "leaves")]
    workers: Vec<WorkerSnapshot>,
    #[serde(rename = "shards")]
    replica_sets: Vec<(ShardId, Vec<(String, f64)>)>,
    #[serde(rename = "shares")]
    tenant_quotas: Vec<(TenantId, f64, Time)>,
    #[serde(flatten)]
    client_retries: KnownPatience,
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
    /// The leaves of which anything was learned, those that are gone among them.
    pub fn worker_names(&self) -> impl Iterator<Item = &str> {
        self.workers.iter().map(|worker| worker.name.as_str())
    }
}

impl Aggregator {
    /// The active leaves that it sends nothing to but trials.
    pub fn ejected_workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        let suspect = self.workers.iter().filter(|(_, worker)| {
            worker.endpoint.status == EndpointStatus::Active && worker.ejection.is_some()
        });
        suspect.map(|(id, _)| *id)
    }

    /// Has it push cold leaves by this multiple of what they bear, in place of that of its settings: two
    /// processes of one root share it.
    pub fn set_slow_start_budget_factor(&mut self, multiple: f64) {
        self.settings.slow_start_budget_factor = multiple;
    }

    /// So many roots share the fleet, in place of the number of its settings.
    pub fn set_fleet_size(&mut self, roots: u32) {
        self.settings.fleet_size = roots.max(1);
    }

    /// What it has learned of the leaves that have a name.
    pub fn snapshot<'a>(&self, name: impl Fn(WorkerId) -> Option<&'a str>) -> PolicySnapshot {
        let of = |(id, worker): (&WorkerId, &WorkerState)| {
            Some(WorkerSnapshot {
                name: name(*id)?.to_owned(),
                started_at: worker.endpoint.started_at,
                warming_since: worker.warming_since,
                recent_sends: worker.recent_sends.iter().copied().collect(),
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
                failure_rates: worker
                    .failure_rates
                    .iter()
                    .map(|(class, (share, at))| (*class, *share, *at))
                    .collect(),
                ejection: worker.ejection,
                served_cost_rate: worker.served_cost_rate,
            })
        };
        let row = |row: &Vec<(WorkerId, f64)>| {
            row.iter().filter_map(|(id, m)| Some((name(*id)?.to_owned(), *m))).collect()
        };
        PolicySnapshot {
            workers: self.workers.iter().filter_map(of).collect(),
            replica_sets: self.replica_sets.iter().map(|(shard, held)| (*shard, row(held))).collect(),
            tenant_quotas: self.tenant_quota.known(),
            client_retries: self.client_retries.known(),
            latency_model: self.latency_model.clone(),
            recent_failure_rate: self.recent_failure_rate,
            query_interval: self.query_interval,
            last_query_at: self.last_query_at,
            last_success_at: self.last_success_at,
            base_latency: self.base_latency.clone(),
        }
    }

    /// Takes over what another has learned, of the leaves that it knows itself by now. What was learned of a
    /// process that has been replaced since is left out, but for when it was last sent work.
    pub fn restore(&mut self, learned: PolicySnapshot, worker: impl Fn(&str) -> Option<WorkerId>) {
        for of in learned.workers {
            let Some(own) = worker(&of.name).and_then(|id| self.workers.get_mut(&id)) else { continue };
            own.recent_sends = of.recent_sends.into();
            own.warming_since = own.warming_since.max(of.warming_since);
            if own.endpoint.started_at != of.started_at {
                continue;
            }
            (own.utilization, own.last_report_at) = (of.utilization, of.last_report_at);
            (own.mean_latency, own.mean_expected_latency) = (of.mean_latency, of.mean_expected_latency);
            (own.last_success_at, own.last_response_at) = (of.last_success_at, of.last_response_at);
            (own.unresponsive, own.ejected_with_zone, own.connect_failed_at) =
                (of.unresponsive, of.ejected_with_zone, of.connect_failed_at);
            (own.consecutive_failures, own.ejection, own.served_cost_rate) =
                (of.consecutive_failures, of.ejection, of.served_cost_rate);
            own.failure_rates =
                of.failure_rates.into_iter().map(|(class, share, at)| (class, (share, at))).collect();
        }
        for (shard, held) in learned.replica_sets {
            let Some(row) = self.replica_sets.get_mut(&shard) else { continue };
            for (name, m) in held {
                if let Some(id) = worker(&name)
                    && let Some(own) = row.iter_mut().find(|own| own.0 == id)
                {
                    own.1 = m;
                }
            }
            normalise(row);
        }
        self.tenant_quota.take_over(learned.tenant_quotas);
        self.client_retries.take_over(learned.client_retries);
        if learned.base_latency.len() == self.base_latency.len() {
            self.base_latency = learned.base_latency;
        }
        self.latency_model = learned.latency_model;
        (self.recent_failure_rate, self.query_interval) =
            (learned.recent_failure_rate, learned.query_interval);
        (self.last_query_at, self.last_success_at) = (learned.last_query_at, learned.last_success_at);
    }
}
