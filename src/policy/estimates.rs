//! Estimators of the decision module: what is learned from few samples, and how it fades. Nothing here
//! chooses.

use crate::policy::state::seconds;
use crate::policy::{ReportField, Settings, Time, WorkerId};
use serde::{Deserialize, Serialize};

/// Weight of a new sample in running means: about the last twenty count.
pub const SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the model of latency: about the last hundred answers count.
pub const MODEL_SAMPLE_WEIGHT: f64 = 0.01;
/// Samples' worth of belief in the first guess at how answers slow with work owed.
const PRIOR_SAMPLES: f64 = 20.0;
/// Work of a part, in seconds, that a leaf and the model start from: only ratios matter until one is seen.
pub const INITIAL_COST_S: f64 = 0.1;
/// Work of a part, as a share of the shortest aim, before any was seen and without a hint.
const INITIAL_COST_PER_OBJECTIVE: f64 = 0.04;
/// Seconds in which a share of lost attempts fades as a path mends.
const FAILURE_RATE_DECAY_S: f64 = 10.0;

/// A share as it was reckoned, less what has faded since.
pub fn decayed((share, at): (f64, Time), now: Time) -> f64 {
    share * (-seconds(now.since(at)) / FAILURE_RATE_DECAY_S).exp()
}

/// Latency of an answer as a line in the part's own work and the work owed ahead of it, learned by decayed
/// least squares over all leaves: a root sees only its own traffic, so the others' share shows in the slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencyModel {
    /// Sums of work², work x ahead, ahead², work x latency, ahead x latency.
    sums: [f64; 5],
    /// Mean distance of latencies from what was expected.
    pub deviation: f64,
}

/// The shortest aim of any class, in seconds; infinite where there is no class.
pub fn shortest_objective(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| seconds(class.latency_objective)).fold(f64::INFINITY, f64::min)
}

/// Work of a part, in seconds, before any was seen and without a hint. Guards fast deployments against a
/// guess made for slow ones: it would be over their whole aim, every query refused, and nothing ever seen.
pub fn initial_cost(settings: &Settings) -> f64 {
    INITIAL_COST_PER_OBJECTIVE * shortest_objective(settings)
}

impl Default for LatencyModel {
    fn default() -> Self {
        let belief = PRIOR_SAMPLES * INITIAL_COST_S * INITIAL_COST_S;
        LatencyModel { sums: [belief, 0.0, belief, belief, belief], deviation: INITIAL_COST_S }
    }
}

impl LatencyModel {
    /// Seconds of latency for a second of own work, and for a second of work ahead.
    pub fn coefficients(&self) -> (f64, f64) {
        let [ww, wb, bb, wl, bl] = self.sums;
        let det = (ww * bb - wb * wb).max(f64::MIN_POSITIVE);
        (((wl * bb - bl * wb) / det).clamp(0.3, 10.0), ((ww * bl - wb * wl) / det).clamp(0.1, 10.0))
    }
    pub fn record_sample(&mut self, work: f64, ahead: f64, latency: f64, expected: f64) {
        let new = [work * work, work * ahead, ahead * ahead, work * latency, ahead * latency];
        for (sum, new) in self.sums.iter_mut().zip(new) {
            *sum += new - MODEL_SAMPLE_WEIGHT * *sum;
        }
        self.deviation += SAMPLE_WEIGHT * ((latency - expected).abs() - self.deviation);
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
