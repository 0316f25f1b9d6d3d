//! One attempt to have a part of a query answered: its identity, what a transport carries for it, and how it finished.
//!
//! These are plain values between the core and a transport. They hold no state of the broker and decide nothing.

use super::invariants::SendPermit;
use crate::policy::{AttemptNo, AttemptOutcome, LoadReport, RequestId, ShardId, Time};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Identifies one attempt of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// The number of the attempt within its part; the first is 0.
    pub attempt: AttemptNo,
}

/// An attempt for a transport to carry to its worker.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The transport hands it back with the attempt's completion.
    pub attempt_id: AttemptId,
    /// The query's label, which names it to the workers.
    pub label: Arc<str>,
    /// The shard that the part needs.
    pub shard: ShardId,
    /// The body of the request to the worker.
    pub payload: Bytes,
    /// The attempt may not run a second time. A transport keeps it apart from attempts whose failure could take it along.
    pub at_most_once: bool,
    /// The right to send the attempt, with its deadline.
    pub permit: SendPermit,
}

impl Dispatch {
    /// How long the attempt's response is awaited from `now` on. The transport computes it when it writes the frame, so
    /// that the time spent on waiting for a connection is already subtracted.
    pub fn time_left(&self, now: Time) -> Duration {
        self.permit.deadline().since(now)
    }

    /// Time within which the last byte of the frame has to be written; `None` where there is no such bound. A retry of
    /// a keyed part has one, because workers deduplicate by key only for a while after the first possible run.
    pub fn write_window(&self) -> Option<Duration> {
        self.permit.write_window()
    }
}

/// How an attempt finished, as its transport reports it.
#[derive(Clone, Debug)]
pub struct AttemptCompletion {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The value of the part, with [`AttemptOutcome::Succeeded`]; empty otherwise.
    pub value: Bytes,
    /// The worker's load report, in the order of the settings' report fields.
    pub load_report: Option<LoadReport>,
}

impl AttemptCompletion {
    /// A completion with neither a value nor a load report.
    #[must_use]
    pub fn without_value(outcome: AttemptOutcome) -> AttemptCompletion {
        AttemptCompletion { outcome, value: Bytes::new(), load_report: None }
    }
}
