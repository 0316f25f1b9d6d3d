//! What a warming-up worker may be sent.

use crate::policy::Aggregator;
use crate::policy::outlier_detection::SERVED_RATE_DECAY_S;
use crate::policy::time::seconds;
use crate::policy::worker_state::WorkerState;

/// Share of the rule's push that this root lets itself use on a cold leaf: work varies, calls come on top.
const SLOW_START_BUDGET_FRACTION: f64 = 0.6;
/// Work a second that any machine carries (one core), where nothing better was observed.
const MIN_CAPACITY: f64 = 1.0;

impl Aggregator {
    /// Whether a cold leaf may get this much more work now. Guards against pushing a starting leaf over: this
    /// root's share of the push that the rule allows, in every window of the rule's length.
    pub(super) fn slow_start_permits(&self, worker: &WorkerState, work: f64) -> bool {
        let Some(from) = worker.warming_since else { return true };
        let rules = &self.settings;
        let age = seconds(self.now.since(from));
        let ramp = (age / seconds(rules.warm_up).max(1e-3)).min(1.0);
        if ramp >= 1.0 {
            return true;
        }
        // A warm leaf is judged by the most that one answered lately, less what so few answers may err by.
        let roots = f64::from(rules.fleet_size.max(1));
        let sure = |served: f64| roots * (served - (served * work / SERVED_RATE_DECAY_S).sqrt());
        let seen = self.workers.values().map(|worker| sure(worker.served_cost_rate)).fold(0.0, f64::max);
        let warm = seen.clamp(MIN_CAPACITY, 4.0 * MIN_CAPACITY);
        let carries = |ramp: f64| rules.cold_capacity_fraction + (1.0 - rules.cold_capacity_fraction) * ramp;
        let share = |ramp: f64| {
            SLOW_START_BUDGET_FRACTION * rules.slow_start_budget_factor * carries(ramp) * warm / roots
        };
        let push = share(ramp) * seconds(rules.slow_start_budget_window);
        let recent = worker
            .recent_sends
            .iter()
            .filter(|(at, _)| self.now.since(*at) <= rules.slow_start_budget_window);
        if work <= push {
            return recent.map(|(_, work)| work).sum::<f64>() + work <= push;
        }
        // Where its share of the window holds no whole part, a root sends one when its share since the last,
        // or by lot since the start, has grown to it: as many roots come at once as their shares add up to.
        let last = worker.recent_sends.back().filter(|(at, _)| *at >= from);
        let (since, owes) =
            last.copied().unwrap_or((from.max(self.started_at), self.slow_start_phase * work));
        let gap = seconds(self.now.since(since));
        gap * share(ramp - gap / seconds(rules.warm_up) / 2.0) >= owes
    }
}
