//! Sends and cancels attempts, and counts retries by their cause. Every attempt is checked against the invariants
//! before it is sent; the decision module chooses its worker.

use super::Core;
use crate::policy::{AttemptNo, AttemptOutcome, RequestId, Time, WorkerId};
use crate::routing::attempt::{AttemptCompletion, AttemptId, Dispatch};
use crate::routing::command::Command;
use crate::routing::in_flight::SentAttempt;
use crate::routing::invariants::{Invariant, SendCheck, SendPermit};
use crate::routing::open_queries::PossibleRun;
use std::time::Duration;

/// Attempts that one step sends to one worker.
struct PendingCall {
    worker: WorkerId,
    parts: Vec<Dispatch>,
}

/// Attempts that one step sends, grouped by worker in the order of their first attempts.
#[derive(Default)]
pub(super) struct PendingCalls(Vec<PendingCall>);

impl PendingCalls {
    fn add(&mut self, worker: WorkerId, dispatch: Dispatch) {
        match self.0.iter_mut().find(|call| call.worker == worker) {
            Some(call) => call.parts.push(dispatch),
            None => self.0.push(PendingCall { worker, parts: vec![dispatch] }),
        }
    }

    /// Removes an attempt that is cancelled in the same step that sends it.
    fn remove(&mut self, attempt_id: AttemptId) {
        self.0.iter_mut().for_each(|call| call.parts.retain(|part| part.attempt_id != attempt_id));
    }

    /// Returns the commands for the calls, each with at most `max_parts` attempts.
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
    /// Sends the next attempt of a part. An attempt that would violate an invariant is not sent and finishes as
    /// [`AttemptOutcome::NotSent`].
    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        worker: WorkerId,
        timeout: Duration,
        calls: &mut PendingCalls,
    ) {
        let permit = self.send_permit(now, id, worker, timeout);
        let Some((part, query)) = self.open_queries.part_with_query(id) else { return };
        let attempt_id = AttemptId { part: id, attempt: AttemptNo(part.attempts) };
        part.attempts += 1;
        self.counters.sent += 1;
        self.counters.resent += u64::from(attempt_id.attempt.0 > 0);
        let run = PossibleRun { worker, sent_at: now, write_began_at: None };
        part.possible_runs.insert(attempt_id.attempt, run);
        let (label, shard) = (query.label.clone(), part.shard);
        let permit = match permit {
            Ok(permit) => permit,
            Err(violated) => {
                return self.finish_unsent(
                    now,
                    attempt_id,
                    worker,
                    violated,
                    &format!("{label}.{}", shard.0),
                );
            }
        };
        let (payload, at_most_once) = (query.payload.clone(), query.at_most_once);
        self.count_retry(attempt_id);
        self.in_flight.insert(attempt_id, SentAttempt::new(worker, now, permit.deadline()));
        self.limit_writes(now, id);
        calls.add(worker, Dispatch { attempt_id, label, shard, payload, at_most_once, permit });
    }

    /// Returns the permit to send the next attempt of a part, or the invariant that the attempt would violate.
    fn send_permit(
        &mut self,
        now: Time,
        id: RequestId,
        worker: WorkerId,
        timeout: Duration,
    ) -> Result<SendPermit, Invariant> {
        let worker_accepts_work = self.workers.accepts_work(worker);
        let has_attempt_in_flight = self.in_flight.has_attempt_of_part(id);
        let settings = &self.contracts.settings;
        let (part, query) = self.open_queries.part_with_query(id).ok_or(Invariant::SentBeforeDeadline)?;
        let class = settings.classes.get(query.labels.class).ok_or(Invariant::SentBeforeDeadline)?;
        let check = SendCheck {
            now,
            class,
            valid_until: query.valid_until,
            worker_accepts_work,
            previous_attempts: part.attempts,
            first_possible_run: part.first_sent_at(),
            has_attempt_in_flight,
            may_hedge: settings.hedging_allowed,
            max_attempts: settings.max_attempts,
        };
        check.permit(timeout)
    }

    /// Reports the violation that an attempt would cause, and finishes the attempt as not sent.
    fn finish_unsent(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        worker: WorkerId,
        violated: Invariant,
        part_name: &str,
    ) {
        let name = self.workers.registry.name(worker).unwrap_or("<unknown>");
        let subject = format!("attempt {} of part {part_name} to worker {name}", attempt_id.attempt.0);
        self.report_violation(violated, &subject);
        let sent = SentAttempt::new(worker, now, now);
        let not_sent = AttemptCompletion::without_value(AttemptOutcome::NotSent);
        self.finish_attempt(now, attempt_id, &sent, not_sent);
    }

    /// Counts a retry or hedged attempt by its cause; does nothing for the first attempt of a part.
    fn count_retry(&mut self, attempt_id: AttemptId) {
        if attempt_id.attempt.0 == 0 {
            return;
        }
        let is_hedged = self.in_flight.has_attempt_of_part(attempt_id.part);
        let last_outcome = self.open_queries.part(attempt_id.part).and_then(|part| part.last_outcome);
        *match last_outcome {
            _ if is_hedged => &mut self.counters.resent_hedged,
            Some(outcome) if outcome.proves_unrun() => &mut self.counters.resent_unrun,
            _ => &mut self.counters.resent_failed,
        } += 1;
    }

    /// Cancels an attempt. Does nothing if the attempt has already finished.
    pub(super) fn cancel(&mut self, now: Time, attempt_id: AttemptId, calls: &mut PendingCalls) {
        let Some(sent) = self.in_flight.remove(attempt_id) else { return };
        calls.remove(attempt_id);
        self.pending_commands.push(Command::Cancel { worker: sent.worker, attempt_id });
        let cancelled = AttemptCompletion::without_value(AttemptOutcome::Cancelled);
        self.finish_attempt(now, attempt_id, &sent, cancelled);
    }
}
