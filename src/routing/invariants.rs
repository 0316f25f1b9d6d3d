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
    SentToServing,
    /// An attempt begins only while its client waits.
    SentInTime,
    /// What is not idempotent is sent again only if no attempt before can have run.
    RepeatedSafely,
    /// What is idempotent by key is sent again only inside its window.
    RepeatedInWindow,
    /// Two attempts of a part are out at once only where that is allowed.
    HedgedWhereAllowed,
    /// A part has no more attempts than the limit.
    AttemptsBounded,
    /// An answer has the least share of its class.
    AnsweredAboveFloor,
    /// An answer that is marked whole is.
    MarkedWholeTruly,
    /// A refusal promises that a retry is harmless: nothing can have run that must not run twice.
    RefusedUnrun,
    /// A query ends before its client's time and the grace are over.
    EndedInTime,
    /// A request that was read is answered before its connection is closed, unless its client has gone.
    ClosedAnswered,
    /// One process listens for a gatherer's clients, or two that know of each other.
    StartedAlone,
}

/// All of them, in the order in which they are counted.
pub const INVARIANTS: [Invariant; 12] = [
    Invariant::SentToServing,
    Invariant::SentInTime,
    Invariant::RepeatedSafely,
    Invariant::RepeatedInWindow,
    Invariant::HedgedWhereAllowed,
    Invariant::AttemptsBounded,
    Invariant::AnsweredAboveFloor,
    Invariant::MarkedWholeTruly,
    Invariant::RefusedUnrun,
    Invariant::EndedInTime,
    Invariant::ClosedAnswered,
    Invariant::StartedAlone,
];

impl Invariant {
    /// Its name in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::SentToServing => "sent_to_serving",
            Invariant::SentInTime => "sent_in_time",
            Invariant::RepeatedSafely => "repeated_safely",
            Invariant::RepeatedInWindow => "repeated_in_window",
            Invariant::HedgedWhereAllowed => "hedged_where_allowed",
            Invariant::AttemptsBounded => "attempts_bounded",
            Invariant::AnsweredAboveFloor => "answered_above_floor",
            Invariant::MarkedWholeTruly => "marked_whole_truly",
            Invariant::RefusedUnrun => "refused_unrun",
            Invariant::EndedInTime => "ended_in_time",
            Invariant::ClosedAnswered => "closed_answered",
            Invariant::StartedAlone => "started_alone",
        }
    }
}

/// How often each invariant was broken, since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; INVARIANTS.len()]);

impl Violations {
    /// Counts a break.
    pub fn count(&mut self, broken: Invariant) {
        self.0[broken as usize] += 1;
    }

    /// How often this one was broken.
    pub fn of(&self, invariant: Invariant) -> u64 {
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
            write!(out, " {}={}", invariant.name(), self.of(invariant))?;
        }
        Ok(())
    }
}

/// What is known of an attempt before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// The time.
    pub now: Time,
    /// The contract of its class.
    pub class: &'a Class,
    /// How long its client waits.
    pub valid_until: Time,
    /// The worker is listed, serves, and is not out by hand.
    pub worker_serves: bool,
    /// Attempts of its part before.
    pub attempts: u32,
    /// When the first of them was sent that may have run, or may yet.
    pub first_possible_run: Option<Time>,
    /// Any of them is out.
    pub is_out: bool,
    /// Two may be out at once.
    pub second_copies: bool,
    /// The most attempts of a part.
    pub most_attempts: Option<u32>,
}

/// The right to send one attempt. Only [`Sending::permit`] gives it, and an attempt cannot be made without.
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
    pub fn window(&self) -> Option<Duration> {
        self.window
    }
}

impl Sending<'_> {
    /// The one guard on sending and repeating: a permit to wait for the attempt this long, or the rule that it would
    /// break.
    pub fn permit(&self, timeout: Duration) -> Result<SendPermit, Invariant> {
        if !self.worker_serves {
            return Err(Invariant::SentToServing);
        }
        if self.valid_until <= self.now {
            return Err(Invariant::SentInTime);
        }
        if self.is_out && !self.second_copies {
            return Err(Invariant::HedgedWhereAllowed);
        }
        if self.most_attempts.is_some_and(|most| self.attempts >= most) {
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
            (Idempotency::NonIdempotent, Some(_)) => Err(Invariant::RepeatedSafely),
            (Idempotency::Keyed, Some(first)) => {
                let left = self.class.repeat_window.saturating_sub(self.now.since(first));
                if left.is_zero() { Err(Invariant::RepeatedInWindow) } else { Ok(Some(left)) }
            }
        }
    }
}

/// Whether an answer may be given, and marked whole, with parts of this weight in.
pub fn check_answer(class: &Class, share: f64, whole: bool) -> Result<(), Invariant> {
    if share < class.min_coverage.min(class.complete_coverage) - EPSILON {
        return Err(Invariant::AnsweredAboveFloor);
    }
    if whole && share < class.complete_coverage - EPSILON {
        return Err(Invariant::MarkedWholeTruly);
    }
    Ok(())
}

/// Whether a refusal may be given: it promises that a retry is harmless.
pub fn check_refusal(class: &Class, any_possible_run: bool) -> Result<(), Invariant> {
    let harmless = class.idempotency == Idempotency::Idempotent || !any_possible_run;
    if harmless { Ok(()) } else { Err(Invariant::RefusedUnrun) }
}

/// The share of a query's weight that is in.
pub(super) fn share_in(parts: &[OpenPart]) -> f64 {
    parts.iter().filter(|part| part.value.is_some()).map(|part| part.weight).sum()
}
