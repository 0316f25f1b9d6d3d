//! Time steps that belong together: the steps in which a condition holds become spans of time.

use super::MIN_SAMPLES;
use crate::records::summary::{Summary, TimeStep};
use std::collections::BTreeSet;

/// A span of time, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    /// Its begin.
    pub from_ms: u64,
    /// Its end.
    pub to_ms: u64,
}

/// Merges the steps with these begins into spans. A step in between ends a span only if it is `conclusive`: one with too
/// few samples proves nothing.
pub(super) fn merge_into_spans(
    summary: &Summary,
    begins: &BTreeSet<u64>,
    conclusive: impl Fn(u64, &TimeStep) -> bool,
) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    let mut continues = false;
    for (begin, step) in &summary.steps {
        if !begins.contains(begin) {
            continues &= !conclusive(*begin, step);
            continue;
        }
        let to_ms = begin + summary.step_ms();
        match spans.last_mut().filter(|_| continues) {
            Some(span) => span.to_ms = to_ms,
            None => spans.push(Span { from_ms: *begin, to_ms }),
        }
        continues = true;
    }
    spans
}

/// Whether a step has enough attempts at any worker to prove anything.
pub(super) fn has_enough_attempts(step: &TimeStep) -> bool {
    step.attempts.values().any(|attempts| attempts.total() >= MIN_SAMPLES)
}

/// Returns the median, the upper one of two; `None` of no values.
pub(super) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
