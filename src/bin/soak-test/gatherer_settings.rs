//! The settings of the gatherers of a soak test, under the keys of the deployment's configuration file.

use crate::clients::SHARDS;
use serde_json::{Value, json};

/// Number of cells that hold a replica of each shard.
const REPLICAS: usize = 3;
/// Grace period after a drain is announced, in milliseconds.
pub const DRAIN_GRACE_MS: u64 = 250;
/// Deadline of each class, in milliseconds.
pub const DEADLINE_MS: u64 = 3000;

/// Repeat window of the keyed class, in milliseconds.
pub const REPEAT_WINDOW_MS: u64 = 300;

/// The settings of each gatherer in a fleet of this many gatherers and workers.
pub fn settings(gatherers: usize, workers: usize) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "promise": 1_500_000_000, "deadline": DEADLINE_MS * 1_000_000,
            "semantics": semantics, "window": REPEAT_WINDOW_MS * 1_000_000, "worth": 1.0, "late-worth": 0.5})
    };
    json!({
        "allowed": {"cancel": true, "second-copies": true, "most-tries": 4, "retry-after": true,
            "max-retry-after": 200_000_000, "max-open": 600, "may-tell": true, "connect-timeout": 1_500_000_000,
            "conn-idle": 2_000_000_000, "multiplex": 32},
        "categories": [class("search", "repeatable"), class("seal", "once"), class("stamp", "by_key")],
        "tenants": [{"name": "bank", "quota-per-s": 10_000.0}],
        "balancers": gatherers, "quantum": 5_000_000, "localities": ["a"], "az": 0,
        "domain": {"cells": cells(workers), "span": REPLICAS, "slices": SHARDS, "per-call": 4,
            "min-share": [1.0, 1.0], "whole-at": [1.0, 1.0]},
        "report": {"source": "piggyback", "fields": ["busy", "q"]},
        "rules": {"grace-to-answer": 20_000_000, "drain-grace": DRAIN_GRACE_MS * 1_000_000, "cold-share": 0.5,
            "warm-up": 1_000_000_000, "fall": 1_000_000_000, "fall-multiple": 10.0},
    })
}

/// Number of cells over which this many workers are spread, with about two workers in each.
pub fn cells(workers: usize) -> usize {
    (workers / 2).clamp(REPLICAS, 6)
}
