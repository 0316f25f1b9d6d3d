//! What the core asks of its host after a turn: the whole of its output.

use super::attempt::{AttemptId, Dispatch};
use super::query::QueryOutcome;
use crate::policy::*;

/// What the core asks of its host.
#[derive(Clone, Debug)]
pub enum Command {
    /// A worker is listed at this address; `open` is whether it may be sent anything new.
    UpsertWorker {
        /// The worker.
        worker: WorkerId,
        /// Its name.
        name: String,
        /// Its address.
        address: String,
        /// It takes work.
        accepts_work: bool,
    },
    /// A worker is no longer listed.
    RemoveWorker {
        /// The worker.
        worker: WorkerId,
    },
    /// Carry these attempts as one call.
    Call {
        /// To this worker.
        worker: WorkerId,
        /// The attempts.
        parts: Vec<Dispatch>,
    },
    /// Wait no longer for this attempt; its end is already booked.
    Cancel {
        /// At this worker.
        worker: WorkerId,
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Nobody waits for what this attempt brings, but it may not be called off: do not send it, if nothing of it is sent
    /// yet. Its end is told as ever.
    CancelIfUnsent {
        /// From this worker.
        worker: WorkerId,
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Give a query its final answer.
    Respond {
        /// The query.
        query: RequestId,
        /// The answer.
        outcome: QueryOutcome,
    },
    /// Write a line for the people on call.
    Log(String),
    /// A rule is broken: a line of the log that nobody may overlook.
    LogViolation(String),
}
