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

/// Merges the steps with these starts into spans. A step in between ends a span only if it is `is_conclusive`: one with too
/// few samples proves nothing.
pub(super) fn merge_into_spans(
    summary: &Summary,
    step_starts_ms: &BTreeSet<u64>,
    is_conclusive: impl Fn(u64, &TimeStep) -> bool,
) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    let mut span_continues = false;
    for (start_ms, step) in &summary.steps {
        if !step_starts_ms.contains(start_ms) {
            span_continues &= !is_conclusive(*start_ms, step);
            continue;
        }
        let to_ms = start_ms + summary.step_ms();
        match spans.last_mut().filter(|_| span_continues) {
            Some(span) => span.to_ms = to_ms,
            None => spans.push(Span { from_ms: *start_ms, to_ms }),
        }
        span_continues = true;
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
