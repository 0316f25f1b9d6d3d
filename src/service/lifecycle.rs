//! The lifecycle of a gatherer's process: serving, draining, and the graceful shutdown. Requests of operators, SIGTERM,
//! a successor and time move it on. It decides what each state permits; connections and the process's end are the
//! callers'.

use crate::policy::Time;
use std::time::Duration;

/// How long the process still serves as before after its health check has first failed, because the front layer may
/// send clients here until it notices. After SIGTERM it has to be under 0.7 s: what arrives later and is unanswered at
/// SIGKILL is lost, and SIGKILL may follow after the longest deadline (or 3 s where that is longer) and 0.7 s. What
/// arrives within it may have its whole deadline.
pub const GRACE_PERIOD: Duration = Duration::from_millis(600);

/// A state of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// It serves.
    Serving,
    /// An operator drains it: it is no longer healthy, but serves as before until the front layer has noticed.
    Draining,
    /// It is drained: it serves whoever still calls, and closes each connection after its response or once it is idle.
    Drained,
    /// SIGTERM was received: it is no longer healthy, but serves whoever still comes.
    Stopping,
    /// SIGTERM was received while a successor serves, which continues the gatherer. It accepts no connection, is
    /// healthy for whoever checks on an open one (unless it was drained), and closes each connection after its
    /// response.
    HandedOver {
        /// An operator had drained it.
        drained: bool,
    },
    /// The last state: it accepts no query, closes idle connections, and others after their responses.
    Closing,
}

impl LifecycleState {
    /// Clients are to be sent here.
    #[must_use]
    pub fn is_healthy(self) -> bool {
        matches!(self, LifecycleState::Serving | LifecycleState::HandedOver { drained: false })
    }
    /// New connections are accepted.
    #[must_use]
    pub fn accepts_connections(self) -> bool {
        !matches!(self, LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// Each connection is closed after its next response.
    #[must_use]
    pub fn closes_after_response(self) -> bool {
        matches!(self, LifecycleState::Drained | LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// Connections without a pending response are closed.
    #[must_use]
    pub fn closes_idle_connections(self) -> bool {
        matches!(self, LifecycleState::Drained | LifecycleState::Closing)
    }
    /// SIGTERM was received.
    #[must_use]
    pub fn is_stopping(self) -> bool {
        matches!(self, LifecycleState::Stopping | LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// New queries are accepted.
    #[must_use]
    pub fn accepts_queries(self) -> bool {
        self != LifecycleState::Closing
    }
    /// Its name in responses to operators. These are outer names, of which several states share one.
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

/// What is requested of the process from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleRequest {
    /// An operator drains it.
    Drain,
    /// An operator lets it serve again.
    Resume,
    /// SIGTERM or SIGINT was received.
    Stop,
    /// SIGTERM or SIGINT was received while a successor serves.
    HandOver,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// A process that has received SIGTERM neither drains nor resumes.
    #[error("this process is stopping")]
    ShuttingDown,
}

/// The lifecycle of one process. Requests are idempotent: a second drain does not restart the first one's grace period.
/// SIGTERM during a drain starts a grace period of its own.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: LifecycleState,
    entered_at: Time,
}

impl Lifecycle {
    /// The lifecycle of a process that serves.
    #[must_use]
    pub fn new(now: Time) -> Lifecycle {
        Lifecycle { state: LifecycleState::Serving, entered_at: now }
    }
    /// The current state.
    #[must_use]
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Applies a request.
    ///
    /// # Errors
    /// [`LifecycleError::ShuttingDown`] for a drain or a resume after SIGTERM; nothing changes then.
    pub fn apply(&mut self, now: Time, request: LifecycleRequest) -> Result<(), LifecycleError> {
        self.advance(now);
        let next = match (request, self.state) {
            // A successor that serves only now still takes over new connections. The grace period goes on as it began.
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

    /// When the grace period of the current state ends, where it has one.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Time> {
        match self.state {
            LifecycleState::Draining | LifecycleState::Stopping | LifecycleState::HandedOver { .. } => {
                Some(self.entered_at.after(GRACE_PERIOD))
            }
            LifecycleState::Serving | LifecycleState::Drained | LifecycleState::Closing => None,
        }
    }

    /// Moves to the next state where the grace period is over; returns whether it did.
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
