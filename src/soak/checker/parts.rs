//! The invariants of parts, as workers receive them: deadlines, disconnected clients, drained workers and
//! duplicate execution.

use super::observations::{Observations, Part, Repeats, Request, RequestOutcome, WorkerPause};
use super::violation::{Violation, ViolationKind, ms, report};
use std::collections::{BTreeMap, HashMap};

/// Tolerance for the time that a worker is given beyond the time that its client has left.
const DEADLINE_SLACK_US: u64 = 150_000;
/// Tolerance for an attempt that comes after its client has closed its connection.
const DISCONNECT_SLACK_US: u64 = 100_000;
/// Tolerance for a repeat of a keyed part that comes after its window.
const WINDOW_SLACK_US: u64 = 50_000;
/// Time after a worker resumes within which it may still read frames that arrived during its pause.
const WORKER_RESUME_US: u64 = 50_000;

impl WorkerPause {
    /// Whether the time at which a part was received is unreliable, because its frame may have arrived while
    /// the worker was paused.
    fn covers(&self, part: &Part) -> bool {
        let unreliable = self.paused_at..self.resumed_at + WORKER_RESUME_US;
        self.worker == part.worker && unreliable.contains(&part.received_at)
    }
}

/// A part that a worker received, with its request and the tolerance of its time.
struct ReceivedPart<'a> {
    part: &'a Part,
    request: &'a Request,
    /// Number of the gatherer that sent the part, if its process is known.
    gatherer: Option<usize>,
    /// Longest delay between the sending of the part and the recorded time, by pauses of the gatherer's
    /// process and of the observer.
    slack_us: u64,
}

/// Checks that each part was sent within its client's deadline, while the client was connected, and to a
/// worker that was not drained.
pub fn check_parts(
    observations: &Observations,
    requests: &HashMap<&str, &Request>,
    violations: &mut Vec<Violation>,
) {
    for part in &observations.parts {
        let Some(request) = requests.get(part.request.as_str()) else { continue };
        // The worker was paused, so the time of the frame's arrival is unknown.
        if observations.worker_pauses.iter().any(|pause| pause.covers(part)) {
            continue;
        }
        let process = observations.processes.get(request.process);
        let received = ReceivedPart {
            part,
            request,
            gatherer: process.map(|process| process.gatherer),
            slack_us: observations.time_slack_us(request),
        };
        received.check_deadline(violations);
        received.check_disconnect(violations);
        received.check_drain(observations, violations);
    }
}

impl ReceivedPart<'_> {
    /// Names the part, as `REQUEST.SHARD`, and its worker.
    fn describe(&self) -> String {
        format!("part {}.{} at {}", self.part.request, self.part.shard, self.part.worker)
    }

    /// Checks that the worker was given no more time than the client had left.
    fn check_deadline(&self, violations: &mut Vec<Violation>) {
        let deadline = self.request.sent_at + self.request.budget_us;
        let client_us = deadline.saturating_sub(self.part.received_at);
        let worker_us = self.part.time_left_us;
        if worker_us > client_us + DEADLINE_SLACK_US + self.slack_us {
            let (about, worker_ms, client_ms) = (self.describe(), ms(worker_us), ms(client_us));
            let details = format!("{about}: worker was given {worker_ms} ms, client had {client_ms} ms left");
            report(violations, ViolationKind::DeadlineExtended, details);
        }
    }

    /// Checks that the client had not disconnected.
    fn check_disconnect(&self, violations: &mut Vec<Violation>) {
        let (received_at, ended_at) = (self.part.received_at, self.request.ended_at);
        if self.request.outcome == RequestOutcome::ClientDisconnected
            && received_at > ended_at + DISCONNECT_SLACK_US + self.slack_us
        {
            let after_ms = ms(received_at - ended_at);
            let (about, open_ms) = (self.describe(), ms(ended_at - self.request.sent_at));
            let details = format!(
                "{about}: received {after_ms} ms after its client disconnected, which it did after {open_ms} ms; \
                 worker was given {} ms",
                ms(self.part.time_left_us)
            );
            report(violations, ViolationKind::SentAfterDisconnect, details);
        }
    }

    /// Checks that the worker was listed, or that the grace period since its drain or removal was announced
    /// had not passed.
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
            let about = self.describe();
            let details =
                format!("{about}: received {after_ms} ms after the worker's drain or removal took effect");
            report(violations, ViolationKind::SentToDrainedWorker, details);
        }
    }
}

/// Checks that no part of a non-idempotent request was executed more than once, and none of a keyed request after its
/// repeat window.
pub fn check_duplicates(
    observations: &Observations,
    requests: &HashMap<&str, &Request>,
    violations: &mut Vec<Violation>,
) {
    let mut executions: BTreeMap<(&str, u32), Vec<&Part>> = BTreeMap::new();
    for part in observations.parts.iter().filter(|part| part.executed) {
        executions.entry((&part.request, part.shard)).or_default().push(part);
    }
    for ((id, shard), parts) in executions {
        let Some(request) = requests.get(id) else { continue };
        match request.repeats {
            Repeats::Allowed => {}
            Repeats::Forbidden if parts.len() > 1 => {
                let details = format!("part {id}.{shard} was executed {} times", parts.len());
                report(violations, ViolationKind::DuplicateExecution, details);
            }
            Repeats::Forbidden => {}
            Repeats::AllowedFor { window_us } => {
                let limit_us = window_us + WINDOW_SLACK_US + observations.time_slack_us(request);
                let since_first_us = last_repeat_after_us(observations, &parts);
                if since_first_us > limit_us {
                    let (after, window) = (ms(since_first_us), ms(window_us));
                    let details =
                        format!("part {id}.{shard} was executed again after {after} ms, window {window} ms");
                    report(violations, ViolationKind::DuplicateExecution, details);
                }
            }
        }
    }
}

/// Returns the time from the first to the last arrival of a part, in microseconds. Arrivals at paused workers are left
/// out, because their times are unknown.
fn last_repeat_after_us(observations: &Observations, parts: &[&Part]) -> u64 {
    let is_known = |part: &&&Part| !observations.worker_pauses.iter().any(|pause| pause.covers(part));
    let times: Vec<u64> = parts.iter().filter(is_known).map(|part| part.received_at).collect();
    times.iter().max().zip(times.iter().min()).map_or(0, |(last, first)| last - first)
}
