//! The writing of attempts: a transport writes an attempt some time after the core has sent it, and reports it here.

use super::Core;
use crate::policy::{Idempotency, Time};
use crate::routing::attempt::AttemptId;
use crate::routing::invariants::Invariant;

impl Core {
    /// Records that the last bytes of these attempts were written at `written_at`, and checks each against the repeat
    /// window of its class.
    pub fn on_attempts_written(&mut self, written_at: Time, attempts: &[AttemptId]) {
        self.counters.written += attempts.len() as u64;
        for attempt_id in attempts {
            self.check_written(written_at, *attempt_id);
        }
    }

    /// Counts a violation if a keyed attempt was written after the repeat window, which starts when the first attempt
    /// of its part that may run is written.
    fn check_written(&mut self, written_at: Time, attempt_id: AttemptId) {
        let Some((part, query)) = self.open_queries.part_with_query(attempt_id.part) else { return };
        let Some(run) = part.possible_runs.get_mut(&attempt_id.attempt) else { return };
        run.written_at = Some(written_at);
        let worker = run.worker;
        let Some(class) = self.contracts.settings.classes.get(query.labels.class) else { return };
        let since_first = written_at.since(part.first_written_at().unwrap_or(written_at));
        if class.idempotency != Idempotency::Keyed || since_first <= class.repeat_window {
            return;
        }
        let subject = format!(
            "attempt {} of part {}.{} to worker {} was written {} ms after the part's first one, window {} ms",
            attempt_id.attempt.0,
            query.label,
            part.shard.0,
            self.workers.registry.name(worker).unwrap_or("<unknown>"),
            since_first.as_millis(),
            class.repeat_window.as_millis(),
        );
        self.report_violation(Invariant::RetriedInWindow, &subject);
    }
}
