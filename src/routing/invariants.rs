//! Invariants of sending, answering and serving, with their checks and the counts of their violations.
//!
//! The checks do not depend on the decision module. They run on each attempt before it is sent and on each outcome
//! before it is delivered, and prevent whatever would break a promise to a client or a worker. A count over zero is a
//! bug in this program, whatever the traffic.

use super::open_queries::OpenPart;
use crate::policy::{Class, Idempotency, Time};
use std::fmt;
use std::time::Duration;

/// Tolerance for rounding errors in a sum of weights.
const COVERAGE_EPSILON: f64 = 1e-4;

/// A rule that every attempt, outcome, connection or process has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// An attempt goes only to a worker that is listed as active and not disabled.
    SentToActiveWorker,
    /// An attempt is sent only before its client's deadline.
    SentBeforeDeadline,
    /// A non-idempotent part is retried only if no previous attempt can have run.
    RetriedSafely,
    /// A keyed part is retried only within the repeat window of its class.
    RetriedInWindow,
    /// Two attempts of a part are in flight at once only if hedging is allowed.
    HedgedWhereAllowed,
    /// A part has at most `max_attempts` attempts.
    AttemptsBounded,
    /// An answer has at least the coverage that its class requires.
    MinCoverageMet,
    /// An answer that is marked complete has the coverage that its class requires for that.
    CompleteMarkedTruly,
    /// A query is rejected only if a retry by the client is harmless: nothing can have run that must not run twice.
    RejectedUnexecuted,
    /// A query ends within the response grace after its client's deadline.
    EndedInTime,
    /// A request that was read gets a response before its connection is closed, unless its client has disconnected.
    ClosedAfterResponse,
    /// A gatherer's clients are served by one process, or by two of a hot restart that know of each other.
    SingleListeningProcess,
}

/// Every invariant, in the order of the counts in [`Violations`].
pub const INVARIANTS: [Invariant; 12] = [
    Invariant::SentToActiveWorker,
    Invariant::SentBeforeDeadline,
    Invariant::RetriedSafely,
    Invariant::RetriedInWindow,
    Invariant::HedgedWhereAllowed,
    Invariant::AttemptsBounded,
    Invariant::MinCoverageMet,
    Invariant::CompleteMarkedTruly,
    Invariant::RejectedUnexecuted,
    Invariant::EndedInTime,
    Invariant::ClosedAfterResponse,
    Invariant::SingleListeningProcess,
];

impl Invariant {
    /// Returns the name in metrics and logs. These are outer names: they must not change when a variant is renamed.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Invariant::SentToActiveWorker => "sent_to_serving",
            Invariant::SentBeforeDeadline => "sent_in_time",
            Invariant::RetriedSafely => "repeated_safely",
            Invariant::RetriedInWindow => "repeated_in_window",
            Invariant::HedgedWhereAllowed => "hedged_where_allowed",
            Invariant::AttemptsBounded => "attempts_bounded",
            Invariant::MinCoverageMet => "answered_above_floor",
            Invariant::CompleteMarkedTruly => "marked_whole_truly",
            Invariant::RejectedUnexecuted => "refused_unrun",
            Invariant::EndedInTime => "ended_in_time",
            Invariant::ClosedAfterResponse => "closed_answered",
            Invariant::SingleListeningProcess => "started_alone",
        }
    }

    /// Returns the log line for a violation; `subject` names the query, attempt, connection or process concerned.
    #[must_use]
    pub fn violation_message(self, subject: &str) -> String {
        format!("invariant {} violated: {subject}", self.name())
    }
}

/// Number of violations of each invariant since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; INVARIANTS.len()]);

impl Violations {
    /// Counts one violation.
    pub fn record(&mut self, violated: Invariant) {
        self.0[violated as usize] += 1;
    }

    /// Returns the number of violations of this invariant.
    #[must_use]
    pub fn count_of(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize]
    }

    /// Returns the number of violations of all invariants.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl fmt::Display for Violations {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "total={}", self.total())?;
        for invariant in INVARIANTS {
            write!(out, " {}={}", invariant.name(), self.count_of(invariant))?;
        }
        Ok(())
    }
}

/// Input of the check that an attempt has to pass before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck<'a> {
    /// Current time.
    pub now: Time,
    /// Class of the query.
    pub class: &'a Class,
    /// Deadline of the query's client.
    pub valid_until: Time,
    /// Whether the worker is listed as active and not disabled.
    pub worker_accepts_work: bool,
    /// Number of earlier attempts of the part.
    pub previous_attempts: u32,
    /// Send time of the first earlier attempt that has run or may still run.
    pub first_possible_run: Option<Time>,
    /// Whether any earlier attempt is in flight.
    pub has_attempt_in_flight: bool,
    /// Whether hedging is allowed: two attempts of a part may be in flight at once.
    pub may_hedge: bool,
    /// Limit of attempts for each part; `None` if there is no limit.
    pub max_attempts: Option<u32>,
}

