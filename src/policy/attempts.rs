//! Dispatch of attempts, retries and hedged requests.

use crate::policy::admission::BUSY_ADMISSION_THRESHOLD;
use crate::policy::estimates::{MODEL_SAMPLE_WEIGHT, SAMPLE_WEIGHT};
use crate::policy::load_reports::utilization;
use crate::policy::outlier_detection::MAX_EJECTION_TIME;
use crate::policy::queries::{Attempt, Part};
use crate::policy::time::seconds;
use crate::policy::{
    Action, Aggregator, AttemptNo, AttemptOutcome, AttemptResult, Idempotency, RequestId, WorkerId,
};

/// Share of latencies that lie below the running base of a class: a part's work without waiting.
const BASE_QUANTILE: f64 = 0.2;
/// Seconds between a leaf's answers from which one tells as much of its drag as all before.
const SPARSE_SAMPLE_INTERVAL_S: f64 = 1.2;
/// Own service times left to the aim at which a copy of a late part has its last chance.
const LAST_HEDGE_SERVICE_TIMES: f64 = 2.5;
/// Late worth from which a query is worth carrying on past its aim.
pub(super) const MIN_LATE_WEIGHT: f64 = 0.25;

impl Aggregator {
    /// Whether its class and the limit on attempts let a part be sent (again) at all.
    pub(super) fn may_retry(&self, part: &Part) -> bool {
        let Some(class) = self.class(part.class) else { return false };
        let first_risk =
            part.attempts.iter().find(|attempt| attempt.may_have_run()).map(|attempt| attempt.sent_at);
        let effect = match (class.idempotency, first_risk) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed, Some(at)) => self.now.since(at) < class.repeat_window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        effect && self.settings.max_attempts.is_none_or(|most| (part.attempts.len() as u32) < most)
    }

    /// Whether a further attempt would run beside one at a leaf that is not suspect.
    pub(super) fn is_hedge(&self, part: &Part) -> bool {
        let sound = |id| self.workers.get(&id).is_some_and(|worker| worker.ejection.is_none());
        part.attempts.iter().any(|attempt| attempt.is_in_flight() && sound(attempt.worker))
    }

    /// The one place that sends.
    pub(super) fn dispatch(
        &mut self,
        id: RequestId,
        to: WorkerId,
        expected_latency: f64,
        actions: &mut Vec<Action>,
    ) {
        let (Some(part), Some(worker)) = (self.parts.get(&id), self.workers.get(&to)) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        let late_worth = self.class(query.request.class).map_or(0.0, |class| class.late_weight);
        let until =
            if late_worth >= MIN_LATE_WEIGHT { query.request.valid_until } else { query.objective_at };
        let timeout = until.since(self.now);
        if timeout.is_zero() || !self.is_eligible(part, worker) {
            return;
        }
        let doubles = self.is_hedge(part);
        let (Some(part), Some(worker)) = (self.parts.get_mut(&id), self.workers.get_mut(&to)) else { return };
        if !part.attempts.is_empty() {
            self.extra_attempts.push_back((self.now, doubles));
        }
        let number = AttemptNo(part.attempts.len() as u32);
        let (sent_at, cost, cost_ahead) = (self.now, part.cost, worker.outstanding_cost);
        part.attempts.push(Attempt {
            worker: to,
            sent_at,
            expected_latency,
            cost,
            cost_ahead,
            overtaken_by: 0,
            counted_as_lost: false,
            outcome: None,
        });
        worker.in_flight.insert((sent_at, id, number));
        worker.recent_sends.retain(|(at, _)| self.now.since(*at) <= self.settings.warm_up);
        worker.recent_sends.push_back((sent_at, cost + worker.new_call_cost(&self.settings)));
        worker.add_part(cost, self.settings.parts_per_call);
        if let Some((_, hold)) = worker.ejection {
            worker.ejection = Some((self.now.after(hold), (hold * 2).min(MAX_EJECTION_TIME)));
        }
        actions.push(Action::Send { id, worker: to, timeout });
    }

    pub(super) fn finish_attempt(&mut self, end: AttemptResult) {
        let Some(part) = self.parts.get_mut(&end.id) else { return };
        let outcome = end.outcome;
        part.finished |= end.part_finished && outcome != AttemptOutcome::Succeeded;
        let class = part.class;
        let Some(attempt) = part.attempts.get_mut(end.attempt.0 as usize).filter(|a| a.is_in_flight()) else {
            return;
        };
        attempt.outcome = Some(outcome);
        let Attempt {
            sent_at: sent,
            expected_latency: expected,
            cost: work,
            cost_ahead: ahead,
            counted_as_lost: missed,
            ..
        } = *attempt;
        part.succeeded |= outcome == AttemptOutcome::Succeeded;
        // Guards against jams: the more attempts are lost, the less wait a query is admitted to.
        let lost =
            f64::from(u8::from(matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::TimedOut)));
        self.recent_failure_rate +=
            if self.stalled { 0.0 } else { MODEL_SAMPLE_WEIGHT * (lost - self.recent_failure_rate) };
        if outcome == AttemptOutcome::NotSent && end.attempt.0 > 0 {
            // Never sent, so it does not count against the budget.
            self.extra_attempts
                .iter()
                .position(|(at, _)| *at == sent)
                .map(|at| self.extra_attempts.remove(at));
        }
        if let Some(worker) = self.workers.get_mut(&end.worker) {
            worker.in_flight.remove(&(sent, end.id, end.attempt));
            worker.outstanding_cost =
                if worker.in_flight.is_empty() { 0.0 } else { (worker.outstanding_cost - work).max(0.0) };
            if outcome == AttemptOutcome::Succeeded && !self.stalled {
                let latency = seconds(end.elapsed);
                let (own, slope) = self.latency_model.coefficients();
                let rare = seconds(self.now.since(worker.last_success_at)) / SPARSE_SAMPLE_INTERVAL_S;
                let gain = (rare.powi(4) / (1.0 + rare.powi(4))).clamp(2.0 * SAMPLE_WEIGHT, 0.7);
                worker.mean_latency += gain * (latency - worker.mean_latency);
                worker.mean_expected_latency +=
                    gain * (own * work + slope * ahead - worker.mean_expected_latency);
                self.last_success_at = self.now;
                self.latency_model.record_sample(work, ahead, latency, expected);
                if let Some(base) = self.base_latency.get_mut(class.0) {
                    *base *= 1.0 + SAMPLE_WEIGHT * (BASE_QUANTILE - f64::from(u8::from(latency < *base)));
                }
            }
        }
        let overdue = seconds(self.now.since(sent)) > expected + self.overdue_margin();
        match (self.workers.get_mut(&end.worker), outcome) {
            _ if self.stalled => {}
            (_, AttemptOutcome::Succeeded) => self.record_success(end.worker, class, sent),
            (Some(worker), AttemptOutcome::Failed) => worker.record_outcome(self.now, class, true),
            (Some(worker), AttemptOutcome::ConnectFailed) => worker.connect_failed_at = Some(sent),
            // Counted where nothing was answered since, else where it was overtaken: it may be a queue.
            (Some(worker), AttemptOutcome::TimedOut | AttemptOutcome::Cancelled)
                if overdue && !missed && worker.last_success_at < sent =>
            {
                worker.record_outcome(self.now, class, true);
            }
            _ => {}
        }
        self.apply_outcome(end.worker, outcome, work);
        if let Some(report) = end.load_report {
            let utilization = utilization(&self.settings.report_fields, &report);
            self.mean_reported_utilization += SAMPLE_WEIGHT * (utilization - self.mean_reported_utilization);
            self.apply_load_report(end.worker, utilization);
        }
        self.drop_if_finished(end.id);
    }

    /// Sends parts that have no attempt out, and copies of parts that are overdue.
    pub(super) fn retry_or_hedge(&mut self, actions: &mut Vec<Action>) {
        let window = self.retry_budget_window();
        self.request_times.retain(|at| self.now.since(*at) < window);
        self.extra_attempts.retain(|(at, _)| self.now.since(*at) <= window);
        let open: Vec<RequestId> = self
            .parts
            .iter()
            .filter(|(_, part)| !part.succeeded && !part.finished)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            let Some(part) = self.parts.get(&id) else { continue };
            let Some(query) = self.queries.get(&part.query) else { continue };
            let left = seconds(query.objective_at.since(self.now));
            let waiting: Vec<&Attempt> =
                part.attempts.iter().filter(|attempt| attempt.is_in_flight()).collect();
            let overdue = |attempt: &&Attempt| {
                let age = seconds(self.now.since(attempt.sent_at));
                self.workers.get(&attempt.worker).is_some_and(|worker| worker.ejection.is_some())
                    || age > attempt.expected_latency + self.overdue_margin()
                    || age > attempt.expected_latency
                        && left < LAST_HEDGE_SERVICE_TIMES * self.latency_model.coefficients().0 * part.cost
            };
            if waiting.len() > 1 || !waiting.iter().all(overdue) {
                continue;
            }
            if let Some((worker, expected)) = self.select_replica(part)
                && expected < left * if waiting.is_empty() { 1.0 } else { BUSY_ADMISSION_THRESHOLD }
                && waiting.iter().all(|attempt| attempt.worker != worker)
            {
                self.dispatch(id, worker, expected, actions);
            }
        }
    }
}
