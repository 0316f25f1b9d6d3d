//! The outcome of an experiment, and the rules that it broke.
//!
//! Outcomes are kept as JSON and compared later: fields with other names keep their outer ones by
//! `serde(rename)`.

use super::experiment::Experiment;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was observed at one second of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The time, in seconds.
    pub at: f64,
    /// Members whose process runs: the truth.
    pub living: usize,
    /// Members that observe exactly the living ones.
    #[serde(rename = "agreeing")]
    pub converged: usize,
    /// The lowest of the members' estimates of the number of gatherers.
    #[serde(rename = "least")]
    pub min_estimate: u32,
    /// The highest of these estimates.
    #[serde(rename = "most")]
    pub max_estimate: u32,
    /// The sum of the living members' shares of the fleet.
    #[serde(rename = "shared_out")]
    pub total_share: f64,
}

/// The outcome of an experiment. The same experiment has the same outcome, but for `cpu_us`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The experiment's title.
    pub title: String,
    /// The number of members.
    pub members: usize,
    /// The seed.
    pub seed: u64,
    /// Seconds from each kill until all living members knew of it; a death that not all knew of at the end is
    /// missing.
    #[serde(rename = "known_in")]
    pub detection_s: Vec<f64>,
    /// The number of members killed.
    pub killed: usize,
    /// Reported deaths of running processes, by the name of the member that was declared dead.
    #[serde(rename = "buried_alive")]
    pub false_positives: BTreeMap<String, usize>,
    /// Seconds from the last step until all members observed exactly the living ones, if they did.
    #[serde(rename = "agreed_after")]
    pub converged_after_s: Option<f64>,
    /// Datagrams that each member sent a second.
    #[serde(rename = "datagrams")]
    pub datagrams_per_s: f64,
    /// Bytes of datagrams that each member sent a second.
    #[serde(rename = "bytes")]
    pub bytes_per_s: f64,
    /// Processor time for a second of one member, in microseconds: all of the run's, the simulated network's
    /// part too.
    pub cpu_us: f64,
    /// One sample for each second.
    #[serde(rename = "moments")]
    pub samples: Vec<Sample>,
    /// The rules that were broken, in words.
    #[serde(rename = "broken")]
    pub broken_rules: Vec<String>,
}

impl Outcome {
    /// A quantile of the detection times, in seconds; none where no death was detected.
    #[must_use]
    pub fn detection_quantile(&self, quantile: f64) -> Option<f64> {
        // Neither call fails: three significant digits are allowed, and the histogram grows as it has to.
        let mut times = Histogram::<u64>::new(3).ok()?;
        for seconds in &self.detection_s {
            // In milliseconds.
            times.record((seconds * 1000.0) as u64).ok()?;
        }
        (!times.is_empty()).then(|| times.value_at_quantile(quantile) as f64 / 1000.0)
    }

    /// Killed members whose death not all knew of at the end.
    #[must_use]
    pub fn undetected(&self) -> usize {
        self.killed - self.detection_s.len()
    }

    /// All reported deaths of running processes.
    #[must_use]
    pub fn false_positive_count(&self) -> usize {
        self.false_positives.values().sum()
    }

    /// The highest sum of shares at any sample.
    pub fn max_total_share(&self) -> f64 {
        self.samples.iter().map(|sample| sample.total_share).fold(0.0, f64::max)
    }

    /// The experiment's rules that this outcome breaks, in words.
    pub(super) fn check_rules(&self, experiment: &Experiment) -> Vec<String> {
        let rules = &experiment.rules;
        let mut broken = Vec::new();
        let false_positives = self.false_positive_count();
        if let Some(max) = rules.max_false_positives.filter(|max| false_positives > *max) {
            broken.push(format!(
                "{false_positives} deaths of running processes were reported, {max} at most: {:?}",
                self.false_positives
            ));
        }
        if let Some(max) = rules.max_detection_s {
            let late = self.detection_s.iter().filter(|seconds| **seconds > max).count();
            let never = self.undetected();
            if late + never > 0 {
                broken.push(format!(
                    "of {} deaths {late} were known to all after {max} s, and {never} not at all",
                    self.killed
                ));
            }
        }
        let converged = self.samples.last().is_some_and(|last| last.converged >= last.living);
        if rules.must_converge && !converged {
            broken.push("at the end not all members observe exactly the living ones".to_owned());
        }
        let total_share = self.max_total_share();
        if let Some(max) = rules.max_total_share.filter(|max| total_share > *max) {
            broken.push(format!("{total_share:.2} of the fleet's share was taken, {max} at most"));
        }
        broken
    }
}

#[cfg(test)]
mod tests;
