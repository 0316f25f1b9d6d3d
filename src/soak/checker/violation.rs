//! A violated invariant: which one, and what it concerns.

use std::fmt;

/// Which invariant is violated, as it is seen from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A request that was accepted had no final response in time.
    LostRequest,
    /// A part of a non-idempotent request was executed twice.
    DuplicateExecution,
    /// An attempt came to a worker too long after its drain or removal was announced.
    SentToDrainedWorker,
    /// A worker was given more time than its client had left.
    DeadlineExtended,
    /// An attempt came too long after its client had closed its connection.
    SentAfterDisconnect,
    /// A response is marked complete and is not, or holds a value that no worker made for it.
    IncorrectResponse,
    /// A process ended without a signal to do so, or by a panic.
    Crash,
    /// A start failed, or took too long to be ready.
    FailedStart,
    /// A process did not end in time after SIGTERM.
    LateExit,
    /// A client that stalled in the middle of a request was held too long.
    StalledClientHeld,
    /// The gatherer counted a violated invariant itself.
    CountedByGatherer,
}

/// A violated invariant, and what it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub kind: ViolationKind,
    /// Ids, times and numbers.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?}: {}", self.kind, self.details)
    }
}

/// Notes a violation.
pub fn report(violations: &mut Vec<Violation>, kind: ViolationKind, details: String) {
    violations.push(Violation { kind, details });
}

/// Whole milliseconds, as details state them.
pub fn ms(duration_us: u64) -> u64 {
    duration_us / 1000
}
