//! Tests of scroll contexts with explicit times.

use super::{ScrollContexts, ScrollLimitReached};
use crate::policy::Time;
use std::time::Duration;

#[test]
fn scroll_contexts_are_bounded_and_expire() {
    let mut scrolls = ScrollContexts::new(fastrand::Rng::with_seed(7), 2, 10);
    let keep_alive = Duration::from_secs(1);
    let (id, _) = scrolls.create(Time(0), "bank", keep_alive, "page", 6).expect("the limit is not reached");
    assert_eq!(scrolls.create(Time(0), "bank", keep_alive, "page", 6), Err(ScrollLimitReached));
    assert!(scrolls.get(Time(0), &id, "notary", None).is_none());
    assert!(scrolls.get(Time(999_999_999), &id, "bank", Some(keep_alive)).is_some());
    assert!(scrolls.get(Time(1_999_999_998), &id, "bank", None).is_some());
    assert!(scrolls.get(Time(1_999_999_999), &id, "bank", None).is_none());
    let (id, _) = scrolls
        .create(Time(2_000_000_000), "bank", keep_alive, "page", 10)
        .expect("the expired context is gone");
    assert!(scrolls.clear(Time(2_000_000_000), &id, "bank"));
    assert!(!scrolls.clear(Time(2_000_000_000), &id, "bank"));
}
