//! The two processes of a hot restart, as one of them sees it: whether another one may join, how many share the
//! gatherer's limits, and what SIGTERM means. It owns that knowledge only; the messages between the two and their sockets
//! are the callers'.

use super::lifecycle::LifecycleRequest;

/// The state of the gatherer's other process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PeerState {
    /// There is no other process.
    #[default]
    None,
    /// It has started and serves nobody yet.
    Joining,
    /// It serves.
    Serving,
    /// It has received SIGTERM.
    Stopping,
}

/// What one process of a gatherer knows of the other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Takeover {
    predecessor: PeerState,
    successor: PeerState,
    is_serving: bool,
}

/// Why a further process may not join now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("another upgrade is under way")]
pub struct TakeoverInProgress;

impl Takeover {
    /// Another process hands over to this one.
    pub fn begin_as_successor(&mut self) {
        self.predecessor = PeerState::Serving;
    }
    /// The predecessor has exited.
    pub fn on_predecessor_exited(&mut self) {
        self.predecessor = PeerState::None;
    }
    /// This process begins to accept clients.
    pub fn start_serving(&mut self) {
        self.is_serving = true;
    }
    /// Whether this process accepts clients.
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }
    /// Whether another process still hands over to this one.
    pub fn has_predecessor(&self) -> bool {
        self.predecessor != PeerState::None
    }
    /// A further process has started and asks to join.
    ///
    /// # Errors
    /// [`TakeoverInProgress`] where this process does not serve yet or there is another one already: a third would share
    /// limits that are halved as it is.
    pub fn admit_successor(&mut self) -> Result<(), TakeoverInProgress> {
        if !self.is_serving || self.predecessor != PeerState::None || self.successor != PeerState::None {
            return Err(TakeoverInProgress);
        }
        self.successor = PeerState::Joining;
        Ok(())
    }
    /// The other process has received SIGTERM, so the gatherer does not continue in that one.
    pub fn on_peer_stopping(&mut self) {
        for peer in [&mut self.predecessor, &mut self.successor] {
            if *peer != PeerState::None {
                *peer = PeerState::Stopping;
            }
        }
    }
    /// The successor accepts clients.
    pub fn on_successor_serving(&mut self) {
        if self.successor == PeerState::Joining {
            self.successor = PeerState::Serving;
        }
    }
    /// The successor has exited; this process continues alone.
    pub fn on_successor_exited(&mut self) {
        self.successor = PeerState::None;
    }
    /// The number of processes that share the gatherer's limits.
    pub fn process_count(&self) -> u32 {
        1 + u32::from(self.predecessor != PeerState::None) + u32::from(self.successor != PeerState::None)
    }
    /// What SIGTERM means now: the end of the gatherer, or that it continues in the other process.
    pub fn on_stop_signal(&self) -> LifecycleRequest {
        let continues_in_peer = [self.predecessor, self.successor].contains(&PeerState::Serving);
        if continues_in_peer { LifecycleRequest::HandOver } else { LifecycleRequest::Stop }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn sigterm_hands_over_only_to_a_serving_process_and_a_failed_upgrade_changes_nothing() {
        let (mut first, mut second) = (Takeover::default(), Takeover::default());
        assert_eq!(first.admit_successor(), Err(TakeoverInProgress), "it does not serve itself yet");
        first.start_serving();
        assert_eq!(first.admit_successor(), Ok(()));
        second.begin_as_successor();
        assert_eq!((first.process_count(), second.process_count()), (2, 2));
        assert_eq!(first.admit_successor(), Err(TakeoverInProgress), "a third start while two run");
        // SIGTERM before the successor serves ends the gatherer; a successor that exits changes nothing.
        assert_eq!(first.on_stop_signal(), LifecycleRequest::Stop);
        first.on_successor_exited();
        assert_eq!(
            (first.process_count(), first.on_stop_signal(), first.admit_successor()),
            (1, LifecycleRequest::Stop, Ok(()))
        );
        // SIGTERM may go to the second instead: the gatherer continues in the first.
        assert_eq!(second.on_stop_signal(), LifecycleRequest::HandOver);
        second.start_serving();
        first.on_successor_serving();
        let (mut both, mut other) = (first.clone(), second.clone());
        both.on_peer_stopping();
        other.on_peer_stopping();
        assert_eq!(
            (both.on_stop_signal(), other.on_stop_signal()),
            (LifecycleRequest::Stop, LifecycleRequest::Stop),
            "neither continues"
        );
        assert_eq!(first.on_stop_signal(), LifecycleRequest::HandOver);
        assert_eq!(second.admit_successor(), Err(TakeoverInProgress), "the first has not exited");
        second.on_predecessor_exited();
        assert_eq!((second.process_count(), second.admit_successor()), (1, Ok(())));
    }

    proptest! {
        #[test]
        fn at_most_two_processes_share_a_gatherer(steps in prop::collection::vec(0..7_u8, 1..60)) {
            let mut takeover = Takeover::default();
            for step in steps {
                let before = takeover.clone();
                match step {
                    0 if before == Takeover::default() => takeover.begin_as_successor(),
                    1 => takeover.on_predecessor_exited(),
                    2 => takeover.start_serving(),
                    3 => drop(takeover.admit_successor()),
                    4 => takeover.on_successor_serving(),
                    5 => takeover.on_successor_exited(),
                    6 => takeover.on_peer_stopping(),
                    _ => {}
                }
                prop_assert!((1..=2).contains(&takeover.process_count()));
                prop_assert!(takeover.on_stop_signal() == LifecycleRequest::Stop || takeover.process_count() == 2);
            }
        }
    }
}
