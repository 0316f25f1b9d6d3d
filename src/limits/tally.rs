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
    /// Clients that closed their connection while a query was open on it.
    pub gone_waiting: u64,
    /// Clients that closed it in the middle of a request.
    pub gone_half: u64,
    /// Clients that closed it between requests.
    pub gone_idle: u64,
    /// Clients that could no longer be written their answer.
    pub gone_answered: u64,
    /// Clients that did not take their answer in time.
    pub not_taken: u64,
    /// Queries refused because a firm place would have touched what another side was promised.
    pub unpinned: u64,
    /// Connections to servers begun.
    pub opened: u64,
    /// Calls that waited for one and were turned out of the queue, or waited too long.
    pub not_opened: u64,
    /// Connections to servers given up for another side's sake, or another server's.
    pub lines_gave_way: u64,
    /// Connections to servers that ended: closed by either side, cut for what came on them, never opened.
    pub lines_closed: u64,
    /// Of these, cut because what came on them could not be trusted.
    pub lines_untrusted: u64,
    /// Connections to servers that were never opened: no place or no time was left.
    pub lines_unopened: u64,
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
        write!(
            out,
            " gone_waiting={} gone_half={} gone_idle={}",
            self.gone_waiting, self.gone_half, self.gone_idle
        )?;
        write!(out, " gone_answered={} not_taken={}", self.gone_answered, self.not_taken)?;
        write!(out, " lines_closed={} lines_untrusted={}", self.lines_closed, self.lines_untrusted)?;
        write!(out, " lines_unopened={}", self.lines_unopened)?;
        for side in SIDES {
            write!(out, " most_{side}={}", self.most_held[side as usize])?;
        }
        write!(out, " most_descriptors={} most_bytes={}", self.most_in_all, self.most_bytes)
    }
}
