//! Tests of the idempotency store with explicit times.

use super::{Execution, IdempotencyLimits, IdempotencyStore, KeyClaim, KeyLimitReached};
use crate::policy::Time;
use std::time::Duration;

fn store(incarnation: &str) -> IdempotencyStore<&'static str> {
    let limits = IdempotencyLimits { max_keys: 2, max_bytes: 10, retention: Duration::from_secs(60) };
    IdempotencyStore::new(incarnation.to_owned(), fastrand::Rng::with_seed(7), limits)
}

#[test]
fn a_key_runs_once_and_then_returns_the_cached_response() {
    let mut store = store("a");
    let key = store.issue(Time(0), "bank").expect("the limit is not reached");
    assert!(matches!(store.claim(Time(0), &key, "notary", 1), KeyClaim::Unknown));
    assert!(matches!(store.claim(Time(0), &key, "bank", 1), KeyClaim::Run(_)));
    assert!(matches!(store.claim(Time(0), &key, "bank", 2), KeyClaim::Mismatch));
    let KeyClaim::Join(receiver) = store.claim(Time(0), &key, "bank", 1) else {
        panic!("the key is running, so a second claim joins it")
    };
    store.finish(Time(0), &key, "sealed", 6, Execution::MayHaveRun);
    assert_eq!(*receiver.borrow(), Some("sealed"));
    assert!(matches!(store.claim(Time(0), &key, "bank", 1), KeyClaim::Cached("sealed")));
}

#[test]
fn an_unknown_key_never_runs() {
    // A key must not run a second time after a restart, at another gatherer, past its retention, or after the eviction
    // of its response.
    let (mut first, mut restarted) = (store("a"), store("b"));
    let key = first.issue(Time(0), "bank").expect("the limit is not reached");
    assert!(matches!(restarted.claim(Time(0), &key, "bank", 1), KeyClaim::Unknown));
    assert!(matches!(first.claim(Time(60_000_000_000), &key, "bank", 1), KeyClaim::Unknown));
    let now = Time(70_000_000_000);
    let keys = [first.issue(now, "bank"), first.issue(now, "bank")]
        .map(|key| key.expect("the limit is not reached"));
    assert_eq!(first.issue(now, "bank"), Err(KeyLimitReached));
    for (offset, key) in keys.iter().enumerate() {
        assert!(matches!(first.claim(now, key, "bank", 1), KeyClaim::Run(_)));
        first.finish(Time(now.0 + offset as u64), key, "sealed", 6, Execution::MayHaveRun);
    }
    assert!(matches!(first.claim(now, &keys[0], "bank", 1), KeyClaim::Unknown));
    assert!(matches!(first.claim(now, &keys[1], "bank", 1), KeyClaim::Cached("sealed")));
}

#[test]
fn a_rejected_run_leaves_its_key_for_a_retry() {
    let mut store = store("a");
    let key = store.issue(Time(0), "bank").expect("the limit is not reached");
    assert!(matches!(store.claim(Time(0), &key, "bank", 1), KeyClaim::Run(_)));
    store.finish(Time(0), &key, "refused", 7, Execution::NotExecuted);
    assert!(matches!(store.claim(Time(0), &key, "bank", 1), KeyClaim::Run(_)));
}

// Guards against one response that takes the recorded outcomes of all other keys with it.
#[test]
fn a_response_over_the_limit_is_dropped_alone() {
    let mut store = store("a");
    let keys = [store.issue(Time(0), "bank"), store.issue(Time(0), "bank")]
        .map(|key| key.expect("the limit is not reached"));
    for (key, size) in [(&keys[0], 6), (&keys[1], 11)] {
        assert!(matches!(store.claim(Time(0), key, "bank", 1), KeyClaim::Run(_)));
        store.finish(Time(0), key, "sealed", size, Execution::MayHaveRun);
    }
    assert!(matches!(store.claim(Time(0), &keys[0], "bank", 1), KeyClaim::Cached("sealed")));
    assert!(matches!(store.claim(Time(0), &keys[1], "bank", 1), KeyClaim::Unknown));
}
