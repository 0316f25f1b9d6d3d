//! Where a gatherer is in its life, and what leads on: operators' calls, SIGTERM, a successor, time.

use crate::policy::Time;
use std::time::Duration;

/// For so long after the first no to health the front layer may still send clients here, and they are served. After
/// SIGTERM it has to be under 0.7 s: what comes later and is unanswered at SIGKILL is lost, and that may follow by the
/// longest deadline (3 s where that is longer) and 0.7 s. What comes inside it may have its whole deadline.
pub const GRACE_PERIOD: Duration = Duration::from_millis(600);

/// A stage of a gatherer's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// It serves.
    Serving,
    /// Told to drain: no longer healthy, but all else is as before, for the front layer takes a moment to notice.
    Draining,
    /// Drained: it serves whoever still calls and closes each connection behind its answer, or once it is idle.
    Drained,
    /// On SIGTERM: no longer healthy, but it serves who still comes.
    Stopping,
    /// On SIGTERM, where a successor serves: the gatherer goes on in that one. This one accepts nobody, is healthy for
    /// whoever asks on a connection of before, unless it was drained, and closes each behind its answer.
    HandedOver {
        /// An operator had it drained.
        drained: bool,
    },
    /// The last: it takes nothing new, closes idle connections, and others behind their answers.
    Closing,
}

impl LifecycleState {
    /// Clients are to be sent here.
    pub fn healthy(self) -> bool {
        matches!(self, LifecycleState::Serving | LifecycleState::HandedOver { drained: false })
    }
    /// Connections are let in.
    pub fn accepts_connections(self) -> bool {
        !matches!(self, LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// Connections end behind their next answer.
    pub fn closes_after_response(self) -> bool {
        matches!(self, LifecycleState::Drained | LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// Connections end as soon as nothing is open on them.
    pub fn closes_idle_connections(self) -> bool {
        matches!(self, LifecycleState::Drained | LifecycleState::Closing)
    }
    /// SIGTERM has come.
    pub fn is_stopping(self) -> bool {
        matches!(self, LifecycleState::Stopping | LifecycleState::HandedOver { .. } | LifecycleState::Closing)
    }
    /// New queries are taken.
    pub fn accepts_queries(self) -> bool {
        self != LifecycleState::Closing
    }
    /// In words, for whoever asks.
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

/// What may happen to a gatherer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleRequest {
    /// An operator has it drained.
    Drain,
    /// An operator has it take clients again.
    Resume,
    /// SIGTERM or SIGINT has come.
    Stop,
    /// It has come, and a successor serves.
    HandOver,
}

/// Why a call changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// Nothing leads back from SIGTERM.
    #[error("this process is stopping")]
    ShuttingDown,
}

/// The stages of one gatherer, moved on by calls and by time. The same call twice is the same as once: a second drain
/// does not begin the first anew, and SIGTERM during a drain has the stop's own times.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    stage: LifecycleState,
    since: Time,
}

impl Lifecycle {
    /// It serves.
    pub fn new(now: Time) -> Lifecycle {
        Lifecycle { stage: LifecycleState::Serving, since: now }
    }
    /// Where it is.
    pub fn stage(&self) -> LifecycleState {
        self.stage
    }

    /// Takes a call.
    pub fn apply(&mut self, now: Time, call: LifecycleRequest) -> Result<(), LifecycleError> {
        self.advance(now);
        let next = match (call, self.stage) {
            // A successor that serves only now still takes over what comes; the end is due when it was.
            (LifecycleRequest::HandOver, LifecycleState::Stopping) => {
                self.stage = LifecycleState::HandedOver { drained: false };
                return Ok(());
            }
            (LifecycleRequest::Stop | LifecycleRequest::HandOver, stage) if stage.is_stopping() => {
                return Ok(());
            }
            (_, stage) if stage.is_stopping() => return Err(LifecycleError::ShuttingDown),
            (LifecycleRequest::Drain, LifecycleState::Serving) => LifecycleState::Draining,
            (LifecycleRequest::Drain, _) => return Ok(()),
            (LifecycleRequest::Resume, _) => LifecycleState::Serving,
            (LifecycleRequest::Stop, _) => LifecycleState::Stopping,
            (LifecycleRequest::HandOver, stage) => {
                LifecycleState::HandedOver { drained: stage != LifecycleState::Serving }
            }
        };
        (self.stage, self.since) = (next, now);
        Ok(())
    }

    /// When time alone leads on.
    pub fn next_deadline(&self) -> Option<Time> {
        match self.stage {
            LifecycleState::Draining | LifecycleState::Stopping | LifecycleState::HandedOver { .. } => {
                Some(self.since.after(GRACE_PERIOD))
            }
            LifecycleState::Serving | LifecycleState::Drained | LifecycleState::Closing => None,
        }
    }

    /// Lets time lead on; true if it did.
    pub fn advance(&mut self, now: Time) -> bool {
        let next = match (self.next_deadline(), self.stage) {
            (Some(due), LifecycleState::Draining) if due <= now => LifecycleState::Drained,
            (Some(due), LifecycleState::Stopping | LifecycleState::HandedOver { .. }) if due <= now => {
                LifecycleState::Closing
            }
            _ => return false,
        };
        (self.stage, self.since) = (next, now);
        true
    }
}

#[cfg(test)]
mod tests;
