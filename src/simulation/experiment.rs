//! Experiments: TOML files that list the faults applied to a simulation, their times, and the rules that the
//! outcome has to satisfy. This module reads and validates them.
//!
//! The keys of existing files must not change; fields with other names are mapped by `serde(rename)`.

mod step;

pub use step::{Action, InvalidStep, MemberSet, Step};

use super::network::NetworkFaults;
use crate::membership::Timing;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

/// The range of the number of members in an experiment.
const MEMBER_COUNTS: RangeInclusive<usize> = 2..=2000;
/// The maximum duration of an experiment, in seconds: one week.
const MAX_SECONDS: f64 = 604_800.0;

/// The reason why an experiment file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{path}: cannot read the experiment: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file does not contain a valid experiment.
    #[error("{path}: {source}")]
    Invalid {
        /// The path of the file.
        path: String,
        /// The syntax error or invalid value.
        source: InvalidExperiment,
    },
}

/// The reason why an experiment is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidExperiment {
    /// The text is not valid TOML or does not match the schema; the error names the line and the key.
    #[error("\n{0}")]
    Syntax(#[from] toml::de::Error),
    /// The number of members is out of range.
    #[error(
        "members: {0}: must be from {least} to {most}",
        least = MEMBER_COUNTS.start(),
        most = MEMBER_COUNTS.end()
    )]
    MemberCount(usize),
    /// The duration is out of range.
    #[error("seconds: {0}: must be greater than 0 and at most {MAX_SECONDS} (one week)")]
    Duration(f64),
    /// A network fault at the start is not a fraction.
    #[error("net: `loss`, `twice` and `late` must be between 0 and 1")]
    NetworkFaults,
    /// A step is invalid.
    #[error("step {number} ({action} at {at}): {source}")]
    Step {
        /// The step's number in the file, from 1.
        number: usize,
        /// The step's action.
        action: Action,
        /// The step's time, in seconds from the start.
        at: f64,
        /// The reason.
        source: InvalidStep,
    },
}

/// An experiment: members, faults and rules.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The title, for tables and charts.
    pub title: String,
    /// The number of members.
    pub members: usize,
    /// The duration in seconds, after the warm-up in which the members discover each other.
    pub seconds: f64,
    /// The seed of all random numbers.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// [`Timing::suspicion_timeout`], in milliseconds.
    #[serde(rename = "bury_ms", default = "default_suspicion_timeout_ms")]
    pub suspicion_timeout_ms: u64,
    /// [`Timing::probe_interval`], in milliseconds.
    #[serde(rename = "period_ms", default = "default_probe_interval_ms")]
    pub probe_interval_ms: u64,
    /// The network's faults at the start.
    #[serde(rename = "net", default)]
    pub network: NetworkFaults,
    /// The steps, each applied at its time.
    #[serde(rename = "step", default)]
    pub steps: Vec<Step>,
    /// The rules that the outcome has to satisfy.
    #[serde(default)]
    pub rules: Rules,
}

fn default_seed() -> u64 {
    1
}
fn default_suspicion_timeout_ms() -> u64 {
    10_000
}
fn default_probe_interval_ms() -> u64 {
    500
}

/// The rules that the outcome of an experiment has to satisfy.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The maximum number of reported deaths of running processes.
    #[serde(rename = "buried_alive")]
    pub max_false_positives: Option<usize>,
    /// The maximum time from the kill of a member until all others know of its death, in seconds.
    #[serde(rename = "known_in")]
    pub max_detection_s: Option<f64>,
    /// Whether all members have to observe exactly the running members as present at the end.
    #[serde(rename = "agree")]
    pub must_converge: bool,
    /// The maximum sum of the running members' shares of the fleet at any time. A member's share is the inverse
    /// of its own estimate of the number of gatherers.
    #[serde(rename = "shared_out")]
    pub max_total_share: Option<f64>,
}

impl Experiment {
    /// Reads and validates an experiment file.
    ///
    /// # Errors
    /// The file cannot be read, or does not contain a valid experiment.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::File { path: name.clone(), source })?;
        Experiment::parse(&text).map_err(|source| ExperimentError::Invalid { path: name, source })
    }

    /// Parses and validates the text of an experiment.
    ///
    /// # Errors
    /// A syntax error with line and key, or an error of [`Experiment::check`].
    pub fn parse(text: &str) -> Result<Experiment, InvalidExperiment> {
        let experiment: Experiment = toml::from_str(text)?;
        experiment.check()?;
        Ok(experiment)
    }

    /// The protocol's time constants for this experiment.
    #[must_use]
    pub fn timing(&self) -> Timing {
        let probe_interval = Duration::from_millis(self.probe_interval_ms);
        Timing {
            probe_interval,
            gossip_interval: probe_interval / 5,
            suspicion_timeout: Duration::from_millis(self.suspicion_timeout_ms),
            ..Timing::default()
        }
    }

    /// Validates the number of members, the duration, the network faults and each step.
    ///
    /// # Errors
    /// The first invalid key or step.
    pub fn check(&self) -> Result<(), InvalidExperiment> {
        if !MEMBER_COUNTS.contains(&self.members) {
            return Err(InvalidExperiment::MemberCount(self.members));
        }
        if !(self.seconds > 0.0 && self.seconds <= MAX_SECONDS) {
            return Err(InvalidExperiment::Duration(self.seconds));
        }
        if !self.network.is_valid() {
            return Err(InvalidExperiment::NetworkFaults);
        }
        for (index, step) in self.steps.iter().enumerate() {
            step.check(self.members, self.seconds).map_err(|source| InvalidExperiment::Step {
                number: index + 1,
                action: step.action,
                at: step.at,
                source,
            })?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
