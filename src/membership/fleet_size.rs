//! Estimates how many gatherers share the fleet. When in doubt the estimate is too high, so that each gatherer takes
//! a smaller share and workers are not overloaded.
//!
//! Owns the configured fleet size only; the members are read from the table at each call, and the table is never
//! changed.

use super::table::MemberTable;
use super::update::MemberState;
use crate::policy::Time;
use std::time::Duration;

/// How long the majority side of a possible partition still counts failed members: longer than most partitions last.
pub const FAILED_MEMBER_HOLD: Duration = Duration::from_secs(30);
/// The estimate stays between the configured fleet size divided by this factor and that size multiplied by it.
const MAX_DEVIATION_FACTOR: u32 = 4;

/// Estimates the number of gatherers, in place of the fixed number in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSizeEstimate {
    configured: u32,
}

impl FleetSizeEstimate {
    /// Creates an estimate for a fleet with this number of gatherers in the settings; 0 counts as 1.
    #[must_use]
    pub fn new(configured: u32) -> FleetSizeEstimate {
        FleetSizeEstimate { configured: configured.max(1) }
    }

    /// The estimate at `now`, this gatherer included. Present members count at once, and members that died or left
    /// stop counting at once, because both are certain. A failed member may be partitioned and still send traffic to
    /// the same workers. Therefore only a majority stops counting failed members, after [`FAILED_MEMBER_HOLD`]: at
    /// most one side of a partition has the majority.
    #[must_use]
    pub fn gatherers(&self, now: Time, table: &MemberTable) -> u32 {
        // Without any known member, only the configured size is available.
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
