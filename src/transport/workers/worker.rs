//! The pool's entry for one worker: its address, whether it accepts calls, and its connections.
//!
//! Does not open connections or choose among them.

use super::connection::Connection;
use crate::routing::AttemptId;
use std::rc::Rc;

/// A worker, for as long as it is listed or has a connection.
pub(super) struct Worker {
    /// The worker's name in the endpoint list.
    pub name: String,
    /// The address at which the worker listens.
    pub address: String,
    /// Whether the endpoint list has the worker.
    pub listed: bool,
    /// Whether new calls may be sent to the worker.
    pub accepts_calls: bool,
    /// The connections to the worker, open or being opened.
    pub connections: Vec<Rc<Connection>>,
}

impl Worker {
    /// Creates a worker that is listed, accepts calls and has no connection.
    pub fn new(name: &str, address: &str) -> Worker {
        let (name, address) = (name.to_owned(), address.to_owned());
        Worker { name, address, listed: true, accepts_calls: true, connections: Vec::new() }
    }

    /// Stops new calls to this worker. Takes back the calls of which no byte is written, and returns their
    /// attempts.
    pub fn stop(&mut self) -> Vec<AttemptId> {
        self.accepts_calls = false;
        self.connections.iter().flat_map(|connection| connection.take_unsent()).collect()
    }

    /// Retires all connections: they get no new calls, and each is closed once nothing is in flight on it.
    pub fn retire(&self) {
        self.connections.iter().for_each(|connection| connection.retire());
    }

    /// Whether the entry has to be kept: the worker is listed or has connections.
    pub fn is_needed(&self) -> bool {
        self.listed || !self.connections.is_empty()
    }
}
