//! Attempts: their ids, the data that a transport needs to send one, and the result that it reports.
//!
//! These are plain values that the core and a transport exchange. They hold no state of the broker.

use super::invariants::SendPermit;
use crate::policy::{AttemptNo, AttemptOutcome, LoadReport, RequestId, ShardId, Time};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Identifies one attempt of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part that the attempt belongs to.
    pub part: RequestId,
    /// Number of the attempt within its part, counted from 0.
    pub attempt: AttemptNo,
}

/// An attempt that a transport is to send to its worker.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Id under which the transport reports the attempt's completion.
    pub attempt_id: AttemptId,
    /// Label that identifies the query to workers.
    pub label: Arc<str>,
    /// Shard that answers the part.
    pub shard: ShardId,
    /// Body of the request to the worker.
    pub payload: Bytes,
    /// Whether the query's class is non-idempotent or keyed. The transport sends such an attempt on a connection of its
    /// own, so that the failure of another attempt's connection cannot leave it unknown whether this one ran.
    pub at_most_once: bool,
    /// Proof that the attempt passed the invariant checks, with its deadline.
    pub permit: SendPermit,
}

impl Dispatch {
    /// Returns the time from `now` until the attempt's deadline. The transport calls this when it writes the frame, so
    /// that time spent waiting for a connection is already subtracted.
    pub fn time_left(&self, now: Time) -> Duration {
        self.permit.deadline().since(now)
    }
}

/// Result of an attempt, as its transport reports it.
#[derive(Clone, Debug)]
pub struct AttemptCompletion {
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Value of the part if the outcome is [`AttemptOutcome::Succeeded`]; empty otherwise.
    pub value: Bytes,
    /// Load report of the worker, in the order of the settings' report fields.
    pub load_report: Option<LoadReport>,
}

impl AttemptCompletion {
    /// Creates a completion without a value or a load report.
    #[must_use]
    pub fn without_value(outcome: AttemptOutcome) -> AttemptCompletion {
        AttemptCompletion { outcome, value: Bytes::new(), load_report: None }
    }
}
