//! Discovery's list of workers, whole or as changes.

use crate::policy::{EndpointStatus, Time};
use crate::routing::{ListedWorker, WorkerListUpdate};
use serde::Deserialize;

#[derive(Deserialize)]
struct List {
    revision: u64,
    complete: bool,
    members: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u32,
    phase: Phase,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Phase {
    Serving,
    Draining,
    Deleted,
}

fn one() -> f64 {
    1.0
}

/// The path of the whole list, or of a watch for what is newer than `after`.
pub fn endpoint_list_target(watch: Option<(u64, u64)>) -> String {
    match watch {
        None => "/catalog/members".to_owned(),
        Some((after, wait_ms)) => format!("/catalog/members?index={after}&wait={wait_ms}"),
    }
}

/// Reads a list.
pub fn decode_endpoint_list(bytes: &[u8]) -> Result<WorkerListUpdate, serde_json::Error> {
    let list: List = serde_json::from_slice(bytes)?;
    let member = |entry: Entry| ListedWorker {
        name: entry.id,
        address: entry.host_port,
        zone: entry.locality,
        cell: entry.cell,
        status: match entry.phase {
            Phase::Serving => EndpointStatus::Active,
            Phase::Draining => EndpointStatus::Draining,
            Phase::Deleted => EndpointStatus::Gone,
        },
        units: entry.size,
        started_at: (entry.up_since_ms > 0).then(|| Time(entry.up_since_ms.saturating_mul(1_000_000))),
    };
    Ok(WorkerListUpdate {
        revision: list.revision,
        complete: list.complete,
        workers: list.members.into_iter().map(member).collect(),
    })
}
