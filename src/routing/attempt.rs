//! An attempt to have one part of a query answered: its name, what a transport carries, and how it ended. Plain values,
//! which hold no state of the broker.

use super::invariants::SendPermit;
use crate::policy::*;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Names one attempt of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
}

/// An attempt for a transport to carry.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Comes back with its end.
    pub attempt_id: AttemptId,
    /// The query's label.
    pub label: Arc<str>,
    /// The shard.
    pub shard: ShardId,
    /// What it carries.
    pub payload: Bytes,
    /// It may not run a second time: what spoils the answers of others is not to spoil its own.
    pub at_most_once: bool,
    /// The right to send it, with the time for which it is waited for.
    pub permit: SendPermit,
}

impl Dispatch {
    /// How long it will be waited for from now on. What a worker is told is reckoned at the moment of writing: the wait
    /// for a connection is over by then.
    pub fn time_left(&self, now: Time) -> Duration {
        self.permit.deadline().since(now)
    }

    /// For so long the last byte of its frame may be written; `None` where any time will do. It is a further attempt of
    /// a part whose repeats are dropped only for a while after the first that may have run.
    pub fn write_window(&self) -> Option<Duration> {
        self.permit.write_window()
    }
}

/// How an attempt ended, as a transport reports it.
#[derive(Clone, Debug)]
pub struct AttemptCompletion {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The value, with [`Outcome::Done`].
    pub value: Bytes,
    /// The worker's load, in the order of the settings' fields.
    pub load_report: Option<LoadReport>,
}

impl AttemptCompletion {
    /// An end that brings nothing but its outcome.
    pub fn without_value(outcome: AttemptOutcome) -> AttemptCompletion {
        AttemptCompletion { outcome, value: Bytes::new(), load_report: None }
    }
}
