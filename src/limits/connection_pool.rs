//! Sizing of the connection pools toward servers: which open connection takes a call, and which waiting call may open
//! the next connection.
//!
//! [`ConnectQueue`] owns the queue of calls that wait for a new connection, and the counts of connects in progress. It
//! opens no connection and sends nothing.

use crate::policy::{Time, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Divisor of a call's remaining time that gives its longest wait for a connection. The rest of the time is for the
/// response, or for another server.
const CONNECT_WAIT_DIVISOR: u32 = 4;
/// Divisor of the limit of concurrent connects that gives the limit for one server.
const CONNECTING_DIVISOR_PER_WORKER: usize = 4;
/// Lower bound of the limit of concurrent connects to one server.
const MIN_CONNECTING_PER_WORKER: usize = 2;

/// State of one open connection of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledConnection {
    /// Number of calls in flight on the connection.
    pub in_flight: usize,
    /// Whether the connection can take another call now: its server responds, and it carries fewer calls than its
    /// limit.
    pub has_capacity: bool,
    /// Whether the connection takes new calls at all.
    pub accepts_calls: bool,
}

/// Whether a call may run twice without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallIdempotency {
    /// The call may be sent again, so it may share a connection.
    Idempotent,
    /// The call must run at most once.
    NonIdempotent,
}

/// Choice of the connection for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Send the call on the open connection with this index.
    Reuse(usize),
    /// Open a new connection as soon as a descriptor is free.
    OpenNew,
}

/// Chooses the connection for a call: one with capacity, else a new one, else the one with the fewest calls.
///
/// A non-idempotent call gets a new connection of its own. A server may close or reset a kept connection just as a
/// call is written; it is then unknown whether the call ran, and its query is lost. On a connection of its own, the
/// call cannot be lost to a malformed response to another call either.
#[must_use]
pub fn choose_connection(
    idempotency: CallIdempotency,
    connections: &[PooledConnection],
    max_connections: usize,
) -> ConnectionChoice {
    if idempotency == CallIdempotency::NonIdempotent {
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

/// Returns how long a call with this remaining time may wait for a connection.
#[must_use]
pub fn connect_wait_limit(time_left: Duration) -> Duration {
    time_left / CONNECT_WAIT_DIVISOR
}

/// Reason why a call got no connection. Nothing of the call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectWaitError {
    /// The queue is full, and this call was removed from it.
    #[error("call removed from the connect queue: the queue is full")]
    QueueFull,
    /// The wait reached [`connect_wait_limit`].
    #[error("no connection within a quarter of the call's remaining time")]
    TimedOut,
}

/// Id of a call in the queue. Tickets are ordered by deadline, the earliest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectTicket {
    deadline: Time,
    number: u64,
}

/// Queue of calls that need a new connection, in the order of their deadlines. The queue and the number of concurrent
/// connects to each server are bounded, so that an unreachable server takes neither the whole queue nor all connects.
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
    /// Creates a queue of at most `max_waiting` calls that permits `max_connecting` concurrent connects.
    #[must_use]
    pub fn new(max_waiting: usize, max_connecting: usize) -> ConnectQueue {
        let share_per_worker = max_connecting / CONNECTING_DIVISOR_PER_WORKER;
        ConnectQueue {
            max_waiting,
            max_connecting,
            max_connecting_per_worker: share_per_worker.max(MIN_CONNECTING_PER_WORKER),
            waiting: BTreeMap::new(),
            waiting_by_worker: BTreeMap::new(),
            connecting_by_worker: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
    /// Returns the number of connects in progress.
    #[must_use]
    pub fn connecting(&self) -> usize {
        self.connecting_by_worker.values().sum()
    }

    /// Adds a call with this remaining time. If the queue is full, one call is removed and its ticket returned as the
    /// second value: the call with the latest deadline of the server with the most waiting calls. This may be the call
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
        let busiest_worker =
            self.waiting_by_worker.iter().max_by_key(|(_, count)| **count).map(|(worker, _)| *worker);
        let latest_call = self.waiting.iter().rev().find(|(_, worker)| Some(**worker) == busiest_worker);
        let removed = latest_call.map(|(ticket, _)| *ticket);
        if let Some(removed) = removed {
            self.cancel(removed);
        }
        (ticket, removed)
    }

    /// Removes a call from the queue. Returns false if the call is not in the queue.
    pub fn cancel(&mut self, ticket: ConnectTicket) -> bool {
        let Some(worker) = self.waiting.remove(&ticket) else { return false };
        decrement(&mut self.waiting_by_worker, worker);
        true
    }

    /// Removes the first call that may open a connection now, and counts a connect to its server as in progress.
    pub fn start_next(&mut self) -> Option<(ConnectTicket, WorkerId)> {
        let (ticket, worker) = self.next_to_start()?;
        self.cancel(ticket);
        *self.connecting_by_worker.entry(worker).or_default() += 1;
        Some((ticket, worker))
    }

    /// Returns whether [`ConnectQueue::start_next`] would return a call.
    #[must_use]
    pub fn can_start_next(&self) -> bool {
        self.next_to_start().is_some()
    }

    fn next_to_start(&self) -> Option<(ConnectTicket, WorkerId)> {
        if self.connecting() >= self.max_connecting {
            return None;
        }
        let connects_to = |worker: &WorkerId| self.connecting_by_worker.get(worker).copied().unwrap_or(0);
        let mut waiting = self.waiting.iter();
        let next = waiting.find(|(_, worker)| connects_to(worker) < self.max_connecting_per_worker);
        next.map(|(ticket, worker)| (*ticket, *worker))
    }

    /// Counts a connect as finished, whether it succeeded or failed.
    pub fn finish_connect(&mut self, worker: WorkerId) {
        decrement(&mut self.connecting_by_worker, worker);
    }
}

/// Decrements a count and removes it at zero, so that the maps contain only workers with calls or connects.
fn decrement(counts: &mut BTreeMap<WorkerId, usize>, worker: WorkerId) {
    if let Some(count) = counts.get_mut(&worker) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&worker);
        }
    }
}
