//! The membership status for the operators' API, as JSON.

use crate::membership::{KnownMember, Node, ObservedState};
use crate::policy::Time;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The status of one member. Operators' tools read the JSON names, so these stay when Rust names change.
#[derive(Serialize)]
struct MemberStatus {
    name: String,
    zone: String,
    address: SocketAddr,
    /// The start of the process in Unix nanoseconds, which distinguishes processes of the same name.
    start: u64,
    incarnation: u32,
    state: ObservedState,
    #[serde(rename = "since_s")]
    state_age_s: f64,
    #[serde(rename = "heard_s")]
    last_message_age_s: Option<f64>,
}

/// The status of membership in one process. Operators' tools read the JSON names, so these stay when Rust names change.
#[derive(Serialize)]
struct MembershipStatus {
    #[serde(rename = "gatherers")]
    fleet_size: u32,
    #[serde(rename = "alone")]
    is_isolated: bool,
    own: MemberStatus,
    members: Vec<MemberStatus>,
    #[serde(rename = "refused")]
    discarded: BTreeMap<String, u64>,
}

impl MemberStatus {
    fn from_known_member(member: &KnownMember, now: Time) -> MemberStatus {
        MemberStatus {
            name: member.update.name.clone(),
            zone: member.update.zone.clone(),
            address: member.update.address,
            start: member.update.start,
            incarnation: member.update.incarnation,
            state: member.state(),
            state_age_s: now.since(member.state_since).as_secs_f64(),
            last_message_age_s: member.last_message_at.map(|at| now.since(at).as_secs_f64()),
        }
    }

    fn from_own_node(node: &Node, now: Time) -> MemberStatus {
        let own = node.own();
        MemberStatus {
            name: own.name.clone(),
            zone: own.zone.clone(),
            address: own.address,
            start: own.start,
            incarnation: own.incarnation,
            state: ObservedState::Alive,
            state_age_s: now.0.saturating_sub(own.start) as f64 / 1e9,
            last_message_age_s: None,
        }
    }
}

/// Returns the status of this process and of all known members, with the number of discarded messages by reason.
pub(super) fn json(node: &Node, now: Time, discarded: &BTreeMap<String, u64>) -> String {
    let membership = MembershipStatus {
        fleet_size: node.gatherers(now),
        is_isolated: node.is_isolated(now),
        own: MemberStatus::from_own_node(node, now),
        members: node.table().iter().map(|member| MemberStatus::from_known_member(member, now)).collect(),
        discarded: discarded.clone(),
    };
    // Serialising plain structs and maps with string keys cannot fail.
    serde_json::to_string(&membership).unwrap_or_default()
}
