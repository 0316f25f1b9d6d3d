use super::{MemberState, MemberUpdate};
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};

fn update((start, incarnation, state): (u64, u32, u8)) -> MemberUpdate {
    use MemberState::{Alive, Dead, Failed, HandingOver, Left, Suspect};
    let state = [Alive, HandingOver, Suspect, Failed, Dead, Left][usize::from(state % 6)];
    let (name, zone, address) = ("g1".to_owned(), String::new(), ([127, 0, 0, 1], 9).into());
    MemberUpdate { name, start, incarnation, address, zone, state }
}

proptest! {
    #[test]
    fn exactly_one_of_two_different_updates_supersedes_the_other_and_the_order_is_transitive(
        a in (0..3_u64, 0..3_u32, 0..6_u8), b in (0..3_u64, 0..3_u32, 0..6_u8), c in (0..3_u64, 0..3_u32, 0..6_u8),
    ) {
        let (a, b, c) = (update(a), update(b), update(c));
        let same = (a.start, a.state) == (b.start, b.state)
            && (a.incarnation == b.incarnation);
        prop_assert_eq!(!same, a.supersedes(&b) != b.supersedes(&a));
        prop_assert!(!(a.supersedes(&b) && b.supersedes(&c)) || a.supersedes(&c));
        // After a leave, only an update about a later process makes the member present again.
        if a.state == MemberState::Left && b.supersedes(&a) {
            prop_assert!(b.start > a.start || b.state == MemberState::Left);
        }
    }
}
