//! Sends attempts, cancels them, and counts why they follow one another. Every attempt passes its check of the invariants
//! here; which worker it goes to is the decision module's choice.

use super::Core;
use crate::policy::*;
use crate::routing::attempt::{AttemptCompletion, AttemptId, Dispatch};
use crate::routing::command::Command;
use crate::routing::in_flight::SentAttempt;
use crate::routing::invariants::{Invariant, SendCheck, SendPermit};
use std::time::Duration;

/// The attempts that one step sends to a worker.
struct PendingCall {
    worker: WorkerId,
    parts: Vec<Dispatch>,
}

/// The attempts that one step sends, by worker.
#[derive(Default)]
pub(super) struct Calls(Vec<PendingCall>);

impl Calls {
    fn add(&mut self, worker: WorkerId, dispatch: Dispatch) {
        match self.0.iter_mut().find(|call| call.worker == worker) {
            Some(call) => call.parts.push(dispatch),
            None => self.0.push(PendingCall { worker, parts: vec![dispatch] }),
        }
    }

    /// Takes back an attempt that is cancelled in the step that sends it.
    fn remove(&mut self, attempt_id: AttemptId) {
        self.0.iter_mut().for_each(|call| call.parts.retain(|part| part.attempt_id != attempt_id));
    }

    /// Splits the attempts for each worker into calls of at most `max_parts`.
    pub(super) fn into_commands(self, max_parts: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        for PendingCall { worker, parts } in self.0 {
            let calls = parts.chunks(max_parts).map(|parts| Command::Call { worker, parts: parts.to_vec() });
            commands.extend(calls);
        }
        commands
    }
}

impl Core {
    /// Sends an attempt. Every attempt passes here; one that would break an invariant is not sent and ends as such.
    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        worker: WorkerId,
        timeout: Duration,
        calls: &mut Calls,
    ) {
        let permit = self.permit(now, id, worker, timeout);
        let Some((part, query)) = self.open_queries.part_with_query(id) else { return };
        let attempt_id = AttemptId { part: id, attempt: AttemptNo(part.attempts) };
        part.attempts += 1;
        self.counters.sent += 1;
        self.counters.resent += u64::from(attempt_id.attempt.0 > 0);
        part.possible_runs.insert(attempt_id.attempt, now);
        let (label, shard) = (query.label.clone(), part.shard);
        let permit = match permit {
            Ok(permit) => permit,
            Err(broken) => {
                return self.withhold(now, attempt_id, worker, broken, &format!("{label}.{}", shard.0));
            }
        };
        let (payload, at_most_once) = (query.payload.clone(), query.at_most_once);
        self.count_retry(attempt_id);
        self.in_flight.insert(attempt_id, SentAttempt { worker, sent_at: now, deadline: permit.deadline() });
        calls.add(worker, Dispatch { attempt_id, label, shard, payload, at_most_once, permit });
    }

    /// The right to send an attempt, or the invariant that it would break.
    fn permit(
        &mut self,
        now: Time,
        id: RequestId,
        worker: WorkerId,
        timeout: Duration,
    ) -> Result<SendPermit, Invariant> {
        let worker_accepts_work = self.workers.accepts_work(worker);
        let has_attempt_in_flight = self.in_flight.has_part(id);
        let settings = &self.contracts.settings;
        let (part, query) = self.open_queries.part_with_query(id).ok_or(Invariant::SentBeforeDeadline)?;
        let class = settings.classes.get(query.labels.class).ok_or(Invariant::SentBeforeDeadline)?;
        let check = SendCheck {
            now,
            class,
            valid_until: query.valid_until,
            worker_accepts_work,
            previous_attempts: part.attempts,
            first_possible_run: part.possible_runs.values().min().copied(),
            has_attempt_in_flight,
            may_hedge: settings.hedging_allowed,
            max_attempts: settings.max_attempts,
        };
        check.permit(timeout)
    }

    /// Ends an attempt that would break an invariant as one that was never sent.
    fn withhold(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        worker: WorkerId,
        broken: Invariant,
        part: &str,
    ) {
        let name = self.workers.registry.name(worker).unwrap_or("of no name");
        let subject = format!("attempt {} of part {part} to worker {name}", attempt_id.attempt.0);
        self.report_violation(broken, &subject);
        let sent = SentAttempt { worker, sent_at: now, deadline: now };
        let not_sent = AttemptCompletion::without_value(AttemptOutcome::NotSent);
        self.finish_attempt(now, attempt_id, &sent, not_sent);
    }

    /// Counts why an attempt follows another one.
    fn count_retry(&mut self, attempt_id: AttemptId) {
        if attempt_id.attempt.0 == 0 {
            return;
        }
        let is_hedged = self.in_flight.has_part(attempt_id.part);
        let last_outcome = self.open_queries.part(attempt_id.part).and_then(|part| part.last_outcome);
        *match last_outcome {
            _ if is_hedged => &mut self.counters.resent_hedged,
            Some(outcome) if outcome.proves_unrun() => &mut self.counters.resent_unrun,
            _ => &mut self.counters.resent_failed,
        } += 1;
    }

    pub(super) fn cancel(&mut self, now: Time, attempt_id: AttemptId, calls: &mut Calls) {
        let Some(sent) = self.in_flight.remove(attempt_id) else { return };
        calls.remove(attempt_id);
        self.pending_commands.push(Command::Cancel { worker: sent.worker, attempt_id });
        let cancelled = AttemptCompletion::without_value(AttemptOutcome::Cancelled);
        self.finish_attempt(now, attempt_id, &sent, cancelled);
    }
}
