//! Tests of scroll contexts with explicit times.

use super::{Reservation, ReserveError, ScrollContexts, ScrollLimitReached, ScrollLimits};
use crate::policy::{Idempotency, Time};
use std::time::Duration;

const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Largest size of a result.
const MAX_RESULT: usize = 4;

fn contexts(max_contexts: usize, max_bytes: usize) -> ScrollContexts<&'static str> {
    ScrollContexts::new(
        fastrand::Rng::with_seed(7),
        ScrollLimits { max_contexts, max_bytes, keeps_part: true },
    )
}

fn reserve(
    contexts: &mut ScrollContexts<&'static str>,
    idempotency: Idempotency,
) -> Result<Reservation, ReserveError> {
    contexts.reserve(Time(0), idempotency, MAX_RESULT)
}

/// Reserves capacity for a result of this size and stores it.
fn store(
    contexts: &mut ScrollContexts<&'static str>,
    now: Time,
    idempotency: Idempotency,
    size: usize,
) -> Result<String, ScrollLimitReached> {
    let reservation = contexts.reserve(now, idempotency, MAX_RESULT).map_err(|_| ScrollLimitReached)?;
    contexts.create(now, reservation, "bank", KEEP_ALIVE, "page", size).map(|stored| stored.0)
}

#[test]
fn scroll_contexts_are_bounded_and_expire() {
    // Of 2 contexts none, and of 13 bytes 3, are kept for searches that must not run twice.
    let mut scrolls = contexts(2, 13);
    let idempotent = Idempotency::Idempotent;
    let id = store(&mut scrolls, Time(0), idempotent, 6).expect("the limit is not reached");
    assert_eq!(store(&mut scrolls, Time(0), idempotent, 6), Err(ScrollLimitReached));
    assert!(scrolls.get(Time(0), &id, "notary", None).is_none());
    assert!(scrolls.get(Time(999_999_999), &id, "bank", Some(KEEP_ALIVE)).is_some());
    assert!(scrolls.get(Time(1_999_999_998), &id, "bank", None).is_some());
    assert!(scrolls.get(Time(1_999_999_999), &id, "bank", None).is_none());
    let id = store(&mut scrolls, Time(2_000_000_000), idempotent, 10).expect("the expired context is gone");
    assert!(scrolls.clear(Time(2_000_000_000), &id, "bank"));
    assert!(!scrolls.clear(Time(2_000_000_000), &id, "bank"));
}

// Guards against a search that must not run twice and finds no memory for its result once it has run.
#[test]
fn what_a_search_that_must_not_run_twice_has_reserved_is_left_for_it() {
    let mut scrolls = contexts(8, 16);
    let reservation = reserve(&mut scrolls, Idempotency::NonIdempotent).expect("4 bytes of 16 are reserved");
    for _ in 0..3 {
        store(&mut scrolls, Time(0), Idempotency::Idempotent, 4).expect("12 bytes beside them");
    }
    assert_eq!(reserve(&mut scrolls, Idempotency::Idempotent).expect_err("full"), ReserveError::Full);
    let stored = scrolls.create(Time(0), reservation, "bank", KEEP_ALIVE, "page", 4);
    assert!(stored.is_ok());
    assert_eq!(reserve(&mut scrolls, Idempotency::NonIdempotent).expect_err("full"), ReserveError::Full);
}

#[test]
fn a_quarter_is_kept_for_searches_that_must_not_run_twice() {
    let mut scrolls = contexts(8, 64);
    while store(&mut scrolls, Time(0), Idempotency::Idempotent, 1).is_ok() {}
    assert_eq!(scrolls.entries.len(), 6);
    let first = reserve(&mut scrolls, Idempotency::NonIdempotent).expect("a context is kept");
    let second = reserve(&mut scrolls, Idempotency::NonIdempotent).expect("two contexts are kept");
    // Both are in use by searches that run, so the next one may wait for one of them.
    assert_eq!(reserve(&mut scrolls, Idempotency::NonIdempotent).expect_err("full"), ReserveError::Reserved);
    scrolls.release(first);
    let third = reserve(&mut scrolls, Idempotency::NonIdempotent).expect("a context was given back");
    [second, third].into_iter().for_each(|reservation| scrolls.release(reservation));
}

#[test]
fn a_result_larger_than_its_reservation_is_stored_only_where_enough_is_free() {
    let mut scrolls = contexts(8, 16);
    assert!(store(&mut scrolls, Time(0), Idempotency::NonIdempotent, 10).is_ok(), "4 bytes and 6 free ones");
    assert_eq!(store(&mut scrolls, Time(0), Idempotency::NonIdempotent, 10), Err(ScrollLimitReached));
    assert_eq!(scrolls.at_most_once.reserved.contexts, 0);
}
