//! The lifecycle of a gatherer process: serving, draining, and graceful shutdown.
//!
//! Operators' requests, SIGTERM, a successor that serves, and time change its state. The state determines what is
//! permitted; the callers close connections and end the process.

use crate::policy::Time;
use std::time::Duration;

/// Time for which the process serves as before after its health check has first failed, because the front layer may
/// send clients to it until it notices. After SIGTERM this has to be below 0.7 s: SIGKILL may follow after the longest
/// query deadline (or 3 s if that is longer) plus 0.7 s, and a request that is unanswered then is lost. A request that
/// arrives within the grace period can have its whole deadline.
pub const GRACE_PERIOD: Duration = Duration::from_millis(600);

/// State of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// The process serves clients.
    Serving,
    /// An operator drains the process. Its health check fails, but it serves as before until the front layer has
    /// noticed.
    Draining,
    /// The process is drained. It serves clients that still connect, and closes each connection after its response or
    /// when it is idle.
    Drained,
    /// SIGTERM was received. The health check fails, but the process still serves clients.
    Stopping,
    /// SIGTERM was received while a successor serves for the same gatherer. The process accepts no connections and
    /// closes each one after its response. Its health check on an open connection succeeds, unless it was drained
    /// before.
    HandedOver {
        /// Whether an operator had drained the process.
        drained: bool,
    },
    /// Last state: the process accepts no queries, closes idle connections, and closes the others after their
    /// responses.
    Closing,
}

impl LifecycleState {
    /// Returns whether the health check succeeds, so that the front layer sends clients to this process.
    #[must_use]
    pub fn is_healthy(self) -> bool {
        matches!(self, LifecycleState::Serving | LifecycleState::HandedOver { drained: false })
    }
    /// Returns whether new connections are accepted.
    #[must_use]
    pub fn accepts_connections(self) -> bool {
        !matches!(self, LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// Returns whether each connection is closed after its next response.
    #[must_use]
    pub fn closes_after_response(self) -> bool {
        matches!(self, LifecycleState::Drained | LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// Returns whether connections without a pending response are closed.
    #[must_use]
    pub fn closes_idle_connections(self) -> bool {
        matches!(self, LifecycleState::Drained | LifecycleState::Closing)
    }
    /// Returns whether SIGTERM was received.
    #[must_use]
    pub fn is_stopping(self) -> bool {
        matches!(self, LifecycleState::Stopping | LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// Returns whether new queries are accepted.
    #[must_use]
    pub fn accepts_queries(self) -> bool {
        self != LifecycleState::Closing
    }
    /// Returns the state's name in responses to operators. These are outer names, and several states share one.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            LifecycleState::Serving => "serving",
            LifecycleState::Draining | LifecycleState::Drained => "drained",
            LifecycleState::Stopping | LifecycleState::HandedOver { .. } | LifecycleState::Closing => {
                "stopping"
            }
        }
    }
}

/// A request to change the lifecycle's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleRequest {
    /// An operator drains the process.
    Drain,
    /// An operator ends a drain.
    Resume,
    /// SIGTERM or SIGINT was received.
    Stop,
    /// SIGTERM or SIGINT was received while a successor serves.
    HandOver,
}

/// Reason for rejecting a request. The message goes out in an HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// The process has received SIGTERM and can neither be drained nor resumed.
    #[error("this process is stopping")]
    ShuttingDown,
}

/// State machine of one process's lifecycle. Requests are idempotent: a second drain does not restart the grace period
/// of the first. SIGTERM during a drain starts a grace period of its own.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: LifecycleState,
    entered_at: Time,
}

impl Lifecycle {
    /// Creates the lifecycle of a process that serves.
    #[must_use]
    pub fn new(now: Time) -> Lifecycle {
        Lifecycle { state: LifecycleState::Serving, entered_at: now }
    }
    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Applies a request.
    ///
    /// # Errors
    /// [`LifecycleError::ShuttingDown`] for a drain or a resume after SIGTERM; the state does not change then.
    pub fn apply(&mut self, now: Time, request: LifecycleRequest) -> Result<(), LifecycleError> {
        self.advance(now);
        let next = match (request, self.state) {
            // A successor that began to serve after SIGTERM takes over new connections too. The grace period is not
            // restarted.
            (LifecycleRequest::HandOver, LifecycleState::Stopping) => {
                self.state = LifecycleState::HandedOver { drained: false };
                return Ok(());
            }
            (LifecycleRequest::Stop | LifecycleRequest::HandOver, state) if state.is_stopping() => {
                return Ok(());
            }
            (_, state) if state.is_stopping() => return Err(LifecycleError::ShuttingDown),
            (LifecycleRequest::Drain, LifecycleState::Serving) => LifecycleState::Draining,
            (LifecycleRequest::Drain, _) => return Ok(()),
            (LifecycleRequest::Resume, _) => LifecycleState::Serving,
            (LifecycleRequest::Stop, _) => LifecycleState::Stopping,
            (LifecycleRequest::HandOver, state) => {
                LifecycleState::HandedOver { drained: state != LifecycleState::Serving }
            }
        };
        (self.state, self.entered_at) = (next, now);
        Ok(())
    }

    /// Returns when the grace period of the current state ends, or `None` if the state has none.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Time> {
        match self.state {
            LifecycleState::Draining | LifecycleState::Stopping | LifecycleState::HandedOver { .. } => {
                Some(self.entered_at.after(GRACE_PERIOD))
            }
            LifecycleState::Serving | LifecycleState::Drained | LifecycleState::Closing => None,
        }
    }

    /// Moves to the next state if the grace period has ended. Returns whether the state changed.
    pub fn advance(&mut self, now: Time) -> bool {
        let next = match (self.next_deadline(), self.state) {
            (Some(deadline), LifecycleState::Draining) if deadline <= now => LifecycleState::Drained,
            (Some(deadline), LifecycleState::Stopping | LifecycleState::HandedOver { .. })
                if deadline <= now =>
            {
                LifecycleState::Closing
            }
            _ => return false,
        };
        (self.state, self.entered_at) = (next, now);
        true
    }
}

#[cfg(test)]
mod tests;
