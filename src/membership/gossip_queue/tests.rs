use super::GossipQueue;
use proptest::prelude::{prop, prop_assert, proptest};
use std::collections::BTreeMap;

proptest! {
    #[test]
    fn each_update_is_passed_on_as_often_as_required_and_none_waits_for_another(
        names in prop::collection::btree_set("[a-h]", 1..8), max_transmissions in 1..5_u32, capacity in 1..4_usize,
    ) {
        let mut queue = GossipQueue::default();
        for (tie_break, name) in names.iter().enumerate() {
            queue.add(name, 9, 0);
            queue.add(name, max_transmissions, tie_break as u64);
        }
        let mut transmitted: BTreeMap<String, u32> = BTreeMap::new();
        while !queue.is_empty() {
            let mut remaining = capacity;
            let before = transmitted.clone();
            queue.transmit_while(|name| {
                let accepted = remaining > 0;
                remaining -= usize::from(accepted);
                *transmitted.entry(name.to_owned()).or_default() += u32::from(accepted);
                accepted
            });
            prop_assert!(transmitted != before, "no progress");
            let counts = names.iter().map(|name| transmitted.get(name).copied().unwrap_or(0));
            let (min, max) = (counts.clone().min(), counts.max());
            prop_assert!(max.unwrap_or(0) - min.unwrap_or(0) <= 1);
        }
        prop_assert!(names.iter().all(|name| transmitted[name] == max_transmissions));
        prop_assert!(queue.entries.is_empty());
    }
}
