//! The platform's client protocol: `POST /api` to an [`SearchRequest`], and a [`QueryOutcome`] to its answer.

use super::http::{MAX_BODY_BYTES, Request, Response};
use crate::policy::ShardId;
use crate::routing::{Contracts, QueryOutcome, QueryPart, SearchRequest};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The longest id of a call that is taken: part ids of twice that still fit a line of a frame.
const LONGEST_ID: usize = 128;
/// The longest that a client may wait, whatever its class: an hour.
const LONGEST_BUDGET_MS: u64 = 3_600_000;

/// The header fields of a query.
const FIELDS: [&str; 6] = ["X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget-Ms", "X-Route-Hash", "X-Again"];

/// Why a request is no query; the text goes to the client.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidQuery {
    /// A header field that must be there.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A header field whose value makes no sense.
    #[error("{0}: {1}")]
    Field(&'static str, String),
    /// The body.
    #[error("body: {0}")]
    Body(String),
}

#[derive(Deserialize)]
struct Body {
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
struct Answer<'a> {
    total: bool,
    answers: Vec<Hit<'a>>,
}

#[derive(Serialize)]
struct Hit<'a> {
    range: u32,
    blob: &'a str,
}

/// The query that a request asks.
pub fn parse_query(request: &Request, contracts: &Contracts) -> Result<SearchRequest, InvalidQuery> {
    let field = |name: &'static str| request.headers.get(name).filter(|value| !value.is_empty());
    let must = |name| field(name).ok_or(InvalidQuery::Missing(name));
    let invalid = |name, what: &str| InvalidQuery::Field(name, what.to_owned());

    // Guards against fields that say two things: one party could read the first, another the last.
    if let Some(name) = FIELDS.into_iter().find(|name| request.headers.repeats(name)) {
        return Err(invalid(name, "given twice"));
    }
    let id = must("X-Call-Id")?;
    if id.len() > LONGEST_ID || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(invalid("X-Call-Id", "not a short word"));
    }
    let name = must("X-Call-Class")?;
    let (class, _) = contracts
        .class(name)
        .ok_or_else(|| InvalidQuery::Field("X-Call-Class", format!("no class {name:?}")))?;
    let tenant = match field("X-Caller") {
        _ if contracts.tenants.is_empty() => None,
        None => return Err(InvalidQuery::Missing("X-Caller")),
        Some(name) => Some(
            contracts
                .tenant(name)
                .ok_or_else(|| InvalidQuery::Field("X-Caller", format!("no tenant {name:?}")))?,
        ),
    };
    let budget = must("X-Budget-Ms")?.parse::<u64>().ok().filter(|ms| (1..=LONGEST_BUDGET_MS).contains(ms));
    let left = budget.ok_or_else(|| invalid("X-Budget-Ms", "not a number of milliseconds"))?;
    let route = field("X-Route-Hash");

    let body: Body =
        serde_json::from_slice(&request.body).map_err(|error| InvalidQuery::Body(error.to_string()))?;
    let shards = contracts.settings.shards;
    let mut parts: Vec<QueryPart> = Vec::with_capacity(body.ranges.len());
    for range in body.ranges {
        let bad = |what: &str| InvalidQuery::Body(format!("range {}: {what}", range.range));
        if range.range >= shards {
            return Err(bad(&format!("there are {shards}")));
        }
        if parts.iter().any(|part| part.shard.0 == range.range) {
            return Err(bad("named twice"));
        }
        if !(range.portion.is_finite() && range.portion >= 0.0) {
            return Err(bad("portion is no share"));
        }
        if range.price.is_some_and(|price| !(0.0..=3.6e9).contains(&price)) {
            return Err(bad("price is no time in microseconds"));
        }
        parts.push(QueryPart {
            shard: ShardId(range.range),
            weight: range.portion,
            cost_hint: range.price.map(|price| Duration::from_secs_f64(price / 1e6)),
            key: range.hash.or_else(|| route.map(|key| format!("{key}.{}", range.range))).map(Arc::from),
        });
    }
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if parts.is_empty() || (sum - 1.0).abs() > 0.01 {
        return Err(InvalidQuery::Body("the portions of the ranges do not sum to 1".to_owned()));
    }
    Ok(SearchRequest {
        label: Arc::from(id),
        class,
        tenant,
        time_left: Duration::from_millis(left).saturating_sub(request.waited),
        retry: field("X-Again") == Some("1"),
        payload: Bytes::from(body.predicate),
        parts,
    })
}

/// The answer that a verdict makes.
pub fn outcome_response(verdict: &QueryOutcome) -> Response {
    match verdict {
        QueryOutcome::Answered { complete: whole, values } => {
            let hit = |(shard, value): &(ShardId, Bytes)| {
                std::str::from_utf8(value).ok().map(|_| (shard.0, value.clone()))
            };
            let rows: Option<Vec<(u32, Bytes)>> = values.iter().map(hit).collect();
            let Some(rows) = rows else { return Response::text(502, "a value is no text") };
            let hits = rows.iter().map(|(range, value)| Hit {
                range: *range,
                blob: std::str::from_utf8(value).unwrap_or_default(),
            });
            let answer = Answer { total: *whole, answers: hits.collect() };
            match serde_json::to_vec(&answer) {
                Ok(body) if body.len() <= MAX_BODY_BYTES => Response::json(200, body),
                Ok(_) => Response::text(502, "the answer is longer than a body may be"),
                Err(error) => Response::text(500, error.to_string()),
            }
        }
        QueryOutcome::Rejected { retry_after: pause, .. } => rejection_response(*pause),
        QueryOutcome::Failed => Response::text(504, "not served; it may have run"),
    }
}

/// A refusal, with the time after which to come back.
pub fn rejection_response(pause: Option<Duration>) -> Response {
    let response = Response::text(503, "refused; trying again is harmless");
    match pause.filter(|pause| !pause.is_zero()) {
        Some(pause) => response.with_header("Retry-After", format!("{:.3}", pause.as_secs_f64())),
        None => response,
    }
}
