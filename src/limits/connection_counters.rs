//! Counters of connections since the start: accepted, rejected, evicted and closed ones, and the peaks of descriptors
//! and buffered bytes.
//!
//! [`ConnectionCounters`] owns the counts and their outer names. No decision depends on it.

use super::client_connections::{EVICTION_REASONS, EvictionReason};
use super::descriptors::{DESCRIPTOR_CLASSES, DescriptorClass};
use std::fmt;

/// Counters of connections since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Clients' connections accepted.
    pub admitted: u64,
    /// Clients' connections rejected on accept, because every descriptor was busy.
    pub rejected: u64,
    /// Clients' connections evicted, by reason.
    pub evicted: [u64; EVICTION_REASONS.len()],
    /// Clients' connections evicted before their deadline, because another connection needed the descriptor.
    pub evicted_early: u64,
    /// Evictions of clients' connections cancelled, because a request arrived just before the close.
    pub eviction_cancelled: u64,
    /// Requests whose bytes arrived after this side had closed the evicted connection.
    pub close_races: u64,
    /// Clients that closed their connection while a query was open on it.
    pub client_closed_waiting: u64,
    /// Clients that closed their connection in the middle of a request.
    pub client_closed_mid_request: u64,
    /// Clients that closed their connection between requests.
    pub client_closed_idle: u64,
    /// Responses that could not be written, because the connection was broken.
    pub response_write_failed: u64,
    /// Responses that the client did not receive in full before the write time-out.
    pub response_write_timed_out: u64,
    /// Requests answered as failed because the front panicked.
    pub front_panicked: u64,
    /// Queries rejected because their clients sent more than could be read, so that a close behind it would go unnoticed.
    pub rejected_unread: u64,
    /// Queries rejected because one more busy descriptor would have violated the floor of another class.
    pub rejected_no_descriptor: u64,
    /// Connects to servers that were started.
    pub worker_connects_started: u64,
    /// Calls that waited for a new connection and did not get one: removed from the queue, or timed out.
    pub worker_connect_waits_failed: u64,
    /// Connections to servers evicted, because another class or another server needed the descriptor.
    pub worker_connections_evicted: u64,
    /// Connections to workers that were closed by either side or failed to connect, except those counted in the next
    /// two.
    pub worker_connections_closed: u64,
    /// Connections to workers closed because malformed input was received on them.
    pub worker_connections_untrusted: u64,
    /// Connections to workers that were never opened: no connect permit, a local error, or no time left to write.
    pub worker_connections_unopened: u64,
    /// Failed accept calls.
    pub accept_failed: u64,
    /// Highest number of descriptors that each class held at once.
    pub peak_held: [usize; DESCRIPTOR_CLASSES.len()],
    /// Highest number of descriptors that all classes together held at once.
    pub peak_descriptors: usize,
    /// Highest number of bytes buffered at once.
    pub peak_buffered_bytes: usize,
}

impl ConnectionCounters {
    /// Counts an eviction of a client's connection.
    pub fn count_eviction(&mut self, reason: EvictionReason) {
        self.evicted[reason as usize] += 1;
    }

    /// Updates the peaks with the numbers of descriptors that a class and all classes hold now.
    pub fn record_held(&mut self, class: DescriptorClass, held: usize, held_by_all: usize) {
        let peak = &mut self.peak_held[class as usize];
        *peak = held.max(*peak);
        self.peak_descriptors = held_by_all.max(self.peak_descriptors);
    }

    /// Returns the number of evictions for all reasons.
    #[must_use]
    pub fn total_evicted(&self) -> u64 {
        self.evicted.iter().sum()
    }
}

impl fmt::Display for ConnectionCounters {
    /// Writes `name=value` pairs for `GET /_counters` and the log. This is the only table from fields to outer names,
    /// which must not change because dashboards match them.
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
        write!(
            out,
            " most_descriptors={} most_bytes={} front_panicked={}",
            self.peak_descriptors, self.peak_buffered_bytes, self.front_panicked
        )
    }
}
