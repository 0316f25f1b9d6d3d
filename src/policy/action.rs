//! What the module asks of its host.

use crate::policy::{AttemptNo, RequestId, TimerId, WorkerId};
use std::time::Duration;

/// What the module asks of the aggregator that embeds it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a part.
    Send {
        /// The part.
        id: RequestId,
        /// Where to.
        worker: WorkerId,
        /// The attempt's time-out.
        timeout: Duration,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The part.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Answer a query from the parts that have succeeded.
    Respond {
        /// The query.
        id: RequestId,
        /// The answer is complete.
        complete: bool,
    },
    /// Reject a query: a retry does no harm.
    Reject {
        /// The query.
        id: RequestId,
        /// When to come back; `None` for no advice.
        retry_after: Option<Duration>,
    },
    /// Fail a query, without a promise that it did not run.
    Fail {
        /// The query.
        id: RequestId,
    },
    /// Send [`Event::TimerFired`](crate::policy::Event::TimerFired) after a time.
    SetTimer {
        /// How long from now.
        after: Duration,
        /// Comes back with the event.
        timer: TimerId,
    },
    /// Send a health check.
    SendHealthCheck {
        /// Where to.
        worker: WorkerId,
    },
    /// Subscribe to the endpoint list.
    SubscribeToEndpoints,
    /// Write a line for the people on call.
    Log {
        /// The line.
        text: String,
    },
}
