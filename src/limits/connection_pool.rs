//! Connections to servers: which of the open ones takes a call, and who may open the next.

use crate::policy::{Time, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of a call's time that it waits for a connection at most: the rest is for another server, or for the answer.
const WAIT_SHARE: u32 = 4;

/// A connection as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledConnection {
    /// Calls that are out on it.
    pub in_flight: usize,
    /// It can take this call: it answers, and carries fewer than it may.
    pub has_capacity: bool,
    /// It takes new calls at all.
    pub accepts_calls: bool,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// It goes on this open connection.
    Reuse(usize),
    /// It gets a new one, as soon as there is a place.
    OpenNew,
}

/// The connection for a call: one with room, else a new one, else the one with least to do. What runs once gets a new
/// one for itself. Guards against kept connections that the server closes or resets just as a call is written: it may
/// have run then, and its query is lost; and against losing it to an answer spoilt for another.
pub fn choose_connection(once: bool, lines: &[PooledConnection], most: usize) -> ConnectionChoice {
    if once {
        return ConnectionChoice::OpenNew;
    }
    if let Some(at) = lines.iter().position(|line| line.has_capacity) {
        return ConnectionChoice::Reuse(at);
    }
    let live = lines.iter().enumerate().filter(|(_, line)| line.accepts_calls);
    if live.clone().count() < most {
        return ConnectionChoice::OpenNew;
    }
    live.min_by_key(|(_, line)| line.in_flight)
        .map_or(ConnectionChoice::OpenNew, |(at, _)| ConnectionChoice::Reuse(at))
}

/// Why a wait for a connection ends without one. Nothing of the call has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectWaitError {
    /// Others that run out of time sooner fill the queue.
    #[error("too many calls wait for a connection")]
    QueueFull,
    /// It waited as long as is worth while.
    #[error("no connection could be had in time")]
    TimedOut,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    leaf: WorkerId,
}

/// The queue for new connections to servers. It is short, goes by what runs out of time first, and keeps room for
/// every server: one that cannot be reached does not take all of it, nor all connections that are coming up.
#[derive(Debug)]
pub struct ConnectQueue {
    most_waiting: usize,
    most_opening: usize,
    most_each: usize,
    waits: BTreeMap<(Time, u64), Wait>,
    waiting: BTreeMap<WorkerId, usize>,
    opening: BTreeMap<WorkerId, usize>,
    next: u64,
}

/// How long a call of so much time is to wait for a connection.
pub fn connect_wait_limit(left: Duration) -> Duration {
    left / WAIT_SHARE
}

/// Names a wait; the one that runs out of time first is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectTicket(Time, u64);

impl ConnectQueue {
    /// So many may wait, and so many may be coming up at once, of them to each server at most a quarter, or two.
    pub fn new(most_waiting: usize, most_opening: usize) -> ConnectQueue {
        ConnectQueue {
            most_waiting,
            most_opening,
            most_each: (most_opening / 4).max(2),
            waits: BTreeMap::new(),
            waiting: BTreeMap::new(),
            opening: BTreeMap::new(),
            next: 0,
        }
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.waits.len()
    }
    /// Connections that are coming up.
    pub fn connecting(&self) -> usize {
        self.opening.values().sum()
    }

    /// A call of so much time joins the queue. Where that is full, one leaves it: of the server with the most waiting,
    /// the one with the most time left, which may be the newcomer.
    pub fn enqueue(
        &mut self,
        now: Time,
        leaf: WorkerId,
        left: Duration,
    ) -> (ConnectTicket, Option<ConnectTicket>) {
        self.next += 1;
        let number = ConnectTicket(now.after(left), self.next);
        self.waits.insert((number.0, number.1), Wait { leaf });
        *self.waiting.entry(leaf).or_default() += 1;
        if self.waits.len() <= self.most_waiting {
            return (number, None);
        }
        let most = self.waiting.iter().max_by_key(|(_, count)| **count).map(|(leaf, _)| *leaf);
        let last = self.waits.iter().rev().find(|(_, wait)| Some(wait.leaf) == most).map(|(key, _)| *key);
        let out = last.map(|(at, count)| ConnectTicket(at, count));
        if let Some(out) = out {
            self.cancel(out);
        }
        (number, out)
    }

    /// A call no longer waits; false if it did not.
    pub fn cancel(&mut self, number: ConnectTicket) -> bool {
        let Some(wait) = self.waits.remove(&(number.0, number.1)) else { return false };
        less(&mut self.waiting, wait.leaf);
        true
    }

    /// Who may open the next connection, if anyone: it is taken off the queue and counts as opening.
    pub fn start_next(&mut self) -> Option<(ConnectTicket, WorkerId)> {
        if self.connecting() >= self.most_opening {
            return None;
        }
        let may = |wait: &Wait| self.opening.get(&wait.leaf).copied().unwrap_or(0) < self.most_each;
        let (key, leaf) =
            self.waits.iter().find(|(_, wait)| may(wait)).map(|(key, wait)| (*key, wait.leaf))?;
        let number = ConnectTicket(key.0, key.1);
        self.cancel(number);
        *self.opening.entry(leaf).or_default() += 1;
        Some((number, leaf))
    }

    /// Whether [`Openings::admit`] would find anyone.
    pub fn can_start_next(&self) -> bool {
        let may = |wait: &Wait| self.opening.get(&wait.leaf).copied().unwrap_or(0) < self.most_each;
        self.connecting() < self.most_opening && self.waits.values().any(may)
    }

    /// A connection is up, or will not be.
    pub fn finish_connect(&mut self, leaf: WorkerId) {
        less(&mut self.opening, leaf);
    }
}

fn less(counts: &mut BTreeMap<WorkerId, usize>, leaf: WorkerId) {
    if let Some(count) = counts.get_mut(&leaf) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&leaf);
        }
    }
}
