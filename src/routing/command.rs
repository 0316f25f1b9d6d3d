//! The whole output of the core: what its host is to carry out after a step.

use super::attempt::{AttemptId, Dispatch};
use super::query::QueryOutcome;
use crate::policy::*;

/// One thing for the core's host to carry out.
#[derive(Clone, Debug)]
pub enum Command {
    /// A worker is listed at this address, for the first time or with changes.
    UpsertWorker {
        /// The worker.
        worker: WorkerId,
        /// Its name.
        name: String,
        /// Its address.
        address: String,
        /// It may be sent new attempts.
        accepts_work: bool,
    },
    /// A worker is no longer listed.
    RemoveWorker {
        /// The worker.
        worker: WorkerId,
    },
    /// Carry these attempts as one call.
    Call {
        /// The worker that receives them.
        worker: WorkerId,
        /// The attempts.
        parts: Vec<Dispatch>,
    },
    /// Wait no longer for this attempt; its completion is already accounted for.
    Cancel {
        /// The worker that the attempt was sent to.
        worker: WorkerId,
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Drop this attempt if no byte of it is written yet: nobody waits for it, but a written one may not be cancelled. Its
    /// completion is reported as for any other attempt.
    CancelIfUnsent {
        /// The worker that the attempt is for.
        worker: WorkerId,
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Give a query its final outcome.
    Respond {
        /// The query.
        query: RequestId,
        /// Its outcome.
        outcome: QueryOutcome,
    },
    /// Write a line to the log.
    Log(String),
    /// Write a line to the log as an error: an invariant is broken.
    LogViolation(String),
}
