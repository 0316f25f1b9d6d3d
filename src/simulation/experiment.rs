//! Experiments: what happens to the members of a simulation, when, and which rules have to hold, as a TOML
//! file.
//!
//! The files' keys are an outer form and stay; fields with other names keep them by `serde(rename)`.

mod step;

pub use step::{Action, InvalidStep, MemberSet, Step};

use super::network::NetworkFaults;
use crate::membership::Timing;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

/// The numbers of members that can be simulated.
const MEMBER_COUNTS: RangeInclusive<usize> = 2..=2000;
/// The longest experiment, in seconds: a week.
const MAX_SECONDS: f64 = 604_800.0;

/// Why a file is not an experiment.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The reason.
        source: std::io::Error,
    },
    /// The file's text is not an experiment.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// The fault.
        source: InvalidExperiment,
    },
}

/// Why a text is not an experiment, or an experiment cannot be run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidExperiment {
    /// The text is not in the form; the error names the line and the key.
    #[error("\n{0}")]
    Syntax(#[from] toml::de::Error),
    /// So many members cannot be simulated.
    #[error(
        "members: {0}, {least} to {most} can be played",
        least = MEMBER_COUNTS.start(),
        most = MEMBER_COUNTS.end()
    )]
    MemberCount(usize),
    /// It cannot last for so many seconds.
    #[error("seconds: {0}, a week at most")]
    Duration(f64),
    /// The network's faults at the start are no shares.
    #[error("net: shares lie between 0 and 1")]
    NetworkFaults,
    /// A step cannot be taken.
    #[error("step {number} ({action} at {at}): {source}")]
    Step {
        /// The step's number in the file, from 1.
        number: usize,
        /// What it does.
        action: Action,
        /// Its time, in seconds from the start.
        at: f64,
        /// What is wrong with it.
        source: InvalidStep,
    },
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The title, a few words.
    pub title: String,
    /// The number of members.
    pub members: usize,
    /// The duration in seconds, after the time in which the members find each other.
    pub seconds: f64,
    /// The seed of all random numbers.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The time from a suspicion to the declaration of a death, in milliseconds.
    #[serde(rename = "bury_ms", default = "default_suspicion_timeout_ms")]
    pub suspicion_timeout_ms: u64,
    /// The time between two rounds of probes, in milliseconds.
    #[serde(rename = "period_ms", default = "default_probe_interval_ms")]
    pub probe_interval_ms: u64,
    /// The network's faults at the start.
    #[serde(rename = "net", default)]
    pub network: NetworkFaults,
    /// What happens.
    #[serde(rename = "step", default)]
    pub steps: Vec<Step>,
    /// What has to hold.
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

/// What has to hold.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The most deaths that are reported of running processes.
    #[serde(rename = "buried_alive")]
    pub max_false_positives: Option<usize>,
    /// The most seconds until all members know of a killed one's death.
    #[serde(rename = "known_in")]
    pub max_detection_s: Option<f64>,
    /// Whether at the end all members have to observe exactly the living ones.
    #[serde(rename = "agree")]
    pub must_converge: bool,
    /// The most that the living members' shares of the fleet add up to at any time. A member's share is one
    /// part in its own estimate of the number of gatherers.
    #[serde(rename = "shared_out")]
    pub max_total_share: Option<f64>,
}

impl Experiment {
    /// Reads an experiment's file.
    ///
    /// # Errors
    /// The file cannot be read, is not in the form, or its experiment cannot be run.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::File { path: name.clone(), source })?;
        Experiment::parse(&text).map_err(|source| ExperimentError::Invalid { path: name, source })
    }

    /// Reads an experiment's text, and checks it.
    ///
    /// # Errors
    /// The text's fault with line and key, or what [`Experiment::check`] finds.
    pub fn parse(text: &str) -> Result<Experiment, InvalidExperiment> {
        let experiment: Experiment = toml::from_str(text)?;
        experiment.check()?;
        Ok(experiment)
    }

    /// The protocol's time constants.
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

    /// Checks whether the experiment can be run.
    ///
    /// # Errors
    /// The key or step at fault.
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
