use super::MemberTable;
use crate::membership::update::{MemberState, MemberUpdate};
use crate::policy::Time;
use std::time::Duration;

fn update(name: &str, start: u64, state: MemberState) -> MemberUpdate {
    let (zone, address) = (String::new(), ([127, 0, 0, 1], 9).into());
    MemberUpdate { name: name.to_owned(), start, incarnation: 0, address, zone, state }
}

#[test]
fn a_full_table_removes_the_member_gone_longest_and_never_a_present_one() {
    let mut table = MemberTable::new(2);
    assert!(table.apply(Time(1), &update("a", 1, MemberState::Alive)));
    assert!(table.apply(Time(1), &update("b", 1, MemberState::Alive)));
    assert!(!table.apply(Time(2), &update("c", 1, MemberState::Alive)), "both are present");
    assert!(table.apply(Time(3), &update("b", 1, MemberState::Left)));
    assert!(table.apply(Time(4), &update("c", 1, MemberState::Alive)));
    assert!(table.get("b").is_none() && table.get("a").is_some());
    // A member that restarts many times still takes one entry.
    (2..200).for_each(|start| assert!(table.apply(Time(start), &update("c", start, MemberState::Alive))));
    assert_eq!(table.iter().count(), 2);
}

#[test]
fn the_death_of_an_unknown_member_is_ignored_and_gone_members_expire() {
    let mut table = MemberTable::new(9);
    assert!(!table.apply(Time(1), &update("a", 1, MemberState::Dead)));
    assert!(table.apply(Time(1), &update("b", 1, MemberState::Alive)));
    assert!(table.apply(Time(2), &update("b", 1, MemberState::Failed)));
    table.remove_expired(Time(12), Duration::from_nanos(5), Duration::from_nanos(50));
    assert!(table.get("b").is_some(), "a failed member may be partitioned and is kept longer");
    table.remove_expired(Time(53), Duration::from_nanos(5), Duration::from_nanos(50));
    assert!(table.get("b").is_none());
}

#[test]
fn an_update_about_a_living_process_does_not_change_its_address() {
    let mut table = MemberTable::new(9);
    let first = update("a", 1, MemberState::Alive);
    assert!(table.apply(Time(1), &first));
    let moved = MemberUpdate { incarnation: 7, address: ([127, 0, 0, 9], 666).into(), ..first.clone() };
    assert!(table.apply(Time(2), &moved));
    assert_eq!(table.get("a").map(|seen| seen.update.address), Some(first.address));
}

#[test]
fn a_state_prints_by_the_name_that_it_has_in_records() {
    use super::ObservedState::{Alive, Dead, Failed, HandingOver, Joining, Left, Partitioned, Suspect};
    let outer = ["joining", "alive", "cut", "moving", "suspect", "silent", "dead", "left"];
    let states = [Joining, Alive, Partitioned, HandingOver, Suspect, Failed, Dead, Left];
    for (state, name) in states.into_iter().zip(outer) {
        assert_eq!(state.to_string(), name);
        assert_eq!(serde_json::to_value(state).expect("JSON"), name);
    }
}
