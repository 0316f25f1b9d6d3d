//! Who was let in, who was made to leave and why, and the most that was held: counted since the start.

use super::client_connections::{EVICTION_REASONS, EvictionReason};
use super::descriptors::{DESCRIPTOR_CLASSES, DescriptorClass};
use std::fmt;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Clients' connections let in.
    pub admitted: u64,
    /// Clients turned away at the door: every descriptor was in use for a query.
    pub rejected: u64,
    /// Made to leave, by reason.
    pub evicted: [u64; EVICTION_REASONS.len()],
    /// Of these, for another's sake and before their time.
    pub evicted_early: u64,
    /// Stayed after all, for a request came as they were to leave.
    pub eviction_cancelled: u64,
    /// Closes that crossed a request all the same.
    pub close_races: u64,
    /// Clients that closed their connection while a query was open on it.
    pub client_closed_waiting: u64,
    /// Clients that closed it in the middle of a request.
    pub client_closed_mid_request: u64,
    /// Clients that closed it between requests.
    pub client_closed_idle: u64,
    /// Clients that could no longer be written their answer.
    pub response_write_failed: u64,
    /// Clients that did not take their answer in time.
    pub response_write_timed_out: u64,
    /// Queries refused because a firm place would have touched what another side was promised.
    pub rejected_no_descriptor: u64,
    /// Connections to servers begun.
    pub worker_connects_started: u64,
    /// Calls that waited for one and were turned out of the queue, or waited too long.
    pub worker_connect_waits_failed: u64,
    /// Connections to servers given up for another side's sake, or another server's.
    pub worker_connections_evicted: u64,
    /// Connections to servers that ended: closed by either side, cut for what came on them, never opened.
    pub worker_connections_closed: u64,
    /// Of these, cut because what came on them could not be trusted.
    pub worker_connections_untrusted: u64,
    /// Connections to servers that were never opened: no place or no time was left.
    pub worker_connections_unopened: u64,
    /// Accepts that failed.
    pub accept_failed: u64,
    /// The most that each side held.
    pub peak_held: [usize; DESCRIPTOR_CLASSES.len()],
    /// The most that all held.
    pub peak_descriptors: usize,
    /// The most bytes that were buffered.
    pub peak_buffered_bytes: usize,
}

impl ConnectionCounters {
    /// Counts one that is made to leave.
    pub fn count_eviction(&mut self, why: EvictionReason) {
        self.evicted[why as usize] += 1;
    }
    /// Notes what is held now.
    pub fn record_held(&mut self, side: DescriptorClass, held: usize, in_all: usize) {
        let most = &mut self.peak_held[side as usize];
        *most = held.max(*most);
        self.peak_descriptors = in_all.max(self.peak_descriptors);
    }
    /// All that were made to leave.
    pub fn total_evicted(&self) -> u64 {
        self.evicted.iter().sum()
    }
}

impl fmt::Display for ConnectionCounters {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "admitted={} turned_away={}", self.admitted, self.rejected)?;
        for why in EVICTION_REASONS {
            write!(out, " left_{why}={}", self.evicted[why as usize])?;
        }
        write!(
            out,
            " gave_way={} spared={} crossed={}",
            self.evicted_early, self.eviction_cancelled, self.close_races
        )?;
        write!(
            out,
            " unpinned={} opened={} not_opened={}",
            self.rejected_no_descriptor, self.worker_connects_started, self.worker_connect_waits_failed
        )?;
        write!(
            out,
            " lines_gave_way={} accept_failed={}",
            self.worker_connections_evicted, self.accept_failed
        )?;
        write!(
            out,
            " gone_waiting={} gone_half={} gone_idle={}",
            self.client_closed_waiting, self.client_closed_mid_request, self.client_closed_idle
        )?;
        write!(
            out,
            " gone_answered={} not_taken={}",
            self.response_write_failed, self.response_write_timed_out
        )?;
        write!(
            out,
            " lines_closed={} lines_untrusted={}",
            self.worker_connections_closed, self.worker_connections_untrusted
        )?;
        write!(out, " lines_unopened={}", self.worker_connections_unopened)?;
        for side in DESCRIPTOR_CLASSES {
            write!(out, " most_{side}={}", self.peak_held[side as usize])?;
        }
        write!(out, " most_descriptors={} most_bytes={}", self.peak_descriptors, self.peak_buffered_bytes)
    }
}
