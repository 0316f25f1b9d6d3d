//! Dispatch of attempts, retries and hedged requests, and the handling of their results. The limits on
//! extra attempts are in `retry_budget.rs`, the workers' failure rates and ejections in
//! `outlier_detection.rs`.

use crate::policy::load_reports::utilization;
use crate::policy::outlier_detection::MAX_EJECTION_TIME;
use crate::policy::queries::{Attempt, Part};
use crate::policy::time::seconds;
use crate::policy::worker_state::{Ejection, SentCost};
use crate::policy::{
    Action, Aggregator, AttemptNo, AttemptOutcome, AttemptResult, ClassId, Idempotency, RequestId, WorkerId,
};

/// A query goes on past its latency objective if a late answer earns at least this share of its weight.
pub(super) const MIN_LATE_WEIGHT: f64 = 0.25;
/// A late attempt is hedged without waiting for the overdue margin once the time left to the latency
/// objective is less than this multiple of the part's expected service time.
const LAST_HEDGE_SERVICE_TIMES: f64 = 2.5;
/// A hedge is sent only if its response is expected within this share of the time left to the objective.
const HEDGE_THRESHOLD: f64 = 0.7;

// Sending.
impl Aggregator {
    /// Whether the part's class and the limit on attempts allow a first or a further attempt.
    pub(super) fn may_attempt(&self, part: &Part) -> bool {
        let Some(class) = self.class(part.class) else { return false };
        let first_possible_run = part.attempts.iter().find(|attempt| attempt.may_have_run());
        let is_safe = match (class.idempotency, first_possible_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed, Some(first)) => self.now.since(first.sent_at) < class.repeat_window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        is_safe && self.settings.max_attempts.is_none_or(|limit| (part.attempts.len() as u32) < limit)
    }

    /// Whether a further attempt would be a hedge: another one is in flight at a worker that is not
    /// ejected.
    pub(super) fn is_hedge(&self, part: &Part) -> bool {
        let is_not_ejected = |id| self.workers.get(&id).is_some_and(|worker| worker.ejection.is_none());
        part.attempts.iter().any(|attempt| attempt.is_in_flight() && is_not_ejected(attempt.worker))
    }

    /// Sends an attempt, unless no time is left or the worker is not eligible. All attempts are sent here.
    pub(super) fn dispatch(
        &mut self,
        id: RequestId,
        worker_id: WorkerId,
        expected_latency: f64,
        actions: &mut Vec<Action>,
    ) {
        let (Some(part), Some(worker)) = (self.parts.get(&id), self.workers.get(&worker_id)) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        let late_weight = self.class(query.request.class).map_or(0.0, |class| class.late_weight);
        let latest_response_at =
            if late_weight >= MIN_LATE_WEIGHT { query.request.valid_until } else { query.objective_at };
        let timeout = latest_response_at.since(self.now);
        if timeout.is_zero() || !self.is_eligible(part, worker) {
            return;
        }
        let is_hedge = self.is_hedge(part);
        let (Some(part), Some(worker)) = (self.parts.get_mut(&id), self.workers.get_mut(&worker_id)) else {
            return;
        };
        if !part.attempts.is_empty() {
            self.attempt_window.record_extra_attempt(self.now, is_hedge);
        }
        let number = AttemptNo(part.attempts.len() as u32);
        part.attempts.push(Attempt {
            worker: worker_id,
            sent_at: self.now,
            expected_latency,
            cost: part.cost,
            cost_ahead: worker.outstanding_cost,
            overtaken_by: 0,
            counted_as_lost: false,
            outcome: None,
        });
        worker.in_flight.insert((self.now, id, number));
        worker.recent_sends.retain(|sent| self.now.since(sent.at) <= self.settings.warm_up);
        let cost = part.cost + worker.new_call_cost(&self.settings);
        worker.recent_sends.push_back(SentCost { at: self.now, cost });
        worker.add_part(part.cost, self.settings.parts_per_call);
        worker.ejection = worker.ejection.map(|ejection| Ejection {
            retry_at: self.now.after(ejection.duration),
            duration: (ejection.duration * 2).min(MAX_EJECTION_TIME),
        });
        actions.push(Action::Send { id, worker: worker_id, timeout });
    }

