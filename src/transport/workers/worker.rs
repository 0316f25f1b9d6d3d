//! What the pool knows of one worker: its address, whether it accepts calls, and its connections.
//!
//! It opens no connection and chooses none.

use super::connection::Connection;
use crate::routing::AttemptId;
use std::rc::Rc;

/// A worker, for as long as it is listed or has a connection.
pub(super) struct Worker {
    /// Its name in the endpoint list.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Discovery lists it.
    pub listed: bool,
    /// It accepts new calls.
    pub accepts_calls: bool,
    /// Its connections, open or being opened.
    pub connections: Vec<Rc<Connection>>,
}

impl Worker {
    /// Creates a worker that is listed, accepts calls and has no connection.
    pub fn new(name: &str, address: &str) -> Worker {
        let (name, address) = (name.to_owned(), address.to_owned());
        Worker { name, address, listed: true, accepts_calls: true, connections: Vec::new() }
    }

    /// Sends no new call to this worker, and takes back the calls that wait to be written.
    pub fn stop(&mut self) -> Vec<AttemptId> {
        self.accepts_calls = false;
        self.connections.iter().flat_map(|connection| connection.take_unsent()).collect()
    }

    /// Gives its connections no new calls; each ends once nothing is in flight on it.
    pub fn retire(&self) {
        self.connections.iter().for_each(|connection| connection.retire());
    }

    /// Whether it has to be remembered.
    pub fn is_needed(&self) -> bool {
        self.listed || !self.connections.is_empty()
    }
}
