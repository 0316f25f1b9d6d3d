//! The attempts that were sent and have not finished: the worker of each, when it was sent, and its deadline.

use super::attempt::AttemptId;
use crate::policy::*;
use std::collections::{BTreeMap, HashSet};

/// One attempt that was sent.
pub(super) struct SentAttempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent_at: Time,
    /// It counts as timed out from then on.
    pub deadline: Time,
}

/// All attempts that have not finished, by part and number.
#[derive(Default)]
pub(super) struct InFlight(BTreeMap<AttemptId, SentAttempt>);

impl InFlight {
    pub fn insert(&mut self, attempt_id: AttemptId, sent: SentAttempt) {
        self.0.insert(attempt_id, sent);
    }

    /// Removes an attempt that finishes; `None` if it has finished before.
    pub fn remove(&mut self, attempt_id: AttemptId) -> Option<SentAttempt> {
        self.0.remove(&attempt_id)
    }

    /// Removes all attempts whose deadline has passed.
    pub fn remove_expired(&mut self, now: Time) -> Vec<(AttemptId, SentAttempt)> {
        self.0.extract_if(.., |_, sent| sent.deadline <= now).collect()
    }

    /// When the next attempt times out.
    pub fn next_deadline(&self) -> Option<Time> {
        self.0.values().map(|sent| sent.deadline).min()
    }

    /// The attempts of one part, in the order of their numbers.
    pub fn of_part(&self, part: RequestId) -> impl Iterator<Item = (&AttemptId, &SentAttempt)> {
        let first = AttemptId { part, attempt: AttemptNo(0) };
        let last = AttemptId { part, attempt: AttemptNo(u32::MAX) };
        self.0.range(first..=last)
    }

    /// Whether any attempt of this part is in flight.
    pub fn has_part(&self, part: RequestId) -> bool {
        self.of_part(part).next().is_some()
    }

    /// The workers that hold any attempt.
    pub fn workers(&self) -> HashSet<WorkerId> {
        self.0.values().map(|sent| sent.worker).collect()
    }
}
