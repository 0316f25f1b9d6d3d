//! Load reports: the utilization that they show, and the update of the replicas' weights by it (DESIGN).
//! Replica selection uses the weights; this file chooses no replica.

use crate::policy::time::seconds;
use crate::policy::{Aggregator, ReportField, WorkerId};

/// Gain of the weight update per second (`beta` in DESIGN, which gives no value). A difference of 1 in
/// utilization changes a weight by this much within a second. The scale is seconds, not minutes, because
/// latency objectives are seconds.
const WEIGHT_GAIN_PER_S: f64 = 0.4;
/// Lower bound of a weight before normalising, as a share of an even weight (DESIGN).
const MIN_WEIGHT_OF_EVEN: f64 = 0.1;
/// Upper bound of the time that one report counts for, in seconds: after a long time without a report, a
/// single one must not change the weight much.
const MAX_REPORT_INTERVAL_S: f64 = 1.0;

/// An active replica of a shard and its weight (`m` in DESIGN). The weights of a replica set sum to 1.
#[derive(Clone, Copy)]
pub(super) struct Replica {
    pub(super) worker: WorkerId,
    pub(super) weight: f64,
}

impl Aggregator {
    /// Applies a reported or assumed utilization `u` to the worker's weight in each of its shards, as in
    /// DESIGN: `m += beta (mean - u) dt`, then the lower bound, then normalisation.
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

/// Scales the weights of a replica set so that they sum to 1.
pub(super) fn normalise(set: &mut [Replica]) {
    let total: f64 = set.iter().map(|replica| replica.weight).sum();
    for replica in set.iter_mut() {
        replica.weight /= total;
    }
}

/// The utilization that a report shows, from 0 to 1: the busy share if reported, else the parts in flight,
/// else zero (DESIGN). If neither is reported but rate and service time are, their product gives the busy
/// cores (utilization law). Values without an upper bound, `x`, are mapped to `x / (1 + x)`.
pub(super) fn utilization(fields: &[ReportField], report: &[Option<f64>]) -> f64 {
    let reported = |field: ReportField| {
        let index = fields.iter().position(|known| *known == field)?;
        report.get(index).copied().flatten().filter(|value| value.is_finite() && *value >= 0.0)
    };
    let bounded = |value: f64| value / (1.0 + value);
    match (reported(ReportField::Busy), reported(ReportField::InFlight)) {
        (Some(busy), _) => busy.min(1.0),
        (None, Some(parts)) => bounded(parts),
        (None, None) => match (reported(ReportField::Rate), reported(ReportField::LatencyMs)) {
            (Some(rate), Some(latency_ms)) => bounded(rate * latency_ms / 1000.0),
            _ => 0.0,
        },
    }
}
