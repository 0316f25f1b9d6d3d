//! Detects periods of overload: times in which clients request more than the process accepts.
//!
//! Owns the state of the current period. It has hysteresis, so that one bad second is not a period.

use super::metrics::{MetricsSnapshot, QueryEnd};

/// A period begins with a second of at least this number of rejections...
const MIN_REJECTED_TO_BEGIN: u64 = 5;
/// ...that are at least this share of the queries.
const REJECTED_SHARE_TO_BEGIN: f64 = 0.05;
/// A period ends after [`QUIET_SECONDS_TO_END`] seconds in a row with less than this share of rejections.
const REJECTED_SHARE_TO_END: f64 = 0.01;
/// Seconds in a row with few rejections after which a period ends.
const QUIET_SECONDS_TO_END: u32 = 5;

/// Follows rejections second by second.
#[derive(Debug, Default)]
pub struct OverloadDetector {
    overloaded: bool,
    quiet_seconds: u32,
}

impl OverloadDetector {
    /// Takes the metrics of one second, and returns whether a period begins (`true`) or ends (`false`) with it.
    #[must_use]
    pub fn observe(&mut self, second: &MetricsSnapshot) -> Option<bool> {
        let accepted: u64 = second.queries.iter().map(|queries| queries.accepted).sum();
        let counts_of =
            |end: QueryEnd| second.queries.iter().filter_map(move |queries| queries.ends.get(&end));
        let rejected: u64 =
            counts_of(QueryEnd::RejectedByPolicy).chain(counts_of(QueryEnd::RejectedAtCapacity)).sum();
        let rejected_share = rejected as f64 / accepted.max(rejected).max(1) as f64;
        if !self.overloaded {
            self.overloaded = rejected >= MIN_REJECTED_TO_BEGIN && rejected_share >= REJECTED_SHARE_TO_BEGIN;
            self.quiet_seconds = 0;
            return self.overloaded.then_some(true);
        }
        let quiet = rejected_share < REJECTED_SHARE_TO_END;
        self.quiet_seconds = if quiet { self.quiet_seconds + 1 } else { 0 };
        if self.quiet_seconds >= QUIET_SECONDS_TO_END {
            self.overloaded = false;
            return Some(false);
        }
        None
    }
}

#[cfg(test)]
mod tests;
