//! The two processes of a hot restart, as one of them sees it: whether another one may join, how many share the
//! gatherer's limits, and what SIGTERM means. It owns that knowledge only; the messages between the two and their
//! sockets are the callers'.

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
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }
    /// Whether another process still hands over to this one.
    #[must_use]
    pub fn has_predecessor(&self) -> bool {
        self.predecessor != PeerState::None
    }
    /// A further process has started and asks to join.
    ///
    /// # Errors
    /// [`TakeoverInProgress`] where this process does not serve yet or there is another one already: a third would
    /// share limits that are halved as it is.
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
    #[must_use]
    pub fn process_count(&self) -> u32 {
        1 + u32::from(self.predecessor != PeerState::None) + u32::from(self.successor != PeerState::None)
    }
    /// What SIGTERM means now: the end of the gatherer, or that it continues in the other process.
    #[must_use]
    pub fn stop_signal_request(&self) -> LifecycleRequest {
        let continues_in_peer = [self.predecessor, self.successor].contains(&PeerState::Serving);
        if continues_in_peer { LifecycleRequest::HandOver } else { LifecycleRequest::Stop }
    }
}

#[cfg(test)]
mod tests;
