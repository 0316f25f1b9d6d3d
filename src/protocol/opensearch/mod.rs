//! The OpenSearch-style protocol: searches, their merged results, errors and durations. Hits are in a total order: the
//! requested one, and then by document id.
//!
//! The module owns the format of requests and responses and merges the results of shards. It does not send searches or
//! store results between pages: `routing` does. Names in the JSON are those of OpenSearch.

mod field_types;
mod hit;
mod hit_list;
mod hit_order;
mod json_object;
mod merge;
mod search;
mod shard_result;
mod sort_value;
mod text_order;

pub use field_types::{FieldTypes, field_capabilities_target};
pub use hit_list::HitList;
pub use hit_order::MergeError;
pub use json_object::JsonObject;
pub use merge::{MergedResult, PageInfo, merge_results};
pub use search::Search;
pub use shard_result::{ResultDefect, check_result};
pub use text_order::TextOrder;

use super::http::Response;
use crate::routing::Rejection;
use serde_json::json;
use std::time::Duration;

/// An error in the form in which OpenSearch reports it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{kind}: {reason}")]
pub struct SearchError {
    /// Status code of the response.
    pub status: u16,
    /// OpenSearch's `type` of the error.
    pub kind: &'static str,
    /// Description of the error.
    pub reason: String,
}

impl SearchError {
    /// The error for an invalid argument of a request.
    #[must_use]
    pub fn illegal_argument(reason: impl Into<String>) -> SearchError {
        SearchError { status: 400, kind: "illegal_argument_exception", reason: reason.into() }
    }

    /// The error for a body that cannot be parsed.
    #[must_use]
    pub fn parsing(reason: impl Into<String>) -> SearchError {
        SearchError { status: 400, kind: "parsing_exception", reason: reason.into() }
    }

    /// An error of any kind.
    #[must_use]
    pub fn new(status: u16, kind: &'static str, reason: impl Into<String>) -> SearchError {
        SearchError { status, kind, reason: reason.into() }
    }

    /// Encodes the response that reports the error.
    #[must_use]
    pub fn response(&self) -> Response {
        let cause = json!({"type": self.kind, "reason": self.reason});
        let mut error = cause.clone();
        error["root_cause"] = json!([cause]);
        Response::json(self.status, json!({"error": error, "status": self.status}).to_string())
    }
}

/// Encodes the response to a search that was rejected before any part of it ran.
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

/// Parses a duration such as `500ms`, `30s` or `1m`; `None` if the text is not a duration.
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
