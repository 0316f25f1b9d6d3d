//! Commands: the output of the core, which its host executes after each step.

use super::attempt::{AttemptId, Dispatch};
use super::query::QueryOutcome;
use crate::policy::{RequestId, WorkerId};

/// An instruction of the core to its host.
#[derive(Clone, Debug)]
pub enum Command {
    /// Add a listed worker, or update it.
    UpsertWorker {
        /// Id of the worker.
        worker: WorkerId,
        /// Name of the worker.
        name: String,
        /// Address of the worker.
        address: String,
        /// Whether the worker may receive new attempts.
        accepts_work: bool,
    },
    /// Remove a worker that is no longer listed.
    RemoveWorker {
        /// Id of the worker.
        worker: WorkerId,
    },
    /// Send these attempts as one call.
    Call {
        /// Worker that receives the call.
        worker: WorkerId,
        /// One attempt for each part in the call.
        parts: Vec<Dispatch>,
    },
    /// Cancel an attempt. The core has already recorded its completion.
    Cancel {
        /// Worker that the attempt was sent to.
        worker: WorkerId,
        /// Id of the attempt.
        attempt_id: AttemptId,
    },
    /// Drop an attempt whose query or repeat window has ended, if none of its bytes are written yet; an attempt that is
    /// written is left alone. The transport reports its completion as for any other attempt.
    CancelIfUnsent {
        /// Worker that the attempt is for.
        worker: WorkerId,
        /// Id of the attempt.
        attempt_id: AttemptId,
    },
    /// Deliver the outcome of a query to its front.
    Respond {
        /// Id of the query.
        query: RequestId,
        /// Outcome of the query.
        outcome: QueryOutcome,
    },
    /// Write a line to the log at info level.
    Log(String),
    /// Write the violation of an invariant to the log, at error level.
    LogViolation(String),
}
