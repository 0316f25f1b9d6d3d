//! What was observed at both ends of a soak test, and which invariants it violates.
//!
//! Each file of checks owns the tolerances of its invariants. None ever observes anything itself: the
//! `soak-test` program fills [`Observations`]. All times (`..._at`) are microseconds of the machine's
//! monotonic clock, which its processes share.

mod observations;
mod parts;
mod processes;
mod requests;
mod stalled_clients;
mod violation;

pub use observations::{
    EndpointRemoval, Observations, Part, Process, ProcessExit, Request, RequestOutcome, StalledClient,
    WorkerPause,
};
pub use violation::{Violation, ViolationKind};

use std::collections::HashMap;

/// The invariants that these observations violate.
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
