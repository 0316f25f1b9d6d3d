//! Merges the results of shards into one order, and encodes pages of the merged result.

use super::hit::Hit;
use super::hit_list::HitList;
use super::json_object::encode_members;
use super::search::{Search, SortKey};
use super::shard_result::ShardResult;
use super::sort_value::{Kind, SortValue};
use serde_json::json;
use std::cmp::Ordering;
use std::ops::Range;
use std::time::Duration;

/// The hits of several shards in one order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedResult {
    /// Hits as they are sent to clients: those of the page, or all of them where the search is a scroll.
    pub hits: HitList,
    /// Whether every shard sent all its hits.
    pub complete: bool,
    /// Number of shards whose results are merged.
    pub merged_shards: usize,
    total: u64,
    /// Whether the total is exact; otherwise it is a lower bound.
    total_is_exact: bool,
    max_score: Option<f64>,
}

/// A hit with its shard.
struct HitOfShard<'a> {
    shard: u32,
    hit: Hit<'a>,
}

/// How the values of one sort key are compared.
struct KeyOrder<'s> {
    key: &'s SortKey,
    kind: Kind,
}

impl KeyOrder<'_> {
    /// Compares two values. Missing ones come first or last, whatever the direction.
    fn compare(&self, a: &SortValue<'_>, b: &SortValue<'_>) -> Ordering {
        let missing_order = if self.key.missing_first { Ordering::Less } else { Ordering::Greater };
        match (a, b) {
            (SortValue::Missing, SortValue::Missing) => Ordering::Equal,
            (SortValue::Missing, _) => missing_order,
            (_, SortValue::Missing) => missing_order.reverse(),
            (a, b) if self.key.descending => a.compare_present(b, self.kind).reverse(),
            (a, b) => a.compare_present(b, self.kind),
        }
    }
}

impl HitOfShard<'_> {
    /// Compares two hits by each sort key in turn, then by shard.
    fn compare(&self, other: &HitOfShard<'_>, keys: &[KeyOrder<'_>]) -> Ordering {
        let values = self.hit.sort_values.iter().zip(&other.hit.sort_values);
        let by_keys = keys.iter().zip(values).map(|(key, (own, other))| key.compare(own, other));
        by_keys.fold(Ordering::Equal, Ordering::then).then(self.shard.cmp(&other.shard))
    }
}

/// Determines how the values of each sort key are compared.
fn key_orders<'s>(search: &'s Search, hits: &[HitOfShard<'_>]) -> Vec<KeyOrder<'s>> {
    let keys = search.sort_keys.iter().enumerate();
    let orders = keys.map(|(position, key)| {
        let values = hits.iter().filter_map(move |hit| hit.hit.sort_values.get(position));
        // Values of several kinds are compared as numbers, and those that are none are equal.
        KeyOrder { key, kind: Kind::of(values).unwrap_or(Kind::Number) }
    });
    orders.collect()
}

/// Merges the results of shards, each given with the shard's number. Results that are rejected are left out.
#[must_use]
pub fn merge_results<'a>(search: &Search, results: impl Iterator<Item = (u32, &'a [u8])>) -> MergedResult {
    let mut merged = MergedResult { complete: true, total_is_exact: true, ..MergedResult::default() };
    let mut hits: Vec<HitOfShard<'a>> = Vec::new();
    for (shard, body) in results {
        let Ok(result) = ShardResult::decode(body) else { continue };
        merged.merged_shards += 1;
        merged.total = merged.total.saturating_add(result.total);
        merged.total_is_exact &= result.total_is_exact;
        merged.complete &= result.has_all_hits();
        merged.max_score = [merged.max_score, result.max_score].into_iter().flatten().reduce(f64::max);
        hits.extend(result.hits.into_iter().map(|hit| HitOfShard { shard, hit }));
    }
    let keys = key_orders(search, &hits);
    hits.sort_by(|a, b| a.compare(b, &keys));
    let range = search.merged_range(hits.len());
    merged.hits = encode_hits(hits[range].iter().map(|hit| &hit.hit), search.requested_sort_values);
    merged
}

/// Encodes hits with their first `requested` sort values.
fn encode_hits<'m, 'a: 'm>(
    hits: impl ExactSizeIterator<Item = &'m Hit<'a>> + Clone,
    requested: usize,
) -> HitList {
    let mut list = HitList::with_capacity(hits.len(), hits.clone().map(Hit::text_bytes).sum());
    hits.for_each(|hit| list.push(&hit.encode(requested)));
    list.shrink_to_fit();
    list
}

/// What the response with a page says beside its hits.
#[derive(Clone, Debug)]
pub struct PageInfo {
    /// Time that the search took.
    pub took: Duration,
    /// Number of shards that were searched.
    pub shards: usize,
    /// Id of the next page, if the search is a scroll.
    pub scroll_id: Option<String>,
}

impl MergedResult {
    /// Encodes the response with one page of hits; `None` if the range exceeds the hits.
    #[must_use]
    pub fn page(&self, range: Range<usize>, info: &PageInfo) -> Option<String> {
        let PageInfo { took, shards, scroll_id } = info;
        let successful = self.merged_shards;
        let hits = format!("[{}]", self.hits.page(range)?);
        let max_score = json!(self.max_score).to_string();
        let relation = if self.total_is_exact { "eq" } else { "gte" };
        let total = json!({"value": self.total, "relation": relation}).to_string();
        let hits =
            encode_members([("hits", &*hits), ("max_score", &*max_score), ("total", &*total)].into_iter());
        let counts =
            json!({"total": shards, "successful": successful, "skipped": 0, "failed": shards - successful});
        let scroll_id = scroll_id.as_ref().map(|id| json!(id).to_string());
        let (counts, timed_out) = (counts.to_string(), json!(successful < *shards).to_string());
        let took = json!(took.as_millis() as u64).to_string();
        let members = [("_shards", &*counts), ("hits", &*hits), ("timed_out", &*timed_out), ("took", &*took)];
        let scroll_id = scroll_id.iter().map(|id| ("_scroll_id", &**id));
        Some(encode_members(scroll_id.chain(members)))
    }
}
