//! Where a gatherer is in its life, and what leads on: operators' calls, SIGTERM, a successor, time.

use crate::api::Time;
use std::time::Duration;

/// After the first no to health, the time in which the front layer still sends clients here, and more.
pub const LINGER: Duration = Duration::from_millis(600);
/// After SIGTERM the end is due no sooner than this after [`LINGER`], or than the longest deadline where that is longer.
pub const LEAST_GRACE: Duration = Duration::from_secs(3);

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
    /// The longest deadline of any class.
    longest: Duration,
}

impl Stages {
    /// It serves.
    pub fn new(now: Time, longest: Duration) -> Stages {
        Stages { stage: Stage::Serving, since: now, longest }
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
            Stage::Draining | Stage::Succeeded { .. } => Some(self.since.after(LINGER)),
            // Where deadlines are short, clients keep the connections they have for longer: another gatherer may be down.
            Stage::Stopping => Some(self.since.after(LINGER + LEAST_GRACE.saturating_sub(self.longest))),
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: u64 = 1_000_000;

    #[test]
    fn a_drain_lingers_then_parts_and_resume_leads_back_at_once() {
        let mut stages = Stages::new(Time(0), Duration::from_secs(6));
        assert_eq!(stages.call(Time(0), Call::Drain), Ok(()));
        // Guards against a second call that begins the linger anew: the 4 s count from the first.
        assert_eq!(stages.call(Time(500 * MS), Call::Drain), Ok(()));
        assert_eq!((stages.stage(), stages.due()), (Stage::Draining, Some(Time(600 * MS))));
        assert!(!stages.pass(Time(599 * MS)) && stages.pass(Time(600 * MS)));
        assert!(stages.stage().parts() && stages.stage().takes());
        assert_eq!(stages.call(Time(5000 * MS), Call::Resume), Ok(()));
        assert_eq!((stages.stage(), stages.due()), (Stage::Serving, None));
    }

    #[test]
    fn sigterm_has_its_own_times_also_during_a_drain() {
        for (longest, due) in [(6, 600), (1, 2600)] {
            let mut stages = Stages::new(Time(0), Duration::from_secs(longest));
            assert_eq!(stages.call(Time(0), Call::Drain), Ok(()));
            assert_eq!(stages.call(Time(1000 * MS), Call::Stop), Ok(()));
            assert_eq!(stages.due(), Some(Time((1000 + due) * MS)));
            assert!(stages.pass(Time(4000 * MS)) && stages.stage() == Stage::Closing);
        }
    }

    #[test]
    fn a_gatherer_that_is_succeeded_stays_healthy_and_lets_nobody_in() {
        let mut stages = Stages::new(Time(0), Duration::from_secs(6));
        assert_eq!(stages.call(Time(0), Call::Stop), Ok(()));
        assert!(!stages.stage().healthy() && stages.stage().accepts());
        assert_eq!(stages.call(Time(400 * MS), Call::Succeed), Ok(()));
        let stage = stages.stage();
        assert!(stage.healthy() && !stage.accepts() && stage.parts() && !stage.parts_idle() && stage.takes());
        assert_eq!(stages.due(), Some(Time(600 * MS)));
        assert!(stages.pass(Time(600 * MS)) && !stages.stage().takes());
        // One that is drained does not become healthy by that.
        let mut stages = Stages::new(Time(0), Duration::from_secs(6));
        assert_eq!(stages.call(Time(0), Call::Drain), Ok(()));
        assert_eq!(stages.call(Time(0), Call::Succeed), Ok(()));
        assert!(!stages.stage().healthy() && !stages.stage().accepts());
    }

    proptest! {
        #[test]
        fn nothing_leads_back_from_sigterm(calls in prop::collection::vec((0..4_u8, 0..2000_u64), 1..40)) {
            let (mut stages, mut now, mut stopped) = (Stages::new(Time(0), Duration::from_secs(6)), 0, false);
            for (call, gap) in calls {
                now += gap * MS;
                let call = [Call::Drain, Call::Resume, Call::Stop, Call::Succeed][usize::from(call)];
                let done = stages.call(Time(now), call);
                let stops = matches!(call, Call::Stop | Call::Succeed);
                prop_assert_eq!(done.is_err(), stopped && !stops);
                stopped |= stops;
                prop_assert_eq!(stopped, stages.stage().stops());
                prop_assert_eq!(stages.stage() == Stage::Serving, !stopped && call == Call::Resume);
            }
        }
    }
}
