//! Counts what the broker received, sent and answered since its start. They only ever grow; nothing is decided by them.

use crate::policy::AttemptOutcome;
use crate::records::metrics;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start. The fields are named as the metrics of `GET /_counters`, whose names stay.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), self.$name)),*];
                for (index, (name, count)) in all.iter().enumerate() {
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
    /// Queries rejected because as many as may be were open.
    refused_full,
    /// Queries rejected because the process was stopping.
    refused_stopping,
    /// Queries that failed.
    failed,
    /// Queries whose client disconnected before the outcome.
    left,
    /// Attempts handed to the transport.
    sent,
    /// Of these, retries and hedged requests: attempts beyond a part's first.
    resent,
    /// Of these, attempts while another one was in flight.
    resent_hedged,
    /// Of these, attempts after one that proved not to have run: rejected, without a connection, or never sent.
    resent_unrun,
    /// Of these, attempts after one that failed and may have run.
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
    /// Lists and changes that discovery sent.
    listings,
}

/// The queries of one class by their end. A query that is counted in none of the ends is open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// Queries that were submitted, and those that were rejected before they could be.
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
    /// Queries that have not ended.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.received - self.succeeded - self.rejected - self.failed - self.client_disconnected
    }
}

/// The queries of all classes, in the order of the contracts. A class that has no contract is not counted.
pub(super) struct ClassCounts(Vec<QueryCounts>);

impl ClassCounts {
    /// Counts of zero for this many classes.
    pub fn new(classes: usize) -> ClassCounts {
        ClassCounts(vec![QueryCounts::default(); classes])
    }

    /// All classes.
    pub fn all(&self) -> &[QueryCounts] {
        &self.0
    }

    /// A query of this class was received.
    pub fn record_received(&mut self, class: usize) {
        if let Some(ends) = self.0.get_mut(class) {
            ends.received += 1;
        }
    }

    /// A query of this class ended. Every query that ends is counted here exactly once.
    pub fn record_end(&mut self, class: usize, end: metrics::QueryEnd) {
        use metrics::QueryEnd;
        let Some(ends) = self.0.get_mut(class) else { return };
        *match end {
            QueryEnd::CompleteInTime | QueryEnd::CompleteLate | QueryEnd::Partial => &mut ends.succeeded,
            QueryEnd::RejectedByPolicy | QueryEnd::RejectedAtCapacity | QueryEnd::RejectedShuttingDown => {
                &mut ends.rejected
            }
            QueryEnd::FailedAbandoned | QueryEnd::FailedDeadlineExceeded => &mut ends.failed,
            QueryEnd::ClientDisconnected => &mut ends.client_disconnected,
        } += 1;
    }
}

/// The name of an outcome in the records.
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
    /// Counts an attempt that finished.
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
