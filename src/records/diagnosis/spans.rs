//! Merges the time steps in which a condition holds into spans of time.

use super::MIN_SAMPLES;
use crate::records::summary::{Summary, TimeStep};
use std::collections::BTreeSet;

/// A span of time, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    /// Start of the span.
    pub from_ms: u64,
    /// End of the span.
    pub to_ms: u64,
}

/// Merges the steps with these starts into spans. Another step in between ends a span only if `is_conclusive` holds for
/// it: a step with too few samples does not show that the condition no longer held.
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

/// Whether a step has enough attempts at any worker to draw conclusions.
pub(super) fn has_enough_attempts(step: &TimeStep) -> bool {
    step.attempts.values().any(|attempts| attempts.total() >= MIN_SAMPLES)
}

/// Returns the median, or the upper of the two middle values; `None` without values.
pub(super) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
