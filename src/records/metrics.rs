//! What happened since the last line: how queries and attempts ended, and how long queries took.

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Latencies are held in microseconds, up to ten minutes, to two digits.
const LONGEST_US: u64 = 600_000_000;
const DIGITS: u8 = 2;

/// Every way a query can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "End")]
pub enum QueryEnd {
    /// Answered whole within its class's wanted time.
    #[serde(rename = "whole_in_time")]
    CompleteInTime,
    /// Answered whole, but later.
    #[serde(rename = "whole_late")]
    CompleteLate,
    /// Answered in part, and said so.
    Partial,
    /// Refused: the module did not expect to serve it in time, or could not.
    #[serde(rename = "refused_declined")]
    RejectedByPolicy,
    /// Refused: as many queries and parts as may be were open.
    #[serde(rename = "refused_full")]
    RejectedAtCapacity,
    /// Refused: the process is stopping.
    #[serde(rename = "refused_stopping")]
    RejectedShuttingDown,
    /// Failed: the module gave it up, and it may have run.
    #[serde(rename = "failed_given_up")]
    FailedAbandoned,
    /// Failed: it ran past its time.
    #[serde(rename = "failed_overdue")]
    FailedDeadlineExceeded,
    /// Its client left first.
    #[serde(rename = "left")]
    ClientDisconnected,
}

/// All ends, in order.
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

/// Which queries a count is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryLabels {
    /// Their class, as a number of the start's list.
    pub class: usize,
    /// Their tenant, where they have one.
    pub tenant: Option<usize>,
}

/// The queries of one class and tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Queries")]
pub struct QueryMetrics {
    /// Their class, as a number of the start's list.
    pub class: usize,
    /// Their tenant, where they have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<usize>,
    /// How many were taken.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// How many ended so.
    pub ends: BTreeMap<QueryEnd, u64>,
    /// Time from taking to answering, of those answered: a histogram of microseconds in HdrHistogram's V2 form, in
    /// base64; absent where none was answered.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub latency: String,
}

/// The attempts at one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Attempts")]
pub struct AttemptMetrics {
    /// How many ended so.
    pub ends: BTreeMap<String, u64>,
    /// Time that those took which ended with a value, in microseconds, in all.
    pub done_us: u64,
}

impl AttemptMetrics {
    /// Those that ended with a value.
    pub fn successful(&self) -> u64 {
        self.ends.get(ATTEMPT_DONE).copied().unwrap_or(0)
    }
    /// All that ended.
    pub fn total(&self) -> u64 {
        self.ends.values().sum()
    }
    /// Takes in those of another line.
    pub fn merge(&mut self, other: AttemptMetrics) {
        other.ends.into_iter().for_each(|(end, count)| *self.ends.entry(end).or_default() += count);
        self.done_us += other.done_us;
    }
}

/// The name of the end that brings a value.
pub const ATTEMPT_DONE: &str = "done";

/// What one line of figures tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Second")]
pub struct MetricsSnapshot {
    /// Queries, by class and tenant.
    pub queries: Vec<QueryMetrics>,
    /// Attempts that ended, by worker.
    pub attempts: BTreeMap<String, AttemptMetrics>,
    /// Queries open at its end.
    pub open: usize,
    /// Descriptors held at its end.
    pub descriptors: usize,
    /// Bytes buffered for peers at its end.
    pub buffered: usize,
    /// Clients' connections at its end.
    pub clients: usize,
}

struct QueryAccumulator {
    taken: u64,
    ends: [u64; QUERY_ENDS.len()],
    latency: Histogram<u64>,
}

/// A histogram that holds what a query may take.
pub fn new_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts; a histogram that resizes itself is as good.
    Histogram::new_with_max(LONGEST_US, DIGITS)
        .unwrap_or_else(|_| Histogram::new(DIGITS).expect("two digits"))
}

/// Adds up what happens, until a line is made of it.
#[derive(Default)]
pub struct MetricsAccumulator {
    queries: BTreeMap<QueryLabels, QueryAccumulator>,
    attempts: BTreeMap<String, AttemptMetrics>,
}

impl MetricsAccumulator {
    fn tally(&mut self, seen: QueryLabels) -> &mut QueryAccumulator {
        let new = || QueryAccumulator { taken: 0, ends: [0; QUERY_ENDS.len()], latency: new_histogram() };
        self.queries.entry(seen).or_insert_with(new)
    }

    /// A query was taken.
    pub fn record_accepted(&mut self, seen: QueryLabels) {
        self.tally(seen).taken += 1;
    }

    /// A query ended, after so much time.
    pub fn record_end(&mut self, seen: QueryLabels, end: QueryEnd, took: Duration) {
        let tally = self.tally(seen);
        tally.ends[end as usize] += 1;
        if matches!(end, QueryEnd::CompleteInTime | QueryEnd::CompleteLate | QueryEnd::Partial) {
            tally.latency.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        }
    }

    /// An attempt at a worker ended so, after so much time.
    pub fn record_attempt(&mut self, worker: &str, end: &'static str, took: Duration) {
        if !self.attempts.contains_key(worker) {
            self.attempts.insert(worker.to_owned(), AttemptMetrics::default());
        }
        let Some(attempts) = self.attempts.get_mut(worker) else { return };
        *attempts.ends.entry(end.to_owned()).or_default() += 1;
        if end == ATTEMPT_DONE {
            attempts.done_us += u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        }
    }

    /// Makes a line of what happened, and starts anew. What all lines and the rest add up to is all that happened.
    pub fn take_snapshot(&mut self) -> MetricsSnapshot {
        let mut second = MetricsSnapshot::default();
        for (QueryLabels { class, tenant }, tally) in std::mem::take(&mut self.queries) {
            let counted = QUERY_ENDS.iter().map(|end| (*end, tally.ends[*end as usize]));
            second.queries.push(QueryMetrics {
                class,
                tenant,
                accepted: tally.taken,
                ends: counted.filter(|(_, count)| *count > 0).collect(),
                latency: if tally.latency.is_empty() { String::new() } else { write(&tally.latency) },
            });
        }
        second.attempts = std::mem::take(&mut self.attempts);
        second
    }
}

fn write(histogram: &Histogram<u64>) -> String {
    let mut bytes = Vec::new();
    // Writing to memory fails only for a histogram of more counts than the form holds.
    match V2Serializer::new().serialize(histogram, &mut bytes) {
        Ok(_) => BASE64.encode(&bytes),
        Err(_) => String::new(),
    }
}

/// Reads a histogram back. Guards against one that was made to be enormous.
pub fn decode_histogram(text: &str) -> Option<Histogram<u64>> {
    let bytes = BASE64.decode(text).ok()?;
    let histogram: Histogram<u64> = Deserializer::new().deserialize(&mut &bytes[..]).ok()?;
    (histogram.high() <= 2 * LONGEST_US && histogram.sigfig() <= DIGITS).then_some(histogram)
}
