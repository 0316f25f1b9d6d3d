//! The platform's client protocol: decodes a request `POST /api` into a [`SearchRequest`], and encodes a
//! [`QueryOutcome`] as the response.
//!
//! The module owns the format of both and the validation of requests. It does not admit or run queries. The platform
//! defines the names of header fields and in the JSON.

use super::http::{MAX_BODY_BYTES, Request, Response};
use crate::policy::{ShardId, TenantId};
use crate::routing::{Contracts, QueryOutcome, QueryPart, SearchRequest};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::str::Utf8Error;
use std::sync::Arc;
use std::time::Duration;

/// Longest id of a query, in bytes: with a shard's number appended, it still fits into a line of a frame.
const MAX_CALL_ID_BYTES: usize = 128;
/// Largest time budget of a query of any class, in milliseconds: an hour.
const MAX_BUDGET_MS: u64 = 3_600_000;
/// Highest price of a range, in microseconds: an hour.
const MAX_PRICE_US: f64 = 3.6e9;
/// Largest deviation from 1 of the sum of the portions of a query's ranges.
const PORTIONS_TOLERANCE: f64 = 0.01;

/// Header fields of a query; none may be repeated.
const HEADER_FIELDS: [&str; 6] =
    ["X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget-Ms", "X-Route-Hash", "X-Again"];

/// Why a request is not a valid query. The response contains the text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidQuery {
    /// A required header field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The value of a header field is invalid, for this reason.
    #[error("{0}: {1}")]
    Field(&'static str, String),
    /// The body is invalid, for this reason.
    #[error("body: {0}")]
    Body(String),
}

#[derive(Deserialize)]
struct QueryBody {
    ranges: Vec<Range>,
    predicate: String,
}

#[derive(Deserialize)]
struct Range {
    range: u32,
    portion: f64,
    price: Option<f64>,
    hash: Option<String>,
}

#[derive(Serialize)]
struct ResponseBody<'a> {
    total: bool,
    answers: Vec<Hit<'a>>,
}

#[derive(Serialize)]
struct Hit<'a> {
    range: u32,
    blob: &'a str,
}

impl<'a> Hit<'a> {
    /// Creates the hit for the value of a shard, which has to be UTF-8.
    fn new(shard: ShardId, value: &'a [u8]) -> Result<Hit<'a>, Utf8Error> {
        Ok(Hit { range: shard.0, blob: std::str::from_utf8(value)? })
    }
}

/// Parses and validates a query.
///
/// # Errors
///
/// If the request is not a valid query under these contracts.
pub fn parse_query(request: &Request, contracts: &Contracts) -> Result<SearchRequest, InvalidQuery> {
    // Guards against a repeated field: a proxy could evaluate the last value, where this program takes the first.
    if let Some(name) = HEADER_FIELDS.into_iter().find(|name| request.headers.repeats(name)) {
        return Err(invalid_field(name, "given twice"));
    }
    let id = required_header_field(request, "X-Call-Id")?;
    if id.len() > MAX_CALL_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(invalid_field("X-Call-Id", "not a short word"));
    }
    let class = required_header_field(request, "X-Call-Class")?;
    let (class, _) =
        contracts.class(class).ok_or_else(|| invalid_field("X-Call-Class", format!("no class {class:?}")))?;
    let tenant = parse_tenant(request, contracts)?;
    let budget_ms = required_header_field(request, "X-Budget-Ms")?
        .parse::<u64>()
        .ok()
        .filter(|ms| (1..=MAX_BUDGET_MS).contains(ms))
        .ok_or_else(|| invalid_field("X-Budget-Ms", "not a number of milliseconds"))?;
    let body: QueryBody =
        serde_json::from_slice(&request.body).map_err(|error| InvalidQuery::Body(error.to_string()))?;
    let parts = parse_parts(body.ranges, contracts.settings.shards, header_field(request, "X-Route-Hash"))?;
    Ok(SearchRequest {
        label: Arc::from(id),
        class,
        tenant,
        time_left: Duration::from_millis(budget_ms).saturating_sub(request.waited),
        retry: header_field(request, "X-Again") == Some("1"),
        payload: Bytes::from(body.predicate),
        parts,
    })
}

