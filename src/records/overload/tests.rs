//! Tests of the detection of overload periods.

use super::{OverloadChange, OverloadDetector};
use crate::records::metrics::{MetricsSnapshot, QueryEnd, QueryMetrics};

/// The metrics of one second.
fn second(accepted: u64, rejected: u64) -> MetricsSnapshot {
    let ends = [(QueryEnd::RejectedByPolicy, rejected)].into();
    let queries = vec![QueryMetrics { accepted, ends, ..QueryMetrics::default() }];
    MetricsSnapshot { queries, ..MetricsSnapshot::default() }
}

#[test]
fn a_period_of_overload_starts_once_and_ends_once() {
    let mut detector = OverloadDetector::default();
    let mut changes = Vec::new();
    let seconds =
        [(100, 4), (100, 5), (100, 0), (100, 50), (0, 0), (0, 0), (0, 0), (0, 0), (100, 0), (100, 0)];
    for (index, (accepted, rejected)) in seconds.into_iter().enumerate() {
        changes.extend(detector.observe(&second(accepted, rejected)).map(|change| (index, change)));
    }
    assert_eq!(changes, [(1, OverloadChange::Started), (8, OverloadChange::Ended)]);
}
