//! The outcome of an experiment: its measurements, and the check of the experiment's rules.
//!
//! Outcomes are saved as JSON and compared later, so the keys must not change; fields with other names are
//! mapped by `serde(rename)`.

use super::experiment::Experiment;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of the simulation at one second of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The time from the start, in seconds.
    pub at: f64,
    /// The number of members whose process runs.
    pub living: usize,
    /// The number of members that observe exactly the running members as present.
    #[serde(rename = "agreeing")]
    pub converged: usize,
    /// The lowest of the members' estimates of the number of gatherers.
    #[serde(rename = "least")]
    pub min_estimate: u32,
    /// The highest of the members' estimates of the number of gatherers.
    #[serde(rename = "most")]
    pub max_estimate: u32,
    /// The sum of the running members' shares of the fleet.
    #[serde(rename = "shared_out")]
    pub total_share: f64,
}

/// The outcome of an experiment. The same experiment gives the same outcome, except for `cpu_us`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The experiment's title.
    pub title: String,
    /// The number of members.
    pub members: usize,
    /// The seed.
    pub seed: u64,
    /// The seconds from each kill until no running member observed the killed one as present. Deaths that were not
    /// detected by all before the end, or before the member restarted, are not included.
    #[serde(rename = "known_in")]
    pub detection_s: Vec<f64>,
    /// The number of members killed.
    pub killed: usize,
    /// The number of reported deaths of running processes, by the name of the member that was declared dead.
    #[serde(rename = "buried_alive")]
    pub false_positives: BTreeMap<String, usize>,
    /// The seconds from the last step until all members observed exactly the running ones as present, if they did.
    #[serde(rename = "agreed_after")]
    pub converged_after_s: Option<f64>,
    /// The average number of datagrams that a member sent per second.
    #[serde(rename = "datagrams")]
    pub datagrams_per_s: f64,
    /// The average number of bytes of datagrams that a member sent per second.
    #[serde(rename = "bytes")]
    pub bytes_per_s: f64,
    /// The elapsed time of the whole run per simulated second of one member, in microseconds. It includes the
    /// simulated network.
    pub cpu_us: f64,
    /// The samples, one for each second.
    #[serde(rename = "moments")]
    pub samples: Vec<Sample>,
    /// Descriptions of the rules that were broken.
    #[serde(rename = "broken")]
    pub broken_rules: Vec<String>,
}

impl Outcome {
    /// A quantile of the detection times, in seconds; none if no death was detected.
    #[must_use]
    pub fn detection_quantile(&self, quantile: f64) -> Option<f64> {
        // Neither call fails: three significant digits are allowed, and the histogram resizes itself.
        let mut times = Histogram::<u64>::new(3).ok()?;
        for seconds in &self.detection_s {
            let milliseconds = seconds * 1000.0;
            times.record(milliseconds as u64).ok()?;
        }
        (!times.is_empty()).then(|| times.value_at_quantile(quantile) as f64 / 1000.0)
    }

    /// The number of deaths that are missing in [`Outcome::detection_s`].
    #[must_use]
    pub fn undetected(&self) -> usize {
        self.killed - self.detection_s.len()
    }

    /// The total number of reported deaths of running processes.
    #[must_use]
    pub fn false_positive_count(&self) -> usize {
        self.false_positives.values().sum()
    }

    /// The highest sum of shares in any sample.
    pub fn max_total_share(&self) -> f64 {
        self.samples.iter().map(|sample| sample.total_share).fold(0.0, f64::max)
    }

    /// Describes each rule of the experiment that this outcome breaks.
    pub(super) fn check_rules(&self, experiment: &Experiment) -> Vec<String> {
        let rules = &experiment.rules;
        let mut broken = Vec::new();
        let false_positives = self.false_positive_count();
        if let Some(max) = rules.max_false_positives.filter(|max| false_positives > *max) {
            broken.push(format!(
                "buried_alive: {false_positives} deaths of running processes were reported, at most {max} are \
                 allowed: {:?}",
                self.false_positives
            ));
        }
        if let Some(max) = rules.max_detection_s {
            let late = self.detection_s.iter().filter(|seconds| **seconds > max).count();
            let never = self.undetected();
            if late + never > 0 {
                broken.push(format!(
                    "known_in: of {} deaths {late} were known to all members only after {max} s, and {never} not \
                     at all",
                    self.killed
                ));
            }
        }
        let converged = self.samples.last().is_some_and(|last| last.converged >= last.living);
        if rules.must_converge && !converged {
            broken.push(
                "agree: at the end not all members observe exactly the running members as present".to_owned(),
            );
        }
        let total_share = self.max_total_share();
        if let Some(max) = rules.max_total_share.filter(|max| total_share > *max) {
            broken.push(format!(
                "shared_out: the members' shares added up to {total_share:.2}, at most {max} is allowed"
            ));
        }
        broken
    }
}

#[cfg(test)]
mod tests;
