//! What the module asks of its host.

use crate::policy::{AttemptNo, RequestId, TimerId, WorkerId};
use std::time::Duration;

/// What the module asks of its root.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The part.
        id: RequestId,
        /// The leaf.
        worker: WorkerId,
        /// The attempt's time-out.
        timeout: Duration,
    },
    /// Quit waiting for an attempt.
    Cancel {
        /// The part.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Answer a query from the parts that are in.
    Respond {
        /// The query.
        id: RequestId,
        /// The answer is whole.
        complete: bool,
    },
    /// Refuse a query: a retry is harmless.
    Reject {
        /// The query.
        id: RequestId,
        /// When to come back; `None` for no advice.
        retry_after: Option<Duration>,
    },
    /// Fail a query, with no promise.
    Fail {
        /// The query.
        id: RequestId,
    },
    /// Send [`Event::Due`] after a time.
    SetTimer {
        /// How long from now.
        after: Duration,
        /// Comes back with the event.
        timer: TimerId,
    },
    /// Probe a leaf.
    SendHealthCheck {
        /// The leaf.
        worker: WorkerId,
    },
    /// Subscribe to the membership list.
    SubscribeToEndpoints,
    /// Write a line for the people on call.
    Log {
        /// The line.
        text: String,
    },
}
