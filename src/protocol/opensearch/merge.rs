//! Decodes the results of shards and merges them into one order. Results that timed out, failed in part, or have hits
//! without valid sort values are rejected.

use super::search::{Search, SortKey};
use super::sort_value::{SortValue, are_of_one_kind};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cmp::Ordering;
use std::time::Duration;

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

/// Decodes the response of a shard; `None` if it timed out or failed in part, or if its hits have no valid sort values.
fn decode_complete_result(body: &[u8]) -> Option<ShardResult> {
    let result: ShardResult = serde_json::from_slice(body).ok()?;
    let is_complete = !result.timed_out && result.shards.failed == 0;
    (is_complete && has_valid_sort_values(&result.hits.hits)).then_some(result)
}

/// Whether all hits have the same number of sort values, and the values of each key are of one kind.
fn has_valid_sort_values(hits: &[Value]) -> bool {
    let Some(rows) = hits.iter().map(sort_values).collect::<Option<Vec<_>>>() else { return false };
    let keys = rows.first().map_or(0, |row| row.len());
    rows.iter().all(|row| row.len() == keys)
        && (0..keys).all(|key| are_of_one_kind(rows.iter().map(|row| &row[key])))
}

/// Returns the sort values of a hit as the server sent them.
fn sort_values(hit: &Value) -> Option<&Vec<Value>> {
    hit.get("sort")?.as_array()
}

/// Whether the body of an index server's response is an acceptable result: it neither timed out nor failed in part, and
/// its hits have valid sort values.
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
    sort_values: Vec<SortValue>,
    shard: u32,
    hit: Value,
}

impl SortedHit {
    /// Compares two hits by each sort key in turn, then by shard.
    fn compare(&self, other: &SortedHit, keys: &[SortKey]) -> Ordering {
        let values = self.sort_values.iter().zip(&other.sort_values);
        let by_keys =
            values.zip(keys).map(|((own, other), key)| own.compare(other, key.descending, key.missing_first));
        by_keys.fold(Ordering::Equal, Ordering::then).then(self.shard.cmp(&other.shard))
    }
}

/// Returns a sort value of a hit as the server sent it, by the number of its key.
fn sort_value(hit: &Value, key: usize) -> Option<&Value> {
    sort_values(hit)?.get(key)
}

/// Reads the sort values of all hits, given with their shards. Each hit gets a value for every key.
fn read_sort_values(hits: Vec<(u32, Value)>, keys: usize) -> Vec<SortedHit> {
    let is_numeric = |key| hits.iter().any(|(_, hit)| sort_value(hit, key).is_some_and(Value::is_number));
    let numeric_keys: Vec<bool> = (0..keys).map(is_numeric).collect();
    let sorted_hits = hits.into_iter().map(|(shard, hit)| {
        let values = numeric_keys.iter().enumerate().map(|(key, is_numeric)| {
            SortValue::new(sort_value(&hit, key).unwrap_or(&Value::Null), *is_numeric)
        });
        SortedHit { sort_values: values.collect(), shard, hit }
    });
    sorted_hits.collect()
}

/// Removes the sort values that the client did not request.
fn truncate_sort_values(hit: &mut Value, requested: usize) {
    let Some(fields) = hit.as_object_mut() else { return };
    if requested == 0 {
        fields.remove("sort");
    } else if let Some(values) = fields.get_mut("sort").and_then(Value::as_array_mut) {
        values.truncate(requested);
    }
}

/// Merges the results of shards, each given with the shard's number. Results that are rejected are left out.
#[must_use]
pub fn merge_results<'a>(search: &Search, results: impl Iterator<Item = (u32, &'a [u8])>) -> MergedResult {
    let mut merged = MergedResult { complete: true, total_is_exact: true, ..MergedResult::default() };
    let mut hits_of_shards: Vec<(u32, Value)> = Vec::new();
    for (shard, body) in results {
        let Some(result) = decode_complete_result(body) else { continue };
        let hits = result.hits;
        // Without a total, the number of hits sent is a lower bound.
        let total = hits.total.as_ref().map_or(hits.hits.len() as u64, |total| total.value);
        merged.total = merged.total.saturating_add(total);
        merged.total_is_exact &= hits.total.as_ref().is_some_and(Total::is_exact);
        merged.complete &= hits.is_complete();
        merged.max_score = [merged.max_score, hits.max_score].into_iter().flatten().reduce(f64::max);
        hits_of_shards.extend(hits.hits.into_iter().map(|hit| (shard, hit)));
    }
    let mut sorted_hits = read_sort_values(hits_of_shards, search.sort_keys.len());
    sorted_hits.sort_by(|a, b| a.compare(b, &search.sort_keys));
    merged.hits = sorted_hits.into_iter().map(|sorted| sorted.hit).collect();
    merged.hits.iter_mut().for_each(|hit| truncate_sort_values(hit, search.requested_sort_values));
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
