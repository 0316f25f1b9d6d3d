//! Queries on a simulation: the members' observations, compared with the processes that actually run.

use super::engine::{Report, Simulation};
use super::network::name;
use super::peer::Peer;
use crate::membership::ObservedState;
use std::collections::{BTreeMap, BTreeSet};

impl<P: Peer> Simulation<P> {
    /// The numbers of the members whose process runs.
    pub fn living(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.member_count()).filter(|id| self.node(*id).is_some())
    }

    /// The state in which one member observes another; none if its process does not run or it does not know the
    /// other.
    #[must_use]
    pub fn observed_state(&self, id: usize, other: usize) -> Option<ObservedState> {
        self.node(id)?.observed_state(&name(other))
    }

    /// A member's estimate of the number of gatherers; none if its process does not run.
    #[must_use]
    pub fn gatherers(&self, id: usize) -> Option<u32> {
        Some(self.node(id)?.gatherers(self.now))
    }

    /// The number of running members that observe exactly the other running members as present.
    pub fn converged_members(&self) -> usize {
        let living: BTreeSet<String> = self.living().map(name).collect();
        let has_converged = |id: &usize| {
            self.node(*id).is_some_and(|node| {
                let states = node.observed_states();
                let mut present = states.iter().filter(|(_, state)| state.is_present());
                let count = present.clone().count();
                count + 1 == living.len() && present.all(|(name, _)| living.contains(name))
            })
        };
        self.living().filter(has_converged).count()
    }

    /// Whether every running member observes exactly the other running members as present.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        self.converged_members() == self.living().count()
    }

    /// The reported deaths of processes that were running at the time of the report.
    #[must_use]
    pub fn false_positives(&self) -> Vec<&Report> {
        let is_death =
            |report: &&Report| matches!(report.change.state, ObservedState::Failed | ObservedState::Dead);
        self.reports.iter().filter(is_death).filter(|report| report.was_running).collect()
    }
}

/// The number of members that a peer observes in each state, by the state's name.
pub fn state_counts(node: &impl Peer) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, state) in node.observed_states() {
        *counts.entry(state.to_string()).or_default() += 1;
    }
    counts
}
