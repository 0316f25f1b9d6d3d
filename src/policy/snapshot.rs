//! What an aggregator has learned, as others may read it, and as a successor takes it over. Nothing here
//! decides.

use super::Aggregator;
use crate::policy::client_retries::KnownPatience;
use crate::policy::estimates::{Model, normalise};
use crate::policy::state::WorkerState;
use crate::policy::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What was learned of one leaf, by its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerSnapshot {
    name: String,
    /// The start of the process of which it was learned.
    since: Option<Time>,
    cold_from: Option<Time>,
    sent: Vec<(Time, f64)>,
    utilization: Option<f64>,
    heard: Option<Time>,
    seen: f64,
    planned: f64,
    last_done: Time,
    spoke: Time,
    silent: bool,
    inferred: bool,
    unreached: Option<Time>,
    strikes: u32,
    lost: Vec<(Option<ClassId>, f64, Time)>,
    suspect: Option<(Time, Duration)>,
    served: f64,
}

/// What was learned in all: of leaves, of the multipliers of each shard's replicas, and for admission.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySnapshot {
    leaves: Vec<WorkerSnapshot>,
    shards: Vec<(ShardId, Vec<(String, f64)>)>,
    shares: Vec<(TenantId, f64, Time)>,
    #[serde(flatten)]
    clients: KnownPatience,
    model: Model,
    lost: f64,
    gap: f64,
    asked: Time,
    answered: Time,
    base: Vec<f64>,
}

impl PolicySnapshot {
    /// The leaves of which anything was learned, those that are gone among them.
    pub fn worker_names(&self) -> impl Iterator<Item = &str> {
        self.leaves.iter().map(|leaf| leaf.name.as_str())
    }
}

impl Aggregator {
    /// The active leaves that it sends nothing to but trials.
    pub fn ejected_workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        let suspect = self
            .leaves
            .iter()
            .filter(|(_, leaf)| leaf.entry.status == EndpointStatus::Active && leaf.suspect.is_some());
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
        let of = |(id, leaf): (&WorkerId, &WorkerState)| {
            Some(WorkerSnapshot {
                name: name(*id)?.to_owned(),
                since: leaf.entry.started_at,
                cold_from: leaf.cold_from,
                sent: leaf.sent.iter().copied().collect(),
                utilization: leaf.utilization,
                heard: leaf.heard,
                seen: leaf.seen,
                planned: leaf.planned,
                last_done: leaf.last_done,
                spoke: leaf.spoke,
                silent: leaf.silent,
                inferred: leaf.inferred,
                unreached: leaf.unreached,
                strikes: leaf.strikes,
                lost: leaf.lost.iter().map(|(class, (share, at))| (*class, *share, *at)).collect(),
                suspect: leaf.suspect,
                served: leaf.served,
            })
        };
        let row = |row: &Vec<(WorkerId, f64)>| {
            row.iter().filter_map(|(id, m)| Some((name(*id)?.to_owned(), *m))).collect()
        };
        PolicySnapshot {
            leaves: self.leaves.iter().filter_map(of).collect(),
            shards: self.shards.iter().map(|(shard, held)| (*shard, row(held))).collect(),
            shares: self.shares.known(),
            clients: self.retries.known(),
            model: self.model.clone(),
            lost: self.lost,
            gap: self.gap,
            asked: self.asked,
            answered: self.answered,
            base: self.base.clone(),
        }
    }

    /// Takes over what another has learned, of the leaves that it knows itself by now. What was learned of a
    /// process that has been replaced since is left out, but for when it was last sent work.
    pub fn restore(&mut self, learned: PolicySnapshot, leaf: impl Fn(&str) -> Option<WorkerId>) {
        for of in learned.leaves {
            let Some(own) = leaf(&of.name).and_then(|id| self.leaves.get_mut(&id)) else { continue };
            own.sent = of.sent.into();
            own.cold_from = own.cold_from.max(of.cold_from);
            if own.entry.started_at != of.since {
                continue;
            }
            (own.utilization, own.heard) = (of.utilization, of.heard);
            (own.seen, own.planned) = (of.seen, of.planned);
            (own.last_done, own.spoke) = (of.last_done, of.spoke);
            (own.silent, own.inferred, own.unreached) = (of.silent, of.inferred, of.unreached);
            (own.strikes, own.suspect, own.served) = (of.strikes, of.suspect, of.served);
            own.lost = of.lost.into_iter().map(|(class, share, at)| (class, (share, at))).collect();
        }
        for (shard, held) in learned.shards {
            let Some(row) = self.shards.get_mut(&shard) else { continue };
            for (name, m) in held {
                if let Some(id) = leaf(&name)
                    && let Some(own) = row.iter_mut().find(|own| own.0 == id)
                {
                    own.1 = m;
                }
            }
            normalise(row);
        }
        self.shares.take_over(learned.shares);
        self.retries.take_over(learned.clients);
        if learned.base.len() == self.base.len() {
            self.base = learned.base;
        }
        self.model = learned.model;
        (self.lost, self.gap) = (learned.lost, learned.gap);
        (self.asked, self.answered) = (learned.asked, learned.answered);
    }
}
