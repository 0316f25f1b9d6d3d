//! Checks the observations of a soak test, made at its clients and its workers, against the invariants.
//!
//! Each submodule of checks owns the tolerances of its invariants. The `soak-test` program fills
//! [`Observations`]; the checker observes nothing itself. All times (`..._at`) are microseconds of the
//! machine's monotonic clock, which all processes share.

mod observations;
mod parts;
mod processes;
mod requests;
mod stalled_clients;
mod violation;

pub use observations::{
    EndpointRemoval, Observations, Part, Process, ProcessExit, Repeats, Request, RequestOutcome,
    StalledClient, WorkerPause,
};
pub use violation::{Violation, ViolationKind};

use std::collections::HashMap;

/// Returns the violated invariants; empty if the observations violate none.
#[must_use]
pub fn check(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let requests: HashMap<&str, &Request> =
        observations.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    requests::check_requests(observations, &mut violations);
    parts::check_parts(observations, &requests, &mut violations);
    parts::check_duplicates(observations, &requests, &mut violations);
    processes::check_processes(observations, &mut violations);
    stalled_clients::check_stalled_clients(observations, &mut violations);
    violations
}
