//! Health checks of workers: when they are sent, and what their results say.

use crate::policy::load_reports::utilization;
use crate::policy::time::{seconds, span};
use crate::policy::{Action, Aggregator, AttemptOutcome, EndpointStatus, LoadReport, ReportSource, WorkerId};

/// Share of service that probes may cost where reports come no other way: it sets the time between them.
const HEALTH_CHECK_BUDGET: f64 = 0.003;
/// Shortest and longest time between probes of one leaf.
const HEALTH_CHECK_INTERVAL_S: (f64, f64) = (0.5, 30.0);

impl Aggregator {
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

    /// Where reports come by probe alone each active leaf is probed as often as the price allows; elsewhere
    /// only suspects are, before a part is risked on them.
    pub(super) fn send_health_checks(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_health_check {
            return;
        }
        let active =
            self.workers.values().filter(|worker| worker.endpoint.status == EndpointStatus::Active).count()
                as f64;
        let parts_per_s = self.request_times.len() as f64 / seconds(self.retry_budget_window());
        let period = (active * self.settings.health_check_price
            / (HEALTH_CHECK_BUDGET * parts_per_s.max(1.0)))
        .clamp(HEALTH_CHECK_INTERVAL_S.0, HEALTH_CHECK_INTERVAL_S.1);
        let all = self.settings.report_source == ReportSource::HealthChecks;
        for (id, worker) in &mut self.workers {
            let wanted = all || worker.ejection.is_some();
            if wanted
                && worker.endpoint.status == EndpointStatus::Active
                && !worker.health_check_in_flight
                && worker.next_health_check_at <= self.now
            {
                worker.health_check_in_flight = true;
                let period = worker.ejection.map_or(period, |(_, hold)| period.min(seconds(hold)));
                worker.next_health_check_at = self.now.after(span(period * (0.8 + 0.4 * self.random.f64())));
                actions.push(Action::SendHealthCheck { worker: *id });
            }
        }
    }
}
