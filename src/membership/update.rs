//! The messages that members exchange and the updates in them: their types, their validation, and which of two
//! updates about the same member supersedes the other.
//!
//! Enum variants and struct fields are encoded by position (postcard), not by name: their order is part of the wire
//! format, their names are not. This module keeps no state and does no I/O.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum length of a member's name and of a zone's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The maximum total size of a message's updates, including the sender's own, in bytes: a datagram of 1,200 bytes,
/// less the header, the authentication tag and the message's other fields.
pub const MAX_UPDATES_BYTES: usize = 1160;
/// The maximum encoded size of an update without its name and zone, in bytes.
const FIXED_UPDATE_BYTES: usize = 40;

/// The state of a member as members report it to each other. Within one incarnation, a later variant takes
/// precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is running.
    Alive,
    /// The process stops, and another process takes over under the same name.
    HandingOver,
    /// The member did not answer the probes of at least one other member.
    Suspect,
    /// The member did not refute its suspicion in time: it died, or is partitioned from the others.
    Failed,
    /// The process is dead: its machine refuses connections to it.
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether a member in this state is counted as taking its share of the traffic.
    #[must_use]
    pub fn is_present(self) -> bool {
        self < MemberState::Failed
    }
}

/// A report about a member, by the member itself or by another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name, which stays the same across restarts.
    pub name: String,
    /// Identifies the process: its start time in Unix nanoseconds, or a later value if the member had to reclaim its
    /// name.
    pub start: u64,
    /// The version of the member's reports within one start; the member increments it to refute an update.
    pub incarnation: u32,
    /// The address at which the member receives datagrams and connections.
    pub address: SocketAddr,
    /// The member's zone.
    pub zone: String,
    /// The reported state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Whether this update supersedes another one about the same name. The later start wins. Within one start, a
    /// leave is final; otherwise the higher incarnation wins, then the later [`MemberState`].
    #[must_use]
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        let rank = |update: &MemberUpdate| {
            let is_final = update.state == MemberState::Left;
            (update.start, is_final, update.incarnation, update.state)
        };
        rank(self) > rank(other)
    }

    /// Whether the update is well-formed: a non-empty name, name and zone of at most [`MAX_NAME_BYTES`] and without
    /// control characters, and a port other than 0.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let valid_name = |text: &str| text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
        !self.name.is_empty() && valid_name(&self.name) && valid_name(&self.zone) && self.address.port() != 0
    }

    /// A copy of the update with another state.
    #[must_use]
    pub fn with_state(&self, state: MemberState) -> MemberUpdate {
        MemberUpdate { state, ..self.clone() }
    }

    /// An upper bound of the update's encoded size, in bytes.
    #[must_use]
    pub fn max_encoded_bytes(&self) -> usize {
        self.name.len() + self.zone.len() + FIXED_UPDATE_BYTES
    }
}

/// The kind of a message, with its payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// A probe; the receiver answers with a [`MessageKind::Ack`] of the same number.
    Ping {
        /// The number of the probe.
        number: u32,
        /// Whether the receiver's messages reach the sender directly; false while the receiver answers only the
        /// sender's indirect probes.
        receives_peer: bool,
    },
    /// The answer to a probe.
    Ack {
        /// The number of the probe.
        number: u32,
    },
    /// A request to probe a third member on the sender's behalf (an indirect probe).
    PingRequest {
        /// The number of the sender's probe.
        number: u32,
        /// The name of the member to probe.
        target: String,
    },
    /// The report that the third member answered an indirect probe.
    IndirectAck {
        /// The number of the probe in the [`MessageKind::PingRequest`].
        number: u32,
        /// The third member's update about itself.
        update: MemberUpdate,
    },
    /// Updates only.
    Gossip,
    /// A whole member table, sent over a connection; the receiver returns its own.
    Table,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's update about itself.
    pub from: MemberUpdate,
    /// The kind, with its payload.
    pub kind: MessageKind,
    /// Updates about other members.
    pub updates: Vec<MemberUpdate>,
}

impl Message {
    /// An upper bound of the encoded size of the message's updates and of the name in a ping request, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        let kind = match &self.kind {
            MessageKind::IndirectAck { update, .. } => update.max_encoded_bytes(),
            MessageKind::PingRequest { target, .. } => target.len(),
            _ => 0,
        };
        let updates: usize = self.updates.iter().map(MemberUpdate::max_encoded_bytes).sum();
        self.from.max_encoded_bytes() + kind + updates
    }

    /// Whether all updates in the message are well-formed.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let valid_kind = match &self.kind {
            MessageKind::IndirectAck { update, .. } => update.is_valid(),
            _ => true,
        };
        self.from.is_valid() && valid_kind && self.updates.iter().all(MemberUpdate::is_valid)
    }
}

#[cfg(test)]
mod tests;
