//! Utilization that workers report, and the weights that follow from it.

use crate::policy::time::seconds;
use crate::policy::{Aggregator, ReportField, WorkerId};

/// Multiplier step a second (DESIGN's beta; left open there). One second of a full gap in utilization moves a
/// multiplier by this: seconds, not minutes, since a query's aim is seconds.
const WEIGHT_GAIN_PER_S: f64 = 0.4;
/// Least multiplier before normalising, as a share of an even one (DESIGN).
const MIN_WEIGHT_OF_EVEN: f64 = 0.1;
/// Seconds that one report may stand for: a leaf long unheard must not swing on one noisy report.
const MAX_REPORT_INTERVAL_S: f64 = 1.0;

impl Aggregator {
    /// DESIGN's step: m += beta (mean - u) dt for each shard of the leaf, floored, then normalised.
    pub(super) fn apply_load_report(&mut self, id: WorkerId, utilization: f64) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let since = worker.last_report_at.map_or(0.0, |heard| seconds(self.now.since(heard)));
        (worker.utilization, worker.last_report_at) = (Some(utilization), Some(self.now));
        let step = WEIGHT_GAIN_PER_S * since.min(MAX_REPORT_INTERVAL_S);
        if step <= 0.0 {
            return;
        }
        for row in self.replica_sets.values_mut().filter(|row| row.iter().any(|replica| replica.0 == id)) {
            let known: Vec<f64> =
                row.iter().filter_map(|replica| self.workers.get(&replica.0)?.utilization).collect();
            let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
            let least = MIN_WEIGHT_OF_EVEN / row.len() as f64;
            for replica in row.iter_mut() {
                if replica.0 == id {
                    replica.1 += step * (mean - utilization);
                }
                replica.1 = replica.1.max(least);
            }
            normalise(row);
        }
    }
}

/// Makes the multipliers of a shard sum to 1.
pub fn normalise(row: &mut [(WorkerId, f64)]) {
    let total: f64 = row.iter().map(|replica| replica.1).sum();
    for replica in row.iter_mut() {
        replica.1 /= total;
    }
}

/// What a report says of the utilization: busy share, else parts in flight, else nought (DESIGN). Where
/// neither is told, the utilization law gives the busy cores: rate times service time. Open scales are
/// bounded to stay under 1.
pub fn utilization(fields: &[ReportField], report: &[Option<f64>]) -> f64 {
    let value = |field: ReportField| {
        let at = fields.iter().position(|known| *known == field)?;
        report.get(at).copied().flatten().filter(|value| value.is_finite() && *value >= 0.0)
    };
    let bounded = |value: f64| value / (1.0 + value);
    match (value(ReportField::Busy), value(ReportField::InFlight)) {
        (Some(busy), _) => busy.min(1.0),
        (None, Some(parts)) => bounded(parts),
        (None, None) => match (value(ReportField::Rate), value(ReportField::LatencyMs)) {
            (Some(rate), Some(latency)) => bounded(rate * latency / 1000.0),
            _ => 0.0,
        },
    }
}
