//! Merges the results of shards into one order, and encodes pages of the merged result.

use super::field_types::FieldTypes;
use super::hit::Hit;
use super::hit_list::HitList;
use super::hit_order::{HitOrder, MergeError, ShardHits};
use super::json_object::encode_members;
use super::search::Search;
use super::shard_result::ShardResult;
use serde_json::json;
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

/// Merges the results of shards, each given with the shard's number. Results that are rejected are left out.
///
/// # Errors
///
/// If the hits of several shards are in no order that can be merged, or their fields' types are not known.
pub fn merge_results<'a>(
    search: &Search,
    results: impl Iterator<Item = (u32, &'a [u8])>,
    field_types: &FieldTypes,
) -> Result<MergedResult, MergeError> {
    let mut merged = MergedResult { complete: true, total_is_exact: true, ..MergedResult::default() };
    let mut shards: Vec<ShardHits<'a>> = Vec::new();
    for (shard, body) in results {
        let Ok(result) = ShardResult::decode(body) else { continue };
        merged.merged_shards += 1;
        merged.total = merged.total.saturating_add(result.total);
        merged.total_is_exact &= result.total_is_exact;
        merged.complete &= result.has_all_hits();
        merged.max_score = [merged.max_score, result.max_score].into_iter().flatten().reduce(f64::max);
        shards.push(ShardHits { shard, hits: result.hits });
    }
    let order = HitOrder::determine(search, &shards, field_types)?;
    let range = search.merged_range(shards.iter().map(|shard| shard.hits.len()).sum());
    let hits = order.merge(&shards, range.end);
    merged.hits = encode_hits(&hits[range], search.requested_sort_values);
    Ok(merged)
}

/// Encodes hits with their first `requested` sort values.
fn encode_hits(hits: &[&Hit<'_>], requested: usize) -> HitList {
    let mut list = HitList::with_capacity(hits.len(), hits.iter().map(|hit| hit.text_bytes()).sum());
    hits.iter().for_each(|hit| list.push(&hit.encode(requested)));
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
