//! How many gatherers share the fleet: one number, which errs to the side that is safe for workers.

use super::table::Table;
use super::update::MemberState;
use crate::policy::Time;
use std::time::Duration;

/// How long those who fell silent still count where the others are the majority: longer than most cuts last.
pub const HOLD: Duration = Duration::from_secs(30);
/// The number stays within this multiple of the settings' figure, and this part of it.
const SPAN: u32 = 4;

/// Counts gatherers, in place of a figure of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSizeEstimate {
    stated: u32,
}

impl FleetSizeEstimate {
    /// For a fleet of which the settings say that it has so many gatherers.
    pub fn new(stated: u32) -> FleetSizeEstimate {
        FleetSizeEstimate { stated: stated.max(1) }
    }

    /// The number now. Who joins counts at once, and who is known to have gone counts no longer: both are certain. Who
    /// fell silent may be behind a cut, where the others go on with this one's share as well: it is given away only by a
    /// majority, of which there is one at most, and only after a while.
    pub fn gatherers(&self, now: Time, table: &Table) -> u32 {
        let (mut present, mut silent, mut fresh) = (1, 0, 0);
        for seen in table.iter() {
            match seen.update.state {
                standing if standing.present() => present += 1,
                MemberState::Failed => {
                    silent += 1;
                    fresh += u32::from(now.since(seen.state_since) < HOLD);
                }
                _ => {}
            }
        }
        // Nobody was ever heard of: the settings' figure is all there is.
        if table.iter().next().is_none() {
            return self.stated;
        }
        let majority = present > silent;
        let number = present + if majority { fresh } else { silent };
        number.clamp(self.stated.div_ceil(SPAN), self.stated.saturating_mul(SPAN))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::membership::update::MemberUpdate;
    use proptest::prelude::*;

    const S: u64 = 1_000_000_000;

    /// A table of so many others, some of whom fell silent or died at a time.
    fn table(others: u32, silent: u32, dead: u32, at: Time) -> Table {
        let mut table = Table::new(1000);
        for id in 0..others {
            let (name, zone, address) = (format!("g{id}"), String::new(), ([127, 0, 0, 1], 9).into());
            let claim =
                MemberUpdate { name, start: 1, incarnation: 0, address, zone, state: MemberState::Alive };
            assert!(table.take(Time(0), &claim));
            let standing = match id {
                id if id < silent => MemberState::Failed,
                id if id < silent + dead => MemberState::Dead,
                _ => continue,
            };
            assert!(table.take(at, &claim.with_state(standing)));
        }
        table
    }

    #[test]
    fn certain_ends_count_at_once_and_silence_only_for_a_majority_after_a_while() {
        let estimate = FleetSizeEstimate::new(10);
        let now = Time(100 * S);
        assert_eq!(estimate.gatherers(now, &Table::new(9)), 10, "alone, the settings hold");
        assert_eq!(estimate.gatherers(now, &table(9, 0, 7, now)), 3);
        assert_eq!(estimate.gatherers(now, &table(9, 4, 0, now)), 10);
        assert_eq!(estimate.gatherers(Time(131 * S), &table(9, 4, 0, now)), 6);
        assert_eq!(estimate.gatherers(Time(999 * S), &table(9, 5, 0, now)), 10, "half is no majority");
        assert_eq!(estimate.gatherers(now, &table(99, 0, 0, now)), 40, "a ceiling");
        assert_eq!(estimate.gatherers(now, &table(9, 0, 9, now)), 3, "and a floor");
    }

    proptest! {
        // However a fleet is cut, all parts together take less than one and a half of what is there to share.
        #[test]
        fn parts_of_a_fleet_never_share_out_more_than_one_and_a_half(cuts in prop::collection::vec(1..60_u32, 1..6)) {
            let all: u32 = cuts.iter().sum();
            let estimate = FleetSizeEstimate::new(all);
            for later in [0, 29, 31, 10_000] {
                let shared: f64 = cuts
                    .iter()
                    .map(|part| {
                        let seen = table(all - 1, all - part, 0, Time(S));
                        f64::from(*part) / f64::from(estimate.gatherers(Time((1 + later) * S), &seen))
                    })
                    .sum();
                prop_assert!(shared < 1.5, "{cuts:?} share out {shared} after {later} s");
                prop_assert!(later > 30 || shared <= 1.0 + 1e-9);
            }
        }
    }
}
