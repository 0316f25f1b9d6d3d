//! Outlier detection: the failure rates of workers, and the ejection of workers for consecutive failures,
//! for not responding, or together with their whole zone. Replica selection, not this file, decides which
//! attempts an ejected worker still gets.

use crate::policy::estimates::DecayingRate;
use crate::policy::queries::Attempt;
use crate::policy::time::{seconds, span};
use crate::policy::worker_state::{Ejection, WorkerState};
use crate::policy::{
    Action, Aggregator, AttemptNo, AttemptOutcome, AttemptResult, ClassId, RequestId, Time, WorkerId, ZoneId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Consecutive failures that eject a worker: a single one may be chance.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;
/// Shortest time from an ejection to the first half-open attempt. Each half-open attempt doubles the time
/// to the next one.
pub(super) const MIN_EJECTION_TIME: Duration = Duration::from_millis(1000);
/// Upper bound of the time between half-open attempts when it is doubled.
pub(super) const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Decay time of a worker's served cost rate, in seconds. It is short because load changes faster than the
/// machine's capacity.
pub(super) const SERVED_RATE_DECAY_S: f64 = 5.0;
/// Weight of one attempt in a worker's moving average of failures.
pub(super) const FAILURE_RATE_SAMPLE_WEIGHT: f64 = 0.3;
/// An overdue attempt counts as lost once this many attempts that were sent later to the same worker have
/// succeeded: it is then not waiting in a queue. A single one is no proof.
const OVERTAKEN_TO_COUNT_AS_LOST: u32 = 2;
/// Half-open attempts per second that one ejected worker may get from all aggregators together.
const HALF_OPEN_ATTEMPTS_PER_S: f64 = 20.0;
/// A zone is ejected when at least this many of its workers owe a response and no worker in it has
/// responded since.
const MIN_UNRESPONSIVE_IN_ZONE: usize = 3;
/// The utilization that is assumed for a worker that is overdue or fails, as if it had reported it.
const ASSUMED_UTILIZATION: f64 = 1.0;

impl WorkerState {
    /// The worker's failure rate for one class, or over all classes if that is higher.
    pub(super) fn failure_rate(&self, now: Time, class: ClassId) -> f64 {
        let rate_of = |key| self.failure_rates.get(&key).map_or(0.0, |rate| rate.value_at(now));
        rate_of(None).max(rate_of(Some(class)))
    }

    fn record_failure(&mut self, now: Time, class: ClassId) {
        self.add_failure_sample(now, class, 1.0);
    }

    fn record_success(&mut self, now: Time, class: ClassId) {
        self.add_failure_sample(now, class, 0.0);
    }

    /// Adds a sample (1 for a failure, 0 for a success) to the failure rates of the class and of all
    /// classes: a worker may fail at one class alone. One success does not clear the rates.
    fn add_failure_sample(&mut self, now: Time, class: ClassId, sample: f64) {
        for key in [None, Some(class)] {
            let rate = self.failure_rates.entry(key).or_default();
            let before = rate.value_at(now);
            let value = before + FAILURE_RATE_SAMPLE_WEIGHT * (sample - before);
            *rate = DecayingRate { value, updated_at: now };
        }
    }

    /// Ejects the worker until `duration` has passed. An ejection that is already in force stays as it is.
    fn eject(&mut self, now: Time, duration: Duration) {
        self.ejection.get_or_insert(Ejection { retry_at: now.after(duration), duration });
    }

    /// Ejects a worker that gives no response at all. Replica selection ranks it below an ejected worker
    /// that still responds, for instance with rejections.
    fn eject_as_unresponsive(&mut self, now: Time, duration: Duration) {
        self.unresponsive = true;
        self.eject(now, duration);
    }

    pub(super) fn reinstate(&mut self) {
        (self.ejection, self.consecutive_failures) = (None, 0);
        (self.unresponsive, self.ejected_with_zone) = (false, false);
    }
}

/// The initial ejection time of an unresponsive worker. It has jitter, and grows with the fleet, so that
/// the half-open attempts of all aggregators together keep to [`HALF_OPEN_ATTEMPTS_PER_S`].
fn initial_ejection_time(fleet_size: u32, random: &mut fastrand::Rng) -> Duration {
    let mean_seconds = f64::from(fleet_size) / HALF_OPEN_ATTEMPTS_PER_S;
    MIN_EJECTION_TIME.max(span(mean_seconds * (0.5 + random.f64())))
}

// Workers that do not respond.
impl Aggregator {
    /// Treats an overdue response as a report of full utilization. Ejects a worker whose oldest attempt is
    /// past its expected latency by more than twice the overdue margin, if nothing has succeeded there
    /// since that attempt was sent: a worker may accept parts and never respond.
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
        // After a pause of this aggregator, the responses of all zones are late.
        if !self.stalled {
            self.eject_unresponsive_zones(&overdue, actions);
        }
    }

    /// Ejects all workers of an unresponsive zone at once: detecting a lost zone one worker at a time
    /// would cost attempts at each of them.
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

    /// The zones in which at least [`MIN_UNRESPONSIVE_IN_ZONE`] active workers are overdue or refused a
    /// connection, and no worker has responded since those attempts were sent.
    fn unresponsive_zones(&self, overdue: &BTreeMap<WorkerId, f64>) -> Vec<ZoneId> {
        #[derive(Default)]
        struct ZoneResponses {
            last_response_at: Time,
            unanswered_sent_at: Vec<Time>,
        }
        // Shortcut for the usual step, in which no response is missing.
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
            // An attempt that the worker's previous process left unanswered says nothing about the new
            // process.
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

// Results of attempts.
impl Aggregator {
    /// Updates the worker's failure rates by the result of an attempt and records a failed connection.
    /// Results that arrive after a pause of this aggregator are skipped.
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
        let is_overdue = age > attempt.expected_latency + self.overdue_margin();
        if result.outcome == AttemptOutcome::Succeeded {
            return self.record_success_and_lost_attempts(result.worker, class, attempt.sent_at);
        }
        let Some(worker) = self.workers.get_mut(&result.worker) else { return };
        match result.outcome {
            AttemptOutcome::Failed => worker.record_failure(self.now, class),
            AttemptOutcome::ConnectFailed => worker.connect_failed_at = Some(attempt.sent_at),
            // An overdue attempt counts as a failure if no attempt has succeeded at the worker since it was
            // sent. Otherwise it may be waiting in a queue, and counts only once it has been overtaken (see
            // `record_success_and_lost_attempts`).
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
                if is_overdue && !attempt.counted_as_lost && worker.last_success_at < attempt.sent_at =>
            {
                worker.record_failure(self.now, class);
            }
            _ => {}
        }
    }

    /// Records a success. Overdue attempts that were sent earlier and have been overtaken by
    /// [`OVERTAKEN_TO_COUNT_AS_LOST`] successes count as failures: they are not waiting in a queue.
    fn record_success_and_lost_attempts(&mut self, id: WorkerId, class: ClassId, sent_at: Time) {
        let (now, margin) = (self.now, self.overdue_margin());
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.record_success(now, class);
        let earlier = worker.in_flight.range(..(sent_at, RequestId(0), AttemptNo(0))).copied();
        for (sent_at, part, number) in earlier.collect::<Vec<_>>() {
            let Some(part) = self.parts.get_mut(&part) else { continue };
            let Some(attempt) = part.attempts.get_mut(number.0 as usize) else { continue };
            attempt.overtaken_by += 1;
            let is_overdue = seconds(now.since(sent_at)) > attempt.expected_latency + margin;
            let is_lost = is_overdue && attempt.overtaken_by >= OVERTAKEN_TO_COUNT_AS_LOST;
            if is_lost && !std::mem::replace(&mut attempt.counted_as_lost, true) {
                worker.record_failure(now, part.class);
            }
        }
    }

    /// Reinstates or ejects a worker by the outcome of an attempt or of a failed health check. `cost` is
    /// the attempt's cost in seconds; 0 for a health check.
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
            // An error arrives at once and counts in the failure rate only. Retrying it costs less than
            // ejecting a replica while the others are full.
            AttemptOutcome::Failed => {}
            AttemptOutcome::Rejected
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut => {
                worker.consecutive_failures += 1;
                // A reset may concern one connection alone; a process that has died refuses the next one.
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

    /// Records that the worker responded, if the outcome shows it. Its zone is then not lost, and the
    /// workers that were ejected only because of the zone are reinstated.
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
