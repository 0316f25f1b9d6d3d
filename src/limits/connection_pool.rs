//! Sizing of the connection pools toward servers: which open connection takes a call, and which call may open the next
//! connection.
//!
//! Owns the queue of calls that wait for a new connection, and the count of those that are connecting. It opens nothing
//! and sends nothing.

use crate::policy::{Time, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A call waits for a connection for this fraction of its time at most; the rest is for the response, or for another
/// server.
const CONNECT_WAIT_FRACTION: u32 = 4;
/// One server's connections may make up this fraction of all that are connecting...
const CONNECTING_FRACTION_PER_WORKER: usize = 4;
/// ...but this number in any case.
const MIN_CONNECTING_PER_WORKER: usize = 2;

/// An open connection of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledConnection {
    /// Calls in flight on it.
    pub in_flight: usize,
    /// Whether it can take another call: its server responds, and it carries fewer calls than it may.
    pub has_capacity: bool,
    /// Whether it takes new calls at all.
    pub accepts_calls: bool,
}

/// The connection for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// The open connection with this index.
    Reuse(usize),
    /// A new connection, as soon as there is a descriptor for it.
    OpenNew,
}

/// Chooses the connection for a call: one with capacity, else a new one, else the one with the fewest calls.
///
/// A `non_idempotent` call gets a new connection of its own. A server may close or reset a kept connection just as a
/// call is written; the call may have run then, and its query is lost. On a connection of its own it cannot be lost to
/// a malformed response to another call, either.
#[must_use]
pub fn choose_connection(
    non_idempotent: bool,
    connections: &[PooledConnection],
    max_connections: usize,
) -> ConnectionChoice {
    if non_idempotent {
        return ConnectionChoice::OpenNew;
    }
    if let Some(index) = connections.iter().position(|connection| connection.has_capacity) {
        return ConnectionChoice::Reuse(index);
    }
    let usable = connections.iter().enumerate().filter(|(_, connection)| connection.accepts_calls);
    if usable.clone().count() < max_connections {
        return ConnectionChoice::OpenNew;
    }
    let least_loaded = usable.min_by_key(|(_, connection)| connection.in_flight);
    least_loaded.map_or(ConnectionChoice::OpenNew, |(index, _)| ConnectionChoice::Reuse(index))
}

/// Returns how long a call with so much time left may wait for a connection.
#[must_use]
pub fn connect_wait_limit(time_left: Duration) -> Duration {
    time_left / CONNECT_WAIT_FRACTION
}

/// Why a call got no connection. Nothing of the call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectWaitError {
    /// Calls with an earlier deadline fill the queue.
    #[error("too many calls wait for a connection")]
    QueueFull,
    /// It waited for as long as it may.
    #[error("no connection could be had in time")]
    TimedOut,
}

/// Identifies a call in the queue. Tickets are ordered by deadline, the earliest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectTicket {
    deadline: Time,
    number: u64,
}

/// The queue of calls that need a new connection, the earliest deadline first. It is bounded, and so is each server's
/// share of the connections that are connecting: a server that cannot be reached takes neither all of the queue nor all
/// of these connections.
#[derive(Debug)]
pub struct ConnectQueue {
    max_waiting: usize,
    max_connecting: usize,
    max_connecting_per_worker: usize,
    waiting: BTreeMap<ConnectTicket, WorkerId>,
    waiting_by_worker: BTreeMap<WorkerId, usize>,
    connecting_by_worker: BTreeMap<WorkerId, usize>,
    last_number: u64,
}

impl ConnectQueue {
    /// Creates a queue of at most `max_waiting` calls that lets `max_connecting` connections connect at once.
    #[must_use]
    pub fn new(max_waiting: usize, max_connecting: usize) -> ConnectQueue {
        let per_worker = max_connecting / CONNECTING_FRACTION_PER_WORKER;
        ConnectQueue {
            max_waiting,
            max_connecting,
            max_connecting_per_worker: per_worker.max(MIN_CONNECTING_PER_WORKER),
            waiting: BTreeMap::new(),
            waiting_by_worker: BTreeMap::new(),
            connecting_by_worker: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
    /// Connections that are connecting.
    #[must_use]
    pub fn connecting(&self) -> usize {
        self.connecting_by_worker.values().sum()
    }

    /// Adds a call with so much time left. Where the queue is full, one call is removed, and its ticket returned as the
    /// second value: of the server with the most waiting calls the one with the latest deadline, which may be the call
    /// just added.
    pub fn enqueue(
        &mut self,
        now: Time,
        worker: WorkerId,
        time_left: Duration,
    ) -> (ConnectTicket, Option<ConnectTicket>) {
        self.last_number += 1;
        let ticket = ConnectTicket { deadline: now.after(time_left), number: self.last_number };
        self.waiting.insert(ticket, worker);
        *self.waiting_by_worker.entry(worker).or_default() += 1;
        if self.waiting.len() <= self.max_waiting {
            return (ticket, None);
        }
        let busiest =
            self.waiting_by_worker.iter().max_by_key(|(_, count)| **count).map(|(worker, _)| *worker);
        let latest = self.waiting.iter().rev().find(|(_, worker)| Some(**worker) == busiest);
        let removed = latest.map(|(ticket, _)| *ticket);
        if let Some(removed) = removed {
            self.cancel(removed);
        }
        (ticket, removed)
    }

    /// Removes a call from the queue. Returns false if it was not there.
    pub fn cancel(&mut self, ticket: ConnectTicket) -> bool {
        let Some(worker) = self.waiting.remove(&ticket) else { return false };
        decrement(&mut self.waiting_by_worker, worker);
        true
    }

    /// Removes the first call that may open a connection now, and counts its connection as connecting.
    pub fn start_next(&mut self) -> Option<(ConnectTicket, WorkerId)> {
        let (ticket, worker) = self.next_to_start()?;
        self.cancel(ticket);
        *self.connecting_by_worker.entry(worker).or_default() += 1;
        Some((ticket, worker))
    }

    /// Whether [`ConnectQueue::start_next`] would find a call.
    #[must_use]
    pub fn can_start_next(&self) -> bool {
        self.next_to_start().is_some()
    }

    fn next_to_start(&self) -> Option<(ConnectTicket, WorkerId)> {
        if self.connecting() >= self.max_connecting {
            return None;
        }
        let connecting_to = |worker: &WorkerId| self.connecting_by_worker.get(worker).copied().unwrap_or(0);
        let mut waiting = self.waiting.iter();
        let next = waiting.find(|(_, worker)| connecting_to(worker) < self.max_connecting_per_worker);
        next.map(|(ticket, worker)| (*ticket, *worker))
    }

    /// Counts a connection as no longer connecting: it is open, or will not be.
    pub fn finish_connect(&mut self, worker: WorkerId) {
        decrement(&mut self.connecting_by_worker, worker);
    }
}

/// Lowers a count and drops it at zero, so that the maps hold no worker without calls.
fn decrement(counts: &mut BTreeMap<WorkerId, usize>, worker: WorkerId) {
    if let Some(count) = counts.get_mut(&worker) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&worker);
        }
    }
}
