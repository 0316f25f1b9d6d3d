//! The state of queries, of their parts and of the parts' attempts. This file holds data only; the
//! decisions are in the other files.

use crate::policy::{AttemptOutcome, ClassId, NewPart, NewQuery, RequestId, Time, WorkerId};

/// One sending of a part to one worker.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub worker: WorkerId,
    pub sent_at: Time,
    /// The latency that was expected when the attempt was sent, in seconds.
    pub expected_latency: f64,
    /// The part's cost, in seconds.
    pub cost: f64,
    /// The cost outstanding at the worker when the attempt was sent, in seconds.
    pub cost_ahead: f64,
    /// Number of attempts that were sent later to the same worker and succeeded sooner.
    pub overtaken_by: u32,
    /// Whether the attempt has been counted as a failure while in flight.
    pub counted_as_lost: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the worker may have run the part; true while the attempt is in flight.
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
    /// The service time that a worker is expected to need, in seconds.
    pub cost: f64,
    pub attempts: Vec<Attempt>,
    pub succeeded: bool,
    /// Whether no further attempt may be sent.
    pub finished: bool,
    /// Whether the part's query no longer needs it.
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
    /// When the latency objective expires, or the client stops waiting if that is sooner.
    pub objective_at: Time,
    pub parts: Vec<RequestId>,
    /// Whether the admission of the current step has been decided.
    pub admitted: bool,
    /// Whether the query's tenant had used up its quota when the query arrived.
    pub over_quota: bool,
    /// Whether the first step was complete, if the query is in its second step.
    pub first_step_complete: Option<bool>,
}
