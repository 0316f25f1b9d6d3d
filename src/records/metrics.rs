//! Metrics since the last record of metrics: how queries and attempts ended, and how long they took.
//!
//! The module owns the counts until they are taken as a [`MetricsSnapshot`]. The names in a snapshot are stored in
//! records and must not change. The module writes no records.

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest latency that a histogram holds, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Number of significant decimal digits of a latency in a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "End")]
pub enum QueryEnd {
    /// A complete response within the latency objective of its class.
    #[serde(rename = "whole_in_time")]
    CompleteInTime,
    /// A complete response after the latency objective.
    #[serde(rename = "whole_late")]
    CompleteLate,
    /// A partial response, which is marked as partial.
    Partial,
    /// Rejected by the decision module, which did not expect to complete the query in time, or could not.
    #[serde(rename = "refused_declined")]
    RejectedByPolicy,
    /// Rejected because the process was at its limit of open queries and parts.
    #[serde(rename = "refused_full")]
    RejectedAtCapacity,
    /// Rejected because the process was shutting down.
    #[serde(rename = "refused_stopping")]
    RejectedShuttingDown,
    /// Failed: the decision module abandoned the query after parts of it may have run.
    #[serde(rename = "failed_given_up")]
    FailedAbandoned,
    /// Failed: the deadline of the query passed.
    #[serde(rename = "failed_overdue")]
    FailedDeadlineExceeded,
    /// The client closed the connection before the response.
    #[serde(rename = "left")]
    ClientDisconnected,
}

/// All variants of [`QueryEnd`], in the order of their declaration.
pub const QUERY_ENDS: [QueryEnd; 9] = [
    QueryEnd::CompleteInTime,
    QueryEnd::CompleteLate,
    QueryEnd::Partial,
    QueryEnd::RejectedByPolicy,
    QueryEnd::RejectedAtCapacity,
    QueryEnd::RejectedShuttingDown,
    QueryEnd::FailedAbandoned,
    QueryEnd::FailedDeadlineExceeded,
    QueryEnd::ClientDisconnected,
];

impl QueryEnd {
    /// Whether the query got a complete or partial response, so that its latency is recorded.
    fn has_response(self) -> bool {
        matches!(self, QueryEnd::CompleteInTime | QueryEnd::CompleteLate | QueryEnd::Partial)
    }
}

/// Class and tenant of queries that are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryLabels {
    /// Index of the class in the start record of the incarnation.
    pub class: usize,
    /// Index of the tenant in the start record of the incarnation; absent for queries without a tenant.
    pub tenant: Option<usize>,
}

/// Metrics of the queries of one class and tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Queries")]
pub struct QueryMetrics {
    /// Index of the class in the start record of the incarnation.
    pub class: usize,
    /// Index of the tenant in the start record of the incarnation; absent for queries without a tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<usize>,
    /// Number of queries that were accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Number of queries that ended, by how they ended.
    pub ends: BTreeMap<QueryEnd, u64>,
    /// Histogram of the time from the request to the response in microseconds, in HdrHistogram's V2 encoding and
    /// base64; absent where no query had a response.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub latency: String,
}

/// Metrics of the attempts at one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Attempts")]
pub struct AttemptMetrics {
    /// Number of attempts that ended, by how they ended.
    pub ends: BTreeMap<String, u64>,
    /// Sum of the durations of successful attempts, in microseconds.
    pub done_us: u64,
}

impl AttemptMetrics {
    /// Number of attempts that returned a value.
    #[must_use]
    pub fn successful(&self) -> u64 {
        self.ends.get(ATTEMPT_DONE).copied().unwrap_or(0)
    }
    /// Number of all attempts that ended.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.ends.values().sum()
    }
    /// Adds the attempts of another record.
    pub fn merge(&mut self, other: AttemptMetrics) {
        other.ends.into_iter().for_each(|(end, count)| *self.ends.entry(end).or_default() += count);
        self.done_us += other.done_us;
    }
}

/// Stored name of the end of an attempt that returned a value.
pub const ATTEMPT_DONE: &str = "done";

