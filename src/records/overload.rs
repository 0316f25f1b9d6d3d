//! When clients ask for more than is served: with a memory, so that one bad second is no period.

use super::metrics::{MetricsSnapshot, QueryEnd};

/// A period begins with a second of so many refusals, and of so great a share.
const LEAST_REFUSED: u64 = 5;
const BEGINS: f64 = 0.05;
/// It ends after so many seconds in a row below this share.
const ENDS: f64 = 0.01;
const QUIET: u32 = 5;

/// Follows refusals second by second.
#[derive(Debug, Default)]
pub struct OverloadDetector {
    on: bool,
    quiet: u32,
}

impl OverloadDetector {
    /// Whether a period begins (`true`) or ends (`false`) with this second.
    pub fn observe(&mut self, second: &MetricsSnapshot) -> Option<bool> {
        let taken: u64 = second.queries.iter().map(|queries| queries.accepted).sum();
        let refused = |end: QueryEnd| second.queries.iter().filter_map(move |queries| queries.ends.get(&end));
        let refused: u64 =
            refused(QueryEnd::RejectedByPolicy).chain(refused(QueryEnd::RejectedAtCapacity)).sum();
        let share = refused as f64 / taken.max(refused).max(1) as f64;
        if !self.on {
            self.on = refused >= LEAST_REFUSED && share >= BEGINS;
            self.quiet = 0;
            return self.on.then_some(true);
        }
        self.quiet = if share < ENDS { self.quiet + 1 } else { 0 };
        if self.quiet >= QUIET {
            self.on = false;
            return Some(false);
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::records::metrics::QueryMetrics;

    fn second(taken: u64, refused: u64) -> MetricsSnapshot {
        let ends = [(QueryEnd::RejectedByPolicy, refused)].into();
        MetricsSnapshot {
            queries: vec![QueryMetrics { accepted: taken, ends, ..QueryMetrics::default() }],
            ..MetricsSnapshot::default()
        }
    }

    #[test]
    fn a_period_has_one_begin_and_one_end() {
        let mut overload = OverloadDetector::default();
        let mut said = Vec::new();
        let seconds =
            [(100, 4), (100, 5), (100, 0), (100, 50), (0, 0), (0, 0), (0, 0), (0, 0), (100, 0), (100, 0)];
        for (at, (taken, refused)) in seconds.into_iter().enumerate() {
            said.extend(overload.observe(&second(taken, refused)).map(|begins| (at, begins)));
        }
        assert_eq!(said, [(1, true), (8, false)]);
    }
}
