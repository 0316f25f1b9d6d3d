//! The invariant of clients that stall in the middle of a request.

use super::observations::Observations;
use super::violation::{Violation, ViolationKind, ms, report};

/// A client that stalls in the middle of a request gets its error or close within this.
const STALLED_CLIENT_LIMIT_US: u64 = 3_000_000;
/// The tolerance of that limit.
const STALLED_CLIENT_SLACK_US: u64 = 200_000;

/// Whether clients that stalled were closed in time.
pub fn check_stalled_clients(observations: &Observations, violations: &mut Vec<Violation>) {
    let limit_us = STALLED_CLIENT_LIMIT_US + observations.observer_lag_us + STALLED_CLIENT_SLACK_US;
    for client in &observations.stalled_clients {
        if client.closed_at.is_none_or(|closed_at| closed_at > client.stalled_at + limit_us) {
            let details = format!("held for more than {} ms", ms(limit_us));
            report(violations, ViolationKind::StalledClientHeld, details);
        }
    }
}
