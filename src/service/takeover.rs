//! The two processes of an upgrade, as one of them sees it: who may join, what each may use, what SIGTERM means.

use super::lifecycle::LifecycleRequest;

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
pub struct Takeover {
    predecessor: Other,
    successor: Other,
    serving: bool,
}

/// Why a further start has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("another upgrade is under way")]
pub struct TakeoverInProgress;

impl Takeover {
    /// Another process hands over to this one.
    pub fn begin_as_successor(&mut self) {
        self.predecessor = Other::Serving;
    }
    /// That one has ended.
    pub fn on_predecessor_exited(&mut self) {
        self.predecessor = Other::None;
    }
    /// This one takes clients.
    pub fn start_serving(&mut self) {
        self.serving = true;
    }
    /// Whether it does.
    pub fn is_serving(&self) -> bool {
        self.serving
    }
    /// Whether another process still hands over to this one.
    pub fn has_predecessor(&self) -> bool {
        self.predecessor != Other::None
    }
    /// A further process has started. One at a time: a third would share limits that are halved already.
    pub fn admit_successor(&mut self) -> Result<(), TakeoverInProgress> {
        if !self.serving || self.predecessor != Other::None || self.successor != Other::None {
            return Err(TakeoverInProgress);
        }
        self.successor = Other::Joining;
        Ok(())
    }
    /// The other process has been told to stop: the gatherer does not go on in that one.
    pub fn on_peer_stopping(&mut self) {
        for other in [&mut self.predecessor, &mut self.successor] {
            if *other != Other::None {
                *other = Other::Stopping;
            }
        }
    }
    /// The successor takes clients.
    pub fn on_successor_serving(&mut self) {
        if self.successor == Other::Joining {
            self.successor = Other::Serving;
        }
    }
    /// The successor has ended; this one goes on alone.
    pub fn on_successor_exited(&mut self) {
        self.successor = Other::None;
    }
    /// Processes that share what the gatherer may use.
    pub fn process_count(&self) -> u32 {
        1 + u32::from(self.predecessor != Other::None) + u32::from(self.successor != Other::None)
    }
    /// What SIGTERM means now: the end, or that the gatherer goes on in the other process.
    pub fn on_stop_signal(&self) -> LifecycleRequest {
        let goes_on = [self.predecessor, self.successor].contains(&Other::Serving);
        if goes_on { LifecycleRequest::HandOver } else { LifecycleRequest::Stop }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn an_upgrade_goes_on_in_the_successor_and_one_that_fails_changes_nothing() {
        let (mut first, mut second) = (Takeover::default(), Takeover::default());
        assert_eq!(first.admit_successor(), Err(TakeoverInProgress), "it does not serve itself yet");
        first.start_serving();
        assert_eq!(first.admit_successor(), Ok(()));
        second.begin_as_successor();
        assert_eq!((first.process_count(), second.process_count()), (2, 2));
        assert_eq!(first.admit_successor(), Err(TakeoverInProgress), "a third start while two run");
        // SIGTERM before the yes is an end like any other; a successor that died leaves no trace.
        assert_eq!(first.on_stop_signal(), LifecycleRequest::Stop);
        first.on_successor_exited();
        assert_eq!(
            (first.process_count(), first.on_stop_signal(), first.admit_successor()),
            (1, LifecycleRequest::Stop, Ok(()))
        );
        // The second may be told to stop instead: the first goes on.
        assert_eq!(second.on_stop_signal(), LifecycleRequest::HandOver);
        second.start_serving();
        first.on_successor_serving();
        let (mut both, mut other) = (first.clone(), second.clone());
        both.on_peer_stopping();
        other.on_peer_stopping();
        assert_eq!(
            (both.on_stop_signal(), other.on_stop_signal()),
            (LifecycleRequest::Stop, LifecycleRequest::Stop),
            "nobody goes on"
        );
        assert_eq!(first.on_stop_signal(), LifecycleRequest::HandOver);
        assert_eq!(second.admit_successor(), Err(TakeoverInProgress), "the first has not ended");
        second.on_predecessor_exited();
        assert_eq!((second.process_count(), second.admit_successor()), (1, Ok(())));
    }

    proptest! {
        #[test]
        fn no_more_than_two_processes_ever_share(steps in prop::collection::vec(0..7_u8, 1..60)) {
            let mut one = Takeover::default();
            for step in steps {
                let before = one.clone();
                match step {
                    0 if before == Takeover::default() => one.begin_as_successor(),
                    1 => one.on_predecessor_exited(),
                    2 => one.start_serving(),
                    3 => drop(one.admit_successor()),
                    4 => one.on_successor_serving(),
                    5 => one.on_successor_exited(),
                    6 => one.on_peer_stopping(),
                    _ => {}
                }
                prop_assert!((1..=2).contains(&one.process_count()));
                prop_assert!(one.on_stop_signal() == LifecycleRequest::Stop || one.process_count() == 2);
            }
        }
    }
}
