//! The state of a hot restart, as one of its two processes sees it: whether another process may join, how many
//! processes share the gatherer's limits, and whether SIGTERM hands over or ends the gatherer.
//!
//! The callers own the messages between the processes and their sockets.

use super::lifecycle::LifecycleRequest;

/// State of the gatherer's other process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PeerState {
    /// There is no other process.
    #[default]
    None,
    /// The other process has started and does not serve clients yet.
    Joining,
    /// The other process serves clients.
    Serving,
    /// The other process has received SIGTERM.
    Stopping,
}

/// State of a hot restart, as one process of the gatherer knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Takeover {
    predecessor: PeerState,
    successor: PeerState,
    is_serving: bool,
}

/// A further process may not join, because a hot restart is in progress or this process does not serve yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("another hot restart is in progress, or this process does not serve yet")]
pub struct TakeoverInProgress;

impl Takeover {
    /// Records that this process is the successor of one that serves.
    pub fn begin_as_successor(&mut self) {
        self.predecessor = PeerState::Serving;
    }
    /// Records that the predecessor has exited.
    pub fn on_predecessor_exited(&mut self) {
        self.predecessor = PeerState::None;
    }
    /// Records that this process serves clients from now on.
    pub fn start_serving(&mut self) {
        self.is_serving = true;
    }
    /// Returns whether this process serves clients.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }
    /// Returns whether this process has a predecessor that has not exited.
    #[must_use]
    pub fn has_predecessor(&self) -> bool {
        self.predecessor != PeerState::None
    }
    /// Admits a further process as the successor.
    ///
    /// # Errors
    /// [`TakeoverInProgress`] if this process does not serve yet or another one exists already: the limits are halved
    /// for two processes, and a third would have to share them too.
    pub fn admit_successor(&mut self) -> Result<(), TakeoverInProgress> {
        if !self.is_serving || self.predecessor != PeerState::None || self.successor != PeerState::None {
            return Err(TakeoverInProgress);
        }
        self.successor = PeerState::Joining;
        Ok(())
    }
    /// Records that the other process has received SIGTERM, so that it does not continue the gatherer.
    pub fn on_peer_stopping(&mut self) {
        for peer in [&mut self.predecessor, &mut self.successor] {
            if *peer != PeerState::None {
                *peer = PeerState::Stopping;
            }
        }
    }
    /// Records that the successor serves clients.
    pub fn on_successor_serving(&mut self) {
        if self.successor == PeerState::Joining {
            self.successor = PeerState::Serving;
        }
    }
    /// Records that the successor has exited and this process continues alone.
    pub fn on_successor_exited(&mut self) {
        self.successor = PeerState::None;
    }
    /// Returns the number of processes that share the gatherer's limits.
    #[must_use]
    pub fn process_count(&self) -> u32 {
        1 + u32::from(self.predecessor != PeerState::None) + u32::from(self.successor != PeerState::None)
    }
    /// Returns the lifecycle request that SIGTERM means now: hand over if the other process serves, else stop the
    /// gatherer.
    #[must_use]
    pub fn stop_signal_request(&self) -> LifecycleRequest {
        let continues_in_peer = [self.predecessor, self.successor].contains(&PeerState::Serving);
        if continues_in_peer { LifecycleRequest::HandOver } else { LifecycleRequest::Stop }
    }
}

#[cfg(test)]
mod tests;
