//! The writing of attempts. A transport writes an attempt some time after the core has sent it, so the core checks each
//! attempt again when its write begins, and has it taken back once it may not be written any more.

use super::Core;
use crate::policy::{Idempotency, RequestId, Time};
use crate::routing::attempt::AttemptId;
use crate::routing::command::Command;
use crate::routing::invariants::{Invariant, WriteCheck, WritePermit};

/// Why an attempt may not be written. The transport drops it and reports it as
/// [`crate::policy::AttemptOutcome::NotSent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRefused {
    /// Nobody waits for the attempt any longer.
    NotNeeded,
    /// The repeat window of its part has ended.
    WindowEnded,
}

/// A write that may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BegunWrite {
    /// Permit to write the attempt.
    pub permit: WritePermit,
    /// Whether the write sets a deadline for an attempt that waits, so that the next step may be due earlier.
    pub sets_deadline: bool,
}

impl Core {
    /// Begins to write an attempt, or goes on with it: a transport calls this directly before each try to write.
    ///
    /// # Errors
    /// The attempt may not be written, now or later.
    pub fn begin_write(&mut self, now: Time, attempt_id: AttemptId) -> Result<BegunWrite, WriteRefused> {
        if !self.in_flight.contains(attempt_id) {
            return Err(WriteRefused::NotNeeded);
        }
        let AttemptId { part, attempt } = attempt_id;
        let (part, query) = self.open_queries.part_with_query(part).ok_or(WriteRefused::NotNeeded)?;
        let class = self.contracts.settings.classes.get(query.labels.class).ok_or(WriteRefused::NotNeeded)?;
        let check = WriteCheck { now, class, first_other_write_at: part.first_other_write_at(attempt) };
        let permit = check.permit().map_err(|_| WriteRefused::WindowEnded)?;
        let run = part.possible_runs.get_mut(&attempt).ok_or(WriteRefused::NotNeeded)?;
        if run.write_began_at.is_some() {
            return Ok(BegunWrite { permit, sets_deadline: false });
        }
        run.write_began_at = Some(now);
        Ok(BegunWrite { permit, sets_deadline: self.limit_writes(now, attempt_id.part) })
    }

    /// Sets the times until which the attempts of a part may be written. They change when a write begins, and when an
    /// attempt is sent or is proven not to have run. Returns whether an attempt that waits has such a time.
    pub(super) fn limit_writes(&mut self, now: Time, part_id: RequestId) -> bool {
        let Some((part, query)) = self.open_queries.part_with_query(part_id) else { return false };
        let Some(class) = self.contracts.settings.classes.get(query.labels.class) else { return false };
        self.in_flight.limit_writes_of_part(part_id, |attempt| {
            let first_other_write_at = part.first_other_write_at(attempt);
            WriteCheck { now, class, first_other_write_at }.deadline()
        })
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
            self.in_flight.mark_written(*attempt_id);
            self.check_written(written_at, *attempt_id);
        }
    }

    /// Counts a violation if a keyed attempt was written without a permit, or after the repeat window, which starts when
    /// the first write of another attempt of its part begins.
    fn check_written(&mut self, written_at: Time, attempt_id: AttemptId) {
        let Some((part, query)) = self.open_queries.part_with_query(attempt_id.part) else { return };
        let first_other_write_at = part.first_other_write_at(attempt_id.attempt);
        let Some(run) = part.possible_runs.get(&attempt_id.attempt) else { return };
        let Some(class) = self.contracts.settings.classes.get(query.labels.class) else { return };
        let since_first = first_other_write_at.map(|at| written_at.since(at)).unwrap_or_default();
        let is_permitted = run.write_began_at.is_some() && since_first <= class.repeat_window;
        if class.idempotency != Idempotency::Keyed || is_permitted {
            return;
        }
        let subject = format!(
            "attempt {} of part {}.{} to worker {} was written {} ms after another one, window {} ms",
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
