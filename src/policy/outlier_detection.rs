//! Failure rates of workers, their ejection, alone or with their zone.

use crate::policy::estimates::decayed;
use crate::policy::time::{seconds, span};
use crate::policy::worker_state::WorkerState;
use crate::policy::{
    Action, Aggregator, AttemptNo, AttemptOutcome, ClassId, EndpointStatus, RequestId, Time, WorkerId, ZoneId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Failures in a row that make a leaf suspect: one may be chance.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;
/// First pause before a suspect is tried or discovery asked again, and the longest; each failure doubles it.
pub(super) const MIN_EJECTION_TIME: Duration = Duration::from_millis(1000);
pub(super) const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Seconds over which a leaf's own answers are averaged: load changes faster than its machine.
pub(super) const SERVED_RATE_DECAY_S: f64 = 5.0;
/// Weight of one attempt in the share that a leaf loses.
pub(super) const FAILURE_RATE_SAMPLE_WEIGHT: f64 = 0.3;
/// Later attempts answered by the same leaf from which an overdue one is in no queue: one proves nothing.
const OVERTAKEN_TO_COUNT_AS_LOST: u32 = 2;
/// Trials a second that one suspect may get from all roots together.
const HALF_OPEN_ATTEMPTS_PER_S: f64 = 20.0;
/// Leaves of one zone without answer, and none with, from which all of it is suspect.
const MIN_UNRESPONSIVE_IN_ZONE: usize = 3;

impl WorkerState {
    /// Share of a class's attempts that it loses, or of all if that is more.
    pub(super) fn failure_rate(&self, now: Time, class: ClassId) -> f64 {
        let share = |key| self.failure_rates.get(&key).map_or(0.0, |row| decayed(*row, now));
        share(None).max(share(Some(class)))
    }
    /// Guards against leaves that lose a share of the attempts, or one class alone. Answers fade it only.
    pub(super) fn record_outcome(&mut self, now: Time, class: ClassId, lost: bool) {
        for key in [None, Some(class)] {
            let row = self.failure_rates.entry(key).or_default();
            let before = decayed(*row, now);
            *row = (before + FAILURE_RATE_SAMPLE_WEIGHT * (f64::from(u8::from(lost)) - before), now);
        }
    }
    /// Suspects it, with a first trial after a hold by lot. What says nothing is worse than what turns away.
    pub(super) fn eject(&mut self, now: Time, silent: bool, hold: Duration) {
        self.unresponsive |= silent;
        if self.ejection.is_none() {
            self.ejection = Some((now.after(hold), hold));
        }
    }
    pub(super) fn reinstate(&mut self) {
        (self.ejection, self.unresponsive, self.ejected_with_zone, self.consecutive_failures) =
            (None, false, false, 0);
    }
}

/// First hold of a suspect: as long as keeps the trials of so many roots together under a rate for one leaf.
pub(super) fn initial_ejection_time(roots: u32, random: &mut fastrand::Rng) -> Duration {
    let fleet = f64::from(roots) / HALF_OPEN_ATTEMPTS_PER_S;
    MIN_EJECTION_TIME.max(span(fleet * (0.5 + random.f64())))
}

impl Aggregator {
    /// Guards against leaves that take work and fall silent: an overdue answer is read as a report of full
    /// utilization, and an attempt that is twice overdue with nothing answered since makes the leaf suspect.
    pub(super) fn eject_unresponsive(&mut self, actions: &mut Vec<Action>) {
        let late = self.workers.iter().map(|(id, worker)| (*id, self.seconds_overdue(worker)));
        let late: BTreeMap<WorkerId, f64> = late.filter(|row| row.1 > 0.0).collect();
        let spread = self.overdue_margin();
        for (id, overdue) in &late {
            self.apply_load_report(*id, 1.0);
            let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.ejection.is_none()) else {
                continue;
            };
            if *overdue > spread
                && worker.in_flight.first().is_some_and(|(sent, _, _)| *sent > worker.last_success_at)
            {
                worker.eject(
                    self.now,
                    true,
                    initial_ejection_time(self.settings.fleet_size, &mut self.random),
                );
                let text = format!("leaf {} suspect: silent, {overdue:.2} s late", id.0);
                actions.push(Action::Log { text });
            }
        }
        // One that stood still itself hears of everything late.
        if !self.stalled {
            self.eject_unresponsive_zones(&late, actions);
        }
    }

    /// Guards against learning of a lost zone one leaf after the other: where several of a zone's leaves are
    /// late or cannot be reached, and none has answered since, all of them are suspect at once.
    pub(super) fn eject_unresponsive_zones(
        &mut self,
        late: &BTreeMap<WorkerId, f64>,
        actions: &mut Vec<Action>,
    ) {
        let mut zones: BTreeMap<ZoneId, (Time, Vec<Time>)> = BTreeMap::new();
        for (id, worker) in
            self.workers.iter().filter(|(_, worker)| worker.endpoint.status == EndpointStatus::Active)
        {
            let zone = zones.entry(worker.endpoint.zone).or_default();
            zone.0 = zone.0.max(worker.last_response_at);
            let since = worker.in_flight.first().map(|(sent, _, _)| *sent).filter(|_| late.contains_key(id));
            // What its last process missed says nothing of a new one.
            zone.1.extend(
                since
                    .or(worker.connect_failed_at)
                    .filter(|at| worker.warming_since.is_none_or(|from| *at > from)),
            );
        }
        zones.retain(|_, (spoke, late)| {
            late.iter().filter(|at| **at > *spoke).count() >= MIN_UNRESPONSIVE_IN_ZONE
        });
        for zone in zones.into_keys() {
            let mut count = 0;
            let of = |worker: &&mut WorkerState| worker.endpoint.zone == zone && worker.ejection.is_none();
            for worker in self.workers.values_mut().filter(of) {
                worker.eject(
                    self.now,
                    true,
                    initial_ejection_time(self.settings.fleet_size, &mut self.random),
                );
                (worker.ejected_with_zone, count) = (true, count + 1);
            }
            if count > 0 {
                let text = format!("zone {}: no answer from any leaf; {count} more are suspect", zone.0);
                actions.push(Action::Log { text });
            }
        }
    }

    /// Books an answer, and as lost what is overdue while later ones are answered: it is in no queue.
    pub(super) fn record_success(&mut self, id: WorkerId, class: ClassId, sent: Time) {
        let (now, spread) = (self.now, self.overdue_margin());
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.record_outcome(now, class, false);
        let earlier =
            worker.in_flight.range(..(sent, RequestId(0), AttemptNo(0))).copied().collect::<Vec<_>>();
        for (since, part, number) in earlier {
            let Some(part) = self.parts.get_mut(&part) else { continue };
            let Some(attempt) = part.attempts.get_mut(number.0 as usize) else { continue };
            attempt.overtaken_by += 1;
            let overdue = seconds(now.since(since)) > attempt.expected_latency + spread;
            if overdue
                && attempt.overtaken_by >= OVERTAKEN_TO_COUNT_AS_LOST
                && !std::mem::replace(&mut attempt.counted_as_lost, true)
            {
                worker.record_outcome(now, part.class, true);
            }
        }
    }

    pub(super) fn apply_outcome(&mut self, id: WorkerId, outcome: AttemptOutcome, work: f64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::Rejected) {
            (worker.last_response_at, worker.unresponsive, worker.connect_failed_at) = (now, false, None);
            // Its zone is not lost: what is suspect for that alone is not.
            let zone = worker.endpoint.zone;
            let of = |worker: &&mut WorkerState| worker.ejected_with_zone && worker.endpoint.zone == zone;
            self.workers.values_mut().filter(of).for_each(WorkerState::reinstate);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        match outcome {
            AttemptOutcome::Succeeded => {
                let gap = seconds(now.since(worker.last_success_at)) / SERVED_RATE_DECAY_S;
                worker.served_cost_rate = worker.served_cost_rate * (-gap).exp() + work / SERVED_RATE_DECAY_S;
                worker.last_success_at = now;
                worker.reinstate();
            }
            // It comes at once and counts as a loss: another try costs less than a replica that is full.
            AttemptOutcome::Failed => {}
            AttemptOutcome::Rejected
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut => {
                worker.consecutive_failures += 1;
                // One connection that broke may be that alone; a process that died refuses the next.
                let silent = outcome == AttemptOutcome::ConnectFailed;
                if silent || worker.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT {
                    let hold = if silent {
                        initial_ejection_time(self.settings.fleet_size, &mut self.random)
                    } else {
                        MIN_EJECTION_TIME
                    };
                    worker.eject(now, silent, hold);
                }
                self.apply_load_report(id, 1.0);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }
}
