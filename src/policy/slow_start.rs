//! Slow start: limits what a warming-up worker is sent, so that it keeps within the slow-start budget. This
//! file chooses no replica.

use crate::policy::Aggregator;
use crate::policy::outlier_detection::SERVED_RATE_DECAY_S;
use crate::policy::time::seconds;
use crate::policy::worker_state::{SentCost, WorkerState};

/// Share of its slow-start budget that this aggregator uses. The rest is a margin, because the costs of
/// parts vary and calls add to them.
const SLOW_START_BUDGET_FRACTION: f64 = 0.6;
/// Assumed capacity of a warm worker while no higher one was observed, in seconds of cost per second: one
/// core.
const MIN_CAPACITY: f64 = 1.0;
/// Upper bound of the assumed capacity, as a multiple of [`MIN_CAPACITY`].
const MAX_CAPACITY_FACTOR: f64 = 4.0;

impl Aggregator {
    /// Whether a worker may be sent this much more cost now. A warming-up worker is kept within its
    /// slow-start budget: in each window of the budget it gets no more than this aggregator's share of what
    /// it can bear. A warm worker has no such limit.
    pub(super) fn slow_start_permits(&self, worker: &WorkerState, cost: f64) -> bool {
        let Some(warm_up_start) = worker.warming_since else { return true };
        let settings = &self.settings;
        let age = seconds(self.now.since(warm_up_start));
        let ramp = (age / seconds(settings.warm_up).max(1e-3)).min(1.0);
        if ramp >= 1.0 {
            return true;
        }
        let fleet_size = f64::from(settings.fleet_size.max(1));
        let warm_capacity = self.warm_capacity(cost, fleet_size);
        let cold_capacity = settings.cold_capacity_fraction;
        let capacity = |ramp: f64| cold_capacity + (1.0 - cold_capacity) * ramp;
        let budget_rate = |ramp: f64| {
            SLOW_START_BUDGET_FRACTION * settings.slow_start_budget_factor * capacity(ramp) * warm_capacity
                / fleet_size
        };
        let window = settings.slow_start_budget_window;
        let budget = budget_rate(ramp) * seconds(window);
        if cost <= budget {
            let recent = worker.recent_sends.iter().filter(|sent| self.now.since(sent.at) <= window);
            return recent.map(|sent| sent.cost).sum::<f64>() + cost <= budget;
        }
        // If the part costs more than the budget of a whole window, the aggregator sends it once enough
        // budget has accrued since its last send (or, with jitter, since the worker's start). On average,
        // the fleet as a whole then keeps to its budget.
        let last_send = worker.recent_sends.back().filter(|sent| sent.at >= warm_up_start);
        let jittered =
            SentCost { at: warm_up_start.max(self.started_at), cost: self.slow_start_jitter * cost };
        let SentCost { at: accrues_from, cost: required_cost } = last_send.copied().unwrap_or(jittered);
        let elapsed_s = seconds(self.now.since(accrues_from));
        elapsed_s * budget_rate(ramp - elapsed_s / seconds(settings.warm_up) / 2.0) >= required_cost
    }

    /// The estimated capacity of a warm worker, in seconds of cost per second: the highest cost rate that
    /// any worker has served lately, less the error of an estimate from so few parts. The rate is
    /// extrapolated from this aggregator's traffic to the fleet's.
    fn warm_capacity(&self, cost: f64, fleet_size: f64) -> f64 {
        let lower_bound = |served: f64| fleet_size * (served - (served * cost / SERVED_RATE_DECAY_S).sqrt());
        let capacity =
            self.workers.values().map(|worker| lower_bound(worker.served_cost_rate)).fold(0.0, f64::max);
        capacity.clamp(MIN_CAPACITY, MAX_CAPACITY_FACTOR * MIN_CAPACITY)
    }
}
