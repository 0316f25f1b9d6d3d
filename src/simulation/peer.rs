//! The interface between the simulation and a membership protocol, which allows several protocols to run under
//! the same faults.

use crate::membership::{Command, ConnectionProbeResult, Message, Node, ObservedState};
use crate::policy::Time;
use std::net::SocketAddr;

/// The size of a datagram without its encoded updates, in bytes: the header with the authentication tag.
const DATAGRAM_OVERHEAD_BYTES: usize = 21;

/// The size of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageSize {
    /// The size of the datagram, in bytes.
    pub bytes: usize,
    /// The number of member updates in the message.
    pub updates: usize,
}

/// A member of a membership protocol that the simulation can run.
pub trait Peer {
    /// The protocol's message type.
    type Message: Clone;
    /// Runs all timers that are due.
    fn tick(&mut self, now: Time);
    /// The time of the next deadline, at which [`Peer::tick`] has to be called.
    fn next_due(&self) -> Time;
    /// Handles a datagram.
    fn receive(&mut self, now: Time, message: Self::Message);
    /// Handles the result of a connection probe.
    fn on_probe_result(&mut self, now: Time, name: &str, start: u64, result: ConnectionProbeResult);
    /// Builds the message with the whole table, for an exchange.
    fn table_message(&self) -> Self::Message;
    /// Handles the table of another member, received over a connection.
    fn receive_table(&mut self, now: Time, message: Self::Message);
    /// Returns the pending commands and clears them.
    fn take_commands(&mut self) -> Vec<Command<Self::Message>>;
    /// Announces that the member stops, and returns the last commands. With `handing_over`, another process of
    /// the same name takes over.
    fn leave(&mut self, handing_over: bool) -> Vec<Command<Self::Message>>;
    /// The start of the member's process.
    fn start(&self) -> u64;
    /// The state in which the member observes another; none for an unknown one.
    fn observed_state(&self, name: &str) -> Option<ObservedState>;
    /// The names of all other known members, with the states in which the member observes them.
    fn observed_states(&self) -> Vec<(String, ObservedState)>;
    /// The member's estimate of the number of gatherers.
    fn gatherers(&self, now: Time) -> u32;
    /// The size of a message.
    fn size(message: &Self::Message) -> MessageSize;
}

/// A function that starts a member's process.
pub type StartPeer<P> = Box<dyn Fn(PeerStart<'_>) -> P>;

/// The arguments with which a member's process is started.
#[derive(Clone, Copy, Debug)]
pub struct PeerStart<'a> {
    /// The start time.
    pub now: Time,
    /// The member's number.
    pub id: usize,
    /// The addresses of the seeds.
    pub seeds: &'a [SocketAddr],
    /// The number of gatherers in the settings.
    pub configured_gatherers: u32,
    /// The seed of the process's random numbers.
    pub random_seed: u64,
}

impl Peer for Node {
    type Message = Message;
    fn tick(&mut self, now: Time) {
        Node::tick(self, now);
    }
    fn next_due(&self) -> Time {
        Node::next_due(self)
    }
    fn receive(&mut self, now: Time, message: Message) {
        Node::receive(self, now, message);
    }
    fn on_probe_result(&mut self, now: Time, name: &str, start: u64, result: ConnectionProbeResult) {
        Node::on_probe_result(self, now, name, start, result);
    }
    fn table_message(&self) -> Message {
        Node::table_message(self)
    }
    fn receive_table(&mut self, now: Time, message: Message) {
        Node::receive_table(self, now, message);
    }
    fn take_commands(&mut self) -> Vec<Command> {
        Node::take_commands(self)
    }
    fn leave(&mut self, handing_over: bool) -> Vec<Command> {
        Node::leave(self, handing_over)
    }
    fn start(&self) -> u64 {
        self.own().start
    }
    fn observed_state(&self, name: &str) -> Option<ObservedState> {
        Some(self.table().get(name)?.state())
    }
    fn observed_states(&self) -> Vec<(String, ObservedState)> {
        self.table().iter().map(|member| (member.update.name.clone(), member.state())).collect()
    }
    fn gatherers(&self, now: Time) -> u32 {
        Node::gatherers(self, now)
    }
    fn size(message: &Message) -> MessageSize {
        let bytes = message.max_encoded_bytes() + DATAGRAM_OVERHEAD_BYTES;
        MessageSize { bytes, updates: message.updates.len() }
    }
}