    /// Sends the first attempts and retries that are possible now, and hedges of late attempts.
    pub(super) fn retry_or_hedge(&mut self, actions: &mut Vec<Action>) {
        self.attempt_window.expire(self.now, &self.settings);
        let unfinished = self.parts.iter().filter(|(_, part)| !part.succeeded && !part.finished);
        let unfinished: Vec<RequestId> = unfinished.map(|(id, _)| *id).collect();
        for id in unfinished {
            if let Some((worker, expected_latency)) = self.next_attempt(id) {
                self.dispatch(id, worker, expected_latency, actions);
            }
        }
    }

    /// The replica for a part's next attempt and its expected latency in seconds; `None` if no attempt is
    /// allowed now or none would respond in time.
    fn next_attempt(&self, id: RequestId) -> Option<(WorkerId, f64)> {
        let part = self.parts.get(&id)?;
        let query = self.queries.get(&part.query)?;
        let time_left_s = seconds(query.objective_at.since(self.now));
        let in_flight: Vec<&Attempt> =
            part.attempts.iter().filter(|attempt| attempt.is_in_flight()).collect();
        if in_flight.len() > 1
            || !in_flight.iter().all(|attempt| self.should_hedge(part, attempt, time_left_s))
        {
            return None;
        }
        let (worker, expected_latency) = self.select_replica(part)?;
        let threshold = if in_flight.is_empty() { 1.0 } else { HEDGE_THRESHOLD };
        let is_other_worker = in_flight.iter().all(|attempt| attempt.worker != worker);
        (expected_latency < time_left_s * threshold && is_other_worker).then_some((worker, expected_latency))
    }

    /// Whether a hedged request may be sent beside this attempt: the attempt is overdue, its worker is
    /// ejected, or the attempt is late and little time is left. `time_left_s` is the time until the latency
    /// objective, in seconds.
    fn should_hedge(&self, part: &Part, attempt: &Attempt, time_left_s: f64) -> bool {
        let age = seconds(self.now.since(attempt.sent_at));
        let is_ejected = self.workers.get(&attempt.worker).is_some_and(|worker| worker.ejection.is_some());
        let is_last_chance = || {
            time_left_s
                < LAST_HEDGE_SERVICE_TIMES * self.estimates.latency_model.slopes().own_cost * part.cost
        };
        is_ejected
            || age > attempt.expected_latency + self.overdue_margin()
            || age > attempt.expected_latency && is_last_chance()
    }
}

// Results.
impl Aggregator {
    /// Applies the result of an attempt to its part, its worker and the estimates. A result without a known
    /// attempt in flight is ignored.
    pub(super) fn finish_attempt(&mut self, result: AttemptResult) {
        let Some((class, attempt)) = self.close_attempt(&result) else { return };
        let outcome = result.outcome;
        // A higher failure rate lowers the admission threshold, so that queues don't grow without bound.
        if !self.stalled {
            let failed = matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::TimedOut);
            self.estimates.record_attempt_result(failed);
        }
        if outcome == AttemptOutcome::NotSent && result.attempt.0 > 0 {
            self.attempt_window.remove_extra_attempt(attempt.sent_at);
        }
        if let Some(worker) = self.workers.get_mut(&result.worker) {
            worker.in_flight.remove(&(attempt.sent_at, result.id, result.attempt));
            let remaining_cost = (worker.outstanding_cost - attempt.cost).max(0.0);
            worker.outstanding_cost = if worker.in_flight.is_empty() { 0.0 } else { remaining_cost };
        }
        if outcome == AttemptOutcome::Succeeded && !self.stalled {
            self.record_latency(&result, class, &attempt);
        }
        self.record_attempt_outcome(&result, class, &attempt);
        self.apply_outcome(result.worker, outcome, attempt.cost);
        if let Some(report) = result.load_report {
            let utilization = utilization(&self.settings.report_fields, &report);
            self.estimates.record_utilization(utilization);
            self.apply_load_report(result.worker, utilization);
        }
        self.remove_if_released(result.id);
    }

    /// Records the outcome at the part. Returns the part's class and the attempt, or `None` if the attempt
    /// is unknown or has already ended.
    fn close_attempt(&mut self, result: &AttemptResult) -> Option<(ClassId, Attempt)> {
        let part = self.parts.get_mut(&result.id)?;
        let succeeded = result.outcome == AttemptOutcome::Succeeded;
        part.finished |= result.part_finished && !succeeded;
        let attempt =
            part.attempts.get_mut(result.attempt.0 as usize).filter(|attempt| attempt.is_in_flight())?;
        attempt.outcome = Some(result.outcome);
        part.succeeded |= succeeded;
        Some((part.class, *attempt))
    }
}
