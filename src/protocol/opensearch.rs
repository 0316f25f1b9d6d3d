//! The OpenSearch-style query form: searches, their merged results, errors and durations. Pages are in a total order: the
//! requested one, and then the document's id.
//!
//! It owns the form of requests and responses and how results of shards are merged. It never sends a search, and keeps no
//! result between pages: `routing` does. Names in the JSON are those of OpenSearch.

use super::http::{Request, Response};
use crate::routing::Rejection;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::cmp::Ordering;
use std::time::Duration;

/// Hits of a page where the search does not say.
const DEFAULT_PAGE_SIZE: usize = 10;
/// Keys of a search that cannot be merged from several shards here, or would page past the total order.
const UNSUPPORTED_KEYS: [&str; 10] = [
    "aggs",
    "aggregations",
    "collapse",
    "rescore",
    "suggest",
    "search_after",
    "pit",
    "slice",
    "knn",
    "terminate_after",
];
/// The query parameters that a search may have.
const SEARCH_PARAMETERS: [&str; 5] = ["timeout", "scroll", "from", "size", "pretty"];

/// Why a request fails, as OpenSearch reports it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{kind}: {reason}")]
pub struct SearchError {
    /// The status of the response.
    pub status: u16,
    /// The `type` of the error, in the words of OpenSearch.
    pub kind: &'static str,
    /// What is wrong, for people.
    pub reason: String,
}

impl SearchError {
    /// An argument of the request is invalid.
    #[must_use]
    pub fn illegal_argument(reason: impl Into<String>) -> SearchError {
        SearchError { status: 400, kind: "illegal_argument_exception", reason: reason.into() }
    }

    /// The body of the request cannot be parsed.
    #[must_use]
    pub fn parsing(reason: impl Into<String>) -> SearchError {
        SearchError { status: 400, kind: "parsing_exception", reason: reason.into() }
    }

    /// Any other error.
    #[must_use]
    pub fn new(status: u16, kind: &'static str, reason: impl Into<String>) -> SearchError {
        SearchError { status, kind, reason: reason.into() }
    }

    /// The response that reports it.
    #[must_use]
    pub fn response(&self) -> Response {
        let cause = json!({"type": self.kind, "reason": self.reason});
        let mut error = cause.clone();
        error["root_cause"] = json!([cause]);
        Response::json(self.status, json!({"error": error, "status": self.status}).to_string())
    }
}

/// The response to a query that was rejected: nothing of it has been executed.
#[must_use]
pub fn rejection_response(rejection: Rejection, retry_after: Option<Duration>) -> Response {
    let (status, reason) = match rejection {
        Rejection::Declined => (429, "not served in time; trying again is harmless"),
        Rejection::AtCapacity => (429, "as many searches as may be are open; try again"),
        Rejection::ShuttingDown => (503, "this gatherer is stopping; try again"),
    };
    let seconds = retry_after.unwrap_or_default().as_secs_f64().ceil().max(1.0);
    let error = SearchError::new(status, "rejected_execution_exception", reason);
    error.response().with_header("Retry-After", format!("{seconds:.0}"))
}

/// Parses a duration such as `500ms`, `30s` or `1m`; `None` if it is none.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit_at = text.find(|letter: char| !letter.is_ascii_digit())?;
    let count: u64 = text[..unit_at].parse().ok()?;
    let unit_ms = match &text[unit_at..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    Some(Duration::from_millis(count.checked_mul(unit_ms)?))
}

/// How hits are compared by one of their sort values.
#[derive(Clone, Debug, PartialEq)]
struct SortKey {
    descending: bool,
    missing_first: bool,
}

/// A search: the page that is requested, its order, and the body that is sent to each shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    /// Hits before the page.
    pub from: usize,
    /// Hits of the page.
    pub size: usize,
    /// The time-out that the client asks for.
    pub timeout: Option<Duration>,
    /// How long the result is to be kept for further pages.
    pub scroll: Option<Duration>,
    sort_keys: Vec<SortKey>,
    /// How many sort values the client asked for; the others are removed from its hits.
    requested_sort_values: usize,
    shard_body: Map<String, Value>,
}

