//! The utilization that workers report, and the weights of replicas that follow from it (DESIGN's update).
//! This file chooses no replica.

use crate::policy::time::seconds;
use crate::policy::{Aggregator, ReportField, WorkerId};

/// Gain of the weight update, a second (DESIGN's beta; left open there). One second of a full gap in
/// utilization moves a weight by this: seconds, not minutes, since a query's latency objective is seconds.
const WEIGHT_GAIN_PER_S: f64 = 0.4;
/// Least weight before normalising, as a share of an even one (DESIGN).
const MIN_WEIGHT_OF_EVEN: f64 = 0.1;
/// Seconds that one report may stand for: a worker that has not reported for long must not swing on one
/// report.
const MAX_REPORT_INTERVAL_S: f64 = 1.0;

/// One of a shard's active replicas and its weight (DESIGN's m); the weights of a replica set sum to 1.
#[derive(Clone, Copy)]
pub(super) struct Replica {
    pub(super) worker: WorkerId,
    pub(super) weight: f64,
}

impl Aggregator {
    /// DESIGN's update: m += beta (mean - u) dt for each shard of the worker, floored, then normalised.
    pub(super) fn apply_load_report(&mut self, id: WorkerId, utilization: f64) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let elapsed = worker.last_report_at.map_or(0.0, |at| seconds(self.now.since(at)));
        (worker.utilization, worker.last_report_at) = (Some(utilization), Some(self.now));
        let gain = WEIGHT_GAIN_PER_S * elapsed.min(MAX_REPORT_INTERVAL_S);
        if gain <= 0.0 {
            return;
        }
        for set in self.replica_sets.values_mut().filter(|set| set.iter().any(|replica| replica.worker == id))
        {
            let utilizations: Vec<f64> =
                set.iter().filter_map(|replica| self.workers.get(&replica.worker)?.utilization).collect();
            let mean = utilizations.iter().sum::<f64>() / utilizations.len().max(1) as f64;
            let min_weight = MIN_WEIGHT_OF_EVEN / set.len() as f64;
            for replica in set.iter_mut() {
                if replica.worker == id {
                    replica.weight += gain * (mean - utilization);
                }
                replica.weight = replica.weight.max(min_weight);
            }
            normalise(set);
        }
    }
}

/// Makes the weights of a replica set sum to 1.
pub(super) fn normalise(set: &mut [Replica]) {
    let total: f64 = set.iter().map(|replica| replica.weight).sum();
    for replica in set.iter_mut() {
        replica.weight /= total;
    }
}

/// The utilization that a report shows: the busy share, else the parts in flight, else zero (DESIGN). Where
/// the report has neither, the utilization law gives the busy cores: rate times service time. Open scales are
/// bounded to stay under 1.
pub(super) fn utilization(fields: &[ReportField], report: &[Option<f64>]) -> f64 {
    let value = |field: ReportField| {
        let at = fields.iter().position(|known| *known == field)?;
        report.get(at).copied().flatten().filter(|value| value.is_finite() && *value >= 0.0)
    };
    let bounded = |value: f64| value / (1.0 + value);
    match (value(ReportField::Busy), value(ReportField::InFlight)) {
        (Some(busy), _) => busy.min(1.0),
        (None, Some(parts)) => bounded(parts),
        (None, None) => match (value(ReportField::Rate), value(ReportField::LatencyMs)) {
            (Some(rate), Some(latency_ms)) => bounded(rate * latency_ms / 1000.0),
            _ => 0.0,
        },
    }
}
