//! Detects periods of overload: times in which clients request more than the process accepts.
//!
//! The detector owns the state of the current period. Its thresholds have hysteresis, so that rejections that come and
//! go do not start a period each time.

use super::metrics::{MetricsSnapshot, QueryEnd};

/// A period starts with a second that has at least this number of rejections, if their share is at least
/// [`REJECTED_SHARE_TO_START`].
const MIN_REJECTED_TO_START: u64 = 5;
/// Share of rejections among the queries of a second from which a period starts.
const REJECTED_SHARE_TO_START: f64 = 0.05;
/// A period ends after [`QUIET_SECONDS_TO_END`] consecutive seconds with less than this share of rejections.
const REJECTED_SHARE_TO_END: f64 = 0.01;
/// Consecutive seconds with few rejections after which a period ends.
const QUIET_SECONDS_TO_END: u32 = 5;

/// Start or end of a period of overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadChange {
    /// A period starts.
    Started,
    /// The current period ends.
    Ended,
}

/// Detects overload from the rejections of each second.
#[derive(Debug, Default)]
pub struct OverloadDetector {
    overloaded: bool,
    quiet_seconds: u32,
}

impl OverloadDetector {
    /// Evaluates the metrics of one second. Returns the change if a period starts or ends with this second.
    #[must_use]
    pub fn observe(&mut self, second: &MetricsSnapshot) -> Option<OverloadChange> {
        let accepted: u64 = second.queries.iter().map(|queries| queries.accepted).sum();
        let counts_of =
            |end: QueryEnd| second.queries.iter().filter_map(move |queries| queries.ends.get(&end));
        let rejected: u64 =
            counts_of(QueryEnd::RejectedByPolicy).chain(counts_of(QueryEnd::RejectedAtCapacity)).sum();
        let rejected_share = rejected as f64 / accepted.max(rejected).max(1) as f64;
        if !self.overloaded {
            self.overloaded = rejected >= MIN_REJECTED_TO_START && rejected_share >= REJECTED_SHARE_TO_START;
            self.quiet_seconds = 0;
            return self.overloaded.then_some(OverloadChange::Started);
        }
        let quiet = rejected_share < REJECTED_SHARE_TO_END;
        self.quiet_seconds = if quiet { self.quiet_seconds + 1 } else { 0 };
        if self.quiet_seconds >= QUIET_SECONDS_TO_END {
            self.overloaded = false;
            return Some(OverloadChange::Ended);
        }
        None
    }
}

#[cfg(test)]
mod tests;
