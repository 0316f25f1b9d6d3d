//! What probably happened: findings from what records add up to, each with its evidence, span and certainty, and what
//! speaks against it.

use super::metrics::AttemptMetrics;
use super::summary::{IncarnationSummary, QueryCounts, Summary, TimeStep};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// A start that has written nothing for so long, while others did, is dead. Figures come each second.
const SILENT_MS: u64 = 5_000;
/// Fewer workers than this tell nothing of the fleet.
const FEWEST: usize = 2;
/// So many deaths of one gatherer, each within so long of the one before, are a loop.
const LOOP: usize = 3;
const LOOP_MS: u64 = 300_000;
/// A worker is slow at so many times the usual of all, and all are slow at so many times what they usually are.
const SLOW_WORKER: f64 = 3.0;
const SLOW_FLEET: f64 = 2.0;
/// Workers that have to be slow together, as a share of all, to be the fleet.
const FLEET: f64 = 0.6;
/// A worker loses answers where so many of its attempts end with none, and so many have to be seen.
const LOSES: f64 = 0.1;
const LEAST_SEEN: u64 = 20;
/// Clients ask for too much where refusals are such a share of what is asked, and they ask so many times the usual.
const REFUSED: f64 = 0.05;
const RUSH: f64 = 1.3;

/// What a finding is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum FindingKind {
    /// A gatherer ended without saying so.
    Death {
        /// Which.
        gatherer: String,
        /// In which start.
        #[serde(rename = "start")]
        incarnation: String,
    },
    /// A gatherer dies again and again.
    RestartLoop {
        /// Which.
        gatherer: String,
    },
    /// Most workers answer slowly at the same time.
    FleetSlow,
    /// One worker answers slowly while others do not.
    WorkerSlow {
        /// Which.
        worker: String,
    },
    /// A worker does not answer what it is sent.
    #[serde(rename = "worker_loses")]
    WorkerUnresponsive {
        /// Which.
        worker: String,
    },
    /// Clients ask for more than is served.
    Overload,
    /// Records are missing.
    RecordsMissing {
        /// Of which gatherer.
        gatherer: String,
    },
}

/// How sure a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// Records leave no other reading.
    Certain,
    /// It is the plainest reading of them.
    Likely,
    /// Other readings are as good.
    Possible,
}

/// Something that probably happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// What.
    #[serde(flatten)]
    pub kind: FindingKind,
    /// From when, in Unix milliseconds.
    pub from_ms: u64,
    /// Until when.
    pub to_ms: u64,
    /// How sure it is.
    pub certainty: Certainty,
    /// What speaks for it.
    pub evidence: String,
    /// What speaks against it, where anything does.
    #[serde(rename = "against")]
    pub counter_evidence: Option<String>,
}

/// All findings, the earliest first.
pub fn diagnose(summary: &Summary) -> Vec<Finding> {
    let mut findings = deaths(summary);
    findings.extend(missing(summary));
    findings.extend(workers(summary));
    findings.extend(overload(summary, &findings));
    findings.sort_by(|a, b| (a.from_ms, &a.kind).cmp(&(b.from_ms, &b.kind)));
    findings
}

fn deaths(summary: &Summary) -> Vec<Finding> {
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
            let silent = end.saturating_sub(seen.last_ms) >= SILENT_MS;
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
                    "its last line is no stop, {again}; it took down {took} with no end on record"
                ),
                counter_evidence: (next.is_none() && seen.reported_lost + seen.missing > 0)
                    .then(|| "it had lost records before, so it may live and be unable to write".to_owned()),
            });
        }
        let looped = dead.windows(LOOP).find(|few| few[LOOP - 1].saturating_sub(few[0]) <= LOOP_MS);
        if let Some(few) = looped {
            findings.push(Finding {
                kind: FindingKind::RestartLoop { gatherer: gatherer.to_owned() },
                from_ms: few[0],
                to_ms: dead.last().copied().unwrap_or(few[0]),
                certainty: Certainty::Certain,
                evidence: format!("{} starts without a stop", dead.len()),
                counter_evidence: None,
            });
        }
    }
    findings
}