/// Content of one record of metrics.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Second")]
pub struct MetricsSnapshot {
    /// Metrics of queries, one entry for each class and tenant.
    pub queries: Vec<QueryMetrics>,
    /// Metrics of attempts that ended, by worker.
    pub attempts: BTreeMap<String, AttemptMetrics>,
    /// Number of queries open at the time of the record.
    pub open: usize,
    /// Number of file descriptors in use at the time of the record.
    pub descriptors: usize,
    /// Number of bytes buffered for peers at the time of the record.
    pub buffered: usize,
    /// Number of client connections at the time of the record.
    pub clients: usize,
}

struct QueryAccumulator {
    accepted: u64,
    ends: [u64; QUERY_ENDS.len()],
    latency: Histogram<u64>,
}

/// Creates an empty histogram of latencies in microseconds.
///
/// # Panics
/// Never: the library accepts these constant bounds.
#[must_use]
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the constant bounds are valid")
}

/// Accumulates metrics until they are taken as a snapshot.
#[derive(Default)]
pub struct MetricsAccumulator {
    queries: BTreeMap<QueryLabels, QueryAccumulator>,
    attempts: BTreeMap<String, AttemptMetrics>,
}

impl MetricsAccumulator {
    fn accumulator_for(&mut self, labels: QueryLabels) -> &mut QueryAccumulator {
        let new_accumulator =
            || QueryAccumulator { accepted: 0, ends: [0; QUERY_ENDS.len()], latency: new_histogram() };
        self.queries.entry(labels).or_insert_with(new_accumulator)
    }

    /// Counts a query that was accepted.
    pub fn record_accepted(&mut self, labels: QueryLabels) {
        self.accumulator_for(labels).accepted += 1;
    }

    /// Counts a query that ended, with its latency.
    pub fn record_end(&mut self, labels: QueryLabels, end: QueryEnd, latency: Duration) {
        let queries = self.accumulator_for(labels);
        queries.ends[end as usize] += 1;
        if end.has_response() {
            queries.latency.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
    }

    /// Counts an attempt at a worker that ended, with its duration.
    pub fn record_attempt(&mut self, worker: &str, end: &'static str, elapsed: Duration) {
        if !self.attempts.contains_key(worker) {
            self.attempts.insert(worker.to_owned(), AttemptMetrics::default());
        }
        let Some(attempts) = self.attempts.get_mut(worker) else { return };
        *attempts.ends.entry(end.to_owned()).or_default() += 1;
        if end == ATTEMPT_DONE {
            attempts.done_us += u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        }
    }

    /// Takes the metrics since the last snapshot and resets them: the sum of all snapshots contains each event once.
    #[must_use]
    pub fn take_snapshot(&mut self) -> MetricsSnapshot {
        let mut snapshot = MetricsSnapshot::default();
        for (QueryLabels { class, tenant }, queries) in std::mem::take(&mut self.queries) {
            let counts = QUERY_ENDS.iter().map(|end| (*end, queries.ends[*end as usize]));
            snapshot.queries.push(QueryMetrics {
                class,
                tenant,
                accepted: queries.accepted,
                ends: counts.filter(|(_, count)| *count > 0).collect(),
                latency: encode_histogram(&queries.latency),
            });
        }
        snapshot.attempts = std::mem::take(&mut self.attempts);
        snapshot
    }
}

/// Encodes a histogram as text; an empty histogram as the empty text.
fn encode_histogram(histogram: &Histogram<u64>) -> String {
    if histogram.is_empty() {
        return String::new();
    }
    let mut bytes = Vec::new();
    // Encoding into memory fails only for a histogram with more counts than the V2 encoding holds.
    match V2Serializer::new().serialize(histogram, &mut bytes) {
        Ok(_) => BASE64.encode(&bytes),
        Err(_) => String::new(),
    }
}

/// Decodes a histogram. Returns `None` for invalid text, and for a histogram with wider bounds than those of
/// [`new_histogram`], which could take any amount of memory.
#[must_use]
pub fn decode_histogram(text: &str) -> Option<Histogram<u64>> {
    let bytes = BASE64.decode(text).ok()?;
    let histogram: Histogram<u64> = Deserializer::new().deserialize(&mut &bytes[..]).ok()?;
    let within_bounds = histogram.high() <= 2 * MAX_LATENCY_US && histogram.sigfig() <= SIGNIFICANT_DIGITS;
    within_bounds.then_some(histogram)
}
