//! Estimators of the decision module: what is learned from few samples, and how it fades. Nothing here
//! chooses.

use crate::policy::time::seconds;
use crate::policy::worker_state::WorkerState;
use crate::policy::{Aggregator, Settings, Time};
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
/// Deviations past the expected answer at which an attempt is overdue (as in TCP's time-out).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Share of the shortest aim past which an attempt is overdue: twice that, silence, is inside the aim.
const MAX_OVERDUE_MARGIN_OF_OBJECTIVE: f64 = 0.4;
/// Gaps between this root's queries, of a second at least, in which latencies learned fade without answers.
const STALE_ESTIMATE_QUERY_INTERVALS: f64 = 2.0;

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

impl Aggregator {
    /// Expected seconds until a leaf would answer a part of this much work.
    pub(super) fn expected_latency(&self, worker: &WorkerState, work: f64) -> f64 {
        // Guards against refusing for good on stale guesses: without answers, what was learned fades.
        let fade = |since: Time| {
            (-seconds(self.now.since(since))
                / (STALE_ESTIMATE_QUERY_INTERVALS * self.query_interval.max(1.0)))
            .exp()
        };
        let (own, ahead) = self.latency_model.coefficients();
        let own = 1.0 + (own - 1.0) * fade(self.last_success_at);
        let drag = (worker.mean_latency / worker.mean_expected_latency.max(1e-6)).clamp(0.5, 20.0);
        let drag = 1.0 + (drag - 1.0) * fade(worker.last_success_at);
        (own * work + ahead * worker.outstanding_cost) * drag + self.seconds_overdue(worker)
    }

    /// Seconds past the expected answer at which an attempt is overdue. Guards against a hidden tail:
    /// where a few leaves are slow, guesses err by more than the aim leaves time for a copy, or for judging.
    pub(super) fn overdue_margin(&self) -> f64 {
        (OVERDUE_DEVIATIONS * self.latency_model.deviation)
            .min(MAX_OVERDUE_MARGIN_OF_OBJECTIVE * shortest_objective(&self.settings))
    }

    /// Seconds by which the oldest attempt out at a leaf is later than expected, past the usual spread.
    pub(super) fn seconds_overdue(&self, worker: &WorkerState) -> f64 {
        let Some((sent, id, number)) = worker.in_flight.first() else { return 0.0 };
        let attempt = self.parts.get(id).and_then(|part| part.attempts.get(number.0 as usize));
        let expected = attempt.map_or(INITIAL_COST_S, |attempt| attempt.expected_latency);
        let age = seconds(self.now.since(*sent));
        (age - expected - self.overdue_margin()).max(0.0)
    }
}
