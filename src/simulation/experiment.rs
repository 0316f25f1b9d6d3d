//! Experiments: what happens to the members of a simulation, when, and which rules have to hold, as a TOML file.
//!
//! The files' keys are an outer form and stay; fields with other names keep them by `serde(rename)`.

use super::network::NetworkFaults;
use crate::membership::Timing;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

/// The numbers of members that can be simulated.
const MEMBER_COUNTS: RangeInclusive<usize> = 2..=2000;
/// The longest experiment, in seconds: a week.
const MAX_SECONDS: f64 = 604_800.0;
/// The shortest interval of a repeated step, in seconds.
const MIN_REPEAT_SECONDS: f64 = 0.05;

/// Why a file is not an experiment.
#[derive(Debug, thiserror::Error)]
pub enum Error {
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
    Form {
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

/// Why a step of an experiment cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidStep {
    /// It comes before the start or after the end.
    #[error("it lies outside of what is played")]
    OutsideExperiment,
    /// It lacks the members that its action needs, or names members that its action does not need.
    #[error("`who` names those it happens to, `to` the others of a cut, and neither stands elsewhere")]
    Members,
    /// A pause has no length, or another action has one.
    #[error("`seconds` is the length of a pause")]
    PauseLength,
    /// A change of the network has no valid faults, or another action has some.
    #[error("`net` is the network of a `net` step, in shares between 0 and 1")]
    NetworkFaults,
    /// It repeats too fast.
    #[error("`every`: {MIN_REPEAT_SECONDS} s at least")]
    RepeatInterval,
    /// A member that it names does not exist.
    #[error("there is no such member")]
    UnknownMember,
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

/// Members, by number: `[3, 4]`, or `{ from = 0, to = 9 }` (the last one included).
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum MemberSet {
    /// These members.
    List(Vec<usize>),
    /// A range of members.
    Range {
        /// The first.
        from: usize,
        /// The last.
        to: usize,
    },
}

impl MemberSet {
    /// The members' numbers.
    #[must_use]
    pub fn ids(&self) -> Vec<usize> {
        match self {
            MemberSet::List(ids) => ids.clone(),
            MemberSet::Range { from, to } => (*from..=*to).collect(),
        }
    }
}

/// A step: an action at a time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The time, in seconds from the start.
    pub at: f64,
    /// The interval in seconds at which the step repeats, if it does.
    pub every: Option<f64>,
    /// The action.
    #[serde(rename = "do")]
    pub action: Action,
    /// The members that the action is applied to; of a partition, the senders.
    #[serde(rename = "who")]
    pub members: Option<MemberSet>,
    /// Of a partition, the receivers.
    pub to: Option<MemberSet>,
    /// Of a pause, the duration in seconds.
    pub seconds: Option<f64>,
    /// The network's faults from then on.
    #[serde(rename = "net")]
    pub network: Option<NetworkFaults>,
}

/// What a step does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Kills processes.
    Kill,
    /// Starts processes where none runs.
    Start,
    /// Pauses processes.
    Pause,
    /// Ends processes in an orderly way.
    Leave,
    /// Ends processes that another process of the same name takes over from.
    #[serde(rename = "move")]
    HandOver,
    /// Lets nothing pass in one direction.
    #[serde(rename = "cut_one_way")]
    PartitionOneWay,
    /// Lets nothing pass in either direction.
    #[serde(rename = "cut")]
    Partition,
    /// Ends all partitions.
    Heal,
    /// Changes the network's faults.
    #[serde(rename = "net")]
    SetNetwork,
}

impl fmt::Display for Action {
    /// Writes the name that the action has in an experiment's file.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Action::Kill => "kill",
            Action::Start => "start",
            Action::Pause => "pause",
            Action::Leave => "leave",
            Action::HandOver => "move",
            Action::PartitionOneWay => "cut_one_way",
            Action::Partition => "cut",
            Action::Heal => "heal",
            Action::SetNetwork => "net",
        })
    }
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
    /// The most that the living members' shares of the fleet add up to at any time. A member's share is one part in its own
    /// estimate of the number of gatherers.
    #[serde(rename = "shared_out")]
    pub max_total_share: Option<f64>,
}

impl Experiment {
    /// Reads an experiment's file.
    ///
    /// # Errors
    /// The file cannot be read, is not in the form, or its experiment cannot be run.
    pub fn read(path: &Path) -> Result<Experiment, Error> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|source| Error::File { path: name.clone(), source })?;
        Experiment::parse(&text).map_err(|source| Error::Form { path: name, source })
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
            self.check_step(step).map_err(|source| InvalidExperiment::Step {
                number: index + 1,
                action: step.action,
                at: step.at,
                source,
            })?;
        }
        Ok(())
    }

    fn check_step(&self, step: &Step) -> Result<(), InvalidStep> {
        let needs_members = !matches!(step.action, Action::Heal | Action::SetNetwork);
        let is_partition = matches!(step.action, Action::Partition | Action::PartitionOneWay);
        if !(0.0..=self.seconds).contains(&step.at) {
            return Err(InvalidStep::OutsideExperiment);
        }
        if needs_members != step.members.is_some() || is_partition != step.to.is_some() {
            return Err(InvalidStep::Members);
        }
        if (step.action == Action::Pause) != step.seconds.is_some() {
            return Err(InvalidStep::PauseLength);
        }
        let has_network = step.network.is_some_and(|network| network.is_valid());
        if (step.action == Action::SetNetwork) != has_network {
            return Err(InvalidStep::NetworkFaults);
        }
        if step.every.is_some_and(|every| every.is_nan() || every < MIN_REPEAT_SECONDS) {
            return Err(InvalidStep::RepeatInterval);
        }
        let mut ids = [&step.members, &step.to].into_iter().flatten().flat_map(MemberSet::ids);
        if ids.any(|id| id >= self.members) {
            return Err(InvalidStep::UnknownMember);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
