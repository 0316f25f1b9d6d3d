//! Summary of the records of many gatherers over time: queries by class and tenant, attempts by worker, and events.
//!
//! The module owns the sums, in bounded memory: time steps are merged where there would be too many. The names in the
//! report's JSON must not change: a field whose Rust name differs has `#[serde(rename)]`. The module reads no files and
//! draws no conclusions.

use super::metrics::{self, AttemptMetrics, MetricsSnapshot, QueryEnd};
use super::record::{IncarnationId, Record, RecordBody};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Largest number of time steps held; where there would be more, steps are merged in pairs.
const MAX_STEPS: usize = 1500;
/// Largest number of histograms held, each of about 25 kB; where there would be more, time steps are merged, too.
const MAX_HISTOGRAMS: usize = 1600;
/// Largest number of events held in the timeline. Events that are read later are dropped and counted.
const MAX_TIMELINE_EVENTS: usize = 5000;
/// Shortest time step, in milliseconds: metrics are recorded once per second.
const MIN_STEP_MS: u64 = 1000;

/// Numbers of queries by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QueryCounts {
    /// Queries accepted, and those rejected because the process was shutting down.
    #[serde(rename = "asked")]
    pub received: u64,
    /// Complete responses within the latency objective.
    #[serde(rename = "whole_in_time")]
    pub complete_in_time: u64,
    /// Complete responses after the latency objective.
    #[serde(rename = "whole_late")]
    pub complete_late: u64,
    /// Partial responses.
    pub partial: u64,
    /// Queries rejected, for any reason.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Queries that failed, for any reason.
    pub failed: u64,
    /// Queries whose client closed the connection before the response.
    #[serde(rename = "left")]
    pub client_disconnected: u64,
    /// Queries accepted by a gatherer that has no record of their end.
    pub unknown: u64,
}

impl QueryCounts {
    fn add(&mut self, end: QueryEnd, count: u64) {
        *match end {
            QueryEnd::CompleteInTime => &mut self.complete_in_time,
            QueryEnd::CompleteLate => &mut self.complete_late,
            QueryEnd::Partial => &mut self.partial,
            QueryEnd::RejectedByPolicy | QueryEnd::RejectedAtCapacity | QueryEnd::RejectedShuttingDown => {
                &mut self.rejected
            }
            QueryEnd::FailedAbandoned | QueryEnd::FailedDeadlineExceeded => &mut self.failed,
            QueryEnd::ClientDisconnected => &mut self.client_disconnected,
        } += count;
        // A query that is rejected during a shutdown was not counted as accepted before.
        if end == QueryEnd::RejectedShuttingDown {
            self.received += count;
        }
    }

    /// Queries whose end is on record.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.complete_in_time
            + self.complete_late
            + self.partial
            + self.rejected
            + self.failed
            + self.client_disconnected
    }

    /// Adds the counts of other queries.
    pub fn merge(&mut self, other: &QueryCounts) {
        self.received += other.received;
        self.complete_in_time += other.complete_in_time;
        self.complete_late += other.complete_late;
        self.partial += other.partial;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.client_disconnected += other.client_disconnected;
        self.unknown += other.unknown;
    }
}

/// Class and tenant by which queries are summed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryGroup {
    /// Name of the class.
    pub class: String,
    /// Name of the tenant; empty for queries without a tenant.
    pub tenant: String,
}

/// The sums of one time step.
#[derive(Clone, Debug, Default)]
pub struct TimeStep {
    /// Queries by class and tenant.
    pub queries: BTreeMap<QueryGroup, QueryCounts>,
    /// Attempts by worker.
    pub attempts: BTreeMap<String, AttemptMetrics>,
    /// Latencies in microseconds by class.
    pub latency: BTreeMap<String, Histogram<u64>>,
}

impl TimeStep {
    fn merge(&mut self, other: TimeStep) {
        for (group, counts) in other.queries {
            self.queries.entry(group).or_default().merge(&counts);
        }
        for (worker, attempts) in other.attempts {
            self.attempts.entry(worker).or_default().merge(attempts);
        }
        for (class, latency) in other.latency {
            self.add_latency(class, latency);
        }
    }

    fn add_latency(&mut self, class: String, latency: Histogram<u64>) {
        let histogram = self.latency.entry(class).or_insert_with(metrics::new_histogram);
        // Fails only for values over the bounds of the histogram, and those were clipped when they were recorded.
        let _ = histogram.add(latency);
    }
}

