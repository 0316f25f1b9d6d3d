//! Queries, parts and attempts in flight, as plain fields.

use crate::policy::{AttemptOutcome, ClassId, NewPart, NewQuery, RequestId, Time, WorkerId};

/// An attempt of a part.
pub struct Attempt {
    pub worker: WorkerId,
    pub sent_at: Time,
    pub expected_latency: f64,
    pub cost: f64,
    pub cost_ahead: f64,
    /// Attempts sent later to the same leaf that were answered sooner.
    pub overtaken_by: u32,
    /// It is booked as lost.
    pub counted_as_lost: bool,
    /// How it ended; `None` while it is out.
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

/// A part of a query that this root holds.
pub struct Part {
    pub request: NewPart,
    pub query: RequestId,
    pub class: ClassId,
    pub key_hash: Option<u64>,
    pub cost: f64,
    pub attempts: Vec<Attempt>,
    pub succeeded: bool,
    pub finished: bool,
    /// Its query has let go of it.
    pub released: bool,
}

/// A query that this root holds.
pub struct Query {
    pub request: NewQuery,
    /// When the aim is missed, or the client gone if that is sooner.
    pub objective_at: Time,
    pub parts: Vec<RequestId>,
    pub admitted: bool,
    /// It came when its tenant had used up its share.
    pub over_quota: bool,
    /// For a query in its second step: whether the first was whole.
    pub first_step_complete: Option<bool>,
}
