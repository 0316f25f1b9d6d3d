//! The steps of an experiment: what happens, when, and to which members.
//!
//! Their keys are those of the files; fields with other names keep them by `serde(rename)`.

use crate::simulation::network::NetworkFaults;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The shortest interval of a repeated step, in seconds.
const MIN_REPEAT_SECONDS: f64 = 0.05;

/// Why a step of an experiment cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidStep {
    /// It comes before the start or after the end.
    #[error("it lies outside of what is played")]
    OutsideExperiment,
    /// It lacks the members that its action needs, or names members that its action does not need.
    #[error("`who` names those it happens to, `to` the others of a cut, and neither stands elsewhere")]
    MisplacedMembers,
    /// A pause has no length, or another action has one.
    #[error("`seconds` is the length of a pause")]
    MisplacedPauseDuration,
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

impl Step {
    /// Checks whether the step can be taken in an experiment of so many members and seconds.
    pub(super) fn check(&self, members: usize, seconds: f64) -> Result<(), InvalidStep> {
        let needs_members = !matches!(self.action, Action::Heal | Action::SetNetwork);
        let is_partition = matches!(self.action, Action::Partition | Action::PartitionOneWay);
        if !(0.0..=seconds).contains(&self.at) {
            return Err(InvalidStep::OutsideExperiment);
        }
        if needs_members != self.members.is_some() || is_partition != self.to.is_some() {
            return Err(InvalidStep::MisplacedMembers);
        }
        if (self.action == Action::Pause) != self.seconds.is_some() {
            return Err(InvalidStep::MisplacedPauseDuration);
        }
        let has_network = self.network.is_some_and(|network| network.is_valid());
        if (self.action == Action::SetNetwork) != has_network {
            return Err(InvalidStep::NetworkFaults);
        }
        if self.every.is_some_and(|every| every.is_nan() || every < MIN_REPEAT_SECONDS) {
            return Err(InvalidStep::RepeatInterval);
        }
        let mut ids = [&self.members, &self.to].into_iter().flatten().flat_map(MemberSet::ids);
        if ids.any(|id| id >= members) {
            return Err(InvalidStep::UnknownMember);
        }
        Ok(())
    }
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
