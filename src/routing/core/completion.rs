//! Completes queries: every outcome passes its check of the invariants and is counted here, once for each query.

use super::Core;
use crate::policy::*;
use crate::records::metrics::QueryEnd;
use crate::routing::command::Command;
use crate::routing::invariants::{Invariant, check_answer, check_rejection, coverage};
use crate::routing::open_queries::{OpenPart, OpenQuery};
use crate::routing::query::{QueryOutcome, Rejection};
use std::time::Duration;

/// How much later than the response grace an answer may be given: the time for which a process may be held up.
const LATE_SLACK: Duration = Duration::from_millis(200);

/// How a query ends.
#[derive(Clone, Copy)]
pub(super) enum Completion {
    Respond {
        complete: bool,
    },
    Reject {
        retry_after: Option<Duration>,
    },
    Fail,
    /// The decision module had not completed the query in time.
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
    /// Gives a query its one final outcome; does nothing if it has ended before.
    pub(super) fn complete_query(&mut self, now: Time, id: RequestId, completion: Completion) {
        let Some((query, parts)) = self.close(id) else { return };
        let completion = self.enforce_invariants(now, &query, &parts, completion);
        let elapsed = now.since(query.accepted_at);
        self.record_end(query.labels, self.end_of(&query, completion, elapsed), elapsed);
        *match completion {
            Completion::Respond { complete: true } => &mut self.counters.answered_whole,
            Completion::Respond { complete: false } => &mut self.counters.answered_part,
            Completion::Reject { .. } => &mut self.counters.refused,
            Completion::Fail | Completion::FailOverdue => &mut self.counters.failed,
        } += 1;
        let outcome = completion.into_outcome(parts);
        self.pending_commands.push(Command::Respond { query: id, outcome });
    }

    /// The one guard on completing a query: returns the completion, or the nearest one that breaks no invariant.
    fn enforce_invariants(
        &mut self,
        now: Time,
        query: &OpenQuery,
        parts: &[OpenPart],
        completion: Completion,
    ) -> Completion {
        let latest = query.valid_until.after(self.contracts.settings.response_grace + LATE_SLACK);
        if now > latest {
            let late_ms = now.since(query.valid_until).as_millis();
            let subject = format!("query {} ends {late_ms} ms late", query.label);
            self.report_violation(Invariant::EndedInTime, &subject);
        }
        let Some(class) = self.contracts.settings.classes.get(query.labels.class) else {
            return Completion::Fail;
        };
        let checked = match completion {
            Completion::Respond { complete } => check_answer(class, coverage(parts), complete),
            Completion::Reject { .. } => {
                check_rejection(class, parts.iter().any(|part| !part.possible_runs.is_empty()))
            }
            Completion::Fail | Completion::FailOverdue => Ok(()),
        };
        let Err(broken) = checked else { return completion };
        self.report_violation(broken, &format!("query {}", query.label));
        match broken {
            Invariant::CompleteMarkedTruly => Completion::Respond { complete: false },
            _ => Completion::Fail,
        }
    }

    /// The end under which a completion is counted.
    fn end_of(&self, query: &OpenQuery, completion: Completion, elapsed: Duration) -> QueryEnd {
        match completion {
            Completion::Respond { complete: true } if self.is_late(query, elapsed) => QueryEnd::CompleteLate,
            Completion::Respond { complete: true } => QueryEnd::CompleteInTime,
            Completion::Respond { complete: false } => QueryEnd::Partial,
            Completion::Reject { .. } => QueryEnd::RejectedByPolicy,
            Completion::Fail => QueryEnd::FailedAbandoned,
            Completion::FailOverdue => QueryEnd::FailedDeadlineExceeded,
        }
    }

    /// Whether a query that took this long has missed the latency objective of its class.
    fn is_late(&self, query: &OpenQuery, elapsed: Duration) -> bool {
        let class = self.contracts.settings.classes.get(query.labels.class);
        class.is_some_and(|class| elapsed > class.latency_objective)
    }
}
