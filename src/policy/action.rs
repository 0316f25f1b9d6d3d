//! The actions that the decision module returns to the program that embeds it.

use crate::policy::{AttemptNo, RequestId, TimerId, WorkerId};
use std::time::Duration;

/// One action that the embedding program must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a part.
    Send {
        /// The part.
        id: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// The attempt's time-out, counted from now.
        timeout: Duration,
    },
    /// Cancel an attempt in flight. Its end is still reported, as
    /// [`AttemptFinished`](crate::policy::Event::AttemptFinished).
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
        /// Whether the answer covers as much as its class requires of a complete one.
        complete: bool,
    },
    /// Reject a query. The client may safely retry it.
    Reject {
        /// The query.
        id: RequestId,
        /// The `Retry-After` to advise; `None` for no advice.
        retry_after: Option<Duration>,
    },
    /// Fail a query of which some part may have run, so that a retry may run it twice.
    Fail {
        /// The query.
        id: RequestId,
    },
    /// Report [`Event::TimerFired`](crate::policy::Event::TimerFired) after a time.
    SetTimer {
        /// The time from now to the event.
        after: Duration,
        /// The number to return with the event.
        timer: TimerId,
    },
    /// Send a health check.
    SendHealthCheck {
        /// The worker to check.
        worker: WorkerId,
    },
    /// Subscribe to the endpoint list.
    SubscribeToEndpoints,
    /// Write a line to the operator's log.
    Log {
        /// The text of the line.
        text: String,
    },
}
