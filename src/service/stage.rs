//! Where a gatherer is in its life, and what leads on: operators' calls, SIGTERM, a successor, time.

use crate::policy::Time;
use std::time::Duration;

/// For so long after the first no to health the front layer may still send clients here, and they are served. After
/// SIGTERM it has to be under 0.7 s: what comes later and is unanswered at SIGKILL is lost, and that may follow by the
/// longest deadline (3 s where that is longer) and 0.7 s. What comes inside it may have its whole deadline.
pub const LINGER: Duration = Duration::from_millis(600);

/// A stage of a gatherer's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
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
    Succeeded {
        /// An operator had it drained.
        drained: bool,
    },
    /// The last: it takes nothing new, closes idle connections, and others behind their answers.
    Closing,
}

impl Stage {
    /// Clients are to be sent here.
    pub fn healthy(self) -> bool {
        matches!(self, Stage::Serving | Stage::Succeeded { drained: false })
    }
    /// Connections are let in.
    pub fn accepts(self) -> bool {
        !matches!(self, Stage::Succeeded { .. } | Stage::Closing)
    }
    /// Connections end behind their next answer.
    pub fn parts(self) -> bool {
        matches!(self, Stage::Drained | Stage::Succeeded { .. } | Stage::Closing)
    }
    /// Connections end as soon as nothing is open on them.
    pub fn parts_idle(self) -> bool {
        matches!(self, Stage::Drained | Stage::Closing)
    }
    /// SIGTERM has come.
    pub fn stops(self) -> bool {
        matches!(self, Stage::Stopping | Stage::Succeeded { .. } | Stage::Closing)
    }
    /// New queries are taken.
    pub fn takes(self) -> bool {
        self != Stage::Closing
    }
    /// In words, for whoever asks.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Serving => "serving",
            Stage::Draining | Stage::Drained => "drained",
            Stage::Stopping | Stage::Succeeded { .. } | Stage::Closing => "stopping",
        }
    }
}

/// What may happen to a gatherer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// An operator has it drained.
    Drain,
    /// An operator has it take clients again.
    Resume,
    /// SIGTERM or SIGINT has come.
    Stop,
    /// It has come, and a successor serves.
    Succeed,
}

/// Why a call changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Nothing leads back from SIGTERM.
    #[error("this process is stopping")]
    Stopping,
}

/// The stages of one gatherer, moved on by calls and by time. The same call twice is the same as once: a second drain
/// does not begin the first anew, and SIGTERM during a drain has the stop's own times.
#[derive(Clone, Debug)]
pub struct Stages {
    stage: Stage,
    since: Time,
}

impl Stages {
    /// It serves.
    pub fn new(now: Time) -> Stages {
        Stages { stage: Stage::Serving, since: now }
    }
    /// Where it is.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Takes a call.
    pub fn call(&mut self, now: Time, call: Call) -> Result<(), Refused> {
        self.pass(now);
        let next = match (call, self.stage) {
            // A successor that serves only now still takes over what comes; the end is due when it was.
            (Call::Succeed, Stage::Stopping) => {
                self.stage = Stage::Succeeded { drained: false };
                return Ok(());
            }
            (Call::Stop | Call::Succeed, stage) if stage.stops() => return Ok(()),
            (_, stage) if stage.stops() => return Err(Refused::Stopping),
            (Call::Drain, Stage::Serving) => Stage::Draining,
            (Call::Drain, _) => return Ok(()),
            (Call::Resume, _) => Stage::Serving,
            (Call::Stop, _) => Stage::Stopping,
            (Call::Succeed, stage) => Stage::Succeeded { drained: stage != Stage::Serving },
        };
        (self.stage, self.since) = (next, now);
        Ok(())
    }

    /// When time alone leads on.
    pub fn due(&self) -> Option<Time> {
        match self.stage {
            Stage::Draining | Stage::Stopping | Stage::Succeeded { .. } => Some(self.since.after(LINGER)),
            Stage::Serving | Stage::Drained | Stage::Closing => None,
        }
    }

    /// Lets time lead on; true if it did.
    pub fn pass(&mut self, now: Time) -> bool {
        let next = match (self.due(), self.stage) {
            (Some(due), Stage::Draining) if due <= now => Stage::Drained,
            (Some(due), Stage::Stopping | Stage::Succeeded { .. }) if due <= now => Stage::Closing,
            _ => return false,
        };
        (self.stage, self.since) = (next, now);
        true
    }
}

#[cfg(test)]
mod tests;
