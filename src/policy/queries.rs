//! Queries, their parts and the parts' attempts, as plain fields. Nothing here decides.

use crate::policy::{AttemptOutcome, ClassId, NewPart, NewQuery, RequestId, Time, WorkerId};

/// An attempt of a part.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub worker: WorkerId,
    pub sent_at: Time,
    /// Seconds in which a response was expected.
    pub expected_latency: f64,
    /// Seconds of its own cost, and of the cost outstanding at the worker when it was sent.
    pub cost: f64,
    pub cost_ahead: f64,
    /// Attempts that were sent later to the same worker and succeeded sooner.
    pub overtaken_by: u32,
    /// It has been counted as a failure while in flight.
    pub counted_as_lost: bool,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::proves_unrun)
    }
}

/// A part of a query that this aggregator holds.
pub struct Part {
    pub request: NewPart,
    pub query: RequestId,
    pub class: ClassId,
    pub key_hash: Option<u64>,
    /// Seconds that a worker is expected to need for it.
    pub cost: f64,
    pub attempts: Vec<Attempt>,
    pub succeeded: bool,
    /// No further attempt may be sent.
    pub finished: bool,
    /// Its query no longer needs it.
    pub released: bool,
}

impl Part {
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }
}

/// A query that this aggregator holds.
pub struct Query {
    pub request: NewQuery,
    /// When its latency objective is missed, or the client gone if that is sooner.
    pub objective_at: Time,
    pub parts: Vec<RequestId>,
    pub admitted: bool,
    /// It arrived when its tenant had used up its quota.
    pub over_quota: bool,
    /// Of a query in its second step: whether the first step was complete.
    pub first_step_complete: Option<bool>,
}