impl Search {
    /// Parses a search. A shard sends at most `window` hits.
    ///
    /// # Errors
    ///
    /// If the request is no search, or one that is not supported here.
    pub fn parse(request: &Request, window: usize) -> Result<Search, SearchError> {
        let parameters = request.query.split('&').filter(|pair| !pair.is_empty());
        for name in parameters.map(|pair| pair.split_once('=').map_or(pair, |pair| pair.0)) {
            if !SEARCH_PARAMETERS.contains(&name) {
                return Err(SearchError::illegal_argument(format!(
                    "request contains unrecognized parameter: [{name}]"
                )));
            }
        }
        let mut body = match serde_json::from_slice(&request.body) {
            _ if request.body.is_empty() => Map::new(),
            Ok(Value::Object(body)) => body,
            Ok(_) => return Err(SearchError::parsing("the body is no object")),
            Err(error) => return Err(SearchError::parsing(error.to_string())),
        };
        if let Some(key) = UNSUPPORTED_KEYS.iter().find(|key| body.contains_key(**key)) {
            return Err(SearchError::illegal_argument(format!("[{key}] is not served here")));
        }
        let count = |body: &mut Map<String, Value>, name: &str, default: usize| {
            let in_query = request.parameter(name).map(|text| text.parse().ok());
            let in_body =
                body.remove(name).map(|value| value.as_u64().and_then(|count| usize::try_from(count).ok()));
            in_query
                .or(in_body)
                .unwrap_or(Some(default))
                .ok_or_else(|| SearchError::illegal_argument(format!("[{name}] is no count")))
        };
        let from = count(&mut body, "from", 0)?;
        let size = count(&mut body, "size", DEFAULT_PAGE_SIZE)?;
        if from.saturating_add(size) > window {
            return Err(SearchError::illegal_argument(format!(
                "result window is too large: from + size must be <= [{window}]"
            )));
        }
        let duration = |name: &str, text: Option<&str>| match text {
            None => Ok(None),
            Some(text) => {
                parse_duration(text).filter(|duration| !duration.is_zero()).map(Some).ok_or_else(|| {
                    SearchError::illegal_argument(format!("failed to parse [{name}] with value [{text}]"))
                })
            }
        };
        let in_body = body.remove("timeout");
        let timeout =
            duration("timeout", request.parameter("timeout").or(in_body.as_ref().and_then(Value::as_str)))?;
        let scroll = duration("scroll", request.parameter("scroll"))?;
        if scroll.is_some() && (from > 0 || size == 0) {
            return Err(SearchError::illegal_argument(
                "a scroll starts at the first hit and has pages of one hit at least",
            ));
        }
        let sort = parse_sort(body.remove("sort"))?;
        body.insert("sort".to_owned(), Value::Array(sort.items));
        body.insert("from".to_owned(), json!(0));
        body.insert("size".to_owned(), json!(if scroll.is_some() { window } else { from + size }));
        Ok(Search {
            from,
            size,
            timeout,
            scroll,
            sort_keys: sort.keys,
            requested_sort_values: sort.requested_values,
            shard_body: body,
        })
    }

    /// The body that is sent to each shard.
    #[must_use]
    pub fn shard_request_body(&self) -> Vec<u8> {
        Value::Object(self.shard_body.clone()).to_string().into_bytes()
    }
}

/// The order of a search.
struct Sort {
    /// How hits are compared.
    keys: Vec<SortKey>,
    /// What is sent to each shard as `sort`.
    items: Vec<Value>,
    /// How many of its values the client asked for.
    requested_values: usize,
}

/// Parses `sort`, and completes it to a total order.
fn parse_sort(requested: Option<Value>) -> Result<Sort, SearchError> {
    let requested = match requested {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(items)) => items,
        Some(item) => vec![item],
    };
    let requested_values = requested.len();
    let mut items = if requested.is_empty() { vec![json!({"_score": "desc"})] } else { requested };
    let mut names = Vec::new();
    let mut keys = Vec::new();
    for item in &items {
        let (name, options) = match item {
            Value::String(name) => (name.clone(), None),
            Value::Object(fields) if fields.len() == 1 => {
                let (name, options) = fields.iter().next().unzip();
                (name.cloned().unwrap_or_default(), options)
            }
            _ => return Err(SearchError::parsing("[sort] is a list of fields, each with its order")),
        };
        let order = options.and_then(|options| options.as_str().or_else(|| options.get("order")?.as_str()));
        let descending = match order {
            Some("desc") => true,
            Some("asc") => false,
            None => name == "_score",
            Some(other) => {
                return Err(SearchError::illegal_argument(format!("[sort] has no order [{other}]")));
            }
        };
        let missing = options.and_then(|options| options.get("missing")?.as_str());
        keys.push(SortKey { descending, missing_first: missing == Some("_first") });
        names.push(name);
    }
    // Guards against hits that appear on two pages or on none: without a unique last key, ties have no order.
    if names.last().is_none_or(|name| name != "_id") {
        items.push(json!({"_id": "asc"}));
        keys.push(SortKey { descending: false, missing_first: false });
    }
    Ok(Sort { keys, items, requested_values })
}

