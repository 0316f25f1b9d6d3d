//! Completes queries: checks each outcome against the invariants, counts it, and queues the response. A query that has
//! ended is not open any longer, so that none is completed twice.

use super::Core;
use crate::policy::{RequestId, Time};
use crate::records::metrics::QueryEnd;
use crate::routing::command::Command;
use crate::routing::invariants::{Invariant, check_answer, check_rejection, coverage};
use crate::routing::open_queries::{OpenPart, OpenQuery};
use crate::routing::query::{QueryOutcome, Rejection};
use std::time::Duration;

/// Time past the response grace within which an outcome is not counted as late: the process may be paused for that
/// long.
const LATE_SLACK: Duration = Duration::from_millis(200);

/// How a query ends.
#[derive(Clone, Copy)]
pub(super) enum Completion {
    /// Answer the query with the values that have arrived.
    Respond { complete: bool },
    /// Reject the query; a retry by the client is harmless.
    Reject { retry_after: Option<Duration> },
    /// Fail the query, as the decision module requested.
    Fail,
    /// Fail the query, because the decision module did not complete it in time.
    FailOverdue,
}

impl Completion {
    fn into_outcome(self, parts: Vec<OpenPart>) -> QueryOutcome {
        match self {
            Completion::Respond { complete } => {
                let values = parts.into_iter().filter_map(|part| Some((part.shard, part.value?))).collect();
                QueryOutcome::Answered { complete, values }
            }
            Completion::Reject { retry_after } => {
                QueryOutcome::Rejected { reason: Rejection::Declined, retry_after }
            }
            Completion::Fail | Completion::FailOverdue => QueryOutcome::Failed,
        }
    }
}

impl Core {
    /// Ends a query with this completion. Does nothing if the query has already ended.
    pub(super) fn complete_query(&mut self, now: Time, id: RequestId, completion: Completion) {
        let Some((query, parts)) = self.close_query(now, id) else { return };
        let completion = self.enforce_invariants(now, &query, &parts, completion);
        let elapsed = now.since(query.accepted_at);
        self.record_end(query.labels, self.query_end(&query, completion, elapsed), elapsed);
        *match completion {
            Completion::Respond { complete: true } => &mut self.counters.answered_whole,
            Completion::Respond { complete: false } => &mut self.counters.answered_part,
            Completion::Reject { .. } => &mut self.counters.refused,
            Completion::Fail | Completion::FailOverdue => &mut self.counters.failed,
        } += 1;
        let outcome = completion.into_outcome(parts);
        self.pending_commands.push(Command::Respond { query: id, outcome });
    }

    /// Checks a completion against the invariants. Returns it, or the nearest completion that violates none.
    fn enforce_invariants(
        &mut self,
        now: Time,
        query: &OpenQuery,
        parts: &[OpenPart],
        completion: Completion,
    ) -> Completion {
        let latest_end = query.valid_until.after(self.contracts.settings.response_grace + LATE_SLACK);
        if now > latest_end {
            let late_ms = now.since(query.valid_until).as_millis();
            let subject = format!("query {} ended {late_ms} ms after its deadline", query.label);
            self.report_violation(Invariant::EndedInTime, &subject);
        }
        let Some(class) = self.contracts.settings.classes.get(query.labels.class) else {
            return Completion::Fail;
        };
        let check = match completion {
            Completion::Respond { complete } => check_answer(class, coverage(parts), complete),
            Completion::Reject { .. } => {
                check_rejection(class, parts.iter().any(|part| !part.possible_runs.is_empty()))
            }
            Completion::Fail | Completion::FailOverdue => Ok(()),
        };
        let Err(violated) = check else { return completion };
        self.report_violation(violated, &format!("query {}", query.label));
        match violated {
            Invariant::CompleteMarkedTruly => Completion::Respond { complete: false },
            _ => Completion::Fail,
        }
    }

    /// Returns the kind of end that a completion is counted as.
    fn query_end(&self, query: &OpenQuery, completion: Completion, elapsed: Duration) -> QueryEnd {
        match completion {
            Completion::Respond { complete: true } if self.is_late(query, elapsed) => QueryEnd::CompleteLate,
            Completion::Respond { complete: true } => QueryEnd::CompleteInTime,
            Completion::Respond { complete: false } => QueryEnd::Partial,
            Completion::Reject { .. } => QueryEnd::RejectedByPolicy,
            Completion::Fail => QueryEnd::FailedAbandoned,
            Completion::FailOverdue => QueryEnd::FailedDeadlineExceeded,
        }
    }

    /// Returns whether a query that took `elapsed` has missed the latency objective of its class.
    fn is_late(&self, query: &OpenQuery, elapsed: Duration) -> bool {
        let class = self.contracts.settings.classes.get(query.labels.class);
        class.is_some_and(|class| elapsed > class.latency_objective)
    }
}
