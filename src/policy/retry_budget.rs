//! Limits on extra attempts: the configured retry budget for retries and hedged requests, and a further
//! limit on hedges. This file owns the window in which requests and extra attempts are counted.

use crate::policy::{Aggregator, RetryBudget, Settings, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Hedges that are allowed in a window regardless of the number of requests.
const FREE_HEDGES: f64 = 2.0;
/// Further hedges allowed per request received in the window while all workers are idle. The number is low
/// because the hedges of all aggregators together are load on each worker.
const HEDGES_PER_REQUEST: f64 = 0.05;
/// The window if no retry budget is configured.
const DEFAULT_WINDOW: Duration = Duration::from_secs(8);

/// A retry or hedged request.
struct ExtraAttempt {
    sent_at: Time,
    is_hedge: bool,
}

/// Requests received and extra attempts sent within the window of the retry budget.
#[derive(Default)]
pub(super) struct AttemptWindow {
    received_at: VecDeque<Time>,
    extra_attempts: VecDeque<ExtraAttempt>,
}

impl AttemptWindow {
    /// The length of the window.
    fn window(settings: &Settings) -> Duration {
        settings.retry_budget.map_or(DEFAULT_WINDOW, |budget| budget.window)
    }

    pub(super) fn record_request(&mut self, now: Time) {
        self.received_at.push_back(now);
    }

    pub(super) fn record_extra_attempt(&mut self, now: Time, is_hedge: bool) {
        self.extra_attempts.push_back(ExtraAttempt { sent_at: now, is_hedge });
    }

    /// Removes an extra attempt that was never sent, so that it does not count against the budget.
    pub(super) fn remove_extra_attempt(&mut self, sent_at: Time) {
        if let Some(at) = self.extra_attempts.iter().position(|extra| extra.sent_at == sent_at) {
            self.extra_attempts.remove(at);
        }
    }

    /// Drops the requests and extra attempts that are older than the window.
    pub(super) fn expire(&mut self, now: Time, settings: &Settings) {
        let window = AttemptWindow::window(settings);
        self.received_at.retain(|at| now.since(*at) < window);
        self.extra_attempts.retain(|extra| now.since(extra.sent_at) <= window);
    }

    /// Requests received per second, as the mean over the window.
    pub(super) fn request_rate(&self, settings: &Settings) -> f64 {
        self.received_at.len() as f64 / AttemptWindow::window(settings).as_secs_f64()
    }

    /// Whether the configured budget, if any, permits one more extra attempt.
    fn budget_permits(&self, budget: Option<RetryBudget>) -> bool {
        let requests = self.received_at.len() as f64;
        budget.is_none_or(|budget| {
            self.extra_attempts.len() as f64 + 1.0 <= budget.free_attempts + budget.ratio * requests
        })
    }

    /// Whether the limit on hedges permits one more. The limit falls as workers report a higher
    /// utilization.
    fn hedge_limit_permits(&self, mean_utilization: f64) -> bool {
        let requests = self.received_at.len() as f64;
        let hedges = self.extra_attempts.iter().filter(|extra| extra.is_hedge).count() as f64;
        hedges + 1.0 <= FREE_HEDGES + HEDGES_PER_REQUEST * requests * (1.0 - mean_utilization)
    }
}

impl Aggregator {
    /// Whether a retry (or a hedged request, if `is_hedge`) may be sent now. Hedges have a limit of their
    /// own because the free attempts that the budget gives to each of many aggregators add up, and a hedge
    /// at a busy worker delays the parts of other queries.
    pub(super) fn retry_budget_permits(&self, is_hedge: bool) -> bool {
        self.attempt_window.budget_permits(self.settings.retry_budget)
            && (!is_hedge
                || self.attempt_window.hedge_limit_permits(self.estimates.mean_reported_utilization))
    }
}
