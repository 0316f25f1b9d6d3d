//! Discovery's endpoint list of workers, complete or as changes to an earlier revision.
//!
//! It turns discovery's JSON into a [`WorkerListUpdate`] and builds the targets of requests for it. It never applies an
//! update and never judges whether one is new.

use crate::policy::{EndpointStatus, Time};
use crate::routing::{ListedWorker, WorkerListUpdate};
use serde::Deserialize;

/// Nanoseconds of a millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

// The names of these fields and phases are discovery's.
#[derive(Deserialize)]
struct Catalog {
    revision: u64,
    complete: bool,
    members: Vec<CatalogMember>,
}

#[derive(Deserialize)]
struct CatalogMember {
    id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u32,
    phase: Phase,
    #[serde(default = "default_size")]
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

/// The size of a worker whose entry does not say.
fn default_size() -> f64 {
    1.0
}

/// A request for what is newer than a revision, to which discovery responds once there is a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongPoll {
    /// The revision that is held already.
    pub after_revision: u64,
    /// How long discovery may wait before it responds that there is none, in milliseconds.
    pub wait_ms: u64,
}

/// The request target of the complete list, or of a long poll.
#[must_use]
pub fn endpoint_list_target(long_poll: Option<LongPoll>) -> String {
    match long_poll {
        None => "/catalog/members".to_owned(),
        Some(LongPoll { after_revision, wait_ms }) => {
            format!("/catalog/members?index={after_revision}&wait={wait_ms}")
        }
    }
}

/// Decodes an endpoint list.
///
/// # Errors
///
/// If the body is not JSON of discovery's form.
pub fn decode_endpoint_list(body: &[u8]) -> Result<WorkerListUpdate, serde_json::Error> {
    let catalog: Catalog = serde_json::from_slice(body)?;
    Ok(WorkerListUpdate {
        revision: catalog.revision,
        complete: catalog.complete,
        workers: catalog.members.into_iter().map(listed_worker).collect(),
    })
}

fn listed_worker(member: CatalogMember) -> ListedWorker {
    let started_at = Time(member.up_since_ms.saturating_mul(NANOS_PER_MS));
    ListedWorker {
        name: member.id,
        address: member.host_port,
        zone: member.locality,
        cell: member.cell,
        status: match member.phase {
            Phase::Serving => EndpointStatus::Active,
            Phase::Draining => EndpointStatus::Draining,
            Phase::Deleted => EndpointStatus::Gone,
        },
        units: member.size,
        started_at: (member.up_since_ms > 0).then_some(started_at),
    }
}
