//! Findings about workers: a slow worker, a slow fleet, and an unresponsive worker.

use super::spans::{has_enough_attempts, median, merge_into_spans};
use super::{Certainty, Finding, FindingKind, MIN_SAMPLES};
use crate::records::metrics::AttemptMetrics;
use crate::records::summary::{Summary, TimeStep};
use std::collections::{BTreeMap, BTreeSet};

/// Fewest workers from which the fleet can be found slow.
const MIN_FLEET_SIZE: usize = 2;
/// Fewest workers among which one can be compared with the median.
const MIN_WORKERS_TO_COMPARE: usize = 3;
/// A worker is slow if its mean time is at least this multiple of the median of all workers.
const SLOW_WORKER_RATIO: f64 = 3.0;
/// In a slow fleet, slow workers take at least this multiple of their own usual time.
const SLOW_FLEET_RATIO: f64 = 2.0;
/// The fleet is slow if at least this share of the workers is slow at the same time.
const SLOW_FLEET_SHARE: f64 = 0.6;
/// A worker is unresponsive if at least this share of its attempts gets no response.
const MIN_UNANSWERED_SHARE: f64 = 0.1;
/// Stored names, defined in `routing`, of the ends of attempts without a response.
const ENDS_WITHOUT_RESPONSE: [&str; 4] = ["error", "timed_out", "reset", "refused"];

/// Mean times of successful attempts in microseconds, by start of the time step and by worker.
type MeanTimes<'a> = BTreeMap<u64, BTreeMap<&'a str, f64>>;

/// Time steps in which a worker or the fleet was slow, and the highest ratio to the expected time.
#[derive(Default)]
struct SlowSteps {
    starts_ms: BTreeSet<u64>,
    worst_ratio: f64,
}

impl SlowSteps {
    fn add(&mut self, start_ms: u64, ratio: f64) {
        self.starts_ms.insert(start_ms);
        self.worst_ratio = self.worst_ratio.max(ratio);
    }
}

/// Mean time of a worker's successful attempts in microseconds; `None` where there are too few of them.
fn mean_time_us(attempts: &AttemptMetrics) -> Option<f64> {
    let successful = attempts.successful();
    (successful >= MIN_SAMPLES).then(|| attempts.done_us as f64 / successful as f64)
}

fn mean_times(summary: &Summary) -> MeanTimes<'_> {
    summary.steps.iter().map(|(start_ms, step)| (*start_ms, mean_times_in_step(step))).collect()
}

fn mean_times_in_step(step: &TimeStep) -> BTreeMap<&str, f64> {
    let times = step.attempts.iter();
    times.filter_map(|(worker, attempts)| Some((worker.as_str(), mean_time_us(attempts)?))).collect()
}

/// Returns the usual time of each worker: the lower quartile over its time steps, because faults only lengthen times.
fn usual_times<'a>(times: &MeanTimes<'a>) -> BTreeMap<&'a str, f64> {
    let mut by_worker: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (worker, time) in times.values().flatten() {
        by_worker.entry(worker).or_default().push(*time);
    }
    let lower_quartile = |mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 4).copied()
    };
    by_worker.into_iter().filter_map(|(worker, times)| Some((worker, lower_quartile(times)?))).collect()
}

/// Returns the median ratio of a worker's time to its usual time if the fleet is slow, and `None` otherwise.
fn slow_fleet_ratio(times: &BTreeMap<&str, f64>, usual: &BTreeMap<&str, f64>) -> Option<f64> {
    let ratio = |worker: &str, time: f64| time / usual.get(worker).copied().unwrap_or(time).max(1.0);
    let ratios: Vec<f64> = times.iter().map(|(worker, time)| ratio(worker, *time)).collect();
    let slow = ratios.iter().filter(|ratio| **ratio >= SLOW_FLEET_RATIO).count();
    if ratios.len() < MIN_FLEET_SIZE || (slow as f64) < SLOW_FLEET_SHARE * ratios.len() as f64 {
        return None;
    }
    median(ratios)
}

