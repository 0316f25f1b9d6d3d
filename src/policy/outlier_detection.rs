//! Failure rates of workers, and their ejection: for failures in a row, for being unresponsive, or with their
//! whole zone. This file never decides what an ejected worker may still get: replica selection does.

use crate::policy::estimates::DecayingRate;
use crate::policy::queries::Attempt;
use crate::policy::time::{seconds, span};
use crate::policy::worker_state::{Ejection, WorkerState};
use crate::policy::{
    Action, Aggregator, AttemptNo, AttemptOutcome, AttemptResult, ClassId, RequestId, Time, WorkerId, ZoneId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Failures in a row that eject a worker: one may be chance.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;
/// First time before a half-open attempt, and the longest; each failure doubles it.
pub(super) const MIN_EJECTION_TIME: Duration = Duration::from_millis(1000);
pub(super) const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Seconds over which the cost that a worker serves is averaged: load changes faster than its machine.
pub(super) const SERVED_RATE_DECAY_S: f64 = 5.0;
/// Weight of one attempt in a worker's failure rate.
pub(super) const FAILURE_RATE_SAMPLE_WEIGHT: f64 = 0.3;
/// Later attempts with a response from the same worker from which an overdue one waits in no queue: one
/// proves nothing.
const OVERTAKEN_TO_COUNT_AS_LOST: u32 = 2;
/// Half-open attempts a second that one ejected worker may get from all aggregators together.
const HALF_OPEN_ATTEMPTS_PER_S: f64 = 20.0;
/// Workers of one zone without a response, while none has one, from which the whole zone is ejected.
const MIN_UNRESPONSIVE_IN_ZONE: usize = 3;
/// The utilization that stands in for a report of a worker that is overdue or fails.
const ASSUMED_UTILIZATION: f64 = 1.0;

impl WorkerState {
    /// The failure rate of a class of its attempts, or of all if that is more.
    pub(super) fn failure_rate(&self, now: Time, class: ClassId) -> f64 {
        let rate = |key| self.failure_rates.get(&key).map_or(0.0, |rate| rate.value_at(now));
        rate(None).max(rate(Some(class)))
    }

    /// Records an attempt in the failure rates, of its class too: a worker may fail at one class alone. One
    /// success does not clear them.
    fn record_failure(&mut self, now: Time, class: ClassId) {
        self.add_failure_sample(now, class, 1.0);
    }

    fn record_success(&mut self, now: Time, class: ClassId) {
        self.add_failure_sample(now, class, 0.0);
    }

    fn add_failure_sample(&mut self, now: Time, class: ClassId, sample: f64) {
        for key in [None, Some(class)] {
            let rate = self.failure_rates.entry(key).or_default();
            let before = rate.value_at(now);
            let value = before + FAILURE_RATE_SAMPLE_WEIGHT * (sample - before);
            *rate = DecayingRate { value, updated_at: now };
        }
    }

    /// Ejects it until `duration` has passed. One that does not respond at all is worse than one that
    /// rejects.
    fn eject(&mut self, now: Time, duration: Duration) {
        self.ejection.get_or_insert(Ejection { retry_at: now.after(duration), duration });
    }

    fn eject_as_unresponsive(&mut self, now: Time, duration: Duration) {
        self.unresponsive = true;
        self.eject(now, duration);
    }

    pub(super) fn reinstate(&mut self) {
        (self.ejection, self.consecutive_failures) = (None, 0);
        (self.unresponsive, self.ejected_with_zone) = (false, false);
    }
}

/// First ejection time of an unresponsive worker: with jitter, and so long that the half-open attempts of the
/// whole fleet together keep under their rate.
fn initial_ejection_time(fleet_size: u32, random: &mut fastrand::Rng) -> Duration {
    let fleet = f64::from(fleet_size) / HALF_OPEN_ATTEMPTS_PER_S;
    MIN_EJECTION_TIME.max(span(fleet * (0.5 + random.f64())))
}

// Workers that do not respond.
impl Aggregator {
    /// Reads an overdue response as a report of full utilization, and ejects a worker whose attempt is twice
    /// overdue with no success since: a worker may accept parts and never respond.
    pub(super) fn eject_unresponsive(&mut self, actions: &mut Vec<Action>) {
        let all = self.workers.iter().map(|(id, worker)| (*id, self.seconds_overdue(worker)));
        let overdue: BTreeMap<WorkerId, f64> = all.filter(|(_, seconds)| *seconds > 0.0).collect();
        let margin = self.overdue_margin();
        for (id, overdue_s) in &overdue {
            self.apply_load_report(*id, ASSUMED_UTILIZATION);
            let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.ejection.is_none()) else {
                continue;
            };
            let no_success_since_sent =
                worker.in_flight.first().is_some_and(|(sent, _, _)| *sent > worker.last_success_at);
            if *overdue_s > margin && no_success_since_sent {
                let duration = initial_ejection_time(self.settings.fleet_size, &mut self.random);
                worker.eject_as_unresponsive(self.now, duration);
                // Recorded by the simulator: the text stays as it is.
                let text = format!("leaf {} suspect: silent, {overdue_s:.2} s late", id.0);
                actions.push(Action::Log { text });
            }
        }
        // An aggregator that was paused itself receives every response late.
        if !self.stalled {
            self.eject_unresponsive_zones(&overdue, actions);
        }
    }

    /// Ejects all workers of a zone at once where several are overdue or cannot be reached, and none has
    /// responded since: a lost zone is not to be found out one worker after the other.
    fn eject_unresponsive_zones(&mut self, overdue: &BTreeMap<WorkerId, f64>, actions: &mut Vec<Action>) {
        for zone in self.unresponsive_zones(overdue) {
            let mut ejected_count = 0;
            let is_ejectable =
                |worker: &&mut WorkerState| worker.endpoint.zone == zone && worker.ejection.is_none();
            for worker in self.workers.values_mut().filter(is_ejectable) {
                let duration = initial_ejection_time(self.settings.fleet_size, &mut self.random);
                worker.eject_as_unresponsive(self.now, duration);
                worker.ejected_with_zone = true;
                ejected_count += 1;
            }
            if ejected_count > 0 {
                // Recorded by the simulator: the text stays as it is.
                let text =
                    format!("zone {}: no answer from any leaf; {ejected_count} more are suspect", zone.0);
                actions.push(Action::Log { text });
            }
        }
    }

    /// The zones in which several active workers miss a response, and none has responded since.
    fn unresponsive_zones(&self, overdue: &BTreeMap<WorkerId, f64>) -> Vec<ZoneId> {
        #[derive(Default)]
        struct ZoneResponses {
            last_response_at: Time,
            unanswered_sent_at: Vec<Time>,
        }
        // In nearly all steps no response is missing anywhere.
        let any_connect_failed = || self.workers.values().any(|worker| worker.connect_failed_at.is_some());
        if overdue.is_empty() && !any_connect_failed() {
            return Vec::new();
        }
        let mut zones: BTreeMap<ZoneId, ZoneResponses> = BTreeMap::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.is_active()) {
            let zone = zones.entry(worker.endpoint.zone).or_default();
            zone.last_response_at = zone.last_response_at.max(worker.last_response_at);
            let oldest = worker.in_flight.first().map(|(sent, _, _)| *sent);
            let unanswered = oldest.filter(|_| overdue.contains_key(id)).or(worker.connect_failed_at);
            // What its last process missed says nothing of a new one.
            let sent_to_current_process = |at: &Time| worker.warming_since.is_none_or(|from| *at > from);
            zone.unanswered_sent_at.extend(unanswered.filter(sent_to_current_process));
        }
        zones.retain(|_, zone| {
            let unanswered = zone.unanswered_sent_at.iter().filter(|at| **at > zone.last_response_at);
            unanswered.count() >= MIN_UNRESPONSIVE_IN_ZONE
        });
        zones.into_keys().collect()
    }
}

