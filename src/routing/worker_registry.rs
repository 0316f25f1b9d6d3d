//! Workers by name, as discovery lists them, and the ids under which the decision module knows them.

use crate::policy::{EndpointStatus, Time, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// A worker as discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Its name, the same at every gatherer.
    pub name: String,
    /// The address at which it listens.
    pub address: String,
    /// The name of its zone.
    pub zone: String,
    /// Its cell in the layout of shards.
    pub cell: u32,
    /// Whether it accepts work.
    pub status: EndpointStatus,
    /// Its listed size, relative to that of others.
    pub units: f64,
    /// Its last start in Unix time; `None` for long ago.
    // Outer name: the hand-over message of an upgrade keeps the field's first name.
    #[serde(rename = "since")]
    pub started_at: Option<Time>,
}

/// What discovery sends: the complete list, or the entries that changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerListUpdate {
    /// The list's version.
    pub revision: u64,
    /// Whether `workers` is the complete list.
    pub complete: bool,
    /// The entries.
    // Outer name: the hand-over message of an upgrade keeps the field's first name.
    #[serde(rename = "members")]
    pub workers: Vec<ListedWorker>,
}

/// The ids of workers by name. An id is a hash of the name, so that all gatherers prefer the same replica for a key.
#[derive(Debug, Default)]
pub struct WorkerRegistry {
    ids: HashMap<String, WorkerId>,
    names: HashMap<WorkerId, String>,
}

impl WorkerRegistry {
    /// The id of this worker, which is assigned on first use. Where two names hash alike, the later one gets the next
    /// free id.
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

    /// The id of a worker that was listed before.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// The name of a worker.
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.names.get(&worker).map(String::as_str)
    }

    /// All ids that are assigned.
    pub fn ids(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.names.keys().copied()
    }

    /// Forgets these workers.
    pub fn forget(&mut self, workers: impl Iterator<Item = WorkerId>) {
        for id in workers {
            if let Some(name) = self.names.remove(&id) {
                self.ids.remove(&name);
            }
        }
    }
}
