//! What an aggregator has learned, as others may read it. Nothing here decides.

use super::Aggregator;
use crate::api::{LeafId, Status};

impl Aggregator {
    /// The active leaves that it sends nothing to but trials.
    pub fn suspects(&self) -> impl Iterator<Item = LeafId> + '_ {
        let suspect = self
            .leaves
            .iter()
            .filter(|(_, leaf)| leaf.entry.status == Status::Active && leaf.suspect.is_some());
        suspect.map(|(id, _)| *id)
    }
}
