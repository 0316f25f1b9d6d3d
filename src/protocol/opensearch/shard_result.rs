//! The result of one shard, as a server sends it.
//!
//! Hits are borrowed from the response's text. A result is accepted only if it says by all members that the API publishes
//! for it that the one shard was searched as a whole: a member that is missing says nothing.

use super::hit::Hit;
use super::sort_value::Kind;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;

/// Why the body of a response is no complete result of one shard.
#[derive(Debug, thiserror::Error)]
pub enum ResultDefect {
    /// The body is not JSON, or lacks members of a result.
    #[error("not the form of a result: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The time-out of the search ended it early.
    #[error("timed_out is true")]
    TimedOut,
    /// The server stopped collecting hits early.
    #[error("terminated_early is true")]
    TerminatedEarly,
    /// The counts do not say that one shard was searched successfully.
    #[error(
        "of {total} shards {successful} are successful, {skipped} skipped and {failed} failed, {failures} failures"
    )]
    NotOneShard {
        /// Number of shards.
        total: u64,
        /// Number of shards that were searched.
        successful: u64,
        /// Number of shards that were not searched because they have no hits.
        skipped: u64,
        /// Number of shards that failed.
        failed: u64,
        /// Number of failures that are listed.
        failures: usize,
    },
    /// There are more hits than documents that match.
    #[error("{hits} hits of an exact total of {total}")]
    TotalTooLow {
        /// Number of hits sent.
        hits: usize,
        /// Exact number of documents that match.
        total: u64,
    },
    /// The hits have no sort values, or those of a key are of several kinds.
    #[error("the sort values are not valid")]
    SortValues,
}

#[derive(Deserialize)]
struct ResultBody<'a> {
    timed_out: bool,
    terminated_early: Option<bool>,
    #[serde(rename = "_shards")]
    shards: ShardCounts,
    #[serde(borrow)]
    hits: HitsBody<'a>,
}

#[derive(Deserialize)]
struct ShardCounts {
    total: u64,
    successful: u64,
    /// Servers count skipped shards as successful ones too. Older ones do not count them.
    #[serde(default)]
    skipped: u64,
    failed: u64,
    failures: Option<Vec<IgnoredAny>>,
}

impl ShardCounts {
    /// Checks that the one shard that was asked for was searched.
    fn check(&self) -> Result<(), ResultDefect> {
        let &ShardCounts { total, successful, skipped, failed, .. } = self;
        let failures = self.failures.as_ref().map_or(0, Vec::len);
        if (total, successful, failed, failures) == (1, 1, 0, 0) && skipped <= successful {
            return Ok(());
        }
        Err(ResultDefect::NotOneShard { total, successful, skipped, failed, failures })
    }
}

#[derive(Deserialize)]
struct HitsBody<'a> {
    /// Absent where the search does not track it.
    total: Option<Total>,
    max_score: Option<f64>,
    #[serde(borrow)]
    hits: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Total {
    value: u64,
    relation: Relation,
}

/// Whether a total is exact or a lower bound.
#[derive(Clone, Copy, Deserialize, PartialEq)]
enum Relation {
    #[serde(rename = "eq")]
    Exact,
    #[serde(rename = "gte")]
    LowerBound,
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
    /// Decodes the body of a response.
    ///
    /// # Errors
    ///
    /// If the body is no complete result of one shard.
    pub(super) fn decode(body: &'a [u8]) -> Result<ShardResult<'a>, ResultDefect> {
        let body: ResultBody<'a> = serde_json::from_slice(body)?;
        if body.timed_out {
            return Err(ResultDefect::TimedOut);
        }
        if body.terminated_early == Some(true) {
            return Err(ResultDefect::TerminatedEarly);
        }
        body.shards.check()?;
        let HitsBody { total, max_score, hits } = body.hits;
        let hits: Option<Vec<Hit<'a>>> = hits.into_iter().map(Hit::parse).collect();
        let hits = hits.ok_or(ResultDefect::SortValues)?;
        let (total, total_is_exact) = match total {
            Some(Total { value, relation }) => (value, relation == Relation::Exact),
            None => (hits.len() as u64, false),
        };
        if total_is_exact && total < hits.len() as u64 {
            return Err(ResultDefect::TotalTooLow { hits: hits.len(), total });
        }
        let result = ShardResult { hits, total, total_is_exact, max_score };
        if result.has_valid_sort_values() { Ok(result) } else { Err(ResultDefect::SortValues) }
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

/// Checks that the body of an index server's response is a complete result of one shard.
///
/// # Errors
///
/// Why it is none.
pub fn check_result(body: &[u8]) -> Result<(), ResultDefect> {
    ShardResult::decode(body).map(|_| ())
}
