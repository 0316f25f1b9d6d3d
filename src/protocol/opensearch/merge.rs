//! Decodes the results of shards and merges them into one order. Results that timed out, failed in part, or have hits
//! without sort values are rejected.

use super::search::{Search, SortKey};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cmp::Ordering;
use std::time::Duration;

/// Compares two sort values. Missing ones come first or last, whatever the direction.
fn compare_sort_values(a: &Value, b: &Value, key: &SortKey) -> Ordering {
    let missing_order = |first: bool| if first { Ordering::Less } else { Ordering::Greater };
    let ascending = match (a, b) {
        (Value::Null, Value::Null) => return Ordering::Equal,
        (Value::Null, _) => return missing_order(key.missing_first),
        (_, Value::Null) => return missing_order(key.missing_first).reverse(),
        (Value::String(a), Value::String(b)) => a.cmp(b),
        (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
        _ => match (a.as_i64(), b.as_i64()) {
            (Some(a), Some(b)) => a.cmp(&b),
            _ => a.as_f64().unwrap_or(f64::INFINITY).total_cmp(&b.as_f64().unwrap_or(f64::INFINITY)),
        },
    };
    if key.descending { ascending.reverse() } else { ascending }
}

#[derive(Deserialize)]
struct ShardResult {
    #[serde(default)]
    timed_out: bool,
    #[serde(default, rename = "_shards")]
    shards: ShardCount,
    hits: ShardHits,
}

#[derive(Default, Deserialize)]
struct ShardCount {
    #[serde(default)]
    failed: u64,
}

#[derive(Deserialize)]
struct ShardHits {
    total: Option<Total>,
    max_score: Option<f64>,
    hits: Vec<Value>,
}

#[derive(Deserialize)]
struct Total {
    value: u64,
    relation: String,
}

impl ShardHits {
    /// Whether the shard sent all its hits: it reports an exact total, which is the number of hits sent.
    fn is_complete(&self) -> bool {
        self.total.as_ref().is_some_and(|total| total.is_exact() && total.value == self.hits.len() as u64)
    }
}

impl Total {
    /// Whether the total is exact; otherwise it is a lower bound.
    fn is_exact(&self) -> bool {
        self.relation == "eq"
    }
}

/// Decodes the response of a shard; `None` if it timed out or failed in part, or if a hit has no sort values.
fn decode_complete_result(body: &[u8]) -> Option<ShardResult> {
    let result: ShardResult = serde_json::from_slice(body).ok()?;
    let sorted = result.hits.hits.iter().all(|hit| hit.get("sort").is_some_and(Value::is_array));
    (sorted && !result.timed_out && result.shards.failed == 0).then_some(result)
}

/// Whether the body of an index server's response is an acceptable result: it neither timed out nor failed in part, and
/// its hits have sort values.
#[must_use]
pub fn is_acceptable_result(body: &[u8]) -> bool {
    decode_complete_result(body).is_some()
}

/// The hits of several shards in one order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedResult {
    /// Hits as they are sent to clients.
    pub hits: Vec<Value>,
    /// Whether every shard sent all its hits.
    pub complete: bool,
    total: u64,
    /// Whether the total is exact; otherwise it is a lower bound.
    total_is_exact: bool,
    max_score: Option<f64>,
}

/// A hit with the values by which it is sorted.
struct SortedHit {
    sort_values: Vec<Value>,
    shard: u32,
    hit: Value,
}

impl SortedHit {
    /// Compares two hits by each sort key in turn, then by shard.
    fn compare(&self, other: &SortedHit, keys: &[SortKey]) -> Ordering {
        let by_keys = keys.iter().enumerate().map(|(index, key)| {
            let own = self.sort_values.get(index).unwrap_or(&Value::Null);
            compare_sort_values(own, other.sort_values.get(index).unwrap_or(&Value::Null), key)
        });
        by_keys.fold(Ordering::Equal, Ordering::then).then(self.shard.cmp(&other.shard))
    }
}

/// Removes the sort values that the client did not request.
fn truncate_sort_values(hit: &mut Value, sort_values: &[Value], requested: usize) {
    let Some(fields) = hit.as_object_mut() else { return };
    if requested == 0 {
        fields.remove("sort");
    } else {
        fields.insert("sort".to_owned(), sort_values.iter().take(requested).cloned().collect());
    }
}

/// Merges the results of shards, each given with the shard's number. Results that are rejected are left out.
#[must_use]
pub fn merge_results<'a>(search: &Search, results: impl Iterator<Item = (u32, &'a [u8])>) -> MergedResult {
    let mut merged = MergedResult { complete: true, total_is_exact: true, ..MergedResult::default() };
    let mut sorted_hits: Vec<SortedHit> = Vec::new();
    for (shard, body) in results {
        let Some(result) = decode_complete_result(body) else { continue };
        let hits = result.hits;
        // Without a total, the number of hits sent is a lower bound.
        merged.total += hits.total.as_ref().map_or(hits.hits.len() as u64, |total| total.value);
        merged.total_is_exact &= hits.total.as_ref().is_some_and(Total::is_exact);
        merged.complete &= hits.is_complete();
        merged.max_score = [merged.max_score, hits.max_score].into_iter().flatten().reduce(f64::max);
        for mut hit in hits.hits {
            let sort_values = hit.get("sort").and_then(Value::as_array).cloned().unwrap_or_default();
            truncate_sort_values(&mut hit, &sort_values, search.requested_sort_values);
            sorted_hits.push(SortedHit { sort_values, shard, hit });
        }
    }
    sorted_hits.sort_by(|a, b| a.compare(b, &search.sort_keys));
    merged.hits = sorted_hits.into_iter().map(|sorted| sorted.hit).collect();
    merged
}

impl MergedResult {
    /// Builds the response body with one page of hits. Of the `shards` that were searched, `responded` sent a result.
    #[must_use]
    pub fn page(&self, hits: &[Value], took: Duration, shards: usize, responded: usize) -> Value {
        json!({
            "took": took.as_millis() as u64,
            "timed_out": responded < shards,
            "_shards": {"total": shards, "successful": responded, "skipped": 0, "failed": shards - responded},
            "hits": {
                "total": {"value": self.total, "relation": if self.total_is_exact { "eq" } else { "gte" }},
                "max_score": self.max_score,
                "hits": hits,
            },
        })
    }
}
