//! Health checks of workers: when they are sent, and what their results change. All workers are checked
//! where load reports come with health checks alone; elsewhere only ejected workers are, so that no part is
//! risked on a worker that is still down.

use crate::policy::load_reports::utilization;
use crate::policy::time::{seconds, span};
use crate::policy::{Action, Aggregator, AttemptOutcome, LoadReport, ReportSource, WorkerId};

/// Price of all health checks together per request received, in the unit of `health_check_price`; it
/// determines their interval.
const HEALTH_CHECK_BUDGET: f64 = 0.003;
/// Shortest and longest interval of one worker's health checks, in seconds.
const HEALTH_CHECK_INTERVAL_S: (f64, f64) = (0.5, 30.0);
/// Lower bound of the random factor on the interval, and the width of its range.
const MIN_JITTER: f64 = 0.8;
const JITTER_RANGE: f64 = 0.4;

impl Aggregator {
    /// Applies the result of a health check. A success does not reinstate an ejected worker: it only
    /// permits the next half-open attempt.
    pub(super) fn finish_health_check(
        &mut self,
        id: WorkerId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.health_check_in_flight = false;
        worker.passes_health_checks = outcome == AttemptOutcome::Succeeded;
        if !worker.passes_health_checks {
            self.apply_outcome(id, outcome, 0.0);
        }
        if let Some(report) = report {
            self.apply_load_report(id, utilization(&self.settings.report_fields, &report));
        }
    }

    /// Sends the health checks that are due, at most one at a time to each worker.
    pub(super) fn send_health_checks(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_health_check {
            return;
        }
        let interval = self.health_check_interval_s();
        let checks_all = self.settings.report_source == ReportSource::HealthChecks;
        for (id, worker) in &mut self.workers {
            let needs_check = checks_all || worker.ejection.is_some();
            let is_due = !worker.health_check_in_flight && worker.next_health_check_at <= self.now;
            if !(needs_check && is_due && worker.is_active()) {
                continue;
            }
            worker.health_check_in_flight = true;
            let worker_interval =
                worker.ejection.map_or(interval, |ejection| interval.min(seconds(ejection.duration)));
            let jitter = MIN_JITTER + JITTER_RANGE * self.random.f64();
            worker.next_health_check_at = self.now.after(span(worker_interval * jitter));
            actions.push(Action::SendHealthCheck { worker: *id });
        }
    }

    /// Seconds between the health checks of one worker, so that the checks of all workers together keep to
    /// [`HEALTH_CHECK_BUDGET`].
    fn health_check_interval_s(&self) -> f64 {
        let active = self.workers.values().filter(|worker| worker.is_active()).count() as f64;
        let requests_per_s = self.attempt_window.request_rate(&self.settings);
        let (shortest, longest) = HEALTH_CHECK_INTERVAL_S;
        (active * self.settings.health_check_price / (HEALTH_CHECK_BUDGET * requests_per_s.max(1.0)))
            .clamp(shortest, longest)
    }
}