/// Summary of the records of one incarnation of a gatherer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct IncarnationSummary {
    /// Time of the first record, in Unix milliseconds by the gatherer's clock.
    pub first_ms: u64,
    /// Time of the last record, by the same clock.
    pub last_ms: u64,
    /// Whether the incarnation shut down gracefully, after the responses to all accepted queries.
    pub stopped: bool,
    /// Number of lost records that the incarnation reports.
    #[serde(rename = "told_lost")]
    pub reported_lost: u64,
    /// Number of records that are missing from the sequence, reported or not.
    pub missing: u64,
    /// Number of accepted queries whose end is not on record, by class.
    pub open: BTreeMap<String, i64>,
    #[serde(skip)]
    classes: Vec<String>,
    #[serde(skip)]
    tenants: Vec<String>,
    #[serde(skip)]
    next_seq: u64,
    /// Start of the time step in which the last query of each class was accepted, in Unix milliseconds.
    #[serde(skip)]
    last_accepted: BTreeMap<String, u64>,
}

/// An event of the timeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelineEvent {
    /// Time of the event, in Unix milliseconds by the gatherer's clock.
    pub at_ms: u64,
    /// Name of the gatherer that recorded the event.
    pub gatherer: String,
    /// Name of the incarnation that recorded the event.
    #[serde(rename = "start")]
    pub incarnation: String,
    /// Text that describes the event.
    #[serde(rename = "what")]
    pub description: String,
}

/// Sums up records, which are added one by one.
#[derive(Debug)]
pub struct Summary {
    step_ms: u64,
    from_ms: u64,
    to_ms: u64,
    /// Time steps by their start, in Unix milliseconds.
    pub steps: BTreeMap<u64, TimeStep>,
    /// Summaries of the incarnations of all gatherers.
    pub incarnations: BTreeMap<IncarnationId, IncarnationSummary>,
    /// Events, in the order in which they were read.
    pub timeline: Vec<TimelineEvent>,
    /// Number of events dropped, because the timeline was full.
    pub timeline_dropped: u64,
    /// Number of time steps when the limits were last checked.
    steps_at_last_check: usize,
}

impl Summary {
    /// Creates an empty summary of the time from `from_ms` up to but not including `to_ms`, in Unix milliseconds.
    #[must_use]
    pub fn new(step_ms: u64, from_ms: u64, to_ms: u64) -> Summary {
        Summary {
            step_ms: step_ms.max(MIN_STEP_MS),
            from_ms,
            to_ms,
            steps: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            timeline: Vec::new(),
            timeline_dropped: 0,
            steps_at_last_check: 0,
        }
    }

    /// Length of a time step in milliseconds. It grows when steps are merged.
    #[must_use]
    pub fn step_ms(&self) -> u64 {
        self.step_ms
    }

    /// Adds a record. A record outside the time of the summary counts only for the sequence, the first and last time
    /// and the names of its incarnation.
    pub fn add_record(&mut self, record: Record) {
        let Record { gatherer, incarnation, seq, at_ms, body, .. } = record;
        let id = IncarnationId { gatherer, incarnation };
        let summary = self.incarnations.entry(id.clone()).or_insert_with(|| IncarnationSummary {
            first_ms: at_ms,
            last_ms: at_ms,
            ..IncarnationSummary::default()
        });
        summary.missing += seq.saturating_sub(summary.next_seq);
        summary.next_seq = seq + 1;
        summary.first_ms = summary.first_ms.min(at_ms);
        summary.last_ms = summary.last_ms.max(at_ms);
        if let RecordBody::Start { classes, tenants, .. } = &body {
            (summary.classes, summary.tenants) = (classes.clone(), tenants.clone());
        }
        if !(self.from_ms..self.to_ms).contains(&at_ms) {
            return;
        }
        match &body {
            RecordBody::Stop => summary.stopped = true,
            RecordBody::Gap { lost, .. } => summary.reported_lost += lost,
            _ => {}
        }
        if let Some(description) = describe_event(&body) {
            self.add_event(at_ms, id, description);
        } else if let RecordBody::Metrics(metrics) = body {
            self.add_metrics(&id, at_ms, metrics);
        }
    }

    fn add_event(&mut self, at_ms: u64, id: IncarnationId, description: String) {
        let IncarnationId { gatherer, incarnation } = id;
        if self.timeline.len() < MAX_TIMELINE_EVENTS {
            self.timeline.push(TimelineEvent { at_ms, gatherer, incarnation, description });
        } else {
            self.timeline_dropped += 1;
        }
    }