fn missing(summary: &Summary) -> Vec<Finding> {
    let lossy = summary.incarnations.iter().filter(|(_, seen)| seen.missing > 0);
    lossy
        .map(|((gatherer, start), seen)| Finding {
            kind: FindingKind::RecordsMissing { gatherer: gatherer.clone() },
            from_ms: seen.first_ms,
            to_ms: seen.last_ms,
            certainty: Certainty::Certain,
            evidence: format!(
                "{} lines of start {start} are on no record; it tells of {}",
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
    (attempts.successful() >= LEAST_SEEN).then(|| attempts.done_us as f64 / attempts.successful() as f64)
}

/// Whether enough was sent in a step to tell of any worker.
fn tells(step: &TimeStep) -> bool {
    step.attempts.values().any(|attempts| attempts.total() >= LEAST_SEEN)
}

/// Steps in a row become one span; steps that cannot tell do not part them.
fn spans(
    summary: &Summary,
    steps: &BTreeSet<u64>,
    tells: impl Fn(u64, &TimeStep) -> bool,
) -> Vec<(u64, u64)> {
    let mut spans: Vec<(u64, u64)> = Vec::new();
    let mut goes_on = false;
    for (begin, step) in &summary.steps {
        if !steps.contains(begin) {
            goes_on &= !tells(*begin, step);
            continue;
        }
        let to = begin + summary.step_ms();
        match spans.last_mut().filter(|_| goes_on) {
            Some(span) => span.1 = to,
            None => spans.push((*begin, to)),
        }
        goes_on = true;
    }
    spans
}

fn workers(summary: &Summary) -> Vec<Finding> {
    let paces: BTreeMap<u64, BTreeMap<&str, f64>> = summary
        .steps
        .iter()
        .map(|(begin, step)| {
            let paces = step.attempts.iter().filter_map(|(name, all)| Some((name.as_str(), pace(all)?)));
            (*begin, paces.collect())
        })
        .collect();
    // What each worker usually takes: the quick half of its steps says so, for trouble is in the other.
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
        let slower = paces.iter().filter(|(name, pace)| behind(name, **pace) >= SLOW_FLEET).count();
        if paces.len() >= FEWEST && slower as f64 >= FLEET * paces.len() as f64 {
            fleet.insert(*begin);
            let all = median(paces.iter().map(|(name, pace)| behind(name, *pace)).collect());
            fleet_worst = fleet_worst.max(all.unwrap_or(0.0));
            continue;
        }
        let Some(middle) = median(paces.values().copied().collect()) else { continue };
        for (name, pace) in paces {
            if paces.len() >= 3 && *pace >= SLOW_WORKER * middle {
                slow.entry(name).or_default().insert(*begin);
                let most = worst.entry(name).or_default();
                *most = most.max(pace / middle);
            }
        }
    }
    let mut findings = Vec::new();
    for (from_ms, to_ms) in
        spans(summary, &fleet, |begin, _| paces.get(&begin).is_some_and(|paces| paces.len() >= FEWEST))
    {
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
        for (from_ms, to_ms) in spans(summary, &steps, |_, step| tells(step)) {
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
    findings.extend(losers(summary));
    findings
}

fn losers(summary: &Summary) -> Vec<Finding> {
    let lost = |attempts: &AttemptMetrics| -> u64 {
        ["error", "timed_out", "reset", "refused"].iter().filter_map(|end| attempts.ends.get(*end)).sum()
    };
    let mut steps: BTreeMap<&str, (BTreeSet<u64>, u64, u64)> = BTreeMap::new();
    for (begin, step) in &summary.steps {
        for (worker, attempts) in &step.attempts {
            if attempts.total() >= LEAST_SEEN && lost(attempts) as f64 >= LOSES * attempts.total() as f64 {
                let seen = steps.entry(worker).or_default();
                seen.0.insert(*begin);
                seen.1 += lost(attempts);
                seen.2 += attempts.total();
            }
        }
    }
    let mut findings = Vec::new();
    for (worker, (steps, lost, all)) in steps {
        for (from_ms, to_ms) in spans(summary, &steps, |_, step| tells(step)) {
            findings.push(Finding {
                kind: FindingKind::WorkerUnresponsive { worker: worker.to_owned() },
                from_ms,
                to_ms,
                certainty: Certainty::Likely,
                evidence: format!("{lost} of {all} attempts at it brought no answer"),
                counter_evidence: None,
            });
        }
    }
    findings
}

fn asked(step: &TimeStep) -> QueryCounts {
    let mut all = QueryCounts::default();
    for counts in step.queries.values() {
        all.received += counts.received;
        all.rejected += counts.rejected;
    }
    all
}

fn overload(summary: &Summary, others: &[Finding]) -> Vec<Finding> {
    let usual =
        median(summary.steps.values().map(|step| asked(step).received as f64).collect()).unwrap_or(0.0);
    let mut steps = BTreeSet::new();
    let (mut refused, mut most) = (0, 0.0_f64);
    for (begin, step) in &summary.steps {
        let all = asked(step);
        if all.received >= LEAST_SEEN && all.rejected as f64 >= REFUSED * all.received as f64 {
            steps.insert(*begin);
            refused += all.rejected;
            most = most.max(all.received as f64 / usual.max(1.0));
        }
    }
    let mut findings = Vec::new();
    for (from_ms, to_ms) in spans(summary, &steps, |_, step| tells(step)) {
        let slow = others.iter().find(|finding| {
            finding.kind == FindingKind::FleetSlow && finding.from_ms < to_ms && finding.to_ms > from_ms
        });
        // Where the servers are slow, refusals are their doing: nobody asked for more than before.
        if slow.is_some() && most < RUSH {
            continue;
        }
        findings.push(Finding {
            kind: FindingKind::Overload,
            from_ms,
            to_ms,
            certainty: if most >= RUSH { Certainty::Likely } else { Certainty::Possible },
            evidence: format!("{refused} refused; up to {most:.1} times as many asked as usual"),
            counter_evidence: slow.map(|_| "the workers are slow at the same time".to_owned()),
        });
    }
    findings
}
