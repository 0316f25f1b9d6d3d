//! Estimates of latency, cost and failure rates: how they are learned from few samples, and how they decay.
//! This file makes no decisions.

use crate::policy::queries::Attempt;
use crate::policy::time::seconds;
use crate::policy::worker_state::WorkerState;
use crate::policy::{Aggregator, AttemptResult, ClassId, Settings, Time};
use serde::{Deserialize, Serialize};

/// Weight of a new sample in running means, which then cover about the last 20 samples.
pub(super) const SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the latency model and in the recent failure rate, which then cover about the
/// last 100 samples.
const MODEL_SAMPLE_WEIGHT: f64 = 0.01;
/// Weight of a new sample in the mean interval between queries.
const QUERY_INTERVAL_SAMPLE_WEIGHT: f64 = 0.2;
/// Assumed interval between queries before any was received, in seconds.
const INITIAL_QUERY_INTERVAL_S: f64 = 1.0;
/// Number of samples that the initial latency model counts for.
const PRIOR_SAMPLES: f64 = 20.0;
/// Bounds of the learned slopes of latency by a part's own cost and by the cost ahead of it.
const OWN_COST_SLOPE: (f64, f64) = (0.3, 10.0);
const COST_AHEAD_SLOPE: (f64, f64) = (0.1, 10.0);
/// Initial cost of a part in the estimates of a worker and in the latency model, in seconds. Until a
/// latency is observed, only ratios to it matter.
pub(super) const INITIAL_COST_S: f64 = 0.1;
/// Assumed cost of a part without a hint before any was observed, as a share of the shortest latency
/// objective.
const INITIAL_COST_PER_OBJECTIVE: f64 = 0.04;
/// Decay time of a failure rate, in seconds: a worker whose path has recovered gets parts again.
const FAILURE_RATE_DECAY_S: f64 = 10.0;
/// Mean deviations past the expected latency at which an attempt is overdue, as in TCP's retransmission
/// time-out.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Upper bound of the overdue margin, as a share of the shortest latency objective. Twice the margin, at
/// which a worker counts as unresponsive, is then still within the objective.
const MAX_OVERDUE_MARGIN_OF_OBJECTIVE: f64 = 0.4;
/// Decay time of learned latencies without responses, as a multiple of the mean interval between this
/// aggregator's queries (at least one second).
const STALE_ESTIMATE_QUERY_INTERVALS: f64 = 2.0;
/// Interval between a worker's responses, in seconds, at which one response has as much weight in the
/// worker's slowdown as all earlier ones together.
const SPARSE_SAMPLE_INTERVAL_S: f64 = 1.2;
/// Upper bound of one response's weight in a worker's slowdown.
const MAX_SAMPLE_WEIGHT: f64 = 0.7;
/// Bounds of a worker's estimated slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 20.0);
/// Quantile of the latencies of a class that its base latency follows: a low one, because it stands for the
/// cost of a part that waits in no queue.
const BASE_LATENCY_QUANTILE: f64 = 0.2;

/// A rate that decays exponentially from the time of its last update.
#[derive(Clone, Copy, Default)]
pub struct DecayingRate {
    pub value: f64,
    pub updated_at: Time,
}

impl DecayingRate {
    /// The decayed value at a later time.
    pub(super) fn value_at(self, now: Time) -> f64 {
        self.value * (-seconds(now.since(self.updated_at)) / FAILURE_RATE_DECAY_S).exp()
    }
}

/// Seconds of latency per second of a part's own cost, and per second of cost outstanding ahead of it at
/// the worker.
pub(super) struct LatencySlopes {
    pub(super) own_cost: f64,
    pub(super) cost_ahead: f64,
}

