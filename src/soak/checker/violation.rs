//! The report of a violated invariant.

use std::fmt;

/// The invariant that is violated, as clients, workers and process states show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// An accepted request got no final response in time.
    LostRequest,
    /// A part of a non-idempotent request was executed twice.
    DuplicateExecution,
    /// An attempt came to a worker too long after its drain or removal was announced.
    SentToDrainedWorker,
    /// A worker was given more time than its client had left.
    DeadlineExtended,
    /// An attempt came too long after its client had closed its connection.
    SentAfterDisconnect,
    /// A response with status 200 is incomplete, or holds a value that no worker computed for this request.
    IncorrectResponse,
    /// A process panicked, ended without a signal, or ended with a failure status though it was not killed.
    Crash,
    /// A process ended before it was ready, or was not ready in time.
    FailedStart,
    /// A process did not end in time after SIGTERM.
    LateExit,
    /// A client that stalled in the middle of a request was held too long.
    StalledClientHeld,
    /// The gatherer's own invariant counters are not zero.
    CountedByGatherer,
}

/// A violated invariant, with the request, part or process that violated it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant.
    pub kind: ViolationKind,
    /// The ids, times and numbers concerned, for people.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?}: {}", self.kind, self.details)
    }
}

/// Appends a violation to the list.
pub fn report(violations: &mut Vec<Violation>, kind: ViolationKind, details: String) {
    violations.push(Violation { kind, details });
}

/// Converts microseconds to whole milliseconds, the unit of `details`.
pub fn ms(duration_us: u64) -> u64 {
    duration_us / 1000
}
