//! Workers as discovery lists them, and the registry that maps their names to the decision module's ids.

use crate::policy::{EndpointStatus, Time, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// A worker as discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Name of the worker, the same at every gatherer.
    pub name: String,
    /// Address on which the worker listens.
    pub address: String,
    /// Name of the worker's zone.
    pub zone: String,
    /// Cell of the worker in the shard layout.
    pub cell: u32,
    /// Status that discovery lists: active, draining or gone.
    pub status: EndpointStatus,
    /// Capacity of the worker, relative to other workers.
    pub units: f64,
    /// Last start in Unix time; `None` if the start was long ago.
    // Outer name: the hand-over message of an upgrade keeps the field's first name.
    #[serde(rename = "since")]
    pub started_at: Option<Time>,
}

/// An update of the endpoint list: all entries, or those that changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerListUpdate {
    /// Version of the list.
    pub revision: u64,
    /// Whether `workers` is the complete list.
    pub complete: bool,
    /// Entries of the update.
    // Outer name: the hand-over message of an upgrade keeps the field's first name.
    #[serde(rename = "members")]
    pub workers: Vec<ListedWorker>,
}

/// Where an endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// The discovery service, or the reloaded file of index servers: the list is current.
    Discovery,
    /// The configuration at start, or the other process of the gatherer: the list may be stale.
    Cache,
}

/// Maps worker names to ids and back. An id is a hash of the name, so that all gatherers prefer the same replica for a
/// key.
#[derive(Debug, Default)]
pub struct WorkerRegistry {
    ids: HashMap<String, WorkerId>,
    names: HashMap<WorkerId, String>,
}

impl WorkerRegistry {
    /// Returns the id of a worker, which is assigned on first use. If the hash of the name is taken, the next free id
    /// is assigned.
    pub fn get_or_insert(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = WorkerId(xxh3_64(name.as_bytes()) as u32);
        while self.names.contains_key(&id) {
            id = WorkerId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        id
    }

    /// Returns the id of a worker, if its name is registered.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of a worker, if its id is registered.
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.names.get(&worker).map(String::as_str)
    }

    /// Returns all assigned ids, in no particular order.
    pub fn ids(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.names.keys().copied()
    }

    /// Removes these workers; their ids can be assigned again.
    pub fn forget(&mut self, workers: impl Iterator<Item = WorkerId>) {
        for id in workers {
            if let Some(name) = self.names.remove(&id) {
                self.ids.remove(&name);
            }
        }
    }
}
