//! Tests of the periods of overload.

use super::OverloadDetector;
use crate::records::metrics::{MetricsSnapshot, QueryEnd, QueryMetrics};

fn second(accepted: u64, rejected: u64) -> MetricsSnapshot {
    let ends = [(QueryEnd::RejectedByPolicy, rejected)].into();
    let queries = vec![QueryMetrics { accepted, ends, ..QueryMetrics::default() }];
    MetricsSnapshot { queries, ..MetricsSnapshot::default() }
}

#[test]
fn a_period_of_overload_has_one_begin_and_one_end() {
    let mut detector = OverloadDetector::default();
    let mut changes = Vec::new();
    let seconds =
        [(100, 4), (100, 5), (100, 0), (100, 50), (0, 0), (0, 0), (0, 0), (0, 0), (100, 0), (100, 0)];
    for (at, (accepted, rejected)) in seconds.into_iter().enumerate() {
        changes.extend(detector.observe(&second(accepted, rejected)).map(|begins| (at, begins)));
    }
    assert_eq!(changes, [(1, true), (8, false)]);
}
