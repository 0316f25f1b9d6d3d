//! Attempts in flight: those that were sent and have not finished, with the worker, send time and deadline of each.

use super::attempt::AttemptId;
use crate::policy::{AttemptNo, RequestId, Time, WorkerId};
use std::collections::{BTreeMap, HashSet};
use std::ops::RangeInclusive;

/// An attempt that was sent and has not finished.
pub(super) struct SentAttempt {
    /// Worker that the attempt was sent to.
    pub worker: WorkerId,
    /// Time at which the attempt was sent.
    pub sent_at: Time,
    /// Time from which the attempt counts as timed out.
    pub deadline: Time,
    /// Whether the last byte of the attempt is written.
    pub written: bool,
    /// Time from which the attempt may not be written any more: the end of its part's repeat window. `None` while
    /// there is no limit.
    pub write_deadline: Option<Time>,
    /// Whether the transport was instructed to take the attempt back, because its write deadline has passed.
    pub withdrawn: bool,
}

impl SentAttempt {
    /// Creates an attempt without a write deadline.
    pub fn new(worker: WorkerId, sent_at: Time, deadline: Time) -> SentAttempt {
        SentAttempt { worker, sent_at, deadline, written: false, write_deadline: None, withdrawn: false }
    }

    /// Returns the time at which the transport is to take the attempt back, unless it was instructed already.
    fn withdraw_at(&self) -> Option<Time> {
        self.write_deadline.filter(|_| !self.written && !self.withdrawn)
    }

    /// Returns when the attempt times out or is to be taken back, whichever is earlier.
    fn due_at(&self) -> Time {
        self.withdraw_at().map_or(self.deadline, |at| at.min(self.deadline))
    }
}

/// The ids of all attempts of one part.
fn attempt_range(part: RequestId) -> RangeInclusive<AttemptId> {
    let first = AttemptId { part, attempt: AttemptNo(0) };
    let last = AttemptId { part, attempt: AttemptNo(u32::MAX) };
    first..=last
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

    /// Returns the earliest time at which an attempt times out or is to be taken back.
    pub fn next_due(&self) -> Option<Time> {
        self.0.values().map(SentAttempt::due_at).min()
    }

    /// Returns whether an attempt is in flight.
    pub fn contains(&self, attempt_id: AttemptId) -> bool {
        self.0.contains_key(&attempt_id)
    }

    /// Sets the write deadline of each attempt of one part. Returns whether one that is not written has a deadline.
    pub fn limit_writes_of_part(
        &mut self,
        part: RequestId,
        write_deadline: impl Fn(AttemptNo) -> Option<Time>,
    ) -> bool {
        let mut limited = false;
        for (attempt_id, sent) in self.0.range_mut(attempt_range(part)) {
            sent.write_deadline = write_deadline(attempt_id.attempt);
            limited |= sent.withdraw_at().is_some();
        }
        limited
    }

    /// Records that the last byte of an attempt is written.
    pub fn mark_written(&mut self, attempt_id: AttemptId) {
        if let Some(sent) = self.0.get_mut(&attempt_id) {
            sent.written = true;
        }
    }

    /// Marks the attempts whose write deadline has passed as withdrawn, and returns those that were not marked before.
    pub fn withdraw_overdue(&mut self, now: Time) -> Vec<(AttemptId, WorkerId)> {
        let overdue = self.0.iter_mut().filter(|(_, sent)| sent.withdraw_at().is_some_and(|at| at <= now));
        let withdrawn = overdue.map(|(attempt_id, sent)| {
            sent.withdrawn = true;
            (*attempt_id, sent.worker)
        });
        withdrawn.collect()
    }

    /// Returns the attempts of one part, in the order of their numbers.
    pub fn attempts_of_part(&self, part: RequestId) -> impl Iterator<Item = (&AttemptId, &SentAttempt)> {
        self.0.range(attempt_range(part))
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
