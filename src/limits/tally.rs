//! Who was let in, who was made to leave and why, and the most that was held: counted since the start.

use super::crowd::{REASONS, Why};
use super::descriptors::{SIDES, Side};
use std::fmt;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Clients' connections let in.
    pub admitted: u64,
    /// Clients turned away at the door: every descriptor was in use for a query.
    pub turned_away: u64,
    /// Made to leave, by reason.
    pub left: [u64; REASONS.len()],
    /// Of these, for another's sake and before their time.
    pub gave_way: u64,
    /// Stayed after all, for a request came as they were to leave.
    pub spared: u64,
    /// Closes that crossed a request all the same.
    pub crossed: u64,
    /// Queries refused because a firm place would have touched what another side was promised.
    pub unpinned: u64,
    /// Connections to servers begun.
    pub opened: u64,
    /// Calls that waited for one and were turned out of the queue, or waited too long.
    pub not_opened: u64,
    /// Connections to servers given up for another side's sake, or another server's.
    pub lines_gave_way: u64,
    /// Accepts that failed.
    pub accept_failed: u64,
    /// The most that each side held.
    pub most_held: [usize; SIDES.len()],
    /// The most that all held.
    pub most_in_all: usize,
    /// The most bytes that were buffered.
    pub most_bytes: usize,
}

impl Tally {
    /// Counts one that is made to leave.
    pub fn leaves(&mut self, why: Why) {
        self.left[why as usize] += 1;
    }
    /// Notes what is held now.
    pub fn holds(&mut self, side: Side, held: usize, in_all: usize) {
        let most = &mut self.most_held[side as usize];
        *most = held.max(*most);
        self.most_in_all = in_all.max(self.most_in_all);
    }
    /// All that were made to leave.
    pub fn made_to_leave(&self) -> u64 {
        self.left.iter().sum()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "admitted={} turned_away={}", self.admitted, self.turned_away)?;
        for why in REASONS {
            write!(out, " left_{why}={}", self.left[why as usize])?;
        }
        write!(out, " gave_way={} spared={} crossed={}", self.gave_way, self.spared, self.crossed)?;
        write!(out, " unpinned={} opened={} not_opened={}", self.unpinned, self.opened, self.not_opened)?;
        write!(out, " lines_gave_way={} accept_failed={}", self.lines_gave_way, self.accept_failed)?;
        for side in SIDES {
            write!(out, " most_{side}={}", self.most_held[side as usize])?;
        }
        write!(out, " most_descriptors={} most_bytes={}", self.most_in_all, self.most_bytes)
    }
}
