//! What the broker took in, sent and answered, counted since its start.

use crate::policy::AttemptOutcome;
use crate::records::metrics;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start, by name.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), self.$name)),*];
                for (at, (name, count)) in all.iter().enumerate() {
                    write!(out, "{}{name}={count}", if at == 0 { "" } else { " " })?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Queries offered by the fronts.
    taken,
    /// Requests that no query could be made of.
    malformed,
    /// Queries answered whole.
    answered_whole,
    /// Queries answered in part.
    answered_part,
    /// Queries that the module refused.
    refused,
    /// Queries refused because the broker holds as many as it may.
    refused_full,
    /// Queries refused because the broker is stopping.
    refused_stopping,
    /// Queries failed.
    failed,
    /// Queries whose client left first.
    left,
    /// Attempts handed to the transport.
    sent,
    /// Attempts beyond a part's first, of these.
    resent,
    /// Of these, attempts beside one that is out.
    resent_hedged,
    /// Attempts after one that never ran: turned away, no connection, never sent.
    resent_unrun,
    /// Attempts after one that failed and may have run.
    resent_failed,
    /// Attempts of which the last byte was written.
    written,
    /// Attempts that ended with a value.
    ended_done,
    /// Attempts that ended with an error.
    ended_error,
    /// Attempts turned away unseen.
    ended_busy,
    /// Attempts without an answer in time.
    ended_timed_out,
    /// Attempts that found no connection.
    ended_refused,
    /// Attempts whose connection broke.
    ended_reset,
    /// Attempts called off.
    ended_cancelled,
    /// Attempts that were never sent.
    ended_skipped,
    /// Lists and changes that discovery told.
    listings,
}

/// The queries of one class: all that came, and how they ended. What is in none of the ends is open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// Queries offered, and those refused before they could be.
    pub received: u64,
    /// Answered, whole or in part.
    pub succeeded: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub client_left: u64,
}

impl QueryCounts {
    /// Those that have not ended.
    pub fn open(&self) -> u64 {
        self.received - self.succeeded - self.rejected - self.failed - self.client_left
    }
}

/// The queries of all classes, in the order of the contracts. A class that is in none of them counts nowhere.
pub(super) struct ClassEnds(Vec<QueryCounts>);

impl ClassEnds {
    /// Nothing yet, for so many classes.
    pub fn new(classes: usize) -> ClassEnds {
        ClassEnds(vec![QueryCounts::default(); classes])
    }

    /// All classes.
    pub fn all(&self) -> &[QueryCounts] {
        &self.0
    }

    /// A query of this class came.
    pub fn came(&mut self, class: usize) {
        if let Some(ends) = self.0.get_mut(class) {
            ends.received += 1;
        }
    }

    /// A query of this class ended. Every end of a query passes here, once.
    pub fn ended(&mut self, class: usize, end: metrics::QueryEnd) {
        use metrics::QueryEnd;
        let Some(ends) = self.0.get_mut(class) else { return };
        *match end {
            QueryEnd::CompleteInTime | QueryEnd::CompleteLate | QueryEnd::Partial => &mut ends.succeeded,
            QueryEnd::RejectedByPolicy | QueryEnd::RejectedAtCapacity | QueryEnd::RejectedShuttingDown => {
                &mut ends.rejected
            }
            QueryEnd::FailedAbandoned | QueryEnd::FailedDeadlineExceeded => &mut ends.failed,
            QueryEnd::ClientDisconnected => &mut ends.client_left,
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
    /// Counts the end of an attempt.
    pub fn ended(&mut self, outcome: AttemptOutcome) {
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
