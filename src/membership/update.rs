//! What is said about members, and which of two claims holds.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name, and the longest name of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes that all claims of a message may take, the sender's own among them: a datagram of 1,200 less seal and head.
pub const MAX_UPDATES_BYTES: usize = 1160;
/// Bytes of a claim beside its texts, at most.
const FIXED: usize = 40;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It is there.
    Alive,
    /// It stops, and another process of the same name takes over.
    HandingOver,
    /// It has not answered somebody.
    Suspect,
    /// It died, as far as silence tells.
    Failed,
    /// It died: its machine refuses connections to it.
    Dead,
    /// It said that it leaves.
    Left,
}

impl MemberState {
    /// It takes its share of the traffic, as far as is known.
    pub fn present(self) -> bool {
        self < MemberState::Failed
    }
}

/// What somebody says about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Its name, which stays.
    pub name: String,
    /// Its process: the time of its start in Unix nanoseconds, or later.
    pub start: u64,
    /// Raised by the member itself, to answer a claim about it.
    pub incarnation: u32,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How it stands.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Whether this one holds against the other, about the same name. A later start makes all claims about earlier ones
    /// void; of one start, what it says last is its own end; then the higher incarnation, then the worse standing.
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        let rank = |claim: &MemberUpdate| {
            let last = claim.state == MemberState::Left;
            (claim.start, last, claim.incarnation, claim.state)
        };
        rank(self) > rank(other)
    }

    /// Whether it may be taken at all.
    pub fn is_valid(&self) -> bool {
        let named = |text: &str| text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
        !self.name.is_empty() && named(&self.name) && named(&self.zone) && self.address.port() != 0
    }

    /// The same with another standing.
    pub fn with_state(&self, standing: MemberState) -> MemberUpdate {
        MemberUpdate { state: standing, ..self.clone() }
    }

    /// Bytes that it takes in a message, at most.
    pub fn max_encoded_bytes(&self) -> usize {
        self.name.len() + self.zone.len() + FIXED
    }
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks for an [`MessageKind::Ack`] of this number. `hears` is whether the sender has lately heard the receiver itself.
    Ping {
        /// The number of the question.
        number: u32,
        /// Whether it has.
        hears: bool,
    },
    /// Answers it.
    Ack {
        /// The number of the question.
        number: u32,
    },
    /// Asks the receiver to ask a third.
    SearchRequest {
        /// The number of the sender's question.
        number: u32,
        /// Whom.
        target: String,
    },
    /// The third has answered the receiver's helper.
    IndirectAck {
        /// The number of the question that was helped with.
        number: u32,
        /// What the third said of itself.
        update: MemberUpdate,
    },
    /// News alone.
    Gossip,
    /// A whole table, over a connection; to be answered in kind.
    Table,
}

/// What one member sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it, in its own words.
    pub from: MemberUpdate,
    /// What for.
    pub kind: MessageKind,
    /// News.
    pub updates: Vec<MemberUpdate>,
}

impl Message {
    /// Bytes that its claims take, at most.
    pub fn max_encoded_bytes(&self) -> usize {
        let relayed = match &self.kind {
            MessageKind::IndirectAck { update: claim, .. } => claim.max_encoded_bytes(),
            MessageKind::SearchRequest { target, .. } => target.len(),
            _ => 0,
        };
        self.from.max_encoded_bytes()
            + relayed
            + self.updates.iter().map(MemberUpdate::max_encoded_bytes).sum::<usize>()
    }
    /// Whether it may be taken at all.
    pub fn is_valid(&self) -> bool {
        let relayed = match &self.kind {
            MessageKind::IndirectAck { update: claim, .. } => claim.is_valid(),
            _ => true,
        };
        self.from.is_valid() && relayed && self.updates.iter().all(MemberUpdate::is_valid)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn claim((start, incarnation, standing): (u64, u32, u8)) -> MemberUpdate {
        use MemberState::*;
        let standing = [Alive, HandingOver, Suspect, Failed, Dead, Left][usize::from(standing % 6)];
        let (name, zone, address) = ("g1".to_owned(), String::new(), ([127, 0, 0, 1], 9).into());
        MemberUpdate { name, start, incarnation, address, zone, state: standing }
    }

    proptest! {
        #[test]
        fn of_two_different_claims_just_one_holds_and_the_order_is_one(
            a in (0..3_u64, 0..3_u32, 0..6_u8), b in (0..3_u64, 0..3_u32, 0..6_u8), c in (0..3_u64, 0..3_u32, 0..6_u8),
        ) {
            let (a, b, c) = (claim(a), claim(b), claim(c));
            let same = (a.start, a.state) == (b.start, b.state)
                && (a.incarnation == b.incarnation);
            prop_assert_eq!(!same, a.supersedes(&b) != b.supersedes(&a));
            prop_assert!(!(a.supersedes(&b) && b.supersedes(&c)) || a.supersedes(&c));
            // A process that has said that it leaves is not brought back but by a later one.
            if a.state == MemberState::Left && b.supersedes(&a) {
                prop_assert!(b.start > a.start || b.state == MemberState::Left);
            }
        }
    }
}
