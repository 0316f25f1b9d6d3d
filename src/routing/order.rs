//! What the core asks of its host after a turn: the whole of its output.

use super::attempt::{Dispatch, Ticket};
use super::query::Verdict;
use crate::policy::*;

/// What the core asks of its host.
#[derive(Clone, Debug)]
pub enum Order {
    /// A worker is listed at this address; `open` is whether it may be sent anything new.
    Member {
        /// The worker.
        worker: WorkerId,
        /// Its name.
        name: String,
        /// Its address.
        address: String,
        /// It takes work.
        open: bool,
    },
    /// A worker is no longer listed.
    Gone {
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
    Abandon {
        /// At this worker.
        worker: WorkerId,
        /// The attempt.
        ticket: Ticket,
    },
    /// Nobody waits for what this attempt brings, but it may not be called off: do not send it, if nothing of it is sent
    /// yet. Its end is told as ever.
    Withdraw {
        /// From this worker.
        worker: WorkerId,
        /// The attempt.
        ticket: Ticket,
    },
    /// Give a query its final answer.
    Settle {
        /// The query.
        query: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// Write a line for the people on call.
    Trace(String),
    /// A rule is broken: a line of the log that nobody may overlook.
    Alarm(String),
}