/// Latency as a linear function of the part's own cost and of the cost outstanding ahead of it, learned by
/// least squares with decay over all workers. An aggregator sees only its own traffic; the load from the
/// others shows in the slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct LatencyModel {
    /// Sums of cost², cost x ahead, ahead², cost x latency, ahead x latency.
    sums: [f64; 5],
    /// Mean absolute deviation of latencies from the expected ones, in seconds.
    pub(super) deviation: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        let prior = PRIOR_SAMPLES * INITIAL_COST_S * INITIAL_COST_S;
        LatencyModel { sums: [prior, 0.0, prior, prior, prior], deviation: INITIAL_COST_S }
    }
}

impl LatencyModel {
    pub(super) fn slopes(&self) -> LatencySlopes {
        let [cost_cost, cost_ahead, ahead_ahead, cost_latency, ahead_latency] = self.sums;
        let determinant = (cost_cost * ahead_ahead - cost_ahead * cost_ahead).max(f64::MIN_POSITIVE);
        let own_cost = (cost_latency * ahead_ahead - ahead_latency * cost_ahead) / determinant;
        let per_cost_ahead = (cost_cost * ahead_latency - cost_ahead * cost_latency) / determinant;
        LatencySlopes {
            own_cost: own_cost.clamp(OWN_COST_SLOPE.0, OWN_COST_SLOPE.1),
            cost_ahead: per_cost_ahead.clamp(COST_AHEAD_SLOPE.0, COST_AHEAD_SLOPE.1),
        }
    }

    fn record_sample(&mut self, attempt: &Attempt, latency: f64) {
        let (cost, ahead) = (attempt.cost, attempt.cost_ahead);
        let sample = [cost * cost, cost * ahead, ahead * ahead, cost * latency, ahead * latency];
        for (sum, sample) in self.sums.iter_mut().zip(sample) {
            *sum += sample - MODEL_SAMPLE_WEIGHT * *sum;
        }
        self.deviation += SAMPLE_WEIGHT * ((latency - attempt.expected_latency).abs() - self.deviation);
    }
}

/// The running mean interval between queries.
#[derive(Clone, Copy, Default)]
pub(super) struct QueryArrivals {
    pub(super) mean_interval_s: f64,
    pub(super) last_at: Time,
}

impl QueryArrivals {
    /// Records the arrival of a query. The first interval counts from the start of the aggregator.
    pub(super) fn record(&mut self, now: Time, started_at: Time) {
        let interval = seconds(now.since(self.last_at.max(started_at)));
        self.mean_interval_s += QUERY_INTERVAL_SAMPLE_WEIGHT * (interval - self.mean_interval_s);
        self.last_at = now;
    }
}

/// The estimates that one aggregator has learned over all its workers and from its own traffic.
#[derive(Default)]
pub(super) struct Estimates {
    pub(super) latency_model: LatencyModel,
    pub(super) query_arrivals: QueryArrivals,
    /// When an attempt last succeeded at any worker.
    pub(super) last_success_at: Time,
    /// Seconds that a part takes without waiting in a queue, by class.
    pub(super) base_latency: Vec<f64>,
    /// Running share of attempts that were rejected or timed out.
    pub(super) recent_failure_rate: f64,
    /// Running mean of the utilization that responses report.
    pub(super) mean_reported_utilization: f64,
}

impl Estimates {
    /// Creates the estimates that hold before anything was observed.
    pub(super) fn new(settings: &Settings) -> Estimates {
        Estimates {
            query_arrivals: QueryArrivals {
                mean_interval_s: INITIAL_QUERY_INTERVAL_S,
                last_at: Time::default(),
            },
            base_latency: vec![initial_cost(settings); settings.classes.len()],
            ..Estimates::default()
        }
    }

    /// Records whether an attempt was rejected or timed out.
    pub(super) fn record_attempt_result(&mut self, failed: bool) {
        let sample = f64::from(u8::from(failed));
        self.recent_failure_rate += MODEL_SAMPLE_WEIGHT * (sample - self.recent_failure_rate);
    }

    /// Records the utilization reported by a response.
    pub(super) fn record_utilization(&mut self, utilization: f64) {
        self.mean_reported_utilization += SAMPLE_WEIGHT * (utilization - self.mean_reported_utilization);
    }
}

