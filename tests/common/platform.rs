//! The platform configuration that scenarios and tests of processes use, and queries under it.

use gatherer::policy::{ClassId, ShardId};
use gatherer::program::config::Config;
use gatherer::routing::{QueryPart, SearchRequest};
use std::time::Duration;

/// The scenarios' configuration as JSON, for a test to change.
pub fn platform_json() -> serde_json::Value {
    serde_json::from_str(include_str!("../scenario/platform.json")).expect("platform.json is JSON")
}

/// The scenarios' configuration without changes: workers `w1` and `w2`, classes `search`, `seal` and `stamp`.
pub fn platform_config() -> Config {
    Config::from_json(&platform_json(), |_| None).expect("platform.json is a valid configuration")
}

/// The part of a query of a single part: shard 0, the whole weight, and no key.
pub fn single_part(cost_hint: Option<Duration>) -> QueryPart {
    QueryPart { shard: ShardId(0), weight: 1.0, cost_hint, key: None }
}

/// A query of these parts without a tenant, with 5 s until its deadline.
pub fn search_request(class: ClassId, parts: Vec<QueryPart>) -> SearchRequest {
    SearchRequest {
        label: "a".into(),
        class,
        tenant: None,
        time_left: Duration::from_secs(5),
        retry: false,
        payload: Default::default(),
        parts,
    }
}
