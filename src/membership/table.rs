//! What one member knows of the others, and what has changed.

use super::update::{MemberState, MemberUpdate};
use crate::policy::Time;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How a member is reached from here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// It answers.
    #[default]
    Direct,
    /// It answers others and not this one: a cut between the two.
    Relayed,
    /// It is heard from, and does not hear this one.
    Deaf,
}

/// A member as it is known here.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// What holds of it.
    pub update: MemberUpdate,
    /// Since when.
    pub state_since: Time,
    /// How it is reached.
    pub link: Link,
    /// When it was last heard itself.
    pub last_message_at: Option<Time>,
}

/// What others are told of a member, in a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "State")]
pub enum ObservedState {
    /// Claimed by others, and not yet heard here.
    Joining,
    /// It is there.
    Alive,
    /// It is there, but there is a cut between it and this one.
    Cut,
    /// Another process of it takes over.
    Moving,
    /// It has not answered somebody.
    Suspect,
    /// It died silently, or is cut off from all.
    Silent,
    /// It died.
    Dead,
    /// It left.
    Left,
}

impl KnownMember {
    /// Its state.
    pub fn state(&self) -> ObservedState {
        match self.update.state {
            MemberState::Alive if self.link != Link::Direct => ObservedState::Cut,
            MemberState::Alive if self.last_message_at.is_none() => ObservedState::Joining,
            MemberState::Alive => ObservedState::Alive,
            MemberState::HandingOver => ObservedState::Moving,
            MemberState::Suspect => ObservedState::Suspect,
            MemberState::Failed => ObservedState::Silent,
            MemberState::Dead => ObservedState::Dead,
            MemberState::Left => ObservedState::Left,
        }
    }
}

/// A member stands otherwise than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Its name.
    pub name: String,
    /// Its process.
    pub start: u64,
    /// Its state now.
    pub state: ObservedState,
}

/// All others, by name. Bounded: where it is full, who has gone longest makes room, and nobody else is taken in.
#[derive(Clone, Debug)]
pub struct Table {
    members: BTreeMap<String, KnownMember>,
    most: usize,
}

impl Table {
    /// An empty one for so many others.
    pub fn new(most: usize) -> Table {
        Table { members: BTreeMap::new(), most: most.max(1) }
    }
    /// A member.
    pub fn get(&self, name: &str) -> Option<&KnownMember> {
        self.members.get(name)
    }
    /// A member, to be told of being heard.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut KnownMember> {
        self.members.get_mut(name)
    }
    /// All, by name.
    pub fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }
    /// Those who share the traffic, as far as is known.
    pub fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.iter().filter(|seen| seen.update.state.present())
    }

    /// Takes a claim if it holds against what is known; whether it did.
    pub fn take(&mut self, now: Time, claim: &MemberUpdate) -> bool {
        // Guards against ghosts: the death of somebody unknown is no news, and is not remembered.
        let known = self.members.contains_key(&claim.name);
        if !known && (!claim.state.present() || !self.room()) {
            return false;
        }
        match self.members.get_mut(&claim.name) {
            Some(seen) if claim.supersedes(&seen.update) => {
                if claim.state != seen.update.state || claim.start != seen.update.start {
                    seen.state_since = now;
                }
                if claim.start != seen.update.start {
                    (seen.last_message_at, seen.link) = (None, Link::Direct);
                }
                // Guards against claims that lead a living process's traffic elsewhere: its address is its start's.
                let address =
                    if claim.start == seen.update.start { seen.update.address } else { claim.address };
                seen.update = MemberUpdate { address, ..claim.clone() };
                true
            }
            Some(_) => false,
            None => {
                let seen = KnownMember {
                    update: claim.clone(),
                    state_since: now,
                    link: Link::Direct,
                    last_message_at: None,
                };
                self.members.insert(claim.name.clone(), seen);
                true
            }
        }
    }

    /// Makes room for one more, if any has gone for good.
    fn room(&mut self) -> bool {
        if self.members.len() < self.most {
            return true;
        }
        let gone = self.iter().filter(|seen| !seen.update.state.present());
        let oldest = gone.min_by_key(|seen| seen.state_since).map(|seen| seen.update.name.clone());
        oldest.is_some_and(|name| self.members.remove(&name).is_some())
    }

    /// Forgets who has been gone for longer than it is remembered: `certain` for those whose end is known, `silent` for the
    /// others.
    pub fn forget(&mut self, now: Time, certain: Duration, silent: Duration) {
        self.members.retain(|_, seen| {
            let gone = now.since(seen.state_since);
            match seen.update.state {
                MemberState::Failed => gone < silent,
                MemberState::Dead | MemberState::Left => gone < certain,
                _ => true,
            }
        });
    }

    /// Moves what it remembers of times on, after a time in which this process stood still.
    pub fn stood_still(&mut self, span: Duration) {
        for seen in self.members.values_mut() {
            seen.state_since = seen.state_since.after(span);
            seen.last_message_at = seen.last_message_at.map(|at| at.after(span));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claim(name: &str, start: u64, standing: MemberState) -> MemberUpdate {
        let (zone, address) = (String::new(), ([127, 0, 0, 1], 9).into());
        MemberUpdate { name: name.to_owned(), start, incarnation: 0, address, zone, state: standing }
    }

    #[test]
    fn a_full_table_lets_the_longest_gone_go_and_never_one_that_is_there() {
        let mut table = Table::new(2);
        assert!(table.take(Time(1), &claim("a", 1, MemberState::Alive)));
        assert!(table.take(Time(1), &claim("b", 1, MemberState::Alive)));
        assert!(!table.take(Time(2), &claim("c", 1, MemberState::Alive)), "both are there");
        assert!(table.take(Time(3), &claim("b", 1, MemberState::Left)));
        assert!(table.take(Time(4), &claim("c", 1, MemberState::Alive)));
        assert!(table.get("b").is_none() && table.get("a").is_some());
        // A loop of restarts is one member.
        (2..200).for_each(|start| assert!(table.take(Time(start), &claim("c", start, MemberState::Alive))));
        assert_eq!(table.iter().count(), 2);
    }

    #[test]
    fn the_unknown_dead_are_no_news_and_the_dead_fade() {
        let mut table = Table::new(9);
        assert!(!table.take(Time(1), &claim("a", 1, MemberState::Dead)));
        assert!(table.take(Time(1), &claim("b", 1, MemberState::Alive)));
        assert!(table.take(Time(2), &claim("b", 1, MemberState::Failed)));
        table.forget(Time(12), Duration::from_nanos(5), Duration::from_nanos(50));
        assert!(table.get("b").is_some(), "it may be behind a cut");
        table.forget(Time(53), Duration::from_nanos(5), Duration::from_nanos(50));
        assert!(table.get("b").is_none());
    }

    #[test]
    fn a_claim_about_a_living_process_does_not_move_it() {
        let mut table = Table::new(9);
        let first = claim("a", 1, MemberState::Alive);
        assert!(table.take(Time(1), &first));
        let moved = MemberUpdate { incarnation: 7, address: ([127, 0, 0, 9], 666).into(), ..first.clone() };
        assert!(table.take(Time(2), &moved));
        assert_eq!(table.get("a").map(|seen| seen.update.address), Some(first.address));
    }
}
