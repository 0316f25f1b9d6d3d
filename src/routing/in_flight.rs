//! The attempts that were sent and have not ended: where each went, when, and until when it is waited for.

use super::attempt::AttemptId;
use crate::policy::*;
use std::collections::{BTreeMap, HashSet};

/// One attempt that was sent.
pub(super) struct SentAttempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// When it was sent.
    pub at: Time,
    /// It counts as timed out from then on.
    pub deadline: Time,
}

/// All attempts that have not ended, by part and number.
#[derive(Default)]
pub(super) struct InFlight(BTreeMap<AttemptId, SentAttempt>);

impl InFlight {
    /// An attempt was sent.
    pub fn insert(&mut self, ticket: AttemptId, sent: SentAttempt) {
        self.0.insert(ticket, sent);
    }

    /// An attempt ends; `None` if it has ended before.
    pub fn remove(&mut self, ticket: AttemptId) -> Option<SentAttempt> {
        self.0.remove(&ticket)
    }

    /// Ends all attempts that are waited for no longer.
    pub fn take_expired(&mut self, now: Time) -> Vec<(AttemptId, SentAttempt)> {
        self.0.extract_if(.., |_, sent| sent.deadline <= now).collect()
    }

    /// When the next attempt times out.
    pub fn next_deadline(&self) -> Option<Time> {
        self.0.values().map(|sent| sent.deadline).min()
    }

    /// The attempts of one part, by number.
    pub fn of_part(&self, part: RequestId) -> impl Iterator<Item = (&AttemptId, &SentAttempt)> {
        let first = AttemptId { part, attempt: AttemptNo(0) };
        let last = AttemptId { part, attempt: AttemptNo(u32::MAX) };
        self.0.range(first..=last)
    }

    /// The workers that any attempt is out at.
    pub fn workers(&self) -> HashSet<WorkerId> {
        self.0.values().map(|sent| sent.worker).collect()
    }
}
