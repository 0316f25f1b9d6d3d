//! What probably happened: findings from what records add up to, each with its evidence, span and certainty, and what
//! speaks against it.

use super::metrics::AttemptMetrics;
use super::summary::{IncarnationSummary, QueryCounts, Summary, TimeStep};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// An incarnation that has recorded nothing for this time, while others have, is dead. Metrics are recorded once per
/// second.
const SILENCE_OF_DEAD_MS: u64 = 5_000;
/// Fewer workers than this prove nothing about the fleet.
const MIN_FLEET_SIZE: usize = 2;
/// Deaths of one gatherer within [`RESTART_LOOP_MS`] that make a restart loop.
const RESTART_LOOP_DEATHS: usize = 3;
/// Time within which the deaths of a restart loop happen.
const RESTART_LOOP_MS: u64 = 300_000;
/// A worker is slow at this multiple of the median of all workers.
const SLOW_WORKER_RATIO: f64 = 3.0;
/// A worker of a slow fleet takes this multiple of its own usual time.
const SLOW_FLEET_RATIO: f64 = 2.0;
/// The fleet is slow where this share of the workers is slow at the same time.
const SLOW_FLEET_SHARE: f64 = 0.6;
/// A worker is unresponsive where this share of its attempts gets no response.
const MIN_UNANSWERED_SHARE: f64 = 0.1;
/// Attempts at a worker, or queries, below which a time step proves nothing.
const MIN_SAMPLES: u64 = 20;
/// Share of rejected queries from which a time step counts as overloaded.
const MIN_REJECTED_SHARE: f64 = 0.05;
/// Multiple of the usual number of queries from which clients requested too much.
const MIN_SURGE: f64 = 1.3;

/// What a finding is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum FindingKind {
    /// A gatherer ended without a graceful shutdown.
    Death {
        /// The gatherer.
        gatherer: String,
        /// The incarnation that ended.
        #[serde(rename = "start")]
        incarnation: String,
    },
    /// A gatherer dies again and again.
    RestartLoop {
        /// The gatherer.
        gatherer: String,
    },
    /// Most workers were slow at the same time.
    FleetSlow,
    /// One worker was slow while others were not.
    WorkerSlow {
        /// The worker.
        worker: String,
    },
    /// A worker did not respond to many attempts.
    #[serde(rename = "worker_loses")]
    WorkerUnresponsive {
        /// The worker.
        worker: String,
    },
    /// Clients requested more than could be served.
    Overload,
    /// Records are missing.
    RecordsMissing {
        /// The gatherer whose records are missing.
        gatherer: String,
    },
}

/// How certain a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// The records have no other explanation.
    Certain,
    /// It is the simplest explanation of the records.
    Likely,
    /// Other explanations are as good.
    Possible,
}

/// Something that probably happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// What it is about.
    #[serde(flatten)]
    pub kind: FindingKind,
    /// Its begin, in Unix milliseconds.
    pub from_ms: u64,
    /// Its end, in Unix milliseconds.
    pub to_ms: u64,
    /// How certain it is.
    pub certainty: Certainty,
    /// What speaks for it, in words.
    pub evidence: String,
    /// What speaks against it, in words, where anything does.
    #[serde(rename = "against")]
    pub counter_evidence: Option<String>,
}

/// All findings, the earliest first.
pub fn diagnose(summary: &Summary) -> Vec<Finding> {
    let mut findings = find_deaths(summary);
    findings.extend(find_missing_records(summary));
    findings.extend(find_slow_workers(summary));
    findings.extend(find_overload(summary, &findings));
    findings.sort_by(|a, b| (a.from_ms, &a.kind).cmp(&(b.from_ms, &b.kind)));
    findings
}

