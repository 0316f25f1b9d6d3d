//! Counters of connections since the start: accepted, rejected, evicted and lost, and the peaks of what was held.
//!
//! Owns the counts and their outer names; it decides nothing.

use super::client_connections::{EVICTION_REASONS, EvictionReason};
use super::descriptors::{DESCRIPTOR_CLASSES, DescriptorClass};
use std::fmt;

/// Counters of connections since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Clients' connections accepted.
    pub admitted: u64,
    /// Clients' connections rejected at once, because every descriptor was busy.
    pub rejected: u64,
    /// Clients' connections evicted, by reason.
    pub evicted: [u64; EVICTION_REASONS.len()],
    /// Evicted before their deadline, because another connection needed the descriptor.
    pub evicted_early: u64,
    /// Evictions cancelled, because a request arrived just before the close.
    pub eviction_cancelled: u64,
    /// Evictions whose close crossed a request all the same.
    pub close_races: u64,
    /// Clients that closed their connection while a query was open on it.
    pub client_closed_waiting: u64,
    /// Clients that closed their connection in the middle of a request.
    pub client_closed_mid_request: u64,
    /// Clients that closed their connection between requests.
    pub client_closed_idle: u64,
    /// Responses that could not be written, because the connection was broken.
    pub response_write_failed: u64,
    /// Responses that the client did not take in time.
    pub response_write_timed_out: u64,
    /// Queries rejected because a busy descriptor would have taken what another class is guaranteed.
    pub rejected_no_descriptor: u64,
    /// Connections to servers that were begun.
    pub worker_connects_started: u64,
    /// Calls that waited for a new connection and got none: removed from the queue, or timed out.
    pub worker_connect_waits_failed: u64,
    /// Connections to servers evicted, because another class or another server needed the descriptor.
    pub worker_connections_evicted: u64,
    /// Connections to servers that ended: closed by either side, closed for what was received on them, or never opened.
    pub worker_connections_closed: u64,
    /// Of these, closed because what was received on them was malformed.
    pub worker_connections_untrusted: u64,
    /// Connections to servers that were never opened, because no descriptor or no time was left.
    pub worker_connections_unopened: u64,
    /// Accepts that failed.
    pub accept_failed: u64,
    /// Peak of the descriptors that each class held.
    pub peak_held: [usize; DESCRIPTOR_CLASSES.len()],
    /// Peak of the descriptors that all classes held together.
    pub peak_descriptors: usize,
    /// Peak of the buffered bytes.
    pub peak_buffered_bytes: usize,
}

impl ConnectionCounters {
    /// Counts an eviction.
    pub fn count_eviction(&mut self, reason: EvictionReason) {
        self.evicted[reason as usize] += 1;
    }

    /// Raises the peaks to the descriptors that a class and all classes hold now.
    pub fn record_held(&mut self, class: DescriptorClass, held: usize, held_by_all: usize) {
        let peak = &mut self.peak_held[class as usize];
        *peak = held.max(*peak);
        self.peak_descriptors = held_by_all.max(self.peak_descriptors);
    }

    /// All evictions, whatever their reason.
    #[must_use]
    pub fn total_evicted(&self) -> u64 {
        self.evicted.iter().sum()
    }
}

impl fmt::Display for ConnectionCounters {
    /// Writes `name=value` pairs as operators read them in `GET /_counters` and in the log. This is the one table from
    /// fields to outer names, which stay as they are because dashboards match them.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "admitted={} turned_away={}", self.admitted, self.rejected)?;
        for reason in EVICTION_REASONS {
            write!(out, " left_{reason}={}", self.evicted[reason as usize])?;
        }
        let counters = [
            ("gave_way", self.evicted_early),
            ("spared", self.eviction_cancelled),
            ("crossed", self.close_races),
            ("unpinned", self.rejected_no_descriptor),
            ("opened", self.worker_connects_started),
            ("not_opened", self.worker_connect_waits_failed),
            ("lines_gave_way", self.worker_connections_evicted),
            ("accept_failed", self.accept_failed),
            ("gone_waiting", self.client_closed_waiting),
            ("gone_half", self.client_closed_mid_request),
            ("gone_idle", self.client_closed_idle),
            ("gone_answered", self.response_write_failed),
            ("not_taken", self.response_write_timed_out),
            ("lines_closed", self.worker_connections_closed),
            ("lines_untrusted", self.worker_connections_untrusted),
            ("lines_unopened", self.worker_connections_unopened),
        ];
        for (name, value) in counters {
            write!(out, " {name}={value}")?;
        }
        for class in DESCRIPTOR_CLASSES {
            write!(out, " most_{class}={}", self.peak_held[class as usize])?;
        }
        write!(out, " most_descriptors={} most_bytes={}", self.peak_descriptors, self.peak_buffered_bytes)
    }
}