// Results.
impl Aggregator {
    /// Records what a result says of the worker's failure rates.
    pub(super) fn record_attempt_outcome(
        &mut self,
        result: &AttemptResult,
        class: ClassId,
        attempt: &Attempt,
    ) {
        if self.stalled {
            return;
        }
        let age = seconds(self.now.since(attempt.sent_at));
        let overdue = age > attempt.expected_latency + self.overdue_margin();
        if result.outcome == AttemptOutcome::Succeeded {
            return self.record_success_and_lost_attempts(result.worker, class, attempt.sent_at);
        }
        let Some(worker) = self.workers.get_mut(&result.worker) else { return };
        match result.outcome {
            AttemptOutcome::Failed => worker.record_failure(self.now, class),
            AttemptOutcome::ConnectFailed => worker.connect_failed_at = Some(attempt.sent_at),
            // Counts where nothing has succeeded since, else where it is overtaken: it may wait in a queue.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
                if overdue && !attempt.counted_as_lost && worker.last_success_at < attempt.sent_at =>
            {
                worker.record_failure(self.now, class);
            }
            _ => {}
        }
    }

    /// Records a success, and as lost the overdue attempts that it and others overtook: they wait in no
    /// queue.
    fn record_success_and_lost_attempts(&mut self, id: WorkerId, class: ClassId, sent_at: Time) {
        let (now, margin) = (self.now, self.overdue_margin());
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.record_success(now, class);
        let earlier = worker.in_flight.range(..(sent_at, RequestId(0), AttemptNo(0))).copied();
        for (sent_at, part, number) in earlier.collect::<Vec<_>>() {
            let Some(part) = self.parts.get_mut(&part) else { continue };
            let Some(attempt) = part.attempts.get_mut(number.0 as usize) else { continue };
            attempt.overtaken_by += 1;
            let overdue = seconds(now.since(sent_at)) > attempt.expected_latency + margin;
            let lost = overdue && attempt.overtaken_by >= OVERTAKEN_TO_COUNT_AS_LOST;
            if lost && !std::mem::replace(&mut attempt.counted_as_lost, true) {
                worker.record_failure(now, part.class);
            }
        }
    }

