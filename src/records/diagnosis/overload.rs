//! Findings about clients that requested more than could be served.

use super::spans::{has_enough_attempts, median, merge_into_spans};
use super::{Certainty, Finding, FindingKind, MIN_SAMPLES};
use crate::records::summary::{QueryCounts, Summary, TimeStep};
use std::collections::BTreeSet;

/// Share of rejected queries from which a time step counts as overloaded.
const MIN_REJECTED_SHARE: f64 = 0.05;
/// Multiple of the usual number of queries in a time step from which overload is attributed to the clients.
const MIN_SURGE: f64 = 1.3;

/// Sums the queries of a time step. Only the fields `received` and `rejected` are set.
fn sum_queries(step: &TimeStep) -> QueryCounts {
    let mut sum = QueryCounts::default();
    for counts in step.queries.values() {
        sum.received += counts.received;
        sum.rejected += counts.rejected;
    }
    sum
}

/// Finds times in which many queries were rejected; `worker_findings` are the findings about workers.
pub(super) fn find_overload(summary: &Summary, worker_findings: &[Finding]) -> Vec<Finding> {
    let received = summary.steps.values().map(|step| sum_queries(step).received as f64);
    let usual_queries = median(received.collect()).unwrap_or(0.0);
    let mut overloaded_starts_ms = BTreeSet::new();
    let (mut rejected, mut surge) = (0, 0.0_f64);
    for (start_ms, step) in &summary.steps {
        let sum = sum_queries(step);
        if sum.received >= MIN_SAMPLES && sum.rejected as f64 >= MIN_REJECTED_SHARE * sum.received as f64 {
            overloaded_starts_ms.insert(*start_ms);
            rejected += sum.rejected;
            surge = surge.max(sum.received as f64 / usual_queries.max(1.0));
        }
    }
    let mut findings = Vec::new();
    for span in merge_into_spans(summary, &overloaded_starts_ms, |_, step| has_enough_attempts(step)) {
        let fleet_is_slow = worker_findings.iter().any(|finding| {
            finding.kind == FindingKind::FleetSlow
                && finding.from_ms < span.to_ms
                && finding.to_ms > span.from_ms
        });
        // Without a surge of queries, the slow workers are the cause of the rejections, not the clients.
        if fleet_is_slow && surge < MIN_SURGE {
            continue;
        }
        findings.push(Finding {
            kind: FindingKind::Overload,
            from_ms: span.from_ms,
            to_ms: span.to_ms,
            certainty: if surge >= MIN_SURGE { Certainty::Likely } else { Certainty::Possible },
            evidence: format!("{rejected} rejected; up to {surge:.1} times as many queries as usual"),
            counter_evidence: fleet_is_slow.then(|| "the workers are slow at the same time".to_owned()),
        });
    }
    findings
}
