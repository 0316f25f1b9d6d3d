//! Parses searches: the parameters that are supported, the total order of the hits, and the body sent to each shard.

use super::{JsonObject, SearchError, parse_duration};
use crate::protocol::http::Request;
use bytes::Bytes;
use serde_json::{Value, json};
use std::ops::Range;
use std::time::Duration;

/// Default number of hits per page.
const DEFAULT_PAGE_SIZE: usize = 10;
/// Keys of a search body that are rejected, because their results cannot be merged from several shards or because they
/// page in another way than by the total order.
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
/// URL parameters that a search may have.
const SEARCH_PARAMETERS: [&str; 5] = ["timeout", "scroll", "from", "size", "pretty"];

/// How hits are compared by one sort value.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SortKey {
    /// Name of the field, or of what the API sorts by in its place, such as `_score`.
    pub(super) field: String,
    pub(super) descending: bool,
    pub(super) missing: MissingValues,
}

impl SortKey {
    /// Whether the order of texts depends on the type of a field. Names with an underscore are the API's own, whose texts
    /// are sorted by their bytes.
    pub(super) fn needs_field_type(&self) -> bool {
        !self.field.starts_with('_')
    }
}

/// Where documents without a value are sorted.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum MissingValues {
    /// Before all others, whatever the direction.
    First,
    /// Behind all others, whatever the direction.
    Last,
    /// As if they had this value, given as JSON.
    As(String),
}

/// A search: the requested page, the order of hits, and the body sent to each shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    /// Number of hits before the page.
    pub from: usize,
    /// Number of hits per page.
    pub size: usize,
    /// Time-out that the client requests.
    pub timeout: Option<Duration>,
    /// How long the result is stored for further pages; `None` without a scroll.
    pub scroll: Option<Duration>,
    pub(super) sort_keys: Vec<SortKey>,
    /// Number of sort values that the client requested; any others are removed from the hits.
    pub(super) requested_sort_values: usize,
    shard_body: Bytes,
}

impl Search {
    /// Parses a search. A shard sends at most `window` hits.
    ///
    /// # Errors
    ///
    /// If the request is not a valid search, or uses parameters or keys that are not supported.
    pub fn parse(request: &Request, window: usize) -> Result<Search, SearchError> {
        check_parameters(request)?;
        let mut body = parse_body(request)?;
        let from = take_count(request, &mut body, "from", 0)?;
        let size = take_count(request, &mut body, "size", DEFAULT_PAGE_SIZE)?;
        if from.saturating_add(size) > window {
            return Err(SearchError::illegal_argument(format!(
                "result window is too large: from + size must be <= [{window}]"
            )));
        }
        let timeout_in_body = body.take::<String>("timeout").and_then(Result::ok);
        let timeout_text = request.parameter("timeout").or(timeout_in_body.as_deref());
        let timeout = parse_positive_duration("timeout", timeout_text)?;
        let scroll = parse_positive_duration("scroll", request.parameter("scroll"))?;
        if scroll.is_some() && (from > 0 || size == 0) {
            return Err(SearchError::illegal_argument(
                "a scroll starts at the first hit and has pages of one hit at least",
            ));
        }
        let sort = parse_sort(body.take::<Value>("sort").and_then(Result::ok))?;
        let shard_size = if scroll.is_some() { window } else { from + size };
        let shard_body = body.encode_with([
            ("sort", Value::Array(sort.items).to_string()),
            ("from", "0".to_owned()),
            ("size", shard_size.to_string()),
        ]);
        Ok(Search {
            from,
            size,
            timeout,
            scroll,
            sort_keys: sort.keys,
            requested_sort_values: sort.requested_values,
            shard_body: Bytes::from(shard_body),
        })
    }

    /// Returns the names of the fields by which hits are sorted.
    pub fn sorted_fields(&self) -> impl Iterator<Item = &str> {
        self.sort_keys.iter().map(|key| key.field.as_str())
    }

    /// Returns which of this many merged hits are kept: those of the page, or all of them for a scroll.
    pub(super) fn merged_range(&self, hits: usize) -> Range<usize> {
        if self.scroll.is_some() {
            return 0..hits;
        }
        self.from.min(hits)..(self.from + self.size).min(hits)
    }

    /// Returns the body that is sent to each shard.
    #[must_use]
    pub fn shard_request_body(&self) -> Bytes {
        self.shard_body.clone()
    }
}

fn check_parameters(request: &Request) -> Result<(), SearchError> {
    let parameters = request.query.split('&').filter(|pair| !pair.is_empty());
    for name in parameters.map(|pair| pair.split_once('=').map_or(pair, |pair| pair.0)) {
        if !SEARCH_PARAMETERS.contains(&name) {
            return Err(SearchError::illegal_argument(format!(
                "request contains unrecognized parameter: [{name}]"
            )));
        }
    }
    Ok(())
}

/// Parses the body of a search. An empty body is an empty object.
fn parse_body(request: &Request) -> Result<JsonObject, SearchError> {
    let body = match &*request.body {
        [] => JsonObject::default(),
        text => JsonObject::parse(text)?,
    };
    if let Some(key) = UNSUPPORTED_KEYS.iter().find(|key| body.contains(key)) {
        return Err(SearchError::illegal_argument(format!("[{key}] is not served here")));
    }
    Ok(body)
}

/// Returns a count from the URL parameters or else from the body, and removes it from the body.
fn take_count(
    request: &Request,
    body: &mut JsonObject,
    name: &str,
    default: usize,
) -> Result<usize, SearchError> {
    let in_query = request.parameter(name).map(|text| text.parse().ok());
    let in_body = body.take::<usize>(name).map(Result::ok);
    in_query
        .or(in_body)
        .unwrap_or(Some(default))
        .ok_or_else(|| SearchError::illegal_argument(format!("[{name}] is no count")))
}

fn parse_positive_duration(name: &str, text: Option<&str>) -> Result<Option<Duration>, SearchError> {
    let Some(text) = text else { return Ok(None) };
    let duration = parse_duration(text).filter(|duration| !duration.is_zero());
    duration
        .map(Some)
        .ok_or_else(|| SearchError::illegal_argument(format!("failed to parse [{name}] with value [{text}]")))
}

/// The order of a search.
struct Sort {
    /// Keys by which hits are compared.
    keys: Vec<SortKey>,
    /// Items of `sort` in the body sent to each shard.
    items: Vec<Value>,
    /// Number of sort values that the client requested.
    requested_values: usize,
}

/// Parses `sort`, and appends the document id where that is needed for a total order.
fn parse_sort(requested: Option<Value>) -> Result<Sort, SearchError> {
    let requested = match requested {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(items)) => items,
        Some(item) => vec![item],
    };
    let requested_values = requested.len();
    let mut items = if requested.is_empty() { vec![json!({"_score": "desc"})] } else { requested };
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
        let missing = match options.and_then(|options| options.get("missing")) {
            None | Some(Value::Null) => MissingValues::Last,
            Some(Value::String(place)) if place == "_last" => MissingValues::Last,
            Some(Value::String(place)) if place == "_first" => MissingValues::First,
            Some(substitute) => MissingValues::As(substitute.to_string()),
        };
        keys.push(SortKey { field: name, descending, missing });
    }
    // Without a unique last key, hits that tie have no fixed order: one could appear on two pages or on none.
    if keys.last().is_none_or(|key| key.field != "_id") {
        items.push(json!({"_id": "asc"}));
        keys.push(SortKey { field: "_id".to_owned(), descending: false, missing: MissingValues::Last });
    }
    Ok(Sort { keys, items, requested_values })
}
