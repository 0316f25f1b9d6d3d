//! The OpenSearch-style query form: searches and their merged results, errors, times. Pages stand in a total order:
//! the asked one, and the document's id behind it.

use super::http::{Request, Response};
use crate::routing::Rejection;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::cmp::Ordering;
use std::time::Duration;

/// Hits of a page where the search does not say.
const SIZE: usize = 10;
/// What cannot be merged from several shards here, or would page past the held order.
const UNSUPPORTED: [&str; 10] = [
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
/// What may stand in a search's address.
const PARAMETERS: [&str; 5] = ["timeout", "scroll", "from", "size", "pretty"];

/// A request that is answered with an error of this shape.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{kind}: {reason}")]
pub struct SearchError {
    /// Its status.
    pub status: u16,
    /// The type of the error.
    pub kind: &'static str,
    /// What is wrong.
    pub reason: String,
}

impl SearchError {
    /// A fault of the request's own.
    pub fn illegal_argument(reason: impl Into<String>) -> SearchError {
        SearchError { status: 400, kind: "illegal_argument_exception", reason: reason.into() }
    }
    /// A body that cannot be read.
    pub fn parsing(reason: impl Into<String>) -> SearchError {
        SearchError { status: 400, kind: "parsing_exception", reason: reason.into() }
    }
    /// Any other.
    pub fn new(status: u16, kind: &'static str, reason: impl Into<String>) -> SearchError {
        SearchError { status, kind, reason: reason.into() }
    }
    /// Its response.
    pub fn response(&self) -> Response {
        let cause = json!({"type": self.kind, "reason": self.reason});
        let mut error = cause.clone();
        error["root_cause"] = json!([cause]);
        Response::json(self.status, json!({"error": error, "status": self.status}).to_string())
    }
}

/// The response to a query that was refused: nothing has run.
pub fn rejection_response(why: Rejection, pause: Option<Duration>) -> Response {
    let (status, reason) = match why {
        Rejection::Declined => (429, "not served in time; trying again is harmless"),
        Rejection::AtCapacity => (429, "as many searches as may be are open; try again"),
        Rejection::ShuttingDown => (503, "this gatherer is stopping; try again"),
    };
    let seconds = pause.unwrap_or_default().as_secs_f64().ceil().max(1.0);
    let fault = SearchError::new(status, "rejected_execution_exception", reason);
    fault.response().with_header("Retry-After", format!("{seconds:.0}"))
}

/// A time such as `500ms`, `30s` or `1m`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit = text.find(|letter: char| !letter.is_ascii_digit())?;
    let count: u64 = text[..unit].parse().ok()?;
    let ms = match &text[unit..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    Some(Duration::from_millis(count.checked_mul(ms)?))
}

#[derive(Clone, Debug, PartialEq)]
struct SortKey {
    descending: bool,
    missing_first: bool,
}

/// A search: the page that is asked for, its order, and the body that each shard is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    /// Hits before the page.
    pub from: usize,
    /// Hits of the page.
    pub size: usize,
    /// The client's own limit on its time.
    pub timeout: Option<Duration>,
    /// How long the result is to be held for further pages.
    pub scroll: Option<Duration>,
    order: Vec<SortKey>,
    /// Sort values that the client asked for; the others are taken out of its hits.
    shown: usize,
    body: Map<String, Value>,
}