    /// Reinstates or ejects a worker by the outcome of an attempt of this cost, or of a health check.
    pub(super) fn apply_outcome(&mut self, id: WorkerId, outcome: AttemptOutcome, cost: f64) {
        let now = self.now;
        self.record_response(id, outcome);
        let Some(worker) = self.workers.get_mut(&id) else { return };
        match outcome {
            AttemptOutcome::Succeeded => {
                let elapsed = seconds(now.since(worker.last_success_at)) / SERVED_RATE_DECAY_S;
                worker.served_cost_rate =
                    worker.served_cost_rate * (-elapsed).exp() + cost / SERVED_RATE_DECAY_S;
                worker.last_success_at = now;
                worker.reinstate();
            }
            // It comes at once and counts in the failure rate: a retry costs less than a replica that is
            // full.
            AttemptOutcome::Failed => {}
            AttemptOutcome::Rejected
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut => {
                worker.consecutive_failures += 1;
                // A connection that broke may be that one alone; a process that died refuses the next.
                let unreachable = outcome == AttemptOutcome::ConnectFailed;
                if unreachable || worker.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT {
                    if unreachable {
                        let duration = initial_ejection_time(self.settings.fleet_size, &mut self.random);
                        worker.eject_as_unresponsive(now, duration);
                    } else {
                        worker.eject(now, MIN_EJECTION_TIME);
                    }
                }
                self.apply_load_report(id, ASSUMED_UTILIZATION);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Where an outcome shows that the worker responded: its zone is not lost, and what was ejected with the
    /// zone alone is reinstated.
    fn record_response(&mut self, id: WorkerId, outcome: AttemptOutcome) {
        let responded =
            matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::Rejected);
        let Some(worker) = self.workers.get_mut(&id).filter(|_| responded) else { return };
        (worker.last_response_at, worker.unresponsive, worker.connect_failed_at) = (self.now, false, None);
        let zone = worker.endpoint.zone;
        let is_ejected_with_this_zone =
            |worker: &&mut WorkerState| worker.ejected_with_zone && worker.endpoint.zone == zone;
        self.workers.values_mut().filter(is_ejected_with_this_zone).for_each(WorkerState::reinstate);
    }
}