/// The shortest latency objective of any class, in seconds; infinite if there is no class.
fn shortest_objective(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| seconds(class.latency_objective)).fold(f64::INFINITY, f64::min)
}

/// The assumed cost of a part without a hint before any was observed, in seconds. It depends on the latency
/// objectives: a fixed estimate that suits slow deployments would take up the whole objective of a fast
/// one, and every query would be rejected.
fn initial_cost(settings: &Settings) -> f64 {
    INITIAL_COST_PER_OBJECTIVE * shortest_objective(settings)
}

impl Aggregator {
    /// Expected seconds until a worker would respond to a part of this cost, sent now.
    pub(super) fn expected_latency(&self, worker: &WorkerState, cost: f64) -> f64 {
        // Without responses the slope of the own cost and the worker's slowdown decay to 1: while all
        // queries are rejected nothing responds, and a stale estimate would go on rejecting them.
        let decay_time_s =
            STALE_ESTIMATE_QUERY_INTERVALS * self.estimates.query_arrivals.mean_interval_s.max(1.0);
        let decay = |since: Time| (-seconds(self.now.since(since)) / decay_time_s).exp();
        let slopes = self.estimates.latency_model.slopes();
        let own_slope = 1.0 + (slopes.own_cost - 1.0) * decay(self.estimates.last_success_at);
        let slowdown = (worker.mean_latency / worker.mean_expected_latency.max(1e-6))
            .clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let slowdown = 1.0 + (slowdown - 1.0) * decay(worker.last_success_at);
        (own_slope * cost + slopes.cost_ahead * worker.outstanding_cost) * slowdown
            + self.seconds_overdue(worker)
    }

    /// Updates the worker's slowdown, the latency model and the class's base latency by an attempt that
    /// succeeded.
    pub(super) fn record_latency(&mut self, result: &AttemptResult, class: ClassId, attempt: &Attempt) {
        let Some(worker) = self.workers.get_mut(&result.worker) else { return };
        let latency = seconds(result.elapsed);
        let slopes = self.estimates.latency_model.slopes();
        let expected = slopes.own_cost * attempt.cost + slopes.cost_ahead * attempt.cost_ahead;
        let sparseness = seconds(self.now.since(worker.last_success_at)) / SPARSE_SAMPLE_INTERVAL_S;
        let weight =
            (sparseness.powi(4) / (1.0 + sparseness.powi(4))).clamp(2.0 * SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        worker.mean_latency += weight * (latency - worker.mean_latency);
        worker.mean_expected_latency += weight * (expected - worker.mean_expected_latency);
        self.estimates.last_success_at = self.now;
        self.estimates.latency_model.record_sample(attempt, latency);
        if let Some(base) = self.estimates.base_latency.get_mut(class.0) {
            let below = f64::from(u8::from(latency < *base));
            *base *= 1.0 + SAMPLE_WEIGHT * (BASE_LATENCY_QUANTILE - below);
        }
    }

    /// Seconds past the expected latency at which an attempt is overdue. The margin is bounded by a share
    /// of the latency objective: where a few workers are slow, the deviation may exceed the time in which a
    /// hedge can still respond.
    pub(super) fn overdue_margin(&self) -> f64 {
        (OVERDUE_DEVIATIONS * self.estimates.latency_model.deviation)
            .min(MAX_OVERDUE_MARGIN_OF_OBJECTIVE * shortest_objective(&self.settings))
    }

    /// Seconds by which the oldest attempt in flight at a worker is overdue; zero if none is.
    pub(super) fn seconds_overdue(&self, worker: &WorkerState) -> f64 {
        let Some((sent_at, id, number)) = worker.in_flight.first() else { return 0.0 };
        let attempt = self.parts.get(id).and_then(|part| part.attempts.get(number.0 as usize));
        let expected = attempt.map_or(INITIAL_COST_S, |attempt| attempt.expected_latency);
        let age = seconds(self.now.since(*sent_at));
        (age - expected - self.overdue_margin()).max(0.0)
    }
}
