//! The limit on retries and hedged requests.

use crate::policy::Aggregator;
use crate::policy::outlier_detection::MAX_EJECTION_TIME;
use std::time::Duration;

/// Copies free in a window, and those for each request taken in it while all leaves are idle: the copies of
/// all roots are load to each.
const FREE_HEDGES: f64 = 2.0;
const HEDGES_PER_REQUEST: f64 = 0.05;

impl Aggregator {
    /// The budget, where one is stated, and a limit on copies. Guards against copies as load: what the rule
    /// leaves free to each of many roots adds up, and copies at busy leaves keep others' parts waiting.
    pub(super) fn retry_budget_permits(&self, copy: bool) -> bool {
        let taken = self.request_times.len() as f64;
        let copies = self.extra_attempts.iter().filter(|(_, copy)| *copy).count() as f64;
        let budget = self.settings.retry_budget.as_ref();
        budget.is_none_or(|limit| {
            self.extra_attempts.len() as f64 + 1.0 <= limit.free_attempts + limit.ratio * taken
        }) && (!copy
            || copies + 1.0
                <= FREE_HEDGES + HEDGES_PER_REQUEST * taken * (1.0 - self.mean_reported_utilization))
    }

    /// The span over which requests taken and further attempts are counted.
    pub(super) fn retry_budget_window(&self) -> Duration {
        self.settings.retry_budget.map_or(MAX_EJECTION_TIME, |budget| budget.window)
    }
}
