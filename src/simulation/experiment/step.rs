//! The steps of an experiment: actions on members or on the network, at a time or repeatedly.
//!
//! The keys of existing files must not change; fields with other names are mapped by `serde(rename)`.

use crate::simulation::network::NetworkFaults;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The minimum interval of a repeated step, in seconds.
const MIN_REPEAT_SECONDS: f64 = 0.05;

/// The reason why a step of an experiment is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidStep {
    /// The step's time is before the start or after the end.
    #[error("`at` is outside the experiment: it must be from 0 to `seconds`")]
    OutsideExperiment,
    /// The step lacks the members that its action needs, or names members that its action does not take.
    #[error(
        "`who` is required except for `heal` and `net`, `to` is required for `cut` and `cut_one_way`, and neither \
         is allowed elsewhere"
    )]
    MisplacedMembers,
    /// A pause has no duration, or another action has one.
    #[error("`seconds` is required for `pause` and not allowed elsewhere")]
    MisplacedPauseDuration,
    /// A change of the network has no valid faults, or another action has some.
    #[error("`net` is required for a `net` step, with values between 0 and 1, and not allowed elsewhere")]
    NetworkFaults,
    /// The interval of a repeated step is too short.
    #[error("`every` must be at least {MIN_REPEAT_SECONDS} s")]
    RepeatInterval,
    /// A member in `who` or `to` does not exist.
    #[error("there is no such member: numbers in `who` and `to` must be less than `members`")]
    UnknownMember,
}

/// A set of members, by number: `[3, 4]`, or `{ from = 0, to = 9 }` with both ends included.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum MemberSet {
    /// Single members.
    List(Vec<usize>),
    /// A range of members.
    Range {
        /// The first member.
        from: usize,
        /// The last member, included.
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

/// A step: an action and its time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The time, in seconds from the start.
    pub at: f64,
    /// The interval in seconds at which the step is repeated; none if it is applied once.
    pub every: Option<f64>,
    /// The action.
    #[serde(rename = "do")]
    pub action: Action,
    /// The members that the action is applied to; for a partition, the senders.
    #[serde(rename = "who")]
    pub members: Option<MemberSet>,
    /// For a partition: the receivers.
    pub to: Option<MemberSet>,
    /// For a pause: the duration in seconds.
    pub seconds: Option<f64>,
    /// For a change of the network: its faults from this time on.
    #[serde(rename = "net")]
    pub network: Option<NetworkFaults>,
}

impl Step {
    /// Validates the step for an experiment with this number of members and this duration in seconds.
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

/// The action of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Kills processes.
    Kill,
    /// Starts processes where none runs.
    Start,
    /// Pauses processes.
    Pause,
    /// Shuts processes down gracefully.
    Leave,
    /// Shuts processes down that announce a successor of the same name.
    #[serde(rename = "move")]
    HandOver,
    /// Blocks the links from `who` to `to`.
    #[serde(rename = "cut_one_way")]
    PartitionOneWay,
    /// Blocks the links between `who` and `to` in both directions.
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
