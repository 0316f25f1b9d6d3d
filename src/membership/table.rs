//! What one member knows of the others: the last update about each, and how it is reached from here.
//!
//! The table owns this knowledge and its bound. It decides which updates apply, never what follows from them.

use super::update::{MemberState, MemberUpdate};
use crate::policy::Time;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// How a member is reached from here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// Messages pass in both directions.
    #[default]
    Direct,
    /// The member answers other members' probes, but not this one's: a partition between the two.
    Indirect,
    /// Messages from the member arrive, but this one's do not reach it.
    InboundOnly,
}

/// A member as it is known here.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// The last update that applied.
    pub update: MemberUpdate,
    /// When the member came into its present state.
    pub state_since: Time,
    /// How the member is reached from here.
    pub reachability: Reachability,
    /// When a message last came from the member itself.
    pub last_message_at: Option<Time>,
}

/// A member's state as this member observes it: the state that is reported, refined by how the member is reached.
///
/// Records, the operators' API and the log write these by their outer names, which stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
// The key of the published record schema.
#[schemars(rename = "State")]
pub enum ObservedState {
    /// Reported by others; no message of its own has arrived yet.
    Joining,
    /// The member is running.
    Alive,
    /// The member is running, but a partition lies between it and this one.
    #[serde(rename = "cut")]
    Partitioned,
    /// Another process takes over under the same name.
    #[serde(rename = "moving")]
    HandingOver,
    /// The member has not answered some other member's probe.
    Suspect,
    /// The member did not answer in time: it died without a trace, or is partitioned from all.
    #[serde(rename = "silent")]
    Failed,
    /// The process is gone for certain.
    Dead,
    /// The member announced that it left.
    Left,
}

impl ObservedState {
    /// Whether a member in this state takes its share of the traffic, as far as is known.
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
    /// The state from now on.
    pub state: ObservedState,
}

/// All other members, by name. The table is bounded: if it is full, the member that has been gone longest is removed for a
/// new one; if none is gone, new ones are ignored.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: BTreeMap<String, KnownMember>,
    max_members: usize,
}

impl MemberTable {
    /// An empty table for so many members, one at least.
    #[must_use]
    pub fn new(max_members: usize) -> MemberTable {
        MemberTable { members: BTreeMap::new(), max_members: max_members.max(1) }
    }

    /// The member of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&KnownMember> {
        self.members.get(name)
    }

    /// The member of this name, to note how and when messages pass.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut KnownMember> {
        self.members.get_mut(name)
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// The members that take their share of the traffic, as far as is known.
    pub fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.iter().filter(|member| member.update.state.is_present())
    }

    /// Applies an update if it supersedes what is known; returns whether it did.
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
        // A process keeps its address: guards against updates that divert a living process's traffic.
        let address = if same_process { member.update.address } else { update.address };
        member.update = MemberUpdate { address, ..update.clone() };
        true
    }

    /// Inserts an unknown member if it is present and there is capacity. The death of an unknown member is ignored: guards
    /// against passing on members that nobody remembers.
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

    /// Removes the member that has been gone longest if the table is full; returns whether there is capacity for one more.
    fn ensure_capacity(&mut self) -> bool {
        if self.members.len() < self.max_members {
            return true;
        }
        let gone = self.iter().filter(|member| !member.update.state.is_present());
        let oldest = gone.min_by_key(|member| member.state_since).map(|member| member.update.name.clone());
        oldest.is_some_and(|name| self.members.remove(&name).is_some())
    }

    /// Removes members that have been gone for their retention: `failed_retention` for failed ones, `gone_retention` for
    /// those whose end is known.
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

    /// Moves all remembered times forward, after the local process was paused for this long.
    pub fn shift_times(&mut self, pause: Duration) {
        for member in self.members.values_mut() {
            member.state_since = member.state_since.after(pause);
            member.last_message_at = member.last_message_at.map(|at| at.after(pause));
        }
    }
}

#[cfg(test)]
mod tests;