/// Compares two sort values; missing ones come first or last, whatever the direction.
fn compare(a: &Value, b: &Value, key: &SortKey) -> Ordering {
    let missing = |first: bool| if first { Ordering::Less } else { Ordering::Greater };
    let ascending = match (a, b) {
        (Value::Null, Value::Null) => return Ordering::Equal,
        (Value::Null, _) => return missing(key.missing_first),
        (_, Value::Null) => return missing(key.missing_first).reverse(),
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

/// Decodes a shard's response; `None` unless it is complete and sorted.
fn decode_complete_result(body: &[u8]) -> Option<ShardResult> {
    let result: ShardResult = serde_json::from_slice(body).ok()?;
    let sorted = result.hits.hits.iter().all(|hit| hit.get("sort").is_some_and(Value::is_array));
    (sorted && !result.timed_out && result.shards.failed == 0).then_some(result)
}

/// Whether the body of a server's response is the complete and sorted result of its shard.
#[must_use]
pub fn is_complete_result(body: &[u8]) -> bool {
    decode_complete_result(body).is_some()
}

/// The results of several shards in one order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedResult {
    /// The hits, as clients see them.
    pub hits: Vec<Value>,
    /// Every shard sent all the hits that it has.
    pub complete: bool,
    total: u64,
    /// The total is exact; otherwise it is a lower bound.
    total_is_exact: bool,
    max_score: Option<f64>,
}

/// A hit on its way into the order.
struct SortedHit {
    sort_values: Vec<Value>,
    shard: u32,
    hit: Value,
}

/// Merges the results of shards, each given with the shard's number. Results that are incomplete are left out.
#[must_use]
pub fn merge_results<'a>(search: &Search, results: impl Iterator<Item = (u32, &'a [u8])>) -> MergedResult {
    let mut merged = MergedResult { complete: true, total_is_exact: true, ..MergedResult::default() };
    let mut sorted: Vec<SortedHit> = Vec::new();
    for (shard, body) in results {
        let Some(result) = decode_complete_result(body) else { continue };
        let hits = result.hits;
        let (total, exact) = match hits.total {
            Some(total) => (total.value, total.relation == "eq"),
            None => (hits.hits.len() as u64, false),
        };
        merged.total += total;
        merged.total_is_exact &= exact;
        merged.complete &= exact && total == hits.hits.len() as u64;
        merged.max_score = [merged.max_score, hits.max_score].into_iter().flatten().reduce(f64::max);
        for mut hit in hits.hits {
            let sort_values = hit.get("sort").and_then(Value::as_array).cloned().unwrap_or_default();
            if let Some(fields) = hit.as_object_mut() {
                match search.requested_sort_values {
                    0 => fields.remove("sort"),
                    requested => {
                        let values = sort_values.iter().take(requested).cloned().collect();
                        fields.insert("sort".to_owned(), values)
                    }
                };
            }
            sorted.push(SortedHit { sort_values, shard, hit });
        }
    }
    sorted.sort_by(|a, b| {
        let by_keys = search.sort_keys.iter().enumerate().map(|(at, key)| {
            let a = a.sort_values.get(at).unwrap_or(&Value::Null);
            compare(a, b.sort_values.get(at).unwrap_or(&Value::Null), key)
        });
        by_keys.fold(Ordering::Equal, Ordering::then).then(a.shard.cmp(&b.shard))
    });
    merged.hits = sorted.into_iter().map(|sorted| sorted.hit).collect();
    merged
}

impl MergedResult {
    /// The response with one page of the result, `hits`; `shards` were searched, and `served` of them responded.
    #[must_use]
    pub fn page(&self, hits: &[Value], took: Duration, shards: usize, served: usize) -> Value {
        json!({
            "took": took.as_millis() as u64,
            "timed_out": served < shards,
            "_shards": {"total": shards, "successful": served, "skipped": 0, "failed": shards - served},
            "hits": {
                "total": {"value": self.total, "relation": if self.total_is_exact { "eq" } else { "gte" }},
                "max_score": self.max_score,
                "hits": hits,
            },
        })
    }
}