impl Search {
    /// Reads a search. A shard sends at most `window` hits.
    pub fn parse(request: &Request, window: usize) -> Result<Search, SearchError> {
        let named = request.query.split('&').filter(|pair| !pair.is_empty());
        for name in named.map(|pair| pair.split_once('=').map_or(pair, |pair| pair.0)) {
            if !PARAMETERS.contains(&name) {
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
        if let Some(key) = UNSUPPORTED.iter().find(|key| body.contains_key(**key)) {
            return Err(SearchError::illegal_argument(format!("[{key}] is not served here")));
        }
        let count = |body: &mut Map<String, Value>, name: &str, usual: usize| {
            let given = request.parameter(name).map(|text| text.parse().ok());
            let inside =
                body.remove(name).map(|value| value.as_u64().and_then(|count| usize::try_from(count).ok()));
            given
                .or(inside)
                .unwrap_or(Some(usual))
                .ok_or_else(|| SearchError::illegal_argument(format!("[{name}] is no count")))
        };
        let from = count(&mut body, "from", 0)?;
        let size = count(&mut body, "size", SIZE)?;
        if from.saturating_add(size) > window {
            return Err(SearchError::illegal_argument(format!(
                "result window is too large: from + size must be <= [{window}]"
            )));
        }
        let span = |name: &str, text: Option<&str>| match text {
            None => Ok(None),
            Some(text) => parse_duration(text).filter(|span| !span.is_zero()).map(Some).ok_or_else(|| {
                SearchError::illegal_argument(format!("failed to parse [{name}] with value [{text}]"))
            }),
        };
        let inside = body.remove("timeout");
        let timeout =
            span("timeout", request.parameter("timeout").or(inside.as_ref().and_then(Value::as_str)))?;
        let scroll = span("scroll", request.parameter("scroll"))?;
        if scroll.is_some() && (from > 0 || size == 0) {
            return Err(SearchError::illegal_argument(
                "a scroll starts at the first hit and has pages of one hit at least",
            ));
        }
        let (order, sort, shown) = order(body.remove("sort"))?;
        body.insert("sort".to_owned(), Value::Array(sort));
        body.insert("from".to_owned(), json!(0));
        body.insert("size".to_owned(), json!(if scroll.is_some() { window } else { from + size }));
        Ok(Search { from, size, timeout, scroll, order, shown, body })
    }

    /// What each shard is sent.
    pub fn shard_request_body(&self) -> Vec<u8> {
        Value::Object(self.body.clone()).to_string().into_bytes()
    }
}

/// Reads `sort`: how to compare, what to send, and how many of its values the client is shown.
fn order(asked: Option<Value>) -> Result<(Vec<SortKey>, Vec<Value>, usize), SearchError> {
    let items = match asked {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(items)) => items,
        Some(item) => vec![item],
    };
    let shown = items.len();
    let mut sort = if items.is_empty() { vec![json!({"_score": "desc"})] } else { items };
    let mut names = Vec::new();
    let mut keys = Vec::new();
    for item in &sort {
        let (name, how) = match item {
            Value::String(name) => (name.clone(), None),
            Value::Object(fields) if fields.len() == 1 => {
                let (name, how) = fields.iter().next().unzip();
                (name.cloned().unwrap_or_default(), how)
            }
            _ => return Err(SearchError::parsing("[sort] is a list of fields, each with its order")),
        };
        let word = how.and_then(|how| how.as_str().or_else(|| how.get("order")?.as_str()));
        let descending = match word {
            Some("desc") => true,
            Some("asc") => false,
            None => name == "_score",
            Some(other) => {
                return Err(SearchError::illegal_argument(format!("[sort] has no order [{other}]")));
            }
        };
        let missing = how.and_then(|how| how.get("missing")?.as_str());
        keys.push(SortKey { descending, missing_first: missing == Some("_first") });
        names.push(name);
    }
    // Guards against hits that stand on two pages or on none: without a last key, ties come in any order.
    if names.last().is_none_or(|name| name != "_id") {
        sort.push(json!({"_id": "asc"}));
        keys.push(SortKey { descending: false, missing_first: false });
    }
    Ok((keys, sort, shown))
}

fn compare(a: &Value, b: &Value, key: &SortKey) -> Ordering {
    let absent = |first: bool| if first { Ordering::Less } else { Ordering::Greater };
    let plain = match (a, b) {
        (Value::Null, Value::Null) => return Ordering::Equal,
        (Value::Null, _) => return absent(key.missing_first),
        (_, Value::Null) => return absent(key.missing_first).reverse(),
        (Value::String(a), Value::String(b)) => a.cmp(b),
        (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
        _ => match (a.as_i64(), b.as_i64()) {
            (Some(a), Some(b)) => a.cmp(&b),
            _ => a.as_f64().unwrap_or(f64::INFINITY).total_cmp(&b.as_f64().unwrap_or(f64::INFINITY)),
        },
    };
    if key.descending { plain.reverse() } else { plain }
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

fn result(bytes: &[u8]) -> Option<ShardResult> {
    let result: ShardResult = serde_json::from_slice(bytes).ok()?;
    let sorted = result.hits.hits.iter().all(|hit| hit.get("sort").is_some_and(Value::is_array));
    (sorted && !result.timed_out && result.shards.failed == 0).then_some(result)
}

/// Whether a server's response is the whole and sorted result of its shard.
pub fn is_complete_result(bytes: &[u8]) -> bool {
    result(bytes).is_some()
}

/// Results of several shards in one order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedResult {
    /// The hits, as clients see them.
    pub hits: Vec<Value>,
    /// Every shard sent all the hits that it has.
    pub complete: bool,
    total: u64,
    exact: bool,
    max_score: Option<f64>,
}

/// Merges the results of shards, each given with its number.
pub fn merge_results<'a>(search: &Search, results: impl Iterator<Item = (u32, &'a [u8])>) -> MergedResult {
    let mut merged = MergedResult { complete: true, exact: true, ..MergedResult::default() };
    let mut rows: Vec<(Vec<Value>, u32, Value)> = Vec::new();
    for (shard, bytes) in results {
        let Some(result) = result(bytes) else { continue };
        let hits = result.hits;
        let (total, exact) = match hits.total {
            Some(total) => (total.value, total.relation == "eq"),
            None => (hits.hits.len() as u64, false),
        };
        merged.total += total;
        merged.exact &= exact;
        merged.complete &= exact && total == hits.hits.len() as u64;
        merged.max_score = [merged.max_score, hits.max_score].into_iter().flatten().reduce(f64::max);
        for mut hit in hits.hits {
            let keys = hit.get("sort").and_then(Value::as_array).cloned().unwrap_or_default();
            if let Some(fields) = hit.as_object_mut() {
                match search.shown {
                    0 => fields.remove("sort"),
                    shown => fields.insert("sort".to_owned(), keys.iter().take(shown).cloned().collect()),
                };
            }
            rows.push((keys, shard, hit));
        }
    }
    rows.sort_by(|a, b| {
        let keys = search.order.iter().enumerate().map(|(at, key)| {
            compare(a.0.get(at).unwrap_or(&Value::Null), b.0.get(at).unwrap_or(&Value::Null), key)
        });
        keys.fold(Ordering::Equal, Ordering::then).then(a.1.cmp(&b.1))
    });
    merged.hits = rows.into_iter().map(|row| row.2).collect();
    merged
}

impl MergedResult {
    /// One page of the result. `of` and `served` count shards.
    pub fn page(&self, hits: &[Value], took: Duration, of: usize, served: usize) -> Value {
        json!({
            "took": took.as_millis() as u64,
            "timed_out": served < of,
            "_shards": {"total": of, "successful": served, "skipped": 0, "failed": of - served},
            "hits": {
                "total": {"value": self.total, "relation": if self.exact { "eq" } else { "gte" }},
                "max_score": self.max_score,
                "hits": hits,
            },
        })
    }
}
