//! Workers by name, as discovery tells of them, and the ids under which the module knows them.

use crate::policy::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// A worker as discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Its name, the same at every gatherer.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its zone, by name.
    pub zone: String,
    /// Its place in the layout.
    pub cell: u32,
    /// Whether it takes work.
    pub status: EndpointStatus,
    /// Its listed size.
    pub units: f64,
    /// Its last start in Unix time; `None` for long ago.
    // The hand-over's JSON keeps the first name of this field.
    #[serde(rename = "since")]
    pub started_at: Option<Time>,
}

/// News from discovery: the complete list, or the entries that changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerListUpdate {
    /// The list's version.
    pub revision: u64,
    /// Whether `members` is the whole list.
    pub complete: bool,
    /// The entries.
    // The hand-over's JSON keeps the first name of this field.
    #[serde(rename = "members")]
    pub workers: Vec<ListedWorker>,
}

/// Names to ids. An id is a hash of the name, so that all gatherers prefer the same worker for a key.
#[derive(Debug, Default)]
pub struct WorkerRegistry {
    ids: HashMap<String, WorkerId>,
    names: HashMap<WorkerId, String>,
}

impl WorkerRegistry {
    /// The id of this worker, made up on first sight. Two names that hash alike take neighbouring ids.
    pub fn id(&mut self, name: &str) -> WorkerId {
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

    /// Whether this worker was ever listed.
    pub fn known(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// The name of a worker.
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.names.get(&worker).map(String::as_str)
    }

    /// All workers ever listed.
    pub fn all(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.names.keys().copied()
    }

    /// Forgets workers that are gone, once there are more names than any fleet has.
    pub fn forget(&mut self, gone: impl Iterator<Item = WorkerId>) {
        for id in gone {
            if let Some(name) = self.names.remove(&id) {
                self.ids.remove(&name);
            }
        }
    }
}
