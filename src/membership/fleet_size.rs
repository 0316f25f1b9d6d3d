//! Estimates how many gatherers share the fleet: one number, which errs to the side that is safe for workers.
//!
//! Owns the configured fleet size only; the members are read from the table at each call. Never changes the table.

use super::table::MemberTable;
use super::update::MemberState;
use crate::policy::Time;
use std::time::Duration;

/// How long failed members still count where the present ones are the majority: longer than most partitions last.
pub const FAILED_MEMBER_HOLD: Duration = Duration::from_secs(30);
/// The estimate stays between the configured fleet size divided by this factor and that size multiplied by it.
const MAX_DEVIATION_FACTOR: u32 = 4;

/// Estimates the number of gatherers, in place of the settings' fixed figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSizeEstimate {
    configured: u32,
}

impl FleetSizeEstimate {
    /// An estimate for a fleet of this configured size.
    #[must_use]
    pub fn new(configured: u32) -> FleetSizeEstimate {
        FleetSizeEstimate { configured: configured.max(1) }
    }

    /// The estimate now. A member that joins counts at once, and one that is known to be gone no longer counts: both are
    /// certain. A failed member may be behind a partition, where the others continue with this gatherer's share as well.
    /// Only a majority stops counting it, and only after [`FAILED_MEMBER_HOLD`]: there is one majority at most.
    #[must_use]
    pub fn gatherers(&self, now: Time, table: &MemberTable) -> u32 {
        // Without any known member, the configured size is all there is.
        if table.iter().next().is_none() {
            return self.configured;
        }
        // This gatherer is not in its own table.
        let mut present = 1;
        let mut failed = 0;
        let mut recently_failed = 0;
        for member in table.iter() {
            match member.update.state {
                state if state.is_present() => present += 1,
                MemberState::Failed => {
                    failed += 1;
                    recently_failed += u32::from(now.since(member.state_since) < FAILED_MEMBER_HOLD);
                }
                _ => {}
            }
        }
        let has_majority = present > failed;
        let count = present + if has_majority { recently_failed } else { failed };
        let min = self.configured.div_ceil(MAX_DEVIATION_FACTOR);
        let max = self.configured.saturating_mul(MAX_DEVIATION_FACTOR);
        count.clamp(min, max)
    }
}

#[cfg(test)]
mod tests;
