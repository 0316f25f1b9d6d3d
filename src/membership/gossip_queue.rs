//! The queue of members whose updates are piggybacked on outgoing messages. The least often transmitted comes first,
//! in a random order among equals. The queue is kept in order, so that the cost of a message depends on the updates
//! that it carries and not on the length of the queue.
//!
//! The queue owns names and transmission counts only; the updates themselves are in the member table.

use std::collections::{BTreeMap, BTreeSet};

/// The sort key of a queued name; names are sent in the order of these fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    /// The number of times that the update was sent.
    transmissions: u32,
    /// A random number that orders names with equal `transmissions`.
    tie_break: u64,
    name: String,
}

/// The state of a queued name.
#[derive(Clone, Copy, Debug)]
struct Entry {
    transmissions: u32,
    tie_break: u64,
    /// The number of transmissions after which the name is removed.
    max_transmissions: u32,
}

impl Entry {
    fn position(&self, name: &str) -> Position {
        Position { transmissions: self.transmissions, tie_break: self.tie_break, name: name.to_owned() }
    }
}

/// The names of the members whose updates still have to be sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    order: BTreeSet<Position>,
    entries: BTreeMap<String, Entry>,
}

impl GossipQueue {
    /// Whether no updates are queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Queues a member's update for `max_transmissions`, in place of an earlier update of the same member.
    pub fn add(&mut self, name: &str, max_transmissions: u32, tie_break: u64) {
        self.remove(name);
        let entry = Entry { transmissions: 0, tie_break, max_transmissions };
        self.order.insert(entry.position(name));
        self.entries.insert(name.to_owned(), entry);
    }

    /// Removes a member's update from the queue.
    pub fn remove(&mut self, name: &str) {
        if let Some(entry) = self.entries.remove(name) {
            self.order.remove(&entry.position(name));
        }
    }

    /// Calls `accept` with each name in order until it returns false. Each accepted name counts as transmitted once
    /// more, and is removed after its last transmission.
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
