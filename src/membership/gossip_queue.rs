//! What is yet to be passed on, and in which order: what was passed on least first, among equals at random. A message costs
//! what it carries, however much news there is.

use std::collections::{BTreeMap, BTreeSet};

/// Times passed on, a random tie-break, and the name: in the order in which they go out.
type Place = (u32, u64, String);

/// Names of members of whom there is news.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    order: BTreeSet<Place>,
    /// Where each name stands, and how often it is to be passed on.
    places: BTreeMap<String, (u32, u64, u32)>,
}

impl GossipQueue {
    /// Nothing is to be passed on.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// There is news of this member, to be passed on so often; what was said of it before is old.
    pub fn add(&mut self, name: &str, times: u32, tie_break: u64) {
        self.drop(name);
        self.places.insert(name.to_owned(), (0, tie_break, times));
        self.order.insert((0, tie_break, name.to_owned()));
    }

    /// Nothing more of this one.
    pub fn drop(&mut self, name: &str) {
        if let Some((passed, tie_break, _)) = self.places.remove(name) {
            self.order.remove(&(passed, tie_break, name.to_owned()));
        }
    }

    /// Names in their order, for as long as each is taken; those that are count as passed on once more.
    pub fn pass_on(&mut self, mut takes: impl FnMut(&str) -> bool) {
        let taken: Vec<Place> = self.order.iter().take_while(|(.., name)| takes(name)).cloned().collect();
        for place in taken {
            self.order.remove(&place);
            let (passed, tie_break, name) = place;
            match self.places.get_mut(&name) {
                Some(known) if passed + 1 < known.2 => {
                    known.0 = passed + 1;
                    self.order.insert((passed + 1, tie_break, name));
                }
                _ => drop(self.places.remove(&name)),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn each_news_is_passed_on_as_often_as_it_is_to_be_and_none_waits_for_another(
            names in prop::collection::btree_set("[a-h]", 1..8), times in 1..5_u32, room in 1..4_usize,
        ) {
            let mut queue = GossipQueue::default();
            for (tie_break, name) in names.iter().enumerate() {
                queue.add(name, 9, 0);
                queue.add(name, times, tie_break as u64);
            }
            let mut passed: BTreeMap<String, u32> = BTreeMap::new();
            while !queue.is_empty() {
                let mut left = room;
                let before = passed.clone();
                queue.pass_on(|name| {
                    let takes = left > 0;
                    left -= usize::from(takes);
                    *passed.entry(name.to_owned()).or_default() += u32::from(takes);
                    takes
                });
                prop_assert!(passed != before, "it stands still");
                let counts = names.iter().map(|name| passed.get(name).copied().unwrap_or(0));
                let (least, most) = (counts.clone().min(), counts.max());
                prop_assert!(most.unwrap_or(0) - least.unwrap_or(0) <= 1);
            }
            prop_assert!(names.iter().all(|name| passed[name] == times));
            prop_assert!(queue.places.is_empty());
        }
    }
}
