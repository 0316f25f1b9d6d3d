//! Counters of queries and attempts since the start. They never decrease, and no decision depends on them.

use crate::policy::AttemptOutcome;
use crate::records::metrics;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the start. Their field names are the outer names in `GET /_counters` and must not change.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                let counters = [$((stringify!($name), self.$name)),*];
                for (index, (name, count)) in counters.iter().enumerate() {
                    write!(out, "{}{name}={count}", if index == 0 { "" } else { " " })?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Queries that the fronts submitted.
    taken,
    /// Requests that could not be parsed as a query.
    malformed,
    /// Queries with a complete answer.
    answered_whole,
    /// Queries with a partial answer.
    answered_part,
    /// Queries that the decision module rejected.
    refused,
    /// Queries rejected because the limit of open queries and parts was reached.
    refused_full,
    /// Queries rejected because the process was shutting down.
    refused_stopping,
    /// Queries that failed.
    failed,
    /// Queries whose client disconnected before the outcome.
    left,
    /// Attempts handed to the transport.
    sent,
    /// Retries and hedged attempts among `sent`: all attempts except the first of each part.
    resent,
    /// Hedged attempts among `resent`: another attempt of the part was in flight.
    resent_hedged,
    /// Retries among `resent` after an attempt that certainly did not run: rejected, not connected, or never sent.
    resent_unrun,
    /// Other retries among `resent`: the previous attempt failed and may have run.
    resent_failed,
    /// Attempts whose last byte was written.
    written,
    /// Attempts that succeeded.
    ended_done,
    /// Attempts that failed with an error of the worker.
    ended_error,
    /// Attempts that the worker rejected without running them.
    ended_busy,
    /// Attempts without a response before their deadline.
    ended_timed_out,
    /// Attempts for which no connection could be established.
    ended_refused,
    /// Attempts whose connection was reset.
    ended_reset,
    /// Attempts that were cancelled.
    ended_cancelled,
    /// Attempts that were never sent.
    ended_skipped,
    /// Endpoint lists and changes that were applied, cached ones included.
    listings,
    /// Attempts among `ended_skipped` that waited for a connection until the repeat window of their part had ended.
    unsent_past_window,
}

/// Numbers of queries of one class, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// Queries that were received, including those rejected before submission.
    pub received: u64,
    /// Queries with a complete or partial answer.
    pub succeeded: u64,
    /// Queries that were rejected.
    pub rejected: u64,
    /// Queries that failed.
    pub failed: u64,
    /// Queries whose client disconnected before the outcome.
    pub client_disconnected: u64,
}

impl QueryCounts {
    /// Returns the number of queries that have not ended.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.received - self.succeeded - self.rejected - self.failed - self.client_disconnected
    }
}

/// Query counts of all classes, in the order of the contracts. Queries of unknown classes are not counted.
pub(super) struct ClassCounts(Vec<QueryCounts>);

impl ClassCounts {
    /// Creates counts of zero for this many classes.
    pub fn new(classes: usize) -> ClassCounts {
        ClassCounts(vec![QueryCounts::default(); classes])
    }

    /// Returns the counts of all classes.
    pub fn all(&self) -> &[QueryCounts] {
        &self.0
    }

    /// Counts a received query.
    pub fn record_received(&mut self, class: usize) {
        if let Some(counts) = self.0.get_mut(class) {
            counts.received += 1;
        }
    }

    /// Counts the end of a query. Called exactly once for each query that ends.
    pub fn record_end(&mut self, class: usize, end: metrics::QueryEnd) {
        use metrics::QueryEnd;
        let Some(counts) = self.0.get_mut(class) else { return };
        *match end {
            QueryEnd::CompleteInTime | QueryEnd::CompleteLate | QueryEnd::Partial => &mut counts.succeeded,
            QueryEnd::RejectedByPolicy | QueryEnd::RejectedAtCapacity | QueryEnd::RejectedShuttingDown => {
                &mut counts.rejected
            }
            QueryEnd::FailedAbandoned | QueryEnd::FailedDeadlineExceeded => &mut counts.failed,
            QueryEnd::ClientDisconnected => &mut counts.client_disconnected,
        } += 1;
    }
}

/// Returns the name of an outcome in the records. These names are stored and must not change.
pub(super) fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Succeeded => metrics::ATTEMPT_DONE,
        AttemptOutcome::Failed => "error",
        AttemptOutcome::Rejected => "busy",
        AttemptOutcome::TimedOut => "timed_out",
        AttemptOutcome::ConnectFailed => "refused",
        AttemptOutcome::ConnectionReset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "skipped",
    }
}

impl Counters {
    /// Counts a finished attempt by its outcome.
    pub fn record_attempt(&mut self, outcome: AttemptOutcome) {
        *match outcome {
            AttemptOutcome::Succeeded => &mut self.ended_done,
            AttemptOutcome::Failed => &mut self.ended_error,
            AttemptOutcome::Rejected => &mut self.ended_busy,
            AttemptOutcome::TimedOut => &mut self.ended_timed_out,
            AttemptOutcome::ConnectFailed => &mut self.ended_refused,
            AttemptOutcome::ConnectionReset => &mut self.ended_reset,
            AttemptOutcome::Cancelled => &mut self.ended_cancelled,
            AttemptOutcome::NotSent => &mut self.ended_skipped,
        } += 1;
    }
}