fn find_deaths(summary: &Summary) -> Vec<Finding> {
    let end = summary.incarnations.values().map(|seen| seen.last_ms).max().unwrap_or(0);
    let mut by_gatherer: BTreeMap<&str, Vec<(&str, &IncarnationSummary)>> = BTreeMap::new();
    for ((gatherer, start), seen) in &summary.incarnations {
        by_gatherer.entry(gatherer).or_default().push((start, seen));
    }
    let mut findings = Vec::new();
    for (gatherer, mut starts) in by_gatherer {
        starts.sort_by_key(|(_, seen)| seen.first_ms);
        let mut dead: Vec<u64> = Vec::new();
        for (at, (start, seen)) in starts.iter().enumerate() {
            let next = starts.get(at + 1).map(|(_, next)| next.first_ms);
            let silent = end.saturating_sub(seen.last_ms) >= SILENCE_OF_DEAD_MS;
            if seen.stopped || !(next.is_some() || silent) {
                continue;
            }
            dead.push(seen.last_ms);
            let open: Vec<String> = seen
                .open
                .iter()
                .filter(|(_, open)| **open > 0)
                .map(|(class, open)| format!("{open} {class}"))
                .collect();
            let took = if open.is_empty() { "no query".to_owned() } else { open.join(", ") };
            let again = next.map_or("and it has not started since".to_owned(), |next| {
                format!(
                    "and it started again {:.1} s later",
                    next.saturating_sub(seen.last_ms) as f64 / 1000.0
                )
            });
            findings.push(Finding {
                kind: FindingKind::Death { gatherer: gatherer.to_owned(), incarnation: (*start).to_owned() },
                from_ms: seen.last_ms,
                to_ms: next.unwrap_or(end),
                certainty: if next.is_some() { Certainty::Certain } else { Certainty::Likely },
                evidence: format!(
                    "its last record is not a stop, {again}; it had accepted {took} without an end on record"
                ),
                counter_evidence: (next.is_none() && seen.reported_lost + seen.missing > 0)
                    .then(|| "it had lost records before, so it may be alive and unable to write".to_owned()),
            });
        }
        let looped = dead
            .windows(RESTART_LOOP_DEATHS)
            .find(|few| few[RESTART_LOOP_DEATHS - 1].saturating_sub(few[0]) <= RESTART_LOOP_MS);
        if let Some(few) = looped {
            findings.push(Finding {
                kind: FindingKind::RestartLoop { gatherer: gatherer.to_owned() },
                from_ms: few[0],
                to_ms: dead.last().copied().unwrap_or(few[0]),
                certainty: Certainty::Certain,
                evidence: format!("{} incarnations without a stop", dead.len()),
                counter_evidence: None,
            });
        }
    }
    findings
}

