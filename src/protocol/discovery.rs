//! Discovery's endpoint list of workers, complete or as changes to an earlier revision.
//!
//! The module decodes discovery's JSON into a [`WorkerListUpdate`] and builds the targets of requests for the list. It
//! does not apply an update or decide whether one is new.

use crate::policy::{EndpointStatus, Time};
use crate::routing::{ListedWorker, WorkerListUpdate};
use serde::Deserialize;

/// Nanoseconds per millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

// Discovery defines the names of these fields and phases.
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

/// The size of a worker whose entry has none.
fn default_size() -> f64 {
    1.0
}

/// A request for changes after a revision. Discovery holds it until there is a newer revision or the wait has elapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongPoll {
    /// Revision of the list that the caller has.
    pub after_revision: u64,
    /// How long discovery may hold the request where there is no newer revision, in milliseconds.
    pub wait_ms: u64,
}

/// Returns the request target of the complete list, or of a long poll.
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
/// If the body is not an endpoint list in discovery's JSON format.
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
