//! The two processes of an upgrade, as one of them sees it: who may join, what each may use, what SIGTERM means.

use super::stage::Call;

/// Where the other process is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Other {
    /// There is none.
    #[default]
    None,
    /// It has begun, and serves nobody yet.
    Joining,
    /// It serves.
    Serving,
    /// It has been told to stop.
    Stopping,
}

/// What one process of a gatherer knows of the other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Succession {
    predecessor: Other,
    successor: Other,
    serving: bool,
}

/// Why a further start has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("another upgrade is under way")]
pub struct Busy;

impl Succession {
    /// Another process hands over to this one.
    pub fn inherits(&mut self) {
        self.predecessor = Other::Serving;
    }
    /// That one has ended.
    pub fn predecessor_gone(&mut self) {
        self.predecessor = Other::None;
    }
    /// This one takes clients.
    pub fn serves(&mut self) {
        self.serving = true;
    }
    /// Whether it does.
    pub fn serving(&self) -> bool {
        self.serving
    }
    /// Whether another process still hands over to this one.
    pub fn succeeds(&self) -> bool {
        self.predecessor != Other::None
    }
    /// A further process has started. One at a time: a third would share limits that are halved already.
    pub fn join(&mut self) -> Result<(), Busy> {
        if !self.serving || self.predecessor != Other::None || self.successor != Other::None {
            return Err(Busy);
        }
        self.successor = Other::Joining;
        Ok(())
    }
    /// The other process has been told to stop: the gatherer does not go on in that one.
    pub fn other_stops(&mut self) {
        for other in [&mut self.predecessor, &mut self.successor] {
            if *other != Other::None {
                *other = Other::Stopping;
            }
        }
    }
    /// The successor takes clients.
    pub fn successor_serves(&mut self) {
        if self.successor == Other::Joining {
            self.successor = Other::Serving;
        }
    }
    /// The successor has ended; this one goes on alone.
    pub fn successor_gone(&mut self) {
        self.successor = Other::None;
    }
    /// Processes that share what the gatherer may use.
    pub fn processes(&self) -> u32 {
        1 + u32::from(self.predecessor != Other::None) + u32::from(self.successor != Other::None)
    }
    /// What SIGTERM means now: the end, or that the gatherer goes on in the other process.
    pub fn stop(&self) -> Call {
        let goes_on = [self.predecessor, self.successor].contains(&Other::Serving);
        if goes_on { Call::Succeed } else { Call::Stop }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn an_upgrade_goes_on_in_the_successor_and_one_that_fails_changes_nothing() {
        let (mut first, mut second) = (Succession::default(), Succession::default());
        assert_eq!(first.join(), Err(Busy), "it does not serve itself yet");
        first.serves();
        assert_eq!(first.join(), Ok(()));
        second.inherits();
        assert_eq!((first.processes(), second.processes()), (2, 2));
        assert_eq!(first.join(), Err(Busy), "a third start while two run");
        // SIGTERM before the yes is an end like any other; a successor that died leaves no trace.
        assert_eq!(first.stop(), Call::Stop);
        first.successor_gone();
        assert_eq!((first.processes(), first.stop(), first.join()), (1, Call::Stop, Ok(())));
        // The second may be told to stop instead: the first goes on.
        assert_eq!(second.stop(), Call::Succeed);
        second.serves();
        first.successor_serves();
        let (mut both, mut other) = (first.clone(), second.clone());
        both.other_stops();
        other.other_stops();
        assert_eq!((both.stop(), other.stop()), (Call::Stop, Call::Stop), "nobody goes on");
        assert_eq!(first.stop(), Call::Succeed);
        assert_eq!(second.join(), Err(Busy), "the first has not ended");
        second.predecessor_gone();
        assert_eq!((second.processes(), second.join()), (1, Ok(())));
    }

    proptest! {
        #[test]
        fn no_more_than_two_processes_ever_share(steps in prop::collection::vec(0..7_u8, 1..60)) {
            let mut one = Succession::default();
            for step in steps {
                let before = one.clone();
                match step {
                    0 if before == Succession::default() => one.inherits(),
                    1 => one.predecessor_gone(),
                    2 => one.serves(),
                    3 => drop(one.join()),
                    4 => one.successor_serves(),
                    5 => one.successor_gone(),
                    6 => one.other_stops(),
                    _ => {}
                }
                prop_assert!((1..=2).contains(&one.processes()));
                prop_assert!(one.stop() == Call::Stop || one.processes() == 2);
            }
        }
    }
}
