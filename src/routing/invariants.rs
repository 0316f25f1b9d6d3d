//! The rules that no path may break, each checked in the one function that every path takes, and counted where it is
//! broken.
//!
//! The decision module chooses; what is here knows nothing of choices. It sees each attempt before it is sent and each
//! answer before it is given, and holds back what would break a promise to a client or a worker. A count over zero is a
//! fault of the program, whatever the traffic.

use super::open_queries::OpenPart;
use crate::policy::*;
use std::fmt;
use std::time::Duration;

/// Sums of weights may fall short by this much.
const EPSILON: f64 = 1e-4;

/// A rule that holds for each attempt, answer and connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// An attempt goes only to a worker that is listed, serves, and is not out by hand.
    SentToActiveWorker,
    /// An attempt begins only while its client waits.
    SentBeforeDeadline,
    /// What is not idempotent is sent again only if no attempt before can have run.
    RetriedSafely,
    /// What is idempotent by key is sent again only inside its window.
    RetriedInWindow,
    /// Two attempts of a part are out at once only where that is allowed.
    HedgedWhereAllowed,
    /// A part has no more attempts than the limit.
    AttemptsBounded,
    /// An answer has the least share of its class.
    MinCoverageMet,
    /// An answer that is marked whole is.
    CompleteMarkedTruly,
    /// A refusal promises that a retry is harmless: nothing can have run that must not run twice.
    RejectedUnexecuted,
    /// A query ends before its client's time and the grace are over.
    EndedInTime,
    /// A request that was read is answered before its connection is closed, unless its client has gone.
    ClosedAfterResponse,
    /// One process listens for a gatherer's clients, or two that know of each other.
    SingleListeningProcess,
}

/// All of them, in the order in which they are counted.
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
    /// Its name in the metrics.
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
}

/// How often each invariant was broken, since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; INVARIANTS.len()]);

impl Violations {
    /// Counts a break.
    pub fn record(&mut self, broken: Invariant) {
        self.0[broken as usize] += 1;
    }

    /// How often this one was broken.
    pub fn count_of(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize]
    }

    /// How often any was.
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

/// What is known of an attempt before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck<'a> {
    /// The time.
    pub now: Time,
    /// The contract of its class.
    pub class: &'a Class,
    /// How long its client waits.
    pub valid_until: Time,
    /// The worker is listed, serves, and is not out by hand.
    pub worker_serves: bool,
    /// Attempts of its part before.
    pub previous_attempts: u32,
    /// When the first of them was sent that may have run, or may yet.
    pub first_possible_run: Option<Time>,
    /// Any of them is out.
    pub has_attempt_in_flight: bool,
    /// Two may be out at once.
    pub may_hedge: bool,
    /// The most attempts of a part.
    pub max_attempts: Option<u32>,
}

/// The right to send one attempt. Only [`SendCheck::permit`] gives it, and an attempt cannot be made without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    deadline: Time,
    window: Option<Duration>,
}

impl SendPermit {
    /// The attempt counts as timed out from then on: no later than its client waits.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// For so long the last byte of its frame may be written, where its class bounds that.
    pub fn write_window(&self) -> Option<Duration> {
        self.window
    }
}

impl SendCheck<'_> {
    /// The one guard on sending and repeating: a permit to wait for the attempt this long, or the rule that it would
    /// break.
    pub fn permit(&self, timeout: Duration) -> Result<SendPermit, Invariant> {
        if !self.worker_serves {
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

    /// What is left of the window in which the part may be repeated; `None` where any time will do.
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

/// Whether an answer may be given, and marked whole, with parts of this weight in.
pub fn check_answer(class: &Class, share: f64, whole: bool) -> Result<(), Invariant> {
    if share < class.min_coverage.min(class.complete_coverage) - EPSILON {
        return Err(Invariant::MinCoverageMet);
    }
    if whole && share < class.complete_coverage - EPSILON {
        return Err(Invariant::CompleteMarkedTruly);
    }
    Ok(())
}

/// Whether a refusal may be given: it promises that a retry is harmless.
pub fn check_rejection(class: &Class, any_possible_run: bool) -> Result<(), Invariant> {
    let harmless = class.idempotency == Idempotency::Idempotent || !any_possible_run;
    if harmless { Ok(()) } else { Err(Invariant::RejectedUnexecuted) }
}

/// The share of a query's weight that is in.
pub(super) fn share_in(parts: &[OpenPart]) -> f64 {
    parts.iter().filter(|part| part.value.is_some()).map(|part| part.weight).sum()
}
