//! Attempts in flight: those that were sent and have not finished, with the worker, send time and deadline of each.

use super::attempt::AttemptId;
use crate::policy::{AttemptNo, RequestId, Time, WorkerId};
use std::collections::{BTreeMap, HashSet};

/// An attempt that was sent and has not finished.
pub(super) struct SentAttempt {
    /// Worker that the attempt was sent to.
    pub worker: WorkerId,
    /// Time at which the attempt was sent.
    pub sent_at: Time,
    /// Time from which the attempt counts as timed out.
    pub deadline: Time,
}

/// Attempts in flight, ordered by part and attempt number.
#[derive(Default)]
pub(super) struct InFlight(BTreeMap<AttemptId, SentAttempt>);

impl InFlight {
    pub fn insert(&mut self, attempt_id: AttemptId, sent: SentAttempt) {
        self.0.insert(attempt_id, sent);
    }

    /// Removes an attempt. Returns `None` if the attempt is not in flight.
    pub fn remove(&mut self, attempt_id: AttemptId) -> Option<SentAttempt> {
        self.0.remove(&attempt_id)
    }

    /// Removes and returns all attempts whose deadline has passed.
    pub fn remove_expired(&mut self, now: Time) -> Vec<(AttemptId, SentAttempt)> {
        self.0.extract_if(.., |_, sent| sent.deadline <= now).collect()
    }

    /// Returns the earliest deadline of all attempts.
    pub fn next_deadline(&self) -> Option<Time> {
        self.0.values().map(|sent| sent.deadline).min()
    }

    /// Returns the attempts of one part, in the order of their numbers.
    pub fn attempts_of_part(&self, part: RequestId) -> impl Iterator<Item = (&AttemptId, &SentAttempt)> {
        let first = AttemptId { part, attempt: AttemptNo(0) };
        let last = AttemptId { part, attempt: AttemptNo(u32::MAX) };
        self.0.range(first..=last)
    }

    /// Returns whether any attempt of this part is in flight.
    pub fn has_attempt_of_part(&self, part: RequestId) -> bool {
        self.attempts_of_part(part).next().is_some()
    }

    /// Returns the workers with at least one attempt in flight.
    pub fn workers(&self) -> HashSet<WorkerId> {
        self.0.values().map(|sent| sent.worker).collect()
    }
}
