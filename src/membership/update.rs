//! The messages that members exchange and the updates in them: the form of both, which of two updates about the same member
//! supersedes the other, and which of them are valid.
//!
//! The enums' variants and the structs' fields are encoded by position (postcard), not by name: their order is part of the
//! wire form, their names are not. This module keeps no state and does no I/O.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a member, and the longest name of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The most bytes that all updates of a message may take, the sender's own among them: a datagram of 1,200 bytes, less the
/// seal and the header.
pub const MAX_UPDATES_BYTES: usize = 1160;
/// The most bytes of an encoded update beside its two texts.
const FIXED_UPDATE_BYTES: usize = 40;

/// The state of a member as members report it to each other. The order is that of precedence within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is running.
    Alive,
    /// The process stops, and another process takes over under the same name.
    HandingOver,
    /// The member has not answered some other member's probe.
    Suspect,
    /// The member was declared dead because it did not answer in time; a network partition looks the same.
    Failed,
    /// The process is gone for certain: its machine refuses connections to it.
    Dead,
    /// The member announced its end.
    Left,
}

impl MemberState {
    /// Whether a member in this state takes its share of the traffic, as far as is known.
    #[must_use]
    pub fn is_present(self) -> bool {
        self < MemberState::Failed
    }
}

/// What one member reports about a member, itself or another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name, which stays the same across restarts.
    pub name: String,
    /// Identifies the process: its start time in Unix nanoseconds, or a later value if the member had to take its name back.
    pub start: u64,
    /// Raised by the member itself to refute an update about it.
    pub incarnation: u32,
    /// The address at which the member receives datagrams and connections.
    pub address: SocketAddr,
    /// The member's zone.
    pub zone: String,
    /// The reported state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Whether this update supersedes another one about the same name. A later start voids all updates about earlier ones.
    /// Within one start, the member's own leave is final; then the higher incarnation wins, then the later state.
    #[must_use]
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        let rank = |update: &MemberUpdate| {
            let is_final = update.state == MemberState::Left;
            (update.start, is_final, update.incarnation, update.state)
        };
        rank(self) > rank(other)
    }

    /// Whether the update is well-formed: names within their limits and without control characters, and a usable port.
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

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// A probe; the receiver answers with a [`MessageKind::Ack`] of the same number.
    Ping {
        /// The number of the probe.
        number: u32,
        /// Whether messages from the receiver have lately reached the sender directly.
        receives_peer: bool,
    },
    /// The answer to a probe.
    Ack {
        /// The number of the probe.
        number: u32,
    },
    /// Requests that the receiver probe a third member on the sender's behalf (an indirect probe).
    PingRequest {
        /// The number of the sender's probe.
        number: u32,
        /// The name of the member to probe.
        target: String,
    },
    /// Reports that the third member answered an indirect probe.
    IndirectAck {
        /// The number of the probe in the [`MessageKind::PingRequest`].
        number: u32,
        /// What the third member reported about itself.
        update: MemberUpdate,
    },
    /// Carries updates only.
    Gossip,
    /// A whole member table, sent over a connection; the receiver returns its own.
    Table,
}

/// What one member sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender, as it reports itself.
    pub from: MemberUpdate,
    /// The purpose.
    pub kind: MessageKind,
    /// Updates about other members.
    pub updates: Vec<MemberUpdate>,
}

impl Message {
    /// An upper bound of the encoded size of the message's updates and texts, in bytes.
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
