//! The rules that no path may break. Each is checked in the one function that every path takes, and counted where it is
//! broken.
//!
//! The decision module chooses; the checks here know nothing of its choices. They see each attempt before it is sent
//! and each answer before it is given, and prevent whatever would break a promise to a client or a worker. A count over
//! zero is a fault of the program, whatever the traffic.

use super::open_queries::OpenPart;
use crate::policy::{Class, Idempotency, Time};
use std::fmt;
use std::time::Duration;

/// How much a sum of weights may fall short by rounding.
const COVERAGE_EPSILON: f64 = 1e-4;

/// A rule that holds for each attempt, answer and connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// An attempt goes only to a worker that is listed as active and not disabled.
    SentToActiveWorker,
    /// An attempt is sent only before its client's deadline.
    SentBeforeDeadline,
    /// A non-idempotent part is retried only where no attempt before can have run.
    RetriedSafely,
    /// A keyed part is retried only within its repeat window.
    RetriedInWindow,
    /// Two attempts of a part are in flight at once only where hedging is allowed.
    HedgedWhereAllowed,
    /// A part has at most as many attempts as its limit.
    AttemptsBounded,
    /// An answer has at least the coverage that its class requires.
    MinCoverageMet,
    /// An answer that is marked complete has the coverage of a complete one.
    CompleteMarkedTruly,
    /// A rejection promises that a retry is harmless: nothing can have run that must not run twice.
    RejectedUnexecuted,
    /// A query ends within the grace period after its client's deadline.
    EndedInTime,
    /// A request that was read is answered before its connection is closed, unless its client has disconnected.
    ClosedAfterResponse,
    /// One process listens for a gatherer's clients, or two that know of each other.
    SingleListeningProcess,
}

/// All invariants, in the order in which they are counted.
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
    /// Its name in the metrics and the log. These are outer names, which stay where a variant is renamed.
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

    /// The line of the log for a violation; `subject` names what broke it.
    #[must_use]
    pub fn violation_message(self, subject: &str) -> String {
        format!("invariant {} is broken: {subject}", self.name())
    }
}

/// How often each invariant was broken since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; INVARIANTS.len()]);

impl Violations {
    /// Counts one violation.
    pub fn record(&mut self, broken: Invariant) {
        self.0[broken as usize] += 1;
    }

    /// How often this invariant was broken.
    #[must_use]
    pub fn count_of(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize]
    }

    /// How often any invariant was broken.
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

/// What is known of an attempt before it is sent: the input of the check that permits it.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck<'a> {
    /// The time.
    pub now: Time,
    /// The contract of its class.
    pub class: &'a Class,
    /// Its client waits until then.
    pub valid_until: Time,
    /// The worker is listed as active and not disabled.
    pub worker_accepts_work: bool,
    /// How many attempts its part had before.
    pub previous_attempts: u32,
    /// When the first of them was sent that has run or may still run.
    pub first_possible_run: Option<Time>,
    /// Any of them is in flight.
    pub has_attempt_in_flight: bool,
    /// Two attempts of a part may be in flight at once.
    pub may_hedge: bool,
    /// The limit of attempts of a part; `None` where there is none.
    pub max_attempts: Option<u32>,
}

/// The right to send one attempt. Only [`SendCheck::permit`] gives it, and an attempt cannot be made without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    deadline: Time,
    window: Option<Duration>,
}

impl SendPermit {
    /// The attempt counts as timed out from then on, which is never later than its client's deadline.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Time from the permit within which the last byte of the frame has to be written, where the class bounds it.
    #[must_use]
    pub fn write_window(&self) -> Option<Duration> {
        self.window
    }
}

impl SendCheck<'_> {
    /// The one guard on sending and retrying: a permit to send the attempt and to wait for it for at most `timeout`.
    ///
    /// # Errors
    /// The invariant that the attempt would break.
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
        if self.max_attempts.is_some_and(|most| self.previous_attempts >= most) {
            return Err(Invariant::AttemptsBounded);
        }
        let window = self.window()?;
        let deadline = self.now.after(timeout).min(self.valid_until);
        Ok(SendPermit { deadline, window })
    }

    /// What is left of the window within which the part may be retried; `None` where it is not bounded.
    fn window(&self) -> Result<Option<Duration>, Invariant> {
        match (self.class.idempotency, self.first_possible_run) {
            (Idempotency::Idempotent, _) | (_, None) => Ok(None),
            (Idempotency::NonIdempotent, Some(_)) => Err(Invariant::RetriedSafely),
            (Idempotency::Keyed, Some(first)) => {
                let left = self.class.repeat_window.saturating_sub(self.now.since(first));
                if left.is_zero() { Err(Invariant::RetriedInWindow) } else { Ok(Some(left)) }
            }
        }
    }
}

/// Checks whether an answer of this coverage may be given, and marked complete.
///
/// # Errors
/// The invariant that it would break.
pub fn check_answer(class: &Class, coverage: f64, complete: bool) -> Result<(), Invariant> {
    if coverage < class.min_coverage.min(class.complete_coverage) - COVERAGE_EPSILON {
        return Err(Invariant::MinCoverageMet);
    }
    if complete && coverage < class.complete_coverage - COVERAGE_EPSILON {
        return Err(Invariant::CompleteMarkedTruly);
    }
    Ok(())
}

/// Checks whether a rejection may be given, which promises that a retry is harmless.
///
/// # Errors
/// The invariant that it would break.
pub fn check_rejection(class: &Class, any_possible_run: bool) -> Result<(), Invariant> {
    let harmless = class.idempotency == Idempotency::Idempotent || !any_possible_run;
    if harmless { Ok(()) } else { Err(Invariant::RejectedUnexecuted) }
}

/// The fraction of a query's weight for which there are values.
pub(super) fn coverage(parts: &[OpenPart]) -> f64 {
    parts.iter().filter(|part| part.value.is_some()).map(|part| part.weight).sum()
}
