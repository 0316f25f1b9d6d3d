//! The invariants of parts, as they come to workers.

use super::observations::{Observations, Part, Request, RequestOutcome, WorkerPause};
use super::violation::{Violation, ViolationKind, ms, report};
use std::collections::{BTreeMap, HashMap};

/// The time that a worker is given may exceed what is left to the client by this.
const DEADLINE_SLACK_US: u64 = 150_000;
/// An attempt may begin so long after its client has closed its connection.
const DISCONNECT_SLACK_US: u64 = 100_000;
/// Bytes that arrived while a worker was paused are read so long after it resumes.
const WORKER_RESUME_US: u64 = 50_000;

impl WorkerPause {
    fn covers(&self, part: &Part) -> bool {
        let unreliable = self.paused_at..self.resumed_at + WORKER_RESUME_US;
        self.worker == part.worker && unreliable.contains(&part.received_at)
    }
}

pub fn check_parts(
    observations: &Observations,
    requests: &HashMap<&str, &Request>,
    violations: &mut Vec<Violation>,
) {
    for part in &observations.parts {
        let Some(request) = requests.get(part.request.as_str()) else { continue };
        // The arrival of its frame cannot be measured: the worker was paused.
        if observations.worker_pauses.iter().any(|pause| pause.covers(part)) {
            continue;
        }
        let process = observations.processes.get(request.process);
        let paused_us = process.map_or(0, |process| process.longest_pause_us);
        let slack_us = observations.observer_lag_us + paused_us;
        let about = format!("part {}.{} at {}", part.request, part.shard, part.worker);
        let left_us = (request.sent_at + request.budget_us).saturating_sub(part.received_at);
        if part.time_left_us > left_us + DEADLINE_SLACK_US + slack_us {
            let details = format!("{about}: given {} ms, left {} ms", ms(part.time_left_us), ms(left_us));
            report(violations, ViolationKind::DeadlineExtended, details);
        }
        if request.outcome == RequestOutcome::ClientDisconnected
            && part.received_at > request.ended_at + DISCONNECT_SLACK_US + slack_us
        {
            let after = ms(part.received_at - request.ended_at);
            let details = format!("{about}: {after} ms after its client disconnected");
            report(violations, ViolationKind::SentAfterDisconnect, details);
        }
        let gatherer = process.map(|process| process.gatherer);
        let removal = observations.removals.iter().find(|removal| {
            Some(removal.gatherer) == gatherer
                && removal.worker == part.worker
                && part.received_at > removal.effective_at + observations.drain_grace_us + slack_us
                && part.received_at < removal.relisted_at
        });
        if let Some(removal) = removal {
            let after = ms(part.received_at - removal.effective_at);
            let details = format!("{about}: {after} ms after its drain was announced");
            report(violations, ViolationKind::SentToDrainedWorker, details);
        }
    }
}

pub fn check_duplicates(
    observations: &Observations,
    requests: &HashMap<&str, &Request>,
    violations: &mut Vec<Violation>,
) {
    let mut executions: BTreeMap<(&str, u32), u32> = BTreeMap::new();
    for part in observations.parts.iter().filter(|part| part.executed) {
        *executions.entry((&part.request, part.shard)).or_default() += 1;
    }
    for ((id, shard), count) in executions {
        if count > 1 && requests.get(id).is_some_and(|request| request.non_idempotent) {
            let details = format!("part {id}.{shard} was executed {count} times");
            report(violations, ViolationKind::DuplicateExecution, details);
        }
    }
}
