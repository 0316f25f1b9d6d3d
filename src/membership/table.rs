//! What one member knows of the others, and what has changed.

use super::claim::{Claim, Standing};
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
pub struct Seen {
    /// What holds of it.
    pub claim: Claim,
    /// Since when.
    pub since: Time,
    /// How it is reached.
    pub link: Link,
    /// When it was last heard itself.
    pub heard: Option<Time>,
}

/// What others are told of a member, in a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum State {
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

impl Seen {
    /// Its state.
    pub fn state(&self) -> State {
        match self.claim.standing {
            Standing::Alive if self.link != Link::Direct => State::Cut,
            Standing::Alive if self.heard.is_none() => State::Joining,
            Standing::Alive => State::Alive,
            Standing::Moving => State::Moving,
            Standing::Suspect => State::Suspect,
            Standing::Silent => State::Silent,
            Standing::Dead => State::Dead,
            Standing::Left => State::Left,
        }
    }
}

/// A member stands otherwise than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its name.
    pub name: String,
    /// Its process.
    pub start: u64,
    /// Its state now.
    pub state: State,
}

/// All others, by name. Bounded: where it is full, who has gone longest makes room, and nobody else is taken in.
#[derive(Clone, Debug)]
pub struct Table {
    members: BTreeMap<String, Seen>,
    most: usize,
}

impl Table {
    /// An empty one for so many others.
    pub fn new(most: usize) -> Table {
        Table { members: BTreeMap::new(), most: most.max(1) }
    }
    /// A member.
    pub fn get(&self, name: &str) -> Option<&Seen> {
        self.members.get(name)
    }
    /// A member, to be told of being heard.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Seen> {
        self.members.get_mut(name)
    }
    /// All, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Seen> {
        self.members.values()
    }
    /// Those who share the traffic, as far as is known.
    pub fn present(&self) -> impl Iterator<Item = &Seen> {
        self.iter().filter(|seen| seen.claim.standing.present())
    }

    /// Takes a claim if it holds against what is known; whether it did.
    pub fn take(&mut self, now: Time, claim: &Claim) -> bool {
        // Guards against ghosts: the death of somebody unknown is no news, and is not remembered.
        let known = self.members.contains_key(&claim.name);
        if !known && (!claim.standing.present() || !self.room()) {
            return false;
        }
        match self.members.get_mut(&claim.name) {
            Some(seen) if claim.beats(&seen.claim) => {
                if claim.standing != seen.claim.standing || claim.start != seen.claim.start {
                    seen.since = now;
                }
                if claim.start != seen.claim.start {
                    (seen.heard, seen.link) = (None, Link::Direct);
                }
                // Guards against claims that lead a living process's traffic elsewhere: its address is its start's.
                let address =
                    if claim.start == seen.claim.start { seen.claim.address } else { claim.address };
                seen.claim = Claim { address, ..claim.clone() };
                true
            }
            Some(_) => false,
            None => {
                let seen = Seen { claim: claim.clone(), since: now, link: Link::Direct, heard: None };
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
        let gone = self.iter().filter(|seen| !seen.claim.standing.present());
        let oldest = gone.min_by_key(|seen| seen.since).map(|seen| seen.claim.name.clone());
        oldest.is_some_and(|name| self.members.remove(&name).is_some())
    }

    /// Forgets who has been gone for longer than it is remembered: `certain` for those whose end is known, `silent` for the
    /// others.
    pub fn forget(&mut self, now: Time, certain: Duration, silent: Duration) {
        self.members.retain(|_, seen| {
            let gone = now.since(seen.since);
            match seen.claim.standing {
                Standing::Silent => gone < silent,
                Standing::Dead | Standing::Left => gone < certain,
                _ => true,
            }
        });
    }

    /// Moves what it remembers of times on, after a time in which this process stood still.
    pub fn stood_still(&mut self, span: Duration) {
        for seen in self.members.values_mut() {
            seen.since = seen.since.after(span);
            seen.heard = seen.heard.map(|at| at.after(span));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claim(name: &str, start: u64, standing: Standing) -> Claim {
        let (zone, address) = (String::new(), ([127, 0, 0, 1], 9).into());
        Claim { name: name.to_owned(), start, incarnation: 0, address, zone, standing }
    }

    #[test]
    fn a_full_table_lets_the_longest_gone_go_and_never_one_that_is_there() {
        let mut table = Table::new(2);
        assert!(table.take(Time(1), &claim("a", 1, Standing::Alive)));
        assert!(table.take(Time(1), &claim("b", 1, Standing::Alive)));
        assert!(!table.take(Time(2), &claim("c", 1, Standing::Alive)), "both are there");
        assert!(table.take(Time(3), &claim("b", 1, Standing::Left)));
        assert!(table.take(Time(4), &claim("c", 1, Standing::Alive)));
        assert!(table.get("b").is_none() && table.get("a").is_some());
        // A loop of restarts is one member.
        (2..200).for_each(|start| assert!(table.take(Time(start), &claim("c", start, Standing::Alive))));
        assert_eq!(table.iter().count(), 2);
    }

    #[test]
    fn the_unknown_dead_are_no_news_and_the_dead_fade() {
        let mut table = Table::new(9);
        assert!(!table.take(Time(1), &claim("a", 1, Standing::Dead)));
        assert!(table.take(Time(1), &claim("b", 1, Standing::Alive)));
        assert!(table.take(Time(2), &claim("b", 1, Standing::Silent)));
        table.forget(Time(12), Duration::from_nanos(5), Duration::from_nanos(50));
        assert!(table.get("b").is_some(), "it may be behind a cut");
        table.forget(Time(53), Duration::from_nanos(5), Duration::from_nanos(50));
        assert!(table.get("b").is_none());
    }

    #[test]
    fn a_claim_about_a_living_process_does_not_move_it() {
        let mut table = Table::new(9);
        let first = claim("a", 1, Standing::Alive);
        assert!(table.take(Time(1), &first));
        let moved = Claim { incarnation: 7, address: ([127, 0, 0, 9], 666).into(), ..first.clone() };
        assert!(table.take(Time(2), &moved));
        assert_eq!(table.get("a").map(|seen| seen.claim.address), Some(first.address));
    }
}
