//! The writing of attempts. A transport writes an attempt some time after the core has sent it, so the core checks each
//! attempt again when its write begins, and has it taken back once it may not be written any more.

use super::Core;
use crate::policy::{Idempotency, RequestId, Time};
use crate::routing::attempt::AttemptId;
use crate::routing::command::Command;
use crate::routing::invariants::{Invariant, WriteCheck, WritePermit};

/// An attempt may not be written: nobody waits for it any longer, or the repeat window of its part has ended. The
/// transport drops it and reports it as [`crate::policy::AttemptOutcome::NotSent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteRefused;

impl Core {
    /// Begins to write an attempt: a transport calls this directly before the first byte, and again before each further
    /// try until a byte is accepted.
    ///
    /// # Errors
    /// The attempt may not be written, now or later.
    pub fn begin_write(&mut self, now: Time, attempt_id: AttemptId) -> Result<WritePermit, WriteRefused> {
        if !self.in_flight.contains(attempt_id) {
            return Err(WriteRefused);
        }
        let (part, query) = self.open_queries.part_with_query(attempt_id.part).ok_or(WriteRefused)?;
        let class = self.contracts.settings.classes.get(query.labels.class).ok_or(WriteRefused)?;
        let check = WriteCheck { now, class, first_write_at: part.first_write_at() };
        let permit = check.permit().map_err(|_| WriteRefused)?;
        let run = part.possible_runs.get_mut(&attempt_id.attempt).ok_or(WriteRefused)?;
        run.write_began_at.get_or_insert(now);
        self.limit_writes(attempt_id.part);
        Ok(permit)
    }

    /// Sets the time until which the attempts of a keyed part may be written, once a write of the part has begun.
    pub(super) fn limit_writes(&mut self, part_id: RequestId) {
        let Some((part, query)) = self.open_queries.part_with_query(part_id) else { return };
        let Some(class) = self.contracts.settings.classes.get(query.labels.class) else { return };
        if let Some(first_write_at) = part.first_write_at()
            && class.idempotency == Idempotency::Keyed
        {
            self.in_flight.limit_writes_of_part(part_id, first_write_at.after(class.repeat_window));
        }
    }

    /// Has the transport take back the attempts that wait past the repeat window of their part, so that the decision
    /// module does not wait for them.
    pub(super) fn withdraw_overdue_writes(&mut self, now: Time) {
        for (attempt_id, worker) in self.in_flight.withdraw_overdue(now) {
            self.pending_commands.push(Command::CancelIfUnsent { worker, attempt_id });
        }
    }

    /// Records that the last bytes of these attempts were written at `written_at`, and checks each against the repeat
    /// window of its class.
    pub fn on_attempts_written(&mut self, written_at: Time, attempts: &[AttemptId]) {
        self.counters.written += attempts.len() as u64;
        for attempt_id in attempts {
            self.in_flight.clear_write_deadline(*attempt_id);
            self.check_written(written_at, *attempt_id);
        }
    }

    /// Counts a violation if a keyed attempt was written without a permit, or after the repeat window, which starts when
    /// the first write of an attempt of its part begins.
    fn check_written(&mut self, written_at: Time, attempt_id: AttemptId) {
        let Some((part, query)) = self.open_queries.part_with_query(attempt_id.part) else { return };
        let first_write_at = part.first_write_at();
        let Some(run) = part.possible_runs.get(&attempt_id.attempt) else { return };
        let Some(class) = self.contracts.settings.classes.get(query.labels.class) else { return };
        let since_first = written_at.since(first_write_at.unwrap_or(written_at));
        let is_permitted = run.write_began_at.is_some() && since_first <= class.repeat_window;
        if class.idempotency != Idempotency::Keyed || is_permitted {
            return;
        }
        let subject = format!(
            "attempt {} of part {}.{} to worker {} was written {} ms after the part's first one, window {} ms",
            attempt_id.attempt.0,
            query.label,
            part.shard.0,
            self.workers.registry.name(run.worker).unwrap_or("<unknown>"),
            since_first.as_millis(),
            class.repeat_window.as_millis(),
        );
        self.report_violation(Invariant::RetriedInWindow, &subject);
    }
}
