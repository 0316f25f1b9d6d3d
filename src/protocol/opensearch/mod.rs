//! The OpenSearch-style query form: searches, their merged results, errors and durations. Pages are in a total order: the
//! requested one, and then the document's id.
//!
//! It owns the form of requests and responses and how results of shards are merged. It never sends a search, and keeps no
//! result between pages: `routing` does. Names in the JSON are those of OpenSearch.

mod merge;
mod search;

pub use merge::{MergedResult, is_complete_result, merge_results};
pub use search::Search;

use super::http::Response;
use crate::routing::Rejection;
use serde_json::json;
use std::time::Duration;

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