fn find_missing_records(summary: &Summary) -> Vec<Finding> {
    let lossy = summary.incarnations.iter().filter(|(_, seen)| seen.missing > 0);
    lossy
        .map(|((gatherer, start), seen)| Finding {
            kind: FindingKind::RecordsMissing { gatherer: gatherer.clone() },
            from_ms: seen.first_ms,
            to_ms: seen.last_ms,
            certainty: Certainty::Certain,
            evidence: format!(
                "{} records of incarnation {start} are missing; it reports {} as lost",
                seen.missing, seen.reported_lost
            ),
            counter_evidence: None,
        })
        .collect()
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Time that a worker's answers took on average, where enough were seen.
fn pace(attempts: &AttemptMetrics) -> Option<f64> {
    (attempts.successful() >= MIN_SAMPLES).then(|| attempts.done_us as f64 / attempts.successful() as f64)
}

/// Whether a step has enough attempts at any worker to prove anything.
fn has_enough_attempts(step: &TimeStep) -> bool {
    step.attempts.values().any(|attempts| attempts.total() >= MIN_SAMPLES)
}

/// Merges steps in a row into spans. A step in between ends a span only if it is `conclusive`.
fn merge_into_spans(
    summary: &Summary,
    steps: &BTreeSet<u64>,
    conclusive: impl Fn(u64, &TimeStep) -> bool,
) -> Vec<(u64, u64)> {
    let mut spans: Vec<(u64, u64)> = Vec::new();
    let mut continues = false;
    for (begin, step) in &summary.steps {
        if !steps.contains(begin) {
            continues &= !conclusive(*begin, step);
            continue;
        }
        let to = begin + summary.step_ms();
        match spans.last_mut().filter(|_| continues) {
            Some(span) => span.1 = to,
            None => spans.push((*begin, to)),
        }
        continues = true;
    }
    spans
}

fn find_slow_workers(summary: &Summary) -> Vec<Finding> {
    let paces: BTreeMap<u64, BTreeMap<&str, f64>> = summary
        .steps
        .iter()
        .map(|(begin, step)| {
            let paces = step.attempts.iter().filter_map(|(name, all)| Some((name.as_str(), pace(all)?)));
            (*begin, paces.collect())
        })
        .collect();
    // The time that each worker usually takes: the lower quartile, because faults only lengthen times.
    let mut by_worker: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (name, pace) in paces.values().flatten() {
        by_worker.entry(name).or_default().push(*pace);
    }
    let usual: BTreeMap<&str, f64> = by_worker
        .into_iter()
        .filter_map(|(name, mut all)| {
            all.sort_by(f64::total_cmp);
            Some((name, *all.get(all.len() / 4)?))
        })
        .collect();
    let mut fleet = BTreeSet::new();
    let mut slow: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    let mut worst: BTreeMap<&str, f64> = BTreeMap::new();
    let mut fleet_worst: f64 = 0.0;
    for (begin, paces) in &paces {
        let behind = |name: &str, pace: f64| pace / usual.get(name).copied().unwrap_or(pace).max(1.0);
        let slower = paces.iter().filter(|(name, pace)| behind(name, **pace) >= SLOW_FLEET_RATIO).count();
        if paces.len() >= MIN_FLEET_SIZE && slower as f64 >= SLOW_FLEET_SHARE * paces.len() as f64 {
            fleet.insert(*begin);
            let all = median(paces.iter().map(|(name, pace)| behind(name, *pace)).collect());
            fleet_worst = fleet_worst.max(all.unwrap_or(0.0));
            continue;
        }
        let Some(middle) = median(paces.values().copied().collect()) else { continue };
        for (name, pace) in paces {
            if paces.len() >= 3 && *pace >= SLOW_WORKER_RATIO * middle {
                slow.entry(name).or_default().insert(*begin);
                let most = worst.entry(name).or_default();
                *most = most.max(pace / middle);
            }
        }
    }
    let mut findings = Vec::new();
    for (from_ms, to_ms) in merge_into_spans(summary, &fleet, |begin, _| {
        paces.get(&begin).is_some_and(|paces| paces.len() >= MIN_FLEET_SIZE)
    }) {
        findings.push(Finding {
            kind: FindingKind::FleetSlow,
            from_ms,
            to_ms,
            certainty: Certainty::Likely,
            evidence: format!(
                "most workers at once take up to {fleet_worst:.1} times what they usually take"
            ),
            counter_evidence: None,
        });
    }
    for (worker, steps) in slow {
        for (from_ms, to_ms) in merge_into_spans(summary, &steps, |_, step| has_enough_attempts(step)) {
            findings.push(Finding {
                kind: FindingKind::WorkerSlow { worker: worker.to_owned() },
                from_ms,
                to_ms,
                certainty: Certainty::Likely,
                evidence: format!("it takes up to {:.1} times what others take", worst[worker]),
                counter_evidence: None,
            });
        }
    }
    findings.extend(find_unresponsive_workers(summary));
    findings
}

fn find_unresponsive_workers(summary: &Summary) -> Vec<Finding> {
    let lost = |attempts: &AttemptMetrics| -> u64 {
        ["error", "timed_out", "reset", "refused"].iter().filter_map(|end| attempts.ends.get(*end)).sum()
    };
    let mut steps: BTreeMap<&str, (BTreeSet<u64>, u64, u64)> = BTreeMap::new();
    for (begin, step) in &summary.steps {
        for (worker, attempts) in &step.attempts {
            if attempts.total() >= MIN_SAMPLES
                && lost(attempts) as f64 >= MIN_UNANSWERED_SHARE * attempts.total() as f64
            {
                let seen = steps.entry(worker).or_default();
                seen.0.insert(*begin);
                seen.1 += lost(attempts);
                seen.2 += attempts.total();
            }
        }
    }
    let mut findings = Vec::new();
    for (worker, (steps, lost, all)) in steps {
        for (from_ms, to_ms) in merge_into_spans(summary, &steps, |_, step| has_enough_attempts(step)) {
            findings.push(Finding {
                kind: FindingKind::WorkerUnresponsive { worker: worker.to_owned() },
                from_ms,
                to_ms,
                certainty: Certainty::Likely,
                evidence: format!("{lost} of {all} attempts at it got no response"),
                counter_evidence: None,
            });
        }
    }
    findings
}

fn sum_queries(step: &TimeStep) -> QueryCounts {
    let mut all = QueryCounts::default();
    for counts in step.queries.values() {
        all.received += counts.received;
        all.rejected += counts.rejected;
    }
    all
}

fn find_overload(summary: &Summary, others: &[Finding]) -> Vec<Finding> {
    let usual =
        median(summary.steps.values().map(|step| sum_queries(step).received as f64).collect()).unwrap_or(0.0);
    let mut steps = BTreeSet::new();
    let (mut refused, mut most) = (0, 0.0_f64);
    for (begin, step) in &summary.steps {
        let all = sum_queries(step);
        if all.received >= MIN_SAMPLES && all.rejected as f64 >= MIN_REJECTED_SHARE * all.received as f64 {
            steps.insert(*begin);
            refused += all.rejected;
            most = most.max(all.received as f64 / usual.max(1.0));
        }
    }
    let mut findings = Vec::new();
    for (from_ms, to_ms) in merge_into_spans(summary, &steps, |_, step| has_enough_attempts(step)) {
        let slow = others.iter().find(|finding| {
            finding.kind == FindingKind::FleetSlow && finding.from_ms < to_ms && finding.to_ms > from_ms
        });
        // Where the servers are slow, refusals are their doing: nobody asked for more than before.
        if slow.is_some() && most < MIN_SURGE {
            continue;
        }
        findings.push(Finding {
            kind: FindingKind::Overload,
            from_ms,
            to_ms,
            certainty: if most >= MIN_SURGE { Certainty::Likely } else { Certainty::Possible },
            evidence: format!("{refused} rejected; up to {most:.1} times as many queries as usual"),
            counter_evidence: slow.map(|_| "the workers are slow at the same time".to_owned()),
        });
    }
    findings
}
