use super::FleetSizeEstimate;
use crate::membership::table::MemberTable;
use crate::membership::update::{MemberState, MemberUpdate};
use crate::policy::Time;
use proptest::prelude::{prop, prop_assert, proptest};

const NANOS_PER_S: u64 = 1_000_000_000;

/// Creates a table of `others` members, of which `failed` failed and `dead` died at the time `at`.
fn table(others: u32, failed: u32, dead: u32, at: Time) -> MemberTable {
    let mut table = MemberTable::new(1000);
    for id in 0..others {
        let (name, zone, address) = (format!("g{id}"), String::new(), ([127, 0, 0, 1], 9).into());
        let update =
            MemberUpdate { name, start: 1, incarnation: 0, address, zone, state: MemberState::Alive };
        assert!(table.apply(Time(0), &update));
        let state = match id {
            id if id < failed => MemberState::Failed,
            id if id < failed + dead => MemberState::Dead,
            _ => continue,
        };
        assert!(table.apply(at, &update.with_state(state)));
    }
    table
}

#[test]
fn known_deaths_count_at_once_and_failures_only_for_a_majority_after_a_while() {
    let estimate = FleetSizeEstimate::new(10);
    let now = Time(100 * NANOS_PER_S);
    assert_eq!(
        estimate.gatherers(now, &MemberTable::new(9)),
        10,
        "with no known member, the configured size is used"
    );
    assert_eq!(estimate.gatherers(now, &table(9, 0, 7, now)), 3);
    assert_eq!(estimate.gatherers(now, &table(9, 4, 0, now)), 10);
    assert_eq!(estimate.gatherers(Time(131 * NANOS_PER_S), &table(9, 4, 0, now)), 6);
    assert_eq!(
        estimate.gatherers(Time(999 * NANOS_PER_S), &table(9, 5, 0, now)),
        10,
        "half is not a majority"
    );
    assert_eq!(estimate.gatherers(now, &table(99, 0, 0, now)), 40, "the upper limit");
    assert_eq!(estimate.gatherers(now, &table(9, 0, 9, now)), 3, "the lower limit");
}

proptest! {
    // However a fleet is partitioned, the shares of all gatherers add up to less than 1.5.
    #[test]
    fn partitions_of_a_fleet_never_take_more_than_one_and_a_half_shares(partitions in prop::collection::vec(1..60_u32, 1..6)) {
        let all: u32 = partitions.iter().sum();
        let estimate = FleetSizeEstimate::new(all);
        for elapsed_s in [0, 29, 31, 10_000] {
            let taken: f64 = partitions
                .iter()
                .map(|part| {
                    let known = table(all - 1, all - part, 0, Time(NANOS_PER_S));
                    f64::from(*part) / f64::from(estimate.gatherers(Time((1 + elapsed_s) * NANOS_PER_S), &known))
                })
                .sum();
            prop_assert!(taken < 1.5, "{partitions:?} take {taken} after {elapsed_s} s");
            prop_assert!(elapsed_s > 30 || taken <= 1.0 + 1e-9);
        }
    }
}