/// Proof that an attempt may be sent. Only [`SendCheck::permit`] creates it, and every [`super::Dispatch`] contains
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    deadline: Time,
}

impl SendPermit {
    /// Returns the time from which the attempt counts as timed out. It is never later than the client's deadline.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }
}

impl SendCheck<'_> {
    /// Checks the attempt against all invariants of sending and retrying. The permit's deadline is `timeout` from now,
    /// or the client's deadline if that is earlier.
    ///
    /// # Errors
    /// The invariant that the attempt would violate.
    pub fn permit(&self, timeout: Duration) -> Result<SendPermit, Invariant> {
        if !self.worker_accepts_work {
            return Err(Invariant::SentToActiveWorker);
        }
        if self.valid_until <= self.now {
            return Err(Invariant::SentBeforeDeadline);
        }
        if self.has_attempt_in_flight && !self.may_hedge {
            return Err(Invariant::HedgedWhereAllowed);
        }
        if self.max_attempts.is_some_and(|limit| self.previous_attempts >= limit) {
            return Err(Invariant::AttemptsBounded);
        }
        self.check_repeat()?;
        Ok(SendPermit { deadline: self.now.after(timeout).min(self.valid_until) })
    }

    /// Checks whether the class allows this attempt beside the earlier ones that may run.
    fn check_repeat(&self) -> Result<(), Invariant> {
        match (self.class.idempotency, self.first_possible_run) {
            (Idempotency::Idempotent, _) | (_, None) => Ok(()),
            (Idempotency::NonIdempotent, Some(_)) => Err(Invariant::RetriedSafely),
            (Idempotency::Keyed, Some(first_possible_run)) => {
                let is_in_window = self.now < first_possible_run.after(self.class.repeat_window);
                if is_in_window { Ok(()) } else { Err(Invariant::RetriedInWindow) }
            }
        }
    }
}

/// Input of the check that an attempt has to pass at the time of its write, since it may have waited for a connection
/// while another attempt of its part was written.
#[derive(Clone, Copy, Debug)]
pub struct WriteCheck<'a> {
    /// Current time.
    pub now: Time,
    /// Class of the query.
    pub class: &'a Class,
    /// Time at which the first write of another attempt of the part began, among those that may run; `None` if no other
    /// attempt is written.
    pub first_other_write_at: Option<Time>,
}

/// Proof that an attempt may be written now. Only [`WriteCheck::permit`] creates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WritePermit {
    deadline: Option<Time>,
}

impl WritePermit {
    /// Returns the time by which the last byte of the frame has to be written, or `None` if there is no limit.
    #[must_use]
    pub fn deadline(&self) -> Option<Time> {
        self.deadline
    }
}

impl WriteCheck<'_> {
    /// Checks the write against the repeat window. Any two attempts of a keyed part that may run, the first one included,
    /// have to be written within one window, because workers discard repeats only that long.
    ///
    /// # Errors
    /// [`Invariant::RetriedInWindow`] if the window has ended.
    pub fn permit(&self) -> Result<WritePermit, Invariant> {
        let deadline = self.deadline();
        if deadline.is_some_and(|deadline| deadline <= self.now) {
            return Err(Invariant::RetriedInWindow);
        }
        Ok(WritePermit { deadline })
    }

    /// Returns the time by which the last byte has to be written, or `None` if there is no limit.
    #[must_use]
    pub fn deadline(&self) -> Option<Time> {
        let window_begins_at =
            self.first_other_write_at.filter(|_| self.class.idempotency == Idempotency::Keyed);
        window_begins_at.map(|at| at.after(self.class.repeat_window))
    }
}

/// Checks whether an answer with this coverage may be given, and whether it may be marked complete if `complete` is
/// set.
///
/// # Errors
/// The invariant that the answer would violate.
pub fn check_answer(class: &Class, coverage: f64, complete: bool) -> Result<(), Invariant> {
    if coverage < class.min_coverage.min(class.complete_coverage) - COVERAGE_EPSILON {
        return Err(Invariant::MinCoverageMet);
    }
    if complete && coverage < class.complete_coverage - COVERAGE_EPSILON {
        return Err(Invariant::CompleteMarkedTruly);
    }
    Ok(())
}

/// Checks whether a query may be rejected, which promises the client that a retry is harmless.
///
/// # Errors
/// The invariant that the rejection would violate.
pub fn check_rejection(class: &Class, any_possible_run: bool) -> Result<(), Invariant> {
    let is_retry_harmless = class.idempotency == Idempotency::Idempotent || !any_possible_run;
    if is_retry_harmless { Ok(()) } else { Err(Invariant::RejectedUnexecuted) }
}

/// Returns the sum of the weights of all parts that have a value.
pub(super) fn coverage(parts: &[OpenPart]) -> f64 {
    parts.iter().filter(|part| part.value.is_some()).map(|part| part.weight).sum()
}
