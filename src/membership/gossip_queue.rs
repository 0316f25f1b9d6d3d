//! The queue of members with updates to pass on. The least often passed-on goes first, at random among equals, so that a
//! message costs what it carries, however many updates are queued.
//!
//! Owns names and counts only; the updates themselves are in the member table.

use std::collections::{BTreeMap, BTreeSet};

/// A queued name's position; the fields' order is the order in which names go out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    /// How often the update has been passed on.
    transmissions: u32,
    /// A random number that orders names of as many transmissions.
    tie_break: u64,
    name: String,
}

/// What is known of a queued name.
#[derive(Clone, Copy, Debug)]
struct Entry {
    transmissions: u32,
    tie_break: u64,
    /// How often the update is to be passed on.
    max_transmissions: u32,
}

impl Entry {
    fn position(&self, name: &str) -> Position {
        Position { transmissions: self.transmissions, tie_break: self.tie_break, name: name.to_owned() }
    }
}

/// Names of the members with updates to pass on.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    order: BTreeSet<Position>,
    entries: BTreeMap<String, Entry>,
}

impl GossipQueue {
    /// Whether there is nothing to pass on.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Queues a member's update for so many transmissions; it replaces an earlier one of the same member.
    pub fn add(&mut self, name: &str, max_transmissions: u32, tie_break: u64) {
        self.remove(name);
        let entry = Entry { transmissions: 0, tie_break, max_transmissions };
        self.order.insert(entry.position(name));
        self.entries.insert(name.to_owned(), entry);
    }

    /// Takes a member's update off the queue.
    pub fn remove(&mut self, name: &str) {
        if let Some(entry) = self.entries.remove(name) {
            self.order.remove(&entry.position(name));
        }
    }

    /// Offers names in their order until `accept` returns false for one; each accepted name counts as passed on once more.
    pub fn transmit_while(&mut self, mut accept: impl FnMut(&str) -> bool) {
        let accepted: Vec<Position> =
            self.order.iter().take_while(|position| accept(&position.name)).cloned().collect();
        for position in accepted {
            self.order.remove(&position);
            let Some(entry) = self.entries.get_mut(&position.name) else { continue };
            entry.transmissions += 1;
            if entry.transmissions < entry.max_transmissions {
                self.order.insert(entry.position(&position.name));
            } else {
                self.entries.remove(&position.name);
            }
        }
    }
}

#[cfg(test)]
mod tests;