/// Finds times in which the fleet or a single worker was slow. While the fleet is slow, no single worker is reported.
pub(super) fn find_slow_workers(summary: &Summary) -> Vec<Finding> {
    let times = mean_times(summary);
    let usual = usual_times(&times);
    let mut fleet = SlowSteps::default();
    let mut workers: BTreeMap<&str, SlowSteps> = BTreeMap::new();
    for (start_ms, times) in &times {
        if let Some(ratio) = slow_fleet_ratio(times, &usual) {
            fleet.add(*start_ms, ratio);
            continue;
        }
        let Some(median_time) = median(times.values().copied().collect()) else { continue };
        for (worker, time) in times {
            if times.len() >= MIN_WORKERS_TO_COMPARE && *time >= SLOW_WORKER_RATIO * median_time {
                workers.entry(worker).or_default().add(*start_ms, time / median_time);
            }
        }
    }
    let mut findings = Vec::new();
    let enough_workers =
        |start_ms: u64| times.get(&start_ms).is_some_and(|times| times.len() >= MIN_FLEET_SIZE);
    for span in merge_into_spans(summary, &fleet.starts_ms, |start_ms, _| enough_workers(start_ms)) {
        findings.push(Finding {
            kind: FindingKind::FleetSlow,
            from_ms: span.from_ms,
            to_ms: span.to_ms,
            certainty: Certainty::Likely,
            evidence: format!(
                "most workers at once take up to {:.1} times what they usually take",
                fleet.worst_ratio
            ),
            counter_evidence: None,
        });
    }
    for (worker, slow) in workers {
        for span in merge_into_spans(summary, &slow.starts_ms, |_, step| has_enough_attempts(step)) {
            findings.push(Finding {
                kind: FindingKind::WorkerSlow { worker: worker.to_owned() },
                from_ms: span.from_ms,
                to_ms: span.to_ms,
                certainty: Certainty::Likely,
                evidence: format!("it takes up to {:.1} times what others take", slow.worst_ratio),
                counter_evidence: None,
            });
        }
    }
    findings
}

/// Attempts at one worker in the time steps in which it was unresponsive.
#[derive(Default)]
struct UnansweredAttempts {
    starts_ms: BTreeSet<u64>,
    unanswered: u64,
    total: u64,
}

/// Finds times in which a worker did not respond to many attempts.
pub(super) fn find_unresponsive_workers(summary: &Summary) -> Vec<Finding> {
    let count_unanswered = |attempts: &AttemptMetrics| -> u64 {
        ENDS_WITHOUT_RESPONSE.iter().filter_map(|end| attempts.ends.get(*end)).sum()
    };
    let mut by_worker: BTreeMap<&str, UnansweredAttempts> = BTreeMap::new();
    for (start_ms, step) in &summary.steps {
        for (worker, attempts) in &step.attempts {
            let (unanswered, total) = (count_unanswered(attempts), attempts.total());
            if total >= MIN_SAMPLES && unanswered as f64 >= MIN_UNANSWERED_SHARE * total as f64 {
                let unanswered_attempts = by_worker.entry(worker).or_default();
                unanswered_attempts.starts_ms.insert(*start_ms);
                unanswered_attempts.unanswered += unanswered;
                unanswered_attempts.total += total;
            }
        }
    }
    let mut findings = Vec::new();
    for (worker, UnansweredAttempts { starts_ms, unanswered, total }) in by_worker {
        for span in merge_into_spans(summary, &starts_ms, |_, step| has_enough_attempts(step)) {
            findings.push(Finding {
                kind: FindingKind::WorkerUnresponsive { worker: worker.to_owned() },
                from_ms: span.from_ms,
                to_ms: span.to_ms,
                certainty: Certainty::Likely,
                evidence: format!("{unanswered} of {total} attempts at it got no response"),
                counter_evidence: None,
            });
        }
    }
    findings
}
