//! Findings about gatherers: deaths, restart loops and missing records.

use super::{Certainty, Finding, FindingKind};
use crate::records::summary::{IncarnationSummary, Summary};
use std::collections::BTreeMap;

/// An incarnation that has recorded nothing for this time, while others have, is dead: metrics are recorded once per
/// second.
const SILENCE_OF_DEAD_MS: u64 = 5_000;
/// Number of deaths of one gatherer within [`RESTART_LOOP_MS`] that are a restart loop.
const RESTART_LOOP_DEATHS: usize = 3;
/// Time within which the deaths of a restart loop happen, in milliseconds.
const RESTART_LOOP_MS: u64 = 300_000;

/// An incarnation of the gatherer that is examined.
struct Incarnation<'a> {
    name: &'a str,
    summary: &'a IncarnationSummary,
}

/// Finds incarnations that ended without a graceful shutdown, and gatherers in a restart loop.
pub(super) fn find_deaths(summary: &Summary) -> Vec<Finding> {
    let end_ms = summary.incarnations.values().map(|incarnation| incarnation.last_ms).max().unwrap_or(0);
    let mut by_gatherer: BTreeMap<&str, Vec<Incarnation<'_>>> = BTreeMap::new();
    for (id, summary) in &summary.incarnations {
        let incarnation = Incarnation { name: &id.incarnation, summary };
        by_gatherer.entry(&id.gatherer).or_default().push(incarnation);
    }
    let mut findings = Vec::new();
    for (gatherer, mut incarnations) in by_gatherer {
        incarnations.sort_by_key(|incarnation| incarnation.summary.first_ms);
        let mut deaths_ms: Vec<u64> = Vec::new();
        for (index, incarnation) in incarnations.iter().enumerate() {
            let next_start_ms = incarnations.get(index + 1).map(|next| next.summary.first_ms);
            if let Some(death) = find_death(gatherer, incarnation, next_start_ms, end_ms) {
                deaths_ms.push(death.from_ms);
                findings.push(death);
            }
        }
        findings.extend(find_restart_loop(gatherer, &deaths_ms));
    }
    findings
}

fn find_death(
    gatherer: &str,
    incarnation: &Incarnation<'_>,
    next_start_ms: Option<u64>,
    end_ms: u64,
) -> Option<Finding> {
    let Incarnation { name, summary } = incarnation;
    let silent = end_ms.saturating_sub(summary.last_ms) >= SILENCE_OF_DEAD_MS;
    if summary.stopped || !(next_start_ms.is_some() || silent) {
        return None;
    }
    let open_by_class: Vec<String> = summary
        .open
        .iter()
        .filter(|(_, open)| **open > 0)
        .map(|(class, open)| format!("{open} {class}"))
        .collect();
    let open = if open_by_class.is_empty() { "no query".to_owned() } else { open_by_class.join(", ") };
    let restart = next_start_ms.map_or("and it has not started since".to_owned(), |next_start_ms| {
        let seconds = next_start_ms.saturating_sub(summary.last_ms) as f64 / 1000.0;
        format!("and it started again {seconds:.1} s later")
    });
    let may_be_unable_to_write = next_start_ms.is_none() && summary.reported_lost + summary.missing > 0;
    Some(Finding {
        kind: FindingKind::Death { gatherer: gatherer.to_owned(), incarnation: (*name).to_owned() },
        from_ms: summary.last_ms,
        to_ms: next_start_ms.unwrap_or(end_ms),
        certainty: if next_start_ms.is_some() { Certainty::Certain } else { Certainty::Likely },
        evidence: format!(
            "its last record is not a stop, {restart}; it had accepted {open} without an end on record"
        ),
        counter_evidence: may_be_unable_to_write
            .then(|| "it had lost records before, so it may be alive and unable to write".to_owned()),
    })
}

fn find_restart_loop(gatherer: &str, deaths_ms: &[u64]) -> Option<Finding> {
    let in_loop =
        |window: &&[u64]| window[RESTART_LOOP_DEATHS - 1].saturating_sub(window[0]) <= RESTART_LOOP_MS;
    let first = deaths_ms.windows(RESTART_LOOP_DEATHS).find(in_loop)?;
    Some(Finding {
        kind: FindingKind::RestartLoop { gatherer: gatherer.to_owned() },
        from_ms: first[0],
        to_ms: deaths_ms.last().copied().unwrap_or(first[0]),
        certainty: Certainty::Certain,
        evidence: format!("{} incarnations without a stop", deaths_ms.len()),
        counter_evidence: None,
    })
}

/// Finds incarnations with gaps in the sequence of their records.
pub(super) fn find_missing_records(summary: &Summary) -> Vec<Finding> {
    let with_missing_records = summary.incarnations.iter().filter(|(_, incarnation)| incarnation.missing > 0);
    with_missing_records
        .map(|(id, incarnation)| Finding {
            kind: FindingKind::RecordsMissing { gatherer: id.gatherer.clone() },
            from_ms: incarnation.first_ms,
            to_ms: incarnation.last_ms,
            certainty: Certainty::Certain,
            evidence: format!(
                "{} records of incarnation {} are missing; it reports {} as lost",
                incarnation.missing, id.incarnation, incarnation.reported_lost
            ),
            counter_evidence: None,
        })
        .collect()
}
