//! The invariant of clients that stall in the middle of a request.

use super::observations::Observations;
use super::violation::{Violation, ViolationKind, ms, report};

/// Time within which a client that stalls in the middle of a request gets an error or is disconnected.
const STALLED_CLIENT_LIMIT_US: u64 = 3_000_000;
/// Tolerance of [`STALLED_CLIENT_LIMIT_US`].
const STALLED_CLIENT_SLACK_US: u64 = 200_000;

/// Checks that stalled clients got an error or were disconnected in time.
pub fn check_stalled_clients(observations: &Observations, violations: &mut Vec<Violation>) {
    let limit_us = STALLED_CLIENT_LIMIT_US + observations.observer_lag_us + STALLED_CLIENT_SLACK_US;
    for client in &observations.stalled_clients {
        if client.closed_at.is_none_or(|closed_at| closed_at > client.stalled_at + limit_us) {
            let details = format!("stalled client was held for more than {} ms", ms(limit_us));
            report(violations, ViolationKind::StalledClientHeld, details);
        }
    }
}
