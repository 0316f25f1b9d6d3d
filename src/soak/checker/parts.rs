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
    /// Whether a part came when its worker could not read it at once.
    fn covers(&self, part: &Part) -> bool {
        let unreliable = self.paused_at..self.resumed_at + WORKER_RESUME_US;
        self.worker == part.worker && unreliable.contains(&part.received_at)
    }
}

/// A part that came to a worker, with what its checks need.
struct ReceivedPart<'a> {
    part: &'a Part,
    request: &'a Request,
    /// The gatherer that sent it, if its process is known.
    gatherer: Option<usize>,
    /// How much later than its gatherer sent it it may have been measured.
    slack_us: u64,
}

/// Whether parts came while they were still to be sent, with a deadline that their clients allow.
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
        let received = ReceivedPart {
            part,
            request,
            gatherer: process.map(|process| process.gatherer),
            slack_us: observations.observer_lag_us + paused_us,
        };
        received.check_deadline(violations);
        received.check_disconnect(violations);
        received.check_drain(observations, violations);
    }
}

impl ReceivedPart<'_> {
    fn describe(&self) -> String {
        format!("part {}.{} at {}", self.part.request, self.part.shard, self.part.worker)
    }

    /// Whether the worker was given no more time than the client had left.
    fn check_deadline(&self, violations: &mut Vec<Violation>) {
        let deadline = self.request.sent_at + self.request.budget_us;
        let client_us = deadline.saturating_sub(self.part.received_at);
        let worker_us = self.part.time_left_us;
        if worker_us > client_us + DEADLINE_SLACK_US + self.slack_us {
            let details =
                format!("{}: given {} ms, left {} ms", self.describe(), ms(worker_us), ms(client_us));
            report(violations, ViolationKind::DeadlineExtended, details);
        }
    }

    /// Whether the client was still connected.
    fn check_disconnect(&self, violations: &mut Vec<Violation>) {
        let (received_at, ended_at) = (self.part.received_at, self.request.ended_at);
        if self.request.outcome == RequestOutcome::ClientDisconnected
            && received_at > ended_at + DISCONNECT_SLACK_US + self.slack_us
        {
            let after_ms = ms(received_at - ended_at);
            let details = format!("{}: {after_ms} ms after its client disconnected", self.describe());
            report(violations, ViolationKind::SentAfterDisconnect, details);
        }
    }

    /// Whether the worker was still listed, or its drain had been announced only just.
    fn check_drain(&self, observations: &Observations, violations: &mut Vec<Violation>) {
        let received_at = self.part.received_at;
        let grace_us = observations.drain_grace_us + self.slack_us;
        let removal = observations.removals.iter().find(|removal| {
            Some(removal.gatherer) == self.gatherer
                && removal.worker == self.part.worker
                && received_at > removal.effective_at + grace_us
                && received_at < removal.relisted_at
        });
        if let Some(removal) = removal {
            let after_ms = ms(received_at - removal.effective_at);
            let details = format!("{}: {after_ms} ms after its drain was announced", self.describe());
            report(violations, ViolationKind::SentToDrainedWorker, details);
        }
    }
}

/// Whether parts of non-idempotent requests were executed once.
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
