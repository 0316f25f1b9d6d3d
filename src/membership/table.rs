//! One member's bounded table of the others: the last update about each, and the reachability from here.
//!
//! The table decides which updates apply and which entries are evicted. Gossip, suspicion deadlines and notifications
//! are the node's.

use super::update::{MemberState, MemberUpdate};
use crate::policy::Time;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The reachability of a member from the local one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// Messages pass in both directions.
    #[default]
    Direct,
    /// The member answers other members' probes, but not the local member's: the two are partitioned from each other.
    Indirect,
    /// Messages from the member arrive here, but the local member's messages do not reach it.
    InboundOnly,
}

/// The table's entry for a member.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// The last update that was applied.
    pub update: MemberUpdate,
    /// The time at which the member entered the state in `update`.
    pub state_since: Time,
    /// The reachability from the local member.
    pub reachability: Reachability,
    /// The time of the last message that the member itself sent; none if no message has arrived from this process
    /// yet.
    pub last_message_at: Option<Time>,
}

/// A member's state as the local member observes it: the reported state, refined by the reachability.
///
/// Records, the operators' API and the log write the serialized names, which must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
// The key of the published record schema.
#[schemars(rename = "State")]
pub enum ObservedState {
    /// The member is reported by others; none of its own messages has arrived yet.
    Joining,
    /// The member is running.
    Alive,
    /// The member is running, but is partitioned from the local member in at least one direction.
    #[serde(rename = "cut")]
    Partitioned,
    /// The process stops, and another process takes over under the same name.
    #[serde(rename = "moving")]
    HandingOver,
    /// The member did not answer the probes of at least one other member.
    Suspect,
    /// The member did not answer in time: it died without a refused connection, for example with its machine, or is
    /// partitioned from all.
    #[serde(rename = "silent")]
    Failed,
    /// The process is dead: its machine refuses connections to it.
    Dead,
    /// The member announced that it left.
    Left,
}

impl ObservedState {
    /// Whether a member in this state is counted as taking its share of the traffic.
    #[must_use]
    pub fn is_present(self) -> bool {
        !matches!(self, ObservedState::Failed | ObservedState::Dead | ObservedState::Left)
    }
}

impl fmt::Display for ObservedState {
    /// Writes the outer name, the same as in records and the operators' API.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            ObservedState::Joining => "joining",
            ObservedState::Alive => "alive",
            ObservedState::Partitioned => "cut",
            ObservedState::HandingOver => "moving",
            ObservedState::Suspect => "suspect",
            ObservedState::Failed => "silent",
            ObservedState::Dead => "dead",
            ObservedState::Left => "left",
        })
    }
}

impl KnownMember {
    /// The member's state as it is observed here.
    #[must_use]
    pub fn state(&self) -> ObservedState {
        match self.update.state {
            MemberState::Alive if self.reachability != Reachability::Direct => ObservedState::Partitioned,
            MemberState::Alive if self.last_message_at.is_none() => ObservedState::Joining,
            MemberState::Alive => ObservedState::Alive,
            MemberState::HandingOver => ObservedState::HandingOver,
            MemberState::Suspect => ObservedState::Suspect,
            MemberState::Failed => ObservedState::Failed,
            MemberState::Dead => ObservedState::Dead,
            MemberState::Left => ObservedState::Left,
        }
    }
}

/// A change of a member's observed state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member's name.
    pub name: String,
    /// The start of its process.
    pub start: u64,
    /// The new state.
    pub state: ObservedState,
}

/// The other members, by name. When the table is full, a new member replaces the one that has been gone (failed, dead
/// or left) longest; if none is gone, the new member is ignored.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: BTreeMap<String, KnownMember>,
    max_members: usize,
}

impl MemberTable {
    /// Creates an empty table for up to `max_members` members; 0 counts as 1.
    #[must_use]
    pub fn new(max_members: usize) -> MemberTable {
        MemberTable { members: BTreeMap::new(), max_members: max_members.max(1) }
    }

    /// The entry for the member of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&KnownMember> {
        self.members.get(name)
    }

    /// The mutable entry for the member of this name, to record its reachability and the time of its last message.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut KnownMember> {
        self.members.get_mut(name)
    }

    /// All entries, in the order of the members' names.
    pub fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// The members that are counted as taking traffic; see [`MemberState::is_present`].
    pub fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.iter().filter(|member| member.update.state.is_present())
    }

    /// Applies an update if it supersedes the last one about the member; returns whether it was applied.
    pub fn apply(&mut self, now: Time, update: &MemberUpdate) -> bool {
        let Some(member) = self.members.get_mut(&update.name) else {
            return self.insert(now, update);
        };
        if !update.supersedes(&member.update) {
            return false;
        }
        let same_process = update.start == member.update.start;
        if !same_process || update.state != member.update.state {
            member.state_since = now;
        }
        if !same_process {
            (member.last_message_at, member.reachability) = (None, Reachability::Direct);
        }
        // The address of a process never changes; a forged update could otherwise divert its traffic.
        let address = if same_process { member.update.address } else { update.address };
        member.update = MemberUpdate { address, ..update.clone() };
        true
    }

    /// Inserts an unknown member if it is present and there is capacity. Updates about unknown members that are gone
    /// are ignored; otherwise gossip would keep reviving entries that have expired everywhere.
    fn insert(&mut self, now: Time, update: &MemberUpdate) -> bool {
        if !update.state.is_present() || !self.ensure_capacity() {
            return false;
        }
        let member = KnownMember {
            update: update.clone(),
            state_since: now,
            reachability: Reachability::Direct,
            last_message_at: None,
        };
        self.members.insert(update.name.clone(), member);
        true
    }

    /// Evicts the member that has been gone longest if the table is full; returns whether there is capacity for one
    /// more.
    fn ensure_capacity(&mut self) -> bool {
        if self.members.len() < self.max_members {
            return true;
        }
        let gone = self.iter().filter(|member| !member.update.state.is_present());
        let oldest = gone.min_by_key(|member| member.state_since).map(|member| member.update.name.clone());
        oldest.is_some_and(|name| self.members.remove(&name).is_some())
    }

    /// Removes failed members after `failed_retention`, and those that died or left after `gone_retention`.
    pub fn remove_expired(&mut self, now: Time, gone_retention: Duration, failed_retention: Duration) {
        self.members.retain(|_, member| {
            let age = now.since(member.state_since);
            match member.update.state {
                MemberState::Failed => age < failed_retention,
                MemberState::Dead | MemberState::Left => age < gone_retention,
                _ => true,
            }
        });
    }

    /// Moves all recorded times forward by the duration of a pause of the local process.
    pub fn shift_times(&mut self, pause: Duration) {
        for member in self.members.values_mut() {
            member.state_since = member.state_since.after(pause);
            member.last_message_at = member.last_message_at.map(|at| at.after(pause));
        }
    }
}

#[cfg(test)]
mod tests;
