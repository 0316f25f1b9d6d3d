//! The result of one shard, as a server sends it.
//!
//! Hits are borrowed from the response's text. Results that timed out, failed in part, or have hits without valid sort
//! values are rejected.

use super::hit::Hit;
use super::sort_value::Kind;
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
struct ResultBody<'a> {
    #[serde(default)]
    timed_out: bool,
    #[serde(default, rename = "_shards")]
    shards: ShardCounts,
    #[serde(borrow)]
    hits: HitsBody<'a>,
}

#[derive(Default, Deserialize)]
struct ShardCounts {
    #[serde(default)]
    failed: u64,
}

#[derive(Deserialize)]
struct HitsBody<'a> {
    total: Option<Total>,
    max_score: Option<f64>,
    #[serde(borrow)]
    hits: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Total {
    value: u64,
    relation: String,
}

impl Total {
    /// Whether the total is exact; otherwise it is a lower bound.
    fn is_exact(&self) -> bool {
        self.relation == "eq"
    }
}

/// The complete result of one shard.
#[derive(Debug)]
pub(super) struct ShardResult<'a> {
    pub(super) hits: Vec<Hit<'a>>,
    /// Number of documents that match. Without a total, the number of hits sent is a lower bound.
    pub(super) total: u64,
    pub(super) total_is_exact: bool,
    pub(super) max_score: Option<f64>,
}

impl<'a> ShardResult<'a> {
    /// Decodes the body of a response; `None` if it is no complete result, or if its hits have no valid sort values.
    pub(super) fn decode(body: &'a [u8]) -> Option<ShardResult<'a>> {
        let ResultBody { timed_out, shards, hits: HitsBody { total, max_score, hits } } =
            serde_json::from_slice(body).ok()?;
        if timed_out || shards.failed > 0 {
            return None;
        }
        let hits: Vec<Hit<'a>> = hits.into_iter().map(Hit::parse).collect::<Option<_>>()?;
        let result = ShardResult {
            total: total.as_ref().map_or(hits.len() as u64, |total| total.value),
            total_is_exact: total.as_ref().is_some_and(Total::is_exact),
            max_score,
            hits,
        };
        result.has_valid_sort_values().then_some(result)
    }

    /// Whether all hits have the same number of sort values, and the values of each key are of one kind.
    fn has_valid_sort_values(&self) -> bool {
        let keys = self.hits.first().map_or(0, |hit| hit.sort_values.len());
        self.hits.iter().all(|hit| hit.sort_values.len() == keys)
            && (0..keys).all(|key| Kind::of(self.hits.iter().map(|hit| &hit.sort_values[key])).is_some())
    }

    /// Whether the shard sent all its hits: it reports an exact total, which is the number of hits sent.
    pub(super) fn has_all_hits(&self) -> bool {
        self.total_is_exact && self.total == self.hits.len() as u64
    }
}

/// Whether the body of an index server's response is an acceptable result: it neither timed out nor failed in part, and
/// its hits have valid sort values.
#[must_use]
pub fn is_acceptable_result(body: &[u8]) -> bool {
    ShardResult::decode(body).is_some()
}