    fn add_metrics(&mut self, id: &IncarnationId, at_ms: u64, metrics: MetricsSnapshot) {
        let step_start_ms = at_ms / self.step_ms * self.step_ms;
        let step = self.steps.entry(step_start_ms).or_default();
        let Some(incarnation) = self.incarnations.get_mut(id) else { return };
        // If the record of the start is missing, a class or tenant has no name and is shown by its index.
        let name_of =
            |names: &[String], index: usize| names.get(index).cloned().unwrap_or_else(|| format!("#{index}"));
        for queries in metrics.queries {
            let class = name_of(&incarnation.classes, queries.class);
            let tenant =
                queries.tenant.map_or_else(String::new, |index| name_of(&incarnation.tenants, index));
            let counts = step.queries.entry(QueryGroup { class: class.clone(), tenant }).or_default();
            counts.received += queries.accepted;
            let open = incarnation.open.entry(class.clone()).or_default();
            *open += i64::try_from(queries.accepted).unwrap_or(i64::MAX);
            for (end, count) in queries.ends {
                counts.add(end, count);
                if end != QueryEnd::RejectedShuttingDown {
                    *open -= i64::try_from(count).unwrap_or(i64::MAX);
                }
            }
            if queries.accepted > 0 {
                incarnation.last_accepted.insert(class.clone(), step_start_ms);
            }
            if let Some(latency) = metrics::decode_histogram(&queries.latency) {
                step.add_latency(class, latency);
            }
        }
        for (worker, attempts) in metrics.attempts {
            step.attempts.entry(worker).or_default().merge(attempts);
        }
        self.enforce_limits();
    }

    /// Merges time steps where there are too many of them, or too many histograms.
    fn enforce_limits(&mut self) {
        if self.steps.len() == self.steps_at_last_check {
            return;
        }
        self.steps_at_last_check = self.steps.len();
        let histograms: usize = self.steps.values().map(|step| step.latency.len()).sum();
        if self.steps.len() > MAX_STEPS || histograms > MAX_HISTOGRAMS && self.steps.len() > 2 {
            self.merge_steps();
        }
    }

    /// Merges steps in pairs, so that memory is bounded however long a time the records cover.
    fn merge_steps(&mut self) {
        self.step_ms *= 2;
        for (step_start_ms, step) in std::mem::take(&mut self.steps) {
            self.steps.entry(step_start_ms / self.step_ms * self.step_ms).or_default().merge(step);
        }
        for incarnation in self.incarnations.values_mut() {
            let step_starts_ms = incarnation.last_accepted.values_mut();
            step_starts_ms
                .for_each(|step_start_ms| *step_start_ms = *step_start_ms / self.step_ms * self.step_ms);
        }
    }

    /// Completes the summary once all records are added. Queries that were accepted and have no end on record count as
    /// unknown, in the time step in which their incarnation last accepted a query of their class. No end is assumed for
    /// them, and they are not left out.
    pub fn finish(&mut self) {
        for incarnation in self.incarnations.values() {
            for (class, open) in &incarnation.open {
                let (Ok(open), Some(step_start_ms)) =
                    (u64::try_from(*open), incarnation.last_accepted.get(class))
                else {
                    continue;
                };
                if open > 0 {
                    let step = self.steps.entry(*step_start_ms).or_default();
                    let group = QueryGroup { class: class.clone(), tenant: String::new() };
                    step.queries.entry(group).or_default().unknown += open;
                }
            }
        }
    }

    /// Returns the counts by class, over all time steps and tenants.
    #[must_use]
    pub fn totals_by_class(&self) -> BTreeMap<String, QueryCounts> {
        let mut totals: BTreeMap<String, QueryCounts> = BTreeMap::new();
        for (group, counts) in self.steps.values().flat_map(|step| &step.queries) {
            totals.entry(group.class.clone()).or_default().merge(counts);
        }
        totals
    }
}

/// Describes a record as an event of the timeline; `None` for metrics. The texts are in the report's JSON and must not
/// change.
fn describe_event(body: &RecordBody) -> Option<String> {
    Some(match body {
        RecordBody::Metrics(_) => return None,
        RecordBody::Start { configuration, .. } => format!("start, configuration {configuration}"),
        RecordBody::Stop => "stop".to_owned(),
        RecordBody::Reload { applied, detail } => {
            let negation = if *applied { "" } else { "not " };
            format!("configuration {negation}read again: {detail}")
        }
        RecordBody::EndpointList { revision, workers, .. } => format!("list {revision}, {workers} workers"),
        RecordBody::Worker { worker, state } => {
            format!("worker {worker} {}", state.timeline_word()).to_lowercase()
        }
        RecordBody::Member { member, state, .. } => format!("gatherer {member} {state}").to_lowercase(),
        RecordBody::Overload { begins: true } => "overload begins".to_owned(),
        RecordBody::Overload { begins: false } => "overload ends".to_owned(),
        RecordBody::Gap { lost, reason } => format!("{lost} records lost: {reason}"),
    })
}