/// Returns the value of a header field, unless it is empty.
fn header_field<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers.get(name).filter(|value| !value.is_empty())
}

fn required_header_field<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, InvalidQuery> {
    header_field(request, name).ok_or(InvalidQuery::Missing(name))
}

fn invalid_field(name: &'static str, reason: impl Into<String>) -> InvalidQuery {
    InvalidQuery::Field(name, reason.into())
}

/// Returns the tenant that sends the request; `None` where the contracts define no tenants.
fn parse_tenant(request: &Request, contracts: &Contracts) -> Result<Option<TenantId>, InvalidQuery> {
    if contracts.tenants.is_empty() {
        return Ok(None);
    }
    let name = required_header_field(request, "X-Caller")?;
    let tenant = contracts.tenant(name);
    tenant.map(Some).ok_or_else(|| invalid_field("X-Caller", format!("no tenant {name:?}")))
}

/// Returns the parts of a query, one for each range. The key of a range without a hash is derived from the query's
/// routing key.
fn parse_parts(
    ranges: Vec<Range>,
    shards: u32,
    route_key: Option<&str>,
) -> Result<Vec<QueryPart>, InvalidQuery> {
    let mut parts: Vec<QueryPart> = Vec::with_capacity(ranges.len());
    for range in ranges {
        let invalid_range = |reason: &str| InvalidQuery::Body(format!("range {}: {reason}", range.range));
        if range.range >= shards {
            return Err(invalid_range(&format!("there are {shards}")));
        }
        if parts.iter().any(|part| part.shard.0 == range.range) {
            return Err(invalid_range("named twice"));
        }
        if !(range.portion.is_finite() && range.portion >= 0.0) {
            return Err(invalid_range("portion is no share"));
        }
        if range.price.is_some_and(|price| !(0.0..=MAX_PRICE_US).contains(&price)) {
            return Err(invalid_range("price is no time in microseconds"));
        }
        parts.push(QueryPart {
            shard: ShardId(range.range),
            weight: range.portion,
            cost_hint: range.price.map(|price| Duration::from_secs_f64(price / 1e6)),
            key: range.hash.or_else(|| route_key.map(|key| format!("{key}.{}", range.range))).map(Arc::from),
        });
    }
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if parts.is_empty() || (sum - 1.0).abs() > PORTIONS_TOLERANCE {
        return Err(InvalidQuery::Body("the portions of the ranges do not sum to 1".to_owned()));
    }
    Ok(parts)
}

/// Encodes the response to a query with this outcome.
#[must_use]
pub fn outcome_response(outcome: &QueryOutcome) -> Response {
    match outcome {
        QueryOutcome::Answered { complete, values } => {
            let hits: Result<Vec<Hit<'_>>, Utf8Error> =
                values.iter().map(|(shard, value)| Hit::new(*shard, value)).collect();
            let Ok(answers) = hits else { return Response::text(502, "a value is no text") };
            let body = ResponseBody { total: *complete, answers };
            match serde_json::to_vec(&body) {
                Ok(body) if body.len() <= MAX_BODY_BYTES => Response::json(200, body),
                Ok(_) => Response::text(502, "the answer is longer than a body may be"),
                Err(error) => Response::text(500, error.to_string()),
            }
        }
        QueryOutcome::Rejected { retry_after, .. } => rejection_response(*retry_after),
        QueryOutcome::Failed => Response::text(504, "not served; it may have run"),
    }
}

/// Encodes the response to a query that was rejected, with the time after which the client may retry.
#[must_use]
pub fn rejection_response(retry_after: Option<Duration>) -> Response {
    let response = Response::text(503, "refused; trying again is harmless");
    match retry_after.filter(|pause| !pause.is_zero()) {
        Some(pause) => response.with_header("Retry-After", format!("{:.3}", pause.as_secs_f64())),
        None => response,
    }
}
